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
	return wireconnect.NewGossipClient(g.settings.Client, "http://"+address)
}

func (g *Gossiper) exchange(ctx context.Context, address string, whole bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := g.client(address).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{
		Fleet: g.settings.Fleet, Receiver: address, Sender: g.self(), Known: g.news(whole), Holdings: g.holdings(), Whole: whole, Tallies: g.tallies(),
	}))
	if err != nil {
		g.settings.Log.Debug("gossiper: exchange failed", zap.String("Address", address), zap.Error(err))
		if g.update(func(m *members, now time.Time) bool { return m.fail(address, now) }) {
			// Those that did not ask it hear of the suspicion at once.
			g.TriggerRound()
		}
		return
	}
	if from := answer.Msg.Sender.GetPeerAddress(); from != address {
		g.settings.Log.Warn("gossiper: another instance answered", zap.String("Address", address), zap.String("From", from))
		return
	}
	g.take(answer.Msg.Sender, answer.Msg.Known)
	g.compare(address, answer.Msg.Holdings)
	g.hear(answer.Msg.Sender, answer.Msg.Tallies)
}

// Exchange answers a peer.
func (g *Gossiper) Exchange(_ context.Context, r *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	m := r.Msg
	if m.Fleet != g.settings.Fleet || m.Receiver != g.settings.Self.PeerAddress || m.Sender == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			fmt.Errorf("message for fleet %q and receiver %q does not belong here", m.Fleet, m.Receiver))
	}
	stranger := g.take(m.Sender, m.Known)
	g.compare(m.Sender.PeerAddress, m.Holdings)
	g.hear(m.Sender, m.Tallies)
	return connect.NewResponse(&wire.ExchangeResponse{
		Sender: g.self(), Known: g.news(m.Whole || stranger), Holdings: g.holdings(), Tallies: g.tallies(),
	}), nil
}

func (g *Gossiper) tallies() []*wire.Tally {
	if g.settings.LocalTallies == nil {
		return nil
	}
	return g.settings.LocalTallies()
}

func (g *Gossiper) hear(sender *wire.Peering, tallies []*wire.Tally) {
	if g.settings.TalliesReceived != nil && len(tallies) > 0 {
		g.settings.TalliesReceived(sender.Instance, tallies)
	}
}

// take takes in one side of an exchange. It reports whether the sender was not
// known to live.
func (g *Gossiper) take(sender *wire.Peering, known []*wire.Peering) bool {
	stranger := false
	g.update(func(m *members, now time.Time) bool {
		changed := false
		for _, p := range known {
			if p == nil || p.Instance == "" || p.PeerAddress == "" || p.Instance == sender.Instance {
				continue
			}
			if p.Instance == string(g.settings.Self.Instance) {
				g.deny(p)
				continue
			}
			delete(g.contacts, p.PeerAddress)
			changed = m.learn(p, now) || changed
		}
		if sender.Instance == "" || sender.Instance == string(g.settings.Self.Instance) {
			return changed
		}
		delete(g.contacts, sender.PeerAddress)
		stranger = m.hear(sender, now)
		return stranger || changed
	})
	return stranger
}

// deny raises the beat if this instance is suspected, and the incarnation above
// one of an earlier start, which can be higher if the time of day went back.
func (g *Gossiper) deny(p *wire.Peering) {
	own := g.incarnation.Load()
	switch {
	case p.Incarnation > own:
		g.incarnation.CompareAndSwap(own, p.Incarnation+1)
	case p.Incarnation == own && p.Suspected && p.Beat >= g.beat.Load():
		g.beat.Store(p.Beat + 1)
		g.settings.Log.Info("gossiper: denied to be gone", zap.Int64("Beat", g.beat.Load()))
	}
}
