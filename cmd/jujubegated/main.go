// Command jujubegated is the entry daemon: it runs one instance, which answers
// callers' queries and orders.
package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/assembler"
	"jujubegate.example/jujubegate/loader"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings string `short:"s" long:"settings" description:"TOML file of settings" default:"jujubegated.toml"`
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
		fmt.Println("jujubegated", jujubegate.Release())
		return 0
	}
	settings, err := loader.Load(o.Settings)
	if err != nil {
		return fail(exitUsage, err)
	}
	if o.Check {
		fmt.Println(o.Settings, "is valid")
		return 0
	}
	logger, err := newLogger(settings.Log.Level)
	if err != nil {
		return fail(exitUsage, err)
	}
	defer func() { _ = logger.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		// GOMEMLIMIT is not set.
		debug.SetMemoryLimit(settings.GoMemoryLimit())
	}
	daemon, err := assembler.New(settings, clockwork.NewRealClock(), logger)
	if err != nil {
		return fail(exitFailed, err)
	}
	if err := daemon.Run(ctx); err != nil {
		return fail(exitFailed, err)
	}
	return 0
}

func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	config := zap.NewProductionConfig()
	config.Level = parsed
	config.Sampling = nil
	return config.Build()
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "jujubegated:", err)
	return code
}
