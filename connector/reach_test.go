package connector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connections returns the number of open connections.
func (p *Pool) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// soon reports whether the condition holds within two seconds.
func soon(holds func() bool) bool {
	for range 400 {
		if holds() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func TestTargetThatIsDownLooksReachable(t *testing.T) {
	// Guards against a target that is known to be down and still counts as one that a
	// request may reach, and against one that is back and is found out only by a request.
	Convey("A target", t, func() {
		f := newFakeTarget(t, scripted(func(int64, *http.Request) string { return answer("r-1", "s", "body") }))
		p := f.newPool(4)
		defer p.Close()
		var down atomic.Bool
		var dials atomic.Int64
		p.settings.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			if down.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return Dial(ctx, network, address)
		}
		So(p.Unreachable(), ShouldEqual, 0)
		_, err := send(p, request("r-1"))
		So(err, ShouldBeNil)
		So(p.Unreachable(), ShouldEqual, 0)
		p.CloseIdle(0)
		So(soon(func() bool { return p.connections() == 0 }), ShouldBeTrue)

		down.Store(true)
		_, err = send(p, request("r-1"))
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		left := p.Unreachable()
		So(left, ShouldBeGreaterThan, 0)
		So(left, ShouldBeLessThanOrEqualTo, maxDialBackoff)
		before := dials.Load()
		for range 100 {
			p.Unreachable()
		}
		So(dials.Load()-before, ShouldBeLessThanOrEqualTo, 1)

		down.Store(false)
		So(soon(func() bool { return p.Unreachable() == 0 }), ShouldBeTrue)
		So(p.connections(), ShouldEqual, 1)
	})
	Convey("A target that nothing has tried for long may be reachable", t, func() {
		f := newFakeTarget(t, nil)
		p := f.newPool(4)
		defer p.Close()
		p.settings.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		_, err := send(p, request("r-1"))
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		p.mu.Lock()
		p.dialAllowedAt = time.Now().Add(-2 * unreachableMemory)
		p.mu.Unlock()
		So(p.Unreachable(), ShouldEqual, 0)
	})
}
