// Command review-cases-2 plays the cases of the second review: it starts the
// project's program as processes and checks one rule of the users' pages from what
// clients, servers and the platform see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

// cases are the cases by name. Each reports whether the rule was broken. Trouble is
// false for a run without the disruption.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"seeds":   playSeeds,
	"refused": playRefused,
	"gap":     playGap,
	"entry":   playEntry,
	"cold":    playCold,
	"pause":   playPause,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases-2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.write("case %s, with the disruption: %v", name, trouble)
	go endEarly(r)
	broken, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		r.write("the rule was broken")
		return exitBroken
	}
	r.write("the rule held")
	return exitHeld
}

// endEarly ends all processes and this one on a signal or at the time limit.
func endEarly(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-signals:
		r.write("ended by signal %v", s)
	case <-time.After(timeLimit):
		r.write("ended after %v", timeLimit)
	}
	endAll()
	os.Exit(exitFailed)
}
