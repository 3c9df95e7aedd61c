package server

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/asker"
)

func newTestServer() *Server {
	s := New(zap.NewNop())
	s.MaxInFlight = 10
	s.Refusing = func() *jujubegate.Refusal { return nil }
	s.Addresses = func(jujubegate.DataCentre, jujubegate.Caller) asker.AddressesAnswer {
		return asker.AddressesAnswer{Addresses: []string{"127.0.0.1:1"}}
	}
	s.Vars = http.NotFoundHandler()
	s.Query = func(context.Context, asker.QueryRequest) (asker.QueryAnswer, *jujubegate.Refusal) {
		return asker.QueryAnswer{Rows: json.RawMessage("[]")}, nil
	}
	return s
}

func TestRefusesBeforeWork(t *testing.T) {
	// Guards against bad input that reaches the targets, and against a refusal
	// without a reason, an outcome or the position of the error.
	const good = `{"Service":"Desk","Route":"Search"}`
	cases := []struct {
		name   string
		change func(s *Server)
		body   string
		status int
		reason jujubegate.Reason
		detail string
	}{
		{"good", func(*Server) {}, good, http.StatusOK, "", ""},
		{"not JSON", func(*Server) {}, `{"Service":`, http.StatusBadRequest, jujubegate.BadRequest, "offset"},
		{"unknown field", func(*Server) {}, `{"Servce":"Desk"}`, http.StatusBadRequest, jujubegate.BadRequest, `"Servce"`},
		{"wrong type", func(*Server) {}, `{"Service":7}`, http.StatusBadRequest, jujubegate.BadRequest, `"Service" is a number`},
		{"trailing data", func(*Server) {}, good + "x", http.StatusBadRequest, jujubegate.BadRequest, "after the JSON value"},
		{"negative timeout", func(*Server) {}, `{"TimeoutMs":-1}`, http.StatusBadRequest, jujubegate.BadRequest, "TimeoutMs is -1"},
		{"too large", func(*Server) {}, `{"Service":"` + strings.Repeat("x", 2000) + `"}`, http.StatusBadRequest, jujubegate.BadRequest, "larger than 1000 bytes"},
		{"leaving", func(s *Server) {
			s.Refusing = func() *jujubegate.Refusal {
				return &jujubegate.Refusal{Reason: jujubegate.Leaving, Outcome: jujubegate.NotRun}
			}
		}, good, http.StatusServiceUnavailable, jujubegate.Leaving, ""},
		{"too many in flight", func(s *Server) { s.MaxInFlight = 0 }, good, http.StatusTooManyRequests, jujubegate.Overloaded, "serves 0"},
	}
	Convey("A request is refused with its reason before it runs", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newTestServer()
				c.change(s)
				w := httptest.NewRecorder()
				s.Handler(1000).ServeHTTP(w, httptest.NewRequest(http.MethodPost, asker.QueryPath, strings.NewReader(c.body)))
				So(w.Code, ShouldEqual, c.status)
				if c.status == http.StatusOK {
					return
				}
				var body asker.RefusalBody
				So(json.Unmarshal(w.Body.Bytes(), &body), ShouldBeNil)
				So(body.Reason, ShouldEqual, c.reason)
				So(body.Outcome, ShouldEqual, "NotRun")
				So(body.Detail, ShouldContainSubstring, c.detail)
				So(len(body.Addresses) > 0, ShouldEqual, c.reason == jujubegate.Leaving)
				So(s.InFlight(), ShouldEqual, 0)
			})
		}
	})
}

// bodyWithoutMemory is a body for which there is no memory at present.
type bodyWithoutMemory struct{}

func (bodyWithoutMemory) Read([]byte) (int, error) { return 0, acceptor.ErrNoMemory }

func TestBodyWithoutMemory(t *testing.T) {
	// Guards against a request that is called bad, and so not repeated, for lack of memory.
	w := httptest.NewRecorder()
	newTestServer().Handler(1000).ServeHTTP(w, httptest.NewRequest(http.MethodPost, asker.QueryPath, bodyWithoutMemory{}))
	var body asker.RefusalBody
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if w.Code != http.StatusTooManyRequests || body.Reason != jujubegate.Overloaded || body.Outcome != jujubegate.NotRun.String() {
		t.Errorf("status %d, %+v", w.Code, body)
	}
}
