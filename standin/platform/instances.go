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

// Kinds of entries.
const (
	KindInstance = "Instance"
	KindTarget   = "Target"
)

// Entry is one process in the list of instances.
type Entry struct {
	// Name identifies the entry. The name of a target is its address.
	Name string
	// Kind is KindInstance or KindTarget; empty means KindInstance.
	Kind          string
	DataCentre    string
	PeerAddress   string
	CallerAddress string
	Leaving       bool
}

// maxSnapshots is the number of past states of the list that are kept.
const maxSnapshots = 4096

// listSnapshot is the state of the list from a point in time on.
type listSnapshot struct {
	since   time.Time
	entries map[string]Entry
}

// instanceList is the list of instances and targets. It keeps its past states, so
// that it can be served with a lag.
type instanceList struct {
	clock jujubegate.Clock

	mu        sync.Mutex
	lag       time.Duration
	snapshots []listSnapshot
}

func newInstanceList(clock jujubegate.Clock) *instanceList {
	return &instanceList{clock: clock, snapshots: []listSnapshot{{entries: map[string]Entry{}}}}
}

func (i *instanceList) setLag(lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lag = lag
}

func (i *instanceList) update(modify func(entries map[string]Entry)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	entries := maps.Clone(i.snapshots[len(i.snapshots)-1].entries)
	modify(entries)
	i.snapshots = append(i.snapshots, listSnapshot{since: i.clock.Now(), entries: entries})
	if len(i.snapshots) > maxSnapshots {
		i.snapshots = slices.Delete(i.snapshots, 0, len(i.snapshots)-maxSnapshots)
	}
}

// laggedEntries returns the entries as of the current time minus the lag, sorted by
// name.
func (i *instanceList) laggedEntries() []Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	at := i.clock.Now().Add(-i.lag)
	n := len(i.snapshots) - 1
	for n > 0 && i.snapshots[n].since.After(at) {
		n--
	}
	return slices.SortedFunc(maps.Values(i.snapshots[n].entries), func(a, b Entry) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// PutInstance adds or replaces an entry.
func (p *Platform) PutInstance(e Entry) {
	if e.Kind == "" {
		e.Kind = KindInstance
	}
	p.instanceList.update(func(entries map[string]Entry) { entries[e.Name] = e })
}

// DeleteInstance removes an entry.
func (p *Platform) DeleteInstance(name string) {
	p.instanceList.update(func(entries map[string]Entry) { delete(entries, name) })
}

// entriesMessage is the body of the response to GET /instances.
type entriesMessage struct {
	Live    []Entry
	Leaving []Entry
}

func (p *Platform) listInstances(c echo.Context) error {
	p.counters.countCall("Instances", c.Request().Header.Get("X-Instance"))
	m := entriesMessage{Live: []Entry{}, Leaving: []Entry{}}
	for _, e := range p.instanceList.laggedEntries() {
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
