package replicator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

func TestCauseOfGap(t *testing.T) {
	// Guards against a gap that is taken for an outage of the store although only the
	// instance that read it was lost, and against an outage that is not seen as one.
	const second = time.Second
	type failure struct {
		instance string
		// began and at are times after the last confirmation, at which a gap of 4 s begins.
		began, at time.Duration
	}
	cases := []struct {
		name string
		// own are the times at which calls of this instance failed.
		own       []time.Duration
		peers     []failure
		fromPeer  bool
		outageEnd time.Duration
		away      bool
	}{
		{name: "nobody failed, another reads now", fromPeer: true},
		{name: "nobody failed, this one reads now"},
		{name: "one was cut off, another reads now", peers: []failure{{"a", second, 3 * second}}, fromPeer: true},
		{name: "one was cut off, this one reads now", peers: []failure{{"a", second, 3 * second}}},
		{name: "this one was cut off, another reads now", own: []time.Duration{second, 2 * second}, fromPeer: true},
		{name: "this one failed and reads now", own: []time.Duration{second, 2 * second}, away: true},
		{name: "two failed", peers: []failure{{"a", second, 3 * second}, {"b", 2 * second, 3 * second}}, away: true},
		{name: "two failed, another reads now", peers: []failure{{"a", second, 3 * second}, {"b", 2 * second, 3 * second}}, fromPeer: true, away: true},
		{name: "two were cut off before", peers: []failure{{"a", -5 * second, 3 * second}, {"b", -second, 3 * second}}},
		{name: "this one and another failed", own: []time.Duration{2 * second}, peers: []failure{{"a", second, 3 * second}}, fromPeer: true, away: true},
		{name: "the peer that reads now saw an outage", fromPeer: true, outageEnd: 3900 * time.Millisecond, away: true},
		{name: "the peer saw an outage before", fromPeer: true, outageEnd: -second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReplicator(Source{})
				f := NewFailures("self", r.settings.Clock, func() {})
				r.settings.Failures = f
				start := time.Now().Add(10 * second)
				time.Sleep(time.Until(start))
				r.Replace(Listing{Position: Position{Revision: 5}}, Reading{At: start})
				for _, at := range c.own {
					time.Sleep(time.Until(start.Add(at)))
					f.Record()
				}
				time.Sleep(time.Until(start.Add(4 * second)))
				for _, p := range c.peers {
					f.Merge([]Failure{{Instance: jujubegate.Instance(p.instance), BeganAt: start.Add(p.began), At: start.Add(p.at)}})
				}
				reading := Reading{At: time.Now(), FromPeer: c.fromPeer}
				if c.outageEnd != 0 {
					reading.OutageEndedAt = start.Add(c.outageEnd)
				}
				r.Confirm(Position{Revision: 5}, reading)
				if g := r.Holding().Gap; c.outageEnd > 0 && !g.OutageEndedAt.Equal(reading.OutageEndedAt) {
					t.Errorf("the outage is passed on as one that ended at %v, want the time of the peer, %v", g.OutageEndedAt, reading.OutageEndedAt)
				}
				if g := r.Holding().Gap; g.Length != 4*second || g.StoreAway() != c.away {
					t.Errorf("gap of %v, store away %v, want 4s, %v", g.Length, g.StoreAway(), c.away)
				}
				// Slow confirmations look like a gap too; they don't hide the outage.
				time.Sleep(2 * second)
				r.Confirm(Position{Revision: 5}, Reading{At: time.Now(), FromPeer: true})
				if g := r.Holding().Gap; g.StoreAway() != c.away {
					t.Errorf("store away %v after another gap of 2 s, want %v", g.StoreAway(), c.away)
				}
			})
		})
	}
}

func TestFailuresAreBounded(t *testing.T) {
	// Guards against messages to peers and memory that grow with the instances that
	// failed once, and against news that two peers tell each other without end.
	synctest.Test(t, func(t *testing.T) {
		changes := 0
		f := NewFailures("self", newReplicator(Source{}).settings.Clock, func() { changes++ })
		for i := range 100 {
			// The same news arrives later by another peer, and seems to be newer.
			for range 2 {
				f.Merge([]Failure{{Instance: jujubegate.Instance(rune('a' + i)), Series: 1, Count: 1, BeganAt: time.Now(), At: time.Now()}})
				time.Sleep(10 * time.Millisecond)
			}
		}
		// So does news of a series that is over.
		f.Merge([]Failure{{Instance: "a", Series: 0, Count: 7, BeganAt: time.Now(), At: time.Now()}})
		f.Merge([]Failure{{Instance: "self", BeganAt: time.Now(), At: time.Now()}})
		if n := len(f.Recent()); n != maxReportedFailures || changes != 100 {
			t.Errorf("%d failures are reported and %d were told at once, want %d and 100", n, changes, maxReportedFailures)
		}
		time.Sleep(failureRetention + time.Second)
		f.Record()
		time.Sleep(failureRetention + time.Second)
		if recent := f.Recent(); len(recent) != 1 || len(f.latest) != 1 {
			t.Errorf("%d failures are reported and %d held, want the own one, as the calls still fail", len(recent), len(f.latest))
		}
		f.EndSeries()
		if recent := f.Recent(); len(recent) != 0 {
			t.Errorf("%d failures are reported long after the last one, want none", len(recent))
		}
	})
}

func TestReaderTakesOverAtOnce(t *testing.T) {
	// Guards against changes that become known up to 0.7 s late after another instance has
	// begun to read the store, as its first call waits for changes of the watched kind.
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		lead, follower := newReplicator(store.source()), newReplicator(store.source())
		lead.settings.Kind, follower.settings.Kind = "lead", "follower"
		for _, r := range []*Replicator{lead, follower} {
			r.Replace(Listing{Position: Position{Revision: 10}}, Reading{At: time.Now(), FromPeer: true})
		}
		const readAfter, soon = 2 * time.Second, 20 * time.Millisecond
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			NewReader(lead.settings.Clock, func() time.Duration { return readAfter }, lead, follower).Run(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		store.change("follower")
		time.Sleep(readAfter - time.Second + soon)
		if follower.Revision() != 11 {
			t.Errorf("a change is not known %v after the instance began to read", soon)
		}
		stop()
		<-done
	})
}

func TestOverdueAnswerIsReported(t *testing.T) {
	// Guards against a reader whose connection to the store has gone silent and who keeps
	// others from reading until its call times out, and against reports of a store that is
	// only slow.
	cases := []struct {
		name  string
		delay time.Duration
		err   error
		want  bool
	}{
		{"prompt", 4 * time.Millisecond, nil, false},
		{"slow", 200 * time.Millisecond, nil, false},
		{"silent", 2 * time.Second, storer.ErrUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				source := store.source()
				lead := newReplicator(Source{
					List: source.List,
					Watch: func(ctx context.Context, kind string, after int64, wait time.Duration) (Changes, error) {
						changes, err := source.Watch(ctx, kind, after, wait)
						time.Sleep(c.delay)
						if c.err != nil {
							return Changes{}, c.err
						}
						return changes, err
					},
				})
				lead.settings.Failures = NewFailures("self", lead.settings.Clock, func() {})
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					NewReader(lead.settings.Clock, func() time.Duration { return 0 }, lead).Run(ctx)
					close(done)
				}()
				time.Sleep(watchWait + overdueAfter + 10*time.Millisecond)
				if got := len(lead.settings.Failures.Recent()) > 0; got != c.want || lead.Failing() != c.want {
					t.Errorf("reported as failing %v, %v, want %v", got, lead.Failing(), c.want)
				}
				stop()
				<-done
			})
		})
	}
}
