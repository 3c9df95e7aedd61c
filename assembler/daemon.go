// Package assembler builds an entry daemon from its settings: it creates and
// connects the components of one instance and runs them.
package assembler

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/advertiser"
	"jujubegate.example/jujubegate/assigner"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/dispatcher"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/lister"
	"jujubegate.example/jujubegate/loader"
	"jujubegate.example/jujubegate/mover"
	"jujubegate.example/jujubegate/orderer"
	"jujubegate.example/jujubegate/querier"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/server"
	"jujubegate.example/jujubegate/storer"
	"jujubegate.example/jujubegate/transporter"
)

const (
	// cell names the group of instances that share a membership view. A fleet
	// of up to 32 instances is one cell.
	cell = "Fleet"
	// fleetOrderWriteRate bounds the store writes per second for the orders of all
	// instances: half of the several hundred that the store can take.
	fleetOrderWriteRate = 200
	// minOrderBurst is the minimum burst of order writes: the writes of two orders.
	minOrderBurst = 4
	// maintenanceInterval is the time between two updates of the usable targets,
	// and thus bounds the reaction time to a target that was taken over and to a
	// lost lease.
	maintenanceInterval = 100 * time.Millisecond
)

// Daemon is one instance of the entry daemon.
type Daemon struct {
	settings loader.Settings
	clock    jujubegate.Clock
	logger   *zap.Logger
	self     leaser.Member

	recorder      *recorder.Recorder
	store         *storer.Client
	lister        *lister.Client
	follower      *configurator.Follower
	leaser        *leaser.Leaser
	ownership     *assigner.Ownership
	dispatcher    *dispatcher.Dispatcher
	querier       *querier.Querier
	orderer       *orderer.Orderer
	advertiser    *advertiser.Advertiser
	reports       *reportCache
	peerHealth    *peerHealth
	ownerActivity *ownerActivity
	checks        *sendChecks
	// tally counts the results of this instance's requests, fleetTally adds up the
	// counts of all instances.
	tally       *mover.Tally
	fleetTally  *mover.FleetTally
	leavingList leavingList
	halts       *mover.Halts
	mover       *mover.Mover
	client      *transporter.Client
	handler     *transporter.Handler
	server      *server.Server

	queryLatency  *recorder.Histogram
	targetLatency *recorder.Histogram

	// configured is set once the newest generation was read from the store or
	// from a majority of the members; before that no work is accepted.
	configured atomic.Bool
	// refusing is the refusal of new work while the instance leaves, else nil.
	refusing atomic.Pointer[jujubegate.Refusal]
	// fetching is set while changes are fetched from a peer.
	fetching atomic.Bool
	// background counts the goroutines that Run waits for before it returns.
	background  sync.WaitGroup
	maintenance trigger
	random      *lockedRand
}

// New creates and connects the components of an instance; Run starts them.
func New(settings loader.Settings, clock jujubegate.Clock, logger *zap.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, clock: clock, logger: logger, reports: newReportCache(), peerHealth: newPeerHealth(), ownerActivity: newOwnerActivity(), checks: newSendChecks()}
	d.self = leaser.Member{
		Instance:      settings.Instance,
		Incarnation:   uuid.NewString(),
		DataCentre:    settings.DataCentre,
		PeerAddress:   settings.PeerAddress,
		CallerAddress: settings.CallerAddress,
	}
	d.halts, d.fleetTally = mover.NewHalts(), mover.NewFleetTally()
	d.tally = mover.NewTally(d.isWarm)
	d.random = newLockedRand(rand.Uint64(), rand.Uint64())
	d.recorder = recorder.New(logger, settings.FatalChecks)
	if err := d.setUpPlatform(); err != nil {
		return nil, err
	}
	d.setUpControl()
	d.setUpOwner()
	d.setUpEntry()
	d.setUpMover()
	d.setUpServers()
	d.registerMetrics()
	return d, nil
}

func (d *Daemon) setUpPlatform() error {
	var err error
	d.store, err = storer.New(storer.Settings{
		Addresses:      d.settings.Store.Addresses,
		Instance:       d.settings.Instance,
		Timeout:        d.settings.Store.Timeout,
		CallsPerSecond: d.settings.Store.CallsPerSecond,
	})
	if err != nil {
		return err
	}
	d.lister, err = lister.New(lister.Settings{
		Addresses: d.settings.Store.Addresses,
		Instance:  d.settings.Instance,
		Timeout:   d.settings.Store.Timeout,
	})
	return err
}

func (d *Daemon) setUpControl() {
	d.client = transporter.NewClient(d.clock)
	d.client.Observed = d.handleObservation
	d.client.Halts = d.halts.List
	d.follower = configurator.New(d.store.Store, d.clock, d.logger)
	d.follower.IsWatcher = d.watchesStore
	d.follower.OnChange = d.handleChanges
	d.follower.OnViolation = func(err error) {
		d.recorder.Check().Violation(recorder.Configuration, "%v", err)
	}
	timing := leaser.DefaultTiming()
	timing.Heartbeat = d.settings.Lease.Heartbeat
	timing.Suspicion = d.settings.Lease.Suspect
	timing.Lease = d.settings.Lease.Duration
	// The ownership and the leaser depend on each other: one reads the state of the
	// leaser, the other reports the generation of the ownership.
	d.ownership = assigner.NewOwnership(func() *leaser.State { return d.leaser.State() }, d.logger)
	d.leaser = leaser.New(leaser.Options{
		Self:          d.self,
		Cell:          cell,
		Timing:        timing,
		Heartbeat:     d.client.Heartbeat,
		Store:         d.store.Store,
		Clock:         d.clock,
		ListInstances: d.listInstances,
		Generation:    d.ownership.Generation,
		OnGeneration:  d.fetchFrom,
		OnView:        func(leaser.View) { d.maintenance.request() },
		WaitDrained:   d.drainLostTargets,
		Logger:        d.logger,
	})
	d.advertiser = advertiser.New(d.leaser.State)
}

func (d *Daemon) setUpOwner() {
	d.maintenance = newTrigger()
	d.dispatcher = dispatcher.New(dispatcher.Settings{
		MaySend:   d.ownership.MaySend,
		Allowed:   d.allows,
		Finished:  d.finished,
		Violation: d.recordViolation,
		Memory:    connector.NewMemory(int64(d.settings.Limits.AnswerMemoryBytes)),
		Clock:     d.clock,
		Log:       d.logger,
	})
}

func (d *Daemon) setUpEntry() {
	q := querier.New(d.settings.DataCentre, d.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), d.logger)
	q.Configuration = d.follower.Current
	q.Serving = d.serving
	q.Owner = d.reachableOwner
	q.Report = d.ownerReport
	q.Halted = d.halts.Halted
	q.Dispatch = d.dispatch
	q.Cancel = d.cancel
	q.Violation = d.recordViolation
	d.querier = q
	d.orderer = orderer.New(d.store.Store, q, d.clock, rate.Limit(fleetOrderWriteRate), d.logger)
	d.orderer.Violation = d.recordViolation
}

func (d *Daemon) setUpServers() {
	d.handler = transporter.NewHandler(d.clock, d.logger)
	d.handler.HandleHeartbeat = d.leaser.HandleHeartbeat
	d.handler.Run = d.dispatcher.Do
	d.handler.CancelRun = d.dispatcher.Cancel
	d.handler.ReportsSince = func(mark uint64) ([]jujubegate.TargetReport, uint64) {
		reports, next := d.dispatcher.ReportsSince(dispatcher.Mark(mark))
		usable := d.usableReports(reports)
		if len(usable) < len(reports) {
			// The mark does not advance, so that the reports left out now are sent
			// once their targets may be used.
			return usable, mark
		}
		return usable, uint64(next)
	}
	d.handler.Counts = d.countsOfMovingServices
	d.handler.Halts = d.halts.List
	d.handler.MergeHalts = d.halts.Merge
	d.handler.Leaving = d.leavingList.get
	d.handler.Changes = d.follower.After
	d.handler.Offer = d.applyPushedChanges
	d.handler.CurrentStatus = d.status

	d.server = server.New(d.logger)
	d.server.Query = d.query
	d.server.Order = d.order
	d.server.Outcome = d.outcome
	d.server.Addresses = d.addresses
	d.server.Statements = d.statements
	d.server.InForce = d.inForce
	d.server.Refusing = d.refusing.Load
	d.server.Ready = d.ready
	d.server.Vars = d.recorder
	d.server.MaxInFlight = int64(d.settings.Limits.MaxQueriesInFlight)
}

func (d *Daemon) recordViolation(name, detail string) {
	d.recorder.Check().Violation(recorder.Invariant(name), "%s", detail)
}

// serving reports whether this instance may accept new work.
func (d *Daemon) serving(now time.Time) bool {
	return d.configured.Load() && d.leaser.Serving(now)
}

// ready returns why this instance accepts no new work, or nil if it does.
func (d *Daemon) ready() error {
	switch {
	case d.refusing.Load() != nil:
		return errors.New("instance is leaving")
	case !d.configured.Load():
		return errors.New("configuration is not loaded")
	case !d.leaser.Serving(d.clock.Now()):
		return errors.New("serving lease is not held")
	}
	return nil
}

// Run serves until the context is cancelled and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", d.settings.PeerAddress)
	if err != nil {
		return oops.In("assembler").Wrapf(err, "listen for peers")
	}
	callerListener, err := net.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		_ = peerListener.Close()
		return oops.In("assembler").Wrapf(err, "listen for callers")
	}
	clients := newClients(d.settings.Limits, d.clock, d.logger, d.recorder)
	peerServer := clients.peerServer(d.handler.HTTPServer)
	callerServer := clients.callerServer(d.server.Handler(int64(d.settings.Limits.MaxBodyBytes)))
	d.logger.Info("assembler: started", zap.String("instance", string(d.self.Instance)),
		zap.String("peers", d.settings.PeerAddress), zap.String("callers", d.settings.CallerAddress))

	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupContext := errgroup.WithContext(running)
	group.Go(func() error { return serve(peerServer, clients.peers.Listener(peerListener)) })
	group.Go(func() error { return serve(callerServer, clients.callers.Listener(callerListener)) })
	group.Go(func() error { return ignoreCanceled(d.leaser.Run(groupContext)) })
	group.Go(func() error { return ignoreCanceled(d.follower.Run(groupContext)) })
	group.Go(func() error { d.orderer.Run(groupContext); return nil })
	group.Go(func() error { d.awaitConfiguration(groupContext); return nil })
	group.Go(func() error { d.maintain(groupContext); return nil })
	group.Go(func() error { d.mover.Run(groupContext); return nil })
	group.Go(func() error { d.pollPlatformList(groupContext); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			d.leave(callerServer)
		case <-groupContext.Done():
		}
		stop()
		shutDownPeerServer(peerServer)
		return callerServer.Close()
	})
	err = group.Wait()
	d.background.Wait()
	d.client.Close()
	d.store.Close()
	d.lister.Close()
	return err
}

// peerShutdownTimeout bounds the wait for running calls of peers at shutdown.
const peerShutdownTimeout = 2 * time.Second

func shutDownPeerServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), peerShutdownTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return oops.In("assembler").Wrapf(err, "serve %s", l.Addr())
	}
	return nil
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
