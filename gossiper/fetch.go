package gossiper

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/wire"
)

// confirmationLag is by how much the confirmations of a peer must be newer than
// those here for another exchange to get them. The reader of the store confirms
// every 700 ms.
const confirmationLag = 300 * time.Millisecond

// Fetch returns the changes of a kind after the requested position, or all of its
// objects if the revision is 0, the era is another one or the history does not reach
// back that far.
func (g *Gossiper) Fetch(_ context.Context, r *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if r.Msg.Fleet != g.settings.Fleet {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("fleet %q is not served here", r.Msg.Fleet))
	}
	held := g.replicator(r.Msg.Kind)
	if held == nil || held.State() == nil {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("kind %q is not held", r.Msg.Kind))
	}
	// The ages are read before the objects, which can only be newer.
	holding := held.Holding()
	age, outageAge := ageMillis(holding.Age), g.outageAgeMillis(holding)
	if c, ok := held.Since(replicator.Position{Era: r.Msg.AfterEra, Revision: r.Msg.After}); ok && r.Msg.After > 0 && r.Msg.After < c.Revision {
		response := &wire.FetchResponse{Era: c.Era, Revision: c.Revision, AgeMs: age, OutageAgeMs: outageAge}
		for _, change := range c.Changes {
			response.Objects = append(response.Objects, toStoredObject(change.Object, change.Removed))
		}
		return connect.NewResponse(response), nil
	}
	l := held.Whole()
	response := &wire.FetchResponse{Era: l.Era, Revision: l.Revision, AgeMs: age, OutageAgeMs: outageAge, Whole: true}
	for _, o := range l.Objects {
		response.Objects = append(response.Objects, toStoredObject(o, false))
	}
	for _, c := range l.Kept {
		response.Kept = append(response.Kept, toStoredObject(c.Object, c.Removed))
	}
	return connect.NewResponse(response), nil
}

func toStoredObject(o replicator.Object, removed bool) *wire.StoredObject {
	return &wire.StoredObject{Name: o.Name, Revision: o.Revision, Created: o.Created, Value: o.Value, Removed: removed}
}

func (g *Gossiper) replicator(kind string) *replicator.Replicator {
	for _, r := range g.settings.Replicators {
		if r.Kind() == kind {
			return r
		}
	}
	return nil
}

// reconcile compares the revisions that a peer holds with those held here. For
// each kind, it fetches the objects if the peer has a newer revision, and otherwise
// applies the peer's confirmation. It also records which kinds the peer fails to
// read from the store. The peer wrote the message at sentAt or later; if sentAt is
// zero that time is not known, so that the message confirms nothing. Reconcile
// reports whether the ages in such a message are much shorter than those here.
func (g *Gossiper) reconcile(address string, holdings []*wire.Holding, sentAt time.Time) (fresher bool) {
	for _, h := range holdings {
		r := g.replicator(h.Kind)
		if r == nil {
			continue
		}
		age := time.Duration(h.AgeMs) * time.Millisecond
		peer := replicator.Holding{Position: replicator.Position{Era: h.Era, Revision: h.Revision}, Age: age, Kept: int(h.Kept)}
		// Asked without mu, which the replicator needs to report a state.
		behind := r.Behind(peer)
		g.mu.Lock()
		if g.failing[h.Kind].Has(address) != h.Failing {
			if h.Failing {
				g.failing[h.Kind] = g.failing[h.Kind].With(address)
			} else {
				g.failing[h.Kind] = g.failing[h.Kind].Without(address)
			}
		}
		if behind = behind && !g.fetching[h.Kind]; behind {
			g.fetching[h.Kind] = true
		}
		g.mu.Unlock()
		if behind {
			go g.fetch(address, r)
			continue
		}
		if sentAt.IsZero() {
			own := r.Holding()
			fresher = fresher || own.Position == peer.Position && age+confirmationLag < own.Age
			continue
		}
		r.Confirm(peer.Position, readingOfPeer(sentAt, h.AgeMs, h.OutageAgeMs))
	}
	return fresher
}

// fetch gets the newer objects of one kind from a peer.
func (g *Gossiper) fetch(address string, r *replicator.Replicator) {
	defer func() {
		g.mu.Lock()
		delete(g.fetching, r.Kind())
		g.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	after, sentAt := r.Position(), g.settings.Clock.Now()
	response, err := g.client(address).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{
		Fleet: g.settings.Fleet, Kind: r.Kind(), After: after.Revision, AfterEra: after.Era,
	}))
	if err != nil {
		g.settings.Log.Warn("gossiper: fetch failed", zap.String("Address", address), zap.String("Kind", r.Kind()), zap.Error(err))
		return
	}
	m := response.Msg
	position := replicator.Position{Era: m.Era, Revision: m.Revision}
	reading := readingOfPeer(sentAt, m.AgeMs, m.OutageAgeMs)
	if m.Whole {
		l := replicator.Listing{Position: position}
		for _, o := range m.Objects {
			l.Objects = append(l.Objects, fromStoredObject(o))
		}
		for _, o := range m.Kept {
			l.Kept = append(l.Kept, replicator.Change{Object: fromStoredObject(o), Removed: o.Removed})
		}
		r.Replace(l, reading)
		return
	}
	c := replicator.Changes{Position: position}
	for _, o := range m.Objects {
		c.Changes = append(c.Changes, replicator.Change{Object: fromStoredObject(o), Removed: o.Removed})
	}
	r.Apply(after.Revision, c, reading)
}

// readingOfPeer returns the reading that the response to a request reports.
func readingOfPeer(sentAt time.Time, ageMillis, outageAgeMillis int64) replicator.Reading {
	reading := replicator.Reading{At: sentAt.Add(-time.Duration(ageMillis) * time.Millisecond), FromPeer: true}
	if outageAgeMillis > 0 {
		reading.OutageEndedAt = sentAt.Add(-time.Duration(outageAgeMillis) * time.Millisecond)
	}
	return reading
}

func fromStoredObject(o *wire.StoredObject) replicator.Object {
	return replicator.Object{Name: o.Name, Revision: o.Revision, Created: o.Created, Value: o.Value}
}
