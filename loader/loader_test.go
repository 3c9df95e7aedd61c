package loader

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"jujubegate.example/jujubegate"
)

var update = flag.Bool("update", false, "write the generated page")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const minimal = `Instance = "sliven-1"
DataCentre = "Sliven"
PeerAddress = "127.0.0.1:7001"
CallerAddress = "127.0.0.1:7002"
[Store]
Addresses = ["127.0.0.1:7100"]
`

func TestPageIsCurrent(t *testing.T) {
	// Guards against a reference page that differs from the table of settings.
	const path = "../docs/settings.md"
	if *update {
		if err := os.WriteFile(path, ReferencePage(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	Convey("docs/settings.md is the generated page", t, func() {
		page, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(string(page), ShouldEqual, string(ReferencePage()))
	})
}

func TestSettingsAreRead(t *testing.T) {
	// Guards against settings that are accepted and have no effect, and
	// against defaults that differ from the design page.
	defaults := Settings{
		Instance: "sliven-1", DataCentre: "Sliven", PeerAddress: "127.0.0.1:7001", CallerAddress: "127.0.0.1:7002",
		Store:  Store{Addresses: []string{"127.0.0.1:7100"}, Timeout: time.Second, CallsPerSecond: 50},
		Lease:  Lease{Heartbeat: 500 * time.Millisecond, Suspect: 2 * time.Second, Duration: 3 * time.Second},
		Limits: Limits{MaxBodyBytes: 1 << 20, MaxRows: 10_000, MaxQueriesInFlight: 1024, AnswerMemoryBytes: 64 << 20, ClientMemoryBytes: 96 << 20, MaxConnections: 4096},
		Lookup: Lookup{ValidFor: 30 * time.Second},
		Log:    Log{Level: "info"},
	}
	cases := []struct {
		name   string
		added  string
		change func(s *Settings)
	}{
		{"defaults", "", func(*Settings) {}},
		{"own section", "[Peers]\nSeeds = ['10.0.0.1:7001', \"[::1]:7001\"]\n", func(s *Settings) {
			s.Peers.Seeds = []string{"10.0.0.1:7001", "[::1]:7001"}
		}},
		{"same section", "Timeout = \"250ms\" # fast\nCallsPerSecond = 7\n", func(s *Settings) {
			s.Store.Timeout, s.Store.CallsPerSecond = 250*time.Millisecond, 7
		}},
		{"fraction", "CallsPerSecond = 0.5\n", func(s *Settings) { s.Store.CallsPerSecond = 0.5 }},
		{"underscores and hexadecimal", "[Limits]\nMaxRows = 20_000\nMaxBodyBytes = 0x1000\n", func(s *Settings) {
			s.Limits.MaxRows, s.Limits.MaxBodyBytes = 20_000, 4096
		}},
		{"lease", "[Lease]\nHeartbeat = \"100ms\"\nSuspect = \"400ms\"\nDuration = \"1s\"\n", func(s *Settings) {
			s.Lease = Lease{100 * time.Millisecond, 400 * time.Millisecond, time.Second}
		}},
	}
	Convey("Reading settings", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				want := defaults
				c.change(&want)
				got, err := Parse("x.toml", []byte(minimal+c.added))
				So(err, ShouldBeNil)
				So(got, ShouldResemble, want)
			})
		}
		Convey("top level and inline table", func() {
			got, err := Parse("x.toml", []byte("FatalChecks = true\nLog = { Level = \"debug\" }\nLookup.ValidFor = \"5s\"\n"+minimal))
			So(err, ShouldBeNil)
			So(got.FatalChecks, ShouldBeTrue)
			So(got.Log.Level, ShouldEqual, "debug")
			So(got.Lookup.ValidFor, ShouldEqual, 5*time.Second)
		})
	})
}

func TestFindings(t *testing.T) {
	// Guards against invalid settings that are ignored, reported one at a time or
	// reported at a wrong position.
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"empty file", "", []string{
			"x.toml:1:1: Instance is missing", "x.toml:1:1: DataCentre is missing",
			"x.toml:1:1: PeerAddress is missing", "x.toml:1:1: CallerAddress is missing", "x.toml:1:1: Store.Addresses is missing",
		}},
		{"unknown keys and sections", minimal + "Retries = 3\n[Stroe]\nTimeout = 3\n[Log]\nlevel = \"info\"\n", []string{
			"x.toml:7:1: setting Store.Retries is unknown", "x.toml:8:2: section Stroe is unknown", "x.toml:11:1: setting Log.level is unknown",
		}},
		{"wrong types", minimal + "Timeout = 3\n[Limits]\nMaxRows = \"many\"\nMaxBodyBytes = 1.5\n[Peers]\nSeeds = [1]\n[Log]\nLevel = 2026-12-04\n", []string{
			"x.toml:7:11: Store.Timeout must be a duration, not an integer",
			"x.toml:9:11: Limits.MaxRows must be an integer, not a string",
			"x.toml:10:16: Limits.MaxBodyBytes must be an integer, not a float",
			"x.toml:12:1: Peers.Seeds must hold strings, not an integer",
			"x.toml:14:9: Log.Level must be a string, not a date or time",
		}},
		{"out of range", minimal + "CallsPerSecond = nan\nTimeout = \"1h\"\n[Limits]\nMaxRows = 99999999999999999999\nMaxQueriesInFlight = 0\n[Log]\nLevel = \"loud\"\n", []string{
			"x.toml:7:18: Store.CallsPerSecond is NaN, not between 0.1 and 2000",
			"x.toml:8:11: Store.Timeout is 1h0m0s, not between 10ms and 1m0s",
			"x.toml:10:11: Limits.MaxRows is 99999999999999999999, which is too large",
			"x.toml:11:22: Limits.MaxQueriesInFlight is 0, not between 1 and 100000",
			"x.toml:13:9: Log.Level is \"loud\", not one of debug, info, warn, error",
		}},
		{"addresses", "Instance = \"a b\"\nDataCentre = \"Sliven\"\nPeerAddress = \"0.0.0.0:7001\"\nCallerAddress = \"host:7002\"\n[Store]\nAddresses = [\"a:1\", \"a:1\"]\n[Peers]\nSeeds = [\"a:70000\"]\n", []string{
			"x.toml:1:12: Instance is \"a b\", not 1 to 64 letters, digits, '.', '_' or '-' that start with a letter or digit",
			"x.toml:3:15: PeerAddress is \"0.0.0.0:7001\", which other instances can't connect to",
			"x.toml:4:17: CallerAddress is \"host:7002\", not an IP address and port",
			"x.toml:6:1: Store.Addresses holds \"a:1\" twice",
			"x.toml:8:1: Peers.Seeds holds \"a:70000\": the port is not a number from 1 to 65535",
		}},
		{"set twice", minimal + "Timeout = \"1s\"\nTimeout = \"2s\"\n", []string{"x.toml:8:1: Store.Timeout is already set at line 7"}},
		{"quoted path", "\"Store.Timeout\" = \"2s\"\n" + minimal, []string{"x.toml:1:1: setting \"Store.Timeout\" is unknown"}},
		{"section as list", minimal + "[[Log]]\nLevel = \"info\"\n", []string{"x.toml:7:3: Log must be a section [Log], not a list of sections"}},
		{"section as value", "Log = 3\n" + minimal, []string{"x.toml:1:1: Log is a section, not an integer"}},
		{"dependent times", minimal + "[Lease]\nSuspect = \"600ms\"\nDuration = \"700ms\"\n", []string{
			"x.toml:8:1: Lease.Suspect is 600ms, less than 2 heartbeats of 500ms",
			"x.toml:9:1: Lease.Duration is 700ms, less than 2 heartbeats of 500ms",
		}},
	}
	Convey("Findings of", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				_, err := Parse("x.toml", []byte(c.text))
				So(findingLines(err), ShouldResemble, c.want)
			})
		}
		Convey("a syntax error, with those before it", func() {
			_, err := Parse("x.toml", []byte("Instance = 3\n"+minimal[22:]+"Timeout = = 3\nRetries = 3\n"))
			So(findingLines(err)[0], ShouldEqual, "x.toml:1:12: Instance must be a string, not an integer")
			So(findingLines(err)[1], ShouldStartWith, "x.toml:7:11: ")
			So(len(findingLines(err)), ShouldEqual, 2)
		})
		Convey("a file that does not exist", func() {
			_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
			So(errors.Is(err, os.ErrNotExist), ShouldBeTrue)
		})
	})
}

func findingLines(err error) []string {
	var findings jujubegate.Findings
	errors.As(err, &findings)
	var all []string
	for _, f := range findings {
		all = append(all, f.String())
	}
	return all
}

func FuzzParse(f *testing.F) {
	// Guards against panics and against findings whose position is outside the
	// file.
	for _, seed := range []string{
		"", minimal, minimal + "[Lease]\nHeartbeat = \"1s\"\n", "a = [[1], {b = 2}]\n", "[Store]\nTimeout = 1979-05-27\n",
		"Log = { Level = \"info\" , }", "a.b.\"c.d\" = 1\n[[x]]\n[x.y]", "Instance = \"\\uD800\"", "x = '''\n", "\xff", "\xef\xbb\xbfa=1\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("x.toml", []byte(text))
		if err == nil {
			if s.Instance == "" || len(s.Store.Addresses) == 0 {
				t.Fatalf("accepted settings are incomplete: %+v", s)
			}
			return
		}
		var findings jujubegate.Findings
		if !errors.As(err, &findings) || len(findings) == 0 {
			t.Fatalf("error %v is not a list of findings", err)
		}
		for _, f := range findings {
			if f.Position.Line < 1 || f.Position.Column < 1 || f.Position.Line > len(text)+1 || f.Position.File != "x.toml" {
				t.Fatalf("finding %v is outside of the file", f)
			}
		}
	})
}
