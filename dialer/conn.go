package dialer

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jujubegate.example/jujubegate"
)

// errWithheld is the error of a write that was refused before its first byte.
var errWithheld = errors.New("the request was withheld before it was written")

// maxDrained bounds the bytes that are read from a cancelled connection.
const maxDrained = maxAnswer

// States of an exchange; only the first write leaves exchangeNew.
const (
	exchangeNew int32 = iota
	exchangeWritten
	exchangeSealed
)

// exchange is one request on a connection.
type exchange struct {
	state atomic.Int32
	// permit is asked right before the first byte is written; a refusal
	// withholds the request.
	permit  func() *jujubegate.Refusal
	refused atomic.Pointer[jujubegate.Refusal]
	// clock and written measure the time until the first byte was written.
	clock   func() time.Duration
	written atomic.Int64
	// stale says that nothing was written because the connection was closed.
	stale atomic.Bool
	// received says that the target has sent at least one byte.
	received atomic.Bool
}

// begin decides at the first write on a connection whether the request goes out.
func (x *exchange) begin(c *conn) error {
	if x.state.Load() == exchangeWritten {
		return nil
	}
	if r := x.obstacle(c); r != nil {
		x.refused.Store(r)
		x.seal()
		return errWithheld
	}
	x.written.Store(int64(x.clock()))
	if !x.state.CompareAndSwap(exchangeNew, exchangeWritten) {
		return errWithheld
	}
	return nil
}

// obstacle returns why the request must not be written, nil if it may. A
// connection that the target has closed is found here, since after a write the
// outcome would be unknown.
func (x *exchange) obstacle(c *conn) *jujubegate.Refusal {
	if c.desynchronized.Load() || !c.alive() {
		x.stale.Store(true)
		return &jujubegate.Refusal{
			Reason: jujubegate.TargetDown, Outcome: jujubegate.NotRun, Detail: "the connection was closed",
		}
	}
	if x.permit == nil {
		return nil
	}
	return x.permit()
}

// seal prevents a later first write. It reports true if nothing was written,
// which makes "not run" true.
func (x *exchange) seal() bool {
	return x.state.CompareAndSwap(exchangeNew, exchangeSealed) || x.state.Load() == exchangeSealed
}

// conn is a connection to a target. Closing one with a request in flight
// half-closes it, which cancels the request at the target, and reads on until
// the target answers or closes, so that the owner learns when the request ended.
type conn struct {
	net.Conn
	// raw is nil if the connection has no file descriptor.
	raw   syscall.RawConn
	grace time.Duration
	// ended is called once when the connection is fully closed.
	ended func(c *conn)
	// broke is called when the target closes or resets the connection.
	broke func(c *conn)

	reading sync.Mutex
	current atomic.Pointer[exchange]
	closing atomic.Bool
	closed  chan struct{}
	// lost says that the target has closed the connection; guarded by the pool.
	lost bool
	// era is that of the pool's losses at the opening.
	era int
	// desynchronized is set after an answer to another request; no further
	// request goes out on this connection.
	desynchronized atomic.Bool
}

func newConn(c net.Conn, grace time.Duration, ended, broke func(*conn)) *conn {
	n := &conn{Conn: c, grace: grace, ended: ended, broke: broke, closed: make(chan struct{})}
	if s, ok := c.(syscall.Conn); ok {
		n.raw, _ = s.SyscallConn()
	}
	return n
}

// Write asks for permission before the first byte of a request.
func (c *conn) Write(b []byte) (int, error) {
	if x := c.current.Load(); x != nil {
		if err := x.begin(c); err != nil {
			return 0, err
		}
	}
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Read notes when the target closes the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if x := c.current.Load(); x != nil && n > 0 {
		x.received.Store(true)
	}
	if err != nil && !c.closing.Load() && c.broke != nil {
		c.broke(c)
	}
	return n, err
}

// Close closes an idle connection at once and lets one with a written request
// linger until its end is seen, for the grace at most.
func (c *conn) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return nil
	}
	x := c.current.Load()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if x == nil || x.seal() || !ok || half.CloseWrite() != nil {
		return c.finish()
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes a blocked Read
	go c.linger()
	return nil
}

func (c *conn) linger() {
	c.reading.Lock()
	defer c.reading.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(c.grace))
	buffer := make([]byte, 4096)
	for total := 0; total < maxDrained; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			break
		}
		total += n
	}
	_ = c.finish()
}

func (c *conn) finish() error {
	err := c.Conn.Close()
	close(c.closed)
	c.ended(c)
	return err
}

// alive reports whether a connection without a request in flight is still open
// at the target: a target sends nothing first, so that anything to read is its
// close. Control is used because Read would wait for a Read in progress.
func (c *conn) alive() bool {
	if c.raw == nil {
		return true
	}
	alive := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && alive
}
