package orderer

import (
	"os"
	"strconv"
	"testing"
	"time"
)

func TestSoakOrders(t *testing.T) {
	// Guards against faults that only show in more simulations than the default run
	// has.
	// JUJUBEGATE_SOAK is the duration, JUJUBEGATE_SEED the first seed.
	duration, err := time.ParseDuration(os.Getenv("JUJUBEGATE_SOAK"))
	if err != nil || duration <= 0 {
		t.Skip("JUJUBEGATE_SOAK is not set")
	}
	seed, _ := strconv.ParseUint(os.Getenv("JUJUBEGATE_SEED"), 10, 64)
	var s stats
	first := seed
	for start := time.Now(); time.Since(start) < duration; seed++ {
		if err := runSimulation(t, seed, maxClockSkew/2, func(*simulation) {}, &s); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("seeds %d to %d: %+v", first, seed-1, s)
}
