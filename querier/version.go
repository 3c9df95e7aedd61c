package querier

import (
	"github.com/cespare/xxhash/v2"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// versionFilter selects the versions of a service that a query may use. The zero
// value allows all versions.
type versionFilter struct {
	// only is the single allowed version. If it is empty, all but except are allowed.
	only   jujubegate.Version
	except jujubegate.Version
}

// allows reports whether targets of the version may serve the query.
func (v versionFilter) allows(version jujubegate.Version) bool {
	if v.only != "" {
		return version == v.only
	}
	return v.except == "" || version != v.except
}

// shareScale is the number of hash buckets per percent of a share.
const shareScale = 100

// chooseVersions returns the versions that a query may use on all shards. During a
// move, a share of the queries, selected by the hash of their ID, uses the new
// version: then onNewVersion is set, and fallback is the filter to use if the new
// version can't cover the query.
func chooseVersions(spec configurator.ServiceSpec, move configurator.MoveSpec, hasMove bool, queryID string) (chosen, fallback versionFilter, onNewVersion bool) {
	if !hasMove {
		return versionFilter{only: spec.Version}, versionFilter{}, false
	}
	// The first move of a service has no From if no version was declared. Then all
	// versions but the new one count as old.
	from := versionFilter{only: move.From, except: move.To}
	to := versionFilter{only: move.To}
	switch move.State {
	case configurator.Done:
		return to, versionFilter{}, false
	case configurator.Proving, configurator.Shifting:
		if int(xxhash.Sum64String(queryID)%(100*shareScale)) < move.Share*shareScale {
			return to, from, true
		}
	}
	return from, versionFilter{}, false
}

// versionServes reports whether any queries may use targets of the version.
func versionServes(spec configurator.ServiceSpec, move configurator.MoveSpec, hasMove bool, version jujubegate.Version) bool {
	if hasMove && version == move.To {
		return move.State != configurator.TakenBack
	}
	if hasMove {
		return move.State != configurator.Done && versionFilter{only: move.From}.allows(version)
	}
	return versionFilter{only: spec.Version}.allows(version)
}
