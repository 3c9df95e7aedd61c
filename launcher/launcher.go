// Package launcher starts the programs of this repository as processes on
// loopback addresses, for the demo and for measurements.
package launcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// stopTimeout limits the wait for a process after SIGTERM. An instance may take
// 40 s to stop gracefully.
const stopTimeout = 45 * time.Second

// Process is a started program.
type Process struct {
	Name string

	command *exec.Cmd
	output  *os.File
	done    chan struct{}
	err     error
	// killed is set if the process was killed on purpose; Stop then reports no error.
	killed bool
}

// Launcher starts processes and stops them by process ID.
type Launcher struct {
	binaries  string
	directory string

	mu        sync.Mutex
	processes []*Process
}

// New returns a launcher for the programs in the directory binaries. Settings and
// output files are written to directory.
func New(binaries, directory string) *Launcher {
	return &Launcher{binaries: binaries, directory: directory}
}

// WriteFile writes a file into the launcher's directory and returns its path.
func (l *Launcher) WriteFile(name, content string) (string, error) {
	path := filepath.Join(l.directory, name)
	return path, oops.In("launcher").Wrap(os.WriteFile(path, []byte(content), 0o600))
}

// Start starts a program and writes its output to <name>.log.
func (l *Launcher) Start(name, program string, arguments ...string) (*Process, error) {
	output, err := os.Create(filepath.Join(l.directory, name+".log"))
	if err != nil {
		return nil, oops.In("launcher").Wrap(err)
	}
	command := exec.Command(filepath.Join(l.binaries, program), arguments...)
	command.Stdout, command.Stderr = output, output
	// The processes are stopped if the demo or the measurement is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := command.Start(); err != nil {
		_ = output.Close()
		return nil, oops.In("launcher").Wrapf(err, "start %s", program)
	}
	p := &Process{Name: name, command: command, output: output, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		_ = output.Close()
		close(p.done)
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = append(l.processes, p)
	return p, nil
}

// Run runs a program until it exits and returns its output.
func (l *Launcher) Run(ctx context.Context, program string, arguments ...string) (string, error) {
	var output bytes.Buffer
	command := exec.CommandContext(ctx, filepath.Join(l.binaries, program), arguments...)
	command.Stdout, command.Stderr = &output, &output
	if err := command.Run(); err != nil {
		return output.String(), oops.In("launcher").Wrapf(err, "%s: %s", program, output.String())
	}
	return output.String(), nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.command.Process.Signal(s) }

// Stop sends SIGTERM and waits until the process exits. If this takes too long, it
// kills the process and returns an error.
func (p *Process) Stop() error {
	if p.killed {
		return nil
	}
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
	}
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
	return fmt.Errorf("process %s was killed: it did not exit within %v of SIGTERM", p.Name, stopTimeout)
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Exited returns a channel that is closed once the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.done }

// Output returns what the process has written so far.
func (p *Process) Output() (string, error) {
	content, err := os.ReadFile(p.output.Name())
	return string(content), err
}

// StopAll stops all processes in the reverse order of their start, because later
// ones depend on earlier ones. Consecutive processes of the same program stop at
// the same time.
func (l *Launcher) StopAll() error {
	l.mu.Lock()
	processes := l.processes
	l.processes = nil
	l.mu.Unlock()
	errs := make([]error, len(processes))
	var stopping sync.WaitGroup
	for i := len(processes) - 1; i >= 0; i-- {
		p := processes[i]
		if i+1 < len(processes) && p.command.Path != processes[i+1].command.Path {
			stopping.Wait()
		}
		stopping.Go(func() { errs[i] = p.Stop() })
	}
	stopping.Wait()
	return errors.Join(errs...)
}

// KillAll kills all processes and waits until they have exited. It is meant for tests that
// need no graceful stop.
func (l *Launcher) KillAll() {
	l.mu.Lock()
	processes := l.processes
	l.processes = nil
	l.mu.Unlock()
	for _, p := range processes {
		// An error means that the process has already exited.
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.done
	}
}

// FreeAddresses returns loopback addresses with free ports. Another process can
// still take a port before it is used.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, oops.In("launcher").Wrap(err)
		}
		// The listeners stay open until all ports are chosen, so that no port is
		// chosen twice.
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

// Await polls a URL until it answers with status 200.
func Await(ctx context.Context, url string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return oops.In("launcher").Wrap(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return oops.In("launcher").Wrapf(ctx.Err(), "await %s", url)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
