package platform

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"jujubegate.example/jujubegate"
)

// Kinds of an entry.
const (
	KindInstance = "Instance"
	KindTarget   = "Target"
)

// Entry is one process in the list of instances.
type Entry struct {
	// Name identifies the entry; that of a target is its address.
	Name string
	// Kind is KindInstance or KindTarget; empty means KindInstance.
	Kind          string
	DataCentre    string
	PeerAddress   string
	CallerAddress string
	Leaving       bool
}

// maxStates bounds the remembered states of the list.
const maxStates = 4096

// state is the list since a time.
type state struct {
	since   time.Time
	entries map[string]Entry
}

// instances is the list of instances with its past states.
type instances struct {
	clock jujubegate.Clock

	mu     sync.Mutex
	lag    time.Duration
	states []state
}

func newInstances(clock jujubegate.Clock) *instances {
	return &instances{clock: clock, states: []state{{entries: map[string]Entry{}}}}
}

func (i *instances) setLag(lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lag = lag
}

func (i *instances) change(edit func(entries map[string]Entry)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	entries := maps.Clone(i.states[len(i.states)-1].entries)
	edit(entries)
	i.states = append(i.states, state{since: i.clock.Now(), entries: entries})
	if len(i.states) > maxStates {
		i.states = slices.Delete(i.states, 0, len(i.states)-maxStates)
	}
}

// seen returns the list as it was before the lag, sorted by name.
func (i *instances) seen() []Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	at := i.clock.Now().Add(-i.lag)
	n := len(i.states) - 1
	for n > 0 && i.states[n].since.After(at) {
		n--
	}
	return slices.SortedFunc(maps.Values(i.states[n].entries), func(a, b Entry) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// PutInstance adds or replaces an entry.
func (p *Platform) PutInstance(e Entry) {
	if e.Kind == "" {
		e.Kind = KindInstance
	}
	p.instances.change(func(entries map[string]Entry) { entries[e.Name] = e })
}

// DeleteInstance removes an entry.
func (p *Platform) DeleteInstance(name string) {
	p.instances.change(func(entries map[string]Entry) { delete(entries, name) })
}

// entriesMessage is the answer to GET /instances.
type entriesMessage struct {
	Live    []Entry
	Leaving []Entry
}

func (p *Platform) listInstances(c echo.Context) error {
	p.counters.call("Instances", c.Request().Header.Get("X-Instance"))
	m := entriesMessage{Live: []Entry{}, Leaving: []Entry{}}
	for _, e := range p.instances.seen() {
		if e.Leaving {
			m.Leaving = append(m.Leaving, e)
		} else {
			m.Live = append(m.Live, e)
		}
	}
	return c.JSON(http.StatusOK, m)
}

func (p *Platform) putInstance(c echo.Context) error {
	var e Entry
	if err := decode(c, &e); err != nil {
		return err
	}
	if e.Kind != "" && e.Kind != KindInstance && e.Kind != KindTarget {
		return echo.NewHTTPError(http.StatusBadRequest, "Kind is neither Instance nor Target")
	}
	e.Name = c.Param("name")
	p.PutInstance(e)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) deleteInstance(c echo.Context) error {
	p.DeleteInstance(c.Param("name"))
	return c.NoContent(http.StatusNoContent)
}
