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

// Promised times from an event to the last new work.
const (
	outLimit     = 3 * time.Second
	leavingLimit = 3 * time.Second
	haltLimit    = 2 * time.Second
)

// sendChecks compare what was sent with the promises. They use the times at
// which this instance learned of an event, and not the decisions that kept it.
type sendChecks struct {
	mu sync.Mutex
	// out holds since when a data centre is out, halted since when a version
	// is, leaving since when a target leaves.
	out     map[jujubegate.DataCentre]time.Time
	halted  map[versionKey]time.Time
	leaving map[jujubegate.Address]leavingTarget
	// usable holds since when this instance may send to a target.
	usable map[jujubegate.Address]time.Time
}

// leavingTarget is when a target was first and last listed as leaving.
type leavingTarget struct {
	first, last time.Time
}

// leavingRetention is the time after which a target that is no longer listed
// is forgotten. The list is read every 2 s.
const leavingRetention = 5 * time.Second

type versionKey struct {
	service jujubegate.Service
	version jujubegate.Version
}

func newSendChecks() *sendChecks {
	return &sendChecks{
		out:     make(map[jujubegate.DataCentre]time.Time),
		halted:  make(map[versionKey]time.Time),
		leaving: make(map[jujubegate.Address]leavingTarget),
		usable:  make(map[jujubegate.Address]time.Time),
	}
}

// since keeps the first time at which each key was seen, and forgets keys that
// are no longer seen.
func since[K comparable](known map[K]time.Time, seen []K, now time.Time) {
	present := make(map[K]struct{}, len(seen))
	for _, k := range seen {
		present[k] = struct{}{}
		if _, ok := known[k]; !ok {
			known[k] = now
		}
	}
	for k := range known {
		if _, ok := present[k]; !ok {
			delete(known, k)
		}
	}
}

// note takes what is in force now.
func (s *sendChecks) note(now time.Time, c configurator.Configuration, halted []versionKey, usable []jujubegate.Target) {
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
	since(s.out, out, now)
	since(s.halted, halted, now)
	since(s.usable, addresses, now)
	maps.DeleteFunc(s.leaving, func(_ jujubegate.Address, l leavingTarget) bool {
		return now.Sub(l.last) > leavingRetention
	})
}

// noteLeaving takes the targets that the platform lists as leaving.
func (s *sendChecks) noteLeaving(now time.Time, leaving []jujubegate.Address) {
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

// broken returns the promises that a request to the target broke by its start.
func (s *sendChecks) broken(t jujubegate.Target, started time.Time) []recorder.Invariant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []recorder.Invariant
	late := func(from time.Time, ok bool, limit time.Duration, name recorder.Invariant) {
		if ok && started.Sub(from) > limit {
			broken = append(broken, name)
		}
	}
	at, ok := s.out[t.DataCentre]
	late(at, ok, outLimit, recorder.DataCentreOut)
	at, ok = s.halted[versionKey{t.Service, t.Version}]
	late(at, ok, haltLimit, recorder.BadVersion)
	listed, ok := s.leaving[t.Address]
	late(listed.first, ok, leavingLimit, recorder.Leaving)
	return broken
}

// usableBefore reports whether this instance could send to the target before a time.
func (s *sendChecks) usableBefore(target jujubegate.Address, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, ok := s.usable[target]
	return ok && from.Before(at)
}

// checkSend checks a request that reached its target.
func (d *Daemon) checkSend(t jujubegate.Target, started time.Time) {
	for _, name := range d.checks.broken(t, started) {
		d.recorder.Check().Violation(name, "request to %s of %s in %s", t.Address, t.Version, t.DataCentre)
	}
}

// checkOwners checks that a peer, which reports only targets that it may send
// to, reports none that this instance could send to before it asked.
func (d *Daemon) checkOwners(o transporter.Observation) {
	now := d.clock.Now()
	for _, r := range o.Reports {
		if d.checks.usableBefore(r.Target, o.Sent) && d.ownership.MaySend(r.Target, now) {
			d.recorder.Check().Violation(recorder.DoubleOwner, "target %s is owned by %s and this instance", r.Target, o.Peer.Instance)
		}
	}
}

// usableReports returns the reports of targets that this instance may
// send to at this moment.
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
