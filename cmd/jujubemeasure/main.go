// Command jujubemeasure measures the query tier beside a naive implementation and
// writes the figures to a Markdown file.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/measurer"
)

type options struct {
	Binaries string   `long:"bin" description:"directory of the programs" default:"bin"`
	Out      string   `long:"out" description:"Markdown file to write; none if empty"`
	Capacity string   `long:"capacity" description:"Markdown file whose table of the future size is written anew; other measurements don't run"`
	Only     []string `long:"only" description:"name of a measurement to run; repeat for more (default: all)"`
}

func main() {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "jujubemeasure:", err)
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "jujubemeasure:", err)
		os.Exit(1)
	}
}

// run returns an error only if a measurement could not run. A figure with
// the verdict Red is a result: it is printed and written like the others.
func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Capacity != "" {
		return measurer.RunCapacity(ctx, o.Capacity, os.Stdout)
	}
	figures, err := measurer.Run(ctx, o.Binaries, jujubegate.NewSet(o.Only...), os.Stdout)
	if err != nil {
		return err
	}
	if o.Out == "" {
		return nil
	}
	file, err := os.Create(o.Out)
	if err != nil {
		return err
	}
	return errors.Join(measurer.WriteMarkdown(file, figures), file.Close())
}
