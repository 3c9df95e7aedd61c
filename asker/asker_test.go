package asker

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

// instance is a fake entry instance.
type instance struct {
	*httptest.Server
	mu       sync.Mutex
	requests []OrderRequest
	// reply answers queries and orders; nil hangs until the caller gives up.
	reply func(w http.ResponseWriter)
}

func startInstance(t *testing.T, reply func(w http.ResponseWriter)) *instance {
	i := &instance{reply: reply}
	i.Server = httptest.NewServer(i)
	t.Cleanup(i.Close)
	return i
}

func (i *instance) address() string { return strings.TrimPrefix(i.URL, "http://") }

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request OrderRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	i.mu.Lock()
	i.requests = append(i.requests, request)
	i.mu.Unlock()
	if i.reply == nil {
		<-r.Context().Done()
		return
	}
	i.reply(w)
}

func answerJSON(value any, status int) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(value)
	}
}

// newAsker returns an asker that was given the addresses already.
func newAsker(addresses ...string) *Asker {
	a := New(addresses, "", "desk", clockwork.NewRealClock())
	a.addresses, a.expires = addresses, time.Now().Add(time.Minute)
	a.next = len(addresses) - 1
	return a
}

func TestTriesOtherAddresses(t *testing.T) {
	// Guards against a caller that waits for a paused instance, that repeats an
	// order whose refusal does not say "not run", or that marks a repeat as the
	// first request.
	ran := answerJSON(OrderAnswer{Outcome: "Ran"}, http.StatusOK)
	leaving := answerJSON(RefusalBody{Reason: jujubegate.Leaving, Outcome: "NotRun"}, http.StatusServiceUnavailable)
	unknown := answerJSON(RefusalBody{Reason: jujubegate.TargetDown, Outcome: "Unknown"}, http.StatusServiceUnavailable)
	overloaded := answerJSON(RefusalBody{Reason: jujubegate.Overloaded, Outcome: "NotRun"}, http.StatusTooManyRequests)
	cases := []struct {
		name string
		// first is the reply of the first instance; the second one's is ran.
		first func(w http.ResponseWriter)
		tries int
		// marked is the mark First of the second request.
		marked bool
		fails  bool
	}{
		{"a leaving instance", leaving, 1, true, false},
		{"a paused instance", nil, 1, false, false},
		{"an unknown outcome", unknown, 0, false, true},
		{"an overloaded service", overloaded, 0, false, true},
	}
	Convey("An order is sent to another address only if that is safe and useful", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				first, second := startInstance(t, c.first), startInstance(t, ran)
				a := newAsker(first.address(), second.address())
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := a.Order(ctx, OrderRequest{ID: "id", First: true})
				So(err != nil, ShouldEqual, c.fails)
				So(second.requests, ShouldHaveLength, c.tries)
				if c.tries > 0 {
					So(second.requests[0].First, ShouldEqual, c.marked)
					So(second.requests[0].ID, ShouldEqual, "id")
				}
				So(first.requests[0].First, ShouldBeTrue)
			})
		}
	})
}

func TestAvoidsFailedAddresses(t *testing.T) {
	// Guards against a look-up that brings back an address that just failed.
	Convey("An address that failed is avoided, unless there is no other", t, func() {
		a := newAsker("a", "b")
		a.forget("a")
		So(a.keep(AddressesAnswer{Addresses: []string{"a", "b"}}), ShouldEqual, "b")
		a.forget("b")
		a.keep(AddressesAnswer{Addresses: []string{"a", "b"}})
		So(a.addresses, ShouldResemble, []string{"a", "b"})
	})
}
