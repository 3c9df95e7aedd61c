package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"
	"jujubegate.example/jujubegate/storer"
)

// Default rate limits in calls per second. A watch counts as one read, however
// long it waits.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Outage is a kind of outage of the object API.
type Outage string

// Kinds of outages.
const (
	// OutageNone means that the object API is available.
	OutageNone Outage = ""
	// OutageRefuse answers every call with 503 and "X-Applied: none".
	OutageRefuse Outage = "Refuse"
	// OutageHang leaves every call without an answer and closes its connection when
	// the faults change.
	OutageHang Outage = "Hang"
)

// Faults are the injected faults of the object API. The zero value has none.
type Faults struct {
	// LatencyMs is the delay of each call before it takes effect.
	LatencyMs float64
	Outage    Outage
	// LostAnswers is the share of writes, from 0 to 1, that take effect but whose
	// connection is then closed without an answer.
	LostAnswers float64
	// Seed seeds the draws of lost answers. The sequence restarts when it changes.
	Seed uint64
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 means the default.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// InstancesLagMs is the delay before a change shows in the list of instances.
	InstancesLagMs float64
}

// check returns an error if a value is out of range.
func (f Faults) check() error {
	switch {
	case f.Outage != OutageNone && f.Outage != OutageRefuse && f.Outage != OutageHang:
		return fmt.Errorf("field Outage: %q is neither Refuse nor Hang", f.Outage)
	case f.LostAnswers < 0 || f.LostAnswers > 1:
		return fmt.Errorf("field LostAnswers: %v is not between 0 and 1", f.LostAnswers)
	case f.LatencyMs < 0 || f.WritesPerSecond < 0 || f.ReadsPerSecond < 0 || f.InstancesLagMs < 0:
		return fmt.Errorf("latency, rates and lag must not be negative")
	}
	return nil
}

// lossSampler draws at random which answers are lost.
type lossSampler struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLossSampler(seed uint64) *lossSampler {
	return &lossSampler{random: rand.New(rand.NewPCG(seed, seed))}
}

func (l *lossSampler) sample(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < share
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults and ends all waiting watches and hanging calls.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lossSampler == nil || p.faults.Seed != f.Seed {
		p.lossSampler = newLossSampler(f.Seed)
	}
	writes, reads := f.WritesPerSecond, f.ReadsPerSecond
	if writes == 0 {
		writes = DefaultWritesPerSecond
	}
	if reads == 0 {
		reads = DefaultReadsPerSecond
	}
	p.faults = f
	p.writeLimiter = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
	p.readLimiter = rate.NewLimiter(rate.Limit(reads), max(1, int(reads)))
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
	p.instanceList.setLag(milliseconds(f.InstancesLagMs))
}

// putFaults replaces all faults. Fields that are absent from the body are reset.
func (p *Platform) putFaults(c echo.Context) error {
	var f Faults
	if err := decode(c, &f); err != nil {
		return err
	}
	if err := f.check(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

// withFaults returns a handler that counts a call of the object API and applies the
// faults and rate limits before it calls next.
func (p *Platform) withFaults(kind string, write bool, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.counters.countCall(kind, c.Request().Header.Get(storer.InstanceHeader))
		p.mu.Lock()
		faults, sampler, limiter, changed := p.faults, p.lossSampler, p.readLimiter, p.faultsChanged
		if write {
			limiter = p.writeLimiter
		}
		p.mu.Unlock()
		switch {
		case faults.Outage == OutageRefuse:
			p.counters.countEvent("Refused")
			return notApplied(c, http.StatusServiceUnavailable, "outage")
		case faults.Outage == OutageHang:
			p.counters.countEvent("Hung")
			select {
			case <-changed:
			case <-c.Request().Context().Done():
			}
			panic(http.ErrAbortHandler)
		case !limiter.Allow():
			p.counters.countEvent("RateLimited")
			return notApplied(c, http.StatusTooManyRequests, "rate limit")
		}
		if faults.LatencyMs > 0 {
			<-p.clock.After(milliseconds(faults.LatencyMs))
		}
		if write && sampler.sample(faults.LostAnswers) {
			p.counters.countEvent("LostAnswers")
			discarded := c.Echo().NewContext(c.Request(), discardWriter{header: http.Header{}})
			_ = next(discarded)
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// notApplied answers a call that was refused before it was processed.
func notApplied(c echo.Context, status int, reason string) error {
	c.Response().Header().Set(storer.AppliedHeader, storer.AppliedNone)
	return c.JSON(status, errorMessage{Error: reason})
}

// discardWriter is a response writer that discards the response.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// untilFaultsChange returns a context that ends with the parent or when the faults
// change. The cancel function must be called.
func (p *Platform) untilFaultsChange(ctx context.Context) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	changed := p.faultsChanged
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := make(chan struct{})
	go func() {
		select {
		case <-changed:
			cancel()
		case <-stop:
		}
	}()
	var once sync.Once
	return ctx, func() {
		once.Do(func() { close(stop) })
		cancel()
	}
}

// withoutCancel returns the context of the request, without its cancellation.
func withoutCancel(c echo.Context) context.Context {
	return context.WithoutCancel(c.Request().Context())
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// decodeStrictly decodes JSON and fails on unknown fields.
func decodeStrictly(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	return d.Decode(v)
}
