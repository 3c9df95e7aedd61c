package mover

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/parser"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// apply parses statements and applies them to a configuration.
func apply(c configurator.Configuration, text string, at time.Time) (configurator.Configuration, error) {
	batch, findings := parser.Parse("test", text)
	if len(findings) > 0 {
		return c, findings
	}
	next, findings := c.Apply(batch, at)
	if len(findings) > 0 {
		return c, findings
	}
	return next, nil
}

// configurationWith returns a configuration with a service of two shards and two
// routes, to which it applies the given statements, such as one that starts a move.
func configurationWith(statements string) configurator.Configuration {
	text := `Declare Service Desk { Shards = 2; Slots = 2; Connections = 25; ColdLimit = 1; Deadline = 160ms; };
Declare Route Desk.Search { Idempotent = true; }; Declare Route Desk.Book { Idempotent = false; };`
	for i, version := range []string{"v1", "v2"} {
		for shard := range 2 {
			text += fmt.Sprintf(`Declare Target "10.0.%d.%d:1" { Service = Desk; Shard = %d; DataCentre = A; Version = %s; };`,
				i, shard, shard, version)
		}
	}
	c, err := apply(configurator.Configuration{}, text+statements, epoch)
	if err != nil {
		panic(err)
	}
	return c
}

// warmReports reports all targets as warm, those of the new version with the
// given limit.
func warmReports(c configurator.Configuration, limit int) []jujubegate.TargetReport {
	var list []jujubegate.TargetReport
	for _, t := range c.Targets() {
		r := jujubegate.TargetReport{Target: t.Address, State: jujubegate.Warm, Limit: 2}
		if t.Version == "v2" {
			r.Limit = limit
		}
		list = append(list, r)
	}
	return list
}

// fault describes a fault of the new version, or of both versions.
type fault struct {
	name           string
	errorRate      float64 // added to the base error rate
	slowFactor     float64 // multiplies the service times; 0 means 1
	from           time.Duration
	until          time.Duration
	underLoad      bool // only under load
	route          jujubegate.Route
	afterFullShare bool // from 3 s after the share reached 100%
	bothVersions   bool // the old version has the fault too
	// pausePeriod is the period in which the targets of instance 0 pause once for
	// 0.4 s, those of the old version half a period later.
	pausePeriod time.Duration
}

const (
	moveDuration   = 60 * time.Second
	subRequestRate = 8000.0 // per second
	instances      = 2
	heartbeatDelay = 500 * time.Millisecond // of the counts, in addition to the heartbeat interval
)

// result is the result of one simulated move.
type result struct {
	state          configurator.MoveState
	verdictReached bool
	maxShare       int // highest share before the verdict
	// sinceVisible is the time from the 20th faulty answer to the last new work,
	// sinceVerdict that from the first verdict.
	sinceVisible, sinceVerdict time.Duration
	ended                      time.Duration
	reason                     string
}

// simulation is the simulation of one move.
type simulation struct {
	random *rand.Rand
	fault  fault
	// hideCommonFault removes a fault of both versions from the old version's
	// counts.
	hideCommonFault     bool
	median, sigma       float64
	baseErrorRate       float64
	now                 time.Time
	fullShareSince      time.Time
	configuration       configurator.Configuration
	counts              [instances]map[CellKey]jujubegate.RouteCount
	inTransit           [instances][][]jujubegate.RouteCount // heartbeats not delivered yet
	fleet               *FleetTally
	faultyAnswers       float64
	bucketProbabilities map[float64]*[jujubegate.LatencyBuckets]float64 // by median
	configurations      []configurator.Configuration                    // by tick, since the traffic follows an older one
}

func newSimulation(seed uint64, f fault) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), fault: f, now: epoch, fleet: NewFleetTally(),
		bucketProbabilities: make(map[float64]*[jujubegate.LatencyBuckets]float64),
	}
	s.median, s.sigma = 0.005+0.02*s.random.Float64(), 0.3+0.2*s.random.Float64()
	s.baseErrorRate = 0.003 * s.random.Float64()
	s.configuration = configurationWith(`BringIn Version v2 { Service = Desk; Deadline = 60s; };`)
	for i := range s.counts {
		s.counts[i] = make(map[CellKey]jujubegate.RouteCount)
	}
	return s
}

func (s *simulation) poisson(mean float64) uint64 {
	if mean > 15 {
		return uint64(max(0, math.Round(mean+math.Sqrt(mean)*s.random.NormFloat64())))
	}
	limit, n, p := math.Exp(-mean), uint64(0), s.random.Float64()
	for p > limit {
		n++
		p *= s.random.Float64()
	}
	return n
}

func (s *simulation) faultActive(version jujubegate.Version) bool {
	since := s.now.Sub(epoch)
	if p := s.fault.pausePeriod; p > 0 {
		if version == "v1" {
			since += p / 2
		}
		return since%p >= p/4 && since%p < p/4+400*time.Millisecond
	}
	if s.fault.afterFullShare {
		return !s.fullShareSince.IsZero() && s.now.Sub(s.fullShareSince) >= 3*time.Second
	}
	return since >= s.fault.from && (s.fault.until == 0 || since < s.fault.until)
}

// addAnswers draws the answers of one tick for a version with the given share.
func (s *simulation) addAnswers(version jujubegate.Version, share float64) {
	loaded := 1 - math.Exp(-0.7*share)
	service, routes := jujubegate.Service("Desk"), []jujubegate.Route{"Search", "Book"}
	if version == "other" {
		service, routes = "Other", routes[:1]
	}
	for _, route := range routes {
		for load := range 2 {
			mean := subRequestRate * Tick.Seconds() * share * map[jujubegate.Route]float64{"Search": 0.8, "Book": 0.2}[route]
			mean *= []float64{1 - loaded, loaded}[load]
			errorRate, factor := s.baseErrorRate, 1+0.3*float64(load)
			affected := s.faultActive(version) && (version == "v2" || s.fault.bothVersions && !s.hideCommonFault) &&
				(!s.fault.underLoad || load == 1) && (s.fault.route == "" || s.fault.route == route)
			if affected {
				errorRate, factor = errorRate+s.fault.errorRate, factor*max(s.fault.slowFactor, 1)
			}
			key := CellKey{service, version, route, jujubegate.LoadLevel(load)}
			for i := range s.counts {
				if s.fault.pausePeriod > 0 && i > 0 {
					errorRate, factor = s.baseErrorRate, 1+0.3*float64(load)
				}
				s.addToInstance(i, key, mean/instances, errorRate, s.median*factor, affected)
			}
		}
	}
}

func (s *simulation) addToInstance(i int, key CellKey, mean, errorRate, median float64, affected bool) {
	c := s.counts[i][key]
	c.Service, c.Version, c.Route, c.Load = key.Service, key.Version, key.Route, key.Load
	failed := s.poisson(mean * errorRate)
	c.Errors += failed
	c.Answers += failed
	for bucket, probability := range s.bucketProbabilitiesOf(median) {
		if probability > 1e-6 {
			n := s.poisson(mean * (1 - errorRate) * probability)
			c.Latency[bucket] += n
			c.Answers += n
		}
	}
	s.counts[i][key] = c
	if affected && key.Version == "v2" {
		s.faultyAnswers += float64(failed)
		if s.fault.slowFactor > 1 {
			s.faultyAnswers += mean
		}
	}
}

// bucketProbabilitiesOf returns a lognormal distribution over the latency
// buckets.
func (s *simulation) bucketProbabilitiesOf(median float64) *[jujubegate.LatencyBuckets]float64 {
	if probabilities := s.bucketProbabilities[median]; probabilities != nil {
		return probabilities
	}
	probabilities, below := new([jujubegate.LatencyBuckets]float64), 0.0
	for bucket := range probabilities {
		upTo := 1.0
		if bucket < len(upperBounds) {
			upTo = 0.5 * math.Erfc(-math.Log(UpperBound(bucket).Seconds()/median)/(s.sigma*math.Sqrt2))
		}
		probabilities[bucket], below = upTo-below, upTo
	}
	s.bucketProbabilities[median] = probabilities
	return probabilities
}

func (s *simulation) countsOf(i int) []jujubegate.RouteCount {
	var list []jujubegate.RouteCount
	for _, c := range s.counts[i] {
		list = append(list, c)
	}
	return list
}

// deliverHeartbeats sends the counts of each instance every third tick and
// delivers them after heartbeatDelay.
func (s *simulation) deliverHeartbeats(tick int) {
	for i := range s.counts {
		if (tick+i)%3 != 0 {
			continue
		}
		s.inTransit[i] = append(s.inTransit[i], s.countsOf(i))
		if late := int(heartbeatDelay/Tick) / 2; len(s.inTransit[i]) > late {
			moving := slices.DeleteFunc(s.inTransit[i][0], func(c jujubegate.RouteCount) bool { return c.Service != "Desk" })
			s.fleet.Merge(jujubegate.Instance(fmt.Sprint(i)), "1", moving, s.now)
			s.inTransit[i] = s.inTransit[i][1:]
		}
	}
}

// simulationClock is a jujubegate.Clock with the time of the simulation. Only
// Now works, which is all that Step needs.
type simulationClock struct {
	jujubegate.Clock
	simulation *simulation
}

func (c simulationClock) Now() time.Time { return c.simulation.now }

// run simulates until some time after the end of the move.
func (s *simulation) run() result {
	var r result
	submit := func(_ context.Context, p configurator.Proposal) error {
		next, err := apply(s.configuration, p.Statements, s.now)
		s.configuration = next
		return err
	}
	current := func() configurator.Configuration { return s.configuration }
	halts := NewHalts()
	m := New(simulationClock{simulation: s}, current, s.fleet.Totals,
		func() []jujubegate.RouteCount { return s.countsOf(0) },
		func() []jujubegate.TargetReport { return warmReports(s.configuration, 2) }, submit, halts)
	m.Instances = func() int { return instances }
	var verdict, faultVisible, lastNewWork time.Time
	for tick := 0; s.now.Sub(epoch) < moveDuration+30*time.Second; tick++ {
		// The traffic follows the configuration of 0.6 s ago, as at an instance
		// that learns of changes late.
		s.configurations = append(s.configurations, s.configuration)
		move, _ := s.configurations[max(len(s.configurations)-4, 0)].Move("Desk")
		share := float64(move.Share) / 100
		if share == 1 && s.fullShareSince.IsZero() {
			s.fullShareSince = s.now
		}
		// The other instance learns of a halt with the next heartbeat.
		if halts.Halted("Desk", "v2") && s.now.Sub(verdict) > 500*time.Millisecond {
			share = 0
		}
		if share > 0 {
			s.addAnswers("v2", share)
			lastNewWork = s.now
		}
		if share < 1 {
			s.addAnswers("v1", 1-share)
		}
		s.addAnswers("other", 0.2)
		s.now = s.now.Add(Tick)
		s.deliverHeartbeats(tick)
		if faultVisible.IsZero() && s.faultyAnswers >= 20 {
			faultVisible = s.now
		}
		m.Step(context.Background())
		move, _ = s.configuration.Move("Desk")
		if verdict.IsZero() && (halts.Halted("Desk", "v2") || move.State == configurator.TakenBack) {
			verdict = s.now
		}
		if verdict.IsZero() {
			r.maxShare = max(r.maxShare, move.Share)
		}
		if r.ended == 0 && !move.Running() {
			r.ended = s.now.Sub(epoch)
		}
		settled := move.State == configurator.TakenBack && s.now.Sub(verdict) > 3*time.Second
		watched := 5 * time.Second
		if s.fault.afterFullShare {
			watched = 20 * time.Second
		}
		if settled || move.State == configurator.Done && s.now.Sub(epoch) > r.ended+watched {
			break
		}
	}
	move, _ := s.configuration.Move("Desk")
	r.state, r.reason = move.State, move.Reason
	r.verdictReached = !verdict.IsZero() && r.ended < moveDuration+30*time.Second
	if r.verdictReached {
		r.sinceVerdict = lastNewWork.Sub(verdict)
	}
	if !faultVisible.IsZero() {
		r.sinceVisible = lastNewWork.Sub(faultVisible)
	}
	return r
}
