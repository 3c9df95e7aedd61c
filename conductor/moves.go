package conductor

import (
	"context"
	"math"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/sender"
	"jujubegate.example/jujubegate/wire"
)

// applyMoves applies the requested moves of services to versions.
func (c *Conductor) applyMoves(s *replicator.State) {
	moves := make([]promoter.Move, 0, len(s.Objects))
	for _, o := range s.Objects {
		m, err := c.adapter.DecodeMove(o)
		if err != nil {
			c.log.Warn("conductor: move cannot be read", zap.String("Name", o.Name), zap.Int64("Revision", o.Revision), zap.Error(err))
			continue
		}
		moves = append(moves, m)
	}
	c.promoter.Update(moves, s.SeenAt)
}

// writeState writes the state of a move to the store.
func (c *Conductor) writeState(ctx context.Context, m promoter.Move, s promoter.State) error {
	status, err := c.adapter.EncodeState(m, s)
	if err != nil {
		return err
	}
	return c.adapter.Source.SetStatus(ctx, c.adapter.Kinds.Moves, m.Name, status, m.Revision)
}

// observe passes the result of an attempt to the promoter.
func (c *Conductor) observe(o sender.Observation) {
	c.promoter.Observe(promoter.Observation{
		Service: o.Call.Service, Version: o.Version, Route: o.Call.Route.Name,
		Ended: o.Result == sender.Answered || o.Result == sender.Broken, Failed: o.Failed(), Took: o.Took, Typical: o.Typical, Cold: o.Cold,
	})
}

// localTallies returns this instance's tallies of the services being moved.
func (c *Conductor) localTallies() []*wire.Tally {
	tallies := c.promoter.Tallies()
	encoded := make([]*wire.Tally, 0, len(tallies))
	for _, t := range tallies {
		encoded = append(encoded, &wire.Tally{
			Service: string(t.Service), Version: string(t.Version), Route: string(t.Route),
			Answers: t.Answers, Bad: t.Failures, Slow: t.Slow, FailureEvidence: t.FailureEvidence, SlowEvidence: t.SlowEvidence,
		})
	}
	return encoded
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// updatePeerTallies replaces the tallies of a peer.
func (c *Conductor) updatePeerTallies(peer string, received []*wire.Tally) {
	tallies := make([]promoter.Tally, 0, len(received))
	for _, t := range received {
		if !isFinite(t.FailureEvidence) || !isFinite(t.SlowEvidence) {
			c.log.Warn("conductor: tally of a peer cannot be used", zap.String("Peer", peer), zap.String("Service", t.Service))
			continue
		}
		tallies = append(tallies, promoter.Tally{
			Service: jujubegate.Service(t.Service), Version: jujubegate.Version(t.Version), Route: jujubegate.Route(t.Route),
			Answers: t.Answers, Failures: t.Bad, Slow: t.Slow, FailureEvidence: t.FailureEvidence, SlowEvidence: t.SlowEvidence,
		})
	}
	c.promoter.SetPeerTallies(peer, tallies)
}
