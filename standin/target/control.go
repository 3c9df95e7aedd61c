package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"
	"github.com/samber/oops"
	"go.uber.org/zap"
)

// Control is the body of PUT /control. All parts are optional.
type Control struct {
	// Set holds fields of Settings; absent fields stay as they are. Address
	// and Seed can't be changed.
	Set json.RawMessage `json:",omitempty"`
	// TurnCold makes the running target cold, TurnWarm ends a cold start.
	TurnCold bool
	TurnWarm bool
	// Restart drops all connections and requests and starts cold.
	Restart         bool
	AddSnapshots    []SnapshotSpec
	RemoveSnapshots []int64
	// ResetStats sets all counters to 0 and forgets which orders ran.
	ResetStats bool
}

// Control carries out the commands, and changes nothing if one is invalid.
func (t *Target) Control(k Control) error {
	t.mu.Lock()
	next, err := t.next(k)
	if err != nil {
		t.mu.Unlock()
		return oops.In("target").With("address", t.Address()).Wrap(err)
	}
	before := t.settings.Swap(&next)
	if !slices.Equal(before.Faults, next.Faults) {
		t.faultsSince = t.clock.Now()
	}
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	if k.TurnCold || k.TurnWarm {
		t.limiter.setCold(k.TurnCold)
	}
	if k.Restart || next.Down && !before.Down {
		t.stats.add(func(c *Stats) { c.Restarts++ })
		t.limiter.drop(&next)
		t.listener.closeAll()
	}
	if k.ResetStats {
		t.stats.reset()
	}
	t.log.Info("target: settings changed", zap.String("address", next.Address), zap.Any("control", k))
	return nil
}

// next returns the settings that the commands lead to. The caller holds the lock.
func (t *Target) next(k Control) (Settings, error) {
	s := t.Settings()
	address, seed := s.Address, s.Seed
	// Decoding into existing slices would change the settings in force and keep
	// fields of old elements.
	snapshots, faults := s.Snapshots, s.Faults
	s.Snapshots, s.Faults = nil, nil
	if len(k.Set) > 0 {
		d := json.NewDecoder(bytes.NewReader(k.Set))
		d.DisallowUnknownFields()
		if err := d.Decode(&s); err != nil {
			return Settings{}, err
		}
	}
	if s.Snapshots == nil {
		s.Snapshots = snapshots
	}
	if s.Faults == nil {
		s.Faults = faults
	}
	if s.Address != address || s.Seed != seed {
		return Settings{}, fmt.Errorf("fields Address and Seed can't be changed")
	}
	for _, added := range k.AddSnapshots {
		s = s.WithSnapshot(added)
	}
	for _, removed := range k.RemoveSnapshots {
		s = s.WithoutSnapshot(removed)
	}
	return s, s.Check()
}

func (t *Target) serveControl(c echo.Context) error {
	var k Control
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&k); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := t.Control(k); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, t.Settings())
}

// load returns the true load report.
func (t *Target) load(s *Settings) Load {
	cold, inUse, _ := t.limiter.state(s)
	l := Load{State: "Warm", InUse: inUse, Slots: s.Slots, Snapshots: []int64{}, Version: s.Version}
	switch {
	case s.Draining:
		l.State = "Draining"
	case cold:
		l.State = "Cold"
	}
	for _, h := range s.Snapshots {
		l.Snapshots = append(l.Snapshots, h.Snapshot)
	}
	return l
}

// serveLoad sends the load report, stale or wrong as the settings say.
func (t *Target) serveLoad(c echo.Context) error {
	s := t.settings.Load()
	t.mu.Lock()
	now := t.clock.Now()
	if t.reported.IsZero() || now.Sub(t.reported) >= milliseconds(s.LoadLagMs) {
		t.report, t.reported = t.load(s), now
	}
	l := t.report
	t.mu.Unlock()
	switch s.LoadMode {
	case LoadIdle:
		l.State, l.InUse = "Warm", 0
	case LoadBusy:
		l.InUse = l.Slots
	case LoadError:
		return c.JSON(http.StatusInternalServerError, Refusal{Refusal: VersionError, Detail: "load is not known"})
	case LoadHang:
		<-c.Request().Context().Done()
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, l)
}
