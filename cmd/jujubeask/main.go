// Command jujubeask is a command-line client for callers: it sends queries and
// orders, and looks up the outcome of an order or the addresses of instances.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/asker"
)

// Exit codes.
const (
	exitUsage   = 2
	exitRefused = 3
	exitFailed  = 4
)

type options struct {
	Address    []string      `short:"a" long:"address" description:"host:port of any instance; repeat for more" default:"127.0.0.1:7000"`
	DataCentre string        `long:"data-centre" description:"data centre of the caller, to be given near instances"`
	Caller     string        `long:"caller" description:"name of the caller" default:"jujubeask"`
	Timeout    time.Duration `long:"timeout" description:"time to wait for an answer" default:"5s"`
	Version    bool          `long:"version" description:"print the version and exit"`

	Query     queryCommand     `command:"query" description:"ask one question of all shards of a service"`
	Order     orderCommand     `command:"order" description:"place an order that runs at most once"`
	Outcome   outcomeCommand   `command:"outcome" description:"look up the outcome of an order"`
	Addresses addressesCommand `command:"addresses" description:"print the addresses to use"`
}

type queryCommand struct {
	Partial bool `long:"partial" description:"accept an answer that does not cover every key"`
	Args    struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Route   string `positional-arg-name:"ROUTE" required:"yes"`
		Body    string `positional-arg-name:"BODY" description:"JSON sent to every shard"`
	} `positional-args:"yes"`
}

type orderCommand struct {
	ID   string `long:"id" description:"UUIDv7 of the order; repeat it to retry (default: a new one)"`
	Key  string `long:"key" description:"key that selects the shard" required:"yes"`
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Route   string `positional-arg-name:"ROUTE" required:"yes"`
		Body    string `positional-arg-name:"BODY" description:"JSON of the order"`
	} `positional-args:"yes"`
}

type outcomeCommand struct {
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		ID      string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

type addressesCommand struct{}

func main() {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.Parse(); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "jujubeask:", err)
		os.Exit(exitUsage)
	}
	if o.Version {
		fmt.Println("jujubeask", jujubegate.Release())
		return
	}
	if parser.Active == nil {
		fmt.Fprintln(os.Stderr, "jujubeask: a command is required; see --help")
		os.Exit(exitUsage)
	}
	os.Exit(run(o, parser.Active.Name))
}

// run runs the command, prints its answer as JSON and returns the exit code.
func run(o options, command string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	client := asker.New(o.Address, jujubegate.DataCentre(o.DataCentre), jujubegate.Caller(o.Caller), clockwork.NewRealClock())
	answer, err := send(ctx, client, o, command)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jujubeask:", err)
		var refusal *jujubegate.Refusal
		if errors.As(err, &refusal) {
			return exitRefused
		}
		return exitFailed
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(answer); err != nil {
		fmt.Fprintln(os.Stderr, "jujubeask:", err)
		return exitFailed
	}
	return 0
}

func send(ctx context.Context, client *asker.Asker, o options, command string) (any, error) {
	switch command {
	case "query":
		if body := o.Query.Args.Body; body != "" && !json.Valid([]byte(body)) {
			return nil, fmt.Errorf("body %q is not a JSON value", body)
		}
		return client.Query(ctx, asker.QueryRequest{
			Service:      jujubegate.Service(o.Query.Args.Service),
			Route:        jujubegate.Route(o.Query.Args.Route),
			Body:         json.RawMessage(o.Query.Args.Body),
			AllowPartial: o.Query.Partial,
		})
	case "order":
		if body := o.Order.Args.Body; body != "" && !json.Valid([]byte(body)) {
			return nil, fmt.Errorf("body %q is not a JSON value", body)
		}
		id, err := orderIDOrNew(o.Order.ID)
		if err != nil {
			return nil, err
		}
		return client.Order(ctx, asker.OrderRequest{
			Service: jujubegate.Service(o.Order.Args.Service),
			Route:   jujubegate.Route(o.Order.Args.Route),
			ID:      id,
			Key:     o.Order.Key,
			Body:    json.RawMessage(o.Order.Args.Body),
			First:   o.Order.ID == "",
		})
	case "outcome":
		return client.Outcome(ctx, jujubegate.Service(o.Outcome.Args.Service), o.Outcome.Args.ID)
	default:
		return client.Addresses(ctx)
	}
}

// orderIDOrNew returns the given ID, or a new one if it is empty. It prints a new
// ID before the order is sent, so that the caller can retry or look up the order if
// the answer is lost.
func orderIDOrNew(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("generate order ID: %w", err)
	}
	fmt.Fprintln(os.Stderr, "jujubeask: order ID", id)
	return id.String(), nil
}
