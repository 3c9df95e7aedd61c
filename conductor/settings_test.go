package conductor

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

const valid = `Instance = "a"
DataCentre = "dc"
Cores = 1
CoreShare = 0.4
MemoryMB = 284
[Listen]
Callers = "127.0.0.1:1"
Ready = "127.0.0.1:2"
Lookup = "127.0.0.1:3"
Peers = "127.0.0.1:4"
[Store]
Address = "127.0.0.1:5"
[Bounds]
DrainMillis = 3000
ConvergeMillis = 3000
GraceSeconds = 6
RepeatRatio = 0.2
RepeatAllowance = 54
ColdFactor = 1.5
ColdAllowance = 5
LookupSeconds = 5
`

func TestParse(t *testing.T) {
	// Guards against invalid settings that are accepted.
	cases := []struct {
		name, from, to string
		findings       []string
	}{
		{"valid", "", "", nil},
		{"unknown field", "Cores = 1", "Cores = 1\nColor = 3", []string{"test:4:1"}},
		{"wrong type", "Cores = 1", `Cores = "x"`, []string{"test:3:"}},
		{"address without a port", `Peers = "127.0.0.1:4"`, `Peers = "4"`, []string{"Listen.Peers"}},
		{"no grace", "GraceSeconds = 6", "GraceSeconds = 0", []string{"Bounds.GraceSeconds must be greater than 0"}},
		{"no instance", `Instance = "a"`, "", []string{"Instance is missing"}},
	}
	Convey("Settings", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				_, err := Parse("test", []byte(strings.Replace(valid, c.from, c.to, 1)))
				if len(c.findings) == 0 {
					So(err, ShouldBeNil)
					return
				}
				var findings jujubegate.Findings
				So(errors.As(err, &findings), ShouldBeTrue)
				for _, text := range c.findings {
					So(err.Error(), ShouldContainSubstring, text)
				}
			})
		}
	})
}

func TestNeedRestart(t *testing.T) {
	// Guards against a reload that reports a setting as applied although it is
	// read only at startup.
	cases := []struct {
		name, from, to string
		want           []string
	}{
		{"no change", "", "", nil},
		{"seeds", "Cores = 1", "Seeds = [\"127.0.0.1:9\"]\nCores = 1", nil},
		{"grace", "GraceSeconds = 6", "GraceSeconds = 9", nil},
		{"lookup", "LookupSeconds = 5", "LookupSeconds = 1", nil},
		{"repeats", "RepeatRatio = 0.2", "RepeatRatio = 0.1", []string{"Bounds"}},
		{"drain", "DrainMillis = 3000", "DrainMillis = 5000", []string{"Bounds"}},
		{"processor", "CoreShare = 0.4", "CoreShare = 0.8", []string{"Cores"}},
		{"fleet", "Cores = 1", "Fleet = \"f\"\nCores = 1", []string{"Fleet"}},
		{"store", "127.0.0.1:5", "127.0.0.1:6", []string{"Store"}},
	}
	Convey("Changed settings that need a restart", t, func() {
		old, err := Parse("test", []byte(valid))
		So(err, ShouldBeNil)
		for _, c := range cases {
			Convey(c.name, func() {
				next, err := Parse("test", []byte(strings.Replace(valid, c.from, c.to, 1)))
				So(err, ShouldBeNil)
				So(old.needRestart(&next), ShouldResemble, c.want)
			})
		}
	})
}
