package main

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

func TestRunUntilSIGTERM(t *testing.T) {
	// Guards against addresses that are printed before the targets listen on them,
	// and against a process that ignores SIGTERM.
	Convey("The command serves the targets it prints and stops on SIGTERM", t, func() {
		var o options
		_, err := flags.ParseArgs(&o, []string{"--shards", "3", "--replicas", "2", "--connect-ms", "0"})
		So(err, ShouldBeNil)
		reader, writer := io.Pipe()
		ended := make(chan error, 1)
		go func() {
			ended <- run(o, writer, zap.NewNop())
			writer.Close()
		}()
		lines := bufio.NewScanner(reader)
		for range 6 {
			So(lines.Scan(), ShouldBeTrue)
			fields := strings.Fields(lines.Text())
			So(fields[0], ShouldEqual, "listening")
			response, err := http.Get("http://" + fields[1] + "/load")
			So(err, ShouldBeNil)
			_ = response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusOK)
		}
		http.DefaultClient.CloseIdleConnections()
		So(syscall.Kill(os.Getpid(), syscall.SIGTERM), ShouldBeNil)
		select {
		case err := <-ended:
			So(err, ShouldBeNil)
		case <-time.After(10 * time.Second):
			So("command still running after 10 s", ShouldEqual, "ended")
		}
	})
}

func TestReadSpec(t *testing.T) {
	// Guards against a misspelt field that is ignored, so that its default applies.
	cases := []struct {
		name, spec string
		fails      bool
	}{
		{"two targets", `[{"Shard": 1, "Slots": 3}, {"Version": "v2"}]`, false},
		{"misspelt field", `[{"Slot": 3}]`, true},
		{"not a list", `{"Slots": 3}`, true},
	}
	Convey("Reading a file of settings", t, func() {
		for _, c := range cases {
			path := filepath.Join(t.TempDir(), "spec.json")
			So(os.WriteFile(path, []byte(c.spec), 0o600), ShouldBeNil)
			settings, err := options{Spec: path}.settings()
			SoMsg(c.name, err != nil, ShouldEqual, c.fails)
			if err == nil {
				So(settings[0].Slots, ShouldEqual, 3)
				So(settings[0].Connections, ShouldEqual, 25)
				So(settings[1].Version, ShouldEqual, "v2")
			}
		}
	})
}
