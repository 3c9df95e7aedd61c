package assembler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/parser"
	"jujubegate.example/jujubegate/recorder"
)

func declare(t *testing.T, text string) configurator.Configuration {
	batch, findings := parser.Parse("", text)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	c, findings := configurator.Configuration{}.Apply(batch, time.Unix(0, 0))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return c
}

func TestSendChecksNoticeBrokenPromises(t *testing.T) {
	// Guards against checks that can't fail: each fault is a request that the
	// decisions should have withheld.
	const declared = `Declare Service Desk { Shards = 1; Slots = 2; Connections = 4; ColdLimit = 1; Deadline = 1s; };
Declare Target "127.0.0.1:1" { Service = Desk; Shard = 0; DataCentre = A; Version = v1; };
`
	target := jujubegate.Target{Address: "127.0.0.1:1", Service: "Desk", DataCentre: "A", Version: "v1"}
	start := time.Unix(1000, 0)
	cases := []struct {
		name   string
		note   func(s *sendChecks)
		after  time.Duration
		broken []recorder.Invariant
	}{
		{"nothing wrong", func(*sendChecks) {}, time.Hour, nil},
		{"data centre just out", outNow(t, declared, start), outLimit, nil},
		{"data centre out", outNow(t, declared, start), outLimit + 1, []recorder.Invariant{recorder.DataCentreOut}},
		{"version just halted", haltedNow(start), haltLimit, nil},
		{"version halted", haltedNow(start), haltLimit + 1, []recorder.Invariant{recorder.BadVersion}},
		{"target leaves", func(s *sendChecks) {
			s.noteLeaving(start, []jujubegate.Address{target.Address})
		}, leavingLimit + 1, []recorder.Invariant{recorder.Leaving}},
		{"target came back", func(s *sendChecks) {
			s.noteLeaving(start, []jujubegate.Address{target.Address})
			s.note(start.Add(leavingRetention+1), configurator.Configuration{}, nil, nil)
		}, leavingLimit + 1, nil},
	}
	Convey("A request after the promised time breaks a promise", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newSendChecks()
				c.note(s)
				So(s.broken(target, start.Add(c.after)), ShouldResemble, c.broken)
			})
		}
	})
}

func outNow(t *testing.T, declared string, at time.Time) func(s *sendChecks) {
	c := declare(t, declared+`TakeOut DataCentre A { Reason = "test"; AllowLoss = true; };`)
	return func(s *sendChecks) {
		s.note(at, c, nil, nil)
		s.note(at.Add(time.Second), c, nil, nil)
	}
}

func haltedNow(at time.Time) func(s *sendChecks) {
	return func(s *sendChecks) {
		s.note(at, configurator.Configuration{}, []versionKey{{"Desk", "v1"}}, nil)
	}
}
