// Command cases runs the cases of the review that are scripts: it starts instances of
// jujubenode as separate processes beside stand-ins of the store, of servers and of
// clients, and judges what these see.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"jujubegate.example/jujubegate/platform/standin"
)

// host is the host name of all routes.
const host = "caller.example"

// Bounds of the deployment of rodopi-search that the cases need.
const (
	converge    = 3 * time.Second
	recoverTime = 12 * time.Second
	// stableWindow is how long an instance and the store must have been without disruption
	// for the rules with a time bound to hold.
	stableWindow = 4 * time.Second
	// startTimeout bounds the start of an instance.
	startTimeout = 15 * time.Second
)

// ports are those of each instance. All instances have the same ones, at addresses of their
// own, which depend on the process so that cases can run beside each other.
type ports struct{ callers, ready, lookup, peers, metrics int }

// instance is one process of jujubenode.
type instance struct {
	name, ip, zone string
	settings       string
	log            *os.File
	ports          ports

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// zoneOf returns the zone of an instance or a server with a number.
func zoneOf(number int) string { return fmt.Sprintf("zone-%d", number%2) }

// fleet is a small deployment: the store and some instances.
type fleet struct {
	store     *standin.Store
	server    *http.Server
	address   string
	folder    string
	instances []*instance
}

// newFleet starts the store. startAll starts the instances.
func (c *caseRun) newFleet(count int) (*fleet, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	f := &fleet{store: standin.NewStore(), address: l.Addr().String(), folder: c.folder}
	c.fleet.Store(f)
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }()
	free, err := standin.FreePorts(5)
	if err != nil {
		return nil, err
	}
	p := ports{free[0], free[1], free[2], free[3], free[4]}
	for n := range count {
		i := &instance{name: fmt.Sprintf("front-%d", n), ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, n+1), zone: zoneOf(n), ports: p}
		i.settings = filepath.Join(c.folder, i.name+".toml")
		if i.log, err = os.Create(filepath.Join(c.folder, i.name+".log")); err != nil {
			return nil, err
		}
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		if err := os.WriteFile(i.settings, []byte(f.settings(i)), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// settings returns what the platform makes of deploy/node.toml for an instance.
func (f *fleet) settings(i *instance) string {
	var seeds []string
	for _, s := range f.instances[:min(len(f.instances), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip, s.ports.peers)))
	}
	at := func(port int) string { return fmt.Sprintf("%q", fmt.Sprintf("%s:%d", i.ip, port)) }
	return fmt.Sprintf(`Instance = %q
DataCentre = %q
Cores = 1
CoreShare = 0.4
MemoryMB = 284
Seeds = [%s]

[Listen]
Callers = %s
Ready = %s
Lookup = %s
Peers = %s
Metrics = %s

[Store]
Address = %q

[Bounds]
DrainMillis = 3000
ConvergeMillis = 3000
GraceSeconds = 6
RepeatRatio = 0.2
RepeatAllowance = 54
ColdFactor = 1.5
ColdAllowance = 5
LookupSeconds = 5
`, i.name, i.zone, strings.Join(seeds, ","), at(i.ports.callers), at(i.ports.ready), at(i.ports.lookup), at(i.ports.peers), at(i.ports.metrics), f.address)
}

// start starts an instance by the command of the deploy file.
func (f *fleet) start(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := exec.Command("target/jujubenode")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "JUJUBEGATE_NODE_FILE=" + i.settings}
	c.Stdout, c.Stderr = i.log, i.log
	// The instance ends with this process, also if that is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start of %s: %w", i.name, err)
	}
	exited := make(chan struct{})
	i.command, i.exited = c, exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// startAll starts all instances and waits until they are ready.
func (f *fleet) startAll() error {
	for _, i := range f.instances {
		if err := f.start(i); err != nil {
			return err
		}
	}
	for _, i := range f.instances {
		if err := i.waitReady(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until the instance passes its readiness check.
func (i *instance) waitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for begin := time.Now(); time.Since(begin) < timeout; time.Sleep(20 * time.Millisecond) {
		r, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", i.ip, i.ports.ready))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, r.Body)
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	log, err := os.ReadFile(i.log.Name())
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	return fmt.Errorf("%s is not ready after %v, its log ends with %s", i.name, timeout, lines[len(lines)-1])
}

// close ends all processes and the store. It may be called again.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.kill()
		i.log.Close()
	}
	f.server.Close()
}

// kill ends the process of an instance and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return
	}
	// An error means that the process has ended.
	_ = i.command.Process.Kill()
	<-i.exited
}

// anyInstance returns the address for callers of a random instance.
func (f *fleet) anyInstance() string {
	i := f.instances[rand.IntN(len(f.instances))]
	return fmt.Sprintf("%s:%d", i.ip, i.ports.callers)
}

// route returns a route to one service.
func route(name, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "type": kind, "service": service,
		"timeout_ms": 2000, "target_latency_ms": 400, "priority": 1, "attempts": 2,
	}
}

// configure writes a version of the configuration.
func (f *fleet) configure(version int, routes []map[string]any, names []string) {
	services := make([]map[string]any, len(names))
	for i, name := range names {
		services[i] = map[string]any{"name": name, "health_path": "/health", "max_conns": 100, "warmup_s": 0, "warmup_per_s": 0}
	}
	f.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_ms": 3000, "idle_ms": 15000},
	})
}
