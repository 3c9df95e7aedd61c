package configurator

import (
	"slices"

	"jujubegate.example/jujubegate"
)

// Allows reports whether a target may receive new requests: it is declared
// exactly as given, its data centre is not out, and queries go to its version.
func (c Configuration) Allows(t jujubegate.Target) bool {
	declared, ok := c.targets[t.Address]
	return ok && declared == t && !c.dataCentres[t.DataCentre].Out &&
		slices.Contains(c.usedVersions(t.Service), t.Version)
}
