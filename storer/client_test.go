package storer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"jujubegate.example/jujubegate/storer"
)

func TestClientMapsErrors(t *testing.T) {
	// Guards against reporting a write that took effect as one without effect,
	// which would run orders twice. A read never returns ErrUnknown.
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	status := func(code int, header, body string) func(w http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			if header != "" {
				w.Header().Set(storer.AppliedHeader, header)
			}
			w.WriteHeader(code)
			_, _ = w.Write([]byte(body))
		}
	}
	cases := []struct {
		name   string
		answer func(w http.ResponseWriter)
		write  error
		read   error
	}{
		{"404", status(404, "", "{}"), storer.ErrNotFound, storer.ErrNotFound},
		{"409", status(409, "", `{"Version": 7}`), storer.ErrConflict, storer.ErrConflict},
		{"413", status(413, "", "{}"), storer.ErrTooLarge, storer.ErrTooLarge},
		{"400", status(400, "", "{}"), storer.ErrUnavailable, storer.ErrUnavailable},
		{"408", status(408, "", "{}"), storer.ErrUnknown, storer.ErrUnavailable},
		{"429", status(429, "", "{}"), storer.ErrUnavailable, storer.ErrUnavailable},
		{"503 not applied", status(503, "none", "{}"), storer.ErrUnavailable, storer.ErrUnavailable},
		{"503", status(503, "", "{}"), storer.ErrUnknown, storer.ErrUnavailable},
		{"503 with another header", status(503, "maybe", "{}"), storer.ErrUnknown, storer.ErrUnavailable},
		{"500 not applied", status(500, "none", "{}"), storer.ErrUnknown, storer.ErrUnavailable},
		{"502", status(502, "", ""), storer.ErrUnknown, storer.ErrUnavailable},
		{"307", status(307, "", ""), storer.ErrUnknown, storer.ErrUnavailable},
		{"200 malformed", status(200, "", "{"), storer.ErrUnknown, storer.ErrUnavailable},
		{"200 too large", status(200, "", `{"Version": 1, "Value": "`+strings.Repeat("A", 4096)+`"}`), storer.ErrUnknown, storer.ErrUnavailable},
		{"broken connection", abort, storer.ErrUnknown, storer.ErrUnavailable},
		{"timeout", func(http.ResponseWriter) { time.Sleep(150 * time.Millisecond) }, storer.ErrUnknown, storer.ErrUnavailable},
	}
	Convey("Responses of the object API are mapped to errors", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.answer(w) }))
				client, err := storer.New(storer.Settings{
					Addresses: []string{server.Listener.Addr().String()}, Timeout: 75 * time.Millisecond,
					CallsPerSecond: 1000, MaxResponseBytes: 4096,
				})
				So(err, ShouldBeNil)
				Reset(func() {
					client.Close()
					server.Close()
				})
				_, err = client.Put(context.Background(), "k", []byte("v"), 1)
				So(matchedError(err), ShouldEqual, c.write)
				_, err = client.Get(context.Background(), "k")
				So(matchedError(err), ShouldEqual, c.read)
			})
		}
	})
}

// matchedError returns the one sentinel error of the package that err wraps. If
// err wraps several, it returns them joined; if none, nil.
func matchedError(err error) error {
	var found []error
	for _, e := range []error{storer.ErrNotFound, storer.ErrConflict, storer.ErrUnavailable, storer.ErrUnknown, storer.ErrTooLarge} {
		if errors.Is(err, e) {
			found = append(found, e)
		}
	}
	if len(found) != 1 {
		return errors.Join(found...)
	}
	return found[0]
}

func TestClientSendsWritesOnce(t *testing.T) {
	// Guards against a write that is repeated at the next address although the
	// first attempt may have taken effect.
	Convey("With two addresses", t, func() {
		var calls, broken atomic.Int64
		answering := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			_, _ = w.Write([]byte(`{"Key": "k", "Version": 1}`))
		}))
		breaking := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			broken.Add(1)
			panic(http.ErrAbortHandler)
		}))
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(closed.Close(), ShouldBeNil)
		clientFor := func(first string) *storer.Client {
			client := newClient(t, first, answering.Listener.Addr().String())
			Reset(client.Close)
			return client
		}
		Reset(func() {
			answering.Close()
			breaking.Close()
		})
		ctx := context.Background()

		Convey("a write uses the second address if the first refuses the connection", func() {
			_, err := clientFor(closed.Addr().String()).Put(ctx, "k", nil, 0)
			So(err, ShouldBeNil)
			So(calls.Load(), ShouldEqual, 1)
		})
		Convey("a write fails if the first address broke the connection, and the next write starts at the second", func() {
			client := clientFor(breaking.Listener.Addr().String())
			_, err := client.Put(ctx, "k", nil, 0)
			So(matchedError(err), ShouldEqual, storer.ErrUnknown)
			So(broken.Load(), ShouldEqual, 1)
			So(calls.Load(), ShouldEqual, 0)
			_, err = client.Put(ctx, "k", nil, 0)
			So(err, ShouldBeNil)
			So(calls.Load(), ShouldEqual, 1)
		})
		Convey("a read uses the second address in both cases", func() {
			_, err := clientFor(breaking.Listener.Addr().String()).Get(ctx, "k")
			So(err, ShouldBeNil)
			_, err = clientFor(closed.Addr().String()).Get(ctx, "k")
			So(err, ShouldBeNil)
		})
		Convey("a write returns ErrUnavailable if no address accepts connections", func() {
			client := newClient(t, closed.Addr().String())
			_, err := client.Put(ctx, "k", nil, 0)
			So(matchedError(err), ShouldEqual, storer.ErrUnavailable)
		})
		Convey("a write returns ErrUnavailable if its context has ended", func() {
			ended, cancel := context.WithCancel(ctx)
			cancel()
			_, err := clientFor(breaking.Listener.Addr().String()).Put(ended, "k", nil, 0)
			So(matchedError(err), ShouldEqual, storer.ErrUnavailable)
			So(broken.Load(), ShouldEqual, 0)
		})
	})
}

func TestClientEnforcesCallBudget(t *testing.T) {
	// Guards against an instance that overloads the object API, and against calls
	// that wait for the rate limit instead of failing at once.
	Convey("Calls over the rate limit fail at once without reaching the API", t, func() {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			_, _ = w.Write([]byte(`{"Key": "k", "Version": 1}`))
		}))
		client, err := storer.New(storer.Settings{
			Addresses: []string{server.Listener.Addr().String()}, Timeout: time.Second, CallsPerSecond: 0.001, Burst: 3,
		})
		So(err, ShouldBeNil)
		Reset(func() {
			client.Close()
			server.Close()
		})
		for i := range 10 {
			_, err := client.Put(context.Background(), "k", nil, 0)
			if i < 3 {
				So(err, ShouldBeNil)
			} else {
				So(matchedError(err), ShouldEqual, storer.ErrUnavailable)
			}
		}
		So(calls.Load(), ShouldEqual, 3)
	})
}
