// Command jujubenode is the entry daemon for the users' platform: it runs one
// instance and reloads the settings on SIGHUP.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/conductor"
	"jujubegate.example/jujubegate/platform"
	"jujubegate.example/jujubegate/recorder"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings string `short:"s" long:"settings" env:"JUJUBEGATE_NODE_FILE" description:"TOML file of settings" default:"jujubenode.toml"`
	Check    bool   `long:"check" description:"check the settings, print all findings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			fmt.Println(err)
			return 0
		}
		return fail(exitUsage, err)
	}
	if o.Version {
		fmt.Println("jujubenode", jujubegate.Release())
		return 0
	}
	settings, err := conductor.Load(o.Settings)
	if err != nil {
		return fail(exitUsage, err)
	}
	if o.Check {
		fmt.Println(o.Settings, "is valid")
		return 0
	}
	return serve(o.Settings, settings)
}

func serve(path string, settings conductor.Settings) int {
	clock := jujubegate.NewSteadyClock(clockwork.NewRealClock())
	log, err := recorder.NewLog(os.Stdout, clock, settings.Log.Level, settings.Log.LinesPerSecond)
	if err != nil {
		return fail(exitUsage, err)
	}
	defer log.Close()
	debug.SetMemoryLimit(settings.GoMemoryLimit())
	metrics := recorder.New(log.Logger, false)
	log.RegisterMetrics(metrics)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	storeCalls, storeFailures := metrics.Counter(recorder.StoreCalls), metrics.Counter(recorder.StoreFailures)
	store := platform.NewStore(settings.Store.Address, func(err error) {
		storeCalls.Inc()
		if err != nil {
			storeFailures.Inc()
		}
	}, func(kind string, err error) {
		log.Warn("platform: object of the store cannot be used", zap.String("Kind", kind), zap.Error(err))
	})
	metrics.Publish()
	instance := conductor.New(settings, platform.New(store.Source()), clock, log.Logger, metrics)
	go func() {
		for range reload {
			instance.Reload(path)
		}
	}()
	if err := instance.Run(ctx); err != nil {
		return fail(exitFailed, err)
	}
	return 0
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "jujubenode:", err)
	return code
}
