package target

import (
	"fmt"
	"slices"
	"time"
)

// SnapshotSpec is an index snapshot that a target holds. Shards is the number
// of shards of its partition map: shard i of n holds the keys from i*2^32/n up to,
// but not including, (i+1)*2^32/n. A target whose shard number is not below Shards
// doesn't hold the snapshot.
type SnapshotSpec struct {
	Snapshot int64
	Shards   int
}

// Kinds of a Fault.
const (
	// FaultErrors answers 500 after the request ran.
	FaultErrors = "Errors"
	// FaultSlow multiplies the service time by Factor.
	FaultSlow = "Slow"
)

// Fault is an injected fault of a target version.
type Fault struct {
	Kind string
	// Share is the share of requests that the fault affects, from 0 to 1; 0 means
	// all.
	Share float64
	// Factor multiplies the service time. Only FaultSlow uses it.
	Factor float64
	// AfterMs is the time from the last change of the faults to the start of this
	// one.
	AfterMs float64
	// MinInFlight limits the fault to requests that run while the target is loaded:
	// at least this number of requests run, including the request itself.
	MinInFlight int
	// Route limits the fault to one route; empty means all.
	Route string
}

// Modes of the load report; see Settings.LoadMode.
const (
	LoadTrue  = ""
	LoadIdle  = "Idle"  // always reports Warm with no slot in use
	LoadBusy  = "Busy"  // always reports all slots in use
	LoadError = "Error" // answers 500
	LoadHang  = "Hang"  // does not answer
)

// Settings are the parameters of a target. Times are in milliseconds, shares
// are from 0 to 1.
type Settings struct {
	// Address is the host:port to listen on; port 0 selects a free one.
	Address    string
	Service    string
	Shard      int
	DataCentre string
	Version    string

	// Slots is the number of requests that run concurrently. QueueLength is the
	// number that wait for a slot; any further request is shed.
	Slots       int
	QueueLength int
	// Connections is the maximum number of open connections. A connection above it
	// is accepted and closed at once. 0 means no limit.
	Connections int
	// ConnectMs simulates the set-up time of a connection, as of a handshake: the
	// first read from each connection is delayed by it.
	ConnectMs float64

	// ServiceTimeMs is the median of the service time, which has a log-normal
	// distribution; Sigma is the standard deviation of its logarithm.
	ServiceTimeMs float64
	Sigma         float64
	// StraggleShare is the share of requests that take StraggleFactor times as long.
	StraggleShare  float64
	StraggleFactor float64
	// Seed seeds all random draws.
	Seed uint64

	// ColdLimit is the number of requests, running and waiting, that the target
	// can handle while it is cold. One more overloads it: it aborts all requests,
	// closes all connections, is down for RestartMs and then starts cold. 0 means
	// that the target is never cold.
	ColdLimit int
	// ColdFactor multiplies the service time while cold; 0 means 1.
	ColdFactor float64
	// The cold start ends after WarmAfterAnswers answers or after WarmAfterMs,
	// whichever comes first; 0 disables that condition.
	WarmAfterAnswers int
	WarmAfterMs      float64
	RestartMs        float64

	Snapshots []SnapshotSpec
	// Rows is the number of rows of an answer.
	Rows int

	// Draining refuses new requests; running and queued ones finish.
	Draining bool
	// Down closes all open connections, and each new one at once.
	Down bool
	// Stalled keeps running requests from finishing until it is reset.
	Stalled bool

	Faults []Fault
	// Shares of corrupted answers: those of GarbageShare are not valid JSON, those
	// of ForeignShare carry the ID of an earlier request, and those of
	// WrongSnapshotShare carry the number of another snapshot.
	GarbageShare       float64
	ForeignShare       float64
	WrongSnapshotShare float64
	// LostOrderShare is the share of orders that run but whose connection is then
	// closed without an answer.
	LostOrderShare float64

	// LoadMode selects a true or wrong load report. LoadLagMs is the interval at
	// which the report is refreshed, so that it is up to that old.
	LoadMode  string
	LoadLagMs float64
}

// DefaultSettings returns the settings of a target with the limits of the service
// DispatchDesk. The target starts cold and becomes warm after 50 answers.
func DefaultSettings() Settings {
	return Settings{
		Address:          "127.0.0.1:0",
		Service:          "DispatchDesk",
		DataCentre:       "Sliven",
		Version:          "v1",
		Slots:            2,
		QueueLength:      4,
		Connections:      25,
		ConnectMs:        6,
		ServiceTimeMs:    5,
		Sigma:            0.25,
		StraggleFactor:   20,
		Seed:             1,
		ColdLimit:        1,
		ColdFactor:       3,
		WarmAfterAnswers: 50,
		Snapshots:        []SnapshotSpec{{Snapshot: 1, Shards: 1}},
		Rows:             1,
	}
}

// Check returns an error for the first value that is out of range.
func (s Settings) Check() error {
	shares := []struct {
		name  string
		value float64
	}{
		{"StraggleShare", s.StraggleShare},
		{"GarbageShare", s.GarbageShare},
		{"ForeignShare", s.ForeignShare},
		{"WrongSnapshotShare", s.WrongSnapshotShare},
		{"LostOrderShare", s.LostOrderShare},
	}
	for _, share := range shares {
		if share.value < 0 || share.value > 1 {
			return fmt.Errorf("field %s: %v is not between 0 and 1", share.name, share.value)
		}
	}
	switch {
	case s.Slots < 1:
		return fmt.Errorf("field Slots: %d is less than 1", s.Slots)
	case s.QueueLength < 0 || s.Connections < 0 || s.ColdLimit < 0 || s.Rows < 0 || s.Shard < 0:
		return fmt.Errorf("counts must not be negative")
	case s.ServiceTimeMs < 0 || s.Sigma < 0 || s.ConnectMs < 0 || s.RestartMs < 0 || s.LoadLagMs < 0:
		return fmt.Errorf("times must not be negative")
	case !slices.Contains([]string{LoadTrue, LoadIdle, LoadBusy, LoadError, LoadHang}, s.LoadMode):
		return fmt.Errorf("field LoadMode: %q is unknown", s.LoadMode)
	}
	for _, f := range s.Faults {
		if f.Kind != FaultErrors && f.Kind != FaultSlow {
			return fmt.Errorf("field Faults.Kind: %q is neither Errors nor Slow", f.Kind)
		}
	}
	for _, held := range s.Snapshots {
		if held.Snapshot < 1 || held.Shards < 1 {
			return fmt.Errorf("snapshot %d with %d shards: both must be at least 1", held.Snapshot, held.Shards)
		}
	}
	return nil
}

// WithSnapshot returns a copy of the settings with the snapshot added or replaced.
func (s Settings) WithSnapshot(added SnapshotSpec) Settings {
	s = s.WithoutSnapshot(added.Snapshot)
	s.Snapshots = append(s.Snapshots, added)
	slices.SortFunc(s.Snapshots, func(a, b SnapshotSpec) int { return int(a.Snapshot - b.Snapshot) })
	return s
}

// WithoutSnapshot returns a copy of the settings without the snapshot.
func (s Settings) WithoutSnapshot(removed int64) Settings {
	s.Snapshots = slices.DeleteFunc(slices.Clone(s.Snapshots), func(h SnapshotSpec) bool {
		return h.Snapshot == removed
	})
	return s
}

// findSnapshot returns the snapshot with the given number if the target holds its
// shard of it; 0 means the newest such snapshot.
func (s Settings) findSnapshot(snapshot int64) (SnapshotSpec, bool) {
	for i := len(s.Snapshots) - 1; i >= 0; i-- {
		h := s.Snapshots[i]
		if (snapshot == 0 || h.Snapshot == snapshot) && s.Shard < h.Shards {
			return h, true
		}
	}
	return SnapshotSpec{}, false
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
