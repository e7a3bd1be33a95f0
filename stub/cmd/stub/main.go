// Command stub runs one stand-in for an outside system, for tests and the demo.
// Subcommands: engine, service, ratings, members, weights.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/server"
	"citronledge.example/stub/depot"
	"citronledge.example/stub/engine"
	"citronledge.example/stub/plain"
	"citronledge.example/stub/rater"
	"citronledge.example/stub/roster"
)

const headerTimeout = 5 * time.Second

// standIn registers the flags of a stand-in and returns its constructor.
type standIn func(fs *flag.FlagSet) func() (http.Handler, error)

var standIns = map[string]standIn{
	"engine": newEngine, "service": newService, "ratings": newRatings, "members": newMembers, "weights": newWeights,
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "stub:", err)
		}
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 || standIns[args[0]] == nil {
		return errors.New("name a stand-in: engine, service, ratings, members or weights")
	}
	fs := flag.NewFlagSet("stub "+args[0], flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on")
	fs.String("config", "", "YAML file with the same settings")
	build := standIns[args[0]](fs)
	if err := server.ParseSettings(fs, args[1:], "STUB"); err != nil {
		return err
	}
	h, err := build()
	if err != nil {
		return err
	}
	return serve(args[0], *listen, h)
}

func serve(name, addr string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "cannot listen; set --listen to a free address")
	}
	klog.InfoS("Stand-in listening", "kind", name, "addr", ln.Addr().String())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newEngine(fs *flag.FlagSet) func() (http.Handler, error) {
	var settings engine.Settings
	models := fs.String("models", "", "loaded targets, MODEL/VERSION,...")
	fs.IntVar(&settings.Slots, "slots", 8, "requests that run at once")
	fs.DurationVar(&settings.FirstTokenDelay, "first", 20*time.Millisecond, "time to the first token")
	fs.DurationVar(&settings.TokenInterval, "token", 5*time.Millisecond, "time between tokens")
	fs.DurationVar(&settings.LoadReportAge, "lag", 0, "age of the load report that is served")
	fs.BoolVar(&settings.Fencing, "fencing", false, "refuse an order whose fence is lower than one already seen")
	return func() (http.Handler, error) {
		for name := range strings.SplitSeq(*models, ",") {
			t, err := ident.ParseTarget(name)
			if err != nil {
				return nil, fmt.Errorf("--models: %w", err)
			}
			settings.Models = append(settings.Models, t)
		}
		return engine.New(settings), nil
	}
}

func newService(fs *flag.FlagSet) func() (http.Handler, error) {
	fields := fs.String("business", "household,day,vial", "fields of the body that identify an operation")
	return func() (http.Handler, error) { return plain.New(strings.Split(*fields, ",")), nil }
}

func newRatings(fs *flag.FlagSet) func() (http.Handler, error) {
	settings := rater.Settings{Quality: map[ident.Target]float64{}}
	quality := fs.String("quality", "", "quality by target, MODEL/VERSION=0.9,...")
	fs.DurationVar(&settings.Delay, "delay", 0, "time before a rating")
	fs.Float64Var(&settings.FailureShare, "loss", 0, "share of ratings that fail, from 0 to 1")
	fs.Float64Var(&settings.DefaultQuality, "default", 0.8, "quality of other targets")
	fs.Uint64Var(&settings.Seed, "seed", 1, "seed of the random deviations and failures of ratings")
	return func() (http.Handler, error) {
		for item := range strings.SplitSeq(*quality, ",") {
			if item == "" {
				continue
			}
			name, value, _ := strings.Cut(item, "=")
			t, err := ident.ParseTarget(name)
			if err != nil {
				return nil, fmt.Errorf("--quality: %w", err)
			}
			var q float64
			if _, err := fmt.Sscan(value, &q); err != nil {
				return nil, fmt.Errorf("--quality: %q has no number", item)
			}
			settings.Quality[t] = q
		}
		return rater.New(settings), nil
	}
}

func newMembers(fs *flag.FlagSet) func() (http.Handler, error) {
	lag := fs.Duration("lag", 0, "age of the list that is served")
	return func() (http.Handler, error) { return roster.New(*lag), nil }
}

func newWeights(fs *flag.FlagSet) func() (http.Handler, error) {
	size := fs.Int("size", 64<<10, "bytes of a blob")
	perSecond := fs.Int("rate", 64<<10, "bytes per second shared by all downloads")
	return func() (http.Handler, error) { return depot.New(*size, *perSecond), nil }
}
