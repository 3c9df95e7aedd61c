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

// fakeInstance is a fake entry instance.
type fakeInstance struct {
	*httptest.Server
	mu       sync.Mutex
	requests []OrderRequest
	// reply answers queries and orders; if it is nil, the instance hangs until the
	// request is cancelled.
	reply func(w http.ResponseWriter)
}

func startInstance(t *testing.T, reply func(w http.ResponseWriter)) *fakeInstance {
	i := &fakeInstance{reply: reply}
	i.Server = httptest.NewServer(i)
	t.Cleanup(i.Close)
	return i
}

// received returns the requests so far.
func (i *fakeInstance) received() []OrderRequest {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]OrderRequest(nil), i.requests...)
}

func (i *fakeInstance) hostPort() string { return strings.TrimPrefix(i.URL, "http://") }

func (i *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// newAsker returns an asker that has already looked up the addresses and uses the
// first one next.
func newAsker(addresses ...string) *Asker {
	a := New(addresses, "", "desk", clockwork.NewRealClock())
	a.addresses, a.expires = addresses, time.Now().Add(time.Minute)
	a.next = len(addresses) - 1
	return a
}

func TestRetriesAtOtherAddresses(t *testing.T) {
	// Guards against a caller that waits for a paused instance until its timeout,
	// retries an order whose refusal does not say NotRun, or sets First on a retry
	// of an order that may have run.
	ran := answerJSON(OrderAnswer{Outcome: "Ran"}, http.StatusOK)
	leaving := answerJSON(RefusalBody{Reason: jujubegate.Leaving, Outcome: "NotRun"}, http.StatusServiceUnavailable)
	unknown := answerJSON(RefusalBody{Reason: jujubegate.TargetDown, Outcome: "Unknown"}, http.StatusServiceUnavailable)
	overloaded := answerJSON(RefusalBody{Reason: jujubegate.Overloaded, Outcome: "NotRun"}, http.StatusTooManyRequests)
	cases := []struct {
		name string
		// first is the reply of the first instance; the second replies with ran.
		first    func(w http.ResponseWriter)
		attempts int
		// wantFirst is the expected field First of the request to the second instance.
		wantFirst bool
		fails     bool
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
				a := newAsker(first.hostPort(), second.hostPort())
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := a.Order(ctx, OrderRequest{ID: "id", First: true})
				So(err != nil, ShouldEqual, c.fails)
				atFirst, atSecond := first.received(), second.received()
				So(atSecond, ShouldHaveLength, c.attempts)
				if c.attempts > 0 {
					So(atSecond[0].First, ShouldEqual, c.wantFirst)
					So(atSecond[0].ID, ShouldEqual, "id")
				}
				So(atFirst[0].First, ShouldBeTrue)
			})
		}
	})
}

func TestAvoidsFailedAddresses(t *testing.T) {
	// Guards against a lookup that makes the asker use an address again that has
	// just failed.
	Convey("An address that failed is avoided, unless there is no other", t, func() {
		a := newAsker("a", "b")
		a.markFailed("a")
		So(a.storeAddresses(AddressesAnswer{Addresses: []string{"a", "b"}}), ShouldEqual, "b")
		a.markFailed("b")
		a.storeAddresses(AddressesAnswer{Addresses: []string{"a", "b"}})
		So(a.addresses, ShouldResemble, []string{"a", "b"})
	})
}
