// Command load starts the system on loopback and measures the latency that
// one gate adds to a plain chat, compared with the same request sent directly to
// the engine, and the rate of requests that one gate serves.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3"

	"citronledge.example/demo/launch"
	"citronledge.example/demo/load"
)

const (
	compareSlices = 20 // runs of each target
	customer      = "bengal-crop-insurance"
	startTimeout  = time.Minute
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if err := run(ctx, os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "load:", err)
		}
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	bin := fs.String("bin", "bin", "folder of the programs; make build fills it")
	examples := fs.String("examples", "examples", "folder of the example settings")
	states := fs.Int("states", 3, "state processes")
	engines := fs.Int("engines", 8, "engines with a side process each")
	clients := fs.Int("clients", 128, "concurrent closed loops for the request rate")
	requests := fs.Int("requests", 20_000, "requests of each part")
	duration := fs.Duration("duration", 40*time.Second, "limit of each part")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("LOAD")); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "citronledge-load-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sys, err := launch.New(
		launch.WithBinDir(*bin), launch.WithDataDir(dir),
		launch.WithSettings(filepath.Join(*examples, "jhalmuri")),
		launch.WithModels("swift/v1,swift/v2,sage/v1"),
		launch.WithProcessCounts(*states, 1, *engines),
		launch.WithTokenTime(0), launch.WithEngineArgs("--first", "0s", "--slots", "64"),
	)
	if err != nil {
		return err
	}
	defer sys.Kill()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := sys.Start(startCtx); err != nil {
		return err
	}
	gate := load.Target{URL: "http://" + sys.Gates[0].Addr, Key: "demo-" + customer, Model: "swift", Tokens: 1}
	direct := gate
	direct.URL, direct.Model = "http://"+sys.Engines[0].Addr, "swift/v1"
	measure(ctx, gate, direct, load.Plan{Clients: *clients, Requests: *requests, Duration: *duration})
	return sys.Stop(ctx)
}

func measure(ctx context.Context, gate, direct load.Target, p load.Plan) {
	load.Run(ctx, gate, load.Plan{Clients: p.Clients, Requests: p.Requests / 10, Duration: p.Duration}) // warm up
	single := p
	single.Clients = 1
	viaGate, viaEngine := load.Compare(ctx, gate, direct, single, compareSlices)
	printResult("one client, gate  ", viaGate)
	printResult("one client, direct", viaEngine)
	for _, q := range []float64{50, 99} {
		fmt.Printf("one client, added p%g=%dus\n", q, viaGate.Latency.ValueAtQuantile(q)-viaEngine.Latency.ValueAtQuantile(q))
	}
	printResult(fmt.Sprintf("%d clients, gate  ", p.Clients), load.Run(ctx, gate, p))
	printResult(fmt.Sprintf("%d clients, direct", p.Clients), load.Run(ctx, direct, p))
}

func printResult(what string, r load.Result) {
	fmt.Printf("%s %s\n", what, r)
	if r.Failed > 0 {
		fmt.Printf("%s first failure: %s\n", what, r.SampleFailure)
	}
}
