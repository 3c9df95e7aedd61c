package storer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"jujubegate.example/jujubegate/standin/platform"
	"jujubegate.example/jujubegate/storer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// withStores runs the body against the in-memory store, and against the client
// connected to the platform stand-in.
func withStores(t *testing.T, body func(s storer.Store)) {
	Convey("in memory", func() {
		body(storer.NewMemory(clockwork.NewRealClock(), 1).Store)
	})
	Convey("over HTTP", func() {
		server := httptest.NewServer(platform.New(clockwork.NewRealClock()))
		client := newClient(t, server.Listener.Addr().String())
		Reset(func() {
			client.Close()
			server.Close()
		})
		body(client.Store)
	})
}

func newClient(t *testing.T, addresses ...string) *storer.Client {
	t.Helper()
	c, err := storer.New(storer.Settings{
		Addresses: addresses, Instance: "sliven-1", Timeout: 2 * time.Second, CallsPerSecond: 1000,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestStoreContract(t *testing.T) {
	// Guards against an in-memory store that behaves differently from the object
	// API, which would invalidate the tests of other packages that use it.
	ctx := context.Background()
	Convey("A store", t, func() {
		withStores(t, func(s storer.Store) {
			first, err := s.Put(ctx, "a/1", []byte("one"), 0)
			So(err, ShouldBeNil)
			So(first, ShouldResemble, storer.Object{Key: "a/1", Version: first.Version, Value: []byte("one")})

			steps := []struct {
				name    string
				key     string
				value   []byte
				version int64
				want    error
			}{
				{"create of an existing object", "a/1", []byte("two"), 0, storer.ErrConflict},
				{"update of a missing object", "a/2", []byte("two"), 1, storer.ErrConflict},
				{"update with a wrong version", "a/1", []byte("two"), first.Version + 1, storer.ErrConflict},
				{"value that is too large", "a/1", make([]byte, storer.MaxValueSize+1), first.Version, storer.ErrTooLarge},
			}
			for _, step := range steps {
				o, err := s.Put(ctx, step.key, step.value, step.version)
				SoMsg(step.name, errors.Is(err, step.want), ShouldBeTrue)
				if errors.Is(step.want, storer.ErrConflict) && step.key == "a/1" {
					So(o.Version, ShouldEqual, first.Version)
				}
			}
			unchanged, err := s.Get(ctx, "a/1")
			So(err, ShouldBeNil)
			So(unchanged, ShouldResemble, first)

			second, err := s.Put(ctx, "a/1", bytes.Repeat([]byte("x"), storer.MaxValueSize), first.Version)
			So(err, ShouldBeNil)
			So(second.Version, ShouldBeGreaterThan, first.Version)
			empty, err := s.Put(ctx, "b/1", nil, 0)
			So(err, ShouldBeNil)
			So(empty.Value, ShouldNotBeNil)

			So(errors.Is(s.Delete(ctx, "a/1", first.Version), storer.ErrConflict), ShouldBeTrue)
			So(errors.Is(s.Delete(ctx, "a/2", 1), storer.ErrNotFound), ShouldBeTrue)
			So(s.Delete(ctx, "a/1", second.Version), ShouldBeNil)
			_, err = s.Get(ctx, "a/1")
			So(errors.Is(err, storer.ErrNotFound), ShouldBeTrue)
			again, err := s.Put(ctx, "a/1", []byte("again"), 0)
			So(err, ShouldBeNil)
			So(again.Version, ShouldBeGreaterThan, second.Version)
		})
	})
}

func TestListAndWatch(t *testing.T) {
	// Guards against changes that a watch misses, and against deletions that
	// look like empty values.
	ctx := context.Background()
	Convey("A store lists and watches", t, func() {
		withStores(t, func(s storer.Store) {
			var versions []int64
			for i := range 5 {
				o, err := s.Put(ctx, fmt.Sprintf("a/%d", i), []byte{byte(i)}, 0)
				So(err, ShouldBeNil)
				versions = append(versions, o.Version)
			}
			_, err := s.Put(ctx, "b/0", nil, 0)
			So(err, ShouldBeNil)
			So(s.Delete(ctx, "a/3", versions[3]), ShouldBeNil)

			page, err := s.List(ctx, "a/", "", 2)
			So(err, ShouldBeNil)
			So(keys(page), ShouldResemble, []string{"a/0", "a/1"})
			page, err = s.List(ctx, "a/", "a/1", 10)
			So(err, ShouldBeNil)
			So(keys(page), ShouldResemble, []string{"a/2", "a/4"})

			seen, err := s.Watch(ctx, "a/", versions[1], 0)
			So(err, ShouldBeNil)
			So(keys(seen), ShouldResemble, []string{"a/2", "a/4", "a/3"})
			So(seen[2].Value, ShouldBeNil)
			seen, err = s.Watch(ctx, "b/", 0, 0)
			So(err, ShouldBeNil)
			So(seen[0].Value, ShouldNotBeNil)

			last := seen[0].Version + 1
			go func() {
				time.Sleep(20 * time.Millisecond)
				_, _ = s.Put(ctx, "b/1", nil, 0)
				_, _ = s.Put(ctx, "a/9", []byte("late"), 0)
			}()
			seen, err = s.Watch(ctx, "a/", last, 5*time.Second)
			So(err, ShouldBeNil)
			So(keys(seen), ShouldResemble, []string{"a/9"})
			seen, err = s.Watch(ctx, "a/", seen[0].Version, 10*time.Millisecond)
			So(err, ShouldBeNil)
			So(seen, ShouldBeEmpty)
		})
	})
}

func keys(objects []storer.Object) []string {
	all := make([]string, len(objects))
	for i, o := range objects {
		all[i] = o.Key
	}
	return all
}
