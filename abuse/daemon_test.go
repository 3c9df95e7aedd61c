// Package abuse runs the daemons as processes and lets crowds of clients that break the
// rules of HTTP, or use them up to the limits, connect to each of their ports. Its tests run
// one at a time, apart from those of other packages.
package abuse

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// The bounds are a third of the memory and of the descriptors of a machine of the
	// platform, so that a crowd a third as large shows what a full one does.
	memoryBytes = 96 << 20
	descriptors = 1366
	// maxDescriptors leaves a quarter of the descriptors for connections that the daemon
	// opens itself: to targets, peers and the store.
	maxDescriptors = descriptors * 3 / 4

	// crowdTime is how long a crowd is connected before an ordinary request is sent.
	crowdTime = 5 * time.Second
	// answerTimeout bounds the attempts of an ordinary caller. It tells a daemon that hangs
	// from a slow one.
	answerTimeout = time.Minute
	// attemptPause is the time between two attempts.
	attemptPause = 100 * time.Millisecond
	samplePeriod = 20 * time.Millisecond
)

// daemon is a process under observation.
type daemon struct {
	pid    int
	exited <-chan struct{}
	// ask sends one ordinary request on a new connection and returns an error unless it
	// was served.
	ask func() error
	// memory is the bound of the resident memory in bytes.
	memory int64
	// output returns what the process has written.
	output func() (string, error)

	mostDescriptors int
}

// programs is the directory of the built programs.
var programs string

// TestMain builds the programs without the race detector, which multiplies their memory.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "abuse")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	build := exec.Command("go", "build", "-o", directory, "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	programs = directory
	return m.Run()
}

// limited returns a command that runs a program with the descriptors of the tests.
func limited(program string, arguments ...string) *exec.Cmd {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	return exec.Command("/bin/sh", append([]string{"-c", script, filepath.Join(programs, program)}, arguments...)...)
}

// startLimited starts a program and kills it at the end of the test.
func startLimited(t *testing.T, program string, arguments ...string) *daemon {
	t.Helper()
	path, exited := filepath.Join(t.TempDir(), program+".log"), make(chan struct{})
	d := &daemon{exited: exited, memory: memoryBytes, output: func() (string, error) {
		content, err := os.ReadFile(path)
		return string(content), err
	}}
	output, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	command := limited(program, arguments...)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	d.pid = command.Process.Pid
	go func() {
		defer close(exited)
		// The exit code of a process that is killed says nothing.
		_ = command.Wait()
	}()
	t.Cleanup(func() {
		// An error means that the process has already exited.
		_ = command.Process.Kill()
		<-exited
		output.Close()
	})
	return d
}

// lives reports whether the process has not exited.
func (d *daemon) lives() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// observe watches the descriptors of the process for a while.
func (d *daemon) observe(lasts time.Duration) {
	for start := time.Now(); ; time.Sleep(samplePeriod) {
		// An error means that the process has exited, which check reports.
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.pid)); err == nil {
			d.mostDescriptors = max(d.mostDescriptors, len(open))
		}
		if time.Since(start) >= lasts {
			return
		}
	}
}

// expectAnswer fails the test unless an ordinary request is served within answerTimeout.
func (d *daemon) expectAnswer(t *testing.T, when string) {
	t.Helper()
	var err error
	attempts := 0
	for start := time.Now(); d.lives() && time.Since(start) < answerTimeout; time.Sleep(attemptPause) {
		attempts++
		if err = d.ask(); err == nil {
			t.Logf("%s: answered in attempt %d", when, attempts)
			return
		}
	}
	t.Errorf("%s: no ordinary request is answered, alive: %v, last of %d attempts: %v", when, d.lives(), attempts, err)
}

// check fails the test if the process has exited or exceeded its bounds.
func (d *daemon) check(t *testing.T) {
	t.Helper()
	if !d.lives() {
		const tail = 2000
		text, err := d.output()
		t.Fatalf("the process has exited: %s (%v)", text[max(0, len(text)-tail):], err)
	}
	peak, err := d.peakMemory()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak of resident memory %d MB, most descriptors %d", peak>>20, d.mostDescriptors)
	if peak > d.memory {
		t.Errorf("the resident memory grew to %d MB, want at most %d", peak>>20, d.memory>>20)
	}
	if d.mostDescriptors > maxDescriptors {
		t.Errorf("%d descriptors were open, want at most %d", d.mostDescriptors, maxDescriptors)
	}
}

// peakMemory returns the peak of the resident memory of the process in bytes.
func (d *daemon) peakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.pid))
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(status) {
		if rest, ok := strings.CutPrefix(string(line), "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no VmHWM in the status of process %d", d.pid)
}
