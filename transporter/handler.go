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

// Handler serves the Peer service. The function fields are set by the daemon.
type Handler struct {
	HandleHeartbeat func(leaser.HeartbeatRequest) leaser.HeartbeatAnswer
	// Run runs a batch and delivers its results; it returns after the last one.
	Run          func(ctx context.Context, batch jujubegate.Batch, deliver func([]jujubegate.SubResult))
	CancelRun    func(queryID string, subRequests []jujubegate.SubRequest)
	ReportsSince func(mark uint64) ([]jujubegate.TargetReport, uint64)
	Counts       func() []jujubegate.RouteCount
	Halts        func() []mover.Halt
	MergeHalts   func([]mover.Halt)
	// Leaving returns the targets that the platform lists as leaving, if this
	// instance reads the list.
	Leaving       func() []jujubegate.Address
	Changes       func(after jujubegate.Generation) []configurator.Change
	Offer         func([]configurator.Change) jujubegate.Generation
	CurrentStatus func() Status

	clock  jujubegate.Clock
	logger *zap.Logger
}

// NewHandler returns a handler that exchanges no evidence of versions and
// targets until it is told where to get it. The other functions must be set.
func NewHandler(clock jujubegate.Clock, logger *zap.Logger) *Handler {
	return &Handler{
		Counts:     func() []jujubegate.RouteCount { return nil },
		Halts:      func() []mover.Halt { return nil },
		MergeHalts: func([]mover.Halt) {},
		Leaving:    func() []jujubegate.Address { return nil },

		clock: clock, logger: logger,
	}
}

// HTTPServer returns a server of the Peer service over HTTP/2 without TLS.
func (h *Handler) HTTPServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeerHandler(h, connect.WithReadMaxBytes(maxMessageBytes)))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           mux,
		Protocols:         &protocols,
		ReadHeaderTimeout: controlTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingAfter},
	}
}

// maxStreams is the number of concurrent calls of one peer.
const maxStreams = 10000

// Dispatch runs the sub-requests of a batch and streams their results.
func (h *Handler) Dispatch(ctx context.Context, request *connect.Request[wire.DispatchRequest],
	stream *connect.ServerStream[wire.DispatchResponse],
) error {
	batch := decodeBatch(request.Msg, h.clock.Now())
	if err := checkBatch(batch); err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	var mu sync.Mutex
	var failure error
	h.Run(ctx, batch, func(results []jujubegate.SubResult) {
		mu.Lock()
		defer mu.Unlock()
		if failure != nil {
			return
		}
		failure = stream.Send(&wire.DispatchResponse{QueryId: batch.QueryID, Results: encodeResults(results)})
	})
	return failure
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

// Cancel stops sub-requests of an earlier batch.
func (h *Handler) Cancel(_ context.Context, request *connect.Request[wire.CancelRequest]) (*connect.Response[wire.CancelResponse], error) {
	h.CancelRun(request.Msg.GetQueryId(), decodeSubRequests(request.Msg.GetSubRequests()))
	return connect.NewResponse(&wire.CancelResponse{}), nil
}
