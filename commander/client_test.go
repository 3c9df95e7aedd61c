package commander

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

type instance = jujubegate.Instance

// fastClock is a real clock on which waits take a hundredth of their time.
type fastClock struct{ clockwork.Clock }

// After waits for a hundredth of the duration.
func (c fastClock) After(d time.Duration) <-chan time.Time { return c.Clock.After(d / 100) }

// reply is what one attempt gives.
type reply struct {
	status int
	body   string
	err    error
}

func TestSend(t *testing.T) {
	// Guards against statements that are sent twice under two tokens, and
	// against a report of "no effect" after a lost answer.
	accepted := reply{200, `{"Generation":7,"Results":[{"Kind":"Accepted"}]}`, nil}
	conflict := reply{409, `{"Error":{"Code":"Conflict","Message":"won by maria"}}`, nil}
	unavailable := reply{503, `{"Error":{"Code":"StoreUnavailable","Message":"down"}}`, nil}
	unknown := reply{504, `{"Generation":7,"Error":{"Code":"OutcomeUnknown","Message":"lost"}}`, nil}
	findings := reply{422, `{"Findings":[{"Message":"x"}],"Error":{"Code":"BadStatement"}}`, nil}
	refused := reply{0, "", &net.OpError{Op: "dial", Err: errors.New("refused")}}
	reset := reply{0, "", &net.OpError{Op: "read", Err: errors.New("reset")}}
	cut := reply{200, `{"Gener`, nil}
	cases := []struct {
		name    string
		replies []reply
		dryRun  bool
		code    Code
		// attempts is the number of requests that are sent.
		attempts    int
		unreachable bool
	}{
		{"accepted", []reply{accepted}, false, "", 1, false},
		{"conflict", []reply{conflict}, false, CodeConflict, 1, false},
		{"findings", []reply{findings}, false, CodeBadStatement, 1, false},
		{"refused connection, then accepted", []reply{refused, accepted}, false, "", 2, false},
		{"refused connection, then conflict", []reply{refused, conflict}, false, CodeConflict, 2, false},
		{"store unavailable there, then accepted", []reply{unavailable, accepted}, false, "", 2, false},
		{"store unavailable", []reply{unavailable}, false, CodeStoreUnavailable, 6, false},
		{"no instance", []reply{refused}, false, "", 6, true},
		{"lost answer, then accepted", []reply{reset, accepted}, false, "", 2, false},
		{"cut answer, then accepted", []reply{cut, accepted}, false, "", 2, false},
		{"lost answer, then conflict", []reply{reset, conflict}, false, CodeOutcomeUnknown, 2, false},
		{"lost answer, then findings", []reply{reset, findings}, false, CodeOutcomeUnknown, 2, false},
		{"lost answer, then no instance", []reply{reset, refused}, false, CodeOutcomeUnknown, 6, false},
		{"lost answer, then store unavailable", []reply{reset, unavailable}, false, CodeOutcomeUnknown, 6, false},
		{"unknown, then accepted", []reply{unknown, accepted}, false, "", 2, false},
		{"unknown", []reply{unknown}, false, CodeOutcomeUnknown, 6, false},
		{"other answer", []reply{{502, "{}", nil}}, false, CodeOutcomeUnknown, 6, false},
		{"dry run, lost answer", []reply{reset}, true, "", 6, true},
	}
	Convey("Attempts", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				tokens := map[string]int{}
				hosts := map[string]int{}
				attempts := 0
				client := NewClient([]string{"a:1", "http://b:2/"}, fastClock{clockwork.NewRealClock()})
				client.Do = func(r *http.Request) (*http.Response, error) {
					var request Request
					if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
						return nil, err
					}
					tokens[request.Token]++
					hosts[r.URL.Host+r.URL.Path]++
					given := c.replies[min(attempts, len(c.replies)-1)]
					attempts++
					if given.err != nil {
						return nil, given.err
					}
					return &http.Response{StatusCode: given.status, Body: io.NopCloser(strings.NewReader(given.body))}, nil
				}
				response, err := client.Send(context.Background(), Request{Statements: "x", DryRun: c.dryRun})
				var unreachable *UnreachableError
				So(errors.As(err, &unreachable), ShouldEqual, c.unreachable)
				So(attempts, ShouldEqual, c.attempts)
				So(tokens, ShouldHaveLength, 1)
				So(hosts["a:1"+StatementsPath], ShouldEqual, (c.attempts+1)/2)
				So(hosts["b:2"+StatementsPath], ShouldEqual, c.attempts/2)
				if c.code == "" {
					So(response.Error, ShouldBeNil)
				} else {
					So(response.Error.Code, ShouldEqual, c.code)
				}
			})
		}
	})
}

func TestWait(t *testing.T) {
	// Guards against an early report that a generation is in force.
	Convey("Wait asks until the generation is in force", t, func() {
		questions := 0
		client := NewClient([]string{"a:1"}, fastClock{clockwork.NewRealClock()})
		client.Do = func(r *http.Request) (*http.Response, error) {
			questions++
			So(r.URL.String(), ShouldEqual, "http://a:1/v1/inforce?Generation=7")
			body := `{"InForce":false,"Missing":["b"]}`
			switch questions {
			case 1:
				return nil, errors.New("reset")
			case 4:
				body = `{"InForce":true,"Confirmed":["a","b"]}`
			}
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
		}
		state, err := client.Wait(context.Background(), 7)
		So(err, ShouldBeNil)
		So(questions, ShouldEqual, 4)
		So(state.Confirmed, ShouldResemble, []instance{"a", "b"})
	})
}
