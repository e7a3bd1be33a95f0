// Command load measures what a gate adds to a plain chat, against the same
// request sent straight to the engine, and the request rate of a gate.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/peterbourgon/ff/v3"

	"citronledge.example/demo/load"
)

const slices = 20 // turns between the two targets

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	gate := fs.String("gate", "", "URL of the gate")
	engine := fs.String("engine", "", "URL of an engine for the comparison; empty for none")
	key := fs.String("key", "", "bearer key of the customer")
	model := fs.String("model", "", "model to ask for")
	tokens := fs.Int("tokens", 1, "output tokens of one request")
	clients := fs.Int("clients", 1, "concurrent closed loops")
	requests := fs.Int("requests", 10_000, "number of requests")
	duration := fs.Duration("duration", 20*time.Second, "limit of the run")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("CITRONLEDGE_LOAD")); err != nil {
		return err
	}
	if *gate == "" || *key == "" || *model == "" {
		return fmt.Errorf("--gate, --key and --model are needed")
	}
	through := load.Target{URL: *gate, Key: *key, Model: *model, Tokens: *tokens}
	plan := load.Plan{Clients: *clients, Requests: *requests, Duration: *duration}
	if *engine == "" {
		fmt.Println("gate  ", load.Run(ctx, through, plan))
		return nil
	}
	direct := through
	direct.URL = *engine
	a, b := load.Compare(ctx, through, direct, plan, slices)
	fmt.Println("gate  ", a)
	fmt.Println("direct", b)
	for _, q := range []float64{50, 99} {
		fmt.Printf("added p%g=%dus\n", q, a.Latency.ValueAtQuantile(q)-b.Latency.ValueAtQuantile(q))
	}
	return nil
}
