package jujubegate

import "time"

// DataCentre names a zone that can be taken out of service as a whole.
type DataCentre string

// Instance names one process of the entry daemon.
type Instance string

// Caller names the client that a request belongs to.
type Caller string

// Service names a sharded back end.
type Service string

// Route names one kind of request of a service.
type Route string

// Version names a release of a back end.
type Version string

// Address is the host:port of a target; it identifies the target.
type Address string

// Target is a back end process that holds one shard of a service.
type Target struct {
	Address    Address
	Service    Service
	Shard      int
	DataCentre DataCentre
	Version    Version
}

// TargetState is the state of a target as seen by its owner.
type TargetState int

// States of a target. The zero value is an unknown state.
const (
	Cold TargetState = iota + 1
	Warm
	Draining
	Ejected
)

var targetStateNames = []string{"Unknown", "Cold", "Warm", "Draining", "Ejected"}

// String returns the name of the state.
func (s TargetState) String() string {
	if s < 0 || int(s) >= len(targetStateNames) {
		return targetStateNames[0]
	}
	return targetStateNames[s]
}

// TargetReport is the status of a target as reported by its owner.
type TargetReport struct {
	Target   Address
	State    TargetState
	InFlight int
	Queued   int
	// Limit is the maximum number of concurrent requests that the owner allows.
	Limit int
	// Latency is the smoothed service time.
	Latency time.Duration
	// Snapshots lists the index snapshots that the target holds, oldest first.
	Snapshots []Snapshot
}
