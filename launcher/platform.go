package launcher

import (
	"context"
	"net/http"

	"jujubegate.example/jujubegate/standin/platform"
)

// SetFaults sets the faults of the platform stand-in.
func (f *Fleet) SetFaults(ctx context.Context, faults platform.Faults) error {
	return sendJSON(ctx, http.MethodPut, "http://"+f.PlatformAddress+"/faults", faults, nil)
}

// List adds an entry to the platform's list of instances and targets.
func (f *Fleet) List(ctx context.Context, entry platform.Entry) error {
	return sendJSON(ctx, http.MethodPut, "http://"+f.PlatformAddress+"/instances/"+entry.Name, entry, nil)
}

// Unlist removes an entry from the platform's list.
func (f *Fleet) Unlist(ctx context.Context, name string) error {
	return sendJSON(ctx, http.MethodDelete, "http://"+f.PlatformAddress+"/instances/"+name, nil, nil)
}

// listInstance adds an instance to the platform's list, as the platform does when it
// starts one.
func (f *Fleet) listInstance(ctx context.Context, name, peer, caller string) error {
	return f.List(ctx, platform.Entry{
		Name: name, Kind: platform.KindInstance, PeerAddress: peer, CallerAddress: caller,
	})
}
