package querier

import (
	"github.com/cespare/xxhash/v2"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

// versions says which versions of a service a query may use. The zero value
// allows every declared target.
type versions struct {
	// only is the one version allowed; empty allows all but except.
	only   jujubegate.Version
	except jujubegate.Version
}

// allows reports whether targets of the version may serve.
func (v versions) allows(version jujubegate.Version) bool {
	if v.only != "" {
		return version == v.only
	}
	return v.except == "" || version != v.except
}

// shareScale divides the hash space finer than the percentages of a share.
const shareScale = 100

// versionsOf picks the versions of a whole query. During a move the hash of the
// query ID against the share decides; fallback is then what serves if the new
// version can't cover the query, and moving is set.
func versionsOf(spec configurator.ServiceSpec, move configurator.MoveSpec, moved bool, queryID string) (chosen, fallback versions, moving bool) {
	if !moved {
		return versions{only: spec.Version}, versions{}, false
	}
	// The first move of a service has no From if no version was declared:
	// then every target but those of the new version counts as old.
	from := versions{only: move.From, except: move.To}
	to := versions{only: move.To}
	switch move.State {
	case configurator.Done:
		return to, versions{}, false
	case configurator.Proving, configurator.Shifting:
		if int(xxhash.Sum64String(queryID)%(100*shareScale)) < move.Share*shareScale {
			return to, from, true
		}
	}
	return from, versions{}, false
}

// versionServes reports whether some queries use targets of the version.
func versionServes(spec configurator.ServiceSpec, move configurator.MoveSpec, moved bool, version jujubegate.Version) bool {
	if moved && version == move.To {
		return move.State != configurator.TakenBack
	}
	if moved {
		return move.State != configurator.Done && versions{only: move.From}.allows(version)
	}
	return versions{only: spec.Version}.allows(version)
}
