// Package dialer maintains the connections to one target and implements the
// target protocol: HTTP/1.1 with JSON, one request per connection at a time.
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
	"jujubegate.example/jujubegate/connector"
)

const (
	// DefaultGrace bounds how long the connection of a cancelled request is read
	// to detect the request's end. It must not exceed limiter.DefaultGrace.
	DefaultGrace = time.Second
	// PollInterval is the time between two reads of the load report.
	PollInterval = time.Second
	// dialTimeout bounds the opening of a connection, which usually takes 1 to
	// 6 ms, and the wait for a free one.
	dialTimeout = time.Second
	// pollTimeout bounds one read of the load report.
	pollTimeout = time.Second
	// maxAnswer bounds the body of an answer to a sub-request, in bytes.
	maxAnswer = 8 << 20
	// maxHeader bounds the header of a response, in bytes.
	maxHeader = 64 << 10
	// maxLoad bounds the body of a load report, in bytes.
	maxLoad = 64 << 10
)

// Settings configures a Dialer.
type Settings struct {
	Target jujubegate.Target
	// Connections is the number of connections that the target accepts.
	Connections int
	// Grace bounds how long the connection of a cancelled request is read to
	// detect the request's end; 0 means DefaultGrace.
	Grace time.Duration
	Clock jujubegate.Clock
	// Memory bounds the large answers that all dialers hold at once; nil means no bound.
	Memory *connector.Memory
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Loaded is called with each load report, or with the error of reading it.
	// If it is nil, the report is not polled.
	Loaded func(Load, error)
	// ConnectionLost is called when the target has closed a connection; nil ignores it.
	ConnectionLost func()
	// Restarted is called when the target has closed all connections; nil ignores it.
	Restarted func()
}

// Dialer maintains the connections to one target. It is safe for concurrent use.
type Dialer struct {
	settings  Settings
	pool      *pool
	transport atomic.Pointer[http.Transport]
	// The URLs are shared by all requests and must not be modified.
	queryURL, orderURL, loadURL url.URL

	stop    context.CancelFunc
	running sync.WaitGroup
}

// New returns a dialer that opens connections before they are needed and polls
// the load report until Close.
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

// SetConnections sets how many connections the target accepts, for example after
// its declaration has changed. Requests in flight finish on their connections.
func (d *Dialer) SetConnections(connections int) {
	connections = max(connections, 1)
	old := d.transport.Load()
	if connections == old.MaxConnsPerHost {
		return
	}
	d.transport.Store(d.newTransport(connections))
	old.CloseIdleConnections()
}

// SetBound sets how many connections may be open (bound) and how many are opened
// before they are needed (wanted). When the bound falls, excess connections in
// use are closed after their request.
func (d *Dialer) SetBound(bound, wanted int) {
	transport := d.transport.Load()
	bound = min(max(bound, 1), transport.MaxConnsPerHost)
	if d.pool.setBound(bound, min(wanted, bound)) {
		transport.CloseIdleConnections()
	}
}

// OpenConnections returns the number of open connections, including those of cancelled
// requests that may still be running.
func (d *Dialer) OpenConnections() int { return d.pool.count() }

// Close stops polling and closes idle connections. Requests in flight finish.
func (d *Dialer) Close() {
	d.stop()
	d.pool.close()
	d.transport.Load().CloseIdleConnections()
	d.running.Wait()
}
