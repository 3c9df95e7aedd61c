package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/commander"
	"jujubegate.example/jujubegate/standin/target"
)

// startTimeout limits the start of a fleet.
const startTimeout = 30 * time.Second

// Spec describes a fleet that serves one service.
type Spec struct {
	// Target holds the settings that all targets start with.
	Target      target.Settings
	Shards      int
	Replicas    int
	Instances   int
	DataCentres []string
	// Deadline is the deadline of the service.
	Deadline time.Duration
	// ValidFor is the time for which callers may use an address after a lookup.
	ValidFor time.Duration
	// FatalChecks makes an instance exit when an invariant is violated.
	FatalChecks bool
	// LogLevel is the log level of the instances.
	LogLevel string
}

// DispatchDesk returns the spec of Pechka's dispatch desk: 20 shards with 2
// replicas in four data centres, and 3 instances.
func DispatchDesk() Spec {
	base := target.DefaultSettings()
	base.Service = "DispatchDesk"
	base.Slots, base.Connections, base.ColdLimit = 2, 25, 1
	return Spec{
		Target:      base,
		Shards:      20,
		Replicas:    2,
		Instances:   3,
		DataCentres: []string{"Sliven", "Haskovo", "Smolyan", "Kardzhali"},
		Deadline:    time.Second,
		ValidFor:    2 * time.Second,
		FatalChecks: true,
		LogLevel:    "info",
	}
}

// Service returns the name of the service.
func (s Spec) Service() jujubegate.Service { return jujubegate.Service(s.Target.Service) }

// Fleet is the set of running processes of a Spec.
type Fleet struct {
	Spec    Spec
	Targets []target.Settings
	// PlatformAddress is the address of the platform stand-in, which also serves
	// the store.
	PlatformAddress string
	// CallerAddresses, PeerAddresses and Daemons hold the addresses and the processes
	// of the instances.
	CallerAddresses []string
	PeerAddresses   []string
	Daemons         []*Process
	launcher        *Launcher
}

// StartFleet starts the stand-ins and the instances, and waits until the instances
// are ready. It declares no service and no targets.
func (l *Launcher) StartFleet(ctx context.Context, spec Spec) (*Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	targets := spec.Shards * spec.Replicas
	addresses, err := FreeAddresses(1 + targets + 2*spec.Instances)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Spec: spec, PlatformAddress: addresses[0], launcher: l}
	if _, err := l.Start("platform", "platformstandin", "--listen", f.PlatformAddress); err != nil {
		return nil, err
	}
	if err := f.startTargets(addresses[1 : 1+targets]); err != nil {
		return nil, err
	}
	if err := f.startInstances(ctx, addresses[1+targets:]); err != nil {
		return nil, err
	}
	for _, caller := range f.CallerAddresses {
		if err := Await(ctx, "http://"+caller+"/ready"); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// startTargets starts one process with all targets. The replicas of a shard are in
// different data centres.
func (f *Fleet) startTargets(addresses []string) error {
	s := f.Spec
	f.Targets = target.Grid(s.Target, s.Shards, s.Replicas, 1, func(n int) string { return addresses[n] })
	for i := range f.Targets {
		f.Targets[i].DataCentre = s.DataCentres[(i/s.Replicas+i%s.Replicas)%len(s.DataCentres)]
	}
	spec, err := json.Marshal(f.Targets)
	if err != nil {
		return oops.In("launcher").Wrap(err)
	}
	return f.startTargetProcess("targets", string(spec))
}

func (f *Fleet) startTargetProcess(name, spec string) error {
	path, err := f.launcher.WriteFile(name+".json", spec)
	if err != nil {
		return err
	}
	_, err = f.launcher.Start(name, "targetstandin", "--spec", path)
	return err
}

// StartVersion starts and declares targets of another version with the given
// faults, one for each target of the fleet.
func (f *Fleet) StartVersion(ctx context.Context, version string, faults []target.Fault) error {
	addresses, err := FreeAddresses(len(f.Targets))
	if err != nil {
		return err
	}
	added := slices.Clone(f.Targets)
	var statements strings.Builder
	for i := range added {
		added[i].Address, added[i].Version, added[i].Faults = addresses[i], version, faults
		added[i].Seed += uint64(len(added))
		statements.WriteString(declareTarget(added[i]))
	}
	spec, err := json.Marshal(added)
	if err != nil {
		return oops.In("launcher").Wrap(err)
	}
	if err := f.startTargetProcess("targets-"+version, string(spec)); err != nil {
		return err
	}
	return f.RunStatements(ctx, statements.String())
}

const settingsFormat = `Instance = %q
DataCentre = %q
PeerAddress = %q
CallerAddress = %q
FatalChecks = %t

[Store]
Addresses = [%q]

[Lookup]
ValidFor = %q

[Log]
Level = %q
`

func (f *Fleet) startInstances(ctx context.Context, addresses []string) error {
	if err := Await(ctx, "http://"+f.PlatformAddress+"/instances"); err != nil {
		return err
	}
	for i := range f.Spec.Instances {
		name := fmt.Sprintf("entry%d", i+1)
		if err := f.listInstance(ctx, name, addresses[2*i], addresses[2*i+1]); err != nil {
			return err
		}
		settings := fmt.Sprintf(settingsFormat, name, f.Spec.DataCentres[i%len(f.Spec.DataCentres)],
			addresses[2*i], addresses[2*i+1], f.Spec.FatalChecks, f.PlatformAddress, f.Spec.ValidFor, f.Spec.LogLevel)
		path, err := f.launcher.WriteFile(name+".toml", settings)
		if err != nil {
			return err
		}
		process, err := f.launcher.Start(name, "jujubegated", "--settings", path)
		if err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, process)
		f.PeerAddresses = append(f.PeerAddresses, addresses[2*i])
		f.CallerAddresses = append(f.CallerAddresses, addresses[2*i+1])
	}
	return nil
}

// Declarations returns the statements that declare the service, its routes Search
// and Book, and its targets.
func (f *Fleet) Declarations() string {
	var text strings.Builder
	s := f.Spec
	fmt.Fprintf(&text, "Declare Service %s { Shards = %d; Slots = %d; Connections = %d; ColdLimit = %d; Deadline = %v; Priority = High; };\n",
		s.Service(), s.Shards, s.Target.Slots, s.Target.Connections, s.Target.ColdLimit, s.Deadline)
	fmt.Fprintf(&text, "Declare Route %s.Search { Idempotent = true; };\n", s.Service())
	fmt.Fprintf(&text, "Declare Route %s.Book { Idempotent = false; };\n", s.Service())
	for _, t := range f.Targets {
		text.WriteString(declareTarget(t))
	}
	return text.String()
}

func declareTarget(t target.Settings) string {
	return fmt.Sprintf("Declare Target %q { Service = %s; Shard = %d; DataCentre = %s; Version = %s; };\n",
		t.Address, t.Service, t.Shard, t.DataCentre, t.Version)
}

// RunStatements runs statements with jujubectl and waits until all instances have
// applied them.
func (f *Fleet) RunStatements(ctx context.Context, text string) error {
	path, err := f.launcher.WriteFile("statements.jgs", text)
	if err != nil {
		return err
	}
	arguments := []string{"run", "--wait", "--timeout", "10s", "--file", path}
	for _, caller := range f.CallerAddresses {
		arguments = append(arguments, "--address", caller)
	}
	_, err = f.launcher.Run(ctx, "jujubectl", arguments...)
	return err
}

// Show runs a Show statement and returns its rows as maps from column to value.
func (f *Fleet) Show(ctx context.Context, statement string) ([]map[string]string, error) {
	request := commander.Request{Statements: statement, Author: "launcher"}
	var response commander.Response
	if err := sendJSON(ctx, "POST", "http://"+f.CallerAddresses[0]+commander.StatementsPath, request, &response); err != nil {
		return nil, err
	}
	var rows []map[string]string
	for _, result := range response.Results {
		for _, values := range result.Rows {
			row := make(map[string]string, len(values))
			for i, value := range values {
				row[result.Columns[i]] = value
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Control sends a control message to a target.
func (f *Fleet) Control(ctx context.Context, index int, control target.Control) error {
	return sendJSON(ctx, "PUT", "http://"+f.Targets[index].Address+"/control", control, nil)
}

// Stats reads the counters of all targets.
func (f *Fleet) Stats(ctx context.Context) ([]target.Stats, error) {
	all := make([]target.Stats, len(f.Targets))
	for i, t := range f.Targets {
		if err := sendJSON(ctx, "GET", "http://"+t.Address+"/stats", nil, &all[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// Metrics reads the metrics of an instance by name.
func (f *Fleet) Metrics(ctx context.Context, instance int) (map[string]json.RawMessage, error) {
	var published struct {
		Jujubegate map[string]json.RawMessage `json:"jujubegate"`
	}
	err := sendJSON(ctx, "GET", "http://"+f.CallerAddresses[instance]+"/debug/vars", nil, &published)
	return published.Jujubegate, err
}

// SumMetric returns the sum of an integer metric over all instances.
func (f *Fleet) SumMetric(ctx context.Context, name string) (int64, error) {
	var sum int64
	for i := range f.CallerAddresses {
		variables, err := f.Metrics(ctx, i)
		if err != nil {
			return 0, err
		}
		var value int64
		if err := json.Unmarshal(variables[name], &value); err != nil {
			return 0, oops.In("launcher").Wrapf(err, "metric %s of %s", name, f.CallerAddresses[i])
		}
		sum += value
	}
	return sum, nil
}

// Kill kills an instance with SIGKILL and waits for its end.
func (f *Fleet) Kill(instance int) error {
	p := f.Daemons[instance]
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return oops.In("launcher").Wrap(err)
	}
	<-p.done
	p.killed = true
	return nil
}
