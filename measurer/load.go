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

// Ask sends one query and reports whether its answer was whole.
type Ask func(ctx context.Context, n int) (whole bool, err error)

// Load is an open-loop load: arrivals do not wait for answers.
type Load struct {
	// Rate is the mean number of queries a second; arrivals are Poisson.
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
	Seed     uint64
	// MaxInFlight bounds the queries in flight; arrivals over it count as failed.
	MaxInFlight int
}

// Outcome is what became of the queries of a load. The latency of a query
// without a whole answer counts as the timeout.
type Outcome struct {
	Sent    int
	Whole   int
	Partial int
	Failed  int
	Elapsed time.Duration
	// Reasons counts the queries without an answer by reason.
	Reasons map[string]int

	latency *hdrhistogram.Histogram
}

// Quantile returns a latency quantile, q from 0 to 100.
func (o *Outcome) Quantile(q float64) time.Duration {
	return time.Duration(o.latency.ValueAtQuantile(q)) * time.Microsecond
}

// WholeShare returns the share of queries with a whole answer.
func (o *Outcome) WholeShare() float64 { return float64(o.Whole) / float64(max(o.Sent, 1)) }

// Goodput returns the whole answers a second.
func (o *Outcome) Goodput() float64 { return float64(o.Whole) / o.Elapsed.Seconds() }

// Run sends the load and waits for all answers.
func (l Load) Run(ctx context.Context, ask Ask) *Outcome {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	outcome := &Outcome{Reasons: make(map[string]int), latency: hdrhistogram.New(1, (2 * l.Timeout).Microseconds(), 3)}
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
		outcome.Sent++
		full := inFlight >= l.MaxInFlight
		if full {
			outcome.add(false, errTooMany, l.Timeout, l.Timeout)
		} else {
			inFlight++
		}
		mu.Unlock()
		if full {
			continue
		}
		due := next
		answers.Go(func() {
			call, cancel := context.WithTimeout(ctx, l.Timeout)
			whole, err := ask(call, n)
			cancel()
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			inFlight--
			outcome.add(whole, err, took, l.Timeout)
		})
	}
	answers.Wait()
	outcome.Elapsed = max(time.Since(start), l.Duration)
	return outcome
}

type loadError string

func (e loadError) Error() string { return string(e) }

const errTooMany loadError = "too many queries in flight"

func (o *Outcome) add(whole bool, err error, took, timeout time.Duration) {
	switch {
	case err != nil:
		o.Failed++
		o.Reasons[reason(err)]++
	case whole:
		o.Whole++
	default:
		o.Partial++
	}
	if err != nil || !whole {
		took = timeout
	}
	// The value is bounded by the histogram's range.
	_ = o.latency.RecordValue(min(took, 2*timeout).Microseconds())
}

// reason returns the reason of a refusal, or the kind of another error.
func reason(err error) string {
	var refusal *jujubegate.Refusal
	switch {
	case errors.As(err, &refusal):
		return string(refusal.Reason)
	case errors.Is(err, context.DeadlineExceeded):
		return "Timeout"
	case errors.Is(err, errTooMany):
		return "TooMany"
	}
	return "Failed"
}
