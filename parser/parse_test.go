package parser

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

// sample is section 9 of the design page, with the internal statements.
const sample = `Declare Service DispatchDesk { Shards = 20; Slots = 2; Connections = 25; ColdLimit = 1; Deadline = 160ms; Priority = High; };
Declare Route DispatchDesk.Search { Idempotent = true; };
Declare Route DispatchDesk.Book { Idempotent = false; };
Alter Route DispatchDesk.Book { Idempotent = true; };
Drop Route DispatchDesk.Book;
Declare Target "10.0.0.1:9000" { Service = DispatchDesk; Shard = 0; DataCentre = Sliven; Version = v1; };
Alter Target "10.0.0.1:9000" { Version = "2.0+b1"; };
Alter Service DispatchDesk { Deadline = 200ms; };
Drop Target "10.0.0.1:9000";
Drop Service DispatchDesk;
TakeOut DataCentre Sliven { Reason = "power \"work\""; Until = 2026-12-04T12:00:00Z; AllowLoss = false; };
TakeOut DataCentre Yambol;
BringIn DataCentre Sliven;
BringIn Version v2 { Service = DispatchDesk; Share = 5; Deadline = 2h; OnMissed = TakeBack; };
BringIn Version v2 { Service = DispatchDesk; Deadline = 2026-12-04T12:00:00Z; };
TakeBack Version v2 { Service = DispatchDesk; Reason = "errors"; };
SetDeadline Version v2 { Service = DispatchDesk; Deadline = 1h30m; };
Advance Version v2 { Service = DispatchDesk; State = Shifting; Share = 25; };
Finish Version v2 { Service = DispatchDesk; };
Show Services;
Show Routes Where Idempotent = true;
Show Targets Where DataCentre = Sliven And Shard != 3;
Show DataCentres Where Until != 2026-12-04T12:00:00Z;
Show Versions;
Show Moves Where State = Proving;
Show Instances;
`

func TestParseCanonicalForm(t *testing.T) {
	// Guards against a statement that is read and printed differently, since the
	// change log stores the printed form.
	Convey("The sample is its own canonical form", t, func() {
		statements, findings := Parse("sample", sample)
		So(findings, ShouldBeEmpty)
		So(Join(statements), ShouldEqual, sample)
		So(statements[3].Position(), ShouldResemble, jujubegate.Position{File: "sample", Line: 4, Column: 1})
		So(statements[3].NamePosition(), ShouldResemble, jujubegate.Position{File: "sample", Line: 4, Column: 13})
		So(statements[19].NamePosition(), ShouldResemble, jujubegate.Position{})
	})
}

func TestParseValues(t *testing.T) {
	// Guards against values that lose precision or position on the way.
	Convey("Fields have typed values and positions", t, func() {
		statements, findings := Parse("f", "Declare Service A {\n  Shards = 3; Slots = 2; Connections = 4;\n"+
			"  ColdLimit = 1; Deadline = 1500µs;\n};\nTakeOut DataCentre B { Until = 2026-12-04T14:00:00.5+02:00; };")
		So(findings, ShouldBeEmpty)
		service := statements[0].(*DeclareService)
		So(service.Deadline.Value, ShouldEqual, 1500*time.Microsecond)
		So(service.Deadline.Position, ShouldResemble, jujubegate.Position{File: "f", Line: 3, Column: 29})
		So(service.Priority.Given, ShouldBeFalse)
		out := statements[1].(*TakeOutDataCentre)
		So(out.Until.Value, ShouldEqual, time.Date(2026, 12, 4, 12, 0, 0, 500e6, time.UTC))
	})
}

func TestParseFindings(t *testing.T) {
	// Guards against findings that are missing, doubled or at a wrong place.
	full := "Shards = 1; Slots = 1; Connections = 1; ColdLimit = 1; Deadline = 1s;"
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"empty", "", nil},
		{"comment only", "# nothing", nil},
		{"unknown verb", "Frob Service A;", []string{"1:1: no statement begins with Frob"}},
		{"unknown kind", "Show Frobs;", []string{"1:1: there is no statement Show Frobs"}},
		{"unknown field", "Declare Route A.B { Idempotent = true; X = 1; };", []string{"1:40: Declare Route has no field X"}},
		{"wrong types", "Declare Service A { Shards = true; Slots = 1s; Connections = 4; ColdLimit = x; Deadline = 5; };", []string{
			"1:30: Shards is true, must be a whole number", "1:44: Slots is 1s", "1:77: ColdLimit is x",
			"1:91: Deadline is 5, must be a duration",
		}},
		{"missing fields", "Declare Target \"a:1\" { Shard = 0; };", []string{
			"1:1: Declare Target needs the field Service", "1:1: Declare Target needs the field DataCentre",
			"1:1: Declare Target needs the field Version",
		}},
		{"duplicate field", "Alter Service A {\n Slots = 1;\n Slots = 2; };", []string{
			"3:2: field Slots is given twice, first at line 2, column 2",
		}},
		{"out of range", "Declare Service A { Shards = 0; Slots = 1001; Connections = 1; ColdLimit = -1; Deadline = 61s; };", []string{
			"1:30: Shards is 0, must be from 1 to 10000", "1:41: Slots is 1001", "1:76: ColdLimit is -1",
			"1:91: Deadline is 61s, must be from 1ms to 1m",
		}},
		{"huge number", "Alter Service A { Slots = 99999999999999999999; };", []string{"1:27: Slots is 99999999999999999999"}},
		{"share above the proving limit", "BringIn Version v { Service = A; Share = 6; Deadline = 1h; };", []string{
			"1:42: Share is 6, must be from 1 to 5",
		}},
		{"impossible time", "TakeOut DataCentre A { Until = 2026-13-04T12:00:00Z; };", []string{"1:32: Until is 2026-13-04T12:00:00Z"}},
		{"word for time", "TakeOut DataCentre A { Until = Monday; };", []string{"1:32: Until is Monday, must be a time"}},
		{"unknown word", "BringIn Version v { Service = A; Deadline = 1h; OnMissed = Wait; };", []string{
			"1:60: OnMissed is Wait, must be TakeBack or Continue",
		}},
		{"two broken fields", "Declare Service A { Shards 3; Slots = ; " + full[12:] + " };", []string{
			`1:28: unexpected 3; a field has`, "1:39: unexpected end; a field has",
		}},
		{"missing last semicolon", "Show Services", []string{`1:14: statement does not end in ";"`}},
		{"missing semicolon between", "Show Services\nShow Targets;", []string{`2:1: statement does not end in ";"`}},
		{"missing field semicolon", "Alter Service A { Slots = 1 };", []string{`1:29: field does not end in ";"`}},
		{"missing brace", "Alter Service A { Slots = 1;\nShow Services;", []string{`2:1: block is not closed by "}"`}},
		{"brace too many", "Show Services; };", []string{`1:16: no block is open for this "}"`}},
		{"name missing", "Drop Service;", []string{"1:1: Drop Service needs a name"}},
		{"name not allowed", "Show Services A;", []string{"1:15: Show Services takes no name"}},
		{"name with a slash", `Drop Service "a/b";`, []string{`1:14: name "a/b" must consist of`}},
		{"name too long", "Drop Service " + strings.Repeat("a", 65) + ";", []string{"1:14: name has more than 64 characters"}},
		{"route without service", "Drop Route A;", []string{"1:12: name of a route must be Service.Route"}},
		{"address without port", `Drop Target "a";`, []string{`1:13: address "a" must be host:port`}},
		{"address with port 0", `Drop Target "a:0";`, []string{`1:13: address "a:0" must be host:port`}},
		{"address without quotes", "Drop Target a;", []string{"1:13: name of a target must be a string"}},
		{"open string", "Drop Target \"a:1;\nShow Services;", []string{
			"1:13: string is not closed on its line", `2:1: statement does not end in ";"`,
		}},
		{"semicolons only", ";;", nil},
		{"invalid escape", `TakeOut DataCentre A { Reason = "\q"; };`, []string{`1:33: string "\q" has an invalid escape`}},
		{"stray character", "Show Services$;", []string{`1:14: unexpected character "$"`}},
		{"unknown column", "Show Routes Where Shard = 1;", []string{"1:19: Routes have no column Shard"}},
		{"condition elsewhere", "Drop Service A Where X = 1;", []string{"1:22: only Show has conditions"}},
		{"block on a statement without fields", "Drop Service A { X = 1; };", []string{"1:1: Drop Service has no fields"}},
		{"empty Alter", "Alter Service A;", []string{"1:1: Alter Service changes no field"}},
		{"invalid UTF-8", "Show Services; # \xff", []string{"1:1: text is not valid UTF-8"}},
		{"too large", strings.Repeat("#", MaxInput+1), []string{"1:1: text has 524289 bytes, the limit is 524288"}},
		{"several statements", "Frob A;\nShow Services;\nDrop Route A;\nAlter Service B { Slots = 0; };", []string{
			"1:1: no statement begins with Frob", "3:12: name of a route", "4:27: Slots is 0",
		}},
	}
	Convey("Findings", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				_, findings := Parse("", c.text)
				for i, f := range findings {
					got := fmt.Sprintf("%d:%d: %s", f.Position.Line, f.Position.Column, f.Message)
					if i < len(c.want) {
						So(got, ShouldStartWith, c.want[i])
					}
				}
				So(findings, ShouldHaveLength, len(c.want))
			})
		}
	})
}

func TestParseLimitsFindings(t *testing.T) {
	// Guards against an answer that grows with the size of a worthless input.
	Convey("A text of faults gives at most MaxFindings", t, func() {
		_, findings := Parse("", strings.Repeat("X;", MaxInput/2))
		So(len(findings), ShouldEqual, MaxFindings)
		_, findings = Parse("", strings.Repeat("$", MaxInput))
		So(len(findings), ShouldEqual, MaxFindings)
	})
}

func TestFormat(t *testing.T) {
	// Guards against lost comments and unstable layout.
	long := "Declare Service A { Shards = 20; Slots = 2; Connections = 25; ColdLimit = 1; Deadline = 160ms; " +
		"Priority = High; Version = \"" + strings.Repeat("v", 20) + "\"; };"
	cases := []struct{ name, text, want string }{
		{"empty", " \n\n", ""},
		{"one line each", "Show  Services;Show Routes ;", "Show Services;\nShow Routes;\n"},
		{"comments around", "# a\n\n\n# b  \nShow Services; # c\n# d", "# a\n\n# b\nShow Services; # c\n# d\n"},
		{"blank lines", "\n\nShow Services;\n\n\n\nShow Routes;", "Show Services;\n\nShow Routes;\n"},
		{"joined block", "Alter Service A {\nSlots=1;\n\nShards = 2;};", "Alter Service A { Slots = 1; Shards = 2; };\n"},
		{"empty block", "TakeOut DataCentre A {};", "TakeOut DataCentre A { };\n"},
		{"dots and operators", "Drop Route A . B;Show Routes Where Route!=C And Service=\"A\";", "Drop Route A.B;\nShow Routes Where Route != C And Service = \"A\";\n"},
		{"empty statements", ";Show Services;;; # a\n;", "Show Services; # a\n"},
		{"long", long, strings.NewReplacer("{ ", "{\n  ", "; }", ";\n}", "; ", ";\n  ").Replace(long) + "\n"},
		{
			"comments in a block",
			"Alter Service A { # why\nSlots = 1; # one\n # two\nShards = 2; } # three\n; # four",
			"Alter Service A { # why\n  Slots = 1; # one\n  # two\n  Shards = 2;\n} # three\n; # four\n",
		},
		{
			"comments within a clause",
			"Drop # x\n Service A;\nAlter Service A { Slots # y\n = 1; };",
			"Drop # x\n  Service A;\nAlter Service A {\n  Slots # y\n    = 1;\n};\n",
		},
	}
	Convey("Format", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				got, findings := Format(c.text)
				So(findings, ShouldBeEmpty)
				So(got, ShouldEqual, c.want)
				again, _ := Format(got)
				So(again, ShouldEqual, got)
			})
		}
		Convey("a text with findings is kept", func() {
			got, findings := Format("Show  Frobs;")
			So(findings, ShouldHaveLength, 1)
			So(got, ShouldEqual, "Show  Frobs;")
		})
	})
}

func FuzzParse(f *testing.F) {
	// Guards against panics, unstable formatting, lost comments and statements
	// that change when they are printed and read again.
	f.Add(sample)
	f.Add("Alter Service A { # why\nSlots = 1; # one\n # two\nShards = 2; } # three\n; # four")
	f.Fuzz(func(t *testing.T, text string) {
		statements, findings := Parse("f", text)
		formatted, formatFindings := Format(text)
		if (len(findings) == 0) != (len(formatFindings) == 0) {
			t.Fatalf("Parse has %d findings, Format %d", len(findings), len(formatFindings))
		}
		if len(findings) > 0 || len(formatted) > MaxInput {
			return
		}
		canonical := Join(statements)
		for _, form := range []string{formatted, canonical} {
			again, findings := ParseWithLimit("f", form, 2*MaxInput)
			if len(findings) > 0 || Join(again) != canonical {
				t.Fatalf("%q became %q: %v", text, form, findings)
			}
		}
		twice, _ := Format(formatted)
		if twice != formatted {
			t.Fatalf("%q is formatted as %q, then as %q", text, formatted, twice)
		}
		if got, want := comments(formatted), comments(text); got != want {
			t.Fatalf("comments %q became %q", want, got)
		}
	})
}

func comments(text string) string {
	tokens, _ := scan("", text)
	var b strings.Builder
	for _, t := range tokens {
		if t.Type == commentType {
			b.WriteString(commentText(t) + "\n")
		}
	}
	return b.String()
}
