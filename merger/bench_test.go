package merger

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"jujubegate.example/jujubegate"
)

var fanOuts = []int{20, 30, 1100}

func benchResults(shards int) []jujubegate.SubResult {
	results := make([]jujubegate.SubResult, shards)
	width := jujubegate.KeySpace / uint64(shards)
	for i := range results {
		end := uint64(i+1) * width
		if i == shards-1 {
			end = jujubegate.KeySpace
		}
		results[i] = jujubegate.SubResult{
			Shard: i, Attempt: 1, Target: "10.0.0.1:9000", Snapshot: 1,
			Range: jujubegate.KeyRange{Start: uint64(i) * width, End: end},
			Rows:  fmt.Appendf(nil, `[{"Shard":%d,"Name":"barometer"}]`, i),
		}
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(shards, func(i, j int) { results[i], results[j] = results[j], results[i] })
	return results
}

// BenchmarkAdd is the decision per sub-result, without the final merge.
func BenchmarkAdd(b *testing.B) {
	for _, shards := range fanOuts {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			results := benchResults(shards)
			var m Merger
			b.ReportAllocs()
			for b.Loop() {
				addAll(b, &m, results)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/result")
		})
	}
}

func addAll(b *testing.B, m *Merger, results []jujubegate.SubResult) {
	m.Reset("q", 1, len(results))
	for i := range results {
		r := &results[i]
		m.AddAttempt(jujubegate.SubRequest{Shard: r.Shard, Attempt: 1, Target: r.Target})
		if v, err := m.Add("q", r); v != Accepted {
			b.Fatal(v, err)
		}
	}
}

// BenchmarkMerge is the whole merge of one query.
func BenchmarkMerge(b *testing.B) {
	for _, shards := range fanOuts {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			results := benchResults(shards)
			var m Merger
			b.ReportAllocs()
			for b.Loop() {
				addAll(b, &m, results)
				merged, err := m.Merge()
				if err != nil || !merged.Coverage.Whole() {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/result")
		})
	}
}

// BenchmarkNaiveCoverage extends the coverage by one range per result, for
// comparison with BenchmarkMerge.
func BenchmarkNaiveCoverage(b *testing.B) {
	for _, shards := range fanOuts {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			results := benchResults(shards)
			b.ReportAllocs()
			for b.Loop() {
				var c jujubegate.Coverage
				for i := range results {
					c, _ = c.With(results[i].Range)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/result")
		})
	}
}

// BenchmarkChooser is the snapshot choice of one query, two replicas per shard.
func BenchmarkChooser(b *testing.B) {
	for _, shards := range fanOuts {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			held := []jujubegate.Snapshot{11, 12, 13}
			var c SnapshotChooser
			b.ReportAllocs()
			for b.Loop() {
				c.Reset(shards)
				for i := range shards {
					c.Add(i, held)
					c.Add(i, held[1:])
				}
				if choice, ok := c.Newest(0); !ok || !choice.Complete {
					b.Fatal(choice)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/shard")
		})
	}
}

// BenchmarkMergeWithGaps is the final merge of a partial answer that lacks
// every other shard, the most ranges that can't be joined.
func BenchmarkMergeWithGaps(b *testing.B) {
	for _, shards := range fanOuts {
		b.Run(fmt.Sprintf("FanOut=%d", shards), func(b *testing.B) {
			var m Merger
			m.Reset("q", 1, shards)
			for _, r := range benchResults(shards) {
				m.AddAttempt(jujubegate.SubRequest{Shard: r.Shard, Attempt: 1, Target: r.Target})
				if r.Shard%2 == 0 {
					_, _ = m.Add("q", &r)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := m.Merge(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/shard")
		})
	}
}
