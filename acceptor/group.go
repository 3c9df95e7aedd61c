package acceptor

import (
	"time"
)

// State is what a connection is used for.
type State int

// States of connections.
const (
	// Fresh connections have received no byte yet.
	Fresh State = iota
	// Head connections have received a part of a head.
	Head
	// Busy connections have a request that is being handled.
	Busy
	// Waiting connections have a request for which the instance waits for the client: for
	// its body, or until it reads its answer.
	Waiting
	// Idle connections have carried a request and wait for the next one.
	Idle
	// Lingering connections have got their last answer and wait for the client to close.
	Lingering
	// closing connections have been closed by the acceptor.
	closing
	stateCount
)

// StateNames are the names of the states in metrics and in the log.
var StateNames = [...]string{"Fresh", "Head", "Busy", "Waiting", "Idle", "Lingering"}

// waitingGrace is how long an instance waits for a client before it may close the
// connection for another one: some round trips between regions.
const waitingGrace = 250 * time.Millisecond

// graces are how long connections have been in a state at least when they are closed for
// another one. Busy connections are never closed.
var graces = [stateCount]time.Duration{Waiting: waitingGrace}

// evictable are the states whose connections may be closed for others.
var evictable = []State{Lingering, Fresh, Head, Idle, Waiting}

// group holds the connections in one state, the one that came first at the front.
type group struct {
	first, last *Conn
	count       int
}

func (g *group) push(c *Conn) {
	c.previous, c.next = g.last, nil
	if g.last != nil {
		g.last.next = c
	} else {
		g.first = c
	}
	g.last = c
	g.count++
}

func (g *group) remove(c *Conn) {
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		g.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		g.last = c.previous
	}
	c.previous, c.next = nil, nil
	g.count--
}

// groups holds the open connections of an acceptor by their state. It is not safe for
// concurrent use.
type groups struct {
	byState [stateCount]group
}

// move puts a connection into the group of a state.
func (gs *groups) move(c *Conn, to State, now time.Time) {
	if c.grouped {
		gs.byState[c.state].remove(c)
	}
	c.state, c.since, c.grouped = to, now, to != closing
	if c.grouped {
		gs.byState[to].push(c)
	}
}

func (gs *groups) oldest(s State) *Conn { return gs.byState[s].first }

func (gs *groups) count(s State) int { return gs.byState[s].count }

// victim returns the connection to close for a new one, nil if there is none: the oldest of
// the largest group. A crowd of clients that all do the same is thus closed before the
// clients that do something else, and of those which do the same, the one that has done so
// for the longest time.
func (gs *groups) victim(now time.Time) *Conn {
	var victim *Conn
	largest := 0
	for _, s := range evictable {
		first := gs.byState[s].first
		if first == nil || now.Sub(first.since) < graces[s] {
			continue
		}
		if n := gs.byState[s].count; n > largest {
			victim, largest = first, n
		}
	}
	return victim
}
