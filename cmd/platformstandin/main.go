// Command platformstandin runs a stand-in for the platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"jujubegate.example/jujubegate/standin/platform"
)

type options struct {
	Listen      string        `long:"listen" default:"127.0.0.1:7100" description:"host:port to listen on; port 0 selects a free one"`
	StopTimeout time.Duration `long:"stop-timeout" default:"2s" description:"time for calls in flight after SIGTERM"`
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
		fmt.Fprintln(os.Stderr, "platformstandin:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT. It prints the address to out.
func run(o options, out io.Writer, log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	p := platform.New(clockwork.NewRealClock())
	s := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	if _, err := fmt.Fprintln(out, "listening", l.Addr()); err != nil {
		return errors.Join(err, s.Close(), <-failed)
	}
	log.Info("platform: listening", zap.Stringer("address", l.Addr()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info("platform: stopping")
	// Setting the faults ends waiting watches, which would delay the shutdown.
	p.SetFaults(platform.Faults{})
	ctx, cancel := context.WithTimeout(context.Background(), o.StopTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return s.Close()
}
