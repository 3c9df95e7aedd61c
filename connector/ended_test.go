package connector

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

func TestResetTakenForEndOfTarget(t *testing.T) {
	// Guards against a lost connection that is taken for the end of its target, which
	// would be evidence against the request on it, and against an end that is not noticed.
	cases := []struct {
		name string
		// ends closes the listener and all connections with the broken one.
		ends bool
		// others is the number of further connections.
		others int
		want   bool
	}{
		{"reset of the only connection", false, 0, false},
		{"reset of one of three", false, 2, false},
		{"end with one connection", true, 0, true},
		{"end with three connections", true, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var target *fakeTarget
			var mu sync.Mutex
			var conns []net.Conn
			serve := scripted(func(_ int64, r *http.Request) string {
				if r.Header.Get("X-Id") == "breaks" {
					if c.ends {
						target.listener.Close()
						mu.Lock()
						defer mu.Unlock()
						for _, conn := range conns {
							conn.Close()
						}
					}
					return ""
				}
				time.Sleep(20 * time.Millisecond)
				return answer(r.Header.Get("X-Id"), "s", "")
			})
			target = newFakeTarget(t, func(f *fakeTarget, conn net.Conn) {
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				serve(f, conn)
			})
			p := target.newPool(4)
			defer p.Close()
			var group sync.WaitGroup
			for range c.others + 1 {
				group.Go(func() {
					if _, err := send(p, request("warm")); err != nil {
						t.Error(err)
					}
				})
			}
			group.Wait()
			_, err := send(p, request("breaks"))
			if !BrokenByTarget(err) {
				t.Fatalf("error %v, want a connection that the target closed", err)
			}
			if got := p.Ended(context.Background(), time.Now().Add(-time.Second)); got != c.want {
				t.Errorf("ended %v, want %v", got, c.want)
			}
		})
	}
}
