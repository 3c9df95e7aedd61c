package lister_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/lister"
	"jujubegate.example/jujubegate/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestListerReadsThePlatform(t *testing.T) {
	// Guards against decoding an entry with the wrong kind or state.
	Convey("A list with instances and targets", t, func() {
		p := platform.New(clockwork.NewRealClock())
		server := httptest.NewServer(p)
		client, err := lister.New(lister.Settings{
			Addresses: []string{server.Listener.Addr().String()}, Instance: "sliven-1", Timeout: time.Second,
		})
		So(err, ShouldBeNil)
		Reset(func() {
			client.Close()
			server.Close()
		})
		p.PutInstance(platform.Entry{Name: "sliven-1", DataCentre: "Sliven", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"})
		p.PutInstance(platform.Entry{Name: "sliven-2", Leaving: true})
		p.PutInstance(platform.Entry{Name: "127.0.0.1:9", Kind: platform.KindTarget})
		p.PutInstance(platform.Entry{Name: "127.0.0.1:8", Kind: platform.KindTarget, Leaving: true})
		list, err := client.List(context.Background())
		So(err, ShouldBeNil)
		So(list.LiveInstances(), ShouldResemble, map[jujubegate.Instance]lister.Entry{"sliven-1": {
			Name: "sliven-1", Kind: lister.KindInstance, DataCentre: "Sliven", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2",
		}})
		So(list.LeavingTargets().Sorted(), ShouldResemble, []jujubegate.Address{"127.0.0.1:8"})
	})
}

func TestListerFails(t *testing.T) {
	// Guards against returning an empty list instead of an error: it would mean
	// that every instance has left.
	cases := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"error status", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte("{}"))
		}},
		{"malformed list", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }},
		{"broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"timeout", func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) }},
	}
	Convey("Reading the list", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				bad := httptest.NewServer(c.answer)
				good := httptest.NewServer(platform.New(clockwork.NewRealClock()))
				Reset(bad.Close)
				Reset(good.Close)
				addresses := []string{bad.Listener.Addr().String(), good.Listener.Addr().String()}
				for n := 1; n <= 2; n++ {
					client, err := lister.New(lister.Settings{Addresses: addresses[:n], Timeout: 50 * time.Millisecond})
					So(err, ShouldBeNil)
					_, err = client.List(context.Background())
					So(err == nil, ShouldEqual, n == 2)
					client.Close()
				}
			})
		}
	})
}
