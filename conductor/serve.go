package conductor

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"jujubegate.example/jujubegate/gossiper"
)

const (
	callersServer = "Callers"
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept, longer
	// than any caller reuses one.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
	// lookupValidFor is how long callers keep an answer of the address look-up.
	lookupValidFor = 1500 * time.Millisecond
)

func (c *Conductor) callerServer() *http.Server {
	return &http.Server{
		Handler:           c.receiver,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return c.cut },
	}
}

// readyHandler answers whether the instance takes new requests.
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

// lookupHandler tells callers where to connect.
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

func (c *Conductor) lookupValidFor() time.Duration {
	return min(lookupValidFor, time.Duration(c.settings.Load().Bounds.LookupSeconds*float64(time.Second)))
}

// addresses returns those of the instances that callers use, in random order.
func (c *Conductor) addresses() []string {
	active := gossiper.Active(c.fleet())
	addresses := make([]string, len(active))
	for i, p := range active {
		addresses[i] = p.CallerAddress
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
