package gatherer

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/sender"
)

// maxQueueFraction is the longest queueing time, as a fraction of the objective. Above
// it a shard counts as overloaded, because its result would be late.
const maxQueueFraction = 0.6

// rejection returns the result of a query that must not start, or false if it can start.
// It must not if the floor cannot be reached without shards that are overloaded, cannot
// be reached, or have only targets at the limit of their start or at the one that they
// name. It would only delay the queries that are already at the targets and use up the
// rate limit that the next query needs.
func (g *Gatherer) rejection(route *router.Route) (Result, bool) {
	limit := time.Duration(maxQueueFraction * float64(route.Objective))
	allowed := len(route.Gather.Shards) - requiredShards(route.Gather)
	var longest sender.Wait
	var slowest jujubegate.Service
	for _, shard := range route.Gather.Shards {
		wait := g.settings.Wait(route, shard)
		if wait.Queue <= limit && wait.Admission <= 0 {
			continue
		}
		if wait.Total() > longest.Total() {
			longest, slowest = wait, shard
		}
		if allowed--; allowed >= 0 {
			continue
		}
		reason := jujubegate.Overloaded
		if longest.Unreachable {
			reason = jujubegate.TargetDown
		}
		return Result{
			Outcome: jujubegate.NotRun, Reason: reason, Rejecting: slowest,
			RetryAfter: g.settings.ReturnAfter(slowest, longest),
		}, true
	}
	return Result{}, false
}
