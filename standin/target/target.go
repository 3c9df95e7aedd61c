// Package target is a stand-in of a back end: one process that holds one shard
// of a service and answers over HTTP/1.1 with JSON.
//
//	POST /query, /order   Request; 200 Answer, else Refusal
//	GET  /load            Load; may be stale or wrong on command
//	GET  /stats           Stats
//	GET  /orders/<id>     {Runs}: how often an order ran
//	GET  /control         Settings
//	PUT  /control         Control; answers with the Settings in force
//	GET  /debug/vars      Stats under the key "target"
//
// Refusals carry Ran: false and one of these statuses: 400 BadRequest, 409
// SnapshotNotHeld, 429 Shed, 503 Draining, 504 DeadlinePassed. A faulty version
// answers 500 with Ran: true. Closing the connection cancels a query; an order
// that got a slot runs to its end.
package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"jujubegate.example/jujubegate"
)

// Target is one running stand-in.
type Target struct {
	clock    jujubegate.Clock
	log      *zap.Logger
	settings atomic.Pointer[Settings]
	limiter  *limiter
	stats    *stats
	sampler  *sampler
	listener *listener
	server   *http.Server
	served   chan struct{}

	mu          sync.Mutex
	changed     chan struct{}
	faultsSince time.Time
	report      Load
	reported    time.Time
	lastRequest string
}

// New starts a target that listens on the address of its settings.
func New(s Settings, clock jujubegate.Clock, log *zap.Logger) (*Target, error) {
	if err := s.Check(); err != nil {
		return nil, oops.In("target").With("address", s.Address).Wrap(err)
	}
	inner, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, oops.In("target").With("address", s.Address).Wrap(err)
	}
	s.Address = inner.Addr().String()
	t := &Target{
		clock:       clock,
		log:         log,
		stats:       newStats(),
		sampler:     newSampler(s.Seed),
		served:      make(chan struct{}),
		changed:     make(chan struct{}),
		faultsSince: clock.Now(),
	}
	t.settings.Store(&s)
	t.limiter = newLimiter(clock, &s, t.overloaded)
	t.listener = &listener{Listener: inner, target: t, conns: map[*conn]struct{}{}}
	t.server = &http.Server{Handler: t.routes(), ReadHeaderTimeout: time.Minute}
	go func() {
		defer close(t.served)
		if err := t.server.Serve(t.listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("target: server failed", zap.String("address", s.Address), zap.Error(err))
		}
	}()
	return t, nil
}

func (t *Target) routes() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/query", func(c echo.Context) error { return t.handle(c, false) })
	e.POST("/order", func(c echo.Context) error { return t.handle(c, true) })
	e.GET("/load", t.serveLoad)
	e.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Stats()) })
	e.GET("/orders/:id", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]int{"Runs": t.OrderRuns(c.Param("id"))})
	})
	e.GET("/control", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Settings()) })
	e.PUT("/control", t.serveControl)
	e.GET("/debug/vars", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]Stats{"target": t.Stats()})
	})
	return e
}

// Address returns the host:port that the target listens on.
func (t *Target) Address() string { return t.settings.Load().Address }

// Settings returns the settings in force.
func (t *Target) Settings() Settings { return *t.settings.Load() }

// OrderRuns returns how often the order with the request ID ran.
func (t *Target) OrderRuns(requestID string) int { return t.stats.runs(requestID) }

// Stats returns the counters.
func (t *Target) Stats() Stats {
	s := t.settings.Load()
	c := t.stats.copy()
	c.Address, c.Service, c.Shard, c.DataCentre, c.Version = s.Address, s.Service, s.Shard, s.DataCentre, s.Version
	load := t.load(s)
	c.State, c.InFlight = load.State, load.InUse
	_, _, c.Queued = t.limiter.state(s)
	c.Connections = t.listener.open()
	return c
}

// Close stops listening, lets requests in flight finish until the context
// ends, and then closes all connections.
func (t *Target) Close(ctx context.Context) error {
	err := t.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, t.server.Close())
	}
	t.listener.closeAll()
	<-t.served
	return oops.In("target").Wrap(err)
}

// overloaded counts the overload of a cold target and drops all connections.
func (t *Target) overloaded() {
	t.stats.add(func(c *Stats) {
		c.ColdOverload++
		c.Restarts++
	})
	t.log.Warn("target: cold target is overloaded and restarts", zap.String("address", t.Address()))
	t.listener.closeAll()
}

// wait returns false if the wait ended early: the context
// or the incarnation ended.
func (t *Target) wait(ctx context.Context, ended <-chan struct{}, d time.Duration) bool {
	select {
	case <-t.clock.After(d):
		return true
	case <-ended:
	case <-ctx.Done():
	}
	return false
}
