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
	return wireconnect.NewGossipClient(g.settings.Client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes))
}

// exchange sends the state of this instance to a peer and merges the response. If
// whole is set, both send the states of all instances that they know. A first failure
// is repeated at once, since it can be due to a connection that was lost.
func (g *Gossiper) exchange(ctx context.Context, address string, whole bool) {
	for again := true; again && ctx.Err() == nil; {
		again = g.exchangeOnce(ctx, address, whole)
	}
}

// exchangeOnce makes one attempt at an exchange, and reports whether it must be
// repeated to find out whether the peer is lost.
func (g *Gossiper) exchangeOnce(ctx context.Context, address string, whole bool) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := g.settings.Clock.Now()
	self := g.self()
	response, err := g.client(address).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{
		Fleet: g.settings.Fleet, Receiver: address, Sender: self, Known: append(g.news(whole), g.suspicionOf(address)...), Holdings: g.holdings(),
		Whole: whole || g.Size() == 1, Notices: g.notices(whole || g.Size() == 1), Digest: g.digest(self),
		StoreFailures: g.storeFailures(),
	}))
	if err != nil {
		g.settings.Log.Debug("gossiper: exchange failed", zap.String("Address", address), zap.Error(err))
		g.update(func(m *members, now time.Time) (suspected bool) {
			suspected, again = m.recordFailure(address, now)
			return suspected
		})
		return again
	}
	m := response.Msg
	if from := m.Sender.GetPeerAddress(); from != address {
		g.settings.Log.Warn("gossiper: another instance answered at the peer address", zap.String("Address", address), zap.String("From", from))
		return false
	}
	g.merge(m.Sender, m.Known)
	g.mergeStoreFailures(m.StoreFailures, sentAt)
	g.reconcile(address, m.Holdings, sentAt)
	g.deliverNotices(m.Notices)
	if !whole && len(m.Known) == 0 && m.Digest != g.digest(g.self()) && g.mayExchangeWhole() {
		go g.exchange(context.WithoutCancel(ctx), address, true)
	}
	return false
}

// suspicionOf returns the state of the peer at an address if it counts as suspected
// or dead. The peer refutes it, so that all others learn that it is live; its old
// state does not tell them.
func (g *Gossiper) suspicionOf(address string) []*wire.Peering {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.members.records {
		if r.peering.PeerAddress == address && (r.suspected() || r.dead()) {
			return []*wire.Peering{r.toWire()}
		}
	}
	return nil
}

// mayExchangeWhole reports whether a difference to a peer must be settled by an
// exchange of all states: there is no news that would settle it, and the last such
// exchange was at least wholePause ago.
func (g *Gossiper) mayExchangeWhole() bool {
	g.mu.Lock()
	news := g.members.hasNews()
	g.mu.Unlock()
	now, last := g.settings.Clock.Now(), g.wholeAt.Load()
	return !news && (last == nil || now.Sub(*last) >= wholePause) && g.wholeAt.CompareAndSwap(last, &now)
}

// Exchange handles an exchange that a peer started: it merges the peer's state
// and responds with that of this instance.
func (g *Gossiper) Exchange(_ context.Context, r *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	m := r.Msg
	if m.Fleet != g.settings.Fleet || m.Receiver != g.settings.Self.PeerAddress || m.Sender == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			fmt.Errorf("message for fleet %q and receiver %q does not belong here", m.Fleet, m.Receiver))
	}
	suspicion := g.suspicionOf(m.Sender.PeerAddress)
	started := g.merge(m.Sender, m.Known)
	g.mergeStoreFailures(m.StoreFailures, g.settings.Clock.Now())
	if g.reconcile(m.Sender.PeerAddress, m.Holdings, time.Time{}) && g.Size() <= FullMeshLimit+1 {
		// In a larger fleet this instance asks as many peers itself in each round.
		g.askBack(m.Sender.PeerAddress)
	}
	g.deliverNotices(m.Notices)
	self := g.self()
	return connect.NewResponse(&wire.ExchangeResponse{
		Sender: self, Known: append(g.news(m.Whole || started), suspicion...), Holdings: g.holdings(), Notices: g.notices(m.Whole || started), Digest: g.digest(self),
		StoreFailures: g.storeFailures(),
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

func (g *Gossiper) notices(whole bool) *wire.Notices {
	if g.settings.LocalNotices == nil {
		return nil
	}
	return g.settings.LocalNotices(whole)
}

func (g *Gossiper) deliverNotices(n *wire.Notices) {
	if g.settings.NoticesReceived != nil && n != nil {
		g.settings.NoticesReceived(n)
	}
}

// merge merges the state that a peer sent: its own and what it knows of other
// instances. It returns whether the sender is a new process.
func (g *Gossiper) merge(sender *wire.Peering, known []*wire.Peering) (started bool) {
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
		var senderChanged bool
		senderChanged, started = m.mergeSelfReport(sender)
		return senderChanged || changed
	})
	return started
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
