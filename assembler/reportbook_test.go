package assembler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

func TestReportBookIgnoresFormerOwners(t *testing.T) {
	// Guards against sub-requests to a new owner that may not send yet: they
	// were refused and made answers partial when members joined.
	before, after := leaser.ID{Instance: "a", Incarnation: "1"}, leaser.ID{Instance: "b", Incarnation: "1"}
	report := jujubegate.TargetReport{Target: "127.0.0.1:1", State: jujubegate.Warm}
	cases := []struct {
		name   string
		change func(b *reportBook)
		owner  leaser.ID
		found  bool
	}{
		{"by the owner", func(*reportBook) {}, before, true},
		{"by the former owner", func(*reportBook) {}, after, false},
		{"by the new owner", func(b *reportBook) { b.put(after, []jujubegate.TargetReport{report}) }, after, true},
		{"forgotten", func(b *reportBook) { b.forget(before, report.Target) }, before, false},
		{"forgotten by another author", func(b *reportBook) { b.forget(after, report.Target) }, before, true},
		{"absent from a full report", func(b *reportBook) { b.replace(before, nil) }, before, false},
		{"no longer declared", func(b *reportBook) {
			b.keep(func(jujubegate.Address) bool { return false })
		}, before, false},
	}
	Convey("A report counts while its author owns the target", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				book := newReportBook()
				book.put(before, []jujubegate.TargetReport{report})
				c.change(book)
				_, found := book.get(c.owner, report.Target)
				So(found, ShouldEqual, c.found)
			})
		}
	})
}
