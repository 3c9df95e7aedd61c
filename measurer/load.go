package measurer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jujubegate.example/jujubegate"
)

// QueryFunc sends query number n and reports whether its answer was whole.
type QueryFunc func(ctx context.Context, n int) (whole bool, err error)

// Load is an open-loop load: queries are sent without waiting for earlier answers.
type Load struct {
	// Rate is the mean number of queries per second. Arrivals are a Poisson process.
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
	Seed     uint64
	// MaxInFlight limits the queries in flight; queries above it are not sent and
	// count as failed.
	MaxInFlight int
}

// LoadResult counts the results of the queries of a load. A query without a whole
// answer counts with the timeout as its latency.
type LoadResult struct {
	Sent    int
	Whole   int
	Partial int
	Failed  int
	Elapsed time.Duration
	// Reasons counts the failed queries by reason.
	Reasons map[string]int

	latency *hdrhistogram.Histogram
}

// Quantile returns the q-th percentile of the latency, with q from 0 to 100.
func (r *LoadResult) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// WholeShare returns the share of queries with a whole answer.
func (r *LoadResult) WholeShare() float64 { return float64(r.Whole) / float64(max(r.Sent, 1)) }

// Goodput returns the number of whole answers per second.
func (r *LoadResult) Goodput() float64 { return float64(r.Whole) / r.Elapsed.Seconds() }

// Run sends the queries and waits for all answers. Latency is measured from the
// scheduled arrival of a query.
func (l Load) Run(ctx context.Context, query QueryFunc) *LoadResult {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	result := &LoadResult{Reasons: make(map[string]int), latency: hdrhistogram.New(1, (2 * l.Timeout).Microseconds(), 3)}
	var mu sync.Mutex
	var inFlight int
	var answers sync.WaitGroup
	start := time.Now()
	next := start
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		if next.Sub(start) > l.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		mu.Lock()
		result.Sent++
		rejected := inFlight >= l.MaxInFlight
		if rejected {
			result.record(false, errTooManyInFlight, l.Timeout, l.Timeout)
		} else {
			inFlight++
		}
		mu.Unlock()
		if rejected {
			continue
		}
		arrival := next
		answers.Go(func() {
			queryCtx, cancel := context.WithTimeout(ctx, l.Timeout)
			whole, err := query(queryCtx, n)
			cancel()
			latency := time.Since(arrival)
			mu.Lock()
			defer mu.Unlock()
			inFlight--
			result.record(whole, err, latency, l.Timeout)
		})
	}
	answers.Wait()
	result.Elapsed = max(time.Since(start), l.Duration)
	return result
}

type loadError string

func (e loadError) Error() string { return string(e) }

const errTooManyInFlight loadError = "too many queries in flight"

func (r *LoadResult) record(whole bool, err error, latency, timeout time.Duration) {
	switch {
	case err != nil:
		r.Failed++
		r.Reasons[reason(err)]++
	case whole:
		r.Whole++
	default:
		r.Partial++
	}
	if err != nil || !whole {
		latency = timeout
	}
	// The value is within the histogram's range, so there is no error.
	_ = r.latency.RecordValue(min(latency, 2*timeout).Microseconds())
}

// reason returns the reason of a refusal, or the kind of any other error.
func reason(err error) string {
	var refusal *jujubegate.Refusal
	switch {
	case errors.As(err, &refusal):
		return string(refusal.Reason)
	case errors.Is(err, context.DeadlineExceeded):
		return "Timeout"
	case errors.Is(err, errTooManyInFlight):
		return "TooMany"
	}
	return "Failed"
}
