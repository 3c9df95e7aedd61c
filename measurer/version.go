package measurer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"jujubegate.example/jujubegate/standin/target"
)

const (
	// moveTime bounds one version move of the measurement.
	moveTime = 60 * time.Second
	// moveRate is the load during a move.
	moveRate = 200
)

// versionCase is a move to a version with faults.
type versionCase struct {
	name   string
	faults []target.Fault
	state  string
}

var versionCases = []versionCase{
	{"good version", nil, "Done"},
	{"version with errors at once", []target.Fault{{Kind: target.FaultErrors, Share: 0.3}}, "TakenBack"},
	{"version slow at once", []target.Fault{{Kind: target.FaultSlow, Factor: 4}}, "TakenBack"},
	{"version with errors after 15 s", []target.Fault{{Kind: target.FaultErrors, Share: 0.3, AfterMs: 15000}}, "TakenBack"},
}

// versions moves a service to good and bad versions over real processes.
func versions(ctx context.Context, binaries string) ([]Figure, error) {
	var figures []Figure
	for _, c := range versionCases {
		spec := desk(10)
		found, err := withBench(ctx, binaries, spec, func(ctx context.Context, b *bench) ([]Figure, error) {
			return b.moveTo(ctx, c)
		})
		if err != nil {
			return figures, err
		}
		figures = append(figures, found...)
	}
	return figures, nil
}

func (b *bench) moveTo(ctx context.Context, c versionCase) ([]Figure, error) {
	const version = "v2"
	if err := b.StartVersion(ctx, version, c.faults); err != nil {
		return nil, err
	}
	loaded, stop := context.WithCancel(ctx)
	defer stop()
	var outcome *Outcome
	var load sync.WaitGroup
	load.Go(func() {
		l := moderate()
		l.Rate, l.Duration = moveRate, 2*moveTime
		outcome = l.Run(loaded, b.ask)
	})
	start := time.Now()
	statement := fmt.Sprintf("BringIn Version %s { Service = %s; Share = 5; Deadline = %v; OnMissed = TakeBack; };",
		version, b.Spec.Service(), moveTime)
	if err := b.Statement(ctx, statement); err != nil {
		return nil, err
	}
	state, reason, err := b.awaitMove(ctx, start)
	took := time.Since(start)
	stop()
	load.Wait()
	if err != nil {
		return nil, err
	}
	return []Figure{{
		Name: c.name + ": ends as " + state, Value: took.Seconds(), Unit: "s", Target: c.state + " within 60",
		Met: state == c.state, Detail: fmt.Sprintf("%s; %d of %d answers whole meanwhile, refused %v",
			strings.ReplaceAll(reason, "|", "/"), outcome.Whole, outcome.Sent, outcome.Reasons),
	}}, nil
}

// awaitMove waits until the move has ended.
func (b *bench) awaitMove(ctx context.Context, start time.Time) (state, reason string, err error) {
	for {
		rows, err := b.Show(ctx, "Show Moves;")
		if err != nil {
			return "", "", err
		}
		if len(rows) == 1 {
			state, reason = rows[0]["State"], rows[0]["Reason"]
			if state == "Done" || state == "TakenBack" {
				return state, reason, nil
			}
		}
		if time.Since(start) > moveTime+5*time.Second {
			return state, "did not end: " + reason, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
}
