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

// cellSizes are the measured cell sizes, in members. The largest is the whole
// future fleet, because all members form one cell at present. The smallest shows
// the cost if a member sent heartbeats to only 4 peers.
var cellSizes = []int{5, 8, 32, futureCellSize, 256, futureMembers}

const (
	cellName = "Fleet"
	// cellWarmUp is longer than the suspicion time, after which members that
	// never answered are suspected.
	cellWarmUp = 2500 * time.Millisecond
	// cellMeasureTime is the length of one measurement of a cell.
	cellMeasureTime = time.Second
)

// cell is one real member among simulated peers. Each heartbeat to a peer is
// passed back to the member as a heartbeat from this peer, and the member's answer
// to it becomes the answer of the peer. In a real cell a member receives as many
// heartbeats as it sends, so the process does the work of one member.
type cell struct {
	members   []leaser.Member
	leaser    *leaser.Leaser
	store     *storer.Memory
	listReads atomic.Int64
	// silent reports whether the peer at index i doesn't answer.
	silent func(i int) bool
	index  map[jujubegate.Instance]int
}

var errSilent = errors.New("peer does not answer")

// newCell returns a cell and writes its view to the store. sendHeartbeat sends the
// heartbeats to the peers; if it is nil, they are answered without a connection.
func newCell(v leaser.View, clock jujubegate.Clock, sendHeartbeat func(context.Context, leaser.Member, leaser.HeartbeatRequest) (leaser.HeartbeatAnswer, error)) (*cell, error) {
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
	if sendHeartbeat == nil {
		sendHeartbeat = c.answerDirectly
	}
	c.leaser = leaser.New(leaser.Options{
		Self: v.Members[0], Cell: cellName, Timing: leaser.DefaultTiming(), Heartbeat: sendHeartbeat, Store: c.store.Store, Clock: clock,
		ListInstances: c.listInstances, Generation: func() jujubegate.Generation { return 1 }, Logger: zap.NewNop(),
	})
	return c, nil
}

func (c *cell) listInstances(context.Context) (leaser.Listing, bool) {
	c.listReads.Add(1)
	var l leaser.Listing
	for _, m := range c.members {
		l.Live = append(l.Live, leaser.ListedInstance{Instance: m.Instance, PeerAddress: m.PeerAddress})
	}
	return l, true
}

func (c *cell) answerDirectly(_ context.Context, to leaser.Member, r leaser.HeartbeatRequest) (leaser.HeartbeatAnswer, error) {
	i := c.index[to.Instance]
	if c.silent(i) {
		return leaser.HeartbeatAnswer{}, errSilent
	}
	return c.answerAsPeer(i, r), nil
}

// answerAsPeer delivers r to the member as a heartbeat from peer i and returns the
// member's answer as that of the peer.
func (c *cell) answerAsPeer(i int, r leaser.HeartbeatRequest) leaser.HeartbeatAnswer {
	r.Sender, r.Suspected = c.members[i], nil
	a := c.leaser.HandleHeartbeat(r)
	a.Receiver = c.members[i]
	return a
}

// readCount returns the number of reads of the store and of the platform's list
// of instances so far.
func (c *cell) readCount() int64 { return c.store.Calls().Gets + c.listReads.Load() }

// run runs the member until the returned function is called.
func (c *cell) run(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { _ = c.leaser.Run(ctx) }) // returns only the error of the context
	return func() {
		cancel()
		running.Wait()
	}
}

// loopbackCell is a cell whose heartbeats are sent over loopback connections.
type loopbackCell struct {
	*cell
	client *transporter.Client
	// bytes counts the bytes of all connections in both directions.
	bytes     atomic.Int64
	stopPeers []func()
}

func newLoopbackCell(size int, reports []jujubegate.TargetReport) (*loopbackCell, error) {
	clock := clockwork.NewRealClock()
	c := &loopbackCell{client: transporter.NewClient(clock)}
	v := newView(size, 1)
	for i := 1; i < size; i++ {
		h := transporter.NewHandler(clock, zap.NewNop())
		h.Counts = func() []jujubegate.RouteCount { return nil }
		h.ReportsSince = func(uint64) ([]jujubegate.TargetReport, uint64) { return reports, 1 }
		h.HandleHeartbeat = func(r leaser.HeartbeatRequest) leaser.HeartbeatAnswer { return c.answerAsPeer(i, r) }
		address, stop, err := servePeer(h, &c.bytes)
		if err != nil {
			c.close()
			return nil, err
		}
		v.Members[i].PeerAddress = address
		c.stopPeers = append(c.stopPeers, stop)
	}
	var err error
	if c.cell, err = newCell(v, clock, c.client.Heartbeat); err != nil {
		c.close()
	}
	return c, err
}

func (c *loopbackCell) close() {
	c.client.Close()
	for _, stop := range c.stopPeers {
		stop()
	}
}

// controlCost is the cost of the control plane for one member.
type controlCost struct {
	corePercent, sentKBPerSecond Sample
	memoryMB                     float64
}

func measureCell(ctx context.Context, size int, reports []jujubegate.TargetReport) (controlCost, error) {
	cost := controlCost{corePercent: Sample{Size: float64(size)}, sentKBPerSecond: Sample{Size: float64(size)}}
	before := memoryInUse()
	c, err := newLoopbackCell(size, reports)
	if err != nil {
		return cost, err
	}
	defer c.close()
	defer c.run(ctx)()
	time.Sleep(cellWarmUp)
	if !c.leaser.MayOwnTargets(time.Now()) {
		return cost, fmt.Errorf("member of a cell of %d holds no lease", size)
	}
	for range repetitions {
		start, bytes := time.Now(), c.bytes.Load()
		usedBefore, err := processorTime()
		if err != nil {
			return cost, err
		}
		time.Sleep(cellMeasureTime)
		usedAfter, err := processorTime()
		if err != nil {
			return cost, err
		}
		elapsed := time.Since(start).Seconds()
		cost.corePercent.Values = append(cost.corePercent.Values, 100*(usedAfter-usedBefore).Seconds()/elapsed)
		// The bytes are the requests that the member sends and the answers that it
		// receives. In a real cell it sends as many bytes of answers as it receives,
		// so the sum is what a member sends.
		cost.sentKBPerSecond.Values = append(cost.sentKBPerSecond.Values, float64(c.bytes.Load()-bytes)/1000/elapsed)
	}
	cost.memoryMB = memoryInUse() - before
	runtime.KeepAlive(c)
	return cost, ctx.Err()
}

// measureCells measures the cost of heartbeats for one member. Each answer carries
// either no target reports or, as under full load, those of all 5 targets of the
// peer.
func measureCells(ctx context.Context) ([]CapacityFigure, error) {
	var core, traffic, memory, busyCore, busyTraffic []Sample
	for _, size := range cellSizes {
		cost, err := measureCell(ctx, size, nil)
		if err != nil {
			return nil, err
		}
		core, traffic = append(core, cost.corePercent), append(traffic, cost.sentKBPerSecond)
		memory = append(memory, Sample{float64(size), []float64{cost.memoryMB}})
	}
	for _, size := range cellSizes[:len(cellSizes)-1] {
		cost, err := measureCell(ctx, size, newReports(5))
		if err != nil {
			return nil, err
		}
		busyCore, busyTraffic = append(busyCore, cost.corePercent), append(busyTraffic, cost.sentKBPerSecond)
	}
	var figures []CapacityFigure
	for _, k := range []struct {
		name, unit string
		budget     float64
		samples    []Sample
	}{
		{"heartbeats, no report changed", "% of a core", budgetCorePercent, core},
		{"heartbeats, no report changed", "KB/s sent", budgetTraffic, traffic},
		{"heartbeats, connections and views", "MB", budgetMemoryMB, memory},
		{"heartbeats, 5 reports in each answer", "% of a core", budgetCorePercent, busyCore},
		{"heartbeats, 5 reports in each answer", "KB/s sent", budgetTraffic, busyTraffic},
	} {
		for _, future := range []float64{futureCellSize, futureMembers} {
			figures = append(figures, CapacityFigure{
				Role: "member", Name: fmt.Sprintf("%s, cell of %.0f", k.name, future), Unit: k.unit, Per: "members",
				Samples: k.samples, Future: future, Budget: k.budget,
			})
		}
	}
	return figures, nil
}

// readPeriod is the simulated time over which reads are counted, a multiple of the
// longest interval between two reads.
const readPeriod = 4 * time.Minute

// measureStoreReads counts the reads of the view and of the platform's list by one
// member over simulated time, and multiplies them by the future number of members.
func measureStoreReads(ctx context.Context) ([]CapacityFigure, error) {
	var figures []CapacityFigure
	for _, k := range []struct {
		name   string
		silent func(i int) bool
		reads  func(c *cell) int64
		peak   bool
	}{
		{"reads of the view and the list, steady, mean", func(int) bool { return false }, (*cell).readCount, false},
		{"reads of the view and the list, two of three regions cut off, store reachable, mean", func(i int) bool { return i%3 != 0 }, (*cell).readCount, false},
		// The view is left out: after a crash only one member writes it, which in this
		// simulation is always the measured one.
		{"reads of the list, one member crashed, largest in a second", func(i int) bool { return i == 1 }, func(c *cell) int64 { return c.listReads.Load() }, true},
	} {
		c := CapacityFigure{Role: "store", Name: k.name, Unit: "1/s from 1,200", Per: "members per cell", Future: futureMembers, Budget: budgetReads}
		for _, size := range []int{8, 32, futureCellSize} {
			mean, largest, err := countReads(ctx, size, k.silent, k.reads, waitForGoroutines(runtime.NumGoroutine()))
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

// waitForGoroutines returns a function that waits until only the goroutine of the
// cell runs in addition to the given number. It is reliable only if none of the
// earlier goroutines ends meanwhile.
func waitForGoroutines(before int) func() {
	return func() {
		for runtime.NumGoroutine() > before+1 {
			runtime.Gosched()
		}
	}
}

// countReads returns the mean and the largest number of reads per second by one
// member after the warm-up, at whose end the peers selected by silent stop
// answering. waitHeartbeats waits until the heartbeats of a tick have ended.
func countReads(ctx context.Context, size int, silent func(i int) bool, count func(c *cell) int64, waitHeartbeats func()) (mean, largest float64, err error) {
	clock := clockwork.NewFakeClock()
	c, err := newCell(newView(size, 1), clock, nil)
	if err != nil {
		return 0, 0, err
	}
	warmUpEnd := clock.Now().Add(cellWarmUp)
	c.silent = func(i int) bool { return clock.Now().After(warmUpEnd) && silent(i) }
	defer c.run(ctx)()
	tick := leaser.DefaultTiming().Tick
	ticks := int((cellWarmUp + readPeriod) / tick)
	var reads []int64
	for n := range ticks {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			return 0, 0, err
		}
		waitHeartbeats()
		if n%int(time.Second/tick) == 0 && clock.Now().After(warmUpEnd) {
			reads = append(reads, count(c))
		}
		clock.Advance(tick)
	}
	for i := range reads[1:] {
		largest = max(largest, float64(reads[i+1]-reads[i]))
	}
	return float64(reads[len(reads)-1]-reads[0]) / float64(len(reads)-1), largest, nil
}
