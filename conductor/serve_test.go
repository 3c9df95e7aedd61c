package conductor

import (
	"testing"
	"time"

	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/receiver"
	"jujubegate.example/jujubegate/router"
)

func TestCallerLimits(t *testing.T) {
	// Guards against limits that callers inside those of the configuration exceed, also
	// before one is known, and against a configuration that is followed only by connections
	// which are opened later.
	c := &Conductor{}
	cases := []struct {
		name  string
		table *router.Table
		want  acceptor.Limits
	}{
		{"no configuration", nil, unconfiguredLimits},
		{"no limits", router.New(1, nil, nil, router.Limits{}, nil), unconfiguredLimits},
		{
			"all limits",
			router.New(2, nil, nil, router.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}, nil),
			acceptor.Limits{HeadBytes: 16384, HeadTime: 3750 * time.Millisecond, BodyTime: receiver.BodyTimeout, IdleTime: 15 * time.Second},
		},
		{
			"other limits",
			router.New(3, nil, nil, router.Limits{HeaderBytes: 100_000}, nil),
			acceptor.Limits{HeadBytes: 100_000, HeadTime: unconfiguredLimits.HeadTime, BodyTime: receiver.BodyTimeout, IdleTime: unconfiguredLimits.IdleTime},
		},
	}
	for _, test := range cases {
		c.table.Store(test.table)
		if got := c.callerLimits(); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
