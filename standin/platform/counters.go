package platform

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
)

// counters counts calls and events. It is not published in the process-wide expvar
// registry, so that a process can run several platforms.
type counters struct {
	all       *expvar.Map
	calls     *expvar.Map
	instances *expvar.Map
	events    *expvar.Map
}

func newCounters() *counters {
	c := &counters{
		all:       new(expvar.Map),
		calls:     new(expvar.Map),
		instances: new(expvar.Map),
		events:    new(expvar.Map),
	}
	c.all.Set("Calls", c.calls)
	c.all.Set("Instances", c.instances)
	c.all.Set("Events", c.events)
	return c
}

// countCall counts a call of the given kind by an instance.
func (c *counters) countCall(kind, instance string) {
	c.calls.Add(kind, 1)
	if instance == "" {
		instance = "Unnamed"
	}
	c.instances.Add(instance+"."+kind, 1)
}

func (c *counters) countEvent(name string) { c.events.Add(name, 1) }

func (c *counters) serve(e echo.Context) error {
	return e.Blob(http.StatusOK, echo.MIMEApplicationJSON, fmt.Appendf(nil, `{"platform": %s}`, c.all))
}

// Calls returns the number of calls of the given kind, such as "Put".
func (p *Platform) Calls(kind string) int64 {
	n, ok := p.counters.calls.Get(kind).(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}
