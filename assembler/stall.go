package assembler

import (
	"context"
	"errors"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

// stallTimeout is how long an owner may send nothing on any stream while a batch
// waits for results. A working owner is rarely silent for that long: it is far
// above the usual service time of a target, and results of other queries count as
// activity too. It is half of the default heartbeat interval.
const stallTimeout = 250 * time.Millisecond

// errStalled is the cause with which a stream to a silent owner is cancelled.
var errStalled = errors.New("owner sends nothing on any stream")

// ownerActivity records when each owner last sent something on a stream.
type ownerActivity struct {
	mu   sync.RWMutex
	last map[leaser.ID]time.Time
}

func newOwnerActivity() *ownerActivity { return &ownerActivity{last: make(map[leaser.ID]time.Time)} }

func (a *ownerActivity) record(owner leaser.ID, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last[owner] = at
}

func (a *ownerActivity) activeSince(owner leaser.ID, at time.Time) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return !a.last[owner].Before(at)
}

// watchOwner records a failure and cancels a new stream if its owner sends nothing
// on any stream within stallTimeout. A paused process keeps its connections open,
// so that nothing else detects it before heartbeats are missed. The stream of an
// order is not cancelled, because that would not show whether the order ran.
func (d *Daemon) watchOwner(ctx context.Context, owner leaser.ID, sent time.Time, order bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(stallTimeout, func() {
		if d.ownerActivity.activeSince(owner, sent) {
			return
		}
		d.peerHealth.recordFailure(owner, d.clock.Now())
		if !order {
			cancel(errStalled)
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// handleResults records the activity of an owner and drops the reports of targets
// that it no longer owns.
func (d *Daemon) handleResults(owner leaser.Member, results []jujubegate.SubResult) {
	d.ownerActivity.record(owner.ID(), d.clock.Now())
	d.removeNotOwnedReports(owner, results)
}
