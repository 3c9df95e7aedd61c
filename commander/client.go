package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
)

const (
	// maxAnswer is the largest answer that is read, in bytes.
	maxAnswer = 64 << 20
	// sendRounds is the number of times that all addresses are tried.
	sendRounds = 3
	// roundPause is the pause between two rounds.
	roundPause = 300 * time.Millisecond
	// pollPause is the pause between two questions whether a generation is in
	// force.
	pollPause = 200 * time.Millisecond
	// attemptTimeout bounds one request.
	attemptTimeout = 15 * time.Second
)

// Client talks to entry instances over HTTP.
type Client struct {
	// Do sends a request; it is http.Client.Do but in tests.
	Do func(*http.Request) (*http.Response, error)
	// NewToken returns a unique token.
	NewToken func() string

	addresses []string
	clock     jujubegate.Clock
}

// NewClient returns a client that tries the addresses in turn. An address is
// host:port or a URL.
func NewClient(addresses []string, clock jujubegate.Clock) *Client {
	return &Client{Do: http.DefaultClient.Do, NewToken: uuid.NewString, addresses: addresses, clock: clock}
}

// UnreachableError says that no instance took the request.
type UnreachableError struct{ Cause error }

// Error returns the last cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry instance took the statements, which had no effect: %v", e.Cause)
}

// Unwrap returns the last cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// attempt is what became of one request to one instance.
type attempt struct {
	response Response
	err      error
	// settled says that no other instance need be asked.
	settled bool
	// lost says that the statements may have been accepted.
	lost bool
}

// Send sends a request until an instance settles it. Each attempt carries the
// same token, so that the statements are accepted at most once. After a lost
// answer only an acceptance is certain; any other end is then reported as
// OutcomeUnknown.
func (c *Client) Send(ctx context.Context, r Request) (Response, error) {
	if r.Token == "" {
		r.Token = c.NewToken()
	}
	body, err := json.Marshal(r)
	if err != nil {
		return Response{}, oops.In("commander").Wrapf(err, "encode request")
	}
	lost := false
	var last attempt
	for round := range sendRounds {
		if round > 0 && c.pause(ctx, roundPause) != nil {
			break
		}
		for _, address := range c.addresses {
			last = c.post(ctx, address, body)
			lost = lost || last.lost && !r.DryRun
			if last.settled {
				return conclude(last, lost)
			}
		}
	}
	return conclude(last, lost)
}

// conclude returns the outcome of a request after its last attempt.
func conclude(last attempt, lost bool) (Response, error) {
	accepted := last.err == nil && last.response.Error == nil && last.settled
	if lost && !accepted {
		cause := "no instance answered"
		switch {
		case last.err != nil:
			cause = last.err.Error()
		case last.response.Error != nil:
			cause = last.response.Error.Message
		}
		last.response.Error = &Error{
			Code:    CodeOutcomeUnknown,
			Message: "the answer to an attempt was lost and the statements may be in force: " + cause,
		}
		return last.response, nil
	}
	if last.err != nil {
		return Response{}, &UnreachableError{Cause: last.err}
	}
	return last.response, nil
}

// post sends the request to one instance.
func (c *Client) post(ctx context.Context, address string, body []byte) attempt {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(address)+StatementsPath, bytes.NewReader(body))
	if err != nil {
		return attempt{err: oops.In("commander").Wrapf(err, "address %s", address)}
	}
	request.Header.Set("Content-Type", "application/json")
	var response Response
	status, err := c.exchange(request, &response)
	if err != nil {
		return attempt{err: err, lost: !notSent(err)}
	}
	if response.Error == nil {
		if status == http.StatusOK {
			return attempt{response: response, settled: true}
		}
		return attempt{err: fmt.Errorf("%s answered with status %d", address, status), lost: true}
	}
	switch response.Error.Code {
	case CodeStoreUnavailable:
		return attempt{response: response}
	case CodeConflict, CodeBadStatement:
		return attempt{response: response, settled: true}
	}
	return attempt{response: response, lost: true}
}

// exchange sends a request and decodes the answer.
func (c *Client) exchange(request *http.Request, into any) (int, error) {
	answer, err := c.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswer)).Decode(into); err != nil {
		return answer.StatusCode, fmt.Errorf("answer of %s with status %d: %w", request.URL.Host, answer.StatusCode, err)
	}
	return answer.StatusCode, nil
}

// notSent reports whether a request failed before it reached an instance.
func notSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// Wait asks whether a generation is in force everywhere until it is or the
// context ends, and returns the last answer.
func (c *Client) Wait(ctx context.Context, g jujubegate.Generation) (InForce, error) {
	var last InForce
	var lastErr error
	for {
		for _, address := range c.addresses {
			state, err := c.inForce(ctx, address, g)
			if err != nil {
				if ctx.Err() == nil {
					lastErr = err
				}
				continue
			}
			last, lastErr = state, nil
			if state.InForce {
				return state, nil
			}
			break
		}
		if c.pause(ctx, pollPause) != nil {
			return last, lastErr
		}
	}
}

func (c *Client) inForce(ctx context.Context, address string, g jujubegate.Generation) (InForce, error) {
	query := url.Values{GenerationParameter: {fmt.Sprint(int64(g))}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		baseURL(address)+InForcePath+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return InForce{}, oops.In("commander").Wrapf(err, "address %s", address)
	}
	var state InForce
	status, err := c.exchange(request, &state)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s answered with status %d", address, status)
	}
	return state, err
}

// pause waits for a duration, or fails when the context ends.
func (c *Client) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.clock.After(d):
		return nil
	}
}
