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

// Default rate limits in calls per second; a waiting watch is one read.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Outage is the way in which the object API is down.
type Outage string

// Outages.
const (
	// OutageNone is no outage.
	OutageNone Outage = ""
	// OutageRefuse answers every call with 503 and "X-Applied: none".
	OutageRefuse Outage = "Refuse"
	// OutageHang leaves every call without an answer, and breaks the connections
	// when the outage ends.
	OutageHang Outage = "Hang"
)

// Faults are the faults of the object API. The zero value has none.
type Faults struct {
	// LatencyMs is added to each call, before it takes effect.
	LatencyMs float64
	Outage    Outage
	// LostAnswers is the share of writes, from 0 to 1, that take effect and
	// whose connection is then closed without an answer.
	LostAnswers float64
	// Seed determines which answers are lost; the draws restart when it changes.
	Seed uint64
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 means the default.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// InstancesLagMs is the age of the list of instances.
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

// losses draws which answers are lost.
type losses struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLosses(seed uint64) *losses {
	return &losses{random: rand.New(rand.NewPCG(seed, seed))}
}

func (l *losses) lost(share float64) bool {
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

// SetFaults replaces the faults and ends waiting and hanging calls.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.losses == nil || p.faults.Seed != f.Seed {
		p.losses = newLosses(f.Seed)
	}
	writes, reads := f.WritesPerSecond, f.ReadsPerSecond
	if writes == 0 {
		writes = DefaultWritesPerSecond
	}
	if reads == 0 {
		reads = DefaultReadsPerSecond
	}
	p.faults = f
	p.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
	p.reads = rate.NewLimiter(rate.Limit(reads), max(1, int(reads)))
	close(p.changed)
	p.changed = make(chan struct{})
	p.instances.setLag(milliseconds(f.InstancesLagMs))
}

// putFaults replaces all faults: fields that are absent are reset.
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

// counted counts a call of the object API and applies the faults around it.
func (p *Platform) counted(kind string, write bool, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.counters.call(kind, c.Request().Header.Get(storer.InstanceHeader))
		p.mu.Lock()
		faults, losses, limiter, changed := p.faults, p.losses, p.reads, p.changed
		if write {
			limiter = p.writes
		}
		p.mu.Unlock()
		switch {
		case faults.Outage == OutageRefuse:
			p.counters.event("Refused")
			return notApplied(c, http.StatusServiceUnavailable, "outage")
		case faults.Outage == OutageHang:
			p.counters.event("Hung")
			select {
			case <-changed:
			case <-c.Request().Context().Done():
			}
			panic(http.ErrAbortHandler)
		case !limiter.Allow():
			p.counters.event("RateLimited")
			return notApplied(c, http.StatusTooManyRequests, "rate limit")
		}
		if faults.LatencyMs > 0 {
			<-p.clock.After(milliseconds(faults.LatencyMs))
		}
		if write && losses.lost(faults.LostAnswers) {
			p.counters.event("LostAnswers")
			discarded := c.Echo().NewContext(c.Request(), discard{header: http.Header{}})
			_ = next(discarded)
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// notApplied answers a call that was not processed.
func notApplied(c echo.Context, status int, reason string) error {
	c.Response().Header().Set(storer.AppliedHeader, storer.AppliedNone)
	return c.JSON(status, errorMessage{Error: reason})
}

// discard is a response that nobody receives.
type discard struct {
	header http.Header
}

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// untilOutage returns a context that ends when the faults change.
func (p *Platform) untilOutage(ctx context.Context) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	changed := p.changed
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

func detached(c echo.Context) context.Context {
	return context.WithoutCancel(c.Request().Context())
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func decodeStrictly(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	return d.Decode(v)
}
