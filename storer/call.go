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

// call is one request to the object API.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	write  bool
	// wait is the time that the API may hold the answer back.
	wait time.Duration
}

// try is the result of a call at one address.
type try struct {
	status int
	header http.Header
	body   []byte
	// sent is true unless the request certainly did not leave this process.
	sent bool
	err  error
}

var (
	errBudget    = errors.New("budget of calls is spent")
	errTooMuch   = errors.New("answer is larger than the limit")
	errMalformed = errors.New("answer is malformed")
)

// do sends the call, to each address in turn as long as that can't repeat a
// write, and decodes the answer.
func (c *Client) do(ctx context.Context, k call, answer any) error {
	var body []byte
	if k.body != nil {
		var err error
		if body, err = json.Marshal(k.body); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	addresses := c.settings.Addresses
	first := int(c.preferred.Load())
	for i := range addresses {
		at := (first + i) % len(addresses)
		if !c.budget.Allow() {
			return fmt.Errorf("%w: %w (%v calls per second)", ErrUnavailable, errBudget, c.settings.CallsPerSecond)
		}
		t := c.try(ctx, addresses[at], k, body)
		if t.err == nil {
			c.preferred.Store(int64(at))
			return t.decode(k, answer)
		}
		// Later calls start at the next address.
		c.preferred.Store(int64((at + 1) % len(addresses)))
		last := i == len(addresses)-1 || ctx.Err() != nil
		if k.write && t.sent {
			return fmt.Errorf("%w: %w", ErrUnknown, t.err)
		}
		if last {
			return fmt.Errorf("%w: %w", ErrUnavailable, t.err)
		}
	}
	return ErrUnavailable
}

// try sends the call to one address and reads the whole answer.
func (c *Client) try(ctx context.Context, address string, k call, body []byte) try {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout+k.wait)
	defer cancel()
	// Without a connection no byte of the request was written.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	target := url.URL{Scheme: "http", Host: address, Path: k.path, RawQuery: k.query.Encode()}
	r, err := http.NewRequestWithContext(ctx, k.method, target.String(), bytes.NewReader(body))
	if err != nil {
		return try{err: err}
	}
	r.Header.Set(InstanceHeader, string(c.settings.Instance))
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(r)
	if err != nil {
		return try{sent: sent.Load(), err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.settings.MaxResponseBytes+1))
	if err == nil && int64(len(data)) > c.settings.MaxResponseBytes {
		err = fmt.Errorf("%w of %d bytes", errTooMuch, c.settings.MaxResponseBytes)
	}
	return try{status: response.StatusCode, header: response.Header, body: data, sent: true, err: err}
}

// decode maps the status to an error and decodes the answer.
func (t try) decode(k call, answer any) error {
	switch {
	case t.status == http.StatusOK || t.status == http.StatusNoContent:
		if answer == nil {
			return nil
		}
		if err := json.Unmarshal(t.body, answer); err != nil {
			return k.undecided(fmt.Errorf("%w: %w", errMalformed, err))
		}
		return nil
	case t.status == http.StatusNotFound:
		return ErrNotFound
	case t.status == http.StatusConflict:
		// The current version in the body is additional information.
		if answer != nil {
			_ = json.Unmarshal(t.body, answer)
		}
		return ErrConflict
	case t.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case t.status >= http.StatusBadRequest && t.status < http.StatusInternalServerError && t.status != http.StatusRequestTimeout,
		t.status == http.StatusServiceUnavailable && t.header.Get(AppliedHeader) == AppliedNone:
		return fmt.Errorf("%w: status %d", ErrUnavailable, t.status)
	}
	return k.undecided(fmt.Errorf("status %d", t.status))
}

// undecided returns the error of a call that may have been processed.
func (k call) undecided(err error) error {
	if k.write {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
