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

// errWithheld is returned by a write that was refused before its first byte.
var errWithheld = errors.New("the request was withheld before it was written")

// maxLingerBytes bounds the bytes that are read from a half-closed connection.
const maxLingerBytes = maxAnswer

// States of an exchange. It leaves exchangeNew once: either its first byte is
// written or the request is withheld.
const (
	exchangeNew int32 = iota
	exchangeWritten
	exchangeWithheld
)

// exchange is one request and its response on a connection.
type exchange struct {
	state atomic.Int32
	// permit is called immediately before the first byte is written; a refusal
	// withholds the request. nil permits every request.
	permit  func() *jujubegate.Refusal
	refused atomic.Pointer[jujubegate.Refusal]
	// elapsed returns the time since the start of the exchange; writeDelay is its
	// value at the first write, in nanoseconds.
	elapsed    func() time.Duration
	writeDelay atomic.Int64
	// stale is set if nothing was written because the connection was closed.
	stale atomic.Bool
	// received is set once the target has sent at least one byte.
	received atomic.Bool
}

// begin decides at the first write of an exchange whether the request is sent.
func (x *exchange) begin(c *conn) error {
	if x.state.Load() == exchangeWritten {
		return nil
	}
	if r := x.checkWrite(c); r != nil {
		x.refused.Store(r)
		x.withhold()
		return errWithheld
	}
	x.writeDelay.Store(int64(x.elapsed()))
	if !x.state.CompareAndSwap(exchangeNew, exchangeWritten) {
		return errWithheld
	}
	return nil
}

// checkWrite returns a refusal if the request must not be written, else nil. It
// also detects a connection that the target has closed, because after a write
// the outcome would be unknown.
func (x *exchange) checkWrite(c *conn) *jujubegate.Refusal {
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

// withhold prevents the first write if it has not happened yet. It reports
// whether nothing was written, in which case the request has not run.
func (x *exchange) withhold() bool {
	return x.state.CompareAndSwap(exchangeNew, exchangeWithheld) || x.state.Load() == exchangeWithheld
}

// conn is a connection to a target. Closing it with a request in flight only
// closes its write side, which cancels the request at the target, and keeps
// reading until the target answers or closes, so that the owner learns when the
// request ended.
type conn struct {
	net.Conn
	// raw is nil if the connection has no file descriptor.
	raw syscall.RawConn
	// grace bounds how long a half-closed connection is read.
	grace time.Duration
	// onClosed is called once when the connection is fully closed.
	onClosed func(c *conn)
	// onLost is called when the target closes or resets the connection.
	onLost func(c *conn)

	// readMu is held during each read of the connection.
	readMu  sync.Mutex
	current atomic.Pointer[exchange]
	closing atomic.Bool
	closed  chan struct{}
	// dead is set once pool.alive no longer counts the connection; guarded by
	// pool.mu.
	dead bool
	// windowNumber is that of the pool's lossTracker when the connection opened.
	windowNumber int
	// desynchronized is set after a bad answer, such as one to another request;
	// no further request is sent on this connection.
	desynchronized atomic.Bool
}

func newConn(c net.Conn, grace time.Duration, onClosed, onLost func(*conn)) *conn {
	n := &conn{Conn: c, grace: grace, onClosed: onClosed, onLost: onLost, closed: make(chan struct{})}
	if s, ok := c.(syscall.Conn); ok {
		n.raw, _ = s.SyscallConn()
	}
	return n
}

// Write withholds a request that is not permitted or whose connection is closed,
// before its first byte.
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

// Read calls onLost when the target closes or resets the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if x := c.current.Load(); x != nil && n > 0 {
		x.received.Store(true)
	}
	if err != nil && !c.closing.Load() && c.onLost != nil {
		c.onLost(c)
	}
	return n, err
}

// Close closes a connection without a written request at once. Otherwise it
// closes the write side and reads in the background until the request has
// ended, at most for the grace period.
func (c *conn) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return nil
	}
	x := c.current.Load()
	writeCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if x == nil || x.withhold() || !ok || writeCloser.CloseWrite() != nil {
		return c.finish()
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes a blocked Read
	go c.linger()
	return nil
}

// linger reads from a half-closed connection until the target closes it, the
// grace period has passed or too many bytes have arrived, and then closes it fully.
func (c *conn) linger() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(c.grace))
	buffer := make([]byte, 4096)
	for total := 0; total < maxLingerBytes; {
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
	c.onClosed(c)
	return err
}

// alive reports whether a connection without a request in flight is still open
// and in sync. A target never sends first, so an end of file, an error or unread
// bytes mean that the connection cannot be used. It uses Control because
// RawConn.Read would wait for a Read in progress.
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
