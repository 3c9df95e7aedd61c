package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// peak is a gauge that keeps its highest value.
type peak struct{ now, highest atomic.Int32 }

func (p *peak) add(n int32) {
	now := p.now.Add(n)
	for {
		highest := p.highest.Load()
		if now <= highest || p.highest.CompareAndSwap(highest, now) {
			return
		}
	}
}

func TestColdBoundAtTheTarget(t *testing.T) {
	// Guards against a slot or a connection that is reused while the target
	// still runs a cancelled request.
	Convey("A cold HTTP target that is slow to notice cancellations", t, func() {
		var running, connections peak
		server := newWatchedTarget(func(_ net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				connections.add(1)
			case http.StateClosed, http.StateHijacked:
				connections.add(-1)
			}
		})
		server.state.Store("Cold")
		slow := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			running.add(1)
			defer running.add(-1)
			select {
			case <-r.Context().Done():
				time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			case <-time.After(time.Duration(rand.IntN(10)) * time.Millisecond):
			}
		})
		server.fault.Store(&slow)
		d := newHTTPOwner(server.address())
		var callers sync.WaitGroup
		for i := range 8 {
			callers.Go(func() {
				for j := range 300 {
					b := batchTo(server.address(), false, time.Duration(1+rand.IntN(40))*time.Millisecond)
					b.QueryID = fmt.Sprintf("q%d-%d", i, j)
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(20))*time.Millisecond)
					<-do(d, ctx, b)
					cancel()
				}
			})
		}
		callers.Wait()
		So(running.highest.Load(), ShouldEqual, spec.ColdLimit)
		d.Close(context.Background())
		So(running.now.Load(), ShouldEqual, 0)
		// The target notices a closed connection with a delay, so that it can
		// briefly count a new connection besides the closed one.
		So(connections.highest.Load(), ShouldBeLessThanOrEqualTo, spec.ColdLimit+2)
		server.Close()
	})
}
