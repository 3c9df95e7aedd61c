// Command jujubedemo runs the query tier end to end on this machine and checks the
// guaranteed behaviour. It exits with status 1 if a guarantee is violated or the
// demo can't run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"jujubegate.example/jujubegate/demonstrator"
	"jujubegate.example/jujubegate/launcher"
)

type options struct {
	Binaries  string `long:"bin" description:"directory of the programs" default:"bin"`
	Directory string `long:"dir" description:"directory for settings and logs (default: a temporary one, removed after success)"`
}

func main() {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "jujubedemo:", err)
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "jujubedemo:", err)
		os.Exit(1)
	}
	fmt.Println("\nall promises kept")
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	directory := o.Directory
	if directory == "" {
		temporary, err := os.MkdirTemp("", "jujubedemo")
		if err != nil {
			return err
		}
		directory = temporary
	}
	if err := demonstrator.Run(ctx, launcher.New(o.Binaries, directory), os.Stdout); err != nil {
		return fmt.Errorf("%w\nlogs are in %s", err, directory)
	}
	if o.Directory == "" {
		return os.RemoveAll(directory)
	}
	return nil
}
