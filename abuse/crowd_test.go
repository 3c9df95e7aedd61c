package abuse

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// reconnectPause is the time after which a client whose connection has ended connects
	// again.
	reconnectPause = 20 * time.Millisecond
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 5 * time.Second
	// streamBlock is the least number of bytes that a client without an end writes at once.
	streamBlock = 4 << 10
)

// crowd is a number of clients that all do the same at one port, each on one connection
// at a time.
type crowd struct {
	connections int
	// greeting is sent once on each connection.
	greeting []byte
	// repeated is then sent again and again; nil for silence.
	repeated []byte
	// deaf clients never read.
	deaf bool
}

// runningCrowd is a crowd that has been started.
type runningCrowd struct {
	// opened counts the connections.
	opened  atomic.Int64
	stopped chan struct{}
	group   sync.WaitGroup
}

// start connects all clients of the crowd to an address.
func (c crowd) start(address string) *runningCrowd {
	running := &runningCrowd{stopped: make(chan struct{})}
	for range c.connections {
		running.group.Go(func() {
			for !running.pause(0) {
				c.connect(address, running)
				running.pause(reconnectPause)
			}
		})
	}
	return running
}

// stop closes the connections of the crowd.
func (rc *runningCrowd) stop() {
	close(rc.stopped)
	rc.group.Wait()
}

// pause waits and reports whether the crowd has been stopped.
func (rc *runningCrowd) pause(d time.Duration) bool {
	select {
	case <-rc.stopped:
	case <-time.After(d):
	}
	select {
	case <-rc.stopped:
		return true
	default:
		return false
	}
}

// connect opens one connection and uses it until one of the sides closes it.
func (c crowd) connect(address string, running *runningCrowd) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	running.opened.Add(1)
	defer conn.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-running.stopped:
			conn.Close()
		case <-ended:
		}
	}()
	closed := make(chan struct{})
	if c.deaf {
		closed = running.stopped
	} else {
		go func() {
			defer close(closed)
			// An error means that the connection has been closed, as does its end.
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}()
	}
	if _, err := conn.Write(c.greeting); err != nil {
		return
	}
	for len(c.repeated) > 0 {
		if _, err := conn.Write(c.repeated); err != nil {
			return
		}
	}
	<-closed
}

// repeat returns copies of a text, at least streamBlock bytes.
func repeat(text string) []byte {
	var block []byte
	for len(block) < streamBlock {
		block = append(block, text...)
	}
	return block
}

// play runs a crowd against a port of a daemon and checks that the daemon stays within
// its bounds and answers ordinary requests, during the crowd and after it.
func play(t *testing.T, d *daemon, address string, c crowd) {
	t.Helper()
	d.expectAnswer(t, "before the crowd")
	running := c.start(address)
	d.observe(crowdTime)
	d.expectAnswer(t, "during the crowd")
	d.observe(0)
	running.stop()
	d.expectAnswer(t, "after the crowd")
	d.check(t)
	t.Logf("%d connections opened", running.opened.Load())
}
