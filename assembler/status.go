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

// statementTimeout bounds one run of statements. It is less than the time for
// which jujubectl waits for an answer.
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
	for _, s := range d.memberStatuses(ctx) {
		state, epoch, generation, inFlight := "Unreachable", "", "", ""
		if s.ok {
			state = "NotServing"
			if s.status.Serving {
				state = "Serving"
			}
			if s.status.Member.Leaving {
				state = "Leaving"
			}
			epoch = strconv.FormatInt(int64(s.status.Epoch), 10)
			generation = strconv.FormatInt(int64(s.status.Generation), 10)
			inFlight = strconv.FormatInt(s.status.InFlight, 10)
		}
		owned := len(d.ownership.Assignment().Owned(s.member.Instance))
		rows = append(rows, []string{
			string(s.member.Instance), string(s.member.DataCentre), s.member.CallerAddress, state,
			epoch, generation, strconv.Itoa(owned), inFlight,
		})
	}
	return rows
}

// memberStatus is the status of one member; ok is false if it did not answer.
type memberStatus struct {
	member leaser.Member
	status transporter.Status
	ok     bool
}

// memberStatuses asks all members of the view for their status. The result is
// sorted by instance.
func (d *Daemon) memberStatuses(ctx context.Context) []memberStatus {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	members := d.leaser.View().Members
	if len(members) == 0 {
		members = []leaser.Member{d.self}
	}
	statuses := make([]memberStatus, len(members))
	var calls sync.WaitGroup
	for i, m := range members {
		statuses[i].member = m
		if m.ID() == d.self.ID() {
			statuses[i].status, statuses[i].ok = d.status(), true
			continue
		}
		calls.Go(func() {
			status, err := d.client.Status(ctx, m)
			if err == nil && status.Member.ID() == m.ID() {
				statuses[i].status, statuses[i].ok = status, true
			}
		})
	}
	calls.Wait()
	slices.SortFunc(statuses, func(a, b memberStatus) int { return cmp.Compare(a.member.Instance, b.member.Instance) })
	return statuses
}

// inForce asks all members whether they have applied a generation. A member that
// does not answer counts as expired once it has been silent for longer than its
// lease: it then accepts no new work unless a majority still answers it, and a
// majority that has the generation denies it the lease.
func (d *Daemon) inForce(ctx context.Context, generation jujubegate.Generation) commander.InForce {
	var result commander.InForce
	statuses := d.memberStatuses(ctx)
	lastHeard := d.lastHeard()
	now := d.clock.Now()
	for _, s := range statuses {
		switch {
		case s.ok && s.status.Generation >= generation:
			result.Confirmed = append(result.Confirmed, s.member.Instance)
		case !s.ok && now.Sub(lastHeard[s.member.ID()]) > d.settings.Lease.Duration:
			result.Expired = append(result.Expired, s.member.Instance)
		default:
			result.Missing = append(result.Missing, s.member.Instance)
		}
	}
	result.InForce = len(result.Missing) == 0 && len(result.Confirmed) > len(statuses)/2
	return result
}

// lastHeard returns when each peer was last heard.
func (d *Daemon) lastHeard() map[leaser.ID]time.Time {
	heard := make(map[leaser.ID]time.Time)
	for _, p := range d.leaser.Peers() {
		heard[p.Member.ID()] = p.Heard
	}
	return heard
}

func (d *Daemon) registerMetrics() {
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
		d.recorder.ValueFunc(g.metric, g.value)
	}
}
