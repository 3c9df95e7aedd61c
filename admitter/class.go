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
	// burstTicks is the number of ticks for which unused credit is kept.
	burstTicks = 3
)

// otherCallers is the place of callers beyond maxCallers.
const otherCallers jujubegate.Caller = ""

// class is the state of one priority of a service.
type class struct {
	// demand and quota are in queries per second.
	demand float64
	quota  float64
	// credit is the number of queries that may be admitted now.
	credit  float64
	arrived int
	callers map[jujubegate.Caller]*callerState
	// level is the most that one caller gets, in queries per second.
	level   float64
	demands []float64
}

type callerState struct {
	demand  float64
	credit  float64
	arrived int
	seen    time.Time
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
	if c.credit < 1 || caller.credit < 1 {
		return false, c.wait(caller)
	}
	c.credit--
	caller.credit--
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
	caller := &callerState{credit: 1}
	c.callers[name] = caller
	return caller
}

// wait returns the time until the caller's credit allows another query.
func (c *class) wait(caller *callerState) time.Duration {
	rate := min(c.level, c.quota)
	if rate <= 0 {
		return maxRetryAfter
	}
	missing := max(1-caller.credit, 1-c.credit, 0)
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

// grant adds the credit of the elapsed time.
func (c *class) grant(elapsed time.Duration) {
	seconds := elapsed.Seconds()
	granted := c.quota * seconds
	c.credit = min(c.credit+granted, 1+burstTicks*granted)
	c.demands = c.demands[:0]
	for _, caller := range c.callers {
		c.demands = append(c.demands, caller.demand*demandMargin)
	}
	c.level = waterLevel(c.demands, c.quota)
	for _, caller := range c.callers {
		caller.credit = min(caller.credit+c.level*seconds, 1+burstTicks*c.level*seconds)
	}
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
