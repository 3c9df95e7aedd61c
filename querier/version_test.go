package querier

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

func TestVersionsOf(t *testing.T) {
	// Guards against queries to a version that must not serve, and against a share
	// of queries that differs from the declared one.
	cases := []struct {
		name    string
		version jujubegate.Version
		move    *configurator.MoveSpec
		allowed []string // versions that serve some queries
		share   float64  // share of the queries that v2 serves
	}{
		{"no move and no version", "", nil, []string{"v1", "v2", "v3", ""}, 1},
		{"no move and a version", "v1", nil, []string{"v1"}, 0},
		{"proving at 5%", "v1", &configurator.MoveSpec{From: "v1", To: "v2", State: configurator.Proving, Share: 5}, []string{"v1", "v2"}, 0.05},
		{"shifting at 60%", "v1", &configurator.MoveSpec{From: "v1", To: "v2", State: configurator.Shifting, Share: 60}, []string{"v1", "v2"}, 0.6},
		{"proving at 0%", "v1", &configurator.MoveSpec{From: "v1", To: "v2", State: configurator.Proving}, []string{"v1"}, 0},
		{"shifting at 100%", "v1", &configurator.MoveSpec{From: "v1", To: "v2", State: configurator.Shifting, Share: 100}, []string{"v2"}, 1},
		{"first move", "", &configurator.MoveSpec{To: "v2", State: configurator.Proving, Share: 5}, []string{"v1", "v2", "v3", ""}, 0.05},
		{"taken back", "v1", &configurator.MoveSpec{From: "v1", To: "v2", State: configurator.TakenBack, Share: 5}, []string{"v1"}, 0},
		{"first move taken back", "", &configurator.MoveSpec{To: "v2", State: configurator.TakenBack}, []string{"v1", "v3", ""}, 0},
		{"done", "v2", &configurator.MoveSpec{From: "v1", To: "v2", State: configurator.Done, Share: 100}, []string{"v2"}, 1},
	}
	Convey("The versions of queries with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var move configurator.MoveSpec
				if c.move != nil {
					move = *c.move
				}
				const queries = 20_000
				served := make(map[string]int)
				wrong := 0
				for i := range queries {
					chosen, fallback, moving := chooseVersions(configurator.ServiceSpec{Version: c.version}, move, c.move != nil, fmt.Sprint(i))
					if moving && fallback.allows("v2") {
						wrong++
					}
					for _, v := range []string{"v1", "v2", "v3", ""} {
						if chosen.allows(jujubegate.Version(v)) {
							served[v]++
						}
					}
				}
				So(wrong, ShouldEqual, 0)
				So(len(served), ShouldEqual, len(c.allowed))
				for _, v := range []string{"v1", "v2", "v3", ""} {
					serves := versionServes(configurator.ServiceSpec{Version: c.version}, move, c.move != nil, jujubegate.Version(v))
					// A version with a share of 0 or 100 percent still takes part in its move.
					if inMove := c.move != nil && (v == "v1" || v == "v2"); !inMove || c.share > 0 && c.share < 1 {
						So(serves, ShouldEqual, served[v] > 0)
					}
				}
				if c.move != nil {
					So(versionServes(configurator.ServiceSpec{}, move, true, "v2"), ShouldEqual, move.State != configurator.TakenBack)
					So(versionServes(configurator.ServiceSpec{}, move, true, "v1"), ShouldEqual, move.State != configurator.Done)
				}
				for _, v := range c.allowed {
					So(served[v], ShouldBeGreaterThan, 0)
				}
				So(float64(served["v2"])/queries, ShouldAlmostEqual, c.share, 0.01)
			})
		}
	})
}
