package assembler

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/advertiser"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/recorder"
)

const (
	// lookupMargin is added to the time for which callers may use an address that
	// they looked up.
	lookupMargin = 2 * time.Second
	// leavePollInterval is the time between two checks of the progress of leaving.
	leavePollInterval = 20 * time.Millisecond
)

// leave takes this instance out of service in the stages of advertiser.Leaver and
// returns when all requests are done or the time limits have passed.
func (d *Daemon) leave(callerServer *http.Server) {
	limits := advertiser.DefaultLimits()
	limits.Announce = 2 * d.settings.Lease.Heartbeat
	limits.Hold = d.settings.Lookup.ValidFor + lookupMargin
	sequence := advertiser.NewLeaver(limits)
	ctx, cancel := context.WithTimeout(context.Background(), limits.Announce+limits.Hold+limits.Drain+limits.Depart)
	defer cancel()
	var departed atomic.Bool
	sequence.Begin(d.clock.Now())
	stage := sequence.Stage()
	d.enterStage(ctx, stage, &departed)
	for stage != advertiser.Done {
		d.clock.Sleep(leavePollInterval)
		next := sequence.Advance(d.clock.Now(), advertiser.Progress{
			Queries:     int(d.server.InFlight()),
			SubRequests: d.dispatcher.InFlight(),
			HandedOver:  d.handedOver(),
			Departed:    departed.Load(),
		})
		for ; stage < next; stage++ {
			d.enterStage(ctx, stage+1, &departed)
		}
	}
	if sequence.Overrun() {
		d.recorder.Check().Violation(recorder.GracefulStop, "%d requests of callers and %d at targets were in flight after %v",
			d.server.InFlight(), d.dispatcher.InFlight(), limits.Drain)
	}
	if err := callerServer.Shutdown(ctx); err != nil {
		d.logger.Warn("assembler: caller connections did not close in time", zap.Error(err))
	}
	d.dispatcher.Close(ctx)
	d.logger.Info("assembler: instance has left")
}

// enterStage performs the action at the start of a stage.
func (d *Daemon) enterStage(ctx context.Context, stage advertiser.Stage, departed *atomic.Bool) {
	d.logger.Info("assembler: leaving", zap.Stringer("stage", stage))
	switch stage {
	case advertiser.Announced:
		d.leaser.Announce()
	case advertiser.Refusing:
		d.refusing.Store(&jujubegate.Refusal{
			Reason:  jujubegate.Leaving,
			Outcome: jujubegate.NotRun,
			Detail:  "instance is leaving: use another one",
		})
	case advertiser.Draining:
		d.background.Go(func() {
			if err := d.leaser.Leave(ctx); err != nil {
				d.logger.Warn("assembler: leaving the view failed", zap.Error(err))
				return
			}
			departed.Store(true)
		})
	}
}

// handedOver reports whether the view assigns no targets to this instance.
func (d *Daemon) handedOver() bool {
	s := d.leaser.State()
	self, ok := s.View.Member(d.self.Instance)
	return !ok || self.ID() != d.self.ID() || self.Leaving
}

// drainLostTargets waits until no request runs on targets that the view assigns to
// other instances.
func (d *Daemon) drainLostTargets(ctx context.Context, _ leaser.View) error {
	d.updateTargets(d.clock.Now())
	for d.dispatcher.Retired() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.clock.After(leavePollInterval):
		}
	}
	return nil
}
