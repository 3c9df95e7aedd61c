package querier

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
)

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkQuery measures a whole query with a stub Dispatch that returns prepared
// results at once. There are two replicas per shard and five targets per owner.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{20, 30, 1100} {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			q := newBenchQuerier(shards)
			b.ReportAllocs()
			cpu := cpuTime()
			for b.Loop() {
				benchQuery(b, q)
			}
			b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N*shards), "cpu-ns/sub-request")
		})
	}
}

// BenchmarkQueryInParallel measures concurrent queries of one querier.
func BenchmarkQueryInParallel(b *testing.B) {
	for _, shards := range []int{20, 1100} {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			q := newBenchQuerier(shards)
			b.ReportAllocs()
			cpu := cpuTime()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					benchQuery(b, q)
				}
			})
			b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N*shards), "cpu-ns/sub-request")
		})
	}
}

func benchQuery(b *testing.B, q *Querier) {
	request := Request{Service: fakeService, Route: fakeRoute, Caller: "zora"}
	if answer, refusal := q.Query(context.Background(), request); refusal != nil || !answer.Coverage.Whole() {
		b.Error(refusal)
	}
}

func newBenchQuerier(shards int) *Querier {
	f := newTopology(shards, 2)
	f.spec.Deadline = 10 * time.Second
	q := newRealFake(f, max(2*shards/5, 8))
	rows := make([][]byte, shards)
	for i := range rows {
		rows[i] = fmt.Appendf(nil, `[{"Shard":%d,"Name":"barometer"}]`, i)
	}
	q.Dispatch = func(_ context.Context, _ leaser.Member, batch jujubegate.Batch,
		deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
	) error {
		results := make([]jujubegate.SubResult, len(batch.SubRequests))
		for i, sub := range batch.SubRequests {
			results[i] = jujubegate.SubResult{
				Shard: sub.Shard, Attempt: sub.Attempt, Target: sub.Target, Snapshot: batch.Snapshot,
				Range: keysOf(sub.Shard, shards), Rows: rows[sub.Shard],
			}
		}
		deliver(results, nil)
		return nil
	}
	return q
}

// BenchmarkPrepare measures the decisions for a query without its streams: the choice
// of the snapshot and of the replica of every shard.
func BenchmarkPrepare(b *testing.B) {
	for _, shards := range []int{20, 30, 1100} {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			q := newRealFake(newTopology(shards, 2), max(2*shards/5, 8))
			now := time.Now()
			service, route, refusal := q.resolveRoute(now, fakeService, fakeRoute)
			if refusal != nil {
				b.Fatal(refusal)
			}
			r := q.runPool.Get().(*run)
			request := Request{Service: fakeService, Route: fakeRoute}
			b.ReportAllocs()
			for b.Loop() {
				r.reset(q, service, route, request, now)
				if refusal := r.chooseVersionAndSnapshot(); refusal != nil {
					b.Fatal(refusal)
				}
				r.merger.Reset(r.id, r.snapshot, shards)
				r.queueFirstAttempts(now)
				r.cancelOutstanding(now)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub-request")
		})
	}
}
