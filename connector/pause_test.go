package connector

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestParsePause(t *testing.T) {
	// Guards against a pause that is not kept, and against one for ever because of text
	// that is no time.
	cases := []struct {
		name   string
		status int
		texts  []string
		want   Pause
	}{
		{"seconds", 503, []string{"3"}, Pause{true, true, 3 * time.Second}},
		{"fraction", 503, []string{"0.25"}, Pause{true, true, 250 * time.Millisecond}},
		{"zero", 503, []string{"0"}, Pause{true, true, 0}},
		{"negative", 503, []string{"-1"}, Pause{true, false, 0}},
		{"no number", 503, []string{"soon"}, Pause{true, false, 0}},
		{"not a number", 503, []string{"NaN"}, Pause{true, false, 0}},
		{"date", 503, []string{"Sat, 05 Dec 2026 09:00:00 GMT"}, Pause{true, false, 0}},
		{"huge", 503, []string{"1e300"}, Pause{true, true, maxPause}},
		{"twice", 503, []string{"1", "4"}, Pause{true, true, 4 * time.Second}},
		{"one of two is no number", 503, []string{"soon", "4"}, Pause{true, true, 4 * time.Second}},
		{"none", 503, nil, Pause{}},
		{"another status", 429, []string{"3"}, Pause{}},
	}
	Convey("A Retry-After of a target", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(parsePause(c.status, http.Header{"Retry-After": c.texts}), ShouldResemble, c.want) })
		}
	})
}
