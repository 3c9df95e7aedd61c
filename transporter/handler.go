package transporter

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/mover"
	"jujubegate.example/jujubegate/wire"
	"jujubegate.example/jujubegate/wire/wireconnect"
)

// Handler serves the Peer service by calling the function fields, which the
// daemon sets.
type Handler struct {
	HandleHeartbeat func(leaser.HeartbeatRequest) leaser.HeartbeatAnswer
	// Run runs a batch, delivers its results and returns after the last one.
	Run       func(ctx context.Context, batch jujubegate.Batch, deliver func([]jujubegate.SubResult))
	CancelRun func(queryID string, subRequests []jujubegate.SubRequest)
	// ReportsSince returns the target reports that changed after a mark, and the
	// next mark.
	ReportsSince func(mark uint64) ([]jujubegate.TargetReport, uint64)
	Counts       func() []jujubegate.RouteCount
	Halts        func() []mover.Halt
	MergeHalts   func([]mover.Halt)
	// Leaving returns the targets that the platform lists as leaving. It is empty
	// unless this instance reads the list.
	Leaving func() []jujubegate.Address
	// Changes returns the changes after a generation, and Offer applies changes and
	// returns the generation of this instance.
	Changes       func(after jujubegate.Generation) []configurator.Change
	Offer         func([]configurator.Change) jujubegate.Generation
	CurrentStatus func() Status

	clock  jujubegate.Clock
	logger *zap.Logger
}

// NewHandler returns a handler that exchanges no counts, halts and leaving targets
// until the functions for them are set. All other functions must be set.
func NewHandler(clock jujubegate.Clock, logger *zap.Logger) *Handler {
	return &Handler{
		Counts:     func() []jujubegate.RouteCount { return nil },
		Halts:      func() []mover.Halt { return nil },
		MergeHalts: func([]mover.Halt) {},
		Leaving:    func() []jujubegate.Address { return nil },

		clock: clock, logger: logger,
	}
}

// HTTPServer returns a server for the Peer service over HTTP/2 without TLS. Bound is
// applied to the handler.
func (h *Handler) HTTPServer(bound func(http.Handler) http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeerHandler(h, connect.WithReadMaxBytes(maxMessageBytes)))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           bound(mux),
		Protocols:         &protocols,
		ReadHeaderTimeout: controlTimeout,
		MaxHeaderBytes:    maxPeerHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
	}
}

const (
	// maxStreams bounds the concurrent calls of one peer.
	maxStreams = 10000
	// maxPeerHeaderBytes bounds the headers of a call.
	maxPeerHeaderBytes = 16 << 10
)

// Dispatch runs the sub-requests of a batch and streams their results.
func (h *Handler) Dispatch(ctx context.Context, request *connect.Request[wire.DispatchRequest],
	stream *connect.ServerStream[wire.DispatchResponse],
) error {
	batch := decodeBatch(request.Msg, h.clock.Now())
	if err := checkBatch(batch); err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	var mu sync.Mutex
	var sendErr error
	h.Run(ctx, batch, func(results []jujubegate.SubResult) {
		mu.Lock()
		defer mu.Unlock()
		if sendErr != nil {
			return
		}
		sendErr = stream.Send(&wire.DispatchResponse{QueryId: batch.QueryID, Results: encodeResults(results)})
	})
	return sendErr
}

// maxSubRequests bounds the sub-requests of one batch.
const maxSubRequests = 1 << 16

func checkBatch(batch jujubegate.Batch) error {
	switch {
	case batch.QueryID == "":
		return errors.New("query ID is empty")
	case len(batch.SubRequests) == 0:
		return errors.New("batch has no sub-requests")
	case len(batch.SubRequests) > maxSubRequests:
		return errors.New("batch has too many sub-requests")
	case batch.Order && len(batch.SubRequests) != 1:
		return errors.New("order has more than one sub-request")
	}
	return nil
}

// Cancel stops sub-requests of a batch that a peer has dispatched.
func (h *Handler) Cancel(_ context.Context, request *connect.Request[wire.CancelRequest]) (*connect.Response[wire.CancelResponse], error) {
	h.CancelRun(request.Msg.GetQueryId(), decodeSubRequests(request.Msg.GetSubRequests()))
	return connect.NewResponse(&wire.CancelResponse{}), nil
}
