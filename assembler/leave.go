package assembler

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/recorder"
)

const (
	// lookupMargin is added to the time that callers keep an address.
	lookupMargin = 2 * time.Second
	// drainTime bounds the wait for requests in flight.
	drainTime = 30 * time.Second
	// leaveTime bounds the handover of the targets; without it the others take
	// them over when the lease has expired.
	leaveTime = 10 * time.Second
	// drainPause is the time between two checks of the requests in flight.
	drainPause = 20 * time.Millisecond
)

// leave stops gracefully: it announces the leave, serves for as long as callers
// keep this address, refuses new work, finishes what is in flight, hands over
// the targets and leaves the view.
func (d *Daemon) leave(callerServer *http.Server) {
	d.logger.Info("assembler: leaving", zap.Duration("hold", d.settings.Lookup.ValidFor+lookupMargin))
	d.leaser.Announce()
	d.clock.Sleep(d.settings.Lookup.ValidFor + lookupMargin)
	d.refusing.Store(&jujubegate.Refusal{
		Reason:  jujubegate.Leaving,
		Outcome: jujubegate.NotRun,
		Detail:  "instance is leaving: use another one",
	})
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if !d.drain(ctx, func() bool { return d.server.InFlight() == 0 }) {
		d.recorder.Check().Violation(recorder.GracefulStop, "%d requests of callers in flight after %v", d.server.InFlight(), drainTime)
	}
	if err := callerServer.Shutdown(ctx); err != nil {
		d.logger.Warn("assembler: connections of callers not closed in time", zap.Error(err))
	}
	handover, cancelHandover := context.WithTimeout(context.Background(), leaveTime)
	defer cancelHandover()
	if err := d.leaser.Leave(handover); err != nil {
		d.logger.Warn("assembler: targets not handed over", zap.Error(err))
	}
	d.dispatcher.Close(handover)
	d.logger.Info("assembler: left")
}

// drain waits until the condition holds or the context ends.
func (d *Daemon) drain(ctx context.Context, idle func() bool) bool {
	for !idle() {
		select {
		case <-ctx.Done():
			return false
		case <-d.clock.After(drainPause):
		}
	}
	return true
}

// drainLost waits until nothing runs on targets that the view gives to others.
func (d *Daemon) drainLost(ctx context.Context, _ leaser.View) error {
	d.updateTargets(d.clock.Now())
	if !d.drain(ctx, func() bool { return d.dispatcher.Retired() == 0 }) {
		return ctx.Err()
	}
	return nil
}
