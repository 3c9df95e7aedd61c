package mover

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate/configurator"
)

func TestHalts(t *testing.T) {
	running := configurationWith(`BringIn Version v2 { Service = Desk; Deadline = 2h; };`)
	haltOf := func(started time.Time) Halt { return Halt{"Desk", "v2", started, "errors"} }
	restartedAt := epoch.Add(time.Minute)
	mustApply := func(c configurator.Configuration, text string, at time.Time) configurator.Configuration {
		c, err := apply(c, text, at)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	takenBack := mustApply(running, `TakeBack Version v2 { Service = Desk; Reason = "errors"; };`, epoch)
	broughtIn := mustApply(takenBack, `BringIn Version v2 { Service = Desk; Deadline = 2h; };`, restartedAt)
	shifting := mustApply(running, `Advance Version v2 { Service = Desk; State = Shifting; Share = 100; };`, epoch)
	done := mustApply(shifting, `Finish Version v2 { Service = Desk; };`, epoch)
	cases := []struct {
		name   string
		guards string
		steps  func(h *Halts)
		halted bool
	}{
		{"none", "a halt without a reason", func(*Halts) {}, false},
		{"running move", "a halt that has no effect", func(h *Halts) { h.ApplyMoves(running); h.Merge([]Halt{haltOf(epoch)}) }, true},
		{"taken back", "a halt that is dropped when the move is taken back", func(h *Halts) {
			h.Merge([]Halt{haltOf(epoch)})
			h.ApplyMoves(takenBack)
		}, true},
		{"brought in again", "an old halt that overrules the operator", func(h *Halts) {
			h.Merge([]Halt{haltOf(epoch)})
			h.ApplyMoves(broughtIn)
		}, false},
		{"old halt from a peer", "a peer with old halts that halts the new move", func(h *Halts) {
			h.ApplyMoves(broughtIn)
			h.Merge([]Halt{haltOf(epoch)})
		}, false},
		{"halt of an unknown move", "an instance with an old configuration that ignores a halt", func(h *Halts) {
			h.ApplyMoves(takenBack)
			h.Merge([]Halt{haltOf(restartedAt)})
		}, true},
		{"older halt after a newer one", "a newer halt that is replaced by an older one", func(h *Halts) {
			h.Merge([]Halt{haltOf(restartedAt)})
			h.Merge([]Halt{haltOf(epoch)})
			h.ApplyMoves(broughtIn)
		}, true},
		{"done", "a service that is left without a version", func(h *Halts) {
			h.Merge([]Halt{haltOf(epoch)})
			h.ApplyMoves(done)
		}, false},
	}
	for _, c := range cases {
		Convey(c.name+": guards against "+c.guards, t, func() {
			h := NewHalts()
			c.steps(h)
			So(h.Halted("Desk", "v2"), ShouldEqual, c.halted)
			So(h.Halted("Desk", "v1"), ShouldBeFalse)
			So(len(h.List()) == 1, ShouldEqual, c.halted)
		})
	}
}
