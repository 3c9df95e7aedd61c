// Package demonstrator runs the whole path as separate processes on one
// machine and checks the promises on what it saw.
package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/samber/oops"

	"jujubegate.example/jujubegate/launcher"
	"jujubegate.example/jujubegate/standin/target"
)

// Sizes of the dispatch desk.
const (
	shards      = 20
	replicas    = 2
	slots       = 2
	connections = 25
	coldLimit   = 1
	service     = "DispatchDesk"
)

// dataCentres are the four data centres of the region.
var dataCentres = []string{"Sliven", "Haskovo", "Smolyan", "Kardzhali"}

// instances is the number of entry daemons.
const instances = 3

// startTime bounds the start of the fleet.
const startTime = 30 * time.Second

// Fleet is the set of processes of a demo.
type Fleet struct {
	launcher *launcher.Launcher
	targets  []target.Settings
	// callers are the callers' addresses of the entry daemons.
	callers []string
}

// StartFleet starts the stand-ins and the entry daemons and waits until these
// are ready.
func StartFleet(ctx context.Context, l *launcher.Launcher) (*Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	addresses, err := launcher.FreeAddresses(1 + shards*replicas + 2*instances)
	if err != nil {
		return nil, err
	}
	store, addresses := addresses[0], addresses[1:]
	f := &Fleet{launcher: l}
	if _, err := l.Start("platform", "platformstandin", "--listen", store); err != nil {
		return nil, err
	}
	if err := f.startTargets(addresses[:shards*replicas]); err != nil {
		return nil, err
	}
	if err := f.startDaemons(store, addresses[shards*replicas:]); err != nil {
		return nil, err
	}
	for _, caller := range f.callers {
		if err := launcher.Await(ctx, "http://"+caller+"/ready"); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// startTargets starts one process with all targets. The two targets of a shard
// are in different data centres.
func (f *Fleet) startTargets(addresses []string) error {
	base := target.DefaultSettings()
	base.Service = service
	base.Slots, base.Connections, base.ColdLimit = slots, connections, coldLimit
	f.targets = target.Grid(base, shards, replicas, 1, func(n int) string { return addresses[n] })
	for i := range f.targets {
		f.targets[i].DataCentre = dataCentres[(i/replicas+i%replicas)%len(dataCentres)]
	}
	spec, err := json.Marshal(f.targets)
	if err != nil {
		return oops.In("demonstrator").Wrap(err)
	}
	path, err := f.launcher.Write("targets.json", string(spec))
	if err != nil {
		return err
	}
	_, err = f.launcher.Start("targets", "targetstandin", "--spec", path)
	return err
}

const settingsFormat = `Instance = %q
DataCentre = %q
PeerAddress = %q
CallerAddress = %q
FatalChecks = true

[Store]
Addresses = [%q]

[Lookup]
ValidFor = "2s"
`

func (f *Fleet) startDaemons(store string, addresses []string) error {
	for i := range instances {
		name := fmt.Sprintf("entry%d", i+1)
		settings := fmt.Sprintf(settingsFormat, name, dataCentres[i], addresses[2*i], addresses[2*i+1], store)
		path, err := f.launcher.Write(name+".toml", settings)
		if err != nil {
			return err
		}
		if _, err := f.launcher.Start(name, "jujubegated", "--settings", path); err != nil {
			return err
		}
		f.callers = append(f.callers, addresses[2*i+1])
	}
	return nil
}

// Declarations returns the statements that declare the service and its targets.
func (f *Fleet) Declarations() string {
	var text strings.Builder
	fmt.Fprintf(&text, "# Sizes of Pechka's dispatch desk.\nDeclare Service %s { Shards = %d; Slots = %d; Connections = %d; "+
		"ColdLimit = %d; Deadline = 1s; Priority = High; };\n", service, shards, slots, connections, coldLimit)
	fmt.Fprintf(&text, "Declare Route %s.Search { Idempotent = true; };\n", service)
	fmt.Fprintf(&text, "Declare Route %s.Book { Idempotent = false; };\n", service)
	for _, t := range f.targets {
		fmt.Fprintf(&text, "Declare Target %q { Service = %s; Shard = %d; DataCentre = %s; Version = %s; };\n",
			t.Address, service, t.Shard, t.DataCentre, t.Version)
	}
	return text.String()
}

// Statement runs statements by jujubectl and waits until they are in force.
func (f *Fleet) Statement(ctx context.Context, text string) error {
	path, err := f.launcher.Write("statements.jgs", text)
	if err != nil {
		return err
	}
	arguments := []string{"run", "--wait", "--timeout", "10s", "--file", path}
	for _, caller := range f.callers {
		arguments = append(arguments, "--address", caller)
	}
	_, err = f.launcher.Run(ctx, "jujubectl", arguments...)
	return err
}
