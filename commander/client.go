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
	// maxResponseBytes limits the response body that is read.
	maxResponseBytes = 64 << 20
	// maxRounds is the maximum number of rounds, each of which tries all
	// addresses.
	maxRounds = 3
	// roundPause is the pause between rounds.
	roundPause = 300 * time.Millisecond
	// pollInterval is the pause between polls of whether a generation is in force.
	pollInterval = 200 * time.Millisecond
	// attemptTimeout limits one attempt.
	attemptTimeout = 15 * time.Second
)

// Client sends statements to entry instances over HTTP.
type Client struct {
	// Do sends a request; it is http.Client.Do except in tests.
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

// UnreachableError reports that no instance accepted the request, which therefore
// had no effect.
type UnreachableError struct{ Cause error }

// Error returns a message with the cause of the last attempt's failure.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry instance accepted the statements, which had no effect: %v", e.Cause)
}

// Unwrap returns the cause of the last attempt's failure.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// attemptResult is the result of one request to one instance.
type attemptResult struct {
	response Response
	err      error
	// final is set if the request need not be sent to another instance.
	final bool
	// ambiguous is set if the statements may have been accepted although the
	// response does not say so.
	ambiguous bool
}

// Send sends a request to the instances in turn until one returns a final
// result. Each attempt carries the same token, so that the statements are
// accepted at most once. After an ambiguous attempt only an acceptance is
// certain; any other result is then reported as OutcomeUnknown.
func (c *Client) Send(ctx context.Context, r Request) (Response, error) {
	if r.Token == "" {
		r.Token = c.NewToken()
	}
	body, err := json.Marshal(r)
	if err != nil {
		return Response{}, oops.In("commander").Wrapf(err, "encode request")
	}
	ambiguous := false
	var last attemptResult
	for round := range maxRounds {
		if round > 0 && c.pause(ctx, roundPause) != nil {
			break
		}
		for _, address := range c.addresses {
			last = c.post(ctx, address, body)
			ambiguous = ambiguous || last.ambiguous && !r.DryRun
			if last.final {
				return finalResponse(last, ambiguous)
			}
		}
	}
	return finalResponse(last, ambiguous)
}

// finalResponse returns the response to the operator after the last attempt;
// ambiguous is set if any attempt was.
func finalResponse(last attemptResult, ambiguous bool) (Response, error) {
	accepted := last.err == nil && last.response.Error == nil && last.final
	if ambiguous && !accepted {
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

// post makes one attempt at one instance.
func (c *Client) post(ctx context.Context, address string, body []byte) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(address)+StatementsPath, bytes.NewReader(body))
	if err != nil {
		return attemptResult{err: oops.In("commander").Wrapf(err, "address %s", address)}
	}
	request.Header.Set("Content-Type", "application/json")
	var response Response
	status, err := c.roundTrip(request, &response)
	if err != nil {
		return attemptResult{err: err, ambiguous: !notSent(err)}
	}
	if response.Error == nil {
		if status == http.StatusOK {
			return attemptResult{response: response, final: true}
		}
		return attemptResult{err: fmt.Errorf("%s answered with status %d", address, status), ambiguous: true}
	}
	switch response.Error.Code {
	case CodeStoreUnavailable:
		return attemptResult{response: response}
	case CodeConflict, CodeBadStatement:
		return attemptResult{response: response, final: true}
	}
	return attemptResult{response: response, ambiguous: true}
}

// roundTrip sends a request, decodes the response body and returns the status.
func (c *Client) roundTrip(request *http.Request, into any) (int, error) {
	response, err := c.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(into); err != nil {
		return response.StatusCode, fmt.Errorf("answer of %s with status %d: %w", request.URL.Host, response.StatusCode, err)
	}
	return response.StatusCode, nil
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

// Wait polls until a generation is in force on all instances or the context
// ends, and returns the last state.
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
		if c.pause(ctx, pollInterval) != nil {
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
	status, err := c.roundTrip(request, &state)
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
