package assembler

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/commander"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/transporter"
)

// statementTimeout bounds one run of statements, below the time for which
// jujubectl waits for an answer.
const statementTimeout = 10 * time.Second

func (d *Daemon) status() transporter.Status {
	s := d.leaser.State()
	return transporter.Status{
		Member:     s.Self,
		Epoch:      s.View.Epoch,
		Generation: d.follower.Current().Generation(),
		Serving:    d.serving(d.clock.Now()),
		InFlight:   d.server.InFlight(),
	}
}

func (d *Daemon) statements(ctx context.Context, request commander.Request) (int, commander.Response) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	return commander.HandleRequest(ctx, d.follower, request, func() [][]string { return d.instanceRows(ctx) })
}

// instanceRows returns the rows of Show Instances.
func (d *Daemon) instanceRows(ctx context.Context) [][]string {
	var rows [][]string
	for _, a := range d.askAll(ctx) {
		state, epoch, generation, inFlight := "Unreachable", "", "", ""
		if a.ok {
			state = "NotServing"
			if a.status.Serving {
				state = "Serving"
			}
			if a.status.Member.Leaving {
				state = "Leaving"
			}
			epoch = strconv.FormatInt(int64(a.status.Epoch), 10)
			generation = strconv.FormatInt(int64(a.status.Generation), 10)
			inFlight = strconv.FormatInt(a.status.InFlight, 10)
		}
		owned := len(d.ownership.Assignment().Owned(a.member.Instance))
		rows = append(rows, []string{
			string(a.member.Instance), string(a.member.DataCentre), a.member.CallerAddress, state,
			epoch, generation, strconv.Itoa(owned), inFlight,
		})
	}
	return rows
}

// statusAnswer is what one member said about itself.
type statusAnswer struct {
	member leaser.Member
	status transporter.Status
	ok     bool
}

// askAll asks all members of the view, by instance.
func (d *Daemon) askAll(ctx context.Context) []statusAnswer {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	members := d.leaser.View().Members
	if len(members) == 0 {
		members = []leaser.Member{d.self}
	}
	answers := make([]statusAnswer, len(members))
	var calls sync.WaitGroup
	for i, m := range members {
		answers[i].member = m
		if m.ID() == d.self.ID() {
			answers[i].status, answers[i].ok = d.status(), true
			continue
		}
		calls.Go(func() {
			status, err := d.client.Status(ctx, m)
			if err == nil && status.Member.ID() == m.ID() {
				answers[i].status, answers[i].ok = status, true
			}
		})
	}
	calls.Wait()
	slices.SortFunc(answers, func(a, b statusAnswer) int { return cmp.Compare(a.member.Instance, b.member.Instance) })
	return answers
}

// inForce asks all members for their generation. A member that does not answer
// counts as expired once it has been silent for the time of its lease, because
// it then takes no new work unless it still hears a majority; a majority that
// has the generation denies it the lease.
func (d *Daemon) inForce(ctx context.Context, generation jujubegate.Generation) commander.InForce {
	var result commander.InForce
	answers := d.askAll(ctx)
	silent := d.silentSince()
	now := d.clock.Now()
	for _, a := range answers {
		switch {
		case a.ok && a.status.Generation >= generation:
			result.Confirmed = append(result.Confirmed, a.member.Instance)
		case !a.ok && now.Sub(silent[a.member.ID()]) > d.settings.Lease.Duration:
			result.Expired = append(result.Expired, a.member.Instance)
		default:
			result.Missing = append(result.Missing, a.member.Instance)
		}
	}
	result.InForce = len(result.Missing) == 0 && len(result.Confirmed) > len(answers)/2
	return result
}

func (d *Daemon) silentSince() map[leaser.ID]time.Time {
	heard := make(map[leaser.ID]time.Time)
	for _, p := range d.leaser.Peers() {
		heard[p.Member.ID()] = p.Heard
	}
	return heard
}

func (d *Daemon) publishGauges() {
	d.queryLatency = d.recorder.Histogram(recorder.QueryLatency)
	d.targetLatency = d.recorder.Histogram(recorder.TargetLatency)
	c := &d.querier.Counters
	for _, g := range []struct {
		metric recorder.Metric
		value  func() int64
	}{
		{recorder.Queries, c.Queries.Load},
		{recorder.QueriesRefused, c.Refused.Load},
		{recorder.QueriesPartial, c.Partial.Load},
		{recorder.SubRequests, c.SubRequests.Load},
		{recorder.SubRequestsHedged, c.Hedges.Load},
		{recorder.SubRequestsRetried, c.Retries.Load},
		{recorder.QueriesInFlight, d.server.InFlight},
		{recorder.QueriesComplete, func() int64 { return d.queryLatency.Summary().Count - c.Partial.Load() }},
		{recorder.AnswersDropped, func() int64 {
			return c.Late.Load() + c.Repeated.Load() + c.Foreign.Load() + c.OtherSnapshot.Load() + c.Bad.Load()
		}},
		{recorder.Orders, d.orderer.Counters.Orders.Load},
		{recorder.OrdersUnknown, d.orderer.Counters.RefusedUnknown.Load},
		{recorder.TargetsOwned, func() int64 { return int64(len(d.ownership.Owned())) }},
		{recorder.Generation, func() int64 { return int64(d.follower.Current().Generation()) }},
		{recorder.Epoch, func() int64 { return int64(d.leaser.View().Epoch) }},
		{recorder.Serving, func() int64 {
			if d.serving(d.clock.Now()) {
				return 1
			}
			return 0
		}},
	} {
		d.recorder.GaugeFunc(g.metric, g.value)
	}
}
