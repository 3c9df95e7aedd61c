package querier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	fakeService    jujubegate.Service = "Repairs"
	fakeRoute      jujubegate.Route   = "Search"
	fakeOrderRoute jujubegate.Route   = "Book"
)

// fakeTopology is a topology that tests fill in directly.
type fakeTopology struct {
	generation jujubegate.Generation
	spec       configurator.ServiceSpec
	targets    []jujubegate.Target
	out        jujubegate.DataCentre
	move       *configurator.MoveSpec
}

func (f *fakeTopology) Generation() jujubegate.Generation { return f.generation }

func (f *fakeTopology) Services() []configurator.ServiceSpec {
	return []configurator.ServiceSpec{f.spec}
}

func (f *fakeTopology) Routes() []configurator.RouteSpec {
	return []configurator.RouteSpec{
		{Service: fakeService, Name: fakeRoute, Idempotent: true}, {Service: fakeService, Name: fakeOrderRoute},
	}
}

func (f *fakeTopology) Targets() []jujubegate.Target { return f.targets }

func (f *fakeTopology) DataCentreOut(d jujubegate.DataCentre) bool { return f.out != "" && d == f.out }

func (f *fakeTopology) Move(jujubegate.Service) (configurator.MoveSpec, bool) {
	if f.move == nil {
		return configurator.MoveSpec{}, false
	}
	return *f.move, true
}

// address returns the address of the target of a shard and replica.
func address(shard, replica int) jujubegate.Address {
	return jujubegate.Address(fmt.Sprintf("10.0.%d.%d:9000", replica, shard))
}

// newTopology declares a target for each shard and replica. Each replica is in a data
// centre of its own.
func newTopology(shards, replicas int) *fakeTopology {
	f := &fakeTopology{generation: 1, spec: configurator.ServiceSpec{
		Name: fakeService, Shards: shards, Deadline: testDeadline, Priority: configurator.High,
	}}
	for shard := range shards {
		for replica := range replicas {
			f.targets = append(f.targets, jujubegate.Target{
				Address: address(shard, replica), Service: fakeService, Shard: shard,
				DataCentre: jujubegate.DataCentre(fmt.Sprintf("dc%d", replica)),
			})
		}
	}
	return f
}

// keysOf returns the key range of a shard if the key space is divided evenly.
func keysOf(shard, shards int) jujubegate.KeyRange {
	n := jujubegate.KeySpace / uint64(shards)
	end := uint64(shard+1) * n
	if shard == shards-1 {
		end = jujubegate.KeySpace
	}
	return jujubegate.KeyRange{Start: uint64(shard) * n, End: end}
}

// goodResult returns a valid result of a sub-request.
func goodResult(b *jujubegate.Batch, sub jujubegate.SubRequest, shards int) jujubegate.SubResult {
	return jujubegate.SubResult{
		Shard: sub.Shard, Attempt: sub.Attempt, Target: sub.Target, Snapshot: b.Snapshot,
		Range: keysOf(sub.Shard, shards), Rows: fmt.Appendf(nil, `[{"Shard":%d,"Snapshot":%d}]`, sub.Shard, b.Snapshot),
	}
}

// newFake returns a querier for the topology. Every target is warm, holds snapshots 1
// and 2, is owned by one of the instances and answers at once.
func newFake(f *fakeTopology, clock jujubegate.Clock, instances int) *Querier {
	q := New("dc0", clock, rand.New(rand.NewPCG(1, 2)), zap.NewNop())
	reports := newReportCache()
	owners := make(map[jujubegate.Address]leaser.Member)
	for i, t := range f.targets {
		reports.Put([]jujubegate.TargetReport{{
			Target: t.Address, State: jujubegate.Warm, Limit: 4, Snapshots: []jujubegate.Snapshot{1, 2},
		}})
		owners[t.Address] = leaser.Member{Instance: jujubegate.Instance(fmt.Sprintf("i%d", i%instances))}
	}
	q.topology = func() topology { return f }
	q.Report, q.ObserveReports = reports.Get, reports.Put
	q.Serving = alwaysTrue
	q.Owner = func(a jujubegate.Address) (leaser.Member, bool) {
		m, ok := owners[a]
		return m, ok
	}
	q.Dispatch = func(_ context.Context, _ leaser.Member, b jujubegate.Batch,
		deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
	) error {
		results := make([]jujubegate.SubResult, 0, len(b.SubRequests))
		for _, sub := range b.SubRequests {
			results = append(results, goodResult(&b, sub, f.spec.Shards))
		}
		deliver(results, nil)
		return nil
	}
	return q
}

// newRealFake is newFake with the real clock.
func newRealFake(f *fakeTopology, instances int) *Querier {
	return newFake(f, clockwork.NewRealClock(), instances)
}

// containsShard reports whether the batch has a sub-request for the shard.
func containsShard(b *jujubegate.Batch, shard int) bool {
	return slices.ContainsFunc(b.SubRequests, func(s jujubegate.SubRequest) bool { return s.Shard == shard })
}
