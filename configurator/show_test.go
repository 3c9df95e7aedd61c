package configurator

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate/parser"
)

func TestShow(t *testing.T) {
	// Guards against rows that contradict which targets serve, and against
	// conditions that are ignored.
	c := mustApply(t, Configuration{}, deskText, newVersionText, moveText,
		`TakeOut DataCentre Yambol { Reason = "power work"; Until = 2026-12-04T14:00:00+02:00; AllowLoss = true; };`)
	cases := []struct {
		text string
		want []string
	}{
		{"Show Services;", []string{"Desk,2,2,25,1,160ms,High,v1,6,2,100.0%"}},
		{"Show Services Where Deadline = 160000us And Priority = High;", []string{"Desk,2,2,25,1,160ms,High,v1,6,2,100.0%"}},
		{"Show Services Where Deadline != 160ms;", nil},
		{"Show Routes;", []string{"Desk,Search,true"}},
		{"Show Targets Where Shard = 0 And Version != v2;", []string{
			"10.0.0.1:9000,Desk,0,Sliven,v1,true", "10.0.0.2:9000,Desk,0,Yambol,v1,false",
		}},
		{`Show Targets Where Target = "10.0.1.1:9000";`, []string{"10.0.1.1:9000,Desk,0,Sliven,v2,true"}},
		{"Show DataCentres;", []string{
			"Sliven,false,,,,3,3", "Yambol,true,power work,2026-12-04T12:00:00Z,2026-12-04T12:00:00Z,3,0",
		}},
		{"Show DataCentres Where Until = 2026-12-04T13:00:00+01:00;", []string{
			"Yambol,true,power work,2026-12-04T12:00:00Z,2026-12-04T12:00:00Z,3,0",
		}},
		{"Show Versions;", []string{"Desk,v1,Serving,95,4,", "Desk,v2,Proving,5,2,"}},
		{"Show Moves;", []string{"Desk,v1,v2,Proving,5,2026-12-04T12:00:00Z,2026-12-04T14:00:00Z,TakeBack,"}},
		{"Show Moves Where State = Done;", nil},
		{"Show Instances Where Instance != a;", []string{"b,Sliven"}},
	}
	Convey("Show", t, func() {
		for _, each := range cases {
			Convey(each.text, func() {
				statements, findings := parser.Parse("", each.text)
				So(findings, ShouldBeEmpty)
				table := c.Show(statements[0].(*parser.Show), func() [][]string {
					return [][]string{{"a", "Sliven"}, {"b", "Sliven"}}
				})
				So(table.Rows, ShouldHaveLength, len(each.want))
				for i, row := range table.Rows {
					So(strings.Join(row, ","), ShouldEqual, each.want[i])
					if statements[0].(*parser.Show).Kind != parser.KindInstances {
						So(table.Columns, ShouldHaveLength, len(row))
					}
				}
			})
		}
		Convey("Instances without a source", func() {
			So(c.Show(&parser.Show{Kind: parser.KindInstances}, nil).Rows, ShouldBeEmpty)
		})
	})
}
