package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// Exit codes of jujubectl.
const (
	ExitDone        = 0
	ExitFindings    = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	// ExitNotInForce is also the code of an unknown outcome: the statements may
	// come into force later.
	ExitNotInForce = 5
)

// Command is the command line of jujubectl.
type Command struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// NewClient returns a client for addresses.
	NewClient func(addresses []string) *Client

	exitCode int
	// writeErr is the first error of writing to Out.
	writeErr error
}

// printf writes to Out. After a write error a subcommand exits with ExitUsage
// instead of ExitDone.
func (c *Command) printf(format string, arguments ...any) {
	if _, err := fmt.Fprintf(c.Out, format, arguments...); err != nil && c.writeErr == nil {
		c.writeErr = err
	}
}

// warnf writes to Err. It ignores write errors, since they cannot be reported.
func (c *Command) warnf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.Err, format, arguments...)
}

// NewCommand returns a command line that uses the standard streams of the
// process.
func NewCommand(clock jujubegate.Clock) *Command {
	return &Command{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		NewClient: func(addresses []string) *Client { return NewClient(addresses, clock) },
	}
}

type globalOptions struct {
	Version bool `long:"version" description:"Print the version and exit"`
}

// Run parses the arguments, runs the subcommand and returns the exit code.
func (c *Command) Run(arguments []string) int {
	var options globalOptions
	p := flags.NewNamedParser("jujubectl", flags.HelpFlag|flags.PassDoubleDash)
	p.SubcommandsOptional = true
	c.addCommands(p, &options)
	rest, err := p.ParseArgs(arguments)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		c.printf("%s\n", usage.Message)
		return ExitDone
	case errors.As(err, &usage):
		c.warnf("%s\n", usage.Message)
		return ExitUsage
	case err != nil:
		c.warnf("jujubectl: %v\n", err)
		return ExitUsage
	case options.Version:
		c.printf("jujubectl %s\n", version())
		return ExitDone
	case p.Active == nil && len(rest) > 0:
		c.warnf("jujubectl: there is no command %q\n", rest[0])
		return ExitUsage
	case p.Active == nil:
		p.WriteHelp(c.Err)
		return ExitUsage
	}
	if c.writeErr != nil {
		c.warnf("jujubectl: output is incomplete: %v\n", c.writeErr)
		if c.exitCode == ExitDone {
			return ExitUsage
		}
	}
	return c.exitCode
}

func (c *Command) addCommands(p *flags.Parser, options *globalOptions) {
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"run", "Run statements", "Sends statements to an entry instance. They come from the arguments, " +
			"from --file or from standard input.", &runCommand{command: c}},
		{"check", "Check statements without a server", "Reports all findings in the text of statements. " +
			"Use run --dry-run to check them against the configuration.", &checkCommand{command: c}},
		{
			"format", "Format statements", "Prints statements in canonical layout with their comments.",
			&formatCommand{command: c},
		},
		{"completion", "Print a completion script", "Prints a script for the shell.", &completionCommand{command: c}},
	}
	if _, err := p.AddGroup("Options", "", options); err != nil {
		panic(err)
	}
	for _, each := range commands {
		if _, err := p.AddCommand(each.name, each.short, each.long, each.data); err != nil {
			panic(err)
		}
	}
}

// version returns the module version and the VCS revision of the binary.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = " " + s.Value
		}
	}
	return info.Main.Version + revision
}

// input holds the options and arguments that supply the statements.
type input struct {
	File  string `short:"f" long:"file" value-name:"FILE" description:"Read statements from a file"`
	Words struct {
		Statements []string `positional-arg-name:"STATEMENT"`
	} `positional-args:"yes"`
}

// errTwoSources is the usage error of statements both as arguments and in a file.
var errTwoSources = errors.New("statements are given both as arguments and by --file")

// read returns the statements and the file name to use in findings.
func (s input) read(in io.Reader) (text, file string, err error) {
	switch {
	case len(s.Words.Statements) > 0 && s.File != "":
		return "", "", errTwoSources
	case len(s.Words.Statements) > 0:
		return strings.Join(s.Words.Statements, "\n") + "\n", "<arguments>", nil
	case s.File != "":
		opened, err := os.Open(s.File)
		if err != nil {
			return "", "", err
		}
		defer func() { _ = opened.Close() }()
		in, file = opened, s.File
	default:
		file = "<stdin>"
	}
	// One byte above the limit is enough for the parser to report that the input
	// is too large.
	content, err := io.ReadAll(io.LimitReader(in, parser.MaxInput+1))
	return string(content), file, err
}

// fail prints an error and sets the exit code. It returns nil, so that Run does not
// print the error again.
func (c *Command) fail(code int, err error) error {
	c.warnf("jujubectl: %v\n", err)
	c.exitCode = code
	return nil
}

type outputOption struct {
	Output string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Form of the output"`
}

func (c *Command) printer(o outputOption) printer {
	return printer{Command: c, json: o.Output == "json"}
}

type runCommand struct {
	command *Command

	input
	outputOption
	Addresses []string      `short:"a" long:"address" env:"JUJUBEGATE_ADDRESS" env-delim:"," value-name:"HOST:PORT" description:"Entry instance; several are tried in turn"`
	Author    string        `long:"author" env:"USER" default:"unknown" description:"Name that the change log records"`
	DryRun    bool          `long:"dry-run" description:"Check against the configuration and change nothing"`
	Wait      bool          `long:"wait" description:"Wait until the change is in force on all instances"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"Limit of the whole command"`
}

// Execute sends the statements and prints the outcome.
func (r *runCommand) Execute([]string) error {
	c := r.command
	if len(r.Addresses) == 0 {
		return c.fail(ExitUsage, errors.New("no --address is given"))
	}
	text, file, err := r.read(c.In)
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	client := c.NewClient(r.Addresses)
	response, err := client.Send(ctx, Request{Statements: text, Author: r.Author, DryRun: r.DryRun, File: file})
	if err != nil {
		return c.fail(ExitUnavailable, err)
	}
	outcome := Outcome{Response: response}
	c.exitCode = exitCodeOf(response)
	if r.Wait && !r.DryRun && c.exitCode == ExitDone && changeAccepted(response) {
		state, err := client.Wait(ctx, response.Generation)
		if err != nil {
			c.warnf("jujubectl: %v\n", err)
		}
		outcome.InForce = &state
		if !state.InForce {
			c.exitCode = ExitNotInForce
		}
	}
	c.printer(r.outputOption).printOutcome(outcome)
	return nil
}

// changeAccepted reports whether a response has an accepted statement.
func changeAccepted(r Response) bool {
	for _, result := range r.Results {
		if result.Kind == KindAccepted {
			return true
		}
	}
	return false
}

func exitCodeOf(r Response) int {
	if r.Error == nil {
		return ExitDone
	}
	switch r.Error.Code {
	case CodeBadStatement:
		return ExitFindings
	case CodeConflict:
		return ExitConflict
	case CodeStoreUnavailable:
		return ExitUnavailable
	}
	return ExitNotInForce
}
