package transporter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/mover"
	"jujubegate.example/jujubegate/wire"
	"jujubegate.example/jujubegate/wire/wireconnect"
)

// Limits of messages between instances.
const (
	maxMessageBytes = 64 << 20
	// controlTimeout bounds a cancel call and the read of a request's header.
	controlTimeout = time.Second
	// pingTimeout is the idle time after which a connection is pinged, and the
	// time to wait for the reply. The ping detects a peer whose host has failed
	// while streams are open.
	pingTimeout = 2 * time.Second
)

// Client calls the Peer service of other instances.
type Client struct {
	// Observed is called with the part of each answer to a heartbeat that does not
	// concern the membership.
	Observed func(Observation)
	// Halts returns the halts to send with each heartbeat.
	Halts func() []mover.Halt

	http  *http.Client
	clock jujubegate.Clock
	marks reportMarks

	mu    sync.RWMutex
	peers map[string]wireconnect.PeerClient
}

// NewClient returns a client that keeps one HTTP/2 connection per peer.
func NewClient(clock jujubegate.Clock) *Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:          &protocols,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
	}
	return &Client{
		Observed: func(Observation) {},
		Halts:    func() []mover.Halt { return nil },

		http:  &http.Client{Transport: transport},
		clock: clock,
		peers: make(map[string]wireconnect.PeerClient),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) peerClient(address string) wireconnect.PeerClient {
	c.mu.RLock()
	peer, ok := c.peers[address]
	c.mu.RUnlock()
	if ok {
		return peer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer, ok = c.peers[address]; !ok {
		peer = wireconnect.NewPeerClient(c.http, "http://"+address,
			connect.WithReadMaxBytes(maxMessageBytes))
		c.peers[address] = peer
	}
	return peer
}

// Dispatch sends a batch to the owner and delivers results as they arrive, from
// one goroutine. An error means that the stream broke: sub-requests without a
// result may or may not have run.
func (c *Client) Dispatch(ctx context.Context, owner leaser.Member, batch jujubegate.Batch,
	deliver func([]jujubegate.SubResult, []jujubegate.TargetReport),
) error {
	request := connect.NewRequest(encodeBatch(batch, c.clock.Now()))
	stream, err := c.peerClient(owner.PeerAddress).Dispatch(ctx, request)
	if err != nil {
		return oops.In("transporter").With("owner", owner.Instance).Wrapf(err, "dispatch")
	}
	defer stream.Close()
	for stream.Receive() {
		answer := stream.Msg()
		if answer.GetQueryId() != batch.QueryID {
			return oops.In("transporter").Errorf("owner %s answered for query %q instead of %q",
				owner.Instance, answer.GetQueryId(), batch.QueryID)
		}
		deliver(decodeResults(answer.GetResults()), decodeReports(answer.GetTargets()))
	}
	if err := stream.Err(); err != nil {
		return oops.In("transporter").With("owner", owner.Instance).Wrapf(err, "dispatch stream")
	}
	return nil
}

// Cancel asks the owner to stop sub-requests. It does not wait for the answer: if
// the message is lost, the target only does needless work.
func (c *Client) Cancel(owner leaser.Member, queryID string, subRequests []jujubegate.SubRequest) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		request := &wire.CancelRequest{QueryId: queryID, SubRequests: encodeSubRequests(subRequests)}
		_, _ = c.peerClient(owner.PeerAddress).Cancel(ctx, connect.NewRequest(request))
	}()
}
