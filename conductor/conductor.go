// Package conductor runs one instance on a platform: it replicates the store,
// exchanges state with peers, serves callers and shuts down gracefully.
package conductor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/estimator"
	"jujubegate.example/jujubegate/gatherer"
	"jujubegate.example/jujubegate/gossiper"
	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/receiver"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/screener"
	"jujubegate.example/jujubegate/sender"
	"jujubegate.example/jujubegate/tracker"
)

const (
	// outOfServicePause is the least time between two reads of the data centres
	// out of service. It batches changes, since each store call is billed.
	outOfServicePause = time.Second
	// movesPause is the same for moves. The delay is harmless because a new
	// version starts with a small share of the requests.
	movesPause = time.Second
	// operatorRewriteTime is how long the operator may take to write again what the
	// store lost when it came back from an older copy.
	operatorRewriteTime = 15 * time.Second
	// targetRewriteTime is the same for targets. The entry of one that is gone is
	// removed after three missed writes, 1.2 s apart, and then read.
	targetRewriteTime = 6 * time.Second
	// convergeMargin is the part of Bounds.ConvergeMillis for which a route may have
	// been in the store already when the configuration was last confirmed.
	convergeMargin = 500 * time.Millisecond
	// defaultLinesPerSecond is the default log rate limit of one instance.
	defaultLinesPerSecond = 200
)

// Conductor wires up and runs the components of one instance.
type Conductor struct {
	settings atomic.Pointer[Settings]
	adapter  Adapter
	clock    jujubegate.Clock
	log      *zap.Logger
	recorder *recorder.Recorder
	started  time.Time

	table   atomic.Pointer[router.Table]
	leaving atomic.Bool
	// endsAt is when the remaining requests are cancelled; nil until the instance accepts
	// no new connections any more.
	endsAt         atomic.Pointer[time.Time]
	resources      *resources
	clients        *acceptor.Reporter
	servers        atomic.Pointer[[]namedServer]
	registered     atomic.Bool
	tracker        *tracker.Tracker
	sender         *sender.Sender
	gossiper       *gossiper.Gossiper
	receiver       *receiver.Receiver
	config         *replicator.Replicator
	targets        *replicator.Replicator
	outOfService   *replicator.Replicator
	moves          *replicator.Replicator
	reader         *replicator.Reader
	failures       *replicator.Failures
	promoter       *promoter.Promoter
	screener       *screener.Screener
	keeper         *screener.Keeper
	decodedTargets map[string]decodedTarget
	division       atomic.Pointer[division]
	transport      *http.Transport

	// requestContext is the base context of all callers' requests. It is cancelled
	// shortly before the grace period ends.
	requestContext context.Context
	cancelRequests context.CancelFunc
}

// decodedTarget caches the decoded entry of a target object at a revision.
type decodedTarget struct {
	revision int64
	entry    tracker.Entry
	valid    bool
}

// New returns an instance, which Run starts.
func New(settings Settings, adapter Adapter, clock jujubegate.Clock, log *zap.Logger, rec *recorder.Recorder) *Conductor {
	c := &Conductor{
		adapter: adapter, clock: clock, log: log, recorder: rec, started: clock.Now(),
		decodedTargets: make(map[string]decodedTarget),
	}
	c.transport = c.newPeerTransport()
	c.settings.Store(&settings)
	c.division.Store(&division{self: settings.Instance, share: maxStartupShare, startingUp: true})
	c.requestContext, c.cancelRequests = context.WithCancel(context.Background())
	opened := rec.Counter(recorder.ConnectionsOpened)
	c.resources = newResources(&settings, log)
	c.clients = acceptor.NewReporter(clock, log, acceptor.CountBy(rec))
	c.tracker = tracker.New(tracker.Settings{
		Clock: clock, Log: log, Drain: settings.Bounds.drain(),
		NewPool: func(e tracker.Entry, bound int) *connector.Pool {
			return connector.New(connector.Settings{
				Target: e.Address, TargetID: e.ID, Names: adapter.Names, Clock: clock, Opened: opened.Inc, Memory: c.resources.answers,
				Lost: func() { c.screener.RecordEnd(e.ID) },
				Dial: c.dialTarget(e.DataCentre),
			}, bound)
		},
		ColdFactor: settings.Bounds.ColdFactor, ColdAllowance: settings.Bounds.ColdAllowance,
		ColdPart:       c.coldPart,
		LimitShare:     c.limitShare,
		Changed:        func() { c.gossiper.TriggerRound() },
		StoreReads:     c.targetReads,
		MovesConfirmed: func() time.Time { return clock.Now().Add(-c.moves.Age()) },
	})
	c.failures = replicator.NewFailures(settings.Instance, clock, func() { c.gossiper.TriggerRound() })
	operator := replicator.Rewriting{KeepMissing: true, Within: operatorRewriteTime}
	c.config = c.newReplicator(adapter.Kinds.Configuration, 0, replicator.Rewriting{Later: adapter.LaterConfiguration, KeepMissing: true}, c.applyConfiguration)
	c.targets = c.newReplicator(adapter.Kinds.Targets, 0, replicator.Rewriting{Later: adapter.LaterTarget, Within: targetRewriteTime}, c.applyTargets)
	c.outOfService = c.newReplicator(adapter.Kinds.OutOfService, outOfServicePause, operator, c.applyOutOfService)
	c.moves = c.newReplicator(adapter.Kinds.Moves, movesPause, operator, c.applyMoves)
	c.reader = replicator.NewReader(clock, func() time.Duration {
		return c.gossiper.ReadAfter(adapter.Kinds.Configuration, c.reader.Complete())
	}, c.config, c.targets, c.outOfService, c.moves)
	incarnation := time.Now().UnixMilli()
	c.promoter = promoter.New(promoter.Settings{
		Instance: settings.Instance, Incarnation: incarnation, FleetSize: func() int { return c.gossiper.Size() },
		Clock: clock, Log: log, Write: c.writeState, Seed: rand.Uint64(), Share: c.share, Versions: c.tracker.Versions,
		Rank:       func() int { return c.gossiper.Rank(adapter.Kinds.Moves) },
		OnRollback: func() { c.gossiper.TriggerRound() },
	})
	c.gossiper = gossiper.New(gossiper.Settings{
		Self: gossiper.Peer{
			Instance: settings.Instance, Incarnation: incarnation, DataCentre: settings.DataCentre,
			PeerAddress: settings.Listen.Peers, CallerAddress: settings.Listen.Callers, Capacity: settings.capacity(),
		},
		Fleet: settings.fleet(), Seeds: settings.Seeds, Clock: clock, Log: log,
		Replicators: []*replicator.Replicator{c.config, c.targets, c.outOfService, c.moves}, Failures: c.failures,
		LocalNotices: c.localNotices, NoticesReceived: c.mergeNotices,
		Serving: c.serving, Changed: c.peersChanged, Client: &http.Client{Transport: c.transport},
	})
	c.screener = screener.New(screener.Settings{
		Clock: clock, Log: log, Changed: func() { c.gossiper.TriggerRound() },
	})
	c.keeper = screener.NewKeeper(screener.KeeperSettings{
		Screener: c.screener, Clock: clock, Log: log, Load: c.loadBlocked, Save: c.saveBlocked,
		Turn: c.reader.Turn,
	})
	c.sender = sender.New(sender.Settings{
		Tracker: c.tracker, Clock: clock, Seed: rand.Uint64(), Share: c.share, DataCentre: settings.DataCentre,
		Plan: c.promoter.Plan, Admit: c.promoter.Admit, Observe: c.observe,
		RepeatRatio: settings.Bounds.RepeatRatio, RepeatAllowance: settings.Bounds.RepeatAllowance,
	})
	gather := gatherer.New(gatherer.Settings{Clock: clock, Send: c.sender.Send, Wait: c.sender.Wait, ReturnAfter: c.sender.ReturnAfter})
	c.receiver = receiver.New(receiver.Settings{
		Names: adapter.Names, Clock: clock, Log: log, Recorder: rec,
		Table: c.table.Load, Current: c.configurationCurrent, Leaving: c.leaving.Load, EndsAt: c.endsAt.Load, Memory: c.resources.requests, Estimator: estimator.New(clock), Screener: c.screener,
		Send: c.sender.Send, Gather: gather.Gather,
	})
	rec.ValueFunc(recorder.TargetsKnown, func() int64 { return int64(c.tracker.UsableCount()) })
	rec.ValueFunc(recorder.TargetsLimited, func() int64 { return int64(c.tracker.LimitedCount()) })
	rec.ValueFunc(recorder.TargetsLeaving, func() int64 { return int64(c.tracker.LeavingCount()) })
	rec.ValueFunc(recorder.TargetsPaused, func() int64 { return int64(c.tracker.PausedCount()) })
	rec.ValueFunc(recorder.DeparturesSeen, c.tracker.DeparturesSeen)
	rec.ValueFunc(recorder.PausesAsked, c.tracker.PausesAsked)
	rec.ValueFunc(recorder.PausesUnreadable, c.tracker.PausesUnreadable)
	rec.ValueFunc(recorder.RequestsBlocked, func() int64 { return int64(c.screener.BlockedCount()) })
	c.publishClients()
	rec.ValueFunc(recorder.InstancesKnown, func() int64 { return int64(c.countInstances()) })
	return c
}

// newReplicator returns a replicator of one kind of objects. It calls changed
// with each new state and starts a gossip round if peers need to know.
func (c *Conductor) newReplicator(kind string, pause time.Duration, rewriting replicator.Rewriting, changed func(*replicator.State)) *replicator.Replicator {
	return replicator.New(replicator.Settings{
		Kind: kind, Source: c.adapter.Source, Clock: c.clock, Log: c.log, Pause: pause, Rewriting: rewriting, Failures: c.failures,
		Changed: func(s *replicator.State) {
			wasServing := c.serving()
			if s.Restored {
				// The store may have forgotten this instance.
				c.registered.Store(false)
			}
			changed(s)
			// Gossip at once if readiness changed, since peers advertise this
			// instance to callers only while it serves, and if the state came from
			// the store. In a small fleet a state from a peer needs no extra round,
			// as each pair exchanges state in every round.
			if c.serving() != wasServing || !s.FromPeer || c.gossiper.Size() > gossiper.FullMeshLimit {
				c.gossiper.TriggerRound()
			}
		},
	})
}

// countInstances returns the number of live instances, including this one.
func (c *Conductor) countInstances() int { return len(c.gossiper.Peers()) + 1 }

// liveFleet returns the live instances, including this one.
func (c *Conductor) liveFleet() []gossiper.Peer {
	return append(slices.Clone(c.gossiper.Peers()), c.gossiper.Self())
}

// configurationCurrent reports whether the configuration was confirmed so recently
// that a route that is missing from it does not exist.
func (c *Conductor) configurationCurrent() bool {
	return c.config.Age() < c.settings.Load().Bounds.converge()-convergeMargin
}

// serving reports whether the instance accepts new requests. Without the moves, it would
// send as much to a version that is being tried as to the others.
func (c *Conductor) serving() bool {
	return !c.leaving.Load() && c.table.Load() != nil && c.moves.State() != nil && c.tracker.UsableCount() > 0
}

// applyConfiguration applies a newer configuration. If it cannot be decoded,
// the current one stays in use.
func (c *Conductor) applyConfiguration(s *replicator.State) {
	for _, o := range s.Objects {
		old := c.table.Load()
		table, err := c.adapter.DecodeConfiguration(o, old)
		if err != nil {
			c.log.Error("conductor: configuration cannot be read", zap.Int64("Revision", o.Revision), zap.Error(err))
			continue
		}
		if table == nil || old != nil && table.Version <= old.Version {
			continue
		}
		c.table.Store(table)
		c.tracker.SetTable(table)
		c.recorder.Gauge(recorder.ConfigurationInUse).Set(table.Version)
		c.log.Info("conductor: configuration applied", zap.Int64("Version", table.Version),
			zap.Int64("Revision", o.Revision), zap.Bool("FromPeer", s.FromPeer))
	}
}

// applyTargets applies a new list of targets. Only objects whose revision
// changed are decoded.
func (c *Conductor) applyTargets(s *replicator.State) {
	entries := make([]tracker.Entry, 0, len(s.Objects))
	for name, o := range s.Objects {
		d, ok := c.decodedTargets[name]
		if !ok || d.revision != o.Revision {
			entry, err := c.adapter.DecodeTarget(o)
			if err != nil {
				c.log.Warn("conductor: target entry cannot be read", zap.String("Name", name), zap.Int64("Revision", o.Revision), zap.Error(err))
			}
			d = decodedTarget{revision: o.Revision, entry: entry, valid: err == nil}
			c.decodedTargets[name] = d
		}
		if d.valid {
			entries = append(entries, d.entry)
		}
	}
	for name := range c.decodedTargets {
		if _, ok := s.Objects[name]; !ok {
			delete(c.decodedTargets, name)
		}
	}
	c.tracker.Update(entries, tracker.Recency{SeenAt: s.SeenAt, Gap: s.Gap.Length, GapEndedAt: s.Gap.EndedAt, StoreAway: s.Gap.StoreAway(), Restored: s.Restored})
}

// targetReads returns the latest reads of the list of targets.
func (c *Conductor) targetReads() tracker.StoreReads {
	h := c.targets.Holding()
	reads := tracker.StoreReads{ConfirmedAt: c.clock.Now().Add(-h.Age)}
	if h.Gap.StoreAway() || h.Gap.Failed > 0 {
		reads.OutageEndedAt = h.Gap.EndedAt
	}
	return reads
}

// applyOutOfService applies the list of data centres that are out of service.
func (c *Conductor) applyOutOfService(s *replicator.State) {
	var names []jujubegate.DataCentre
	for _, o := range s.Objects {
		names = append(names, c.adapter.DecodeOutOfService(o))
	}
	out := jujubegate.NewSet(names...)
	c.tracker.SetOutOfService(out)
	c.log.Info("conductor: data centres out of service", zap.Any("DataCentres", out.Sorted()), zap.Int64("Revision", s.Revision))
}

// peersChanged updates the division after a change of the live instances.
func (c *Conductor) peersChanged(peers []gossiper.Peer) {
	c.updateDivision()
	c.log.Info("conductor: instances changed", zap.Int("Alive", len(peers)+1), zap.Float64("Share", c.share()))
}

// Run serves until the context is cancelled, then shuts down within the grace
// period.
func (c *Conductor) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := c.listen()
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() {
			defer close(s.served)
			failed <- s.server.Serve(s.acceptor.Listener(s.listener))
		}()
	}
	go c.reader.Run(background)
	go c.gossiper.Run(background)
	go c.tracker.Run(background)
	go c.maintainRegistration(background)
	go c.promoter.Run(background)
	go c.keeper.Run(background)
	go c.updateAfterStartup(background)
	c.log.Info("conductor: started", zap.String("Instance", string(c.settings.Load().Instance)),
		zap.String("DataCentre", string(c.settings.Load().DataCentre)), zap.String("Release", jujubegate.Release()), zap.Any("Listen", c.settings.Load().Listen))
	select {
	case <-ctx.Done():
		c.shutDown(servers)
		return nil
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
}

// namedServer is an HTTP server with its name and listener.
type namedServer struct {
	name     string
	server   *http.Server
	acceptor *acceptor.Acceptor
	listener net.Listener
	// served is closed once the server accepts no more connections.
	served chan struct{}
}

// listen opens the listeners of all HTTP servers. On an error it closes those
// already opened.
func (c *Conductor) listen() ([]namedServer, error) {
	path, peers := c.gossiper.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, peers)
	messages := &acceptor.Messages{Budget: c.resources.messages, WithAnswers: true, Server: peerServerName, Report: c.clients}
	servers := []namedServer{
		c.callerServer(),
		c.controlServer(peerServerName, peerShare, messages.Handler(mux)),
		c.controlServer("Ready", readyShare, c.readyHandler()),
		c.controlServer("Lookup", lookupShare, c.lookupHandler()),
	}
	addresses := []string{c.settings.Load().Listen.Callers, c.settings.Load().Listen.Peers, c.settings.Load().Listen.Ready, c.settings.Load().Listen.Lookup}
	if c.settings.Load().Listen.Metrics != "" {
		servers = append(servers, c.controlServer("Metrics", metricsShare, c.recorder))
		addresses = append(addresses, c.settings.Load().Listen.Metrics)
	}
	c.servers.Store(&servers)
	for i := range servers {
		l, err := net.Listen("tcp", addresses[i])
		if err != nil {
			for _, opened := range servers[:i] {
				opened.listener.Close()
			}
			return nil, fmt.Errorf("listen for %s: %w", servers[i].name, err)
		}
		servers[i].listener = l
	}
	return servers, nil
}
