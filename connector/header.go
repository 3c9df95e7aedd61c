package connector

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

var hopByHopHeaders = strings.Fields(hopByHop)

// ForwardedHeader returns the headers of a message that are forwarded: all
// except hop-by-hop headers, Content-Length and the excluded ones, which the
// instance sets itself.
func ForwardedHeader(h http.Header, excluded ...string) http.Header {
	forwarded := make(http.Header, len(h))
	for name, values := range h {
		forwarded[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(forwarded, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(forwarded, name)
	}
	delete(forwarded, "Content-Length")
	for _, name := range excluded {
		delete(forwarded, http.CanonicalHeaderKey(name))
	}
	return forwarded
}

// parseLoad parses a load report: the running requests, the waiting ones and
// the slots, separated by commas. It returns the zero value if the text is
// malformed.
func parseLoad(text string, now time.Time) Load {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return Load{}
	}
	var numbers [3]int
	for i, f := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(f))
		if err != nil || n < 0 {
			return Load{}
		}
		numbers[i] = n
	}
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], At: now}
}

// keepAliveTimeout returns the timeout in the Keep-Alive header, or 0 if there
// is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
