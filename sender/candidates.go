package sender

import (
	"slices"
	"strings"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/tracker"
)

// candidates are the targets that one call may use.
type candidates struct {
	// first are those for the first attempt, and repeats those for hedges and retries.
	first, repeats []*tracker.Replica
	// canary is the version of the targets in first if this is the new version of a move
	// under way; empty if not.
	canary jujubegate.Version
}

// candidates returns the targets that one call to a service may use. While the service
// is moved to a version, the call is assigned at random either to that version or to
// the others. The new version gets no more than its share, also if there are no other
// targets, and no repeats: what it fails is repeated at the others.
func (s *Sender) candidates(service jujubegate.Service, route jujubegate.Route) candidates {
	replicas := s.settings.Tracker.Replicas(service)
	if s.settings.Plan == nil {
		return candidates{first: replicas, repeats: replicas}
	}
	plan := s.settings.Plan(service, route)
	if plan.Version == "" {
		return candidates{first: replicas, repeats: replicas}
	}
	s.mu.Lock()
	draw := s.random.Float64()
	s.mu.Unlock()
	c := divide(replicas, plan, draw)
	if s.settings.Admit != nil && !s.settings.Admit(service, route, c.canary != "") {
		return candidates{first: c.repeats, repeats: c.repeats}
	}
	return c
}

// divide returns the targets of a call during a move. The draw is uniform from 0 to 1.
func divide(replicas []*tracker.Replica, plan promoter.Plan, draw float64) candidates {
	var planned, others []*tracker.Replica
	best := promoter.Fallback
	for _, replica := range replicas {
		version := replica.Entry().Version
		if version == plan.Version {
			planned = append(planned, replica)
			continue
		}
		preference := plan.Standing.Preference(version)
		if preference > best {
			best, others = preference, nil
		}
		if preference == best {
			others = append(others, replica)
		}
	}
	switch {
	case draw >= plan.Share || len(planned) == 0:
		return candidates{first: others, repeats: others}
	case plan.Share >= 1 && plan.Targets == 0:
		return candidates{first: planned, repeats: planned}
	case plan.Targets > 0 && plan.Targets < len(planned):
		// All instances choose the same targets.
		slices.SortFunc(planned, func(a, b *tracker.Replica) int { return strings.Compare(a.Entry().ID, b.Entry().ID) })
		planned = planned[:plan.Targets]
	}
	return candidates{first: planned, repeats: others, canary: plan.Version}
}

// isRejected reports whether the version to which the call was assigned has been found
// bad or withdrawn since.
func (r *callState) isRejected(version jujubegate.Version) bool {
	if r.candidates.canary == "" || version != r.candidates.canary {
		return false
	}
	plan := r.sender.settings.Plan(r.call.Service, r.call.Route.Name)
	switch plan.Version {
	case "":
		return false
	case version:
		return plan.Share == 0
	default:
		return plan.Standing.Preference(version) == promoter.Excluded
	}
}
