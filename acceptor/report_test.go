package acceptor

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestReportsAreBounded(t *testing.T) {
	// Guards against a crowd that fills the log, and against clients that nothing is logged
	// about.
	const seconds, perSecond = 60, 1000
	core, lines := observer.New(zap.WarnLevel)
	clock := clockwork.NewFakeClock()
	counted := make(map[Reason]int)
	r := NewReporter(clock, zap.New(core), func(reason Reason) { counted[reason]++ })
	for range seconds {
		for range perSecond {
			r.Count(HeadsTooLarge, "Callers")
			r.Count(ConnectionsIdle, "Callers")
		}
		clock.Advance(time.Second)
	}
	r.Count(MessagesRefused, "Peers")
	if counted[HeadsTooLarge] != seconds*perSecond || counted[ConnectionsIdle] != seconds*perSecond {
		t.Errorf("counted %v", counted)
	}
	logged := int64(0)
	for _, line := range lines.All() {
		if line.ContextMap()["Reason"] == "HeadsTooLarge" {
			logged += line.ContextMap()["Count"].(int64)
		}
	}
	if want := seconds/10 + 1; lines.Len() != want {
		t.Errorf("%d lines, want %d", lines.Len(), want)
	}
	if logged < (seconds-10)*perSecond {
		t.Errorf("the lines tell of %d of %d heads", logged, seconds*perSecond)
	}
	if last := lines.All()[lines.Len()-1].ContextMap(); last["Reason"] != "MessagesRefused" || last["Server"] != "Peers" {
		t.Errorf("the last line is about %v", last)
	}
}
