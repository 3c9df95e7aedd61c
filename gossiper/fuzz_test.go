package gossiper

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/wire"
)

func FuzzExchange(f *testing.F) {
	// Guards against a malformed message of a peer that ends the process or makes an
	// instance forget itself.
	peer := &wire.Peering{Instance: "b", Incarnation: 3, Beat: 1, PeerAddress: "127.0.0.1:2", CallerAddress: "127.0.0.1:3", Serving: true}
	for _, m := range []*wire.ExchangeRequest{
		{Fleet: "f", Receiver: "127.0.0.1:1", Sender: peer, Holdings: []*wire.Holding{{Kind: "k", Revision: 2, AgeMs: -5}}},
		{Fleet: "f", Receiver: "127.0.0.1:1", Sender: &wire.Peering{Instance: "a"}, Known: []*wire.Peering{peer, {}, {Instance: "a", Incarnation: 1 << 62, Suspected: true}}},
		{Fleet: "f", Receiver: "127.0.0.1:1", Sender: peer, Whole: true, Notices: &wire.Notices{Tallies: []*wire.Tally{{Service: "s", Answers: -1}}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &wire.ExchangeRequest{}
		if err := proto.Unmarshal(data, m); err != nil {
			return
		}
		r := replicator.New(replicator.Settings{Kind: "k", Clock: clockwork.NewFakeClock(), Log: zap.NewNop(), Changed: func(*replicator.State) {}})
		r.Replace(replicator.Listing{Position: replicator.Position{Revision: 1 << 62}}, replicator.Reading{})
		g := New(Settings{
			Self:  Peer{Instance: "a", Incarnation: 1, PeerAddress: "127.0.0.1:1"},
			Fleet: "f", Clock: clockwork.NewFakeClock(), Log: zap.NewNop(), Replicators: []*replicator.Replicator{r},
			Serving: func() bool { return true }, Changed: func([]Peer) {},
			Client: doerFunc(func(*http.Request) (*http.Response, error) { return nil, context.Canceled }),
		})
		_, err := g.Exchange(context.Background(), connect.NewRequest(m))
		if g.Self().Instance != "a" || !g.Self().Serving {
			t.Error("the instance lost its own state")
		}
		if err != nil {
			return
		}
		for _, p := range g.Peers() {
			if p.Instance == "a" {
				t.Error("the instance counts itself as a peer")
			}
		}
		g.merge(m.Sender, m.Known)
		g.reconcile("127.0.0.1:2", m.Holdings, time.Unix(1, 0))
	})
}

// doerFunc is an HTTP client made of a function.
type doerFunc func(*http.Request) (*http.Response, error)

// Do calls the function.
func (f doerFunc) Do(r *http.Request) (*http.Response, error) { return f(r) }
