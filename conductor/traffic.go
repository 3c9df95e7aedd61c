package conductor

import (
	"context"
	"net"
	"net/http"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/accountant"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/recorder"
)

// peerIdleTimeout is how long an idle connection to a peer is kept. A large fleet
// has more peers than connections that an instance can hold.
const peerIdleTimeout = 20 * time.Second

// maxPeerHeaderBytes bounds the headers of the answer of a peer.
const maxPeerHeaderBytes = 16 << 10

// dialTarget returns the function that opens connections to a target in a data
// centre and counts their bytes.
func (c *Conductor) dialTarget(dataCentre jujubegate.DataCentre) func(ctx context.Context, network, address string) (net.Conn, error) {
	account := accountant.Account{Total: c.recorder.Counter(recorder.TargetBytes), Far: c.recorder.Counter(recorder.TargetBytesFar)}
	far := dataCentre != c.settings.Load().DataCentre
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := connector.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return account.Open(conn, far), nil
	}
}

// newPeerTransport returns the transport for calls to peers. It counts their bytes.
// A peer whose data centre is not known yet counts as far.
func (c *Conductor) newPeerTransport() *http.Transport {
	account := accountant.Account{Total: c.recorder.Counter(recorder.PeerBytes), Far: c.recorder.Counter(recorder.PeerBytesFar)}
	return &http.Transport{
		MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxPeerHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return account.Open(conn, c.gossiper.DataCentreOf(address) != c.settings.Load().DataCentre), nil
		},
	}
}
