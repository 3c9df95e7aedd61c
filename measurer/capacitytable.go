package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/assigner"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/dispatcher"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/storer"
)

// tableSizes are the fleet sizes, in members, for which tables are built. Each has
// as many targets per member as the future fleet.
var tableSizes = []int{8, 64, 256, futureMembers}

const shardsPerService = 550

func targetCount(members int) int { return members * futureTargets / futureMembers }

// fleetTargets returns targets with two replicas per shard, in services of at most
// 550 shards. The replicas of a shard are in consecutive data centres.
func fleetTargets(count int) []jujubegate.Target {
	targets := make([]jujubegate.Target, count)
	for i := range targets {
		shard, replica := i/2, i%2
		targets[i] = jujubegate.Target{
			Address: jujubegate.Address(fmt.Sprintf("10.12.%d.%d:9000", i/200, i%200)),
			Service: jujubegate.Service(fmt.Sprintf("Service%d", shard/shardsPerService)), Shard: shard % shardsPerService,
			DataCentre: jujubegate.DataCentre(fmt.Sprintf("centre%02d", (shard+replica)%futureDataCentres)), Version: "v1",
		}
	}
	return targets
}

// declarations returns the statements that declare the targets.
func declarations(targets []jujubegate.Target) string {
	var text strings.Builder
	for i := 0; i <= (len(targets)-1)/(2*shardsPerService); i++ {
		fmt.Fprintf(&text, "Declare Service Service%d { Shards = %d; Slots = 2; Connections = 25; ColdLimit = 1; Deadline = 160ms; Priority = High; };\n", i, shardsPerService)
		fmt.Fprintf(&text, "Declare Route Service%d.Search { Idempotent = true; };\n", i)
	}
	for _, t := range targets {
		fmt.Fprintf(&text, "Declare Target %q { Service = %s; Shard = %d; DataCentre = %s; Version = %s; };\n",
			t.Address, t.Service, t.Shard, t.DataCentre, t.Version)
	}
	return text.String()
}

// batches splits statements into batches small enough to be accepted.
func batches(text string) []string {
	const lines = 100
	all := strings.SplitAfter(strings.TrimSuffix(text, "\n"), "\n")
	var list []string
	for len(all) > 0 {
		n := min(lines, len(all))
		list = append(list, strings.Join(all[:n], ""))
		all = all[n:]
	}
	return list
}

// measureConfiguration measures the configuration that each instance holds: its
// memory, the size of the stored snapshot, and the CPU time to apply one
// change and to restore the snapshot.
func measureConfiguration(ctx context.Context) ([]CapacityFigure, error) {
	memory := CapacityFigure{Role: "every instance", Name: "configuration", Unit: "MB", Per: "targets", Future: futureTargets, Budget: budgetMemoryMB}
	snapshot := CapacityFigure{Role: "store", Name: "configuration snapshot", Unit: "KB", Per: "targets", Future: futureTargets, Budget: storer.MaxValueSize / 1000}
	apply := CapacityFigure{Role: "every instance", Name: "apply one change", Unit: "µs of processor", Per: "targets", Future: futureTargets}
	restore := CapacityFigure{Role: "every instance", Name: "restore the snapshot at the start", Unit: "µs of processor", Per: "targets", Future: futureTargets}
	for _, members := range tableSizes {
		targets := fleetTargets(targetCount(members))
		size := float64(len(targets))
		before := memoryInUse()
		f := configurator.New(storer.NewMemory(clockwork.NewRealClock(), 1).Store, clockwork.NewRealClock(), zap.NewNop())
		offer := func(text string) error {
			g := f.Current().Generation() + 1
			return f.Apply([]configurator.Change{{Generation: g, Author: "operator", Token: fmt.Sprintf("t-%d", g), At: time.Unix(1700000000, 0).UTC(), Statements: text}})
		}
		for _, batch := range batches(declarations(targets)) {
			if err := offer(batch); err != nil {
				return nil, err
			}
		}
		memory.Samples = append(memory.Samples, Sample{size, []float64{memoryInUse() - before}})
		fullSnapshot := f.After(-1)[0]
		snapshot.Samples = append(snapshot.Samples, Sample{size, []float64{float64(len(fullSnapshot.Statements)) / 1000}})
		run := 0
		values, err := processorTimePerRun(10, func() error {
			run++
			if run%2 == 0 {
				return offer("BringIn DataCentre centre01;")
			}
			return offer("TakeOut DataCentre centre01 { Reason = \"work\"; AllowLoss = true; };")
		})
		if err != nil {
			return nil, err
		}
		apply.Samples = append(apply.Samples, Sample{size, values})
		if values, err = processorTimePerRun(2, func() error {
			_, _, err := configurator.Restore(fullSnapshot.Statements)
			return err
		}); err != nil {
			return nil, err
		}
		restore.Samples = append(restore.Samples, Sample{size, values})
		runtime.KeepAlive(f)
	}
	return []CapacityFigure{memory, snapshot, apply, restore}, ctx.Err()
}

// measureAssignment measures the table of owners: the CPU time to compute it
// for the current view and one open view, its memory, the most targets of one
// member, and the number of owners of a query to all shards of two services.
func measureAssignment(ctx context.Context) ([]CapacityFigure, error) {
	processor := CapacityFigure{Role: "owner, root", Name: "owners under a new view and one open view", Unit: "µs of processor", Per: "members", Future: futureMembers}
	memory := CapacityFigure{Role: "owner, root", Name: "table of owners and the views", Unit: "MB", Per: "members", Future: futureMembers, Budget: budgetMemoryMB}
	mostTargets := CapacityFigure{Role: "owner", Name: "most targets of one member", Unit: "targets", Per: "members", Future: futureMembers}
	fanOut := CapacityFigure{Role: "root", Name: "owners of a query to one replica of up to 1,100 shards", Unit: "owners", Per: "members", Future: futureMembers}
	for _, members := range tableSizes {
		size := float64(members)
		before := memoryInUse()
		targets := fleetTargets(targetCount(members))
		v := newView(members, futureDataCentres)
		v.Epoch, v.Open = 2, []leaser.View{newView(members, futureDataCentres)}
		state := &leaser.State{Self: v.Members[0], View: v}
		o := assigner.NewOwnership(func() *leaser.State { return state }, zap.NewNop())
		o.SetTargets(1, targets)
		memory.Samples = append(memory.Samples, Sample{size, []float64{memoryInUse() - before}})
		values, err := processorTimePerRun(2, func() error {
			next := *state
			next.View.Epoch++
			state = &next
			_ = o.Owned()
			return nil
		})
		if err != nil {
			return nil, err
		}
		processor.Samples = append(processor.Samples, Sample{size, values})
		largest, owners := 0, map[jujubegate.Instance]bool{}
		a := o.Assignment()
		for _, m := range v.Members {
			largest = max(largest, len(a.Owned(m.Instance)))
		}
		for i, t := range targets {
			if i%2 == 0 && i/2 < 2*shardsPerService {
				m, _ := a.Owner(t.Address)
				owners[m.Instance] = true
			}
		}
		mostTargets.Samples = append(mostTargets.Samples, Sample{size, []float64{float64(largest)}})
		fanOut.Samples = append(fanOut.Samples, Sample{size, []float64{float64(len(owners))}})
		runtime.KeepAlive(o)
	}
	return []CapacityFigure{processor, memory, mostTargets, fanOut}, ctx.Err()
}

// countMoved returns the number of targets that the lost members owned, and the
// number of targets whose owner changes when these members are removed.
func countMoved(v leaser.View, targets []jujubegate.Target, lost func(i int) bool) (ownedByLost, changed int) {
	before := assigner.Assign(v, targets)
	w := leaser.View{Epoch: v.Epoch + 1}
	for i, m := range v.Members {
		if lost(i) {
			ownedByLost += len(before.Owned(m.Instance))
		} else {
			w.Members = append(w.Members, m)
		}
	}
	after := assigner.Assign(w, targets)
	for _, t := range targets {
		a, _ := before.Owner(t.Address)
		b, _ := after.Owner(t.Address)
		if a.Instance != b.Instance {
			changed++
		}
	}
	return ownedByLost, changed
}

// measureReassignments counts the targets that move when a member, a rack of 20
// members in one data centre, or a data centre is lost, in total and per target
// that the lost members owned.
func measureReassignments(ctx context.Context) ([]CapacityFigure, error) {
	const rackSize, memberVariants = 20, 8
	kinds := []struct {
		name string
		// variants is the number of different losses that are measured.
		variants int
		sizes    []int
		// lost returns a function that selects the lost members of a variant.
		lost func(variant int) func(i int) bool
	}{
		{"one member", memberVariants, tableSizes, func(variant int) func(int) bool { return func(i int) bool { return i == variant } }},
		{"20 members of a data centre", 3, []int{256, 640, futureMembers}, func(variant int) func(int) bool {
			return func(i int) bool { return i%futureDataCentres == variant && i/futureDataCentres < rackSize }
		}},
		{"a data centre", 3, []int{64, 256, futureMembers}, func(variant int) func(int) bool {
			return func(i int) bool { return i%futureDataCentres == variant }
		}},
	}
	var figures []CapacityFigure
	for _, k := range kinds {
		movedTargets := CapacityFigure{Role: "owner", Name: "targets that move at the loss of " + k.name, Unit: "targets", Per: "members", Future: futureMembers}
		ratio := movedTargets
		ratio.Unit = "per target of the lost"
		for _, members := range k.sizes {
			v, targets := newView(members, futureDataCentres), fleetTargets(targetCount(members))
			var counts, ratios []float64
			for variant := range k.variants {
				ownedByLost, changed := countMoved(v, targets, k.lost(variant))
				counts = append(counts, float64(changed))
				if ownedByLost > 0 {
					ratios = append(ratios, float64(changed)/float64(ownedByLost))
				}
			}
			movedTargets.Samples = append(movedTargets.Samples, Sample{float64(members), counts})
			ratio.Samples = append(ratio.Samples, Sample{float64(members), ratios})
		}
		figures = append(figures, movedTargets, ratio)
	}
	return figures, ctx.Err()
}

// measureTargetQueues measures the memory of the queues and limits that an owner
// keeps for its targets, without their connections.
func measureTargetQueues(ctx context.Context) ([]CapacityFigure, error) {
	memory := CapacityFigure{Role: "owner", Name: "queue and limits of its targets", Unit: "MB", Per: "targets", Future: 6, Budget: budgetMemoryMB}
	for _, count := range []int{6, 48, 384} {
		before := memoryInUse()
		d := dispatcher.New(dispatcher.Settings{
			MaySend: func(jujubegate.Address, time.Time) bool { return true },
			Allowed: func(jujubegate.Target) bool { return true },
			Open: func(jujubegate.Target, int, dispatcher.Events) dispatcher.Link {
				return dispatcher.Link{SetBound: func(int, int) {}, SetConnections: func(int) {}, Close: func() {}}
			},
			Clock: clockwork.NewRealClock(),
		})
		d.Update(fleetTargets(count), []configurator.ServiceSpec{{Name: "Service0", Shards: shardsPerService, Slots: 2, Connections: 25, ColdLimit: 1}})
		memory.Samples = append(memory.Samples, Sample{float64(count), []float64{memoryInUse() - before}})
		d.Update(nil, nil)
		runtime.KeepAlive(d)
	}
	return []CapacityFigure{memory}, ctx.Err()
}

// measureViewObjects measures the size of the stored view, with 1 open view and
// with 16, the most that a member writes.
func measureViewObjects(ctx context.Context) ([]CapacityFigure, error) {
	var figures []CapacityFigure
	for _, open := range []int{1, 16} {
		c := CapacityFigure{Role: "store", Name: fmt.Sprintf("view object with %d open views", open), Unit: "KB", Per: "members", Future: futureMembers, Budget: storer.MaxValueSize / 1000}
		for _, members := range []int{8, 32, futureCellSize, futureMembers} {
			v := newView(members, futureDataCentres)
			for range open {
				v.Open = append(v.Open, newView(members, futureDataCentres))
			}
			value, err := json.Marshal(v)
			if err != nil {
				return nil, err
			}
			c.Samples = append(c.Samples, Sample{float64(members), []float64{float64(len(value)) / 1000}})
		}
		figures = append(figures, c)
	}
	return figures, ctx.Err()
}
