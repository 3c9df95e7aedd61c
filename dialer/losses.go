package dialer

import "time"

const (
	// lossWindow is how long after the first closed connection the close of all
	// others still counts as a restart of the target.
	lossWindow = 2 * time.Second
	// lossInterval is the time between checks within the window, since unused
	// connections are only found closed by a check.
	lossInterval = 20 * time.Millisecond
)

// losses tells a restart of the target, which closes all connections, from the
// close of single ones. Connections that are opened after the first loss may
// already lead to the new process and do not count. The pool's lock guards it.
type losses struct {
	// era numbers the windows; connections carry the era of their opening.
	era int
	// survivors counts the alive connections from before the first loss.
	survivors int
	active    bool
	started   time.Time
	// news is set by a loss until the next maintenance.
	news bool
}

// lost records the loss of a connection while as many others were alive.
func (s *losses) lost(c *conn, others int, now time.Time) {
	s.news = true
	switch {
	case !s.active:
		s.active, s.started, s.survivors = true, now, others
		s.era++
	case c.era < s.era:
		s.survivors--
	}
}

// ended records that this side closed a connection that the target had not closed.
func (s *losses) ended(c *conn) {
	if s.active && c.era < s.era {
		s.survivors--
	}
}

// take returns whether connections were lost since the last call and whether
// the target has restarted.
func (s *losses) take(now time.Time) (broken, restarted bool) {
	broken, s.news = s.news, false
	if !s.active {
		return broken, false
	}
	restarted = s.survivors <= 0
	if restarted || now.Sub(s.started) > lossWindow {
		s.active = false
	}
	return broken, restarted
}

// unreachable ends the window: a target that refuses connections after it has
// closed one is restarting. It reports whether a window was open.
func (s *losses) unreachable() bool {
	was := s.active
	s.active = false
	return was
}
