// Command demo starts the whole system on loopback, sends requests, prints
// the answers, the bills and the audit trail, and stops everything.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"citronledge.example/demo/launch"
)

const (
	demoTimeout = 55 * time.Second // for the whole demo
	insurer     = "bengal-crop-insurance"
	atelier     = "atelier-sfax"
	// keyPrefix followed by the name of a customer is its bearer key in the examples.
	keyPrefix = "demo-"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "demo:", err)
		}
		os.Exit(1)
	}
}

func run(args []string) error {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	bin := fs.String("bin", "bin", "folder of the programs; make build fills it")
	examples := fs.String("examples", "examples", "folder of the example settings")
	keep := fs.Bool("keep", false, "keep the folder with data and logs")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("DEMO")); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "citronledge-demo-")
	if err != nil {
		return err
	}
	if *keep {
		fmt.Println("data and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	sys, err := launch.New(
		launch.WithBinDir(*bin), launch.WithDataDir(dir),
		launch.WithSettings(filepath.Join(*examples, "jhalmuri"), filepath.Join(*examples, "association")),
		launch.WithModels("swift/v1,swift/v2,sage/v1,bench/v1,master/v1,master/v2"),
		launch.WithServices("payments", "registry"),
	)
	if err != nil {
		return err
	}
	defer sys.Kill() // ends the processes that a failed step leaves running
	return (&demo{sys: sys}).run(ctx)
}

type demo struct {
	sys *launch.System
}

func (d *demo) run(ctx context.Context) error {
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"start the system and apply the settings", d.sys.Start},
		{"chat", d.chat},
		{"stream", d.stream},
		{"cascade", d.cascade},
		{"payout", d.payout},
		{"registration", d.registration},
		{"bills", d.bills},
		{"audit trail", d.audit},
		{"stop everything with SIGTERM", d.sys.Stop},
	}
	for _, s := range steps {
		start := time.Now()
		fmt.Printf("== %s\n", s.name)
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("step %q failed: %w", s.name, err)
		}
		fmt.Printf("   done in %d ms\n", time.Since(start).Milliseconds())
	}
	return nil
}

func (d *demo) caller(gate int, customer string) launch.Caller {
	return launch.Caller{Gate: d.sys.Gates[gate], Key: keyPrefix + customer}
}

// checkOK returns an error unless the status is 200.
func checkOK(r launch.Reply, err error) error {
	if err != nil {
		return err
	}
	if r.Status != http.StatusOK {
		return fmt.Errorf("got status %d: %s", r.Status, r.Body)
	}
	return nil
}

func (d *demo) chat(ctx context.Context) error {
	r, err := d.caller(0, insurer).Chat(ctx, launch.ChatBody("swift", "What is the state of claim 4711?", 12, false))
	if err := checkOK(r, err); err != nil {
		return err
	}
	fmt.Printf("   %s: %s\n", r.Target, r.Text)
	return nil
}

func (d *demo) stream(ctx context.Context) error {
	r, err := d.caller(1, atelier).Chat(ctx, launch.ChatBody("master/v1", "Which tolerance class has a level of 0.02 mm/m?", 20, true))
	if err := checkOK(r, err); err != nil {
		return err
	}
	if !r.StreamEnded || r.Events != 20 {
		return fmt.Errorf("got %d parts, end %v; want 20 and an end", r.Events, r.StreamEnded)
	}
	fmt.Printf("   %s in %d parts: %s\n", r.Target, r.Events, r.Text)
	return nil
}

func (d *demo) cascade(ctx context.Context) error {
	r, err := d.caller(0, insurer).Chat(ctx, launch.ChatBody("auto", "Summarise the season of claim 4711.", 12, false))
	if err := checkOK(r, err); err != nil {
		return err
	}
	fmt.Printf("   %s: %s\n", r.Target, r.Text)
	return nil
}

// payout sends a payout, resends it, and sends one with the same business key under
// another idempotency key. The service must have run it once.
func (d *demo) payout(ctx context.Context) error {
	body := map[string]any{"household": "H-17", "day": "2026-06-14", "amount": 1200}
	first, err := d.caller(0, insurer).CallService(ctx, "/v1/payouts", "payout-1", body)
	if err := checkOK(first, err); err != nil {
		return err
	}
	again, err := d.caller(1, insurer).CallService(ctx, "/v1/payouts", "payout-1", body)
	if err := checkOK(again, err); err != nil {
		return fmt.Errorf("resent key: %w", err)
	}
	other, err := d.caller(1, insurer).CallService(ctx, "/v1/payouts", "payout-2", body)
	if err != nil {
		return err
	}
	fmt.Printf("   first:       %s\n   resent key:  %s\n   another key: %d %s\n", first.Body, again.Body, other.Status, other.Body)
	keys, business, err := launch.RunCounts(ctx, d.sys.Services[0])
	if err != nil {
		return err
	}
	fmt.Printf("   runs at the service: %v\n", business)
	if string(first.Body) != string(again.Body) || other.Status != http.StatusConflict ||
		keys[insurer+":payouts:payout-1"] != 1 || keys[insurer+":payouts:payout-2"] != 0 {
		return fmt.Errorf("the payout did not run exactly once: %v", keys)
	}
	return nil
}

func (d *demo) registration(ctx context.Context) error {
	r, err := d.caller(0, atelier).CallService(ctx, "/v1/certificates", "certificate-1", map[string]any{"vial": "V-204", "class": "A"})
	if err := checkOK(r, err); err != nil {
		return err
	}
	fmt.Printf("   %s\n", r.Body)
	return nil
}

// bills prints the bills and checks that there is one for each request.
func (d *demo) bills(ctx context.Context) error {
	if err := d.printCtl(ctx, "bills"); err != nil {
		return err
	}
	bills, err := d.sys.Bills(ctx, "")
	if err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, b := range bills {
		if seen[b.GetRequest()] {
			return fmt.Errorf("request %s has two bills", b.GetRequest())
		}
		seen[b.GetRequest()] = true
	}
	// One bill each for chat, stream, cascade, payout and registration. A replayed
	// answer and a refusal cost nothing.
	if len(bills) != 5 {
		return fmt.Errorf("got %d bills, want 5", len(bills))
	}
	return nil
}

func (d *demo) audit(ctx context.Context) error { return d.printCtl(ctx, "audit") }

// printCtl runs ctl and prints its output.
func (d *demo) printCtl(ctx context.Context, args ...string) error {
	text, err := d.sys.RunCtl(ctx, args...)
	if err != nil {
		return err
	}
	if strings.TrimSpace(text) == "" {
		return fmt.Errorf("ctl %s printed nothing", args[0])
	}
	for line := range strings.Lines(text) {
		fmt.Print("   ", line)
	}
	return nil
}
