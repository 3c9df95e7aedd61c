package mover

import (
	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// Capacity returns the largest percentage of a service's queries that the warm
// targets of the new version can handle. It is determined by the worst shard:
// the sum of the concurrency limits of the new version's warm targets relative
// to that of the old version's targets. For an old target that is cold or has
// no report, the declared number of slots is used; a new target without a
// report contributes nothing. The result is 100 if the old version has no
// targets left.
func Capacity(
	c configurator.Configuration, service jujubegate.Service, reports map[jujubegate.Address]jujubegate.TargetReport,
) int {
	spec, _ := c.Service(service)
	available := make(map[int]int)
	for _, t := range c.Serving(service, configurator.NewVersion, nil) {
		if r := reports[t.Address]; r.State == jujubegate.Warm {
			available[t.Shard] += r.Limit
		}
	}
	needed := make(map[int]int)
	for _, t := range c.Serving(service, configurator.OldVersion, nil) {
		switch r, ok := reports[t.Address]; {
		case !ok || r.State == jujubegate.Cold:
			needed[t.Shard] += spec.Slots
		case r.State == jujubegate.Warm:
			needed[t.Shard] += r.Limit
		}
	}
	capacity := maxShare
	for shard, limit := range needed {
		if limit > 0 {
			capacity = min(capacity, maxShare*available[shard]/limit)
		}
	}
	return capacity
}
