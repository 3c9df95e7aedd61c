package recorder

import (
	"fmt"
	"slices"

	"go.uber.org/zap"
)

// Invariant is the name of a property that is checked at run time.
type Invariant string

// Invariants. A violation is counted in the variable "Violations.<Name>".
const (
	// Snapshot: an answer comes from one index snapshot.
	Snapshot Invariant = "Snapshot"
	// Coverage: an answer states its shard coverage accurately.
	Coverage Invariant = "Coverage"
	// Cold: a cold target never receives more load than it can handle.
	Cold Invariant = "Cold"
	// DataCentreOut: a data centre taken out receives no new work after 3 s.
	DataCentreOut Invariant = "DataCentreOut"
	// BadVersion: a bad version gets at most 5% of the requests, and none from 2 s
	// after its fault shows.
	BadVersion Invariant = "BadVersion"
	// Limit: a target runs at most as many requests of its owner as its limit
	// allows.
	Limit Invariant = "Limit"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Invariant = "AtMostOnce"
	// Leaving: a leaving target receives no new work after 3 s.
	Leaving Invariant = "Leaving"
	// GracefulStop: a planned stop interrupts no request in flight.
	GracefulStop Invariant = "GracefulStop"
	// Configuration: an accepted configuration never reverts.
	Configuration Invariant = "Configuration"
	// DoubleOwner: a target has at most one sending owner at a time.
	DoubleOwner Invariant = "DoubleOwner"
)

// Invariants lists all invariants.
var Invariants = []Invariant{
	Snapshot, Coverage, Cold, DataCentreOut, BadVersion, Limit,
	AtMostOnce, Leaving, GracefulStop, Configuration, DoubleOwner,
}

// Check counts and reports violated invariants.
type Check struct {
	log    *zap.Logger
	fatal  bool
	counts []Counter
}

// NewCheck returns a check. If fatal is set, a violation panics.
func NewCheck(log *zap.Logger, fatal bool) *Check {
	return &Check{log: log, fatal: fatal, counts: make([]Counter, len(Invariants))}
}

// Violation counts a violation of an invariant and logs it as an error with the
// formatted detail. It panics if the check is fatal or the name is unknown.
func (c *Check) Violation(name Invariant, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	i := slices.Index(Invariants, name)
	if i < 0 {
		panic(fmt.Sprintf("unknown invariant %q: %s", name, detail))
	}
	c.counts[i].Inc()
	c.log.Error("recorder: invariant violated", zap.String("invariant", string(name)), zap.String("detail", detail))
	if c.fatal {
		panic(fmt.Sprintf("invariant %s violated: %s", name, detail))
	}
}

// Violations returns the number of violations of one invariant.
func (c *Check) Violations(name Invariant) int64 {
	i := slices.Index(Invariants, name)
	if i < 0 {
		return 0
	}
	return c.counts[i].Value()
}

// Total returns the number of violations of all invariants.
func (c *Check) Total() int64 {
	var total int64
	for i := range c.counts {
		total += c.counts[i].Value()
	}
	return total
}
