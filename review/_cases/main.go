package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the functions that run a case. Each returns whether the rule held.
var cases = map[string]func(c *caseRun) (bool, error){
	"take-back":    takeBack,
	"load":         badUnderLoad,
	"quiet":        quietService,
	"popular":      popularQuestion,
	"roll-forward": rollForward,
}

// caseRun is one run of a case.
type caseRun struct {
	*record
	// trouble is set unless the case runs without its disruption.
	trouble bool
	// folder is a temporary folder for settings and logs.
	folder string
	fleet  atomic.Pointer[fleet]
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE RECORD")
		return failed
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(folder)
	c := &caseRun{record: r, trouble: os.Getenv("TROUBLE") != "0", folder: folder}
	defer c.closeFleet()
	go func() {
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
		<-interrupted
		c.closeFleet()
		os.RemoveAll(folder)
		os.Exit(failed)
	}()
	ok, err := cases[os.Args[1]](c)
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		return failed
	case !ok:
		r.printf("the rule was broken")
		return broken
	}
	r.printf("the rule held")
	return held
}

// closeFleet ends all processes that the case has started.
func (c *caseRun) closeFleet() {
	if f := c.fleet.Load(); f != nil {
		f.close()
	}
}
