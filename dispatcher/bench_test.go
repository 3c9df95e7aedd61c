package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/dialer"
)

// BenchmarkSubRequest measures the CPU time of the dispatcher per sub-request,
// in batches of ten: what one of 110 owners gets at fan-out 1,100.
func BenchmarkSubRequest(b *testing.B) {
	const perBatch = 10
	d := New(Settings{
		MaySend: func(jujubegate.Address, time.Time) bool { return true },
		Allowed: func(jujubegate.Target) bool { return true },
		Open: func(_ jujubegate.Target, _ int, e Events) Link {
			return Link{
				Send: func(_ context.Context, r dialer.Request) dialer.Result {
					if refusal := r.Permit(); refusal != nil {
						return dialer.Result{Refusal: refusal}
					}
					return goodResult
				},
				SetBound: func(int, int) {}, SetConnections: func(int) {}, Close: func() {},
			}
		},
		Clock: clockwork.NewRealClock(),
	})
	batch := jujubegate.Batch{QueryID: "0190b5a0-0000-7000-8000-000000000000", Service: "Desk", Caller: "c", Priority: 2}
	var targets []jujubegate.Target
	for i := range perBatch {
		address := jujubegate.Address(fmt.Sprintf("10.0.0.%d:9000", i))
		targets = append(targets, jujubegate.Target{Address: address, Service: "Desk", Shard: i})
		batch.SubRequests = append(batch.SubRequests, jujubegate.SubRequest{Shard: i, Target: address, Attempt: 1})
	}
	d.Update(targets, []configurator.ServiceSpec{{Name: "Desk", Slots: 4, ColdLimit: 4, Connections: 25}})
	b.ReportAllocs()
	refused := 0
	for b.Loop() {
		batch.Deadline = time.Now().Add(time.Second)
		d.Do(context.Background(), batch, func(results []jujubegate.SubResult) {
			for i := range results {
				if results[i].Refusal != nil {
					refused++
				}
			}
		})
	}
	if refused > 0 {
		b.Errorf("%d sub-requests were refused", refused)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/perBatch, "ns/sub-request")
	d.Close(context.Background())
}
