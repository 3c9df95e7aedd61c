package promoter

import (
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// latencyMemory is the number of answers of which the times are kept, for each route of
	// a service.
	latencyMemory = 32
	// minLatencies is the number of answers from which on their median is used.
	minLatencies = 5
)

// routeKey identifies a route of a service.
type routeKey struct {
	service jujubegate.Service
	route   jujubegate.Route
}

// latencies holds the times of the latest answers of versions that are not on trial. The
// median of the route would include those of the version on trial, which gets most of the
// requests if there are few, and takes longer to be known.
type latencies struct {
	last  [latencyMemory]time.Duration
	count int
}

func (l *latencies) add(took time.Duration) {
	l.last[l.count%latencyMemory] = took
	l.count++
}

// median returns the median of the latest times, or 0 if there are too few.
func (l *latencies) median() time.Duration {
	n := min(l.count, latencyMemory)
	if n < minLatencies {
		return 0
	}
	sorted := l.last
	slices.Sort(sorted[:n])
	return sorted[n/2]
}

// withTypical returns the observation with the median of the versions that are not on
// trial, if there is a trial and the median is known. It adds the time of the attempt if it
// was at one of these versions.
func (p *Promoter) withTypical(o Observation, m *move) Observation {
	k := routeKey{o.Service, o.Route}
	l := p.latencies[k]
	if l == nil {
		l = &latencies{}
		p.latencies[k] = l
	}
	trial := m != nil && m.State == Running && !m.returning
	if onTrial := trial && o.Version == m.Version; !onTrial && o.Ended && !o.Failed && !o.Cold {
		l.add(o.Took)
	}
	if trial {
		if median := l.median(); median > 0 {
			o.Typical = median
		}
	}
	return o
}
