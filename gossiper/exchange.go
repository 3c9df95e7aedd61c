package gossiper

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate/wire"
	"jujubegate.example/jujubegate/wire/wireconnect"
)

func (g *Gossiper) client(address string) wireconnect.GossipClient {
	return wireconnect.NewGossipClient(g.settings.Client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// exchange sends the state of this instance to a peer and merges the response.
func (g *Gossiper) exchange(ctx context.Context, address string, full bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := g.settings.Clock.Now()
	response, err := g.client(address).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{
		Fleet: g.settings.Fleet, Receiver: address, Sender: g.self(), Known: g.changedPeers(full), Holdings: g.holdings(), Whole: full, Tallies: g.tallies(),
	}))
	if err != nil {
		g.settings.Log.Debug("gossiper: exchange failed", zap.String("Address", address), zap.Error(err))
		if g.update(func(m *members, now time.Time) bool { return m.recordFailure(address, now) }) {
			// Start a round at once to tell the other instances of the suspicion.
			g.TriggerRound()
		}
		return
	}
	if from := response.Msg.Sender.GetPeerAddress(); from != address {
		g.settings.Log.Warn("gossiper: another instance answered at the peer address", zap.String("Address", address), zap.String("From", from))
		return
	}
	g.merge(response.Msg.Sender, response.Msg.Known)
	g.reconcile(address, response.Msg.Holdings, sentAt)
	g.deliverTallies(response.Msg.Sender, response.Msg.Tallies)
}

// Exchange handles an exchange that a peer started: it merges the peer's state
// and responds with that of this instance.
func (g *Gossiper) Exchange(_ context.Context, r *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	m := r.Msg
	if m.Fleet != g.settings.Fleet || m.Receiver != g.settings.Self.PeerAddress || m.Sender == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			fmt.Errorf("message for fleet %q and receiver %q does not belong here", m.Fleet, m.Receiver))
	}
	senderChanged := g.merge(m.Sender, m.Known)
	if g.reconcile(m.Sender.PeerAddress, m.Holdings, time.Time{}) && g.Size() <= FullMeshLimit+1 {
		// In a larger fleet this instance asks as many peers itself in each round.
		g.askBack(m.Sender.PeerAddress)
	}
	g.deliverTallies(m.Sender, m.Tallies)
	return connect.NewResponse(&wire.ExchangeResponse{
		Sender: g.self(), Known: g.changedPeers(m.Whole || senderChanged), Holdings: g.holdings(), Tallies: g.tallies(),
	}), nil
}

// askBack starts an exchange with the sender of a request, unless one was started
// within the last half of a period. The request may have been delayed for any time,
// so the ages in it confirm nothing; those in the response to an own request are
// known to be newer than that request.
func (g *Gossiper) askBack(address string) {
	now := g.settings.Clock.Now()
	last := g.askedBackAt.Load()
	if last != nil && now.Sub(*last) < Period/2 || !g.askedBackAt.CompareAndSwap(last, &now) {
		return
	}
	go g.exchange(context.Background(), address, false)
}

func (g *Gossiper) tallies() []*wire.Tally {
	if g.settings.LocalTallies == nil {
		return nil
	}
	return g.settings.LocalTallies()
}

func (g *Gossiper) deliverTallies(sender *wire.Peering, tallies []*wire.Tally) {
	if g.settings.TalliesReceived != nil && len(tallies) > 0 {
		g.settings.TalliesReceived(sender.Instance, tallies)
	}
}

// merge merges the state that a peer sent: its own and what it knows of other
// instances. It returns whether the sender is new, was suspected or dead, or has
// changed.
func (g *Gossiper) merge(sender *wire.Peering, known []*wire.Peering) bool {
	senderChanged := false
	g.update(func(m *members, now time.Time) bool {
		changed := false
		for _, p := range known {
			if p == nil || p.Instance == "" || p.PeerAddress == "" || p.Instance == sender.Instance {
				continue
			}
			if p.Instance == string(g.settings.Self.Instance) {
				g.refute(p)
				continue
			}
			delete(g.contacts, p.PeerAddress)
			changed = m.mergePeerReport(p, now) || changed
		}
		if sender.Instance == "" || sender.Instance == string(g.settings.Self.Instance) {
			return changed
		}
		delete(g.contacts, sender.PeerAddress)
		senderChanged = m.mergeSelfReport(sender, now)
		return senderChanged || changed
	})
	return senderChanged
}

// refute corrects what a peer knows of this instance. If the peer suspects it,
// refute raises the beat above that of the suspicion. If the peer knows a higher
// incarnation, refute raises this instance's above it: an earlier start had a
// higher one if the system clock was set back since.
func (g *Gossiper) refute(p *wire.Peering) {
	own := g.incarnation.Load()
	switch {
	case p.Incarnation > own:
		g.incarnation.CompareAndSwap(own, p.Incarnation+1)
	case p.Incarnation == own && p.Suspected && p.Beat >= g.beat.Load():
		g.beat.Store(p.Beat + 1)
		g.settings.Log.Info("gossiper: refuted suspicion", zap.Int64("Beat", g.beat.Load()))
	}
}
