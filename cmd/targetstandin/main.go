// Command targetstandin runs any number of stand-ins for targets in one process.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"jujubegate.example/jujubegate/standin/target"
)

type options struct {
	Spec          string        `long:"spec" description:"JSON file with a list of settings, one per target; replaces the other flags"`
	Host          string        `long:"host" default:"127.0.0.1" description:"host to listen on"`
	BasePort      int           `long:"base-port" default:"0" description:"first port; 0 selects free ones"`
	Service       string        `long:"service" default:"DispatchDesk" description:"service of the targets"`
	Shards        int           `long:"shards" default:"1" description:"number of shards"`
	Replicas      int           `long:"replicas" default:"1" description:"targets per shard"`
	DataCentre    string        `long:"data-centre" default:"Sliven" description:"data centre of the targets"`
	Version       string        `long:"version" default:"v1" description:"version of the targets"`
	Slots         int           `long:"slots" default:"2" description:"requests that a target runs at once"`
	Connections   int           `long:"connections" default:"25" description:"connections that a target accepts"`
	ConnectMs     float64       `long:"connect-ms" default:"6" description:"set-up cost of a connection in ms"`
	ServiceTimeMs float64       `long:"service-time-ms" default:"5" description:"median service time in ms"`
	ColdLimit     int           `long:"cold-limit" default:"1" description:"requests that a cold target handles; 0 starts warm"`
	Snapshot      int64         `long:"snapshot" default:"1" description:"snapshot held at the start"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the first target; the others count up"`
	StopTimeout   time.Duration `long:"stop-timeout" default:"5s" description:"time for requests in flight after SIGTERM"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	log, err := zap.NewProduction()
	if err == nil {
		err = run(o, os.Stdout, log)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "targetstandin:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT. It prints a line per target to out.
func run(o options, out io.Writer, log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings, err := o.settings()
	if err != nil {
		return err
	}
	fleet, err := target.NewFleet(settings, clockwork.NewRealClock(), log)
	if err != nil {
		return err
	}
	for _, t := range fleet.Targets() {
		s := t.Settings()
		if _, err := fmt.Fprintln(out, "listening", s.Address, s.Service, s.Shard, s.DataCentre, s.Version); err != nil {
			return errors.Join(err, fleet.Close(ctx))
		}
	}
	<-ctx.Done()
	log.Info("target: stopping")
	ctx, cancel := context.WithTimeout(context.Background(), o.StopTimeout)
	defer cancel()
	if err := fleet.Close(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// settings returns the settings in the spec file if one is given, else those that
// the other flags describe.
func (o options) settings() ([]target.Settings, error) {
	if o.Spec != "" {
		return readSpec(o.Spec)
	}
	base := target.DefaultSettings()
	base.Service, base.DataCentre, base.Version = o.Service, o.DataCentre, o.Version
	base.Slots, base.Connections, base.ColdLimit = o.Slots, o.Connections, o.ColdLimit
	base.ConnectMs, base.ServiceTimeMs, base.Seed = o.ConnectMs, o.ServiceTimeMs, o.Seed
	return target.Grid(base, o.Shards, o.Replicas, o.Snapshot, func(n int) string {
		port := 0
		if o.BasePort > 0 {
			port = o.BasePort + n
		}
		return net.JoinHostPort(o.Host, strconv.Itoa(port))
	}), nil
}

// readSpec reads a JSON list of settings. Absent fields get their default values.
func readSpec(path string) ([]target.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	settings := make([]target.Settings, len(raw))
	for i, r := range raw {
		settings[i] = target.DefaultSettings()
		settings[i].Snapshots = nil
		d := json.NewDecoder(bytes.NewReader(r))
		d.DisallowUnknownFields()
		if err := d.Decode(&settings[i]); err != nil {
			return nil, fmt.Errorf("%s: target %d: %w", path, i, err)
		}
		if settings[i].Snapshots == nil {
			settings[i].Snapshots = target.DefaultSettings().Snapshots
		}
	}
	return settings, nil
}
