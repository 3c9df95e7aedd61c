package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// answer is what a client has seen of one request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	sent   time.Time
	took   time.Duration
}

// client sends requests on kept connections.
type client struct{ http *http.Client }

// newClient returns the client with a number. Each has an address of its own.
func newClient(number int) *client {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 2, byte(number+1))}}
	return &client{&http.Client{Transport: &http.Transport{DialContext: d.DialContext, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// send sends a request and waits for its answer, at most for the budget.
func (c *client) send(method, address, path, id string, budget time.Duration, body []byte) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	a.sent = time.Now()
	defer func() { a.took = time.Since(a.sent) }()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set(headerID, id)
	r.Header.Set(headerBudget, strconv.FormatInt(budget.Milliseconds(), 10))
	response, err := c.http.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	return a
}
