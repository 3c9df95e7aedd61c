package leaser_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/assigner"
	"jujubegate.example/jujubegate/leaser"
)

const ms = time.Millisecond

// store stands for the store among the endpoints of blocked connections.
const store = -1

// event is a function to run at a point of virtual time. seq orders the events of
// the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs processes on a simulated network, store and platform list in
// virtual time.
type simulation struct {
	rng    *rand.Rand
	faults leaser.Faults
	now    time.Duration
	queue  events
	seq    int
	steps  int
	// checkEvery is the number of events from one check for two senders to the next.
	checkEvery int
	slots      []*slot
	violation  string

	// lossRate is the probability that a message between instances is lost, and
	// lostAnswerRate that the answer of a store call is lost.
	lossRate, lostAnswerRate float64
	maxDelay                 time.Duration
	// blocked holds the pairs of sender and receiver between which all messages
	// are lost.
	blocked       map[[2]int]bool
	storeDown     bool
	maxStoreDelay time.Duration
	// value and version are the stored view.
	value   []byte
	version int64
	// storeCalls and listCalls count calls to the store and to the platform's list.
	storeCalls, listCalls int
	// targetLists holds the target list of each generation.
	targetLists [][]jujubegate.Target
	// transitions holds the times at which the process of a slot started or stopped.
	transitions map[int][]time.Duration
}

// slot is an address at which successive processes run.
type slot struct {
	index   int
	process *process
	starts  int
}

// process is one incarnation of an instance.
type process struct {
	sim       *simulation
	slot      int
	self      leaser.Member
	core      *leaser.Core
	ownership *assigner.Ownership
	state     *leaser.State
	// clockOffset and clockRate relate the clock of the process to virtual time.
	clockOffset   time.Duration
	clockRate     float64
	alive         bool
	pausedUntil   time.Duration
	releasedEpoch jujubegate.Epoch
	leaving       bool
}

func newSimulation(seed uint64, slots int, f leaser.Faults) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), faults: f, maxDelay: 2 * ms,
		blocked: map[[2]int]bool{}, transitions: map[int][]time.Duration{},
	}
	var targets []jujubegate.Target
	for i := range 16 {
		targets = append(targets, sim.target(i))
	}
	sim.targetLists = [][]jujubegate.Target{nil, targets}
	for i := range slots {
		sim.slots = append(sim.slots, &slot{index: i})
		sim.start(i)
	}
	return sim
}

func (sim *simulation) target(i int) jujubegate.Target {
	return jujubegate.Target{
		Address: jujubegate.Address(fmt.Sprintf("t%d:1", i)), Service: "s", Shard: i / 2,
		DataCentre: jujubegate.DataCentre(fmt.Sprintf("dc%d", sim.rng.IntN(3))),
	}
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, do})
}

func (sim *simulation) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(sim.rng.Int64N(int64(b-a)+1))
}

// run advances the simulation and checks that no target has two senders.
func (sim *simulation) run(until time.Duration) {
	for sim.violation == "" && len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
		sim.steps++
		if sim.checkEvery > 1 && sim.steps%sim.checkEvery > 0 {
			continue
		}
		senders := sim.senders()
		for _, address := range slices.Sorted(maps.Keys(senders)) {
			if len(senders[address]) > 1 && sim.violation == "" {
				sim.violation = fmt.Sprintf("%v: %s has senders %v", sim.now, address, senders[address])
			}
		}
	}
	sim.now = max(sim.now, until)
}

// senders returns, for each target, the running processes that may send to it by
// their own state.
func (sim *simulation) senders() map[jujubegate.Address][]string {
	found := map[jujubegate.Address][]string{}
	for _, s := range sim.slots {
		p := s.process
		if p == nil || !p.alive || sim.now < p.pausedUntil || !p.state.MayOwnTargets(p.clock()) {
			continue
		}
		for _, t := range p.ownership.Owned() {
			if p.ownership.MaySend(t.Address, p.clock()) {
				found[t.Address] = append(found[t.Address], fmt.Sprintf("%s epoch %d generation %d",
					p.self.Incarnation, p.state.View.Epoch, p.ownership.Generation()))
			}
		}
	}
	return found
}

func (sim *simulation) start(i int) {
	s := sim.slots[i]
	s.starts++
	name := fmt.Sprintf("i%d", i)
	p := &process{
		sim: sim, slot: i, alive: true, clockOffset: sim.randomDuration(0, time.Hour), clockRate: 1 + (sim.rng.Float64()-0.5)/100,
		self: leaser.Member{
			Instance: jujubegate.Instance(name), Incarnation: fmt.Sprintf("%s#%d", name, s.starts),
			DataCentre:  jujubegate.DataCentre(fmt.Sprintf("dc%d", i%3)),
			PeerAddress: fmt.Sprint(i),
		},
	}
	p.core = leaser.NewCore(p.self, sim.faults)
	p.state = p.core.State()
	p.ownership = assigner.NewOwnership(func() *leaser.State { return p.state }, nil)
	s.process = p
	sim.transitions[i] = append(sim.transitions[i], sim.now)
	p.applyTargets(max(1, len(sim.targetLists)-1-sim.rng.IntN(2)))
	p.every(100*ms, p.tick)
	p.every(300*ms, p.applyNewerTargets)
}

func (sim *simulation) stop(i int) {
	if p := sim.slots[i].process; p.alive {
		p.alive = false
		sim.transitions[i] = append(sim.transitions[i], sim.now)
	}
}

func (p *process) clock() time.Time {
	return time.Unix(0, 0).Add(p.clockOffset + time.Duration(float64(p.sim.now)*p.clockRate))
}

// schedule runs a function of the process after a time, or when its pause ends.
// It is dropped if the process has stopped.
func (p *process) schedule(d time.Duration, do func()) {
	p.sim.schedule(d, func() {
		switch {
		case !p.alive:
		case p.sim.now < p.pausedUntil:
			p.schedule(p.pausedUntil-p.sim.now, do)
		default:
			do()
		}
	})
}

func (p *process) every(d time.Duration, do func()) {
	p.schedule(p.sim.randomDuration(d/2, d), func() {
		do()
		p.every(d, do)
	})
}

func (p *process) tick() { p.runEffects(p.core.Tick(p.clock(), p.ownership.Generation())) }

func (p *process) applyTargets(g int) {
	p.ownership.SetTargets(jujubegate.Generation(g), p.sim.targetLists[g])
}

// applyNewerTargets applies later target lists, sometimes skipping generations, and
// releases the targets that the current view assigns to others.
func (p *process) applyNewerTargets() {
	have, newest := int(p.ownership.Generation()), len(p.sim.targetLists)-1
	reaches := !p.sim.blocked[[2]int{p.slot, (p.slot + 1) % len(p.sim.slots)}]
	if have < newest && reaches && p.sim.rng.IntN(3) > 0 {
		p.applyTargets(have + 1 + p.sim.rng.IntN(newest-have))
	}
	if e := p.state.View.Epoch; e > p.releasedEpoch && p.sim.rng.IntN(2) == 0 {
		p.releasedEpoch = e
		p.core.RecordRelease(e)
	}
}

func (p *process) runEffects(e leaser.Effects) {
	if e.Publish {
		p.state = p.core.State()
	}
	for _, to := range e.Heartbeats {
		p.heartbeat(to, p.core.NewHeartbeat(p.clock()))
	}
	if e.ReadView {
		p.readView()
	}
	if e.ReadList {
		p.sim.listCalls++
		l := p.sim.listInstances()
		p.schedule(p.sim.randomDuration(0, 5*ms), func() { p.core.HandleListing(l, true, p.clock()) })
	}
	if e.Write != nil {
		p.writeView(*e.Write)
	}
}

// heartbeat sends a request to the process that runs at the address on arrival.
func (p *process) heartbeat(to leaser.Member, r leaser.HeartbeatRequest) {
	sim, sentAt, sent := p.sim, p.clock(), p.sim.now
	var i int
	_, _ = fmt.Sscan(to.PeerAddress, &i)
	lost := func(a, b int) bool { return sim.blocked[[2]int{a, b}] || sim.rng.Float64() < sim.lossRate }
	sim.schedule(sim.randomDuration(ms/5, sim.maxDelay), func() {
		q := sim.slots[i].process
		if lost(p.slot, i) || q == nil || !q.alive {
			return
		}
		q.schedule(0, func() {
			a := q.core.HandleRequest(q.clock(), r)
			d := sim.randomDuration(ms/5, sim.maxDelay)
			if lost(i, p.slot) || sim.now+d-sent > time.Second {
				return
			}
			p.schedule(d, func() { p.runEffects(p.core.HandleAnswer(to, sentAt, p.clock(), a)) })
		})
	})
}

// callStore runs a store call after a delay. If no answer arrives within 2 s, it
// calls done with false, although the call may still take effect.
func (p *process) callStore(serve func() bool, done func(ok bool)) {
	sim, answered := p.sim, false
	sim.storeCalls++
	finish := func(ok bool) {
		if !answered {
			answered = true
			done(ok)
		}
	}
	sim.schedule(sim.randomDuration(ms, 3*ms+sim.maxStoreDelay), func() {
		ok := !sim.storeDown && !sim.blocked[[2]int{p.slot, store}] && serve()
		if sim.rng.Float64() >= sim.lostAnswerRate {
			p.schedule(sim.randomDuration(ms, 3*ms+sim.maxStoreDelay), func() { finish(ok) })
		}
	})
	p.schedule(2*time.Second, func() { finish(false) })
}

func (p *process) readView() {
	var value []byte
	var version int64
	sentAt := p.clock()
	p.callStore(func() bool {
		value, version = p.sim.value, p.sim.version
		return true
	}, func(ok bool) {
		var v leaser.View
		if ok && version > 0 {
			if err := json.Unmarshal(value, &v); err != nil {
				panic(err)
			}
		}
		p.runEffects(p.core.HandleViewRead(sentAt, v, version, ok, p.clock()))
	})
}

func (p *process) writeView(write leaser.Write) {
	value, err := json.Marshal(write.View)
	if err != nil {
		panic(err)
	}
	p.callStore(func() bool {
		if p.sim.version != write.Version {
			return false
		}
		p.sim.value, p.sim.version = value, p.sim.version+1
		return true
	}, func(ok bool) { p.runEffects(p.core.HandleWriteResult(write, ok, p.clock())) })
}

// listInstances returns the platform's list as of a random time up to 3 s ago.
func (sim *simulation) listInstances() leaser.Listing {
	at := sim.now - sim.randomDuration(0, 3*time.Second)
	var l leaser.Listing
	for i := range sim.slots {
		name := jujubegate.Instance(fmt.Sprintf("i%d", i))
		count := 0
		for _, c := range sim.transitions[i] {
			if c <= at {
				count++
			}
		}
		switch {
		case count%2 == 1:
			l.Live = append(l.Live, leaser.ListedInstance{Instance: name, PeerAddress: fmt.Sprint(i)})
		case count > 0:
			l.Gone = append(l.Gone, name)
		}
	}
	return l
}

// describe returns the state of all processes for a failure message.
func (sim *simulation) describe() string {
	text := fmt.Sprintf("at %v, generation %d\n", sim.now, len(sim.targetLists)-1)
	for _, s := range sim.slots {
		st, now := s.process.state, s.process.clock()
		text += fmt.Sprintf("%s epoch %d, serving %v, owns %v, generation %d, agreed %d, members",
			s.process.self.Incarnation, st.View.Epoch, st.Serving(now), st.MayOwnTargets(now), s.process.ownership.Generation(), st.Agreed)
		for _, m := range st.View.Members {
			text += fmt.Sprintf(" %s(%v)", m.Incarnation, m.Leaving)
		}
		for _, o := range st.Open {
			text += fmt.Sprintf("; open %d, closed %v, agreed %d, members", o.View.Epoch, o.Closed(now), o.Agreed)
			for _, m := range o.View.Members {
				text += " " + m.Incarnation
			}
		}
		text += "\n"
	}
	return text
}
