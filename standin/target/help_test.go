package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"jujubegate.example/jujubegate/standin/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// quick returns settings of a warm target with short times.
func quick() target.Settings {
	s := target.DefaultSettings()
	s.ColdLimit, s.ConnectMs, s.ServiceTimeMs, s.Sigma = 0, 0, 1, 0
	return s
}

// start runs a target until the end of the Convey scope.
func start(s target.Settings) *target.Target {
	t, err := target.New(s, clockwork.NewRealClock(), zap.NewNop())
	So(err, ShouldBeNil)
	Reset(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = t.Close(ctx)
	})
	return t
}

// client sends requests on connections of its own.
type client struct {
	address string
	http    *http.Client
}

func newClient(t *target.Target) *client {
	transport := &http.Transport{}
	Reset(transport.CloseIdleConnections)
	return &client{address: t.Address(), http: &http.Client{Transport: transport}}
}

// result is the end of one request; status 0 means that the connection broke.
type result struct {
	status  int
	body    []byte
	answer  target.Answer
	refusal target.Refusal
}

func (c *client) post(ctx context.Context, path string, r target.Request) result {
	body, _ := json.Marshal(r)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	response, err := c.http.Do(request)
	if err != nil {
		return result{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return result{}
	}
	end := result{status: response.StatusCode, body: data}
	if end.status == http.StatusOK {
		_ = json.Unmarshal(data, &end.answer)
	} else {
		_ = json.Unmarshal(data, &end.refusal)
	}
	return end
}

// query sends a query with the deadline of a second.
func (c *client) query(id string) result {
	return c.post(context.Background(), "/query", request(id))
}

func request(id string) target.Request {
	return target.Request{
		RequestID: id, Service: "DispatchDesk", Route: "Search", DeadlineMs: 1000, Body: json.RawMessage(`{"q": "` + id + `"}`),
	}
}

// together sends queries at the same time.
func (c *client) together(n int) []result {
	results := make([]result, n)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = c.query(fmt.Sprintf("r%d", i)) })
	}
	wg.Wait()
	return results
}

// overlapping sends queries that all run or wait at the same time: the target
// is stalled until the condition holds.
func (c *client) overlapping(d *target.Target, n int, condition func(s target.Stats) bool) []result {
	control(d, `{"Stalled": true}`)
	results := make(chan []result)
	go func() { results <- c.together(n) }()
	eventually(func() bool { return condition(d.Stats()) })
	control(d, `{"Stalled": false}`)
	return <-results
}

func count(results []result, status int) int {
	n := 0
	for _, r := range results {
		if r.status == status {
			n++
		}
	}
	return n
}

// control changes settings given as JSON.
func control(t *target.Target, set string) {
	So(t.Control(target.Control{Set: json.RawMessage(set)}), ShouldBeNil)
}

// eventually waits up to 2 s until the condition holds.
func eventually(condition func() bool) {
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	So("the condition holds", ShouldEqual, "it doesn't")
}
