// Package target is a stand-in for a back end in tests, demos and measurements. A
// target holds one shard of a service, answers over HTTP/1.1 with JSON and injects
// the faults that its settings describe.
//
//	POST /query, /order   Request; 200 Answer, else Refusal
//	GET  /load            Load; stale or wrong if the settings say so
//	GET  /stats           Stats
//	GET  /orders/<id>     {Runs}: the number of runs of an order
//	GET  /control         Settings
//	PUT  /control         Control; answers with the resulting Settings
//	GET  /debug/vars      Stats under the key "target"
//
// Refusals carry Ran: false and one of these statuses: 400 BadRequest, 409
// SnapshotNotHeld, 429 Shed, 503 Draining, 504 DeadlinePassed. A target with an
// Errors fault answers 500 with Ran: true. Closing the connection cancels a query;
// an order that got a slot runs to completion.
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

// Target is a running target. It implements the API in the package comment.
type Target struct {
	clock    jujubegate.Clock
	log      *zap.Logger
	settings atomic.Pointer[Settings]
	limiter  *limiter
	stats    *stats
	sampler  *sampler
	listener *listener
	server   *http.Server
	// serveDone is closed when the server has stopped.
	serveDone chan struct{}

	mu sync.Mutex
	// settingsChanged is closed and replaced at each change of the settings.
	settingsChanged chan struct{}
	faultsSince     time.Time
	// lastLoad is the load report that is served until LoadLagMs have passed.
	lastLoad   Load
	lastLoadAt time.Time
	// lastRequestID is the ID that a foreign answer carries.
	lastRequestID string
}

// New starts a target that listens on the address in its settings.
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
		clock:           clock,
		log:             log,
		stats:           newStats(),
		sampler:         newSampler(s.Seed),
		serveDone:       make(chan struct{}),
		settingsChanged: make(chan struct{}),
		faultsSince:     clock.Now(),
	}
	t.settings.Store(&s)
	t.limiter = newLimiter(clock, &s, t.coldOverloaded)
	t.listener = &listener{Listener: inner, target: t, conns: map[*conn]struct{}{}}
	t.server = &http.Server{Handler: t.routes(), ReadHeaderTimeout: time.Minute}
	go func() {
		defer close(t.serveDone)
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

// Settings returns the current settings.
func (t *Target) Settings() Settings { return *t.settings.Load() }

// OrderRuns returns the number of runs of the order with the request ID.
func (t *Target) OrderRuns(requestID string) int { return t.stats.runs(requestID) }

// Stats returns the counters and the current state.
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

// Close stops listening, waits for requests in flight until the context ends, and
// then closes all connections.
func (t *Target) Close(ctx context.Context) error {
	err := t.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, t.server.Close())
	}
	t.listener.closeAll()
	<-t.serveDone
	return oops.In("target").Wrap(err)
}

// coldOverloaded counts the overload of a cold target and closes all connections.
func (t *Target) coldOverloaded() {
	t.stats.update(func(c *Stats) {
		c.ColdOverload++
		c.Restarts++
	})
	t.log.Warn("target: cold target is overloaded, restarting", zap.String("address", t.Address()))
	t.listener.closeAll()
}

// wait blocks for the duration. It returns false if the context or the incarnation
// ended first.
func (t *Target) wait(ctx context.Context, ended <-chan struct{}, d time.Duration) bool {
	select {
	case <-t.clock.After(d):
		return true
	case <-ended:
	case <-ctx.Done():
	}
	return false
}
