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

// store is the end of a connection to the store among the blocked ones.
const store = -1

// event is something that happens at a moment of the world.
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

// world is a fake network, store and platform list in virtual time.
type world struct {
	r      *rand.Rand
	faults leaser.Faults
	now    time.Duration
	queue  events
	seq    int
	steps  int
	// stride is the number of events between two checks.
	stride int
	slots  []*slot
	broken string

	loss, lostWrites float64
	slowest          time.Duration
	blocked          map[[2]int]bool
	storeDown        bool
	storeSlow        time.Duration
	value            []byte
	version          int64
	// calls and lists count calls of the store and of the platform's list.
	calls, lists int
	configs      [][]jujubegate.Target
	// changes holds, per slot, the moments at which its process started or ended.
	changes map[int][]time.Duration
}

// slot is one address, at which processes run one after the other.
type slot struct {
	index int
	p     *process
	began int
}

// process is one start of an instance.
type process struct {
	w           *world
	slot        int
	self        leaser.Member
	core        *leaser.Core
	own         *assigner.Ownership
	state       *leaser.State
	offset      time.Duration
	rate        float64
	alive       bool
	pausedUntil time.Duration
	released    jujubegate.Epoch
	leaving     bool
}

func newWorld(seed uint64, slots int, f leaser.Faults) *world {
	w := &world{
		r: rand.New(rand.NewPCG(seed, 1)), faults: f, slowest: 2 * ms,
		blocked: map[[2]int]bool{}, changes: map[int][]time.Duration{},
	}
	var targets []jujubegate.Target
	for i := range 16 {
		targets = append(targets, w.target(i))
	}
	w.configs = [][]jujubegate.Target{nil, targets}
	for i := range slots {
		w.slots = append(w.slots, &slot{index: i})
		w.start(i)
	}
	return w
}

func (w *world) target(i int) jujubegate.Target {
	return jujubegate.Target{
		Address: jujubegate.Address(fmt.Sprintf("t%d:1", i)), Service: "s", Shard: i / 2,
		DataCentre: jujubegate.DataCentre(fmt.Sprintf("dc%d", w.r.IntN(3))),
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.r.Int64N(int64(b-a)+1))
}

// run advances the world and checks after every event that no target has two senders.
func (w *world) run(until time.Duration) {
	for w.broken == "" && len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.steps++
		if w.stride > 1 && w.steps%w.stride > 0 {
			continue
		}
		senders := w.senders()
		for _, address := range slices.Sorted(maps.Keys(senders)) {
			if len(senders[address]) > 1 && w.broken == "" {
				w.broken = fmt.Sprintf("%v: %s has senders %v", w.now, address, senders[address])
			}
		}
	}
	w.now = max(w.now, until)
}

// senders returns the running processes that consider themselves allowed to send.
func (w *world) senders() map[jujubegate.Address][]string {
	found := map[jujubegate.Address][]string{}
	for _, s := range w.slots {
		p := s.p
		if p == nil || !p.alive || w.now < p.pausedUntil || !p.state.MayOwnTargets(p.clock()) {
			continue
		}
		for _, t := range p.own.Owned() {
			if p.own.MaySend(t.Address, p.clock()) {
				found[t.Address] = append(found[t.Address], fmt.Sprintf("%s epoch %d generation %d",
					p.self.Incarnation, p.state.View.Epoch, p.own.Generation()))
			}
		}
	}
	return found
}

func (w *world) start(i int) {
	s := w.slots[i]
	s.began++
	name := fmt.Sprintf("i%d", i)
	p := &process{
		w: w, slot: i, alive: true, offset: w.between(0, time.Hour), rate: 1 + (w.r.Float64()-0.5)/100,
		self: leaser.Member{
			Instance: jujubegate.Instance(name), Incarnation: fmt.Sprintf("%s#%d", name, s.began),
			DataCentre:  jujubegate.DataCentre(fmt.Sprintf("dc%d", i%3)),
			PeerAddress: fmt.Sprint(i),
		},
	}
	p.core = leaser.NewCore(p.self, w.faults)
	p.state = p.core.State()
	p.own = assigner.NewOwnership(func() *leaser.State { return p.state }, nil)
	s.p = p
	w.changes[i] = append(w.changes[i], w.now)
	p.load(max(1, len(w.configs)-1-w.r.IntN(2)))
	p.every(100*ms, p.tick)
	p.every(300*ms, p.follow)
}

func (w *world) stop(i int) {
	if p := w.slots[i].p; p.alive {
		p.alive = false
		w.changes[i] = append(w.changes[i], w.now)
	}
}

func (p *process) clock() time.Time {
	return time.Unix(0, 0).Add(p.offset + time.Duration(float64(p.w.now)*p.rate))
}

// at runs an input of the process, once it isn't paused.
func (p *process) at(d time.Duration, do func()) {
	p.w.after(d, func() {
		switch {
		case !p.alive:
		case p.w.now < p.pausedUntil:
			p.at(p.pausedUntil-p.w.now, do)
		default:
			do()
		}
	})
}

func (p *process) every(d time.Duration, do func()) {
	p.at(p.w.between(d/2, d), func() {
		do()
		p.every(d, do)
	})
}

func (p *process) tick() { p.perform(p.core.Tick(p.clock(), p.own.Generation())) }

func (p *process) load(g int) {
	p.own.SetTargets(jujubegate.Generation(g), p.w.configs[g])
}

// follow applies configuration changes, sometimes skipping generations, and
// releases what the view in force took away.
func (p *process) follow() {
	have, newest := int(p.own.Generation()), len(p.w.configs)-1
	reaches := !p.w.blocked[[2]int{p.slot, (p.slot + 1) % len(p.w.slots)}]
	if have < newest && reaches && p.w.r.IntN(3) > 0 {
		p.load(have + 1 + p.w.r.IntN(newest-have))
	}
	if e := p.state.View.Epoch; e > p.released && p.w.r.IntN(2) == 0 {
		p.released = e
		p.core.RecordRelease(e)
	}
}

func (p *process) perform(e leaser.Effects) {
	if e.Publish {
		p.state = p.core.State()
	}
	for _, to := range e.Heartbeats {
		p.heartbeat(to, p.core.NewHeartbeat(p.clock()))
	}
	if e.ReadView {
		p.read()
	}
	if e.ReadList {
		p.w.lists++
		l := p.w.list()
		p.at(p.w.between(0, 5*ms), func() { p.core.HandleListing(l, true, p.clock()) })
	}
	if e.Write != nil {
		p.write(*e.Write)
	}
}

// heartbeat sends a request to whatever process is at the address.
func (p *process) heartbeat(to leaser.Member, r leaser.HeartbeatRequest) {
	w, sentAt, sent := p.w, p.clock(), p.w.now
	var i int
	_, _ = fmt.Sscan(to.PeerAddress, &i)
	lost := func(a, b int) bool { return w.blocked[[2]int{a, b}] || w.r.Float64() < w.loss }
	w.after(w.between(ms/5, w.slowest), func() {
		q := w.slots[i].p
		if lost(p.slot, i) || q == nil || !q.alive {
			return
		}
		q.at(0, func() {
			a := q.core.HandleRequest(q.clock(), r)
			d := w.between(ms/5, w.slowest)
			if lost(i, p.slot) || w.now+d-sent > time.Second {
				return
			}
			p.at(d, func() { p.perform(p.core.HandleAnswer(to, sentAt, p.clock(), a)) })
		})
	})
}

// call runs a store call at the server after a while. If no answer comes back
// within 2 s, done gets false although the call may still take effect.
func (p *process) call(serve func() bool, done func(ok bool)) {
	w, answered := p.w, false
	w.calls++
	finish := func(ok bool) {
		if !answered {
			answered = true
			done(ok)
		}
	}
	w.after(w.between(ms, 3*ms+w.storeSlow), func() {
		ok := !w.storeDown && !w.blocked[[2]int{p.slot, store}] && serve()
		if w.r.Float64() >= w.lostWrites {
			p.at(w.between(ms, 3*ms+w.storeSlow), func() { finish(ok) })
		}
	})
	p.at(2*time.Second, func() { finish(false) })
}

func (p *process) read() {
	var value []byte
	var version int64
	sentAt := p.clock()
	p.call(func() bool {
		value, version = p.w.value, p.w.version
		return true
	}, func(ok bool) {
		var v leaser.View
		if ok && version > 0 {
			if err := json.Unmarshal(value, &v); err != nil {
				panic(err)
			}
		}
		p.perform(p.core.HandleViewRead(sentAt, v, version, ok, p.clock()))
	})
}

func (p *process) write(wr leaser.Write) {
	value, err := json.Marshal(wr.View)
	if err != nil {
		panic(err)
	}
	p.call(func() bool {
		if p.w.version != wr.Version {
			return false
		}
		p.w.value, p.w.version = value, p.w.version+1
		return true
	}, func(ok bool) { p.perform(p.core.HandleWriteResult(wr, ok, p.clock())) })
}

// list returns the platform's list as it was up to 3 s ago.
func (w *world) list() leaser.Listing {
	at := w.now - w.between(0, 3*time.Second)
	var l leaser.Listing
	for i := range w.slots {
		name := jujubegate.Instance(fmt.Sprintf("i%d", i))
		count := 0
		for _, c := range w.changes[i] {
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
func (w *world) describe() string {
	text := fmt.Sprintf("at %v, generation %d\n", w.now, len(w.configs)-1)
	for _, s := range w.slots {
		st, now := s.p.state, s.p.clock()
		text += fmt.Sprintf("%s epoch %d, serving %v, owns %v, generation %d, agreed %d, members",
			s.p.self.Incarnation, st.View.Epoch, st.Serving(now), st.MayOwnTargets(now), s.p.own.Generation(), st.Agreed)
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
