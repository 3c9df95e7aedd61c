package assembler

import (
	"context"
	"errors"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

// stallTime is how long an owner may be silent on all streams while it owes
// results. It is far above a target's usual service time, since results of
// other queries count as a sign of life, and half of a heartbeat interval.
const stallTime = 250 * time.Millisecond

// errStalled is the cause by which a stream to a silent owner is cancelled.
var errStalled = errors.New("owner sends nothing on any stream")

// lifeSigns keeps when each owner last sent something on a stream.
type lifeSigns struct {
	mu   sync.RWMutex
	last map[leaser.ID]time.Time
}

func newLifeSigns() *lifeSigns { return &lifeSigns{last: make(map[leaser.ID]time.Time)} }

func (l *lifeSigns) note(owner leaser.ID, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[owner] = at
}

func (l *lifeSigns) since(owner leaser.ID, at time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return !l.last[owner].Before(at)
}

// watchOwner cancels a stream when its owner has been silent for the stall
// time, and notes the failure. A paused process keeps its connections open, so
// that nothing else shows before heartbeats are missed. An order's stream is
// not cancelled: that would not tell whether the order ran.
func (d *Daemon) watchOwner(ctx context.Context, owner leaser.ID, sent time.Time, order bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(stallTime, func() {
		if d.lifeSigns.since(owner, sent) {
			return
		}
		d.peers.fail(owner, d.clock.Now())
		if !order {
			cancel(errStalled)
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// noteResults keeps the life sign of an owner.
func (d *Daemon) noteResults(owner leaser.Member, results []jujubegate.SubResult) {
	d.lifeSigns.note(owner.ID(), d.clock.Now())
	d.forgetDisowned(owner, results)
}
