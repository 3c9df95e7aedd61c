package tracker

import (
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate/wire"
)

const (
	// departureMemory is for how long a target that said that it leaves is remembered
	// after it is no longer listed, since a late list can name it again, and
	// maxDepartures how many of them are.
	departureMemory = 10 * time.Minute
	maxDepartures   = 4096
	// tellFor is for how long a departure is told to peers, and maxTold bounds those in
	// one message.
	tellFor = 10 * time.Second
	maxTold = 32
)

// departure is what a target has said about its leaving.
type departure struct {
	// started is the incarnation of the target that leaves.
	started int64
	// saidAt is when it said so, as far as is known.
	saidAt time.Time
	// toldUntil is until when messages to peers include it.
	toldUntil time.Time
}

// ObserveLeaving records that a target said in an answer that it leaves. Its word goes
// before what the store lists, until another incarnation of it is listed.
func (t *Tracker) ObserveLeaving(r *Replica) {
	if r.leaving.Swap(true) {
		return
	}
	e, now := r.Entry(), t.settings.Clock.Now()
	t.mu.Lock()
	changed := t.depart(e.ID, departure{started: e.Started, saidAt: now, toldUntil: now.Add(tellFor)}, now)
	if changed {
		t.publish()
	}
	t.mu.Unlock()
	if changed && t.settings.Changed != nil {
		t.settings.Changed()
	}
}

// depart records the departure of a target and reports whether it is news.
func (t *Tracker) depart(id string, d departure, now time.Time) bool {
	if known, ok := t.departures[id]; ok && known.started >= d.started {
		return false
	}
	t.forgetDepartures(now)
	t.departures[id] = d
	t.counters.departures.Add(1)
	t.settings.Log.Info("tracker: target says that it leaves", zap.String("Target", id), zap.Int64("Started", d.started),
		zap.Duration("Ago", now.Sub(d.saidAt)))
	return true
}

// usableUntil is until when a target that leaves may still get requests if its service
// has no other one.
func (t *Tracker) usableUntil(d departure) time.Time {
	return d.saidAt.Add(t.settings.Drain - drainMargin)
}

// Departures returns the departures that must still be told to other instances, or all
// of them if whole is set.
func (t *Tracker) Departures(whole bool) []*wire.Departure {
	now := t.settings.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var told []*wire.Departure
	for id, d := range t.departures {
		if now.Before(d.toldUntil) && len(told) < maxTold || whole {
			told = append(told, &wire.Departure{Target: id, Started: d.started, AgeMs: now.Sub(d.saidAt).Milliseconds()})
		}
	}
	return told
}

// MergeDepartures merges the departures that a peer knows.
func (t *Tracker) MergeDepartures(received []*wire.Departure) {
	now := t.settings.Clock.Now()
	changed := false
	t.mu.Lock()
	for _, w := range received {
		age := time.Duration(w.GetAgeMs()) * time.Millisecond
		if w.GetTarget() == "" || age < 0 || age > departureMemory {
			continue
		}
		changed = t.depart(w.GetTarget(), departure{started: w.GetStarted(), saidAt: now.Add(-age), toldUntil: now.Add(tellFor)}, now) || changed
	}
	if changed {
		t.publish()
	}
	t.mu.Unlock()
	if changed && t.settings.Changed != nil {
		t.settings.Changed()
	}
}

// forgetDepartures removes the departures that are over for long, and the oldest one if
// there are too many.
func (t *Tracker) forgetDepartures(now time.Time) {
	oldest := ""
	for id, d := range t.departures {
		if _, ok := t.replicas[id]; !ok && now.Sub(d.saidAt) > departureMemory {
			delete(t.departures, id)
		} else if oldest == "" || d.saidAt.Before(t.departures[oldest].saidAt) {
			oldest = id
		}
	}
	if len(t.departures) >= maxDepartures {
		delete(t.departures, oldest)
	}
}

// departureOf returns the departure of a target, if it has said that it leaves.
func (t *Tracker) departureOf(e *Entry) (departure, bool) {
	d, ok := t.departures[e.ID]
	return d, ok && d.started == e.Started
}
