package dialer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
)

var targetStates = map[string]jujubegate.TargetState{
	"Cold": jujubegate.Cold, "Warm": jujubegate.Warm, "Draining": jujubegate.Draining,
}

// poll reads the load report at once and then every PollInterval.
func (d *Dialer) poll(ctx context.Context) {
	if d.settings.Loaded == nil {
		return
	}
	for {
		load, err := d.Load(ctx)
		if ctx.Err() != nil {
			return
		}
		d.settings.Loaded(load, err)
		select {
		case <-d.settings.Clock.After(PollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Load reads the load report of the target.
func (d *Dialer) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	wrap := oops.With("target", string(d.settings.Target.Address))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.loadURL.String(), nil)
	if err != nil {
		return Load{}, wrap.Wrapf(err, "make the request for the load report")
	}
	response, err := d.transport.Load().RoundTrip(request)
	if err != nil {
		return Load{}, wrap.Wrapf(err, "read the load report")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxLoad))
	if err != nil {
		return Load{}, wrap.Wrapf(err, "read the load report")
	}
	load, err := decodeLoad(response.StatusCode, content)
	return load, wrap.Wrapf(err, "decode the load report")
}

func decodeLoad(status int, content []byte) (Load, error) {
	if status != http.StatusOK {
		return Load{}, fmt.Errorf("unexpected status %d", status)
	}
	var m loadMessage
	if err := json.Unmarshal(content, &m); err != nil {
		return Load{}, err
	}
	state, ok := targetStates[m.State]
	if !ok {
		return Load{}, fmt.Errorf("unknown state %q", m.State)
	}
	return Load{State: state, InUse: m.InUse, Slots: m.Slots, Snapshots: m.Snapshots, Version: m.Version}, nil
}
