package launcher

import (
	"context"
	"net/http"

	"jujubegate.example/jujubegate/standin/platform"
)

// SetFaults sets the faults of the platform's stand-in.
func (f *Fleet) SetFaults(ctx context.Context, faults platform.Faults) error {
	return sendJSON(ctx, http.MethodPut, "http://"+f.Store+"/faults", faults, nil)
}

// List puts an entry into the platform's list of instances.
func (f *Fleet) List(ctx context.Context, entry platform.Entry) error {
	return sendJSON(ctx, http.MethodPut, "http://"+f.Store+"/instances/"+entry.Name, entry, nil)
}

// Unlist removes an entry from the platform's list of instances.
func (f *Fleet) Unlist(ctx context.Context, name string) error {
	return sendJSON(ctx, http.MethodDelete, "http://"+f.Store+"/instances/"+name, nil, nil)
}

// listDaemon puts an instance into the platform's list, as the platform does
// when it starts one.
func (f *Fleet) listDaemon(ctx context.Context, name, peer, caller string) error {
	return f.List(ctx, platform.Entry{
		Name: name, Kind: platform.KindInstance, PeerAddress: peer, CallerAddress: caller,
	})
}
