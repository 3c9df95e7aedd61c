package configurator

import (
	"os"
	"strconv"
	"testing"
	"time"
)

func TestSoakRacingProposers(t *testing.T) {
	// Guards against reverted, lost or duplicate changes in rare interleavings.
	// "make soak" sets the duration and the first seed.
	duration, err := time.ParseDuration(os.Getenv("JUJUBEGATE_SOAK"))
	if err != nil {
		t.Skip("JUJUBEGATE_SOAK is not a duration")
	}
	seed, err := strconv.ParseUint(os.Getenv("JUJUBEGATE_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	runs, proposals, generations := 0, 0, 0
	for end := time.Now().Add(duration); time.Now().Before(end) && !t.Failed(); seed++ {
		r := newRaceRun(t, seed)
		r.run(seed)
		log := r.readLog()
		r.checkLog(log)
		r.checkFollowers(log)
		r.checkHistory(log)
		runs, proposals, generations = runs+1, proposals+len(r.proposals), generations+len(log)
	}
	t.Logf("%d runs to seed %d, %d proposals, %d generations", runs, seed-1, proposals, generations)
}
