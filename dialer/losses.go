package dialer

import "time"

const (
	// lossWindow is the time within which the target must close all connections,
	// counted from the first, for the losses to count as a restart.
	lossWindow = 2 * time.Second
	// lossCheckInterval is the time between checks within the window, because the
	// close of an unused connection is only found by a check.
	lossCheckInterval = 20 * time.Millisecond
)

// lossTracker distinguishes a restart of the target, which closes all
// connections, from the close of single ones. The first loss opens a window.
// Connections opened after it do not count, because they may already lead to the
// new process. pool.mu guards it.
type lossTracker struct {
	// windowNumber counts the windows so far. Each connection stores the number
	// at its opening.
	windowNumber int
	// survivors counts the connections that are older than the window and still
	// alive.
	survivors int
	// active is set while a window is open, since started.
	active  bool
	started time.Time
	// unreported is set by a loss until the next check.
	unreported bool
}

// recordLoss records that the target has closed a connection; others is the
// number of other connections that are still alive.
func (t *lossTracker) recordLoss(c *conn, others int, now time.Time) {
	t.unreported = true
	switch {
	case !t.active:
		t.active, t.started, t.survivors = true, now, others
		t.windowNumber++
	case c.windowNumber < t.windowNumber:
		t.survivors--
	}
}

// recordClose records that this side has closed a connection that the target had
// not closed.
func (t *lossTracker) recordClose(c *conn) {
	if t.active && c.windowNumber < t.windowNumber {
		t.survivors--
	}
}

// check reports whether connections were lost since the last call and whether
// the target has restarted.
func (t *lossTracker) check(now time.Time) (lost, restarted bool) {
	lost, t.unreported = t.unreported, false
	if !t.active {
		return lost, false
	}
	restarted = t.survivors <= 0
	if restarted || now.Sub(t.started) > lossWindow {
		t.active = false
	}
	return lost, restarted
}

// recordDialFailure ends an open window and reports whether there was one: a
// target that closes a connection and then refuses new ones is restarting.
func (t *lossTracker) recordDialFailure() bool {
	wasActive := t.active
	t.active = false
	return wasActive
}
