package admitter

import (
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// demandWeight is the weight of the latest tick in a demand estimate.
	demandWeight = 0.3
	// demandMargin is the factor by which a quota may exceed the estimated
	// demand, so that a rising demand is not refused.
	demandMargin = 1.2
	// maxCallers bounds the callers that are told apart per class; all others
	// share one place.
	maxCallers = 1024
	// forgetAfter is the time without queries after which a caller is forgotten.
	forgetAfter = 10 * time.Second
	// burst is the time for which unused credit is kept. Credit grows with every
	// query: granted once per tick, it would admit a tick's queries at once.
	burst = 100 * time.Millisecond
	// overdraft is the time for which a class or caller whose demand is covered
	// may be ahead of its credit. Without it, random bursts cost the important
	// class 5% of its queries although the limit covers its rate.
	overdraft = 250 * time.Millisecond
)

// otherCallers is the place of callers beyond maxCallers.
const otherCallers jujubegate.Caller = ""

// class is the state of one priority of a service.
type class struct {
	// demand and quota are in queries per second.
	demand  float64
	quota   float64
	credit  credit
	arrived int
	callers map[jujubegate.Caller]*callerState
	// level is the most that one caller gets, in queries per second.
	level   float64
	demands []float64
}

type callerState struct {
	demand  float64
	credit  credit
	arrived int
	seen    time.Time
}

// credit is the number of queries that may be admitted, at a time.
type credit struct {
	queries float64
	at      time.Time
}

// allows reports whether a query may be admitted.
func (c *credit) allows(rate float64, covered bool) bool {
	if covered {
		return c.queries+rate*overdraft.Seconds() >= 1
	}
	return c.queries >= 1
}

// refill adds the credit of the time since the last call.
func (c *credit) refill(now time.Time, rate float64) {
	elapsed := min(now.Sub(c.at), burst)
	c.at = now
	c.queries = min(c.queries+rate*elapsed.Seconds(), 1+rate*burst.Seconds())
}

// admit takes the credit of a query, or returns the time until there is some.
func (c *class) admit(now time.Time, name jujubegate.Caller, limited bool) (bool, time.Duration) {
	caller := c.caller(name)
	caller.seen = now
	caller.arrived++
	c.arrived++
	if !limited {
		return true, 0
	}
	c.credit.refill(now, c.quota)
	caller.credit.refill(now, c.level)
	if !c.credit.allows(c.quota, c.demand*demandMargin <= c.quota) ||
		!caller.credit.allows(c.level, caller.demand*demandMargin <= c.level) {
		return false, c.wait(caller)
	}
	c.credit.queries--
	caller.credit.queries--
	return true, 0
}

func (c *class) caller(name jujubegate.Caller) *callerState {
	if caller, ok := c.callers[name]; ok {
		return caller
	}
	if c.callers == nil {
		c.callers = make(map[jujubegate.Caller]*callerState)
	}
	if len(c.callers) >= maxCallers {
		name = otherCallers
		if caller, ok := c.callers[name]; ok {
			return caller
		}
	}
	// A new caller starts with one query, within the credit of the class.
	caller := &callerState{credit: credit{queries: 1}}
	c.callers[name] = caller
	return caller
}

// wait returns the time until the caller's credit allows another query.
func (c *class) wait(caller *callerState) time.Duration {
	rate := min(c.level, c.quota)
	if rate <= 0 {
		return maxRetryAfter
	}
	missing := max(1-caller.credit.queries, 1-c.credit.queries, 0)
	return time.Duration(min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// estimate updates the demand of the class and of its callers, and forgets idle
// callers.
func (c *class) estimate(now time.Time, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	c.demand += demandWeight * (float64(c.arrived)/seconds - c.demand)
	c.arrived = 0
	for name, caller := range c.callers {
		caller.demand += demandWeight * (float64(caller.arrived)/seconds - caller.demand)
		caller.arrived = 0
		if now.Sub(caller.seen) >= forgetAfter {
			delete(c.callers, name)
		}
	}
}

// share sets the quota and divides it among the callers.
func (c *class) share(quota float64) {
	c.quota = quota
	c.demands = c.demands[:0]
	for _, caller := range c.callers {
		c.demands = append(c.demands, caller.demand*demandMargin)
	}
	c.level = waterLevel(c.demands, c.quota)
}

// waterLevel returns the level at which the sum of the demands, each cut off at
// the level, equals the quota (max-min fairness). If the quota covers all
// demands, it is the quota. It sorts the demands.
func waterLevel(demands []float64, quota float64) float64 {
	slices.Sort(demands)
	left := quota
	for i, d := range demands {
		rest := float64(len(demands) - i)
		if d*rest >= left {
			return left / rest
		}
		left -= d
	}
	return quota
}
