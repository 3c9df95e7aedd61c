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

// tableSizes are the numbers of members for which tables are built, with the
// future number of targets per member.
var tableSizes = []int{8, 64, 256, futureMembers}

const shardsPerService = 550

func targetsFor(members int) int { return members * futureTargets / futureMembers }

// fleetTargets returns targets with two replicas per shard, in services of at
// most 550 shards, whose replicas are in neighbouring data centres.
func fleetTargets(count int) []jujubegate.Target {
	targets := make([]jujubegate.Target, count)
	for i := range targets {
		shard, replica := i/2, i%2
		targets[i] = jujubegate.Target{
			Address: jujubegate.Address(fmt.Sprintf("10.12.%d.%d:9000", i/200, i%200)),
			Service: jujubegate.Service(fmt.Sprintf("Service%d", shard/shardsPerService)), Shard: shard % shardsPerService,
			DataCentre: jujubegate.DataCentre(fmt.Sprintf("centre%02d", (shard+replica)%futureCentres)), Version: "v1",
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

// batches splits statements into batches of a size that is accepted.
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

// configurations measures the follower's state: its memory, the size of the
// stored snapshot, and the processor time to apply a change of one target.
func configurations(ctx context.Context) ([]Capacity, error) {
	memory := Capacity{Role: "every instance", Name: "configuration", Unit: "MB", Per: "targets", Future: futureTargets, Budget: budgetMemory}
	snapshot := Capacity{Role: "store", Name: "configuration snapshot", Unit: "KB", Per: "targets", Future: futureTargets, Budget: storer.MaxValueSize / 1000}
	apply := Capacity{Role: "every instance", Name: "apply one change", Unit: "µs of processor", Per: "targets", Future: futureTargets}
	start := Capacity{Role: "every instance", Name: "restore the snapshot at the start", Unit: "µs of processor", Per: "targets", Future: futureTargets}
	for _, members := range tableSizes {
		targets := fleetTargets(targetsFor(members))
		size := float64(len(targets))
		before := memoryInUse()
		f := configurator.New(storer.NewMemory(clockwork.NewRealClock(), 1).Store, clockwork.NewRealClock(), zap.NewNop())
		offer := func(text string) error {
			g := f.Current().Generation() + 1
			return f.Offer([]configurator.Change{{Generation: g, Author: "operator", Token: fmt.Sprintf("t-%d", g), At: time.Unix(1700000000, 0).UTC(), Statements: text}})
		}
		for _, batch := range batches(declarations(targets)) {
			if err := offer(batch); err != nil {
				return nil, err
			}
		}
		memory.Samples = append(memory.Samples, Sample{size, []float64{memoryInUse() - before}})
		whole := f.After(-1)[0]
		snapshot.Samples = append(snapshot.Samples, Sample{size, []float64{float64(len(whole.Statements)) / 1000}})
		turn := 0
		values, err := processorPer(10, func() error {
			turn++
			if turn%2 == 0 {
				return offer("BringIn DataCentre centre01;")
			}
			return offer("TakeOut DataCentre centre01 { Reason = \"work\"; AllowLoss = true; };")
		})
		if err != nil {
			return nil, err
		}
		apply.Samples = append(apply.Samples, Sample{size, values})
		if values, err = processorPer(2, func() error {
			_, _, err := configurator.Restore(whole.Statements)
			return err
		}); err != nil {
			return nil, err
		}
		start.Samples = append(start.Samples, Sample{size, values})
		runtime.KeepAlive(f)
	}
	return []Capacity{memory, snapshot, apply, start}, ctx.Err()
}

// assignments measures the table of owners: the processor time to compute it
// for the view in force and one open view, its memory, and the owners that a
// query to all shards of two services has.
func assignments(ctx context.Context) ([]Capacity, error) {
	took := Capacity{Role: "owner, root", Name: "owners under a new view and one open view", Unit: "µs of processor", Per: "members", Future: futureMembers}
	memory := Capacity{Role: "owner, root", Name: "table of owners and the views", Unit: "MB", Per: "members", Future: futureMembers, Budget: budgetMemory}
	most := Capacity{Role: "owner", Name: "most targets of one member", Unit: "targets", Per: "members", Future: futureMembers}
	fanOut := Capacity{Role: "root", Name: "owners of a query to one replica of up to 1,100 shards", Unit: "owners", Per: "members", Future: futureMembers}
	for _, members := range tableSizes {
		size := float64(members)
		before := memoryInUse()
		targets := fleetTargets(targetsFor(members))
		v := view(members, futureCentres)
		v.Epoch, v.Open = 2, []leaser.View{view(members, futureCentres)}
		state := &leaser.State{Self: v.Members[0], View: v}
		o := assigner.NewOwnership(func() *leaser.State { return state }, zap.NewNop())
		o.SetTargets(1, targets)
		memory.Samples = append(memory.Samples, Sample{size, []float64{memoryInUse() - before}})
		values, err := processorPer(2, func() error {
			next := *state
			next.View.Epoch++
			state = &next
			_ = o.Owned()
			return nil
		})
		if err != nil {
			return nil, err
		}
		took.Samples = append(took.Samples, Sample{size, values})
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
		most.Samples = append(most.Samples, Sample{size, []float64{float64(largest)}})
		fanOut.Samples = append(fanOut.Samples, Sample{size, []float64{float64(len(owners))}})
		runtime.KeepAlive(o)
	}
	return []Capacity{took, memory, most, fanOut}, ctx.Err()
}

// moved returns the targets that the lost members had, and the targets whose
// owner differs without them.
func moved(v leaser.View, targets []jujubegate.Target, lost func(i int) bool) (had, changed int) {
	before := assigner.Assign(v, targets)
	w := leaser.View{Epoch: v.Epoch + 1}
	for i, m := range v.Members {
		if lost(i) {
			had += len(before.Owned(m.Instance))
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
	return had, changed
}

// lossMoves counts the targets that move when a member, a rack of 20 in one
// data centre, or a data centre is lost. Each value is over the targets that
// the lost members had.
func lossMoves(ctx context.Context) ([]Capacity, error) {
	const rack, tries = 20, 8
	kinds := []struct {
		name  string
		tries int
		sizes []int
		lost  func(try int) func(i int) bool
	}{
		{"one member", tries, tableSizes, func(try int) func(int) bool { return func(i int) bool { return i == try } }},
		{"20 members of a data centre", 3, []int{256, 640, futureMembers}, func(try int) func(int) bool {
			return func(i int) bool { return i%futureCentres == try && i/futureCentres < rack }
		}},
		{"a data centre", 3, []int{64, 256, futureMembers}, func(try int) func(int) bool {
			return func(i int) bool { return i%futureCentres == try }
		}},
	}
	var figures []Capacity
	for _, k := range kinds {
		all := Capacity{Role: "owner", Name: "targets that move at the loss of " + k.name, Unit: "targets", Per: "members", Future: futureMembers}
		ratio := all
		ratio.Unit = "per target of the lost"
		for _, members := range k.sizes {
			v, targets := view(members, futureCentres), fleetTargets(targetsFor(members))
			var counts, ratios []float64
			for try := range k.tries {
				had, changed := moved(v, targets, k.lost(try))
				counts = append(counts, float64(changed))
				if had > 0 {
					ratios = append(ratios, float64(changed)/float64(had))
				}
			}
			all.Samples = append(all.Samples, Sample{float64(members), counts})
			ratio.Samples = append(ratio.Samples, Sample{float64(members), ratios})
		}
		figures = append(figures, all, ratio)
	}
	return figures, ctx.Err()
}

// lanes measures the memory that an owner keeps for its targets, without their
// connections.
func lanes(ctx context.Context) ([]Capacity, error) {
	memory := Capacity{Role: "owner", Name: "queue and limits of its targets", Unit: "MB", Per: "targets", Future: 6, Budget: budgetMemory}
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
	return []Capacity{memory}, ctx.Err()
}

// viewObjects measures the object that holds the view, with 1 and with 16 open
// views, the most that a member writes.
func viewObjects(ctx context.Context) ([]Capacity, error) {
	var figures []Capacity
	for _, open := range []int{1, 16} {
		c := Capacity{Role: "store", Name: fmt.Sprintf("view object with %d open views", open), Unit: "KB", Per: "members", Future: futureMembers, Budget: storer.MaxValueSize / 1000}
		for _, members := range []int{8, 32, futureCell, futureMembers} {
			v := view(members, futureCentres)
			for range open {
				v.Open = append(v.Open, view(members, futureCentres))
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
