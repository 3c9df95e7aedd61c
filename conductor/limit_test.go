package conductor

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate/gossiper"
)

// limitSender is one instance with its token bucket for a target that names a limit.
type limitSender struct {
	bucket *rate.Limiter
	// demand is the requests per second for the target at this instance.
	demand float64
}

// sendersOf returns the buckets of all instances of a fleet for a limit. Callers send
// demand requests per second to the active instances, unevenly if skewed is set.
func sendersOf(fleet []gossiper.Peer, notLive int, limit, demand float64, skewed bool) []*limitSender {
	active := gossiper.Active(fleet)
	total := 0.0
	senders := make([]*limitSender, 0, len(fleet))
	for _, p := range fleet {
		d := newDivision(p.Instance, fleet, notLive)
		share := d.limitShare(0, limit)
		s := &limitSender{bucket: rate.NewLimiter(share.PerSecond, share.Burst)}
		for i := range active {
			if active[i].Instance != p.Instance {
				continue
			}
			if s.demand = 1; skewed {
				s.demand = 1 / float64(1+i)
			}
		}
		total += s.demand
		senders = append(senders, s)
	}
	for _, s := range senders {
		s.demand *= demand / total
	}
	return senders
}

func TestFleetExceedsNamedLimit(t *testing.T) {
	// Guards against a sum of small parts and bursts that exceeds the limit of a
	// target in a large fleet: with a burst of one request for each of 80 instances,
	// a target that names 6 a second gets 104 in 4 s, 41 allowed.
	cases := []struct {
		name               string
		instances, strong  int
		notLive            int
		limit, demand      float64
		skewed             bool
		leastUsed, seconds float64
	}{
		{"one instance", 1, 0, 0, 24, 100, false, 0.9, 20},
		{"small fleet", 7, 0, 0, 24, 100, false, 0.9, 20},
		{"small fleet, far below the load", 7, 0, 0, 6, 100, false, 0.9, 20},
		{"small fleet, uneven demand", 7, 0, 0, 24, 100, true, 0.7, 20},
		{"small fleet after losses", 7, 0, 2, 24, 100, false, 0.6, 20},
		{"equal instances", 80, 0, 0, 6, 50, false, 0.3, 20},
		{"strong and weak ones", 82, 20, 0, 6, 50, false, 0.5, 20},
		{"large fleet", 195, 40, 0, 12, 50, false, 0.5, 20},
		{"large fleet after losses", 195, 40, 30, 12, 50, false, 0.3, 20},
		{"size of the design", 1200, 300, 0, 6, 180, false, 0.3, 20},
		{"nothing", 195, 40, 0, 0, 50, false, 0, 20},
		{"less than one in a window", 195, 40, 0, 0.1, 50, false, 0, 20},
		{"above the demand", 82, 20, 0, 1e6, 50, false, 0, 20},
		{"beyond all demand", 82, 20, 0, math.MaxFloat64, 50, false, 0, 20},
	}
	for _, c := range cases {
		random := rand.New(rand.NewPCG(1, uint64(c.instances)))
		senders := sendersOf(fleetOf(c.instances, c.strong), c.notLive, c.limit, c.demand, c.skewed)
		const step = time.Millisecond
		now := time.Unix(0, 0)
		var sent []time.Time
		asked := 0
		for end := now.Add(time.Duration(c.seconds * float64(time.Second))); now.Before(end); now = now.Add(step) {
			for _, s := range senders {
				if random.Float64() >= s.demand*step.Seconds() {
					continue
				}
				asked++
				if s.bucket.AllowN(now, 1) {
					sent = append(sent, now)
				}
			}
		}
		most, first := 0, 0
		for i := range sent {
			for sent[i].Sub(sent[first]) >= limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		allowed := limitFactor*c.limit*limitWindow.Seconds() + limitAllowance
		if float64(most) > allowed {
			t.Errorf("%s: %d requests in %v, allowed %.0f", c.name, most, limitWindow, allowed)
		}
		if used := float64(len(sent)) / (c.limit * c.seconds); used < c.leastUsed {
			t.Errorf("%s: %.2f of the limit is used, want at least %.2f", c.name, used, c.leastUsed)
		}
		if c.limit > c.demand && len(sent) < asked {
			t.Errorf("%s: %d of %d requests are withheld although the limit is above the demand", c.name, asked-len(sent), asked)
		}
		t.Logf("%s: at most %d in %v, allowed %.0f; %.2f of the limit used", c.name, most, limitWindow, allowed, float64(len(sent))/(c.limit*c.seconds))
	}
}

func TestExcludedInstancesTryTogether(t *testing.T) {
	// Guards against instances that may not send to a target with a limit and all try
	// at the same moment whether it has ended.
	fleet := fleetOf(195, 40)
	const limit = 6
	var times []time.Duration
	for _, p := range fleet {
		d := newDivision(p.Instance, fleet, 0)
		if share := d.limitShare(0, limit); share.Burst == 0 && d.isActive {
			times = append(times, share.ForgetAfter)
		}
	}
	slices.Sort(times)
	if len(times) == 0 || times[0] < limitForgetAfter {
		t.Fatalf("%d instances are excluded, the first tries after %v", len(times), times)
	}
	for i := 1; i < len(times); i++ {
		if times[i]-times[i-1] < limitWindow {
			t.Errorf("two instances try within %v", times[i]-times[i-1])
		}
	}
}

func TestInstanceReachesNoCopyWithinLimits(t *testing.T) {
	// Guards against instances that may send to none of the copies of a shard although
	// others may send to all: of 24 instances, 8 may send to a target that names 3 a
	// second. An instance that may send to a copy of one shard must be able to do so
	// for all shards.
	fleet := fleetOf(24, 0)
	const limit, copies = 3, 6
	reach := 0
	for _, p := range fleet {
		d := newDivision(p.Instance, fleet, 0)
		reached := false
		for ordinal := range copies {
			reached = reached || d.limitShare(ordinal, limit).Burst > 0
		}
		if reached {
			reach++
		}
	}
	// With independent rankings 91 in 100 reach one of six copies, 33 in 100 with one.
	if reach < len(fleet)*2/3 {
		t.Errorf("%d of %d instances may send to one of %d copies", reach, len(fleet), copies)
	}
}
