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

// Control is the body of PUT /control. All fields are optional.
type Control struct {
	// Set is a JSON object with fields of Settings. Absent fields keep their
	// values. Address and Seed can't be changed.
	Set json.RawMessage `json:",omitempty"`
	// TurnCold makes the target cold without a restart, TurnWarm makes it warm.
	TurnCold bool
	TurnWarm bool
	// Restart aborts all requests, closes all connections and starts cold.
	Restart         bool
	AddSnapshots    []SnapshotSpec
	RemoveSnapshots []int64
	// ResetStats sets all counters to 0 and clears the record of orders that ran.
	ResetStats bool
}

// Control applies the command. If any part of it is invalid, it returns an error
// and changes nothing.
func (t *Target) Control(command Control) error {
	t.mu.Lock()
	next, err := t.settingsAfter(command)
	if err != nil {
		t.mu.Unlock()
		return oops.In("target").With("address", t.Address()).Wrap(err)
	}
	before := t.settings.Swap(&next)
	if !slices.Equal(before.Faults, next.Faults) {
		t.faultsSince = t.clock.Now()
	}
	close(t.settingsChanged)
	t.settingsChanged = make(chan struct{})
	t.mu.Unlock()
	if command.TurnCold || command.TurnWarm {
		t.limiter.setCold(command.TurnCold)
	}
	if command.Restart || next.Down && !before.Down {
		t.stats.update(func(c *Stats) { c.Restarts++ })
		t.limiter.restart(&next)
		t.listener.closeAll()
	}
	if command.ResetStats {
		t.stats.reset()
	}
	t.log.Info("target: settings changed", zap.String("address", next.Address), zap.Any("control", command))
	return nil
}

// settingsAfter returns the settings that result from the command. The caller
// holds the lock.
func (t *Target) settingsAfter(command Control) (Settings, error) {
	s := t.Settings()
	address, seed := s.Address, s.Seed
	// Decoding into the existing slices would modify the current settings, which
	// share them, and keep the values of fields that are absent from the JSON.
	snapshots, faults := s.Snapshots, s.Faults
	s.Snapshots, s.Faults = nil, nil
	if len(command.Set) > 0 {
		d := json.NewDecoder(bytes.NewReader(command.Set))
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
	for _, added := range command.AddSnapshots {
		s = s.WithSnapshot(added)
	}
	for _, removed := range command.RemoveSnapshots {
		s = s.WithoutSnapshot(removed)
	}
	return s, s.Check()
}

func (t *Target) serveControl(c echo.Context) error {
	var command Control
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&command); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := t.Control(command); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, t.Settings())
}

// load returns the current load.
func (t *Target) load(s *Settings) Load {
	cold, inUse, _ := t.limiter.state(s)
	l := Load{State: "Warm", InUse: inUse, Slots: s.Slots, Snapshots: []int64{}, Version: s.Version}
	switch {
	case s.Draining:
		l.State = "Draining"
	case cold:
		l.State = "Cold"
	}
	for _, snapshot := range s.Snapshots {
		l.Snapshots = append(l.Snapshots, snapshot.Snapshot)
	}
	return l
}

// serveLoad answers GET /load. LoadLagMs makes the report stale, LoadMode makes
// it wrong.
func (t *Target) serveLoad(c echo.Context) error {
	s := t.settings.Load()
	t.mu.Lock()
	now := t.clock.Now()
	if t.lastLoadAt.IsZero() || now.Sub(t.lastLoadAt) >= milliseconds(s.LoadLagMs) {
		t.lastLoad, t.lastLoadAt = t.load(s), now
	}
	l := t.lastLoad
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
