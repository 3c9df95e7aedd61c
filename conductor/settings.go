package conductor

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"jujubegate.example/jujubegate"
)

// Settings configure an instance on a platform.
type Settings struct {
	Instance   jujubegate.Instance
	DataCentre jujubegate.DataCentre
	// Fleet names the deployment. Instances of different fleets ignore each other.
	// Empty means the address of the store.
	Fleet string
	// Cores is the number of processor cores, and CoreShare the fraction of each
	// that the instance may use.
	Cores     int
	CoreShare float64
	// MemoryMB is the memory that the process may use.
	MemoryMB int
	// Descriptors is the number of descriptors that the process may open; 0 means as many as
	// the system allows.
	Descriptors int
	Listen      Listen
	// Seeds are peer addresses of other instances; they may be stale.
	Seeds  []string
	Store  Store
	Bounds Bounds
	Log    Log
}

// Listen holds the host:port on which each server of an instance listens.
type Listen struct {
	Callers, Ready, Lookup, Peers, Metrics string
}

// Store holds the address of the platform's store.
type Store struct{ Address string }

// Bounds are the limits that the platform sets. A time is in the unit that its
// field's name ends in.
type Bounds struct {
	// DrainMillis is how long a leaving target may still get requests.
	DrainMillis int
	// ConvergeMillis is the time within which a configuration must be in force.
	ConvergeMillis int
	// GraceSeconds is the grace period, from SIGTERM to SIGKILL.
	GraceSeconds float64
	// RepeatRatio and RepeatAllowance bound the repeats of requests to a service.
	RepeatRatio, RepeatAllowance float64
	// ColdFactor and ColdAllowance bound the requests to a cold target.
	ColdFactor, ColdAllowance float64
	// LookupSeconds is the longest time for which callers may keep a looked-up
	// address.
	LookupSeconds float64
}

// Log configures the log.
type Log struct {
	// Level is a zap level: debug, info, warn or error.
	Level string
	// LinesPerSecond is the rate limit, a quarter of which is reserved for
	// warnings and errors.
	LinesPerSecond int
}

// Load reads the settings from a TOML file. The error is of type
// jujubegate.Findings unless the file cannot be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads the settings from TOML. File is the file name in the findings.
func Parse(file string, data []byte) (Settings, error) {
	s := Settings{Log: Log{Level: "info", LinesPerSecond: defaultLinesPerSecond}}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, findingsOf(file, err)
	}
	return s, s.check(file).Err()
}

// needRestart returns the names of the settings that differ in next and that a
// reload does not apply.
func (s *Settings) needRestart(next *Settings) []string {
	// A reload applies these two bounds. The others are read only at startup.
	bounds := next.Bounds
	bounds.GraceSeconds, bounds.LookupSeconds = s.Bounds.GraceSeconds, s.Bounds.LookupSeconds
	var names []string
	for _, field := range []struct {
		name string
		same bool
	}{
		{"Instance", s.Instance == next.Instance},
		{"DataCentre", s.DataCentre == next.DataCentre},
		{"Listen", s.Listen == next.Listen},
		{"Store", s.Store == next.Store},
		{"Log", s.Log == next.Log},
		{"Fleet", s.Fleet == next.Fleet},
		{"Cores", s.Cores == next.Cores && s.CoreShare == next.CoreShare},
		{"MemoryMB", s.MemoryMB == next.MemoryMB},
		{"Descriptors", s.Descriptors == next.Descriptors},
		{"Bounds", s.Bounds == bounds},
	} {
		if !field.same {
			names = append(names, field.name)
		}
	}
	return names
}

// findingsOf returns the findings in an error of the TOML decoder, with their
// positions.
func findingsOf(file string, err error) jujubegate.Findings {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var fs jujubegate.Findings
		for _, e := range unknown.Errors {
			fs = append(fs, findingOf(file, &e))
		}
		return fs
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		return jujubegate.Findings{findingOf(file, decodeError)}
	}
	return jujubegate.Findings{{Position: jujubegate.Position{File: file, Line: 1, Column: 1}, Message: err.Error()}}
}

func findingOf(file string, e *toml.DecodeError) jujubegate.Finding {
	line, column := e.Position()
	return jujubegate.Finding{Position: jujubegate.Position{File: file, Line: line, Column: column}, Message: e.Error()}
}

// check validates the values of the settings.
func (s *Settings) check(file string) jujubegate.Findings {
	var fs jujubegate.Findings
	add := func(format string, args ...any) {
		fs = append(fs, jujubegate.Finding{Position: jujubegate.Position{File: file, Line: 1, Column: 1}, Message: fmt.Sprintf(format, args...)})
	}
	for _, field := range []struct{ name, value string }{
		{"Instance", string(s.Instance)}, {"DataCentre", string(s.DataCentre)},
	} {
		if field.value == "" {
			add("%s is missing", field.name)
		}
	}
	for _, field := range []struct {
		name, value string
		optional    bool
	}{
		{"Listen.Callers", s.Listen.Callers, false},
		{"Listen.Ready", s.Listen.Ready, false},
		{"Listen.Lookup", s.Listen.Lookup, false},
		{"Listen.Peers", s.Listen.Peers, false},
		{"Listen.Metrics", s.Listen.Metrics, true},
		{"Store.Address", s.Store.Address, false},
	} {
		if field.value == "" && field.optional {
			continue
		}
		if _, _, err := net.SplitHostPort(field.value); err != nil {
			add("%s = %q is not host:port", field.name, field.value)
		}
	}
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"Bounds.DrainMillis", float64(s.Bounds.DrainMillis)},
		{"Bounds.ConvergeMillis", float64(s.Bounds.ConvergeMillis)},
		{"Bounds.GraceSeconds", s.Bounds.GraceSeconds},
		{"Bounds.RepeatRatio", s.Bounds.RepeatRatio},
		{"Bounds.RepeatAllowance", s.Bounds.RepeatAllowance},
		{"Bounds.LookupSeconds", s.Bounds.LookupSeconds},
	} {
		if field.value <= 0 {
			add("%s must be greater than 0", field.name)
		}
	}
	if s.Cores <= 0 || s.CoreShare <= 0 {
		add("Cores and CoreShare must be greater than 0")
	}
	if s.MemoryMB <= 0 {
		add("MemoryMB must be greater than 0")
	}
	if s.Descriptors != 0 && s.Descriptors < minDescriptors {
		add("Descriptors = %d is less than %d", s.Descriptors, minDescriptors)
	}
	if s.Log.LinesPerSecond <= 0 {
		add("Log.LinesPerSecond must be greater than 0")
	}
	return fs
}

// minDescriptors is the least number of descriptors with which each server gets some.
const minDescriptors = 128

// fleet returns the name of the deployment.
func (s *Settings) fleet() string {
	if s.Fleet != "" {
		return s.Fleet
	}
	return s.Store.Address
}

// capacity returns the usable CPU time in thousandths of a core.
func (s *Settings) capacity() int64 { return max(int64(1000*s.CoreShare*float64(s.Cores)), 1) }

func (b Bounds) grace() time.Duration { return time.Duration(b.GraceSeconds * float64(time.Second)) }

func (b Bounds) converge() time.Duration {
	return time.Duration(b.ConvergeMillis) * time.Millisecond
}

func (b Bounds) drain() time.Duration { return time.Duration(b.DrainMillis) * time.Millisecond }
