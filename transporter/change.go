package transporter

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/wire"
)

// Status is what an instance says about itself.
type Status struct {
	Member     leaser.Member
	Epoch      jujubegate.Epoch
	Generation jujubegate.Generation
	// Serving reports whether the serving lease holds.
	Serving  bool
	InFlight int64
}

// FetchChanges returns the changes after a generation that the peer has.
func (c *Client) FetchChanges(ctx context.Context, from leaser.Member, after jujubegate.Generation) ([]configurator.Change, error) {
	request := connect.NewRequest(&wire.FetchChangesRequest{After: int64(after)})
	response, err := c.peer(from.PeerAddress).FetchChanges(ctx, request)
	if err != nil {
		return nil, oops.In("transporter").With("peer", from.Instance).Wrapf(err, "fetch changes")
	}
	return decodeChanges(response.Msg.GetChanges()), nil
}

// PushChanges hands changes to a peer and returns the peer's generation.
func (c *Client) PushChanges(ctx context.Context, to leaser.Member, changes []configurator.Change) (jujubegate.Generation, error) {
	request := connect.NewRequest(&wire.PushChangeRequest{Changes: encodeChanges(changes)})
	response, err := c.peer(to.PeerAddress).PushChange(ctx, request)
	if err != nil {
		return 0, oops.In("transporter").With("peer", to.Instance).Wrapf(err, "push change")
	}
	return jujubegate.Generation(response.Msg.GetGeneration()), nil
}

// Status asks a peer what is in force there.
func (c *Client) Status(ctx context.Context, of leaser.Member) (Status, error) {
	response, err := c.peer(of.PeerAddress).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return Status{}, oops.In("transporter").With("peer", of.Instance).Wrapf(err, "status")
	}
	m := response.Msg
	return Status{
		Member:     decodeMember(m.GetMember()),
		Epoch:      jujubegate.Epoch(m.GetEpoch()),
		Generation: jujubegate.Generation(m.GetGeneration()),
		Serving:    m.GetServing(),
		InFlight:   m.GetInFlight(),
	}, nil
}

// FetchChanges answers a peer that is behind.
func (h *Handler) FetchChanges(_ context.Context, request *connect.Request[wire.FetchChangesRequest]) (*connect.Response[wire.FetchChangesResponse], error) {
	changes := h.Changes(jujubegate.Generation(request.Msg.GetAfter()))
	response := &wire.FetchChangesResponse{Changes: encodeChanges(changes)}
	if len(changes) > 0 {
		response.Newest = int64(changes[len(changes)-1].Generation)
	}
	return connect.NewResponse(response), nil
}

// PushChange takes changes from a peer.
func (h *Handler) PushChange(_ context.Context, request *connect.Request[wire.PushChangeRequest]) (*connect.Response[wire.PushChangeResponse], error) {
	generation := h.Offer(decodeChanges(request.Msg.GetChanges()))
	return connect.NewResponse(&wire.PushChangeResponse{Generation: int64(generation)}), nil
}

// Status answers a peer.
func (h *Handler) Status(context.Context, *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	s := h.CurrentStatus()
	return connect.NewResponse(&wire.StatusResponse{
		Member:     encodeMember(s.Member),
		Epoch:      int64(s.Epoch),
		Generation: int64(s.Generation),
		Serving:    s.Serving,
		InFlight:   s.InFlight,
	}), nil
}

func encodeChanges(changes []configurator.Change) []*wire.Change {
	encoded := make([]*wire.Change, len(changes))
	for i, c := range changes {
		encoded[i] = &wire.Change{
			Generation:   int64(c.Generation),
			Author:       c.Author,
			Token:        c.Token,
			AtUnixMicros: c.At.UnixMicro(),
			Statements:   c.Statements,
		}
	}
	return encoded
}

func decodeChanges(changes []*wire.Change) []configurator.Change {
	decoded := make([]configurator.Change, len(changes))
	for i, c := range changes {
		decoded[i] = configurator.Change{
			Generation: jujubegate.Generation(c.GetGeneration()),
			Author:     c.GetAuthor(),
			Token:      c.GetToken(),
			At:         time.UnixMicro(c.GetAtUnixMicros()).UTC(),
			Statements: c.GetStatements(),
		}
	}
	return decoded
}
