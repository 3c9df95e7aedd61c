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

// quickSettings returns the settings of a target that is never cold, has no
// connection set-up time and takes 1 ms for each request.
func quickSettings() target.Settings {
	s := target.DefaultSettings()
	s.ColdLimit, s.ConnectMs, s.ServiceTimeMs, s.Sigma = 0, 0, 1, 0
	return s
}

// start starts a target and closes it at the end of the Convey scope.
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

// client sends requests to one target over connections of its own.
type client struct {
	address string
	http    *http.Client
}

func newClient(t *target.Target) *client {
	transport := &http.Transport{}
	Reset(transport.CloseIdleConnections)
	return &client{address: t.Address(), http: &http.Client{Transport: transport}}
}

// result is the result of one request; status 0 means that there was no complete
// response.
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
	res := result{status: response.StatusCode, body: data}
	if res.status == http.StatusOK {
		_ = json.Unmarshal(data, &res.answer)
	} else {
		_ = json.Unmarshal(data, &res.refusal)
	}
	return res
}

// query sends a query with a deadline of 1 s.
func (c *client) query(id string) result {
	return c.post(context.Background(), "/query", request(id))
}

func request(id string) target.Request {
	return target.Request{
		RequestID: id, Service: "DispatchDesk", Route: "Search", DeadlineMs: 1000, Body: json.RawMessage(`{"q": "` + id + `"}`),
	}
}

// queryConcurrently sends n queries concurrently and returns their results.
func (c *client) queryConcurrently(n int) []result {
	results := make([]result, n)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = c.query(fmt.Sprintf("r%d", i)) })
	}
	wg.Wait()
	return results
}

// queryOverlapping sends n queries that overlap at the target: it is stalled until
// the condition holds.
func (c *client) queryOverlapping(backEnd *target.Target, n int, condition func(s target.Stats) bool) []result {
	control(backEnd, `{"Stalled": true}`)
	results := make(chan []result)
	go func() { results <- c.queryConcurrently(n) }()
	eventually(func() bool { return condition(backEnd.Stats()) })
	control(backEnd, `{"Stalled": false}`)
	return <-results
}

// count returns the number of results with the status.
func count(results []result, status int) int {
	n := 0
	for _, r := range results {
		if r.status == status {
			n++
		}
	}
	return n
}

// control changes the settings to the given fields, in JSON.
func control(t *target.Target, set string) {
	So(t.Control(target.Control{Set: json.RawMessage(set)}), ShouldBeNil)
}

// eventually waits up to 2 s for the condition and fails the test otherwise.
func eventually(condition func() bool) {
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	So("condition not met within 2 s", ShouldEqual, "condition met")
}
