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
	// Guards against a cold target that handles any load, never becomes warm, or
	// doesn't count its overloads.
	Convey("A cold target with a limit of 2 requests", t, func() {
		s := quickSettings()
		s.ColdLimit, s.ColdFactor, s.WarmAfterAnswers, s.Slots, s.ServiceTimeMs = 2, 1, 6, 4, 30
		backEnd := start(s)
		c := newClient(backEnd)
		So(backEnd.Stats().State, ShouldEqual, "Cold")
		Convey("becomes warm after enough answers", func() {
			for range 3 {
				So(count(c.queryConcurrently(2), 200), ShouldEqual, 2)
			}
			So(backEnd.Stats().State, ShouldEqual, "Warm")
			So(count(c.queryConcurrently(4), 200), ShouldEqual, 4)
			So(backEnd.Stats().ColdOverload, ShouldEqual, 0)
			Convey("and cold again with TurnCold", func() {
				So(backEnd.Control(target.Control{TurnCold: true}), ShouldBeNil)
				So(backEnd.Stats().State, ShouldEqual, "Cold")
				c.queryOverlapping(backEnd, 3, func(s target.Stats) bool { return s.ColdOverload == 1 })
				So(backEnd.Stats().ColdOverload, ShouldEqual, 1)
			})
		})
		Convey("is overloaded by a third request, aborts all and restarts cold", func() {
			control(backEnd, `{"RestartMs": 200}`)
			results := c.queryOverlapping(backEnd, 3, func(s target.Stats) bool { return s.ColdOverload == 1 })
			So(count(results, 0), ShouldEqual, 3)
			So(backEnd.Stats().ColdOverload, ShouldEqual, 1)
			So(c.query("down").status, ShouldEqual, 0)
			time.Sleep(220 * time.Millisecond)
			So(backEnd.Stats().State, ShouldEqual, "Cold")
			So(backEnd.Stats().InFlight, ShouldEqual, 0)
			So(count(c.queryConcurrently(2), 200), ShouldEqual, 2)
			So(backEnd.Stats().ColdOverload, ShouldEqual, 1)
		})
		Convey("closes idle connections when it is overloaded", func() {
			idle, err := net.Dial("tcp", backEnd.Address())
			So(err, ShouldBeNil)
			defer idle.Close()
			eventually(func() bool { return backEnd.Stats().Connections == 1 })
			c.queryOverlapping(backEnd, 3, func(s target.Stats) bool { return s.ColdOverload == 1 })
			_ = idle.SetReadDeadline(time.Now().Add(2 * time.Second))
			_, err = idle.Read(make([]byte, 1))
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeFalse)
			So(err, ShouldNotBeNil)
		})
		Convey("aborts orders in flight and is cold again after Restart", func() {
			control(backEnd, `{"WarmAfterMs": 1, "ServiceTimeMs": 5000}`)
			eventually(func() bool { return backEnd.Stats().State == "Warm" })
			done := make(chan result)
			go func() { done <- c.post(context.Background(), "/order", request("a")) }()
			eventually(func() bool { return backEnd.Stats().InFlight == 1 })
			control(backEnd, `{"WarmAfterMs": 0}`)
			So(backEnd.Control(target.Control{Restart: true}), ShouldBeNil)
			So((<-done).status, ShouldEqual, 0)
			So(backEnd.Stats().State, ShouldEqual, "Cold")
			So(backEnd.Stats().Restarts, ShouldEqual, 1)
			So(backEnd.Stats().ColdOverload, ShouldEqual, 0)
			So(backEnd.OrderRuns("a"), ShouldEqual, 1)
			eventually(func() bool { return backEnd.Stats().Cancelled == 1 })
		})
		Convey("becomes warm after WarmAfterMs", func() {
			control(backEnd, `{"WarmAfterMs": 20}`)
			time.Sleep(30 * time.Millisecond)
			So(backEnd.Stats().State, ShouldEqual, "Warm")
		})
		Convey("multiplies the service time by ColdFactor", func() {
			control(backEnd, `{"ColdFactor": 4}`)
			began := time.Now()
			c.query("slow")
			So(time.Since(began), ShouldBeGreaterThan, 120*time.Millisecond)
		})
	})
}

func TestConnections(t *testing.T) {
	// Guards against connections above the limit, closed connections that still count
	// towards it, and a set-up time that is missing or applied twice.
	Convey("With a limit of 2 connections", t, func() {
		s := quickSettings()
		s.Connections, s.ConnectMs = 2, 40
		backEnd := start(s)
		c := newClient(backEnd)
		Convey("the third is closed until another one closes", func() {
			var held []net.Conn
			for range 2 {
				conn, err := net.Dial("tcp", backEnd.Address())
				So(err, ShouldBeNil)
				held = append(held, conn)
			}
			eventually(func() bool { return backEnd.Stats().Connections == 2 })
			So(c.query("third").status, ShouldEqual, 0)
			So(backEnd.Stats().RefusedConnections, ShouldBeGreaterThan, 0)
			_ = held[0].Close()
			eventually(func() bool { return backEnd.Stats().Connections == 1 })
			So(c.query("third").status, ShouldEqual, 200)
			_ = held[1].Close()
			So(backEnd.Stats().MaxConnections, ShouldEqual, 2)
		})
		Convey("only the first request on a connection has the set-up time", func() {
			began := time.Now()
			So(c.query("first").status, ShouldEqual, 200)
			first := time.Since(began)
			So(first, ShouldBeGreaterThanOrEqualTo, 40*time.Millisecond)
			began = time.Now()
			So(c.query("second").status, ShouldEqual, 200)
			So(time.Since(began), ShouldBeLessThan, first)
			So(backEnd.Stats().NewConnections, ShouldEqual, 1)
		})
		Convey("a target that is down closes all connections", func() {
			So(c.query("before").status, ShouldEqual, 200)
			control(backEnd, `{"Down": true}`)
			So(c.query("during").status, ShouldEqual, 0)
			control(backEnd, `{"Down": false}`)
			So(c.query("after").status, ShouldEqual, 200)
		})
	})
}

func TestLoadReport(t *testing.T) {
	// Guards against load reports that are true although they should be stale or
	// wrong: tests would not notice that a balancer relies on them.
	Convey("The load report", t, func() {
		s := quickSettings()
		s.Slots, s.ServiceTimeMs = 2, 150
		backEnd := start(s)
		c := newClient(backEnd)
		load := func() (l target.Load, status int) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+backEnd.Address()+"/load", nil)
			response, err := c.http.Do(r)
			if err != nil {
				return l, 0
			}
			defer response.Body.Close()
			So(json.NewDecoder(response.Body).Decode(&l), ShouldBeNil)
			return l, response.StatusCode
		}
		occupySlot := func() {
			done := make(chan result, 1)
			go func() { done <- c.query("r") }()
			eventually(func() bool { return backEnd.Stats().InFlight == 1 })
			Reset(func() { <-done })
		}
		cases := []struct {
			name   string
			set    string
			status int
			want   target.Load
		}{
			{"is true", `{}`, 200, target.Load{State: "Warm", InUse: 1, Slots: 2, Snapshots: []int64{1}, Version: "v1"}},
			{"is idle with LoadMode Idle", `{"LoadMode": "Idle", "Draining": true}`, 200, target.Load{State: "Warm", InUse: 0, Slots: 2, Snapshots: []int64{1}, Version: "v1"}},
			{"is busy with LoadMode Busy", `{"LoadMode": "Busy"}`, 200, target.Load{State: "Warm", InUse: 2, Slots: 2, Snapshots: []int64{1}, Version: "v1"}},
			{"shows draining", `{"Draining": true}`, 200, target.Load{State: "Draining", InUse: 1, Slots: 2, Snapshots: []int64{1}, Version: "v1"}},
			{"is an error", `{"LoadMode": "Error"}`, 500, target.Load{}},
			{"is missing", `{"LoadMode": "Hang"}`, 0, target.Load{}},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				occupySlot()
				control(backEnd, c.set)
				l, status := load()
				So(status, ShouldEqual, c.status)
				So(l, ShouldResemble, c.want)
			})
		}
		Convey("is stale for LoadLagMs", func() {
			control(backEnd, `{"LoadLagMs": 100}`)
			load()
			occupySlot()
			l, _ := load()
			So(l.InUse, ShouldEqual, 0)
			time.Sleep(110 * time.Millisecond)
			l, _ = load()
			So(l.InUse, ShouldEqual, 1)
		})
	})
}

func TestControl(t *testing.T) {
	// Guards against an invalid command that is applied in part, and against values
	// that remain when a list is replaced.
	Convey("An invalid command changes nothing", t, func() {
		backEnd := start(quickSettings())
		before := backEnd.Settings()
		for _, set := range []string{
			`{"Slots": 0}`, `{"Slots": 4, "GarbageShare": 2}`, `{"Slots": 4, "Stalls": true}`, `{"Faults": [{"Kind": "Odd"}]}`,
			`{"Address": "127.0.0.1:1"}`, `{"LoadMode": "Odd"}`, `{"Snapshots": [{"Snapshot": 0, "Shards": 1}]}`, `[`,
		} {
			So(backEnd.Control(target.Control{Set: json.RawMessage(set), TurnCold: true}), ShouldNotBeNil)
		}
		So(backEnd.Settings(), ShouldResemble, before)
		So(backEnd.Stats().State, ShouldEqual, "Warm")
	})
	Convey("A list replaces the previous one, including the fields of its elements", t, func() {
		backEnd := start(quickSettings())
		control(backEnd, `{"Faults": [{"Kind": "Errors", "Route": "Book", "MinInFlight": 3}]}`)
		control(backEnd, `{"Faults": [{"Kind": "Slow", "Factor": 2}]}`)
		control(backEnd, `{"Slots": 3}`)
		So(backEnd.Settings().Faults, ShouldResemble, []target.Fault{{Kind: "Slow", Factor: 2}})
		So(backEnd.Settings().Slots, ShouldEqual, 3)
		control(backEnd, `{"Faults": []}`)
		So(backEnd.Settings().Faults, ShouldBeEmpty)
	})
}

func TestFleet(t *testing.T) {
	// Guards against targets in one process that share state or ports.
	Convey("40 targets in one process", t, func() {
		settings := target.Grid(quickSettings(), 20, 2, 5, func(int) string { return "127.0.0.1:0" })
		f, err := target.NewFleet(settings, clockwork.NewRealClock(), zap.NewNop())
		So(err, ShouldBeNil)
		Reset(func() { So(f.Close(context.Background()), ShouldBeNil) })
		addresses := map[string]bool{}
		for i, backEnd := range f.Targets() {
			addresses[backEnd.Address()] = true
			r := request("r")
			r.Shard, r.Snapshot = i/2, 5
			c := newClient(backEnd)
			So(c.post(context.Background(), "/query", r).answer.Shard, ShouldEqual, i/2)
			So(backEnd.Stats().Answered, ShouldEqual, 1)
			c.http.CloseIdleConnections()
		}
		So(len(addresses), ShouldEqual, 40)
	})
	Convey("A fleet does not start if a port is in use", t, func() {
		backEnd := start(quickSettings())
		s := quickSettings()
		s.Address = backEnd.Address()
		_, err := target.NewFleet([]target.Settings{quickSettings(), s}, clockwork.NewRealClock(), zap.NewNop())
		So(err, ShouldNotBeNil)
	})
}
