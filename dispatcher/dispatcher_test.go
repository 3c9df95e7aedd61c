package dispatcher

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var spec = configurator.ServiceSpec{Name: "Desk", Shards: 1, Slots: 2, Connections: 25, ColdLimit: 1}

func TestDoOverHTTP(t *testing.T) {
	// Guards against a dispatcher and a dialer that do not fit together.
	Convey("A batch against an HTTP target", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/load" {
				_, _ = w.Write([]byte(`{"State":"Warm","Snapshots":[7]}`))
				return
			}
			var m map[string]any
			_ = json.NewDecoder(r.Body).Decode(&m)
			_ = json.NewEncoder(w).Encode(map[string]any{
				"RequestId": m["RequestId"], "Shard": m["Shard"], "Snapshot": m["Snapshot"],
				"RangeStart": 0, "RangeEnd": 1 << 32, "Rows": []any{m["Body"]},
			})
		}))
		defer server.Close()
		address := jujubegate.Address(strings.TrimPrefix(server.URL, "http://"))
		target := jujubegate.Target{Address: address, Service: "Desk", Shard: 0}
		d := New(Settings{
			MaySend: func(jujubegate.Address, time.Time) bool { return true },
			Allowed: func(jujubegate.Target) bool { return true },
			Clock:   clockwork.NewRealClock(),
		})
		d.Update([]jujubegate.Target{target}, []configurator.ServiceSpec{spec})
		var results []jujubegate.SubResult
		d.Do(context.Background(), jujubegate.Batch{
			QueryID: "q", Service: "Desk", Route: "Search", Caller: "c", Snapshot: 7,
			Deadline: time.Now().Add(time.Second), Body: []byte(`{"a":1}`),
			SubRequests: []jujubegate.SubRequest{{Target: address, Attempt: 1}, {Target: "elsewhere:1", Attempt: 1}},
		}, func(rs []jujubegate.SubResult) { results = append(results, rs...) })
		So(results, ShouldHaveLength, 2)
		for _, r := range results {
			if r.Target == address {
				So(r.Refusal, ShouldBeNil)
				So(string(r.Rows), ShouldEqual, `[{"a":1}]`)
				So(r.Snapshot, ShouldEqual, 7)
			} else {
				So(r.Refusal.Reason, ShouldEqual, jujubegate.NotOwner)
				So(r.Refusal.Outcome, ShouldEqual, jujubegate.NotRun)
			}
		}
		So(d.InFlight(), ShouldEqual, 0)
		d.Close(context.Background())
	})
}
