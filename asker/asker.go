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

// maxAnswerBytes limits the response body that is read, maxHeaderBytes its headers.
const (
	maxAnswerBytes = 64 << 20
	maxHeaderBytes = 32 << 10
)

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
	// failed maps each address to the time of its last failure.
	failed map[string]time.Time
}

// New returns an asker that looks up addresses at the seeds, which are host:port
// of any instances.
func New(seeds []string, dataCentre jujubegate.DataCentre, caller jujubegate.Caller, clock jujubegate.Clock) *Asker {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeaderBytes}
	client := &http.Client{Transport: transport}
	return &Asker{Do: client.Do, clock: clock, seeds: seeds, dataCentre: dataCentre, caller: caller, failed: make(map[string]time.Time)}
}

// Query sends a query to one address and to the next ones if the connection
// failed or the refusal does not hold for every instance. This is safe because
// queries are idempotent.
func (a *Asker) Query(ctx context.Context, request QueryRequest) (QueryAnswer, error) {
	request.Caller = a.caller
	var answer QueryAnswer
	err := a.sendWithRetries(ctx, QueryPath, request, &answer, func(error) bool { return true })
	return answer, err
}

// Order sends an order. It retries at other addresses with the same ID, which is
// safe because the outcome is recorded by ID.
func (a *Asker) Order(ctx context.Context, request OrderRequest) (OrderAnswer, error) {
	request.Caller = a.caller
	var answer OrderAnswer
	// An attempt without an answer may have started the order, so First is
	// cleared for later attempts unless the refusal says that it did not run.
	err := a.sendWithRetries(ctx, OrderPath, &request, &answer, func(err error) bool {
		var refusal *jujubegate.Refusal
		request.First = request.First && errors.As(err, &refusal) && refusal.Outcome == jujubegate.NotRun
		return mayRetryOrder(err)
	})
	return answer, err
}

// Outcome looks up the recorded outcome of an order.
func (a *Asker) Outcome(ctx context.Context, service jujubegate.Service, id string) (OrderAnswer, error) {
	var answer OrderAnswer
	path := OrderPath + "/" + url.PathEscape(string(service)) + "/" + url.PathEscape(id)
	err := a.sendWithRetries(ctx, path, nil, &answer, func(error) bool { return true })
	return answer, err
}

// Addresses looks up the addresses to use and returns them, the best first.
func (a *Asker) Addresses(ctx context.Context) ([]string, error) {
	if _, err := a.lookUp(ctx, a.seeds); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.addresses...), nil
}

// mayRetryOrder reports whether the same order may be sent again: after an attempt
// without an answer, since another instance finds the outcome by ID, or after a
// refusal with outcome NotRun, unless a retry would be refused for the same reason.
func mayRetryOrder(err error) bool {
	var refusal *jujubegate.Refusal
	if !errors.As(err, &refusal) {
		return true
	}
	return refusal.Outcome == jujubegate.NotRun && refusal.Reason != jujubegate.BadRequest &&
		refusal.Reason != jujubegate.Duplicate && refusal.Reason != jujubegate.Expired
}

const (
	// maxAttempts limits the number of attempts for one request.
	maxAttempts = 3
	// lookUpTimeout limits the lookup at one address.
	lookUpTimeout = 300 * time.Millisecond
	// avoidDuration is how long an address is not used after a failure, even if a
	// lookup still returns it.
	avoidDuration = 5 * time.Second
)

// sendWithRetries makes up to maxAttempts attempts, each at the next address. It
// stops at an answer, at a refusal that other instances would repeat, or when
// mayRetry returns false.
func (a *Asker) sendWithRetries(ctx context.Context, path string, request, answer any, mayRetry func(error) bool) error {
	var err error
	for attemptsLeft := maxAttempts; attemptsLeft > 0; attemptsLeft-- {
		var address string
		if address, err = a.nextAddress(ctx); err != nil {
			return err
		}
		if err = a.attempt(ctx, attemptsLeft, address, path, request, answer); err == nil {
			return nil
		}
		if rejectedEverywhere(err) {
			return err
		}
		a.markFailed(address)
		if ctx.Err() != nil || !mayRetry(err) {
			return err
		}
	}
	return err
}

// attempt sends the request to one address. Unless it is the last attempt, it
// takes at most half of the remaining time, because a paused instance neither
// answers nor refuses. The caller's timeout should therefore be more than twice
// the service's deadline: the work of an attempt that is abandoned earlier is
// wasted.
func (a *Asker) attempt(ctx context.Context, attemptsLeft int, address, path string, request, answer any) error {
	if deadline, ok := ctx.Deadline(); ok && attemptsLeft > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	return a.send(ctx, address, path, request, answer)
}

// rejectedEverywhere reports whether the error is a refusal that other instances
// would repeat for the same reason.
func rejectedEverywhere(err error) bool {
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

// nextAddress returns the next address to use. It looks the addresses up again if
// the last lookup has expired.
func (a *Asker) nextAddress(ctx context.Context) (string, error) {
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

// lookUp asks the sources in turn for the addresses to use, stores them and
// returns the next one.
func (a *Asker) lookUp(ctx context.Context, sources []string) (string, error) {
	path := AddressesPath + "?DataCentre=" + url.QueryEscape(string(a.dataCentre)) +
		"&Caller=" + url.QueryEscape(string(a.caller))
	failures := make([]error, 0, len(sources))
	for _, source := range sources {
		var answer AddressesAnswer
		callCtx, cancel := context.WithTimeout(ctx, lookUpTimeout)
		err := a.send(callCtx, source, path, nil, &answer)
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			return a.storeAddresses(answer), nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", source, err))
	}
	return "", oops.In("asker").Wrapf(errors.Join(failures...), "no instance answered the address look-up")
}

// storeAddresses stores the result of a lookup and returns the next address.
func (a *Asker) storeAddresses(answer AddressesAnswer) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addresses = a.withoutAvoided(answer.Addresses)
	a.expires = a.clock.Now().Add(time.Duration(answer.ValidForMs) * time.Millisecond)
	a.next++
	return a.addresses[a.next%len(a.addresses)]
}

// withoutAvoided returns the addresses without those that failed less than
// avoidDuration ago, or all of them if none would remain. a.mu must be held.
func (a *Asker) withoutAvoided(addresses []string) []string {
	now := a.clock.Now()
	kept := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if failed, ok := a.failed[address]; !ok || now.Sub(failed) >= avoidDuration {
			kept = append(kept, address)
		}
	}
	if len(kept) == 0 {
		return addresses
	}
	return kept
}

// markFailed records the failure of an address and removes it from those in use.
func (a *Asker) markFailed(address string) {
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
