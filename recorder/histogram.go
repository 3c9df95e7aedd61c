package recorder

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramShards is the number of separately locked parts, which reduces lock
	// contention. It is a power of 2.
	histogramShards = 4
	// maxLatency is the largest recorded value; larger ones are recorded as
	// this one.
	maxLatency = time.Minute
	// significantFigures is the precision: 2 bounds the error of a percentile
	// to 1% and needs about 20 KB per shard.
	significantFigures = 2
)

// Histogram records latencies since the start of the process. It is safe for
// concurrent use and does not allocate when recording.
type Histogram struct {
	shards [histogramShards]histogramShard
}

type histogramShard struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
	_      [cacheLineBytes]byte
}

// Summary is the published form of a histogram. Latencies are in microseconds.
type Summary struct {
	Count int64
	P50   int64
	P90   int64
	P99   int64
	P999  int64
	Max   int64
}

// NewHistogram returns an empty histogram that is not published.
func NewHistogram() *Histogram {
	h := &Histogram{}
	for i := range h.shards {
		h.shards[i].values = hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)
	}
	return h
}

// Record records one latency.
func (h *Histogram) Record(latency time.Duration) {
	us := min(max(latency.Microseconds(), 0), maxLatency.Microseconds())
	s := &h.shards[rand.Uint32()%histogramShards]
	s.mu.Lock()
	// The value is within the range of the histogram, so there is no error.
	_ = s.values.RecordValue(us)
	s.mu.Unlock()
}

// Summary returns the count and the percentiles of all recorded latencies.
func (h *Histogram) Summary() Summary {
	all := hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		all.Merge(s.values)
		s.mu.Unlock()
	}
	return Summary{
		Count: all.TotalCount(),
		P50:   all.ValueAtQuantile(50),
		P90:   all.ValueAtQuantile(90),
		P99:   all.ValueAtQuantile(99),
		P999:  all.ValueAtQuantile(99.9),
		Max:   all.Max(),
	}
}

// String returns the summary as JSON.
func (h *Histogram) String() string {
	data, err := json.Marshal(h.Summary())
	if err != nil {
		return "null"
	}
	return string(data)
}
