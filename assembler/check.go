package assembler

import (
	"maps"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/transporter"
)

// Times within which new requests must stop after a data centre is taken out, a
// target starts to leave, or a version is halted.
const (
	maxOutDelay     = 3 * time.Second
	maxLeavingDelay = 3 * time.Second
	maxHaltDelay    = 2 * time.Second
)

// sendChecks checks the requests that were sent against the invariants of the
// recorder. The checks use the times at which this instance learned of an event
// and are independent of the code that decides whether to send.
type sendChecks struct {
	mu sync.Mutex
	// out holds the times since which data centres are out, halted those since
	// which versions are halted, and leaving when targets were listed as leaving.
	out     map[jujubegate.DataCentre]time.Time
	halted  map[versionKey]time.Time
	leaving map[jujubegate.Address]leavingTimes
	// usable holds the times since which this instance may send to a target.
	usable map[jujubegate.Address]time.Time
}

// leavingTimes holds when a target was first and last listed as leaving.
type leavingTimes struct {
	first, last time.Time
}

// leavingRetention is the time after which a target that is no longer listed as
// leaving is removed from the checks. The list is read every 2 s.
const leavingRetention = 5 * time.Second

type versionKey struct {
	service jujubegate.Service
	version jujubegate.Version
}

func newSendChecks() *sendChecks {
	return &sendChecks{
		out:     make(map[jujubegate.DataCentre]time.Time),
		halted:  make(map[versionKey]time.Time),
		leaving: make(map[jujubegate.Address]leavingTimes),
		usable:  make(map[jujubegate.Address]time.Time),
	}
}

// trackFirstSeen records now as the first time of each new key in current, and
// deletes the keys that are no longer in it.
func trackFirstSeen[K comparable](firstSeen map[K]time.Time, current []K, now time.Time) {
	present := make(map[K]struct{}, len(current))
	for _, k := range current {
		present[k] = struct{}{}
		if _, ok := firstSeen[k]; !ok {
			firstSeen[k] = now
		}
	}
	for k := range firstSeen {
		if _, ok := present[k]; !ok {
			delete(firstSeen, k)
		}
	}
}

// update records the data centres that are out, the halted versions and the
// targets that this instance may send to.
func (s *sendChecks) update(now time.Time, c configurator.Configuration, halted []versionKey, usable []jujubegate.Target) {
	var out []jujubegate.DataCentre
	for _, d := range c.DataCentres() {
		if d.Out {
			out = append(out, d.Name)
		}
	}
	addresses := make([]jujubegate.Address, len(usable))
	for i, t := range usable {
		addresses[i] = t.Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	trackFirstSeen(s.out, out, now)
	trackFirstSeen(s.halted, halted, now)
	trackFirstSeen(s.usable, addresses, now)
	maps.DeleteFunc(s.leaving, func(_ jujubegate.Address, l leavingTimes) bool {
		return now.Sub(l.last) > leavingRetention
	})
}

// recordLeaving records the targets that the platform lists as leaving.
func (s *sendChecks) recordLeaving(now time.Time, leaving []jujubegate.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range leaving {
		known, ok := s.leaving[target]
		if !ok {
			known.first = now
		}
		known.last = now
		s.leaving[target] = known
	}
}

// violations returns the invariants that a request to the target violates if it
// started at the given time.
func (s *sendChecks) violations(t jujubegate.Target, started time.Time) []recorder.Invariant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var violated []recorder.Invariant
	checkDelay := func(event time.Time, ok bool, limit time.Duration, name recorder.Invariant) {
		if ok && started.Sub(event) > limit {
			violated = append(violated, name)
		}
	}
	since, ok := s.out[t.DataCentre]
	checkDelay(since, ok, maxOutDelay, recorder.DataCentreOut)
	since, ok = s.halted[versionKey{t.Service, t.Version}]
	checkDelay(since, ok, maxHaltDelay, recorder.BadVersion)
	times, ok := s.leaving[t.Address]
	checkDelay(times.first, ok, maxLeavingDelay, recorder.Leaving)
	return violated
}

// usableBefore reports whether this instance has been able to send to the target
// since before a time.
func (s *sendChecks) usableBefore(target jujubegate.Address, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.usable[target]
	return ok && since.Before(at)
}

// checkSend reports the invariants that a request to a target has violated.
func (d *Daemon) checkSend(t jujubegate.Target, started time.Time) {
	for _, name := range d.checks.violations(t, started) {
		d.recorder.Check().Violation(name, "request to target %s of version %s in data centre %s", t.Address, t.Version, t.DataCentre)
	}
}

// checkOwners reports a violation if two instances may send to a target. A peer
// reports only targets that it may send to, so it must report none that this
// instance could use before the heartbeat was sent and can still use.
func (d *Daemon) checkOwners(o transporter.Observation) {
	now := d.clock.Now()
	for _, r := range o.Reports {
		if d.checks.usableBefore(r.Target, o.Sent) && d.ownership.MaySend(r.Target, now) {
			d.recorder.Check().Violation(recorder.DoubleOwner, "target %s is owned by %s and this instance", r.Target, o.Peer.Instance)
		}
	}
}

// usableReports returns the reports of targets that this instance may send to
// now.
func (d *Daemon) usableReports(reports []jujubegate.TargetReport) []jujubegate.TargetReport {
	now := d.clock.Now()
	kept := make([]jujubegate.TargetReport, 0, len(reports))
	for _, r := range reports {
		if d.ownership.MaySend(r.Target, now) {
			kept = append(kept, r)
		}
	}
	return kept
}
