package main

import (
	"encoding/json"
	"fmt"
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

// host is the host name of all routes of a case.
const host = standin.Host

// machine is one machine of the system with its process.
type machine struct {
	name, zone, ip, settings string
	ports                    ports

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// ports are the same on all machines of a deployment.
type ports struct{ front, ready, control, directory int }

// deployment is the stand-in of the platform with the machines of the system.
type deployment struct {
	folder   string
	store    *standin.Store
	server   *http.Server
	address  string
	machines []*machine
	ports    ports
	log      *os.File
}

// newDeployment starts the store and reserves an address for each machine. No process
// runs yet.
func newDeployment(machines int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, store: standin.NewStore()}
	if d.log, err = os.Create(filepath.Join(folder, "nodes.log")); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = l.Addr().String()
	d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(l) }()
	free, err := standin.FreePorts(4)
	if err != nil {
		return nil, err
	}
	d.ports = ports{free[0], free[1], free[2], free[3]}
	// A block of loopback addresses of its own lets all machines use the same ports.
	block := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	for i := range machines {
		d.machines = append(d.machines, &machine{name: fmt.Sprintf("front-zone-%d-%d", i%2, i), zone: fmt.Sprintf("zone-%d", i%2), ip: fmt.Sprintf("%s.%d", block, i+1), ports: d.ports})
	}
	return d, nil
}

func (m *machine) front() string     { return fmt.Sprintf("%s:%d", m.ip, m.ports.front) }
func (m *machine) control() string   { return fmt.Sprintf("%s:%d", m.ip, m.ports.control) }
func (m *machine) directory() string { return fmt.Sprintf("%s:%d", m.ip, m.ports.directory) }
func (m *machine) ready() string     { return fmt.Sprintf("%s:%d", m.ip, m.ports.ready) }

// writeSettings writes the settings of a machine as the template deploy/node.toml gives
// them.
func (d *deployment) writeSettings(m *machine, seeds []string) error {
	quoted := make([]string, len(seeds))
	for n, s := range seeds {
		quoted[n] = fmt.Sprintf("%q", s)
	}
	text := fmt.Sprintf(`Instance = %q
DataCentre = %q
Cores = 1
CoreShare = 0.4
MemoryMB = 284
Seeds = [%s]

[Listen]
Callers = %q
Ready = %q
Lookup = %q
Peers = %q
Metrics = "%s:7399"

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
`, m.name, m.zone, strings.Join(quoted, ","), m.front(), m.ready(), m.directory(), m.control(), m.ip, d.address)
	m.settings = filepath.Join(d.folder, m.name+".toml")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// started holds the processes that run, which a case that ends early must end.
var started sync.Map

// endAll ends all processes that were started.
func endAll() {
	started.Range(func(command, _ any) bool {
		// An error means that the process has ended already.
		_ = command.(*exec.Cmd).Process.Kill()
		return true
	})
}

// start starts the process of a machine with the command of deploy/system.toml.
func (d *deployment) start(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.command = exec.Command("target/jujubenode")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "JUJUBEGATE_NODE_FILE=" + m.settings}
	m.command.Stdout, m.command.Stderr = d.log, d.log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	command, exited := m.command, m.exited
	started.Store(command, nil)
	go func() {
		// Most processes end by a signal.
		_ = command.Wait()
		started.Delete(command)
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		// An error means that the process has ended already.
		_ = m.command.Process.Signal(s)
	}
}

// waitReady waits until the machines pass the platform's readiness check.
func (d *deployment) waitReady(machines []*machine, timeout time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	defer client.CloseIdleConnections()
	for _, m := range machines {
		for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
			if time.Since(start) > timeout {
				return fmt.Errorf("%s is not ready after %v", m.name, timeout)
			}
			r, err := client.Get("http://" + m.ready() + "/readiness")
			if err != nil {
				continue
			}
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				break
			}
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		if m.command == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	d.server.Close()
	d.log.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

// resolve asks the directory of a machine where to connect, as clients do.
func resolve(client *http.Client, m *machine) ([]string, time.Duration) {
	r, err := client.Get("http://" + m.directory() + "/resolve?name=" + host + "&region=region&zone=zone-0")
	if err != nil {
		return nil, 0
	}
	defer r.Body.Close()
	var answer struct {
		Addresses []string `json:"addrs"`
		Seconds   float64  `json:"ttl_s"`
	}
	if json.NewDecoder(r.Body).Decode(&answer) != nil {
		return nil, 0
	}
	return answer.Addresses, time.Duration(answer.Seconds * float64(time.Second))
}

// startAll starts processes on the machines with the given seeds, and waits until they
// are ready and, as traffic starts later than the machines do, in touch.
func (d *deployment) startAll(r *record, machines, seeds []*machine) error {
	var addresses []string
	for _, m := range seeds[:min(len(seeds), 3)] {
		addresses = append(addresses, m.control())
	}
	r.write("seeds: %v", addresses)
	for _, m := range machines {
		if err := d.writeSettings(m, addresses); err != nil {
			return err
		}
		if err := d.start(m); err != nil {
			return err
		}
		r.write("%s starts, control address %s", m.name, m.control())
	}
	if err := d.waitReady(machines, 10*time.Second); err != nil {
		return err
	}
	r.write("all %d machines are ready", len(machines))
	time.Sleep(trafficAfter)
	return nil
}

// trafficAfter is how long after the machines traffic starts.
const trafficAfter = 10 * time.Second

// configure writes a configuration with a route for look-ups, which may be repeated, and
// one for orders, which must not. WarmupPerS is the rate that a cold backend tolerates.
func (d *deployment) configure(warmupPerS float64) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": 2000, "target_latency_ms": 400,
			"priority": 1, "service": standin.Single, "attempts": 2,
		}
	}
	d.store.Put("config", "main", map[string]any{
		"version": 3,
		"routes":  []any{route("look-up", "/look-up/", "idempotent"), route("order", "/order/", "non_idempotent")},
		"services": []any{map[string]any{
			"name": standin.Single, "health_path": "/health", "max_conns": 26, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": warmupPerS,
		}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_ms": 3000, "idle_ms": 15000},
	})
}
