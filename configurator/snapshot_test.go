package configurator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate/parser"
	"jujubegate.example/jujubegate/storer"
)

// futureSize returns statements for 6,200 targets, the expected size.
func futureSize() string {
	var b strings.Builder
	target := 0
	for service := range 10 {
		name := fmt.Sprintf("DispatchDesk%d", service)
		fmt.Fprintf(&b, "Declare Service %s { Shards = 310; Slots = 2; Connections = 25; ColdLimit = 1; Deadline = 160ms; };\n", name)
		fmt.Fprintf(&b, "Declare Route %s.Search { Idempotent = true; };\n", name)
		for shard := range 310 {
			for replica := range 2 {
				fmt.Fprintf(&b, "Declare Target \"10.%d.%d.%d:9000\" { Service = %s; Shard = %d; DataCentre = DataCentre%d; Version = v2026-12; };\n",
					100+target>>16, target>>8&255, target&255, name, shard, (target+replica)%11)
				target++
			}
		}
	}
	return b.String()
}

func TestSnapshotAtFutureSize(t *testing.T) {
	// Guards against a snapshot that no longer fits into one object.
	Convey("A snapshot of 6,200 targets fits into an object and rebuilds the configuration", t, func() {
		batch, findings := parser.ParseWithLimit("", futureSize(), 2*parser.MaxInput)
		So(findings, ShouldBeEmpty)
		c, findings := Configuration{}.Apply(batch, time.Unix(0, 0))
		So(findings, ShouldBeEmpty)
		value, err := (&state{configuration: c}).snapshot().encode()
		So(err, ShouldBeNil)
		So(len(value), ShouldBeLessThan, storer.MaxValueSize)
		t.Logf("%d bytes", len(value))
		start := time.Now()
		restored, _, err := Restore(parser.Join(c.Statements()))
		t.Logf("restored in %v", time.Since(start))
		So(err, ShouldBeNil)
		So(restored.Generation(), ShouldEqual, c.Generation())
		So(restored.Targets(), ShouldResemble, c.Targets())
	})
}
