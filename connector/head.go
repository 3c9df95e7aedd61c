package connector

import (
	"errors"
	"fmt"
	"net/http"
)

const (
	// maxHeadBytes bounds the status line and the headers of an answer, maxHeaders
	// their number and maxHeaderBytes the name and value of one.
	maxHeadBytes   = 32 << 10
	maxHeaders     = 128
	maxHeaderBytes = 16 << 10
	// maxInterim is how many informational answers may precede an answer.
	maxInterim = 4
	// maxStatus is the highest status of the last class that HTTP defines.
	maxStatus = 599
)

var (
	errInterim = errors.New("target sent too many informational answers")
	errHeaders = errors.New("target sent too many or too large headers")
	errStatus  = errors.New("target sent an invalid status")
)

// readHead reads the head of an answer after those of informational ones. Any other
// status than one of HTTP is an error: what follows such a head may look like an answer.
func readHead(r *answerReader, method string) (*http.Response, error) {
	for range maxInterim + 1 {
		r.meter.allow(maxHeadBytes)
		response, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := checkHeaders(response.Header); err != nil {
			return nil, err
		}
		if err := checkStatus(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errInterim
}

// checkStatus checks that a status line is one of HTTP/1 and that an informational answer
// is one that may precede another.
func checkStatus(r *http.Response) error {
	switch status := r.StatusCode; {
	case r.ProtoMajor != 1:
		return fmt.Errorf("%w: %s in an answer by HTTP/1", errStatus, r.Proto)
	case r.Status[0] < '1' || status < http.StatusContinue || status > maxStatus:
		// A sign before two digits is read as a number, too.
		return fmt.Errorf("%w: %q", errStatus, r.Status)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: %q, and no other protocol was asked for", errStatus, r.Status)
	case status < http.StatusOK && (r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0):
		return fmt.Errorf("%w: %q with a body", errStatus, r.Status)
	}
	return nil
}

// checkHeaders checks the number and the sizes of headers.
func checkHeaders(h http.Header) error {
	n := 0
	for name, values := range h {
		for _, value := range values {
			if n++; n > maxHeaders || len(name)+len(value) > maxHeaderBytes {
				return errHeaders
			}
		}
	}
	return nil
}
