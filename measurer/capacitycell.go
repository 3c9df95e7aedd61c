package measurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/storer"
	"jujubegate.example/jujubegate/transporter"
)

// cellSizes are the numbers of members of a cell. The largest is the whole
// fleet, since an instance has one cell for all members at present. The
// smallest is what a heartbeat to 4 peers only would cost.
var cellSizes = []int{5, 8, 32, futureCell, 256, futureMembers}

const (
	cellName = "Fleet"
	// cellWarmUp covers the suspicion time, after which members that never
	// answered would be suspected.
	cellWarmUp = 2500 * time.Millisecond
	cellWindow = time.Second
)

// cell is one real member among peers that mirror it: each heartbeat that it
// sends arrives at a real handler and is answered by the member itself, as if
// the peer had sent one at that moment. In a cell of equals a member takes as
// many heartbeats as it sends, so the process does the work of one member.
type cell struct {
	members []leaser.Member
	leaser  *leaser.Leaser
	store   *storer.Memory
	lists   atomic.Int64
	// silent returns whether a peer does not answer.
	silent func(i int) bool
	index  map[jujubegate.Instance]int
}

var errSilent = errors.New("peer does not answer")

// newCell returns a cell whose view is in the store. The call carries the
// heartbeats; nil answers them directly.
func newCell(v leaser.View, clock jujubegate.Clock, call func(context.Context, leaser.Member, leaser.HeartbeatRequest) (leaser.HeartbeatAnswer, error)) (*cell, error) {
	c := &cell{
		members: v.Members, store: storer.NewMemory(clock, 1), silent: func(int) bool { return false },
		index: make(map[jujubegate.Instance]int),
	}
	for i, m := range v.Members {
		c.index[m.Instance] = i
	}
	value, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	if _, err := c.store.Put(context.Background(), "Views/"+cellName, value, 0); err != nil {
		return nil, err
	}
	if call == nil {
		call = c.direct
	}
	c.leaser = leaser.New(leaser.Options{
		Self: v.Members[0], Cell: cellName, Timing: leaser.DefaultTiming(), Heartbeat: call, Store: c.store.Store, Clock: clock,
		ListInstances: c.list, Generation: func() jujubegate.Generation { return 1 }, Logger: zap.NewNop(),
	})
	return c, nil
}

func (c *cell) list(context.Context) (leaser.Listing, bool) {
	c.lists.Add(1)
	var l leaser.Listing
	for _, m := range c.members {
		l.Live = append(l.Live, leaser.ListedInstance{Instance: m.Instance, PeerAddress: m.PeerAddress})
	}
	return l, true
}

func (c *cell) direct(_ context.Context, to leaser.Member, r leaser.HeartbeatRequest) (leaser.HeartbeatAnswer, error) {
	i := c.index[to.Instance]
	if c.silent(i) {
		return leaser.HeartbeatAnswer{}, errSilent
	}
	return c.mirror(i, r), nil
}

// mirror answers as a peer and hands the member a heartbeat of this peer.
func (c *cell) mirror(i int, r leaser.HeartbeatRequest) leaser.HeartbeatAnswer {
	r.Sender, r.Suspected = c.members[i], nil
	a := c.leaser.HandleHeartbeat(r)
	a.Receiver = c.members[i]
	return a
}

// reads returns the reads of the store and of the platform's list so far.
func (c *cell) reads() int64 { return c.store.Calls().Gets + c.lists.Load() }

// run runs the member until the returned function is called.
func (c *cell) run(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { _ = c.leaser.Run(ctx) }) // it returns no error but that of the context
	return func() {
		cancel()
		running.Wait()
	}
}

// wireCell is a cell over loopback.
type wireCell struct {
	*cell
	client *transporter.Client
	bytes  atomic.Int64
	stops  []func()
}

func newWireCell(size int, reports []jujubegate.TargetReport) (*wireCell, error) {
	clock := clockwork.NewRealClock()
	w := &wireCell{client: transporter.NewClient(clock)}
	v := view(size, 1)
	for i := 1; i < size; i++ {
		h := transporter.NewHandler(clock, zap.NewNop())
		h.Counts = func() []jujubegate.RouteCount { return nil }
		h.ReportsSince = func(uint64) ([]jujubegate.TargetReport, uint64) { return reports, 1 }
		h.HandleHeartbeat = func(r leaser.HeartbeatRequest) leaser.HeartbeatAnswer { return w.mirror(i, r) }
		address, stop, err := servePeer(h, &w.bytes)
		if err != nil {
			w.close()
			return nil, err
		}
		v.Members[i].PeerAddress = address
		w.stops = append(w.stops, stop)
	}
	var err error
	if w.cell, err = newCell(v, clock, w.client.Heartbeat); err != nil {
		w.close()
	}
	return w, err
}

func (w *wireCell) close() {
	w.client.Close()
	for _, stop := range w.stops {
		stop()
	}
}

// load is what control costs one member.
type load struct {
	core, kilobytes Sample
	memory          float64
}

func measureCell(ctx context.Context, size int, reports []jujubegate.TargetReport) (load, error) {
	l := load{core: Sample{Size: float64(size)}, kilobytes: Sample{Size: float64(size)}}
	before := memoryInUse()
	w, err := newWireCell(size, reports)
	if err != nil {
		return l, err
	}
	defer w.close()
	defer w.run(ctx)()
	time.Sleep(cellWarmUp)
	if !w.leaser.MayOwnTargets(time.Now()) {
		return l, fmt.Errorf("member of a cell of %d holds no lease", size)
	}
	for range repetitions {
		start, bytes := time.Now(), w.bytes.Load()
		used, err := processorTime()
		if err != nil {
			return l, err
		}
		time.Sleep(cellWindow)
		now, err := processorTime()
		if err != nil {
			return l, err
		}
		took := time.Since(start).Seconds()
		l.core.Values = append(l.core.Values, 100*(now-used).Seconds()/took)
		// Requests and answers on the connections of the client: by symmetry
		// a member sends as many bytes of requests and of answers.
		l.kilobytes.Values = append(l.kilobytes.Values, float64(w.bytes.Load()-bytes)/1000/took)
	}
	l.memory = memoryInUse() - before
	runtime.KeepAlive(w)
	return l, ctx.Err()
}

// cells measures the control of a member. Reports are all those of its 5
// targets in every answer, as under full load, or none.
func cells(ctx context.Context) ([]Capacity, error) {
	var core, wire, memory, busyCore, busyWire []Sample
	for _, size := range cellSizes {
		l, err := measureCell(ctx, size, nil)
		if err != nil {
			return nil, err
		}
		core, wire = append(core, l.core), append(wire, l.kilobytes)
		memory = append(memory, Sample{float64(size), []float64{l.memory}})
	}
	for _, size := range cellSizes[:len(cellSizes)-1] {
		l, err := measureCell(ctx, size, reportsOf(5))
		if err != nil {
			return nil, err
		}
		busyCore, busyWire = append(busyCore, l.core), append(busyWire, l.kilobytes)
	}
	var figures []Capacity
	for _, k := range []struct {
		name, unit string
		budget     float64
		samples    []Sample
	}{
		{"heartbeats, no report changed", "% of a core", budgetCore, core},
		{"heartbeats, no report changed", "KB/s sent", budgetWire, wire},
		{"heartbeats, connections and views", "MB", budgetMemory, memory},
		{"heartbeats, 5 reports in each answer", "% of a core", budgetCore, busyCore},
		{"heartbeats, 5 reports in each answer", "KB/s sent", budgetWire, busyWire},
	} {
		for _, future := range []float64{futureCell, futureMembers} {
			figures = append(figures, Capacity{
				Role: "member", Name: fmt.Sprintf("%s, cell of %.0f", k.name, future), Unit: k.unit, Per: "members",
				Samples: k.samples, Future: future, Budget: k.budget,
			})
		}
	}
	return figures, nil
}

// storeTime is the simulated time for which store calls are counted. It is a
// multiple of the longest interval between two reads.
const storeTime = 4 * time.Minute

// storeCalls counts the reads of the view and of the platform's list by one
// member over simulated time, times the members of the fleet.
func storeCalls(ctx context.Context) ([]Capacity, error) {
	var figures []Capacity
	for _, k := range []struct {
		name   string
		silent func(i int) bool
		reads  func(c *cell) int64
		peak   bool
	}{
		{"reads of the view and the list, steady, mean", func(int) bool { return false }, (*cell).reads, false},
		{"reads of the view and the list, two of three regions cut off, store reachable, mean", func(i int) bool { return i%3 != 0 }, (*cell).reads, false},
		// The view is left out: one member writes it after a crash, here always this one.
		{"reads of the list, one member crashed, largest in a second", func(i int) bool { return i == 1 }, func(c *cell) int64 { return c.lists.Load() }, true},
	} {
		c := Capacity{Role: "store", Name: k.name, Unit: "1/s from 1,200", Per: "members per cell", Future: futureMembers, Budget: budgetReads}
		for _, size := range []int{8, 32, futureCell} {
			mean, largest, err := countCalls(ctx, size, k.silent, k.reads, waitForGoroutines(runtime.NumGoroutine()))
			if err != nil {
				return nil, err
			}
			value := mean
			if k.peak {
				value = largest
			}
			c.Samples = append(c.Samples, Sample{float64(size), []float64{value * futureMembers}})
		}
		figures = append(figures, c)
	}
	return figures, nil
}

// waitForGoroutines returns a wait until no goroutines run but those before, and
// the one of the cell. It needs a process in which no others end meanwhile.
func waitForGoroutines(before int) func() {
	return func() {
		for runtime.NumGoroutine() > before+1 {
			runtime.Gosched()
		}
	}
}

// countCalls returns the mean and the largest number of reads of one member in
// a second, after the warm-up. Peers become silent at its end. Settle waits until
// the heartbeats of a tick have ended.
func countCalls(ctx context.Context, size int, silent func(i int) bool, count func(c *cell) int64, settle func()) (mean, largest float64, err error) {
	clock := clockwork.NewFakeClock()
	c, err := newCell(view(size, 1), clock, nil)
	if err != nil {
		return 0, 0, err
	}
	cut := clock.Now().Add(cellWarmUp)
	c.silent = func(i int) bool { return clock.Now().After(cut) && silent(i) }
	defer c.run(ctx)()
	tick := leaser.DefaultTiming().Tick
	ticks := int((cellWarmUp + storeTime) / tick)
	var reads []int64
	for n := range ticks {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			return 0, 0, err
		}
		settle()
		if n%int(time.Second/tick) == 0 && clock.Now().After(cut) {
			reads = append(reads, count(c))
		}
		clock.Advance(tick)
	}
	for i := range reads[1:] {
		largest = max(largest, float64(reads[i+1]-reads[i]))
	}
	return float64(reads[len(reads)-1]-reads[0]) / float64(len(reads)-1), largest, nil
}
