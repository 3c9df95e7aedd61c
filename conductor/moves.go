package conductor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/sender"
	"jujubegate.example/jujubegate/wire"
)

// move takes over the orders to move services to versions.
func (c *Conductor) move(s *replicator.State) {
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

// writeState writes how far a move is.
func (c *Conductor) writeState(ctx context.Context, m promoter.Move, s promoter.State) error {
	status, err := c.adapter.EncodeState(m, s)
	if err != nil {
		return err
	}
	return c.adapter.Source.SetStatus(ctx, c.adapter.Kinds.Moves, m.Name, status, m.Revision)
}

func (c *Conductor) observe(call sender.Call, version jujubegate.Version, bad bool, took time.Duration) {
	c.promoter.Observe(call.Service, version, call.Route.Name, bad, took)
}

// tell returns what this instance saw of versions that are moved.
func (c *Conductor) tell() []*wire.Tally {
	tallies := c.promoter.Tallies()
	told := make([]*wire.Tally, 0, len(tallies))
	for _, t := range tallies {
		told = append(told, &wire.Tally{
			Service: string(t.Service), Version: string(t.Version), Route: string(t.Route),
			Answers: t.Answers, Bad: t.Bad, TookUs: t.Took.Microseconds(),
		})
	}
	return told
}

// hear takes in what a peer saw.
func (c *Conductor) hear(peer string, told []*wire.Tally) {
	tallies := make([]promoter.Tally, 0, len(told))
	for _, t := range told {
		tallies = append(tallies, promoter.Tally{
			Service: jujubegate.Service(t.Service), Version: jujubegate.Version(t.Version), Route: jujubegate.Route(t.Route),
			Answers: t.Answers, Bad: t.Bad, Took: time.Duration(t.TookUs) * time.Microsecond,
		})
	}
	c.promoter.SetPeerTallies(peer, tallies)
}
