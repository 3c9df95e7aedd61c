// Package loader reads the settings of the entry daemon from TOML and reports
// all findings together, with file, line and column.
package loader

import (
	"os"
	"time"

	"github.com/samber/oops"
	"jujubegate.example/jujubegate"
)

// Settings are the settings of one instance. Their meanings, ranges and defaults
// are in the table from which docs/settings.md is generated.
type Settings struct {
	Instance      jujubegate.Instance
	DataCentre    jujubegate.DataCentre
	PeerAddress   string
	CallerAddress string
	FatalChecks   bool
	Store         Store
	Peers         Peers
	Lease         Lease
	Limits        Limits
	Lookup        Lookup
	Log           Log
}

// Store are the settings of the object API's client.
type Store struct {
	Addresses      []string
	Timeout        time.Duration
	CallsPerSecond float64
}

// Peers are the settings for finding other instances.
type Peers struct {
	Seeds []string
}

// Lease are the intervals of membership and of the serving lease.
type Lease struct {
	Heartbeat time.Duration
	Suspect   time.Duration
	Duration  time.Duration
}

// Limits are the limits of one request and of all requests together.
type Limits struct {
	MaxBodyBytes       int
	MaxRows            int
	MaxQueriesInFlight int
	// AnswerMemoryBytes bounds the large answers of targets that are held at once.
	AnswerMemoryBytes int
	// ClientMemoryBytes bounds what callers and other instances send.
	ClientMemoryBytes int
	// MaxConnections bounds the accepted connections of each port.
	MaxConnections int
}

// programBytes is the memory of the program besides what Limits bounds.
const programBytes = 64 << 20

// GoMemoryLimit returns the bytes at which the garbage collector works harder. Without it,
// garbage takes as much memory as what is in use.
func (s *Settings) GoMemoryLimit() int64 {
	return programBytes + int64(s.Limits.AnswerMemoryBytes) + int64(s.Limits.ClientMemoryBytes)
}

// Lookup are the settings of the callers' address lookup.
type Lookup struct {
	ValidFor time.Duration
}

// Log are the settings of the log.
type Log struct {
	Level string
}

// Load reads the file. The error is jujubegate.Findings unless the file can't
// be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("loader").Wrap(err)
	}
	return Parse(path, data)
}

// Parse reads the settings from TOML. Findings give the name file. The error is
// jujubegate.Findings.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	for _, d := range table {
		if d.defaultValue != nil {
			d.assign(&s, d.defaultValue)
		}
	}
	r := &reader{file: file, settings: &s, settingPositions: map[string]jujubegate.Position{}, sectionPositions: map[string]jujubegate.Position{}}
	r.read(data)
	r.checkRequired()
	if len(r.findings) == 0 {
		r.checkDependencies()
	}
	if len(r.findings) > 0 {
		return Settings{}, r.sortedFindings().Err()
	}
	return s, nil
}
