// Package lister reads the platform's list of live and leaving processes. The
// platform updates the list with a delay, so it can be out of date.
package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"jujubegate.example/jujubegate"
)

// Kind is the kind of a listed process.
type Kind string

// Kinds of listed processes.
const (
	KindInstance Kind = "Instance"
	KindTarget   Kind = "Target"
)

// Entry is one listed process.
type Entry struct {
	// Name is the name of an instance or the address of a target.
	Name          string
	Kind          Kind
	DataCentre    jujubegate.DataCentre
	PeerAddress   string
	CallerAddress string
}

// List is the content of the platform's list.
type List struct {
	Live    []Entry
	Leaving []Entry
}

// LiveInstances returns the live instances by name.
func (l List) LiveInstances() map[jujubegate.Instance]Entry {
	instances := make(map[jujubegate.Instance]Entry)
	for _, e := range l.Live {
		if e.Kind == KindInstance {
			instances[jujubegate.Instance(e.Name)] = e
		}
	}
	return instances
}

// LeavingTargets returns the addresses of the targets that are leaving.
func (l List) LeavingTargets() jujubegate.Set[jujubegate.Address] {
	var addresses []jujubegate.Address
	for _, e := range l.Leaving {
		if e.Kind == KindTarget {
			addresses = append(addresses, jujubegate.Address(e.Name))
		}
	}
	return jujubegate.NewSet(addresses...)
}

// Lister reads the list. The function field is set by New or by a test.
type Lister struct {
	List func(ctx context.Context) (List, error)
}

// Settings are the parameters of a Client.
type Settings struct {
	// Addresses are the host:port addresses of the platform, tried in turn.
	Addresses []string
	// Instance is the name of this instance, which is sent with each call.
	Instance jujubegate.Instance
	// Timeout bounds one call to one address.
	Timeout time.Duration
}

// maxListBytes bounds the size of the list. An entry takes about 150 bytes, and
// 7,400 entries are expected.
const maxListBytes = 8 << 20

// maxHeaderBytes bounds the headers of the list.
const maxHeaderBytes = 32 << 10

// Client reads the list over HTTP.
type Client struct {
	Lister

	settings  Settings
	http      *http.Client
	preferred atomic.Int64
}

// New returns a client. It opens no connection before the first call.
func New(s Settings) (*Client, error) {
	if len(s.Addresses) == 0 || s.Timeout <= 0 {
		return nil, oops.In("lister").Errorf("addresses %v must not be empty and timeout %v must be positive", s.Addresses, s.Timeout)
	}
	c := &Client{settings: s, http: &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: s.Timeout}).DialContext,
		IdleConnTimeout:    90 * time.Second,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
	c.Lister = Lister{List: c.list}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// list tries the addresses in turn, first the one that answered last.
func (c *Client) list(ctx context.Context) (List, error) {
	var err error
	first := int(c.preferred.Load())
	for i := range c.settings.Addresses {
		index := (first + i) % len(c.settings.Addresses)
		var l List
		if l, err = c.listAt(ctx, c.settings.Addresses[index]); err == nil {
			c.preferred.Store(int64(index))
			return l, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return List{}, oops.In("lister").Wrapf(err, "reading the list of instances")
}

func (c *Client) listAt(ctx context.Context, address string) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/instances", http.NoBody)
	if err != nil {
		return List{}, err
	}
	r.Header.Set("X-Instance", string(c.settings.Instance))
	response, err := c.http.Do(r)
	if err != nil {
		return List{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	switch {
	case err != nil:
		return List{}, err
	case response.StatusCode != http.StatusOK:
		return List{}, fmt.Errorf("status %d from %s", response.StatusCode, address)
	case len(data) > maxListBytes:
		return List{}, fmt.Errorf("list from %s is larger than %d bytes", address, maxListBytes)
	}
	var l List
	if err := json.Unmarshal(data, &l); err != nil {
		return List{}, fmt.Errorf("list from %s is malformed: %w", address, err)
	}
	return l, nil
}
