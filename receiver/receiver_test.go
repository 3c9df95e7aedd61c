package receiver

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/estimator"
	"jujubegate.example/jujubegate/gatherer"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/sender"
)

var names = &connector.HeaderNames{RequestID: "X-Id", Budget: "X-Budget", Signature: "X-Signature", Parts: "X-Parts", PartsMissing: "X-Parts-Missing"}

func table() *router.Table {
	return router.New(4, []router.Route{
		{Name: "order", Host: "h", PathPrefix: "/o/", Timeout: time.Second, Backends: []router.Backend{{Service: "s", Weight: 1}}},
		{Name: "query", Host: "h", PathPrefix: "/q/", Timeout: time.Second, Idempotent: true, Gather: &router.Gather{Shards: []jujubegate.Service{"a", "b"}}},
	}, nil, router.Limits{HeaderBytes: 300, BodyBytes: 10}, nil)
}

func TestAnswers(t *testing.T) {
	// Guards against a status that says a request has not run although it may
	// have, and against a 404 by an instance whose configuration may be outdated.
	answered := sender.CallResult{OK: true, Outcome: jujubegate.Ran, Answer: connector.Answer{
		Status: 200, Body: []byte("body"), Signature: "s", Header: http.Header{"X-Signature": {"s"}, "Connection": {"x-hop"}, "X-Hop": {"1"}},
	}}
	cases := []struct {
		name, path, budget, body string
		noTable, outdated        bool
		callResult               sender.CallResult
		gatherResult             gatherer.Result
		status                   int
		retryAfter               bool
	}{
		{name: "answer", path: "/o/x", callResult: answered, status: 200},
		{name: "target's own failure", path: "/o/x", callResult: sender.CallResult{OK: true, Answer: connector.Answer{Status: 500, Signature: "f"}}, status: 500},
		{name: "not run", path: "/o/x", callResult: sender.CallResult{Outcome: jujubegate.NotRun, Reason: jujubegate.Shed}, status: 503, retryAfter: true},
		{name: "may have run", path: "/o/x", callResult: sender.CallResult{Outcome: jujubegate.Unknown, Reason: jujubegate.BadAnswer}, status: 502},
		{name: "late, may have run", path: "/o/x", callResult: sender.CallResult{Outcome: jujubegate.Unknown, Reason: jujubegate.DeadlinePassed}, status: 504},
		{name: "late, not run", path: "/o/x", callResult: sender.CallResult{Outcome: jujubegate.NotRun, Reason: jujubegate.DeadlinePassed}, status: 503, retryAfter: true},
		{name: "query", path: "/q/x", gatherResult: gatherer.Result{OK: true, Signatures: []string{"1", "2"}, Body: []byte("x")}, status: 200},
		{name: "query below the floor", path: "/q/x", gatherResult: gatherer.Result{Outcome: jujubegate.Unknown, Reason: jujubegate.NoCoverage}, status: 502},
		{name: "query while overloaded", path: "/q/x", gatherResult: gatherer.Result{Outcome: jujubegate.NotRun, Reason: jujubegate.Overloaded, RetryAfter: time.Second}, status: 503, retryAfter: true},
		{name: "no configuration", path: "/o/x", noTable: true, status: 503, retryAfter: true},
		{name: "no route", path: "/n/", status: 404},
		{name: "no route, configuration outdated", path: "/n/", outdated: true, status: 503, retryAfter: true},
		{name: "bad budget", path: "/o/x", budget: "soon", status: 400},
		{name: "budget used up", path: "/o/x", budget: "0", status: 503},
		{name: "budget equal to the reserve for the answer", path: "/o/x", budget: "10", callResult: answered, status: 503},
		{name: "headers just within the limit", path: "/o/" + strings.Repeat("x", 200), callResult: answered, status: 200},
		{name: "headers too large", path: "/o/" + strings.Repeat("x", 300), callResult: answered, status: 431},
		{name: "body too large", path: "/o/x", body: strings.Repeat("x", 11), status: 413},
	}
	Convey("A request", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				sent := 0
				r := New(Settings{
					Names: names, Clock: clockwork.NewRealClock(), Log: zap.NewNop(), Recorder: recorder.New(zap.NewNop(), false),
					Estimator: estimator.New(clockwork.NewRealClock()),
					Table: func() *router.Table {
						if c.noTable {
							return nil
						}
						return table()
					},
					Current: func() bool { return !c.outdated }, Leaving: func() bool { return false },
					Send:   func(context.Context, sender.Call) sender.CallResult { sent++; return c.callResult },
					Gather: func(context.Context, gatherer.Query) gatherer.Result { sent++; return c.gatherResult },
				})
				request := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
				request.Host = "h"
				request.Header.Set("X-Id", "id")
				if c.budget != "" {
					request.Header.Set("X-Budget", c.budget)
				}
				w := httptest.NewRecorder()
				r.ServeHTTP(w, request)
				So(w.Code, ShouldEqual, c.status)
				So(w.Header().Get("Retry-After") != "", ShouldEqual, c.retryAfter)
				So(w.Header().Get("Content-Length"), ShouldEqual, fmt.Sprint(w.Body.Len()))
				So(w.Header().Get("X-Hop"), ShouldEqual, "")
				if c.status == 400 || c.status == 404 || c.status == 413 {
					So(sent, ShouldEqual, 0)
				}
			})
		}
	})
}

func TestDeadline(t *testing.T) {
	// Guards against giving targets more time than is left, and against work that
	// goes on after the caller has disconnected.
	cases := []struct {
		name, budget string
		want         time.Duration
	}{
		{"caller's", "300", 300 * time.Millisecond},
		{"route's", "5000", time.Second},
		{"no budget header", "", time.Second},
	}
	Convey("The deadline is the earlier of the caller's and the route's", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var left time.Duration
				var ended bool
				r := New(Settings{
					Names: names, Clock: clockwork.NewRealClock(), Log: zap.NewNop(), Recorder: recorder.New(zap.NewNop(), false),
					Estimator: estimator.New(clockwork.NewRealClock()),
					Table:     table, Current: func() bool { return true }, Leaving: func() bool { return true },
					Send: func(ctx context.Context, call sender.Call) sender.CallResult {
						left = time.Until(call.Request.Deadline)
						<-ctx.Done()
						ended = true
						return sender.CallResult{Outcome: jujubegate.Unknown, Reason: jujubegate.Cancelled}
					},
				})
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
				defer cancel()
				request := httptest.NewRequest(http.MethodGet, "/o/x", nil).WithContext(ctx)
				request.Host = "h"
				request.Header.Set("X-Id", "id")
				if c.budget != "" {
					request.Header.Set("X-Budget", c.budget)
				}
				w := httptest.NewRecorder()
				r.ServeHTTP(w, request)
				So(ended, ShouldBeTrue)
				So(left, ShouldBeBetweenOrEqual, c.want-50*time.Millisecond, c.want)
				So(w.Header().Get("Connection"), ShouldEqual, "close")
			})
		}
	})
}

func TestHeadersInsideTheLimitCount(t *testing.T) {
	// Guards against headers that are refused although their bytes on the wire are within
	// the limit, as white space is counted that was not sent.
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost:h\r\n" + strings.Repeat("X:y\r\n", 100),
		"GET / HTTP/1.1\r\nHost: h\r\nX-Long:" + strings.Repeat("y", 1000) + "\r\n",
	} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		if n := headerBytes(r); n > len(head) || n < len(head)-len(" ") {
			t.Errorf("%d bytes, sent were %d", n, len(head))
		}
	}
}

// stalledBody is a body that does not come within the time of a read.
type stalledBody struct{}

func (stalledBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

func TestBodyThatDoesNotCome(t *testing.T) {
	// Guards against a 400, after which a caller does not try again, for a request whose body
	// came too slowly. A 408 says that it has not run.
	r := New(Settings{
		Names: names, Clock: clockwork.NewRealClock(), Log: zap.NewNop(), Recorder: recorder.New(zap.NewNop(), false),
		Estimator: estimator.New(clockwork.NewRealClock()),
		Table:     table, Current: func() bool { return true }, Leaving: func() bool { return false },
		Send: func(context.Context, sender.Call) sender.CallResult {
			t.Error("the request was sent")
			return sender.CallResult{}
		},
	})
	request := httptest.NewRequest(http.MethodPost, "/o/x", stalledBody{})
	request.Host = "h"
	request.Header.Set("X-Id", "id")
	w := httptest.NewRecorder()
	r.ServeHTTP(w, request)
	if w.Code != http.StatusRequestTimeout || w.Header().Get("Connection") != "close" {
		t.Errorf("status %d, Connection %q", w.Code, w.Header().Get("Connection"))
	}
}
