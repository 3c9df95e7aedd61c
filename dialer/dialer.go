// Package dialer holds the connections to one target and speaks the target
// protocol: HTTP/1.1 with JSON, one request per connection at a time.
package dialer

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"jujubegate.example/jujubegate"
)

const (
	// DefaultGrace bounds how long a cancelled request's connection is read
	// for its end. It must not exceed the grace of the limiter.
	DefaultGrace = time.Second
	// PollInterval is the time between load reports.
	PollInterval = time.Second
	// dialTimeout bounds the opening of a connection, which takes 1 to 6 ms.
	dialTimeout = time.Second
	// pollTimeout bounds the reading of a load report.
	pollTimeout = time.Second
	// maxAnswer bounds the answer to a sub-request, in bytes.
	maxAnswer = 8 << 20
	// maxHeader bounds the header of an answer, in bytes.
	maxHeader = 64 << 10
	// maxLoad bounds a load report, in bytes.
	maxLoad = 64 << 10
)

// Settings are the dependencies of a Dialer.
type Settings struct {
	Target jujubegate.Target
	// Connections is the number of connections that the target accepts.
	Connections int
	// Grace is how long a cancelled request's connection is read for its end;
	// 0 means DefaultGrace.
	Grace time.Duration
	Clock jujubegate.Clock
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Loaded receives each load report, or the error of reading it; nil ignores them.
	Loaded func(Load, error)
	// Broken is called when the target has closed a connection; nil ignores it.
	Broken func()
	// Restarted is called when the target has closed all connections; nil ignores it.
	Restarted func()
}

// Dialer holds the connections to one target. It is safe for concurrent use.
type Dialer struct {
	settings  Settings
	pool      *pool
	transport atomic.Pointer[http.Transport]
	// queryURL and orderURL are read-only.
	queryURL, orderURL, loadURL url.URL

	stop    context.CancelFunc
	running sync.WaitGroup
}

// New returns a dialer that opens connections ahead of need and polls the
// load report until Close.
func New(settings Settings) *Dialer {
	if settings.Grace <= 0 {
		settings.Grace = DefaultGrace
	}
	settings.Connections = max(settings.Connections, 1)
	if settings.Dial == nil {
		settings.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Dialer{settings: settings, stop: stop}
	address := string(settings.Target.Address)
	d.queryURL = url.URL{Scheme: "http", Host: address, Path: "/query"}
	d.orderURL = url.URL{Scheme: "http", Host: address, Path: "/order"}
	d.loadURL = url.URL{Scheme: "http", Host: address, Path: "/load"}
	d.pool = newPool(settings, address)
	d.transport.Store(d.newTransport(settings.Connections))
	d.running.Go(func() { d.pool.maintain(ctx) })
	d.running.Go(func() { d.poll(ctx) })
	return d
}

func (d *Dialer) newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:            d.pool.dialContext,
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		MaxResponseHeaderBytes: maxHeader,
		DisableCompression:     true,
	}
}

// SetConnections replaces the number of connections that the target accepts,
// for a changed declaration. Requests in flight finish on their connections.
func (d *Dialer) SetConnections(connections int) {
	connections = max(connections, 1)
	old := d.transport.Load()
	if connections == old.MaxConnsPerHost {
		return
	}
	d.transport.Store(d.newTransport(connections))
	old.CloseIdleConnections()
}

// SetBound sets how many connections may be open and how many are kept open
// ahead of need. Connections in use above a lowered bound end with their request.
func (d *Dialer) SetBound(bound, wanted int) {
	transport := d.transport.Load()
	bound = min(max(bound, 1), transport.MaxConnsPerHost)
	if d.pool.setBound(bound, min(wanted, bound)) {
		transport.CloseIdleConnections()
	}
}

// Open returns the number of open connections, including cancelled ones whose
// end has not been seen.
func (d *Dialer) Open() int { return d.pool.count() }

// Close stops polling and closes idle connections. Requests in flight finish.
func (d *Dialer) Close() {
	d.stop()
	d.pool.close()
	d.transport.Load().CloseIdleConnections()
	d.running.Wait()
}
