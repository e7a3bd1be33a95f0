// Command slope measures how the cost of each process grows with the
// number of processes that it is connected to. It prints one line for each value
// and one for each slope.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"k8s.io/klog/v2"

	"citronledge.example/demo/slope"
)

func main() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	if len(os.Args) > 1 && os.Args[1] == "child" {
		if err := slope.RunChild(os.Args[2:], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "slope child:", err)
			os.Exit(1)
		}
		return
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if err := run(ctx, os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "slope:", err)
		}
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("slope", flag.ContinueOnError)
	parts := fs.String("parts", strings.Join(slope.PartOrder, ","), "parts to measure, separated by commas")
	window := fs.Duration("window", 4*time.Second, "time of one measurement at rest")
	windows := fs.Int("windows", 3, "measurements at rest; the median counts")
	bin := fs.String("bin", "bin", "folder of the programs; make build fills it")
	examples := fs.String("examples", "examples", "folder of the example settings")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SLOPE")); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p := slope.Plan{Window: *window, Windows: max(1, *windows), Executable: self, BinDir: *bin, ExamplesDir: *examples, Out: os.Stdout}
	for name := range strings.SplitSeq(*parts, ",") {
		part, ok := slope.Parts[name]
		if !ok {
			return fmt.Errorf("unknown part %q; use some of %s", name, strings.Join(slope.PartOrder, ","))
		}
		start := time.Now()
		if err := part(ctx, p); err != nil {
			return fmt.Errorf("part %s: %w", name, err)
		}
		fmt.Printf("part=%s took=%s\n", name, time.Since(start).Round(time.Second))
	}
	return nil
}
