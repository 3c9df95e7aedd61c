package configurator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// newVersionText declares targets of v2 in addition to those of deskText.
const newVersionText = `
Declare Target "10.0.1.1:9000" { Service = Desk; Shard = 0; DataCentre = Sliven; Version = v2; };
Declare Target "10.0.1.2:9000" { Service = Desk; Shard = 1; DataCentre = Yambol; Version = v2; };
`

const moveText = `BringIn Version v2 { Service = Desk; Share = 5; Deadline = 2h; };`

// apply parses and applies a text at noon.
func apply(c Configuration, text string) (Configuration, jujubegate.Findings) {
	batch, findings := parser.Parse("", text)
	if len(findings) > 0 {
		return c, findings
	}
	return c.Apply(batch, noon)
}

// mustApply applies texts that must have no findings.
func mustApply(t *testing.T, c Configuration, texts ...string) Configuration {
	t.Helper()
	for _, text := range texts {
		next, findings := apply(c, text)
		if len(findings) > 0 {
			t.Fatalf("%s: %v", text, findings)
		}
		c = next
	}
	return c
}

func TestApplyFindings(t *testing.T) {
	// Guards against applying a batch that breaks a rule, or a part of it.
	shifting := `Advance Version v2 { Service = Desk; State = Shifting; Share = 25; };`
	finish := `Finish Version v2 { Service = Desk; };`
	takeBack := `TakeBack Version v2 { Service = Desk; Reason = "errors"; };`
	spec := `{ Shards = 1; Slots = 2; Connections = 2; ColdLimit = 1; Deadline = 1s; };`
	cases := []struct {
		name   string
		before []string
		text   string
		want   []string
	}{
		{"service twice", nil, "Declare Service Desk " + spec, []string{"1:1: service Desk is declared already"}},
		{"service twice in a batch", nil, "Declare Service A " + spec + "\nDeclare Service A " + spec, []string{"2:1: service A is declared already"}},
		{"cold limit above slots", nil, "Alter Service Desk { ColdLimit = 3; };", []string{"1:1: ColdLimit 3 is above Slots 2"}},
		{"connections below slots", nil, "Alter Service Desk { Connections = 1; };", []string{"1:1: Connections 1 is below Slots 2"}},
		{"fewer shards", nil, "Alter Service Desk { Shards = 1; };", []string{"1:31: target 10.0.0.3:9000 holds shard 1"}},
		{"unknown service", nil, "Alter Service A { Shards = 1; };\nDrop Service A;", []string{"1:1: service A is not declared", "2:1: service A is not declared"}},
		{"drop of a service with targets and routes", nil, "Drop Service Desk;", []string{"1:1: service Desk has 4 targets and 1 routes"}},
		{"route twice", nil, "Declare Route Desk.Search { Idempotent = false; };", []string{"1:1: route Desk.Search is declared already"}},
		{"route of no service", nil, "Declare Route A.B { Idempotent = false; };", []string{"1:1: service A is not declared"}},
		{"unknown route", nil, "Drop Route Desk.A;\nAlter Route Desk.A { Idempotent = true; };", []string{"1:1: route Desk.A is not declared", "2:1: route Desk.A is not declared"}},
		{"target twice", nil, `Declare Target "10.0.0.1:9000" { Service = Desk; Shard = 0; DataCentre = A; Version = v1; };`, []string{"1:1: target 10.0.0.1:9000 is declared already"}},
		{"target of no service", nil, `Declare Target "a:1" { Service = A; Shard = 0; DataCentre = A; Version = v1; };`, []string{"1:34: service A is not declared"}},
		{"shard out of range", nil, `Declare Target "a:1" { Service = Desk; Shard = 2; DataCentre = A; Version = v1; };`, []string{"1:48: shard 2 is out of range, service Desk has shards 0 to 1"}},
		{"altered shard out of range", nil, `Alter Target "10.0.0.1:9000" { Shard = 2; };`, []string{"1:40: shard 2 is out of range"}},
		{"unknown target", nil, "Drop Target \"a:1\";\nAlter Target \"a:1\" { Shard = 0; };", []string{"1:1: target a:1 is not declared", "2:1: target a:1 is not declared"}},
		{"unknown data centre", nil, "TakeOut DataCentre A;", []string{"1:1: no target is in data centre A"}},
		{"data centre not out", nil, "BringIn DataCentre Sliven;", []string{"1:1: data centre Sliven is not out"}},
		{
			"loss of coverage",
			[]string{"TakeOut DataCentre Sliven;", `Drop Target "10.0.0.2:9000";`, "BringIn DataCentre Sliven;"},
			"TakeOut DataCentre Sliven;",
			[]string{"1:1: taking out data centre Sliven reduces the coverage of service Desk, version v1, from 2 to 1 of 2 shards (50.0%); without a target: shards 0; AllowLoss"},
		},
		{
			"loss of both data centres", nil, "TakeOut DataCentre Sliven;\nTakeOut DataCentre Yambol;",
			[]string{"1:1: taking out data centre Sliven", "2:1: taking out data centre Yambol"},
		},
		{
			"loss of coverage of the new version",
			[]string{newVersionText, moveText},
			"TakeOut DataCentre Sliven;",
			[]string{"1:1: taking out data centre Sliven reduces the coverage of service Desk, version v2, from 2 to 1"},
		},
		{"move without targets", nil, moveText, []string{"1:1: version v2 of service Desk has serving targets for 0 of 2 shards"}},
		{"move to the version that serves", nil, `BringIn Version v1 { Service = Desk; Deadline = 2h; };`, []string{"1:1: version v1 of service Desk serves already"}},
		{"move of an unknown service", nil, `BringIn Version v1 { Service = A; Deadline = 2h; };`, []string{"1:32: service A is not declared"}},
		{"move of a service without targets", []string{"Declare Service A " + spec}, `BringIn Version v1 { Service = A; Deadline = 2h; };`, []string{"1:1: service A has no version to move from"}},
		{"move with a past deadline", []string{newVersionText}, `BringIn Version v2 { Service = Desk; Deadline = 2026-12-04T11:00:00Z; };`, []string{"1:49: deadline 2026-12-04T11:00:00Z has passed"}},
		{"second move", []string{newVersionText, moveText}, moveText, []string{"1:1: service Desk has a running move from v1 to v2"}},
		{"advance without a move", nil, shifting, []string{"1:1: service Desk has no move to version v2"}},
		{"advance another version", []string{newVersionText, moveText}, `Advance Version v3 { Service = Desk; Share = 1; };`, []string{"1:1: service Desk has no move to version v3"}},
		{"share above 5 while proving", []string{newVersionText, moveText}, `Advance Version v2 { Service = Desk; Share = 6; };`, []string{"1:46: Share is 6, must be at most 5"}},
		{"back to proving", []string{newVersionText, moveText, shifting}, `Advance Version v2 { Service = Desk; State = Proving; Share = 5; };`, []string{"1:46: a move does not return"}},
		{"advance without coverage", []string{newVersionText, moveText, `Drop Target "10.0.1.1:9000";`}, shifting, []string{"1:1: version v2 of service Desk has serving targets for 1 of 2"}},
		{"finish while proving", []string{newVersionText, moveText}, finish, []string{"1:1: the move of service Desk to version v2 is still proving"}},
		{"finish without coverage", []string{newVersionText, moveText, shifting, `Drop Target "10.0.1.1:9000";`}, finish, []string{"1:1: version v2 of service Desk has serving targets for 1 of 2"}},
		{"advance after take back", []string{newVersionText, moveText, takeBack}, shifting, []string{"1:1: the move of service Desk to version v2 is not running, its state is TakenBack"}},
		{"finish after take back", []string{newVersionText, moveText, shifting, takeBack}, finish, []string{"1:1: the move of service Desk to version v2 is not running"}},
		{"move of a service that was dropped", []string{
			newVersionText, moveText, takeBack,
			`Drop Target "10.0.0.1:9000"; Drop Target "10.0.0.2:9000"; Drop Target "10.0.0.3:9000"; Drop Target "10.0.0.4:9000";
			Drop Target "10.0.1.1:9000"; Drop Target "10.0.1.2:9000"; Drop Route Desk.Search; Drop Service Desk;`,
			deskText,
		}, takeBack, []string{"1:1: service Desk has no move to version v2"}},
		{"take back twice", []string{newVersionText, moveText, takeBack}, takeBack, []string{"1:1: version v2 of service Desk is taken back already"}},
		{"take back to nothing", []string{
			newVersionText, moveText, shifting, finish,
			`Drop Target "10.0.0.1:9000"; Drop Target "10.0.0.2:9000"; Drop Target "10.0.0.3:9000"; Drop Target "10.0.0.4:9000";`,
		}, takeBack, []string{"1:1: version v1 of service Desk, the one before, has no serving target"}},
		{"deadline without a move", nil, `SetDeadline Version v2 { Service = Desk; Deadline = 1h; };`, []string{"1:1: service Desk has no move to version v2"}},
		{"restore by an operator", nil, "Restore Configuration { Generation = 9; };", []string{"1:1: Restore statements occur in configuration snapshots only"}},
		{"one invalid statement in a valid batch", nil, "Drop Route Desk.Search;\nDrop Route Desk.Search;", []string{"2:1: route Desk.Search is not declared"}},
	}
	Convey("Batches that break a rule", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				before := mustApply(t, Configuration{}, append([]string{deskText}, c.before...)...)
				after, findings := apply(before, c.text)
				So(findings, ShouldHaveLength, len(c.want))
				for i, f := range findings {
					So(f.String(), ShouldStartWith, "<input>:"+c.want[i])
				}
				So(after, ShouldResemble, before)
			})
		}
	})
}

func addresses(targets []jujubegate.Target) []string {
	list := []string{}
	for _, t := range targets {
		list = append(list, string(t.Address))
	}
	return list
}

func TestServing(t *testing.T) {
	// Guards against new requests to targets in data centres that are out, or of
	// a version that receives no queries.
	oldTargets := []string{"10.0.0.1:9000", "10.0.0.2:9000", "10.0.0.3:9000", "10.0.0.4:9000"}
	newTargets := []string{"10.0.1.1:9000", "10.0.1.2:9000"}
	cases := []struct {
		name  string
		texts []string
		old   []string
		new   []string
	}{
		{"declared", nil, oldTargets, oldTargets},
		{"new version without a move", []string{newVersionText}, oldTargets, oldTargets},
		{"running move", []string{newVersionText, moveText}, oldTargets, newTargets},
		{
			"data centre out",
			[]string{newVersionText, moveText, "TakeOut DataCentre Sliven { AllowLoss = true; };"},
			[]string{"10.0.0.2:9000", "10.0.0.4:9000"},
			newTargets[1:],
		},
		{"take-out that uncovers a version without queries", []string{
			newVersionText, moveText, "Advance Version v2 { Service = Desk; State = Shifting; Share = 100; };",
			`Drop Target "10.0.0.2:9000"; Alter Target "10.0.1.1:9000" { Version = v3; };
			Declare Target "10.0.1.3:9000" { Service = Desk; Shard = 0; DataCentre = Yambol; Version = v2; };`,
			"TakeOut DataCentre Sliven;",
		}, []string{"10.0.0.4:9000"}, []string{"10.0.1.3:9000", "10.0.1.2:9000"}},
		{
			"one data centre taken out, the other brought in",
			[]string{"TakeOut DataCentre Sliven;", "TakeOut DataCentre Yambol; BringIn DataCentre Sliven;"},
			[]string{"10.0.0.1:9000", "10.0.0.3:9000"},
			[]string{"10.0.0.1:9000", "10.0.0.3:9000"},
		},
		{"taken back", []string{newVersionText, moveText, "TakeBack Version v2 { Service = Desk; };"}, oldTargets, oldTargets},
		{"done", []string{
			newVersionText, moveText, "Advance Version v2 { Service = Desk; State = Shifting; Share = 100; };",
			"Finish Version v2 { Service = Desk; };",
		}, newTargets, newTargets},
		{"done, then taken back", []string{
			newVersionText, moveText, "Advance Version v2 { Service = Desk; State = Shifting; Share = 100; };",
			"Finish Version v2 { Service = Desk; };", "TakeBack Version v2 { Service = Desk; };",
		}, oldTargets, oldTargets},
		{"brought in again", []string{newVersionText, moveText, "TakeBack Version v2 { Service = Desk; };", moveText}, oldTargets, newTargets},
	}
	Convey("Serving targets", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				configuration := mustApply(t, Configuration{}, append([]string{deskText}, c.texts...)...)
				So(addresses(configuration.Serving("Desk", OldVersion, nil)), ShouldResemble, c.old)
				So(addresses(configuration.Serving("Desk", NewVersion, nil)), ShouldResemble, c.new)
				So(configuration.Serving("Desk", OldVersion, func(jujubegate.Target) bool { return true }), ShouldBeEmpty)
			})
		}
	})
}

func TestTakenBackVersion(t *testing.T) {
	// Guards against a version that was taken back and receives queries again
	// without a statement of an operator.
	Convey("A version stays taken back during another move, until BringIn", t, func() {
		c := mustApply(t, Configuration{}, deskText, newVersionText,
			`Declare Target "10.0.2.1:9000" { Service = Desk; Shard = 0; DataCentre = Sliven; Version = v3; };
			Declare Target "10.0.2.2:9000" { Service = Desk; Shard = 1; DataCentre = Sliven; Version = v3; };`,
			moveText, `TakeBack Version v2 { Service = Desk; Reason = "errors"; };`,
			`BringIn Version v3 { Service = Desk; Deadline = 2026-12-05T12:00:00Z; OnMissed = Continue; };`)
		reason, ok := c.TakenBack("Desk", "v2")
		So(ok, ShouldBeTrue)
		So(reason, ShouldEqual, "errors")
		So(c.Versions(), ShouldResemble, []VersionStatus{
			{"Desk", "v1", VersionServing, 95, 4, ""},
			{"Desk", "v2", VersionTakenBack, 0, 2, "errors"},
			{"Desk", "v3", VersionProving, 5, 2, ""},
		})
		m, _ := c.Move("Desk")
		So(m, ShouldResemble, MoveSpec{
			Service: "Desk", From: "v1", To: "v3", State: Proving, Share: 5, Started: noon,
			Deadline: noon.Add(24 * time.Hour), OnMissed: MissedContinue,
		})
		c = mustApply(t, c, `TakeBack Version v3 { Service = Desk; };`, moveText)
		_, ok = c.TakenBack("Desk", "v2")
		So(ok, ShouldBeFalse)
	})
}
