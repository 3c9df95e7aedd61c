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

// apply applies statements to a configuration.
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

// declared is a service of two shards and two routes with a running move.
func declared(bringIn string) configurator.Configuration {
	text := `Declare Service Desk { Shards = 2; Slots = 2; Connections = 25; ColdLimit = 1; Deadline = 160ms; };
Declare Route Desk.Search { Idempotent = true; }; Declare Route Desk.Book { Idempotent = false; };`
	for i, version := range []string{"v1", "v2"} {
		for shard := range 2 {
			text += fmt.Sprintf(`Declare Target "10.0.%d.%d:1" { Service = Desk; Shard = %d; DataCentre = A; Version = %s; };`,
				i, shard, shard, version)
		}
	}
	c, err := apply(configurator.Configuration{}, text+bringIn, epoch)
	if err != nil {
		panic(err)
	}
	return c
}

// warmReports reports all targets as warm with a limit for the new version's.
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

// fault is what is wrong with the new version, or with both.
type fault struct {
	name   string
	errors float64 // added to the rate of errors
	slow   float64 // factor of the service times; 0 means 1
	from   time.Duration
	until  time.Duration
	loaded bool // under load only
	route  jujubegate.Route
	whole  bool // from 3 s after the share is 100
	both   bool // the old version has it too
	// hiccup is a period in which the targets of instance 0 pause once for 0.4 s,
	// those of the old version half a period later.
	hiccup time.Duration
}

const (
	moveTime = 60 * time.Second
	rate     = 8000.0 // sub-requests a second
	sources  = 2
	lag      = 500 * time.Millisecond // of the counts, beside the heartbeat's interval
)

// result is what happened in one move.
type result struct {
	state    configurator.MoveState
	verdict  bool
	maxShare int // until the verdict, with a fault from the start
	// sinceVisible is from 20 faulty answers, sinceVerdict from the first
	// verdict to the last new work.
	sinceVisible, sinceVerdict time.Duration
	ended                      time.Duration
	reason                     string
}

// world is one simulated move.
type world struct {
	random *rand.Rand
	fault  fault
	// blind replaces the old version's counts by those without a common fault.
	blind         bool
	median, sigma float64
	baseErrors    float64
	now           time.Time
	whole         time.Time
	configuration configurator.Configuration
	counts        [sources]map[CellKey]jujubegate.RouteCount
	sent          [sources][][]jujubegate.RouteCount // heartbeats under way
	fleet         *FleetTally
	faulty        float64
	masses        map[float64]*[jujubegate.LatencyBuckets]float64 // by median
	versions      []configurator.Configuration                    // by tick, for the way to other instances
}

func newWorld(seed uint64, f fault) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), fault: f, now: epoch, fleet: NewFleetTally(),
		masses: make(map[float64]*[jujubegate.LatencyBuckets]float64),
	}
	w.median, w.sigma = 0.005+0.02*w.random.Float64(), 0.3+0.2*w.random.Float64()
	w.baseErrors = 0.003 * w.random.Float64()
	w.configuration = declared(`BringIn Version v2 { Service = Desk; Deadline = 60s; };`)
	for i := range w.counts {
		w.counts[i] = make(map[CellKey]jujubegate.RouteCount)
	}
	return w
}

func (w *world) poisson(mean float64) uint64 {
	if mean > 15 {
		return uint64(max(0, math.Round(mean+math.Sqrt(mean)*w.random.NormFloat64())))
	}
	limit, n, p := math.Exp(-mean), uint64(0), w.random.Float64()
	for p > limit {
		n++
		p *= w.random.Float64()
	}
	return n
}

func (w *world) active(version jujubegate.Version) bool {
	since := w.now.Sub(epoch)
	if p := w.fault.hiccup; p > 0 {
		if version == "v1" {
			since += p / 2
		}
		return since%p >= p/4 && since%p < p/4+400*time.Millisecond
	}
	if w.fault.whole {
		return !w.whole.IsZero() && w.now.Sub(w.whole) >= 3*time.Second
	}
	return since >= w.fault.from && (w.fault.until == 0 || since < w.fault.until)
}

// traffic draws the answers of one tick to a version that gets a share.
func (w *world) traffic(version jujubegate.Version, share float64) {
	loaded := 1 - math.Exp(-0.7*share)
	service, routes := jujubegate.Service("Desk"), []jujubegate.Route{"Search", "Book"}
	if version == "other" {
		service, routes = "Other", routes[:1]
	}
	for _, route := range routes {
		for load := range 2 {
			mean := rate * Tick.Seconds() * share * map[jujubegate.Route]float64{"Search": 0.8, "Book": 0.2}[route]
			mean *= []float64{1 - loaded, loaded}[load]
			errors, factor := w.baseErrors, 1+0.3*float64(load)
			hit := w.active(version) && (version == "v2" || w.fault.both && !w.blind) && (!w.fault.loaded || load == 1) && (w.fault.route == "" || w.fault.route == route)
			if hit {
				errors, factor = errors+w.fault.errors, factor*max(w.fault.slow, 1)
			}
			key := CellKey{service, version, route, jujubegate.LoadLevel(load)}
			for i := range w.counts {
				if w.fault.hiccup > 0 && i > 0 {
					errors, factor = w.baseErrors, 1+0.3*float64(load)
				}
				w.draw(i, key, mean/sources, errors, w.median*factor, hit)
			}
		}
	}
}

func (w *world) draw(i int, key CellKey, mean, errors, median float64, hit bool) {
	c := w.counts[i][key]
	c.Service, c.Version, c.Route, c.Load = key.Service, key.Version, key.Route, key.Load
	failed := w.poisson(mean * errors)
	c.Errors += failed
	c.Answers += failed
	for b, mass := range w.massesOf(median) {
		if mass > 1e-6 {
			n := w.poisson(mean * (1 - errors) * mass)
			c.Latency[b] += n
			c.Answers += n
		}
	}
	w.counts[i][key] = c
	if hit && key.Version == "v2" {
		w.faulty += float64(failed)
		if w.fault.slow > 1 {
			w.faulty += mean
		}
	}
}

// massesOf returns the lognormal distribution over the buckets.
func (w *world) massesOf(median float64) *[jujubegate.LatencyBuckets]float64 {
	if m := w.masses[median]; m != nil {
		return m
	}
	m, below := new([jujubegate.LatencyBuckets]float64), 0.0
	for b := range m {
		upTo := 1.0
		if b < len(edges) {
			upTo = 0.5 * math.Erfc(-math.Log(UpperBound(b).Seconds()/median)/(w.sigma*math.Sqrt2))
		}
		m[b], below = upTo-below, upTo
	}
	w.masses[median] = m
	return m
}

func (w *world) list(i int) []jujubegate.RouteCount {
	var list []jujubegate.RouteCount
	for _, c := range w.counts[i] {
		list = append(list, c)
	}
	return list
}

// heartbeats delivers the counts of each instance every 500 ms, late by lag.
func (w *world) heartbeats(tick int) {
	for i := range w.counts {
		if (tick+i)%3 != 0 {
			continue
		}
		w.sent[i] = append(w.sent[i], w.list(i))
		if late := int(lag/Tick) / 2; len(w.sent[i]) > late {
			moving := slices.DeleteFunc(w.sent[i][0], func(c jujubegate.RouteCount) bool { return c.Service != "Desk" })
			w.fleet.Merge(jujubegate.Instance(fmt.Sprint(i)), "1", moving, w.now)
			w.sent[i] = w.sent[i][1:]
		}
	}
}

// clock is the world as a jujubegate.Clock for Step, which only asks for Now.
type clock struct {
	jujubegate.Clock
	w *world
}

func (c clock) Now() time.Time { return c.w.now }

// run moves the traffic until some time after the move's end.
func (w *world) run() result {
	var r result
	submit := func(_ context.Context, p configurator.Proposal) error {
		next, err := apply(w.configuration, p.Statements, w.now)
		w.configuration = next
		return err
	}
	current := func() configurator.Configuration { return w.configuration }
	halts := NewHalts()
	m := New(clock{w: w}, current, w.fleet.Totals,
		func() []jujubegate.RouteCount { return w.list(0) },
		func() []jujubegate.TargetReport { return warmReports(w.configuration, 2) }, submit, halts)
	m.Instances = func() int { return sources }
	var verdict, visible, last time.Time
	for tick := 0; w.now.Sub(epoch) < moveTime+30*time.Second; tick++ {
		// The callers' instance has the configuration of 0.6 s before.
		w.versions = append(w.versions, w.configuration)
		move, _ := w.versions[max(len(w.versions)-4, 0)].Move("Desk")
		share := float64(move.Share) / 100
		if share == 1 && w.whole.IsZero() {
			w.whole = w.now
		}
		// The other instance learns of a halt by its next heartbeat.
		if halts.Halted("Desk", "v2") && w.now.Sub(verdict) > 500*time.Millisecond {
			share = 0
		}
		if share > 0 {
			w.traffic("v2", share)
			last = w.now
		}
		if share < 1 {
			w.traffic("v1", 1-share)
		}
		w.traffic("other", 0.2)
		w.now = w.now.Add(Tick)
		w.heartbeats(tick)
		if visible.IsZero() && w.faulty >= 20 {
			visible = w.now
		}
		m.Step(context.Background())
		move, _ = w.configuration.Move("Desk")
		if verdict.IsZero() && (halts.Halted("Desk", "v2") || move.State == configurator.TakenBack) {
			verdict = w.now
		}
		if verdict.IsZero() {
			r.maxShare = max(r.maxShare, move.Share)
		}
		if r.ended == 0 && !move.Running() {
			r.ended = w.now.Sub(epoch)
		}
		quiet := move.State == configurator.TakenBack && w.now.Sub(verdict) > 3*time.Second
		watched := 5 * time.Second
		if w.fault.whole {
			watched = 20 * time.Second
		}
		if quiet || move.State == configurator.Done && w.now.Sub(epoch) > r.ended+watched {
			break
		}
	}
	move, _ := w.configuration.Move("Desk")
	r.state, r.reason = move.State, move.Reason
	r.verdict = !verdict.IsZero() && r.ended < moveTime+30*time.Second
	if r.verdict {
		r.sinceVerdict = last.Sub(verdict)
	}
	if !visible.IsZero() {
		r.sinceVisible = last.Sub(visible)
	}
	return r
}
