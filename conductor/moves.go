package conductor

import (
	"context"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/sender"
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
