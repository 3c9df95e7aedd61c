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

func parseConfiguration(t *testing.T, text string) configurator.Configuration {
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

func TestSendChecksReportViolations(t *testing.T) {
	// Guards against checks that never fail: each violation is a request that the
	// instance should not have sent.
	const declared = `Declare Service Desk { Shards = 1; Slots = 2; Connections = 4; ColdLimit = 1; Deadline = 1s; };
Declare Target "127.0.0.1:1" { Service = Desk; Shard = 0; DataCentre = A; Version = v1; };
`
	target := jujubegate.Target{Address: "127.0.0.1:1", Service: "Desk", DataCentre: "A", Version: "v1"}
	start := time.Unix(1000, 0)
	cases := []struct {
		name     string
		events   func(s *sendChecks)
		after    time.Duration
		violated []recorder.Invariant
	}{
		{"no event", func(*sendChecks) {}, time.Hour, nil},
		{"data centre out, within the limit", dataCentreOut(t, declared, start), maxOutDelay, nil},
		{"data centre out", dataCentreOut(t, declared, start), maxOutDelay + 1, []recorder.Invariant{recorder.DataCentreOut}},
		{"version halted, within the limit", versionHalted(start), maxHaltDelay, nil},
		{"version halted", versionHalted(start), maxHaltDelay + 1, []recorder.Invariant{recorder.BadVersion}},
		{"target leaving", func(s *sendChecks) {
			s.recordLeaving(start, []jujubegate.Address{target.Address})
		}, maxLeavingDelay + 1, []recorder.Invariant{recorder.Leaving}},
		{"target no longer leaving", func(s *sendChecks) {
			s.recordLeaving(start, []jujubegate.Address{target.Address})
			s.update(start.Add(leavingRetention+1), configurator.Configuration{}, nil, nil)
		}, maxLeavingDelay + 1, nil},
	}
	Convey("A request after the allowed time violates an invariant", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newSendChecks()
				c.events(s)
				So(s.violations(target, start.Add(c.after)), ShouldResemble, c.violated)
			})
		}
	})
}

func dataCentreOut(t *testing.T, declared string, at time.Time) func(s *sendChecks) {
	c := parseConfiguration(t, declared+`TakeOut DataCentre A { Reason = "test"; AllowLoss = true; };`)
	return func(s *sendChecks) {
		s.update(at, c, nil, nil)
		s.update(at.Add(time.Second), c, nil, nil)
	}
}

func versionHalted(at time.Time) func(s *sendChecks) {
	return func(s *sendChecks) {
		s.update(at, configurator.Configuration{}, []versionKey{{"Desk", "v1"}}, nil)
	}
}
