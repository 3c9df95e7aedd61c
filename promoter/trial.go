package promoter

import (
	"slices"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// canaryShare is the fraction of the requests that a new version gets if that is enough
	// to judge it.
	canaryShare = 0.05
	// maxQuietShare bounds the fraction that it gets on a route with few requests.
	maxQuietShare = 0.75
	// trialAnswers is the number of answers that a version should have got on a route by
	// the decision: enough for acceptEvidence, also if two of them fail.
	trialAnswers = 55
	// answerTime is the time before the decision in which requests may be too late for it.
	answerTime = 2 * time.Second
	// trialShare and trialAllowance bound the requests that a version may get before it is
	// judged: trialShare of those of its service, and trialAllowance more in the whole
	// fleet. A bad version may get a tenth and 50 until its deadline; the rest covers
	// requests that are counted elsewhere, for instance by instances that end.
	trialShare     = 0.09
	trialAllowance = 40
	// loadFraction is the last part of the time until the decision in which a target of the
	// version gets its final load, and maxLoadTime bounds it. With few requests it is longer,
	// up to longestLoad of the time, until there are loadAnswers.
	loadFraction = 0.3
	maxLoadTime  = 5 * time.Second
	longestLoad  = 0.75
	loadAnswers  = 35
	// loadSettleTime is the time under load after which answers show whether it can be borne.
	// If the bound of the requests ends the load soon, it is settleFraction of the load, but
	// not less than the time until the requests of all instances make it up.
	loadSettleTime    = time.Second
	minLoadSettleTime = 50 * time.Millisecond
	settleFraction    = 0.15
	// settleRate is the final rate of a target, in requests a second, below which it need not
	// settle: it has hardly ever two requests at once.
	settleRate = 10
	// deadlineReserve is how much later than its order a move can become known. Until then
	// the trial is bounded by trialShare and trialAllowance also after its deadline.
	deadlineReserve = 2 * time.Second
)

// trial is the traffic of a version that has not been judged, as far as this instance
// sends it. On routes with few requests the version gets a larger part of them, since the
// number of answers that it takes to judge it does not depend on the rate. What the bound
// leaves is first for the answers under load.
//
// A version can fail only under load, which a small share of the traffic spread over its
// targets does not show. Shortly before the decision one of its targets therefore gets the
// load that it will have once the move is completed, and the others nothing.
type trial struct {
	began, decideAt time.Time
	// all and candidate are the requests of the service and those of them that the version
	// got.
	all, candidate int64
	routes         map[jujubegate.Route]*routeTraffic
	// rounding is added to the number of requests that the version may get. It is uniform
	// from 0 to 1, so that the fractions of all instances add up.
	rounding float64
	// loadFrom is when one target is brought to its final load at the latest, and lifted when
	// the bound of the requests ends.
	loadFrom, lifted time.Time
	// loadedSince is since when the targets that are used have their final load, and
	// loadEnded when the bound was reached under load; zero if not.
	loadedSince, loadEnded time.Time
	// loadAccepted is set once the answers under load have shown that the version bears it.
	loadAccepted bool
	// plannedAt is when the plan was last made.
	plannedAt time.Time
	// settleTime is the time after loadedSince from which on answers are evidence.
	settleTime time.Duration
}

// routeTraffic counts the requests on a route and those of them that the version got.
type routeTraffic struct{ all, candidate int64 }

func newTrial(requestedAt time.Time, m Move, rounding float64) trial {
	decideAt := m.completeAfter()
	loadTime := min(time.Duration(loadFraction*float64(decideAt)), maxLoadTime)
	return trial{
		began: requestedAt, decideAt: requestedAt.Add(decideAt), routes: make(map[jujubegate.Route]*routeTraffic), rounding: rounding,
		loadFrom: requestedAt.Add(decideAt - loadTime), lifted: requestedAt.Add(m.Duration + deadlineReserve),
	}
}

// admit counts a request to the service, which goes to the version if toCandidate is set,
// and reports whether it may. Part is this instance's part of the requests of the fleet.
func (t *trial) admit(now time.Time, route jujubegate.Route, toCandidate bool, part float64) bool {
	traffic := t.traffic(route)
	t.all++
	traffic.all++
	if !toCandidate {
		return true
	}
	if now.Before(t.lifted) && float64(t.candidate+1) > trialShare*float64(t.all)+trialAllowance*part+t.rounding {
		if t.loadEnded.IsZero() && !t.loadedSince.IsZero() {
			t.loadEnded = now
		}
		return false
	}
	t.candidate++
	traffic.candidate++
	return true
}

func (t *trial) traffic(route jujubegate.Route) *routeTraffic {
	traffic := t.routes[route]
	if traffic == nil {
		traffic = &routeTraffic{}
		t.routes[route] = traffic
	}
	return traffic
}

// review takes over whether the answers under load have shown that the version bears it. It
// ends the bound of the requests after the deadline: if that ended the load, it begins again.
func (t *trial) review(now time.Time, loadAccepted bool) {
	t.loadAccepted = loadAccepted
	if !now.Before(t.lifted) && !t.loadEnded.IsZero() {
		t.loadFrom, t.plannedAt, t.loadedSince, t.loadEnded = now, now, time.Time{}, time.Time{}
	}
}

// judgesLoad reports whether an attempt that was sent at a time is evidence on the version
// under its final load.
func (t *trial) judgesLoad(sentAt time.Time) bool {
	return !t.loadedSince.IsZero() && !sentAt.Before(t.loadedSince.Add(t.settleTime)) && (t.loadEnded.IsZero() || sentAt.Before(t.loadEnded))
}

// plan returns the share of a version on a route, and how many of its targets get it; 0
// stands for all. They are as few as bear their final load.
func (t *trial) plan(now time.Time, route jujubegate.Route, targets int, part float64) (share float64, used int) {
	if targets == 0 {
		return canaryShare, 0
	}
	defer func() { t.plannedAt = now }()
	final := 1 / float64(targets)
	shares, begins := t.shares(now, 0, part), now
	total := t.average(shares)
	if total < final {
		// The answers under load follow in the last part of the trial.
		loadTime := t.loadTime(now, targets, part)
		shares = t.sharesBeforeLoad(now, time.Duration(final*float64(max(loadTime-answerTime, 0))), part)
		// After the time of the decision, the load has been borne for long enough once it is
		// accepted: what else keeps the move undecided needs no more than the usual share.
		judged := t.loadAccepted && !now.Before(t.decideAt)
		if from := earlier(t.loadFrom, t.decideAt.Add(-loadTime)); t.loadEnded.IsZero() && !judged && !now.Before(from) {
			// Other instances have begun then, also if this one had no request since.
			total, begins = final, later(from, t.plannedAt)
			shares[route] = max(shares[route], final)
		}
	}
	share = max(shares[route], canaryShare)
	if total < final {
		t.loadedSince = time.Time{}
		return share, 0
	}
	if t.loadedSince.IsZero() {
		t.loadedSince, t.settleTime = begins, t.settleAfter(now, total, final, part)
	}
	return share, min(int(total/final), targets)
}

// sharesBeforeLoad returns the shares by route while answers under load are still to come,
// as many as all requests of a time. What the bound leaves is for these first.
func (t *trial) sharesBeforeLoad(now time.Time, load time.Duration, part float64) map[jujubegate.Route]float64 {
	if now.Before(t.lifted) && t.spare(part) < loadAnswers*part {
		return make(map[jujubegate.Route]float64)
	}
	return t.shares(now, load, part)
}

// spare returns how many requests more the version may get now.
func (t *trial) spare(part float64) float64 {
	return trialShare*float64(t.all) + trialAllowance*part - float64(t.candidate)
}

// settleAfter returns the settle time of a load that begins now, with a share of the requests
// of the service for all targets and a final share for each.
func (t *trial) settleAfter(now time.Time, share, final, part float64) time.Duration {
	rate := t.rate(now, t.all)
	if final*rate < settleRate*part {
		return minLoadSettleTime
	}
	used := rate * (share - trialShare)
	if used <= 0 || !now.Before(t.lifted) {
		return loadSettleTime
	}
	lasts := t.spare(part) / used * float64(time.Second)
	return min(max(time.Duration(settleFraction*lasts), minLoadSettleTime), loadSettleTime)
}

// rate returns the requests a second on a route, or of the service, by their number.
func (t *trial) rate(now time.Time, requests int64) float64 {
	return float64(requests) / max(now.Sub(t.began), time.Second).Seconds()
}

// loadTime returns the time before the decision in which one target has its final load.
func (t *trial) loadTime(now time.Time, targets int, part float64) time.Duration {
	most := time.Duration(longestLoad * float64(t.decideAt.Sub(t.began)))
	least := t.decideAt.Sub(t.loadFrom)
	rate := t.rate(now, t.all)
	if rate == 0 {
		return least
	}
	needed := time.Duration(loadAnswers*part*float64(targets)/rate*float64(time.Second)) + answerTime
	return min(max(least, needed), max(most, least))
}

// shares returns the shares by route with which the version gets trialAnswers by the
// decision, if it gets as many as all requests of a time under load in addition.
func (t *trial) shares(now time.Time, load time.Duration, part float64) map[jujubegate.Route]float64 {
	shares := make(map[jujubegate.Route]float64, len(t.routes))
	if now.Sub(t.began) < time.Second {
		return shares
	}
	left := max(t.decideAt.Sub(now)-answerTime, answerTime)
	for route, traffic := range t.routes {
		rate := t.rate(now, traffic.all)
		missing := trialAnswers*part - float64(traffic.candidate)
		if now.Before(t.decideAt) {
			missing -= rate * load.Seconds()
		} else {
			// Not all of the answers were evidence.
			missing = max(missing, trialAnswers*part/4)
		}
		shares[route] = min(max(missing/(rate*left.Seconds()), canaryShare), maxQuietShare)
	}
	return shares
}

// average returns the share of all requests.
func (t *trial) average(shares map[jujubegate.Route]float64) float64 {
	sum := 0.0
	for route, share := range shares {
		sum += share * float64(t.routes[route].all)
	}
	return sum / float64(max(t.all, 1))
}

// busyRoutes returns the routes with enough requests to judge the version on each of them,
// and quietRoutes the others.
func (t *trial) busyRoutes(part float64) (busyRoutes, quietRoutes []jujubegate.Route) {
	for route, traffic := range t.routes {
		if float64(traffic.all)*maxQuietShare >= trialAnswers*part {
			busyRoutes = append(busyRoutes, route)
		} else {
			quietRoutes = append(quietRoutes, route)
		}
	}
	slices.Sort(busyRoutes)
	slices.Sort(quietRoutes)
	return busyRoutes, quietRoutes
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
