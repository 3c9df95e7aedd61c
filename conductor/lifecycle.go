package conductor

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// leavingAcceptTime is how long a leaving instance still accepts connections.
	// It is longer than maxLookupValidFor, for which callers keep a looked-up
	// address.
	leavingAcceptTime = 2500 * time.Millisecond
	// finalAnswerReserve is the time before the end of the grace period at which
	// remaining requests are cancelled, so that they can still be answered.
	finalAnswerReserve = 700 * time.Millisecond
	// drainCheckPeriod is the time between two looks at the connections of callers while
	// they are drained.
	drainCheckPeriod = 50 * time.Millisecond
	// maxNewConnection is how long a connection without a request is kept open while the
	// connections are drained.
	maxNewConnection = 5 * time.Second
	// finalAnswerTimeout bounds the answers to the cancelled requests.
	finalAnswerTimeout = 200 * time.Millisecond
	// announceTimeout bounds the announcement to peers that this instance leaves.
	announceTimeout = 500 * time.Millisecond
	// registerPeriod is the interval at which an instance checks whether it must
	// register in the store or look up other instances there.
	registerPeriod = 3 * time.Second
	// minRegistered is the minimum number of instances registered in the store.
	minRegistered = 3
)

// Reload reads the settings again. It applies the seeds, the grace period and
// the time for which callers keep looked-up addresses; other changes need a
// restart.
// Settings with findings are not applied at all.
func (c *Conductor) Reload(path string) {
	next, err := Load(path)
	if err != nil {
		c.log.Error("conductor: settings are not reloaded", zap.Error(err))
		return
	}
	old := c.settings.Load()
	c.settings.Store(&next)
	c.gossiper.AddContacts(next.Seeds...)
	c.log.Info("conductor: settings reloaded", zap.Strings("NeedRestart", old.needRestart(&next)))
}

// maintainRegistration registers this instance in the store if it is one of the
// first minRegistered in rank, from which new instances discover the fleet.
// While no peer is known it contacts the instances registered there. Serving
// needs neither, so failures are logged and retried.
func (c *Conductor) maintainRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-c.clock.After(registerPeriod):
		case <-ctx.Done():
			return
		}
		switch {
		case c.leaving.Load():
			return
		case len(c.gossiper.Peers()) == 0:
			c.contactRegistered(ctx)
		case !c.registered.Load() && c.gossiper.Rank(c.adapter.Kinds.Instances) < minRegistered:
			c.register(ctx)
		}
	}
}

// register writes the entry of this instance to the store.
func (c *Conductor) register(ctx context.Context) {
	value, err := c.adapter.EncodeInstance(c.gossiper.Self())
	if err == nil {
		err = c.adapter.Source.Put(ctx, c.adapter.Kinds.Instances, string(c.settings.Load().Instance), value, -1)
	}
	if err != nil {
		c.log.Warn("conductor: registration failed", zap.Error(err))
		return
	}
	c.registered.Store(true)
	c.log.Info("conductor: registered in the store")
}

// contactRegistered contacts the instances that are registered in the store.
func (c *Conductor) contactRegistered(ctx context.Context) {
	l, err := c.adapter.Source.List(ctx, c.adapter.Kinds.Instances)
	if err != nil {
		c.log.Warn("conductor: instances cannot be listed", zap.Error(err))
		return
	}
	for _, o := range l.Objects {
		p, err := c.adapter.DecodeInstance(o)
		if err != nil {
			c.log.Warn("conductor: instance entry cannot be read", zap.String("Name", o.Name), zap.Error(err))
			continue
		}
		c.gossiper.AddContacts(p.PeerAddress)
	}
}

// shutDown announces the shutdown to peers, serves for leavingAcceptTime longer,
// and returns after the last request or at the end of the grace period.
func (c *Conductor) shutDown(servers []namedServer) {
	start := c.clock.Now()
	endsAt := start.Add(c.settings.Load().Bounds.grace() - finalAnswerReserve)
	c.leaving.Store(true)
	c.log.Info("conductor: shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	c.gossiper.Announce(ctx)
	cancel()
	go c.deregister()
	c.clock.Sleep(max(leavingAcceptTime-c.clock.Since(start), 0))
	c.endsAt.Store(&endsAt)
	var group sync.WaitGroup
	for _, s := range servers {
		if s.name != callerServerName {
			continue
		}
		group.Go(func() {
			if c.drainCallers(s) {
				return
			}
			c.log.Warn("conductor: remaining requests are cancelled at the end of the grace period")
			c.cancelRequests()
			ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
			defer cancel()
			if err := s.server.Shutdown(ctx); err != nil {
				c.log.Warn("conductor: requests are left without an answer", zap.Error(err))
			}
		})
	}
	group.Wait()
	c.log.Info("conductor: stopped", zap.Duration("After", c.clock.Since(start)))
}

// drainCallers closes the listener of the callers' server and its connections as they
// become idle, and reports whether all are closed before requests are cancelled. It
// does not use http.Server.Shutdown, after which a request that arrives on an open
// connection is read and gets no answer.
func (c *Conductor) drainCallers(s namedServer) bool {
	if err := s.listener.Close(); err != nil {
		c.log.Warn("conductor: listener of callers cannot be closed", zap.Error(err))
	}
	// A connection that has just been accepted is not known before.
	<-s.served
	for s.acceptor.CloseIdle(maxNewConnection) > 0 {
		if c.clock.Now().After(*c.endsAt.Load()) {
			return false
		}
		c.clock.Sleep(drainCheckPeriod)
	}
	return true
}

// deregister removes this instance's entry from the store if it wrote one.
func (c *Conductor) deregister() {
	if !c.registered.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leavingAcceptTime)
	defer cancel()
	err := c.adapter.Source.Delete(ctx, c.adapter.Kinds.Instances, string(c.settings.Load().Instance))
	if err != nil {
		c.log.Warn("conductor: entry cannot be removed from the store", zap.Error(err))
	}
}
