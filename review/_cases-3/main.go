// Command cases plays the cases of this review against processes of the system. Its first
// argument is the name of a case, the second the folder for its record.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	kept   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(w *world) (bool, error){
	"poison":  poison,
	"memory":  memory,
	"crowd":   crowd,
	"rollout": rollout,
	"hang":    hang,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER")
		return failed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	held, err := cases[os.Args[1]](w)
	w.writeAsked()
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case !held:
		w.note("result: the rule was broken")
		return broken
	}
	w.note("result: the rule held")
	return kept
}

func env(name, standard string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return standard
}
