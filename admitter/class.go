package admitter

import (
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// demandWeight is the weight of the latest period in a demand estimate.
	demandWeight = 0.3
	// demandMargin is the factor by which a quota may exceed the estimated
	// demand, so that a rising demand is not refused.
	demandMargin = 1.2
	// maxCallers bounds the callers with a state of their own per class; all
	// others share the state of otherCallers.
	maxCallers = 1024
	// forgetAfter is the time without queries after which the state of a caller
	// is deleted.
	forgetAfter = 10 * time.Second
	// burstTime bounds the tokens that a bucket keeps, as the time in which they
	// are earned. Buckets are refilled at every query: a refill once per
	// demandPeriod would admit the queries of a whole period at once.
	burstTime = 100 * time.Millisecond
	// debtTime bounds the debt of the bucket of a class or caller whose rate
	// covers its demand, as the time in which it is paid off. Without debt, random
	// bursts cost the most important class 5% of its queries although the limit
	// covers its rate.
	debtTime = 250 * time.Millisecond
)

// otherCallers is the name under which callers beyond maxCallers are counted.
const otherCallers jujubegate.Caller = ""

// class is the state of one priority class of a service.
type class struct {
	// demand and quota are in queries per second.
	demand   float64
	quota    float64
	bucket   tokenBucket
	arrivals int
	callers  map[jujubegate.Caller]*callerState
	// callerRate is the highest admitted rate of one caller, in queries per
	// second.
	callerRate float64
	// demands is a reused buffer of divideQuota.
	demands []float64
}

type callerState struct {
	demand    float64
	bucket    tokenBucket
	arrivals  int
	lastQuery time.Time
}

// tokenBucket limits a rate of queries. Each query takes one token.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// allows reports whether a query may be admitted. If the rate covers the demand,
// the bucket may go into debt.
func (b *tokenBucket) allows(rate float64, covered bool) bool {
	if covered {
		return b.tokens+rate*debtTime.Seconds() >= 1
	}
	return b.tokens >= 1
}

// refill adds the tokens of the time since the last call.
func (b *tokenBucket) refill(now time.Time, rate float64) {
	elapsed := min(now.Sub(b.refilledAt), burstTime)
	b.refilledAt = now
	b.tokens = min(b.tokens+rate*elapsed.Seconds(), 1+rate*burstTime.Seconds())
}

// admit takes a token of the class and of the caller if the service is limited.
// If one is missing, it returns false and the time until there is one.
func (c *class) admit(now time.Time, name jujubegate.Caller, limited bool) (bool, time.Duration) {
	caller := c.caller(name)
	caller.lastQuery = now
	caller.arrivals++
	c.arrivals++
	if !limited {
		return true, 0
	}
	c.bucket.refill(now, c.quota)
	caller.bucket.refill(now, c.callerRate)
	if !c.bucket.allows(c.quota, c.demand*demandMargin <= c.quota) ||
		!caller.bucket.allows(c.callerRate, caller.demand*demandMargin <= c.callerRate) {
		return false, c.wait(caller)
	}
	c.bucket.tokens--
	caller.bucket.tokens--
	return true, 0
}

// caller returns the state of a caller, and creates it on the first call.
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
	// A new caller can send one query at once if the class has a token for it.
	caller := &callerState{bucket: tokenBucket{tokens: 1}}
	c.callers[name] = caller
	return caller
}

// wait returns the time until the caller and the class have a token.
func (c *class) wait(caller *callerState) time.Duration {
	rate := min(c.callerRate, c.quota)
	if rate <= 0 {
		return maxRetryAfter
	}
	missing := max(1-caller.bucket.tokens, 1-c.bucket.tokens, 0)
	return time.Duration(min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// updateDemand updates the estimated demand of the class and of its callers by the
// queries of the last period, and deletes the state of idle callers.
func (c *class) updateDemand(now time.Time, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	c.demand += demandWeight * (float64(c.arrivals)/seconds - c.demand)
	c.arrivals = 0
	for name, caller := range c.callers {
		caller.demand += demandWeight * (float64(caller.arrivals)/seconds - caller.demand)
		caller.arrivals = 0
		if now.Sub(caller.lastQuery) >= forgetAfter {
			delete(c.callers, name)
		}
	}
}

// divideQuota sets the quota of the class and divides it among its callers.
func (c *class) divideQuota(quota float64) {
	c.quota = quota
	c.demands = c.demands[:0]
	for _, caller := range c.callers {
		c.demands = append(c.demands, caller.demand*demandMargin)
	}
	c.callerRate = maxMinShare(c.demands, c.quota)
}

// maxMinShare divides a quota by max-min fairness. It returns the share at which
// the sum of the demands, each cut off at the share, equals the quota, or the
// quota if it covers all demands. It sorts the demands.
func maxMinShare(demands []float64, quota float64) float64 {
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
