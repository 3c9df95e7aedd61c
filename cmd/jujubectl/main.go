// Command jujubectl runs, checks and formats operators' statements.
package main

import (
	"os"

	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate/commander"
)

func main() {
	os.Exit(commander.NewCommand(clockwork.NewRealClock()).Run(os.Args[1:]))
}
