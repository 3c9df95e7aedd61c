package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"jujubegate.example/jujubegate/standin/platform"
	"jujubegate.example/jujubegate/storer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start serves a platform until the end of the Convey scope. It returns the
// platform, a client and the base URL.
func start(timeout time.Duration) (*platform.Platform, *storer.Client, string) {
	p := platform.New(clockwork.NewRealClock())
	server := httptest.NewServer(p)
	address := server.Listener.Addr().String()
	client, err := storer.New(storer.Settings{Addresses: []string{address}, Instance: "sliven-1", Timeout: timeout, CallsPerSecond: 1e6})
	So(err, ShouldBeNil)
	Reset(func() {
		client.Close()
		p.SetFaults(platform.Faults{})
		server.Close()
	})
	return p, client, "http://" + address
}

// send sends a request with a JSON body and returns the status and the body of the
// response.
func send(method, url, body string) (int, string) {
	r, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	So(err, ShouldBeNil)
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	return response.StatusCode, string(data)
}

func TestFaults(t *testing.T) {
	// Guards against faults that have no effect, or that the client reports as a
	// different error.
	ctx := context.Background()
	cases := []struct {
		name   string
		faults platform.Faults
		want   error
		// applied is true if the write takes effect, perhaps after the client timed
		// out.
		applied bool
	}{
		{"none", platform.Faults{}, nil, true},
		{"latency", platform.Faults{LatencyMs: 30}, nil, true},
		{"latency above the timeout", platform.Faults{LatencyMs: 300}, storer.ErrUnknown, true},
		{"refusing outage", platform.Faults{Outage: platform.OutageRefuse}, storer.ErrUnavailable, false},
		{"hanging outage", platform.Faults{Outage: platform.OutageHang}, storer.ErrUnknown, false},
		{"lost answers", platform.Faults{LostAnswers: 1}, storer.ErrUnknown, true},
	}
	Convey("A write during", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				p, client, _ := start(150 * time.Millisecond)
				p.SetFaults(c.faults)
				began := time.Now()
				_, err := client.Put(ctx, "k", []byte("v"), 0)
				So(errors.Is(err, c.want), ShouldBeTrue)
				if c.want == nil {
					So(time.Since(began).Milliseconds(), ShouldBeGreaterThanOrEqualTo, int64(c.faults.LatencyMs))
				}
				time.Sleep(200 * time.Millisecond)
				_, err = p.Objects().Get(ctx, "k")
				So(err == nil, ShouldEqual, c.applied)
			})
		}
		Convey("the disconnection of its client takes effect", func() {
			p := platform.New(clockwork.NewRealClock())
			cancelled, cancel := context.WithCancel(ctx)
			cancel()
			r := httptest.NewRequest(http.MethodPut, "/objects", bytes.NewReader([]byte(`{"Key": "k", "Value": ""}`)))
			p.ServeHTTP(httptest.NewRecorder(), r.WithContext(cancelled))
			_, err := p.Objects().Get(ctx, "k")
			So(err, ShouldBeNil)
		})
		Convey("an outage that ends a waiting watch succeeds after the outage", func() {
			p, client, _ := start(time.Second)
			go func() {
				time.Sleep(20 * time.Millisecond)
				p.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
			}()
			_, err := client.Watch(ctx, "", 0, time.Minute)
			So(errors.Is(err, storer.ErrUnavailable), ShouldBeTrue)
			p.SetFaults(platform.Faults{})
			_, err = client.Put(ctx, "k", nil, 0)
			So(err, ShouldBeNil)
		})
		Convey("lost answers with a seed loses the same answers in each run", func() {
			run := func() string {
				p, client, _ := start(time.Second)
				p.SetFaults(platform.Faults{LostAnswers: 0.5, Seed: 7})
				lost := ""
				for i := range 20 {
					_, err := client.Put(ctx, fmt.Sprint(i), nil, 0)
					lost += fmt.Sprint(err == nil, " ")
				}
				return lost
			}
			first := run()
			So(first, ShouldContainSubstring, "true")
			So(first, ShouldContainSubstring, "false")
			So(run(), ShouldEqual, first)
		})
	})
}

func TestRateLimits(t *testing.T) {
	// Guards against limits that are not enforced, or that count reads as writes.
	ctx := context.Background()
	Convey("Above the limits", t, func() {
		p, client, _ := start(time.Second)
		p.SetFaults(platform.Faults{WritesPerSecond: 5, ReadsPerSecond: 20})
		count := func(call func(i int) error) int {
			n := 0
			for i := range 60 {
				err := call(i)
				if err == nil || errors.Is(err, storer.ErrNotFound) {
					n++
				} else {
					So(errors.Is(err, storer.ErrUnavailable), ShouldBeTrue)
				}
			}
			return n
		}
		writes := count(func(i int) error {
			_, err := client.Put(ctx, fmt.Sprint(i), nil, 0)
			return err
		})
		reads := count(func(i int) error {
			_, err := client.Get(ctx, "none")
			return err
		})
		// The limit allows a burst of one second's calls, and more as the test runs.
		So(writes, ShouldBeBetweenOrEqual, 5, 10)
		So(reads, ShouldBeBetweenOrEqual, 20, 40)
	})
}

func TestCounters(t *testing.T) {
	// Guards against calls, also those of an idle instance, that are missing from the
	// counts per kind and instance.
	ctx := context.Background()
	Convey("Calls are counted at /debug/vars", t, func() {
		p, client, url := start(time.Second)
		_, _ = client.Put(ctx, "k", nil, 0)
		_, _ = client.Put(ctx, "k", nil, 0)
		_, _ = client.Get(ctx, "k")
		_, _ = client.List(ctx, "", "", 10)
		_, _ = client.Watch(ctx, "", 0, 0)
		_ = client.Delete(ctx, "k", 1)
		p.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		_, _ = client.Get(ctx, "k")
		send(http.MethodGet, url+"/instances", "")
		_, body := send(http.MethodGet, url+"/debug/vars", "")
		var vars struct {
			Platform struct {
				Calls, Events, Instances map[string]int64
			}
		}
		So(json.Unmarshal([]byte(body), &vars), ShouldBeNil)
		So(vars.Platform.Calls, ShouldResemble, map[string]int64{"Put": 2, "Get": 2, "List": 1, "Watch": 1, "Delete": 1, "Instances": 1})
		So(vars.Platform.Events, ShouldResemble, map[string]int64{"Conflicts": 1, "Refused": 1})
		So(vars.Platform.Instances["sliven-1.Get"], ShouldEqual, 2)
		So(vars.Platform.Instances["Unnamed.Instances"], ShouldEqual, 1)
		So(p.Calls("Put"), ShouldEqual, 2)
	})
}

func TestStatusCodes(t *testing.T) {
	// Guards against invalid calls that are applied or reported as successful.
	cases := []struct {
		name, method, path, body string
		want                     int
	}{
		{"put without key", http.MethodPut, "/objects", `{"Value": ""}`, 400},
		{"put with unknown field", http.MethodPut, "/objects", `{"Key": "k", "Vers": 1}`, 400},
		{"put of 2 MiB", http.MethodPut, "/objects", `{"Key": "k", "Value": "` + string(bytes.Repeat([]byte("A"), 2<<20)) + `"}`, 413},
		{"delete without version", http.MethodDelete, "/objects?Key=k", "", 400},
		{"list without limit", http.MethodGet, "/list?Prefix=", "", 400},
		{"watch for an hour", http.MethodGet, "/watch?Prefix=&After=0&WaitMs=3600000", "", 400},
		{"unknown outage", http.MethodPut, "/faults", `{"Outage": "Sleep"}`, 400},
		{"share above 1", http.MethodPut, "/faults", `{"LostAnswers": 2}`, 400},
		{"unknown kind", http.MethodPut, "/instances/x", `{"Kind": "Router"}`, 400},
		{"faults", http.MethodPut, "/faults", `{"LatencyMs": 1}`, 200},
		{"instance", http.MethodPut, "/instances/127.0.0.1:9", `{"Kind": "Target"}`, 204},
	}
	Convey("The answer to", t, func() {
		_, _, url := start(time.Second)
		for _, c := range cases {
			status, _ := send(c.method, url+c.path, c.body)
			SoMsg(c.name, status, ShouldEqual, c.want)
		}
	})
}

func TestInstancesLag(t *testing.T) {
	// Guards against a list that lags less than InstancesLagMs, or that never
	// catches up.
	Convey("The list lags by InstancesLagMs", t, func() {
		clock := clockwork.NewFakeClock()
		p := platform.New(clock)
		p.SetFaults(platform.Faults{InstancesLagMs: 5000})
		list := func() string {
			w := httptest.NewRecorder()
			p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/instances", nil))
			var m struct{ Live, Leaving []platform.Entry }
			So(json.Unmarshal(w.Body.Bytes(), &m), ShouldBeNil)
			return fmt.Sprint(len(m.Live), len(m.Leaving))
		}
		p.PutInstance(platform.Entry{Name: "a"})
		steps := []struct {
			after  time.Duration
			change func()
			want   string
		}{
			{0, func() {}, "0 0"},
			{4 * time.Second, func() { p.PutInstance(platform.Entry{Name: "a", Leaving: true}) }, "0 0"},
			{time.Second, func() {}, "1 0"},
			{3 * time.Second, func() { p.DeleteInstance("a") }, "1 0"},
			{time.Second, func() {}, "0 1"},
			{4 * time.Second, func() {}, "0 0"},
		}
		for _, step := range steps {
			clock.Advance(step.after)
			step.change()
			So(list(), ShouldEqual, step.want)
		}
		p.PutInstance(platform.Entry{Name: "b"})
		p.SetFaults(platform.Faults{})
		So(list(), ShouldEqual, "1 0")
	})
}
