package main

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

func TestRunUntilSIGTERM(t *testing.T) {
	// Guards against a shutdown that waits for watches, which take up to minutes.
	Convey("The command ends on SIGTERM while a watch waits", t, func() {
		reader, writer := io.Pipe()
		ended := make(chan error, 1)
		go func() { ended <- run(options{Listen: "127.0.0.1:0", StopTimeout: time.Minute}, writer, zap.NewNop()) }()
		line, err := bufio.NewReader(reader).ReadString('\n')
		So(err, ShouldBeNil)
		address := "http://" + strings.TrimSpace(strings.TrimPrefix(line, "listening "))
		status := make(chan int, 1)
		go func() {
			code, _ := get(address + "/watch?Prefix=&After=0&WaitMs=60000")
			status <- code
		}()
		watchStarted := false
		for range 400 {
			if _, vars := get(address + "/debug/vars"); strings.Contains(vars, `"Watch": 1`) {
				watchStarted = true
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		So(watchStarted, ShouldBeTrue)
		So(syscall.Kill(os.Getpid(), syscall.SIGTERM), ShouldBeNil)
		select {
		case err := <-ended:
			So(err, ShouldBeNil)
			So(<-status, ShouldEqual, http.StatusServiceUnavailable)
		case <-time.After(10 * time.Second):
			So("command still running after 10 s", ShouldEqual, "ended")
		}
	})
}

// get returns the status and the body; status 0 means that there was no answer.
func get(url string) (int, string) {
	response, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}
