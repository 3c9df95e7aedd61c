package mover

import (
	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// Capacity returns the largest percentage of a service's queries that the warm
// targets of the new version can carry: on the shard where they allow the least,
// their limits compared with those of the old version's targets. A target of the
// old version without a report counts with the slots of the declaration, one of
// the new version counts as unable. It returns 100 if no target of the old
// version is left.
func Capacity(
	c configurator.Configuration, service jujubegate.Service, reports map[jujubegate.Address]jujubegate.TargetReport,
) int {
	spec, _ := c.Service(service)
	fresh := make(map[int]int)
	for _, t := range c.Serving(service, configurator.NewVersion, nil) {
		if r := reports[t.Address]; r.State == jujubegate.Warm {
			fresh[t.Shard] += r.Limit
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
			capacity = min(capacity, maxShare*fresh[shard]/limit)
		}
	}
	return capacity
}
