package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"
)

// apiRequest describes one request to the object API.
type apiRequest struct {
	method string
	path   string
	query  url.Values
	body   any
	write  bool
	// wait is how long the API may delay the response to a watch.
	wait time.Duration
}

// attemptResult is the result of sending a request to one address.
type attemptResult struct {
	status int
	header http.Header
	body   []byte
	// sent is false only if the request certainly did not leave this process.
	sent bool
	err  error
}

var (
	errBudgetExhausted   = errors.New("budget of calls is spent")
	errResponseTooLarge  = errors.New("answer is larger than the limit")
	errMalformedResponse = errors.New("answer is malformed")
)

// do sends the request and decodes the response into out. If an attempt fails,
// it continues with the next address, except after a write that may have left
// this process: repeating it could apply the write twice.
func (c *Client) do(ctx context.Context, req apiRequest, out any) error {
	var body []byte
	if req.body != nil {
		var err error
		if body, err = json.Marshal(req.body); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	addresses := c.settings.Addresses
	first := int(c.preferred.Load())
	for i := range addresses {
		index := (first + i) % len(addresses)
		if !c.budget.Allow() {
			return fmt.Errorf("%w: %w (%v calls per second)", ErrUnavailable, errBudgetExhausted, c.settings.CallsPerSecond)
		}
		result := c.attempt(ctx, addresses[index], req, body)
		if result.err == nil {
			c.preferred.Store(int64(index))
			return result.decode(req, out)
		}
		// Later requests start at the next address.
		c.preferred.Store(int64((index + 1) % len(addresses)))
		last := i == len(addresses)-1 || ctx.Err() != nil
		if req.write && result.sent {
			return fmt.Errorf("%w: %w", ErrUnknown, result.err)
		}
		if last {
			return fmt.Errorf("%w: %w", ErrUnavailable, result.err)
		}
	}
	return ErrUnavailable
}

// attempt sends the request to one address and reads the whole response.
func (c *Client) attempt(ctx context.Context, address string, req apiRequest, body []byte) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout+req.wait)
	defer cancel()
	// No byte of the request is written before a connection is obtained.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	endpoint := url.URL{Scheme: "http", Host: address, Path: req.path, RawQuery: req.query.Encode()}
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, endpoint.String(), bytes.NewReader(body))
	if err != nil {
		return attemptResult{err: err}
	}
	httpRequest.Header.Set(InstanceHeader, string(c.settings.Instance))
	if len(body) > 0 {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return attemptResult{sent: sent.Load(), err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.settings.MaxResponseBytes+1))
	if err == nil && int64(len(data)) > c.settings.MaxResponseBytes {
		err = fmt.Errorf("%w of %d bytes", errResponseTooLarge, c.settings.MaxResponseBytes)
	}
	return attemptResult{status: response.StatusCode, header: response.Header, body: data, sent: true, err: err}
}

// decode maps the status to an error and decodes the body into out.
func (r attemptResult) decode(req apiRequest, out any) error {
	switch {
	case r.status == http.StatusOK || r.status == http.StatusNoContent:
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(r.body, out); err != nil {
			return req.uncertainError(fmt.Errorf("%w: %w", errMalformedResponse, err))
		}
		return nil
	case r.status == http.StatusNotFound:
		return ErrNotFound
	case r.status == http.StatusConflict:
		// The body may hold the current version, which callers can do without.
		if out != nil {
			_ = json.Unmarshal(r.body, out)
		}
		return ErrConflict
	case r.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError && r.status != http.StatusRequestTimeout,
		r.status == http.StatusServiceUnavailable && r.header.Get(AppliedHeader) == AppliedNone:
		return fmt.Errorf("%w: status %d", ErrUnavailable, r.status)
	}
	return req.uncertainError(fmt.Errorf("status %d", r.status))
}

// uncertainError wraps the error of a request that the API may have processed:
// as ErrUnknown for a write and as ErrUnavailable for a read.
func (req apiRequest) uncertainError(err error) error {
	if req.write {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
