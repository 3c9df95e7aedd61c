package asker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
)

// maxAnswerBytes bounds the answers that a caller reads.
const maxAnswerBytes = 64 << 20

// Asker sends queries and orders to instances. It is safe for concurrent use.
type Asker struct {
	// Do sends one HTTP request; it is http.Client.Do outside tests.
	Do         func(*http.Request) (*http.Response, error)
	clock      jujubegate.Clock
	seeds      []string
	dataCentre jujubegate.DataCentre
	caller     jujubegate.Caller

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	next      int
	// failed holds when an address last failed.
	failed map[string]time.Time
}

// New returns an asker that learns addresses from the seeds, which are
// host:port of any instances.
func New(seeds []string, dataCentre jujubegate.DataCentre, caller jujubegate.Caller, clock jujubegate.Clock) *Asker {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}
	client := &http.Client{Transport: transport}
	return &Asker{Do: client.Do, clock: clock, seeds: seeds, dataCentre: dataCentre, caller: caller, failed: make(map[string]time.Time)}
}

// Query sends a query to one address and, if it was refused with outcome
// NotRun or the connection failed, to the next ones. Queries are idempotent.
func (a *Asker) Query(ctx context.Context, request QueryRequest) (QueryAnswer, error) {
	request.Caller = a.caller
	var answer QueryAnswer
	err := a.try(ctx, QueryPath, request, &answer, func(error) bool { return true })
	return answer, err
}

// Order sends an order. It repeats the request under the same ID through
// other addresses, which is safe because the outcome is recorded by ID.
func (a *Asker) Order(ctx context.Context, request OrderRequest) (OrderAnswer, error) {
	request.Caller = a.caller
	var answer OrderAnswer
	// A try without an answer may have started the order, so that later ones
	// are not the first any more.
	err := a.try(ctx, OrderPath, &request, &answer, func(err error) bool {
		var refusal *jujubegate.Refusal
		request.First = request.First && errors.As(err, &refusal) && refusal.Outcome == jujubegate.NotRun
		return retryOrder(err)
	})
	return answer, err
}

// Outcome looks up the recorded outcome of an order.
func (a *Asker) Outcome(ctx context.Context, service jujubegate.Service, id string) (OrderAnswer, error) {
	var answer OrderAnswer
	path := OrderPath + "/" + url.PathEscape(string(service)) + "/" + url.PathEscape(id)
	err := a.try(ctx, path, nil, &answer, func(error) bool { return true })
	return answer, err
}

// Addresses returns the addresses that a look-up gives, the best first.
func (a *Asker) Addresses(ctx context.Context) ([]string, error) {
	if _, err := a.lookUp(ctx, a.seeds); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.addresses...), nil
}

// retryOrder reports whether the same order may be sent again: after a broken
// connection, which another instance resolves by ID, or a refusal that states
// that the order did not run and that waiting is not asked for.
func retryOrder(err error) bool {
	var refusal *jujubegate.Refusal
	if !errors.As(err, &refusal) {
		return true
	}
	return refusal.Outcome == jujubegate.NotRun && refusal.Reason != jujubegate.BadRequest &&
		refusal.Reason != jujubegate.Duplicate && refusal.Reason != jujubegate.Expired
}

const (
	// maxTries bounds the addresses that one request is sent to.
	maxTries = 3
	// lookUpTimeout bounds the look-up at one address.
	lookUpTimeout = 300 * time.Millisecond
	// avoidTime is how long an address that failed is not used, although a
	// look-up may still give it out.
	avoidTime = 5 * time.Second
)

func (a *Asker) try(ctx context.Context, path string, request, answer any, again func(error) bool) error {
	var err error
	for left := maxTries; left > 0; left-- {
		var address string
		if address, err = a.address(ctx); err != nil {
			return err
		}
		if err = a.attempt(ctx, left, address, path, request, answer); err == nil {
			return nil
		}
		if final(err) {
			return err
		}
		a.forget(address)
		if ctx.Err() != nil || !again(err) {
			return err
		}
	}
	return err
}

// attempt sends the request to one address. It takes at most half of the time
// left unless it is the last, because an instance that is paused does not
// refuse anything. The caller's timeout should therefore be more than twice
// the service's deadline: a try that is given up earlier is wasted work.
func (a *Asker) attempt(ctx context.Context, triesLeft int, address, path string, request, answer any) error {
	if deadline, ok := ctx.Deadline(); ok && triesLeft > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	return a.send(ctx, address, path, request, answer)
}

// final reports whether another instance would refuse for the same reason.
func final(err error) bool {
	var refusal *jujubegate.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Reason {
	case jujubegate.Isolated, jujubegate.Leaving, jujubegate.NoCoverage, jujubegate.TargetDown, jujubegate.StoreDown:
		return false
	default:
		return true
	}
}

// address returns the next address to use, after a look-up if the kept
// answer has expired.
func (a *Asker) address(ctx context.Context) (string, error) {
	a.mu.Lock()
	if len(a.addresses) > 0 && a.clock.Now().Before(a.expires) {
		defer a.mu.Unlock()
		a.next++
		return a.addresses[a.next%len(a.addresses)], nil
	}
	sources := a.withoutAvoided(append(append([]string(nil), a.addresses...), a.seeds...))
	a.mu.Unlock()
	return a.lookUp(ctx, sources)
}

func (a *Asker) lookUp(ctx context.Context, sources []string) (string, error) {
	path := AddressesPath + "?DataCentre=" + url.QueryEscape(string(a.dataCentre)) +
		"&Caller=" + url.QueryEscape(string(a.caller))
	failures := make([]error, 0, len(sources))
	for _, source := range sources {
		var answer AddressesAnswer
		call, cancel := context.WithTimeout(ctx, lookUpTimeout)
		err := a.send(call, source, path, nil, &answer)
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			return a.keep(answer), nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", source, err))
	}
	return "", oops.In("asker").Wrapf(errors.Join(failures...), "no instance answered the address look-up")
}

func (a *Asker) keep(answer AddressesAnswer) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addresses = a.withoutAvoided(answer.Addresses)
	a.expires = a.clock.Now().Add(time.Duration(answer.ValidForMs) * time.Millisecond)
	a.next++
	return a.addresses[a.next%len(a.addresses)]
}

// withoutAvoided drops addresses that failed recently, unless all have. The
// caller holds the lock.
func (a *Asker) withoutAvoided(addresses []string) []string {
	now := a.clock.Now()
	kept := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if failed, ok := a.failed[address]; !ok || now.Sub(failed) >= avoidTime {
			kept = append(kept, address)
		}
	}
	if len(kept) == 0 {
		return addresses
	}
	return kept
}

// forget drops an address that failed.
func (a *Asker) forget(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed[address] = a.clock.Now()
	kept := make([]string, 0, len(a.addresses))
	for _, other := range a.addresses {
		if other != address {
			kept = append(kept, other)
		}
	}
	a.addresses = kept
}

func (a *Asker) send(ctx context.Context, address, path string, request, answer any) error {
	method, body := http.MethodGet, io.Reader(nil)
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return oops.In("asker").Wrapf(err, "encode request")
		}
		method, body = http.MethodPost, bytes.NewReader(encoded)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return oops.In("asker").Wrapf(err, "make request")
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := a.Do(r)
	if err != nil {
		return oops.In("asker").With("address", address).Wrapf(err, "send request")
	}
	defer response.Body.Close()
	return decode(response, answer)
}

func decode(response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return oops.In("asker").Wrapf(err, "read answer")
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, answer); err != nil {
			return oops.In("asker").Wrapf(err, "decode answer")
		}
		return nil
	}
	var refusal RefusalBody
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Reason == "" {
		return oops.In("asker").Errorf("status %d: %.200s", response.StatusCode, body)
	}
	return refusal.Refusal()
}
