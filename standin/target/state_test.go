package target_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"jujubegate.example/jujubegate/standin/target"
)

func TestColdStart(t *testing.T) {
	// Guards against a cold target that handles any load, never warms up, or
	// hides that it was overloaded.
	Convey("A cold target that handles 2 requests", t, func() {
		s := quick()
		s.ColdLimit, s.ColdFactor, s.WarmAfterAnswers, s.Slots, s.ServiceTimeMs = 2, 1, 6, 4, 30
		d := start(s)
		c := newClient(d)
		So(d.Stats().State, ShouldEqual, "Cold")
		Convey("warms up by answers within the limit", func() {
			for range 3 {
				So(count(c.together(2), 200), ShouldEqual, 2)
			}
			So(d.Stats().State, ShouldEqual, "Warm")
			So(count(c.together(4), 200), ShouldEqual, 4)
			So(d.Stats().ColdOverload, ShouldEqual, 0)
			Convey("and turns cold on command", func() {
				So(d.Control(target.Control{TurnCold: true}), ShouldBeNil)
				So(d.Stats().State, ShouldEqual, "Cold")
				c.overlapping(d, 3, func(s target.Stats) bool { return s.ColdOverload == 1 })
				So(d.Stats().ColdOverload, ShouldEqual, 1)
			})
		})
		Convey("falls over with one request more, drops all and starts cold", func() {
			control(d, `{"RestartMs": 200}`)
			results := c.overlapping(d, 3, func(s target.Stats) bool { return s.ColdOverload == 1 })
			So(count(results, 0), ShouldEqual, 3)
			So(d.Stats().ColdOverload, ShouldEqual, 1)
			So(c.query("down").status, ShouldEqual, 0)
			time.Sleep(220 * time.Millisecond)
			So(d.Stats().State, ShouldEqual, "Cold")
			So(d.Stats().InFlight, ShouldEqual, 0)
			So(count(c.together(2), 200), ShouldEqual, 2)
			So(d.Stats().ColdOverload, ShouldEqual, 1)
		})
		Convey("closes idle connections when it falls over", func() {
			idle, err := net.Dial("tcp", d.Address())
			So(err, ShouldBeNil)
			defer idle.Close()
			eventually(func() bool { return d.Stats().Connections == 1 })
			c.overlapping(d, 3, func(s target.Stats) bool { return s.ColdOverload == 1 })
			_ = idle.SetReadDeadline(time.Now().Add(2 * time.Second))
			_, err = idle.Read(make([]byte, 1))
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeFalse)
			So(err, ShouldNotBeNil)
		})
		Convey("restarts on command: drops orders in flight and is cold again", func() {
			control(d, `{"WarmAfterMs": 1, "ServiceTimeMs": 5000}`)
			eventually(func() bool { return d.Stats().State == "Warm" })
			done := make(chan result)
			go func() { done <- c.post(context.Background(), "/order", request("a")) }()
			eventually(func() bool { return d.Stats().InFlight == 1 })
			control(d, `{"WarmAfterMs": 0}`)
			So(d.Control(target.Control{Restart: true}), ShouldBeNil)
			So((<-done).status, ShouldEqual, 0)
			So(d.Stats().State, ShouldEqual, "Cold")
			So(d.Stats().Restarts, ShouldEqual, 1)
			So(d.Stats().ColdOverload, ShouldEqual, 0)
			So(d.OrderRuns("a"), ShouldEqual, 1)
			eventually(func() bool { return d.Stats().Cancelled == 1 })
		})
		Convey("warms up by time", func() {
			control(d, `{"WarmAfterMs": 20}`)
			time.Sleep(30 * time.Millisecond)
			So(d.Stats().State, ShouldEqual, "Warm")
		})
		Convey("takes longer by its factor", func() {
			control(d, `{"ColdFactor": 4}`)
			began := time.Now()
			c.query("slow")
			So(time.Since(began), ShouldBeGreaterThan, 120*time.Millisecond)
		})
	})
}

func TestConnections(t *testing.T) {
	// Guards against connections beyond the limit, places that are not given
	// back, and a set-up cost that is not paid or paid twice.
	Convey("With a limit of 2 connections", t, func() {
		s := quick()
		s.Connections, s.ConnectMs = 2, 40
		d := start(s)
		c := newClient(d)
		Convey("the third is closed until a place is free", func() {
			var held []net.Conn
			for range 2 {
				conn, err := net.Dial("tcp", d.Address())
				So(err, ShouldBeNil)
				held = append(held, conn)
			}
			eventually(func() bool { return d.Stats().Connections == 2 })
			So(c.query("third").status, ShouldEqual, 0)
			So(d.Stats().RefusedConnections, ShouldBeGreaterThan, 0)
			_ = held[0].Close()
			eventually(func() bool { return d.Stats().Connections == 1 })
			So(c.query("third").status, ShouldEqual, 200)
			_ = held[1].Close()
			So(d.Stats().MaxConnections, ShouldEqual, 2)
		})
		Convey("only the first request on a connection pays the set-up cost", func() {
			began := time.Now()
			So(c.query("first").status, ShouldEqual, 200)
			first := time.Since(began)
			So(first, ShouldBeGreaterThanOrEqualTo, 40*time.Millisecond)
			began = time.Now()
			So(c.query("second").status, ShouldEqual, 200)
			So(time.Since(began), ShouldBeLessThan, first)
			So(d.Stats().NewConnections, ShouldEqual, 1)
		})
		Convey("a target that is down closes all connections", func() {
			So(c.query("before").status, ShouldEqual, 200)
			control(d, `{"Down": true}`)
			So(c.query("during").status, ShouldEqual, 0)
			control(d, `{"Down": false}`)
			So(c.query("after").status, ShouldEqual, 200)
		})
	})
}

func TestLoadReport(t *testing.T) {
	// Guards against load reports that are true when they should be stale or
	// wrong, so that trusting them would never be found out.
	Convey("The load report", t, func() {
		s := quick()
		s.Slots, s.ServiceTimeMs = 2, 150
		d := start(s)
		c := newClient(d)
		load := func() (l target.Load, status int) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Address()+"/load", nil)
			response, err := c.http.Do(r)
			if err != nil {
				return l, 0
			}
			defer response.Body.Close()
			So(json.NewDecoder(response.Body).Decode(&l), ShouldBeNil)
			return l, response.StatusCode
		}
		busy := func() {
			done := make(chan result, 1)
			go func() { done <- c.query("r") }()
			eventually(func() bool { return d.Stats().InFlight == 1 })
			Reset(func() { <-done })
		}
		cases := []struct {
			name   string
			set    string
			status int
			want   target.Load
		}{
			{"is true", `{}`, 200, target.Load{State: "Warm", InUse: 1, Slots: 2, Snapshots: []int64{1}, Version: "v1"}},
			{"says idle", `{"LoadMode": "Idle", "Draining": true}`, 200, target.Load{State: "Warm", InUse: 0, Slots: 2, Snapshots: []int64{1}, Version: "v1"}},
			{"says busy", `{"LoadMode": "Busy"}`, 200, target.Load{State: "Warm", InUse: 2, Slots: 2, Snapshots: []int64{1}, Version: "v1"}},
			{"says draining", `{"Draining": true}`, 200, target.Load{State: "Draining", InUse: 1, Slots: 2, Snapshots: []int64{1}, Version: "v1"}},
			{"is an error", `{"LoadMode": "Error"}`, 500, target.Load{}},
			{"does not come", `{"LoadMode": "Hang"}`, 0, target.Load{}},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				busy()
				control(d, c.set)
				l, status := load()
				So(status, ShouldEqual, c.status)
				So(l, ShouldResemble, c.want)
			})
		}
		Convey("lags", func() {
			control(d, `{"LoadLagMs": 100}`)
			load()
			busy()
			l, _ := load()
			So(l.InUse, ShouldEqual, 0)
			time.Sleep(110 * time.Millisecond)
			l, _ = load()
			So(l.InUse, ShouldEqual, 1)
		})
	})
}

func TestControl(t *testing.T) {
	// Guards against invalid commands that change something.
	Convey("Invalid commands are refused as a whole", t, func() {
		d := start(quick())
		before := d.Settings()
		for _, set := range []string{
			`{"Slots": 0}`, `{"Slots": 4, "GarbageShare": 2}`, `{"Slots": 4, "Stalls": true}`, `{"Faults": [{"Kind": "Odd"}]}`,
			`{"Address": "127.0.0.1:1"}`, `{"LoadMode": "Odd"}`, `{"Snapshots": [{"Snapshot": 0, "Shards": 1}]}`, `[`,
		} {
			So(d.Control(target.Control{Set: json.RawMessage(set), TurnCold: true}), ShouldNotBeNil)
		}
		So(d.Settings(), ShouldResemble, before)
		So(d.Stats().State, ShouldEqual, "Warm")
	})
	Convey("A list replaces the former one, with no fields left over", t, func() {
		d := start(quick())
		control(d, `{"Faults": [{"Kind": "Errors", "Route": "Book", "MinInFlight": 3}]}`)
		control(d, `{"Faults": [{"Kind": "Slow", "Factor": 2}]}`)
		control(d, `{"Slots": 3}`)
		So(d.Settings().Faults, ShouldResemble, []target.Fault{{Kind: "Slow", Factor: 2}})
		So(d.Settings().Slots, ShouldEqual, 3)
		control(d, `{"Faults": []}`)
		So(d.Settings().Faults, ShouldBeEmpty)
	})
}

func TestFleet(t *testing.T) {
	// Guards against targets of one process that share state or ports.
	Convey("40 targets in one process", t, func() {
		all := target.Grid(quick(), 20, 2, 5, func(int) string { return "127.0.0.1:0" })
		f, err := target.NewFleet(all, clockwork.NewRealClock(), zap.NewNop())
		So(err, ShouldBeNil)
		Reset(func() { So(f.Close(context.Background()), ShouldBeNil) })
		addresses := map[string]bool{}
		for i, d := range f.Targets() {
			addresses[d.Address()] = true
			r := request("r")
			r.Shard, r.Snapshot = i/2, 5
			c := newClient(d)
			So(c.post(context.Background(), "/query", r).answer.Shard, ShouldEqual, i/2)
			So(d.Stats().Answered, ShouldEqual, 1)
			c.http.CloseIdleConnections()
		}
		So(len(addresses), ShouldEqual, 40)
	})
	Convey("A fleet with a port in use is not started", t, func() {
		d := start(quick())
		s := quick()
		s.Address = d.Address()
		_, err := target.NewFleet([]target.Settings{quick(), s}, clockwork.NewRealClock(), zap.NewNop())
		So(err, ShouldNotBeNil)
	})
}
