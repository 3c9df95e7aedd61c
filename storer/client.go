package storer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"golang.org/x/time/rate"
	"jujubegate.example/jujubegate"
)

// Headers of the object API.
const (
	// InstanceHeader names the calling instance.
	InstanceHeader = "X-Instance"
	// AppliedHeader with the value AppliedNone marks the response to a call
	// that was refused without being processed.
	AppliedHeader = "X-Applied"
	AppliedNone   = "none"
)

// Settings are the parameters of a Client.
type Settings struct {
	// Addresses are the host:port pairs of the object API. Calls start at the
	// first and move on to the next one after a failure.
	Addresses []string
	// Instance is sent in InstanceHeader with each call.
	Instance jujubegate.Instance
	// Timeout bounds one attempt at one address; a watch adds its wait to it.
	Timeout time.Duration
	// DialTimeout bounds opening a connection; 0 means Timeout.
	DialTimeout time.Duration
	// CallsPerSecond limits the call rate of this instance; each attempt counts.
	// A call over the limit fails at once with ErrUnavailable.
	CallsPerSecond float64
	// Burst is the number of calls allowed at once; 0 means those of one second,
	// at least 1.
	Burst int
	// MaxResponseBytes bounds the body of a response; 0 means 16 MiB.
	MaxResponseBytes int64
}

// Client calls the object API over HTTP. New sets the fields of Store.
//
// The errors ErrNotFound, ErrConflict and ErrTooLarge come from the statuses
// 404, 409 and 413. Any other failed write returns ErrUnavailable if it was
// certainly not processed: no connection was opened, the call budget was
// exhausted, or the API answered with 503 and the header "X-Applied: none" or
// with a 4xx status other than 408, such as 429. It returns ErrUnknown after a
// timeout, a broken connection, a malformed or too large response, and any other
// status. A failed read has no effect, so it returns ErrUnavailable in all these
// cases.
type Client struct {
	Store

	settings  Settings
	http      *http.Client
	budget    *rate.Limiter
	preferred atomic.Int64
}

const (
	defaultMaxResponseBytes = 16 << 20
	maxResponseHeaderBytes  = 32 << 10
)

// New returns a client. The first call opens the first connection.
func New(s Settings) (*Client, error) {
	if len(s.Addresses) == 0 {
		return nil, oops.In("storer").Errorf("no address of the object API is configured")
	}
	if s.Timeout <= 0 || s.CallsPerSecond <= 0 {
		return nil, oops.In("storer").Errorf("timeout %v and calls per second %v must be positive", s.Timeout, s.CallsPerSecond)
	}
	if s.DialTimeout <= 0 {
		s.DialTimeout = s.Timeout
	}
	if s.Burst <= 0 {
		s.Burst = max(1, int(s.CallsPerSecond))
	}
	if s.MaxResponseBytes <= 0 {
		s.MaxResponseBytes = defaultMaxResponseBytes
	}
	c := &Client{
		settings: s,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: s.DialTimeout}).DialContext,
				MaxIdleConnsPerHost: 16,
				IdleConnTimeout:     90 * time.Second,
				DisableCompression:  true,

				MaxResponseHeaderBytes: maxResponseHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		budget: rate.NewLimiter(rate.Limit(s.CallsPerSecond), s.Burst),
	}
	c.Store = Store{Get: c.get, Put: c.put, Delete: c.remove, List: c.list, Watch: c.watch}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// objectMessage is the JSON form of an object. A deleted object has a null
// value.
type objectMessage struct {
	Key     string
	Version int64
	Value   []byte
}

type listMessage struct {
	Objects []objectMessage
}

func (c *Client) get(ctx context.Context, key string) (Object, error) {
	var m objectMessage
	err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/objects", query: url.Values{"Key": {key}}}, &m)
	if err != nil {
		return Object{}, wrapError(err, "get", key)
	}
	return m.object(), nil
}

func (c *Client) put(ctx context.Context, key string, value []byte, version int64) (Object, error) {
	if len(value) > MaxValueSize {
		return Object{}, oops.In("storer").With("key", key).Wrapf(ErrTooLarge, "put %q with %d bytes", key, len(value))
	}
	if value == nil {
		value = []byte{}
	}
	var m objectMessage
	err := c.do(ctx, apiRequest{
		method: http.MethodPut, path: "/objects", write: true,
		body: objectMessage{Key: key, Version: version, Value: value},
	}, &m)
	switch {
	case errors.Is(err, ErrConflict):
		return Object{Key: key, Version: m.Version}, wrapError(err, "put", key)
	case err == nil && m.Version <= 0:
		return Object{}, wrapError(fmt.Errorf("%w: %w: version %d", ErrUnknown, errMalformedResponse, m.Version), "put", key)
	case err != nil:
		return Object{}, wrapError(err, "put", key)
	}
	return Object{Key: key, Version: m.Version, Value: append([]byte{}, value...)}, nil
}

func (c *Client) remove(ctx context.Context, key string, version int64) error {
	query := url.Values{"Key": {key}, "Version": {strconv.FormatInt(version, 10)}}
	err := c.do(ctx, apiRequest{method: http.MethodDelete, path: "/objects", query: query, write: true}, nil)
	return wrapError(err, "delete", key)
}

func (c *Client) list(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
	query := url.Values{"Prefix": {prefix}, "After": {after}, "Limit": {strconv.Itoa(limit)}}
	var m listMessage
	if err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/list", query: query}, &m); err != nil {
		return nil, wrapError(err, "list", prefix)
	}
	return m.objects(), nil
}

func (c *Client) watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Object, error) {
	query := url.Values{
		"Prefix": {prefix},
		"After":  {strconv.FormatInt(after, 10)},
		"WaitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var m listMessage
	if err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/watch", query: query, wait: wait}, &m); err != nil {
		return nil, wrapError(err, "watch", prefix)
	}
	return m.objects(), nil
}

func (m objectMessage) object() Object { return Object(m) }

func (m listMessage) objects() []Object {
	objects := make([]Object, len(m.Objects))
	for i, o := range m.Objects {
		objects[i] = o.object()
	}
	return objects
}

// wrapError adds the operation and the key to an error.
func wrapError(err error, operation, key string) error {
	if err == nil {
		return nil
	}
	return oops.In("storer").With("operation", operation, "key", key).Wrapf(err, "%s %q", operation, key)
}
