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

// fastClock is a real clock whose timers run a hundred times as fast.
type fastClock struct{ clockwork.Clock }

// After fires after a hundredth of the duration.
func (c fastClock) After(d time.Duration) <-chan time.Time { return c.Clock.After(d / 100) }

// scriptedResult is the response to, or the error of, one attempt.
type scriptedResult struct {
	status int
	body   string
	err    error
}

func TestSend(t *testing.T) {
	// Guards against statements that are sent under two tokens, which could apply
	// them twice, and against a report of "no effect" after a lost answer.
	accepted := scriptedResult{200, `{"Generation":7,"Results":[{"Kind":"Accepted"}]}`, nil}
	conflict := scriptedResult{409, `{"Error":{"Code":"Conflict","Message":"won by maria"}}`, nil}
	unavailable := scriptedResult{503, `{"Error":{"Code":"StoreUnavailable","Message":"down"}}`, nil}
	unknown := scriptedResult{504, `{"Generation":7,"Error":{"Code":"OutcomeUnknown","Message":"lost"}}`, nil}
	findings := scriptedResult{422, `{"Findings":[{"Message":"x"}],"Error":{"Code":"BadStatement"}}`, nil}
	refused := scriptedResult{0, "", &net.OpError{Op: "dial", Err: errors.New("refused")}}
	reset := scriptedResult{0, "", &net.OpError{Op: "read", Err: errors.New("reset")}}
	truncated := scriptedResult{200, `{"Gener`, nil}
	cases := []struct {
		name    string
		replies []scriptedResult
		dryRun  bool
		code    Code
		// attempts is the expected number of requests.
		attempts    int
		unreachable bool
	}{
		{"accepted", []scriptedResult{accepted}, false, "", 1, false},
		{"conflict", []scriptedResult{conflict}, false, CodeConflict, 1, false},
		{"findings", []scriptedResult{findings}, false, CodeBadStatement, 1, false},
		{"refused connection, then accepted", []scriptedResult{refused, accepted}, false, "", 2, false},
		{"refused connection, then conflict", []scriptedResult{refused, conflict}, false, CodeConflict, 2, false},
		{"store unavailable there, then accepted", []scriptedResult{unavailable, accepted}, false, "", 2, false},
		{"store unavailable", []scriptedResult{unavailable}, false, CodeStoreUnavailable, 6, false},
		{"no instance", []scriptedResult{refused}, false, "", 6, true},
		{"lost answer, then accepted", []scriptedResult{reset, accepted}, false, "", 2, false},
		{"truncated answer, then accepted", []scriptedResult{truncated, accepted}, false, "", 2, false},
		{"lost answer, then conflict", []scriptedResult{reset, conflict}, false, CodeOutcomeUnknown, 2, false},
		{"lost answer, then findings", []scriptedResult{reset, findings}, false, CodeOutcomeUnknown, 2, false},
		{"lost answer, then no instance", []scriptedResult{reset, refused}, false, CodeOutcomeUnknown, 6, false},
		{"lost answer, then store unavailable", []scriptedResult{reset, unavailable}, false, CodeOutcomeUnknown, 6, false},
		{"unknown, then accepted", []scriptedResult{unknown, accepted}, false, "", 2, false},
		{"unknown", []scriptedResult{unknown}, false, CodeOutcomeUnknown, 6, false},
		{"other answer", []scriptedResult{{502, "{}", nil}}, false, CodeOutcomeUnknown, 6, false},
		{"dry run, lost answer", []scriptedResult{reset}, true, "", 6, true},
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
	Convey("Wait polls until the generation is in force", t, func() {
		polls := 0
		client := NewClient([]string{"a:1"}, fastClock{clockwork.NewRealClock()})
		client.Do = func(r *http.Request) (*http.Response, error) {
			polls++
			So(r.URL.String(), ShouldEqual, "http://a:1/v1/inforce?Generation=7")
			body := `{"InForce":false,"Missing":["b"]}`
			switch polls {
			case 1:
				return nil, errors.New("reset")
			case 4:
				body = `{"InForce":true,"Confirmed":["a","b"]}`
			}
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
		}
		state, err := client.Wait(context.Background(), 7)
		So(err, ShouldBeNil)
		So(polls, ShouldEqual, 4)
		So(state.Confirmed, ShouldResemble, []instance{"a", "b"})
	})
}
