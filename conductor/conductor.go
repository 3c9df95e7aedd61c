// Package conductor runs one instance on a platform: it follows the store,
// knows the other instances, serves callers and leaves gracefully.
package conductor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/gatherer"
	"jujubegate.example/jujubegate/gossiper"
	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/receiver"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/sender"
	"jujubegate.example/jujubegate/tracker"
)

const (
	// outPause is the time in which changes of data centres that are taken out
	// are collected before the next paid call.
	outPause = time.Second
	// movesPause likewise for moves to versions, whose first share is small.
	movesPause = time.Second
	// configurationStale is the age from which on the configuration may be old,
	// so that a route which it lacks may exist.
	configurationStale = 2500 * time.Millisecond
	// defaultLinesPerSecond bounds the log of one instance.
	defaultLinesPerSecond = 200
)

// Conductor is one instance.
type Conductor struct {
	settings atomic.Pointer[Settings]
	adapter  Adapter
	clock    jujubegate.Clock
	log      *zap.Logger
	recorder *recorder.Recorder
	started  time.Time

	table      atomic.Pointer[router.Table]
	leaving    atomic.Bool
	registered atomic.Bool
	tracker    *tracker.Tracker
	sender     *sender.Sender
	gossiper   *gossiper.Gossiper
	receiver   *receiver.Receiver
	config     *replicator.Replicator
	targets    *replicator.Replicator
	out        *replicator.Replicator
	moves      *replicator.Replicator
	reader     *replicator.Reader
	promoter   *promoter.Promoter
	decoded    map[string]decodedTarget
	division   atomic.Pointer[division]
	transport  *http.Transport

	// cut ends the requests that are left at the end of the grace.
	cut    context.Context
	cutNow context.CancelFunc
}

// decodedTarget keeps what an object of a target held at a revision.
type decodedTarget struct {
	revision int64
	entry    tracker.Entry
	valid    bool
}

// New returns an instance that Run starts.
func New(settings Settings, adapter Adapter, clock jujubegate.Clock, log *zap.Logger, rec *recorder.Recorder) *Conductor {
	c := &Conductor{
		adapter: adapter, clock: clock, log: log, recorder: rec, started: clock.Now(),
		decoded:   make(map[string]decodedTarget),
		transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true},
	}
	c.settings.Store(&settings)
	c.division.Store(&division{self: settings.Instance, share: startShare, unsettled: true})
	c.cut, c.cutNow = context.WithCancel(context.Background())
	opened := rec.Counter(recorder.ConnectionsOpened)
	c.tracker = tracker.New(tracker.Settings{
		Clock: clock, Log: log, Drain: settings.Bounds.drain(),
		NewPool: func(e tracker.Entry, bound int) *connector.Pool {
			return connector.New(connector.Settings{Target: e.Address, TargetID: e.ID, Names: adapter.Names, Clock: clock, Opened: opened.Inc}, bound)
		},
		ColdFactor: settings.Bounds.ColdFactor, ColdAllowance: settings.Bounds.ColdAllowance,
		ColdPart: c.coldPart,
	})
	c.config = c.follow(adapter.Kinds.Configuration, 0, c.configure)
	c.targets = c.follow(adapter.Kinds.Targets, 0, c.retarget)
	c.out = c.follow(adapter.Kinds.OutOfService, outPause, c.takeOut)
	c.moves = c.follow(adapter.Kinds.Moves, movesPause, c.move)
	c.reader = replicator.NewReader(clock, func() time.Duration {
		return c.gossiper.ReadAfter(adapter.Kinds.Configuration, c.reader.Complete())
	}, c.config, c.targets, c.out, c.moves)
	c.promoter = promoter.New(promoter.Settings{
		Clock: clock, Log: log, Write: c.writeState,
		Rank:       func() int { return c.gossiper.Rank(adapter.Kinds.Moves) },
		OnRollback: func() { c.gossiper.TriggerRound() },
	})
	c.gossiper = gossiper.New(gossiper.Settings{
		Self: gossiper.Peer{
			Instance: settings.Instance, Incarnation: time.Now().UnixMilli(), DataCentre: settings.DataCentre,
			PeerAddress: settings.Listen.Peers, CallerAddress: settings.Listen.Callers, Capacity: settings.capacity(),
		},
		Fleet: settings.fleet(), Seeds: settings.Seeds, Clock: clock, Log: log,
		Replicators:  []*replicator.Replicator{c.config, c.targets, c.out, c.moves},
		LocalTallies: c.tell, TalliesReceived: c.hear,
		Serving: c.serving, Changed: c.peersChanged, Client: &http.Client{Transport: c.transport},
	})
	c.sender = sender.New(sender.Settings{
		Tracker: c.tracker, Clock: clock, Seed: rand.Uint64(), Share: c.share, DataCentre: settings.DataCentre,
		Plan: c.promoter.Plan, Observe: c.observe,
		RepeatRatio: settings.Bounds.RepeatRatio, RepeatAllowance: settings.Bounds.RepeatAllowance,
	})
	gather := gatherer.New(gatherer.Settings{Clock: clock, Send: c.sender.Send, Wait: c.sender.Wait})
	c.receiver = receiver.New(receiver.Settings{
		Names: adapter.Names, Clock: clock, Log: log, Recorder: rec,
		Table: c.table.Load, Current: func() bool { return c.config.Age() < configurationStale }, Leaving: c.leaving.Load,
		Send: c.sender.Send, Gather: gather.Gather,
	})
	rec.GaugeFunc(recorder.TargetsKnown, func() int64 { return int64(c.tracker.UsableCount()) })
	rec.GaugeFunc(recorder.InstancesKnown, func() int64 { return int64(c.instances()) })
	return c
}

func (c *Conductor) follow(kind string, pause time.Duration, changed func(*replicator.State)) *replicator.Replicator {
	return replicator.New(replicator.Settings{
		Kind: kind, Source: c.adapter.Source, Clock: c.clock, Log: c.log, Pause: pause,
		Changed: func(s *replicator.State) {
			served := c.serving()
			changed(s)
			// Peers send callers here only once they know that this instance serves.
			if c.serving() != served || !s.FromPeer || c.gossiper.Size() > gossiper.FullMeshLimit {
				c.gossiper.TriggerRound()
			}
		},
	})
}

// instances returns the number of instances that live, with this one.
func (c *Conductor) instances() int { return len(c.gossiper.Peers()) + 1 }

// fleet returns the instances that live, with this one.
func (c *Conductor) fleet() []gossiper.Peer { return append(c.gossiper.Peers(), c.gossiper.Self()) }

// serving reports whether new requests are taken.
func (c *Conductor) serving() bool {
	return !c.leaving.Load() && c.table.Load() != nil && c.tracker.UsableCount() > 0
}

// configure takes over a new configuration. A version that cannot be read
// leaves the older one in force.
func (c *Conductor) configure(s *replicator.State) {
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
		c.log.Info("conductor: configuration in force", zap.Int64("Version", table.Version),
			zap.Int64("Revision", o.Revision), zap.Bool("FromPeer", s.FromPeer))
	}
}

// retarget takes over a new list of targets.
func (c *Conductor) retarget(s *replicator.State) {
	entries := make([]tracker.Entry, 0, len(s.Objects))
	for name, o := range s.Objects {
		d, ok := c.decoded[name]
		if !ok || d.revision != o.Revision {
			entry, err := c.adapter.DecodeTarget(o)
			if err != nil {
				c.log.Warn("conductor: entry names no target", zap.String("Name", name), zap.Int64("Revision", o.Revision), zap.Error(err))
			}
			d = decodedTarget{revision: o.Revision, entry: entry, valid: err == nil}
			c.decoded[name] = d
		}
		if d.valid {
			entries = append(entries, d.entry)
		}
	}
	for name := range c.decoded {
		if _, ok := s.Objects[name]; !ok {
			delete(c.decoded, name)
		}
	}
	c.tracker.Update(entries, tracker.Recency{SeenAt: s.SeenAt, Gap: s.Gap.Length, GapEndedAt: s.Gap.EndedAt})
}

func (c *Conductor) takeOut(s *replicator.State) {
	var names []jujubegate.DataCentre
	for _, o := range s.Objects {
		names = append(names, c.adapter.DecodeOutOfService(o))
	}
	out := jujubegate.NewSet(names...)
	c.tracker.SetOutOfService(out)
	c.log.Info("conductor: data centres out of service", zap.Any("DataCentres", out.Sorted()), zap.Int64("Revision", s.Revision))
}

func (c *Conductor) peersChanged(peers []gossiper.Peer) {
	c.divide()
	c.log.Info("conductor: instances changed", zap.Int("Alive", len(peers)+1), zap.Float64("Share", c.share()))
}

// Run serves until the context ends, then leaves within the grace.
func (c *Conductor) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := c.listen()
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.server.Serve(s.listener) }()
	}
	go c.reader.Run(background)
	go c.gossiper.Run(background)
	go c.tracker.Run(background)
	go c.register(background)
	go c.promoter.Run(background)
	go c.settle(background)
	c.log.Info("conductor: started", zap.String("Instance", string(c.settings.Load().Instance)),
		zap.String("DataCentre", string(c.settings.Load().DataCentre)), zap.String("Release", jujubegate.Release()), zap.Any("Listen", c.settings.Load().Listen))
	select {
	case <-ctx.Done():
		c.leave(servers)
		return nil
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
}

// served is one HTTP server with its listener.
type served struct {
	name     string
	server   *http.Server
	listener net.Listener
}

func (c *Conductor) listen() ([]served, error) {
	path, peers := c.gossiper.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, peers)
	list := []served{
		{name: callersServer, server: c.callerServer()},
		{name: "Peers", server: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}},
		{name: "Ready", server: &http.Server{Handler: c.readyHandler(), ReadHeaderTimeout: headerTimeout}},
		{name: "Lookup", server: &http.Server{Handler: c.lookupHandler(), ReadHeaderTimeout: headerTimeout}},
	}
	addresses := []string{c.settings.Load().Listen.Callers, c.settings.Load().Listen.Peers, c.settings.Load().Listen.Ready, c.settings.Load().Listen.Lookup}
	if c.settings.Load().Listen.Metrics != "" {
		list = append(list, served{name: "Metrics", server: &http.Server{Handler: c.recorder, ReadHeaderTimeout: headerTimeout}})
		addresses = append(addresses, c.settings.Load().Listen.Metrics)
	}
	for i := range list {
		l, err := net.Listen("tcp", addresses[i])
		if err != nil {
			for _, opened := range list[:i] {
				opened.listener.Close()
			}
			return nil, fmt.Errorf("listen for %s: %w", list[i].name, err)
		}
		list[i].listener = l
	}
	return list, nil
}
