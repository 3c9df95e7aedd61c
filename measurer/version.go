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
	// moveTimeout limits one version move of the measurement.
	moveTimeout = 60 * time.Second
	// moveRate is the load during a move, in queries per second.
	moveRate = 200
)

// versionCase is a move to a version with the given faults, and the state in which
// the move must end.
type versionCase struct {
	name      string
	faults    []target.Fault
	wantState string
}

var versionCases = []versionCase{
	{"good version", nil, "Done"},
	{"version with errors at once", []target.Fault{{Kind: target.FaultErrors, Share: 0.3}}, "TakenBack"},
	{"version slow at once", []target.Fault{{Kind: target.FaultSlow, Factor: 4}}, "TakenBack"},
	{"version with errors after 15 s", []target.Fault{{Kind: target.FaultErrors, Share: 0.3, AfterMs: 15000}}, "TakenBack"},
}

// measureVersionMoves moves a service to good and to faulty versions, with a new
// fleet of processes for each.
func measureVersionMoves(ctx context.Context, binaries string) ([]Figure, error) {
	var figures []Figure
	for _, c := range versionCases {
		spec := deskSpec(10)
		caseFigures, err := withBench(ctx, binaries, spec, func(ctx context.Context, b *bench) ([]Figure, error) {
			return b.measureMove(ctx, c)
		})
		if err != nil {
			return figures, err
		}
		figures = append(figures, caseFigures...)
	}
	return figures, nil
}

// measureMove moves the service to a new version under load and measures how the
// move ends.
func (b *bench) measureMove(ctx context.Context, c versionCase) ([]Figure, error) {
	const version = "v2"
	if err := b.StartVersion(ctx, version, c.faults); err != nil {
		return nil, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var result *LoadResult
	var running sync.WaitGroup
	running.Go(func() {
		l := moderateLoad()
		l.Rate, l.Duration = moveRate, 2*moveTimeout
		result = l.Run(loadCtx, b.queryPartial)
	})
	start := time.Now()
	statement := fmt.Sprintf("BringIn Version %s { Service = %s; Share = 5; Deadline = %v; OnMissed = TakeBack; };",
		version, b.Spec.Service(), moveTimeout)
	if err := b.RunStatements(ctx, statement); err != nil {
		return nil, err
	}
	state, reason, err := b.awaitMove(ctx, start)
	elapsed := time.Since(start)
	stop()
	running.Wait()
	if err != nil {
		return nil, err
	}
	return []Figure{{
		Name: c.name + ": ends as " + state, Value: elapsed.Seconds(), Unit: "s", Target: c.wantState + " within 60",
		Met: state == c.wantState, Detail: fmt.Sprintf("%s; %d of %d answers whole meanwhile, refused %v",
			strings.ReplaceAll(reason, "|", "/"), result.Whole, result.Sent, result.Reasons),
	}}, nil
}

// awaitMove waits until the move has ended and returns its state and reason. A move
// that hasn't ended 5 s after its deadline is given up.
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
		if time.Since(start) > moveTimeout+5*time.Second {
			return state, "did not end: " + reason, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
}
