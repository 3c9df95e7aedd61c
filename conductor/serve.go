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
	// headerTimeout bounds reading the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept. It is longer
	// than callers wait before they reuse one.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of the headers of a request, and
	// maxControlHeaderBytes those of a message that is not of a caller.
	maxHeaderBytes        = 64 << 10
	maxControlHeaderBytes = 16 << 10
	// controlReadTimeout bounds reading a message of a peer.
	controlReadTimeout = 10 * time.Second
	// maxLookupValidFor is the longest time for which callers may cache the answer
	// to a lookup.
	maxLookupValidFor = 1500 * time.Millisecond
)

// newServer returns a server with an acceptor for one of the addresses of the instance.
func (c *Conductor) newServer(name string, share float64, server *http.Server) namedServer {
	a := acceptor.New(acceptor.Settings{
		Name: name, Clock: c.clock, Log: c.log, Connections: c.resources.connections(share), Report: c.clients,
	})
	server.Handler = a.Handler(server.Handler)
	a.Attach(server)
	return namedServer{name: name, server: server, acceptor: a, served: make(chan struct{})}
}

func (c *Conductor) callerServer() namedServer {
	return c.newServer(callerServerName, callerShare, &http.Server{
		Handler:           c.receiver,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: receiver.ConnContext,
		BaseContext: func(net.Listener) context.Context { return c.requestContext },
	})
}

// controlServer returns a server for requests that are not those of callers.
func (c *Conductor) controlServer(name string, share float64, handler http.Handler) namedServer {
	return c.newServer(name, share, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: controlReadTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxControlHeaderBytes,
	})
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
