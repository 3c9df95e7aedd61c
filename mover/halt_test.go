package mover

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate/configurator"
)

func TestHalts(t *testing.T) {
	running := declared(`BringIn Version v2 { Service = Desk; Deadline = 2h; };`)
	at := func(started time.Time) Halt { return Halt{"Desk", "v2", started, "errors"} }
	again := epoch.Add(time.Minute)
	change := func(c configurator.Configuration, text string, at time.Time) configurator.Configuration {
		c, err := apply(c, text, at)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	takenBack := change(running, `TakeBack Version v2 { Service = Desk; Reason = "errors"; };`, epoch)
	broughtIn := change(takenBack, `BringIn Version v2 { Service = Desk; Deadline = 2h; };`, again)
	shifting := change(running, `Advance Version v2 { Service = Desk; State = Shifting; Share = 100; };`, epoch)
	done := change(shifting, `Finish Version v2 { Service = Desk; };`, epoch)
	cases := []struct {
		name   string
		guards string
		steps  func(h *Halts)
		halted bool
	}{
		{"none", "a version that is stopped without a reason", func(*Halts) {}, false},
		{"running move", "a halt that has no effect", func(h *Halts) { h.ApplyMoves(running); h.Merge([]Halt{at(epoch)}) }, true},
		{"taken back", "a halt that ends before the move", func(h *Halts) {
			h.Merge([]Halt{at(epoch)})
			h.ApplyMoves(takenBack)
		}, true},
		{"brought in again", "an operator who is overruled by an old halt", func(h *Halts) {
			h.Merge([]Halt{at(epoch)})
			h.ApplyMoves(broughtIn)
		}, false},
		{"old halt from a peer", "a peer that is behind and halts the new start", func(h *Halts) {
			h.ApplyMoves(broughtIn)
			h.Merge([]Halt{at(epoch)})
		}, false},
		{"halt of an unknown start", "an instance that is behind and ignores a halt", func(h *Halts) {
			h.ApplyMoves(takenBack)
			h.Merge([]Halt{at(again)})
		}, true},
		{"older halt after a newer", "a newer halt that an older one replaces", func(h *Halts) {
			h.Merge([]Halt{at(again)})
			h.Merge([]Halt{at(epoch)})
			h.ApplyMoves(broughtIn)
		}, true},
		{"done", "a service that is left without a version", func(h *Halts) {
			h.Merge([]Halt{at(epoch)})
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
