package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 4 << 20

// handle answers a query or an order.
func (t *Target) handle(c echo.Context, order bool) error {
	now := t.clock.Now()
	t.stats.add(func(c *Stats) {
		c.Arrived++
		c.LastArrival = now
	})
	s := t.settings.Load()
	var r Request
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&r); err != nil {
		return t.refuse(c, r, &Refusal{Refusal: BadRequest, Detail: err.Error()})
	}
	held, refusal := check(s, r, order)
	if refusal != nil {
		return t.refuse(c, r, refusal)
	}
	ctx := c.Request().Context()
	a, err := t.limiter.enter(ctx, s, now.Add(milliseconds(r.DeadlineMs)))
	if errors.As(err, &refusal) {
		return t.refuse(c, r, refusal)
	}
	if err != nil {
		t.abort()
	}
	t.stats.started(t.clock.Now(), r, a.inFlight)
	answered := false
	defer func() { a.release(s, answered) }()
	if order {
		// From here on the order counts as run, whatever becomes of its answer.
		t.stats.ordered(r.RequestID)
		ctx = context.WithoutCancel(ctx)
	}
	refusal = t.run(ctx, s, r, a)
	answered = true
	if refusal != nil {
		return t.refuse(c, r, refusal)
	}
	return t.reply(c, s, r, held, order)
}

// check returns the snapshot to answer from, or the refusal.
func check(s *Settings, r Request, order bool) (SnapshotSpec, *Refusal) {
	switch {
	case r.RequestID == "":
		return SnapshotSpec{}, &Refusal{Refusal: BadRequest, Detail: "RequestId is missing"}
	case r.Service != s.Service || r.Shard != s.Shard:
		detail := fmt.Sprintf("target holds shard %d of %s, not shard %d of %s", s.Shard, s.Service, r.Shard, r.Service)
		return SnapshotSpec{}, &Refusal{Refusal: BadRequest, Detail: detail}
	case s.Draining:
		return SnapshotSpec{}, &Refusal{Refusal: Draining, Detail: "target is draining"}
	case r.DeadlineMs <= 0:
		return SnapshotSpec{}, &Refusal{Refusal: DeadlinePassed, Detail: "deadline had passed on arrival"}
	}
	held, ok := s.held(r.Snapshot)
	if !ok && !order {
		detail := fmt.Sprintf("snapshot %d is not held", r.Snapshot)
		return SnapshotSpec{}, &Refusal{Refusal: SnapshotNotHeld, Detail: detail}
	}
	if !ok {
		held, ok = s.held(0)
	}
	if !ok {
		return SnapshotSpec{}, &Refusal{Refusal: SnapshotNotHeld, Detail: "no snapshot is held"}
	}
	return held, nil
}

// run takes the service time. It returns a refusal if a fault says so, and
// aborts the connection if the request was cancelled or dropped.
func (t *Target) run(ctx context.Context, s *Settings, r Request, a *admission) *Refusal {
	took := t.sampler.serviceTime(s)
	if a.cold && s.ColdFactor > 0 {
		took = time.Duration(float64(took) * s.ColdFactor)
	}
	failed := false
	for _, f := range s.Faults {
		if !t.applies(f, r, a) {
			continue
		}
		switch f.Kind {
		case FaultErrors:
			failed = true
		case FaultSlow:
			took = time.Duration(float64(took) * f.Factor)
		}
	}
	if !t.wait(ctx, a.incarnation.ended, took) || !t.unstalled(ctx, a.incarnation.ended) {
		t.abort()
	}
	if failed {
		return &Refusal{Refusal: VersionError, Ran: true, Detail: "version " + s.Version + " is faulty"}
	}
	return nil
}

// applies reports whether a fault concerns the request.
func (t *Target) applies(f Fault, r Request, a *admission) bool {
	t.mu.Lock()
	since := t.faultsSince
	t.mu.Unlock()
	switch {
	case f.Route != "" && f.Route != r.Route,
		a.inFlight < f.MinInFlight,
		t.clock.Since(since) < milliseconds(f.AfterMs):
		return false
	}
	return f.Share == 0 || t.sampler.hit(f.Share)
}

// unstalled waits while the target is stalled.
func (t *Target) unstalled(ctx context.Context, ended <-chan struct{}) bool {
	for {
		t.mu.Lock()
		changed := t.changed
		t.mu.Unlock()
		if !t.settings.Load().Stalled {
			return true
		}
		select {
		case <-changed:
		case <-ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// reply sends the answer, or what the settings say instead.
func (t *Target) reply(c echo.Context, s *Settings, r Request, held SnapshotSpec, order bool) error {
	a := answer(*s, r, held)
	t.mu.Lock()
	other := t.lastRequest
	t.lastRequest = r.RequestID
	t.mu.Unlock()
	switch {
	case order && t.sampler.hit(s.LostOrderShare):
		t.stats.add(func(c *Stats) { c.LostOrders++ })
		panic(http.ErrAbortHandler)
	case t.sampler.hit(s.GarbageShare):
		t.stats.add(func(c *Stats) { c.Garbled++ })
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte("{\"RequestId\": \x00\xff garbage"))
	case t.sampler.hit(s.ForeignShare):
		t.stats.add(func(c *Stats) { c.Garbled++ })
		a.RequestID = other
	case t.sampler.hit(s.WrongSnapshotShare):
		t.stats.add(func(c *Stats) { c.Garbled++ })
		a.Snapshot++
	}
	t.stats.add(func(c *Stats) { c.Answered++ })
	return c.JSON(http.StatusOK, a)
}

func (t *Target) refuse(c echo.Context, r Request, refusal *Refusal) error {
	refusal.RequestID, refusal.Shard = r.RequestID, r.Shard
	t.stats.refused(refusal.Refusal)
	return c.JSON(refusal.status(), refusal)
}

// abort closes the connection without an answer.
func (t *Target) abort() {
	t.stats.add(func(c *Stats) { c.Cancelled++ })
	panic(http.ErrAbortHandler)
}
