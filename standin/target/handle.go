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

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 4 << 20

// handle processes a query or an order.
func (t *Target) handle(c echo.Context, order bool) error {
	now := t.clock.Now()
	t.stats.update(func(c *Stats) {
		c.Arrived++
		c.LastArrival = now
	})
	s := t.settings.Load()
	var r Request
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&r); err != nil {
		return t.refuse(c, r, &Refusal{Refusal: BadRequest, Detail: err.Error()})
	}
	snapshot, refusal := check(s, r, order)
	if refusal != nil {
		return t.refuse(c, r, refusal)
	}
	ctx := c.Request().Context()
	admitted, err := t.limiter.acquire(ctx, s, now.Add(milliseconds(r.DeadlineMs)))
	if errors.As(err, &refusal) {
		return t.refuse(c, r, refusal)
	}
	if err != nil {
		t.abortConnection()
	}
	t.stats.countStart(t.clock.Now(), r, admitted.inFlight)
	answered := false
	defer func() { admitted.release(s, answered) }()
	if order {
		// From here on the order counts as run, even if its answer is lost or its
		// connection is closed.
		t.stats.countOrder(r.RequestID)
		ctx = context.WithoutCancel(ctx)
	}
	refusal = t.run(ctx, s, r, admitted)
	answered = true
	if refusal != nil {
		return t.refuse(c, r, refusal)
	}
	return t.reply(c, s, r, snapshot, order)
}

// check validates the request and returns the snapshot to answer it from, or a
// refusal. A query needs the requested snapshot; an order falls back to the newest.
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
	snapshot, ok := s.findSnapshot(r.Snapshot)
	if !ok && !order {
		detail := fmt.Sprintf("snapshot %d is not held", r.Snapshot)
		return SnapshotSpec{}, &Refusal{Refusal: SnapshotNotHeld, Detail: detail}
	}
	if !ok {
		snapshot, ok = s.findSnapshot(0)
	}
	if !ok {
		return SnapshotSpec{}, &Refusal{Refusal: SnapshotNotHeld, Detail: "no snapshot is held"}
	}
	return snapshot, nil
}

// run simulates the processing of a request by waiting for its service time. It
// returns a refusal if an Errors fault applies, and aborts the connection if the
// request is cancelled or the target restarts.
func (t *Target) run(ctx context.Context, s *Settings, r Request, admitted *admission) *Refusal {
	serviceTime := t.sampler.serviceTime(s)
	if admitted.cold && s.ColdFactor > 0 {
		serviceTime = time.Duration(float64(serviceTime) * s.ColdFactor)
	}
	faulty := false
	for _, f := range s.Faults {
		if !t.applies(f, r, admitted) {
			continue
		}
		switch f.Kind {
		case FaultErrors:
			faulty = true
		case FaultSlow:
			serviceTime = time.Duration(float64(serviceTime) * f.Factor)
		}
	}
	if !t.wait(ctx, admitted.incarnation.ended, serviceTime) || !t.waitWhileStalled(ctx, admitted.incarnation.ended) {
		t.abortConnection()
	}
	if faulty {
		return &Refusal{Refusal: VersionError, Ran: true, Detail: "version " + s.Version + " is faulty"}
	}
	return nil
}

// applies reports whether the fault affects the request. For a fault with a Share
// it draws a random number.
func (t *Target) applies(f Fault, r Request, admitted *admission) bool {
	t.mu.Lock()
	since := t.faultsSince
	t.mu.Unlock()
	switch {
	case f.Route != "" && f.Route != r.Route,
		admitted.inFlight < f.MinInFlight,
		t.clock.Since(since) < milliseconds(f.AfterMs):
		return false
	}
	return f.Share == 0 || t.sampler.chance(f.Share)
}

// waitWhileStalled blocks while the target is stalled. It returns false if the
// context or the incarnation ended first.
func (t *Target) waitWhileStalled(ctx context.Context, ended <-chan struct{}) bool {
	for {
		t.mu.Lock()
		changed := t.settingsChanged
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

// reply sends the answer, or loses or corrupts it with the probabilities of the
// settings.
func (t *Target) reply(c echo.Context, s *Settings, r Request, snapshot SnapshotSpec, order bool) error {
	a := newAnswer(*s, r, snapshot)
	t.mu.Lock()
	previousID := t.lastRequestID
	t.lastRequestID = r.RequestID
	t.mu.Unlock()
	switch {
	case order && t.sampler.chance(s.LostOrderShare):
		t.stats.update(func(c *Stats) { c.LostOrders++ })
		panic(http.ErrAbortHandler)
	case t.sampler.chance(s.GarbageShare):
		t.stats.update(func(c *Stats) { c.Garbled++ })
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte("{\"RequestId\": \x00\xff garbage"))
	case t.sampler.chance(s.ForeignShare):
		t.stats.update(func(c *Stats) { c.Garbled++ })
		a.RequestID = previousID
	case t.sampler.chance(s.WrongSnapshotShare):
		t.stats.update(func(c *Stats) { c.Garbled++ })
		a.Snapshot++
	}
	t.stats.update(func(c *Stats) { c.Answered++ })
	return c.JSON(http.StatusOK, a)
}

func (t *Target) refuse(c echo.Context, r Request, refusal *Refusal) error {
	refusal.RequestID, refusal.Shard = r.RequestID, r.Shard
	t.stats.countRefusal(refusal.Refusal)
	return c.JSON(refusal.status(), refusal)
}

// abortConnection closes the connection without an answer. It doesn't return.
func (t *Target) abortConnection() {
	t.stats.update(func(c *Stats) { c.Cancelled++ })
	panic(http.ErrAbortHandler)
}
