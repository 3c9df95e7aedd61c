package target

import (
	"fmt"
	"slices"
	"time"
)

// SnapshotSpec is an index snapshot that a target holds. Shards is the number
// of shards of its partition map: the shard i of n holds the keys from
// i*2^32/n up to (i+1)*2^32/n. A shard that the map doesn't have is not held.
type SnapshotSpec struct {
	Snapshot int64
	Shards   int
}

// Kinds of a Fault.
const (
	// FaultErrors answers 500 after the work was done.
	FaultErrors = "Errors"
	// FaultSlow multiplies the service time by Factor.
	FaultSlow = "Slow"
)

// Fault is the fault of a bad version.
type Fault struct {
	Kind string
	// Share is the share of requests concerned, from 0 to 1; 0 means all.
	Share float64
	// Factor multiplies the service time; for FaultSlow only.
	Factor float64
	// AfterMs is the time from the setting of the faults to this one's start.
	AfterMs float64
	// MinInFlight limits the fault to times of load: the number of requests
	// that run, including the one concerned.
	MinInFlight int
	// Route limits the fault to one route; empty means all.
	Route string
}

// Modes of the load report.
const (
	LoadTrue  = ""
	LoadIdle  = "Idle"  // always Warm with no slot in use
	LoadBusy  = "Busy"  // always all slots in use
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

	// Slots is the number of requests that run at once, QueueLength that of
	// requests that wait for a slot; any further one is shed.
	Slots       int
	QueueLength int
	// Connections is the number of open connections. An excess connection is
	// accepted and closed at once. 0 means no limit.
	Connections int
	// ConnectMs is the set-up cost: the first bytes of a connection are read
	// after this time.
	ConnectMs float64

	// ServiceTimeMs is the median of a log-normal distribution with Sigma.
	ServiceTimeMs float64
	Sigma         float64
	// StraggleShare of the requests take StraggleFactor times as long.
	StraggleShare  float64
	StraggleFactor float64
	// Seed determines all random choices.
	Seed uint64

	// ColdLimit is the number of requests, running and waiting, that the
	// target handles while it is cold. One more makes it fall over: it drops all
	// connections, is down for RestartMs and starts cold. 0 means that the
	// target is never cold.
	ColdLimit int
	// ColdFactor multiplies the service time while cold; 0 means 1.
	ColdFactor float64
	// WarmAfterAnswers and WarmAfterMs end the cold start, whichever is first;
	// 0 disables the criterion.
	WarmAfterAnswers int
	WarmAfterMs      float64
	RestartMs        float64

	Snapshots []SnapshotSpec
	// Rows is the number of rows of an answer.
	Rows int

	// Draining refuses new work; what runs is finished.
	Draining bool
	// Down closes all connections, and new ones at once.
	Down bool
	// Stalled holds running requests until it is reset.
	Stalled bool

	Faults []Fault
	// GarbageShare of the answers are not JSON, ForeignShare answer another
	// request, WrongSnapshotShare are from another snapshot than the one asked.
	GarbageShare       float64
	ForeignShare       float64
	WrongSnapshotShare float64
	// LostOrderShare of the orders run and then lose their connection.
	LostOrderShare float64

	// LoadMode is the truthfulness of the load report, LoadLagMs its age.
	LoadMode  string
	LoadLagMs float64
}

// DefaultSettings returns a warm target with the limits of the dispatch desk.
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

// Check returns an error that names the first value out of range.
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

// WithSnapshot returns the settings with a snapshot added or replaced.
func (s Settings) WithSnapshot(added SnapshotSpec) Settings {
	s = s.WithoutSnapshot(added.Snapshot)
	s.Snapshots = append(s.Snapshots, added)
	slices.SortFunc(s.Snapshots, func(a, b SnapshotSpec) int { return int(a.Snapshot - b.Snapshot) })
	return s
}

// WithoutSnapshot returns the settings with a snapshot removed.
func (s Settings) WithoutSnapshot(removed int64) Settings {
	s.Snapshots = slices.DeleteFunc(slices.Clone(s.Snapshots), func(h SnapshotSpec) bool {
		return h.Snapshot == removed
	})
	return s
}

// held returns the snapshot with the number; 0 means the newest one.
func (s Settings) held(snapshot int64) (SnapshotSpec, bool) {
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
