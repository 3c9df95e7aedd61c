package conductor

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/gossiper"
	"jujubegate.example/jujubegate/receiver"
)

const (
	callerServerName = "Callers"
	peerServerName   = "Peers"
	// maxLookupValidFor is the longest time for which callers may cache the answer
	// to a lookup.
	maxLookupValidFor = 1500 * time.Millisecond
)

// The limits on callers until a configuration is known. A caller that is refused for its
// headers does not try again, so the limit on these must exceed that of any configuration.
var unconfiguredLimits = acceptor.Limits{
	HeadBytes: 64 << 10, HeadTime: 10 * time.Second, BodyTime: receiver.BodyTimeout, IdleTime: 2 * time.Minute,
}

// controlLimits are the limits on clients that are not callers.
var controlLimits = acceptor.Limits{
	HeadBytes: 16 << 10, HeadTime: 10 * time.Second, BodyTime: 10 * time.Second, IdleTime: 2 * time.Minute,
}

// headTimeMargin is by how much a head may exceed the configured time, as a part of it. Its
// bytes can be delayed on their way.
const headTimeMargin = 0.25

// callerLimits returns the limits on callers: those of the configuration, if it is known and
// has them.
func (c *Conductor) callerLimits() acceptor.Limits {
	limits := unconfiguredLimits
	table := c.table.Load()
	if table == nil {
		return limits
	}
	configured := table.Limits
	if configured.HeaderBytes > 0 {
		limits.HeadBytes = configured.HeaderBytes
	}
	if configured.HeaderTime > 0 {
		limits.HeadTime = time.Duration((1 + headTimeMargin) * float64(configured.HeaderTime))
	}
	if configured.IdleTime > 0 {
		limits.IdleTime = configured.IdleTime
	}
	return limits
}

// newServer returns a server with an acceptor for one of the addresses of the instance.
func (c *Conductor) newServer(name string, share float64, limits func() acceptor.Limits, handler http.Handler) namedServer {
	a := acceptor.New(acceptor.Settings{
		Name: name, Clock: c.clock, Log: c.log, Connections: c.resources.connections(share), Limits: limits,
		Heads: c.resources.heads, Report: c.clients,
	})
	return namedServer{name: name, server: a.Server(handler), acceptor: a, served: make(chan struct{})}
}

func (c *Conductor) callerServer() namedServer {
	s := c.newServer(callerServerName, callerShare, c.callerLimits, c.receiver)
	s.server.BaseContext = func(net.Listener) context.Context { return c.requestContext }
	s.server.ConnContext = receiver.ConnContext
	s.acceptor.Attach(s.server)
	return s
}

// controlServer returns a server for requests that are not those of callers.
func (c *Conductor) controlServer(name string, share float64, handler http.Handler) namedServer {
	return c.newServer(name, share, func() acceptor.Limits { return controlLimits }, handler)
}

// readyHandler serves the readiness probe.
func (c *Conductor) readyHandler() http.Handler {
	e := echo.New()
	e.GET(c.adapter.ReadyPath, func(x echo.Context) error {
		if !c.serving() {
			return x.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return x.String(http.StatusOK, "ready\n")
	})
	return e
}

// lookupHandler serves the address lookup of callers.
func (c *Conductor) lookupHandler() http.Handler {
	e := echo.New()
	e.GET(c.adapter.LookupPath, func(x echo.Context) error {
		addresses := c.addresses()
		if len(addresses) == 0 {
			return x.String(http.StatusServiceUnavailable, "no instance serves\n")
		}
		return x.JSON(http.StatusOK, c.adapter.EncodeLookup(LookupAnswer{Addresses: addresses, ValidFor: c.lookupValidFor()}))
	})
	return e
}

// lookupValidFor returns how long callers may cache the answer to a lookup.
// The settings can lower it but not raise it.
func (c *Conductor) lookupValidFor() time.Duration {
	return min(maxLookupValidFor, time.Duration(c.settings.Load().Bounds.LookupSeconds*float64(time.Second)))
}

// addresses returns the caller addresses of the active instances in random
// order.
func (c *Conductor) addresses() []string {
	active := gossiper.Active(c.liveFleet())
	addresses := make([]string, len(active))
	for i, p := range active {
		addresses[i] = p.CallerAddress
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
