package assembler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

func TestReportCacheIgnoresFormerOwners(t *testing.T) {
	// Guards against sub-requests to a new owner that may not send yet: when
	// members joined, these were refused and answers became partial.
	before, after := leaser.ID{Instance: "a", Incarnation: "1"}, leaser.ID{Instance: "b", Incarnation: "1"}
	report := jujubegate.TargetReport{Target: "127.0.0.1:1", State: jujubegate.Warm}
	cases := []struct {
		name   string
		change func(b *reportCache)
		owner  leaser.ID
		found  bool
	}{
		{"by the owner", func(*reportCache) {}, before, true},
		{"by the former owner", func(*reportCache) {}, after, false},
		{"by the new owner", func(b *reportCache) { b.put(after, []jujubegate.TargetReport{report}) }, after, true},
		{"removed", func(b *reportCache) { b.remove(before, report.Target) }, before, false},
		{"removed for another author", func(b *reportCache) { b.remove(after, report.Target) }, before, true},
		{"absent from a full report", func(b *reportCache) { b.replaceAll(before, nil) }, before, false},
		{"no longer declared", func(b *reportCache) {
			b.retain(func(jujubegate.Address) bool { return false })
		}, before, false},
	}
	Convey("A report is valid while its author owns the target", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				cache := newReportCache()
				cache.put(before, []jujubegate.TargetReport{report})
				c.change(cache)
				_, found := cache.get(c.owner, report.Target)
				So(found, ShouldEqual, c.found)
			})
		}
	})
}
