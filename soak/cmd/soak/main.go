// Command soak runs seeds of the fault-injection soak against the built programs.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"

	"citronledge.example/soak"
)

type settings struct {
	bin, dir        string
	seed            uint64
	seeds, jobs     int
	planned, faulty time.Duration
	restarts        int
}

func main() {
	err := run(os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func parse(args []string) (*settings, error) {
	s := &settings{}
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	fs.StringVar(&s.bin, "bin", "bin", "folder with the programs gate and state")
	fs.StringVar(&s.dir, "dir", os.TempDir(), "folder for data and logs; those of seeds without findings are removed")
	fs.Uint64Var(&s.seed, "seed", 0, "first seed; 0 draws a random one")
	fs.IntVar(&s.seeds, "seeds", 1, "number of consecutive seeds, starting with the first")
	fs.IntVar(&s.jobs, "jobs", 2, "seeds that run at the same time; each runs 6 processes")
	fs.DurationVar(&s.planned, "planned", 10*time.Second, "duration of the phase with planned events only")
	fs.DurationVar(&s.faulty, "faulty", 20*time.Second, "duration of the phase with faults")
	fs.IntVar(&s.restarts, "restarts", 0, "instead of seeds: kill and start all processes this many times, and print the times of each step")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SOAK")); err != nil {
		return nil, err
	}
	if s.seeds < 1 || s.jobs < 1 || s.planned < 0 || s.faulty < 0 {
		return nil, eris.New("--seeds and --jobs must be at least 1, --planned and --faulty at least 0s")
	}
	if s.seed == 0 {
		s.seed = uint64(rand.Uint32())
	}
	return s, nil
}

func run(args []string) error {
	s, err := parse(args)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if s.restarts > 0 {
		return s.measureRestarts(ctx)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex // guards failed and standard output
	var failed []string
	slots := make(chan struct{}, s.jobs)
	for i := range s.seeds {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wait.Go(func() {
			defer func() { <-slots }()
			seed := s.seed + uint64(i)
			outcome, ok := s.runSeed(ctx, seed)
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(outcome)
			if !ok {
				failed = append(failed, fmt.Sprint(seed))
			}
		})
	}
	wait.Wait()
	if len(failed) > 0 {
		return eris.Errorf("%d of %d seeds failed: %s", len(failed), s.seeds, strings.Join(failed, ", "))
	}
	return ctx.Err()
}

// measureRestarts prints the times of the steps after a restart of all processes.
func (s *settings) measureRestarts(ctx context.Context) error {
	dir, err := os.MkdirTemp(s.dir, "restart-")
	if err != nil {
		return err
	}
	bin, err := filepath.Abs(s.bin)
	if err != nil {
		return err
	}
	times, err := soak.MeasureRestarts(ctx, soak.Config{BinDir: bin, Dir: dir}, s.restarts)
	if err != nil {
		return eris.Wrap(err, "logs in "+dir)
	}
	fmt.Print(times)
	return os.RemoveAll(dir)
}

// runSeed runs one seed and describes the outcome; ok is false if it has findings
// or could not be run.
func (s *settings) runSeed(ctx context.Context, seed uint64) (outcome string, ok bool) {
	dir, err := os.MkdirTemp(s.dir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return err.Error(), false
	}
	bin, err := filepath.Abs(s.bin)
	if err != nil {
		return err.Error(), false
	}
	r, err := soak.Run(ctx, soak.Config{BinDir: bin, Dir: dir, Seed: seed, PlannedPhase: s.planned, FaultyPhase: s.faulty})
	if err != nil {
		return fmt.Sprintf("seed %d: not run: %v (logs in %s)", seed, err, dir), false
	}
	var counts []string
	for name, n := range r.Counts {
		counts = append(counts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(counts)
	outcome = fmt.Sprintf("seed %d: %d findings; %s", seed, len(r.Findings), strings.Join(counts, ", "))
	if len(r.Findings) == 0 {
		if err := r.RemoveDir(); err != nil {
			return outcome + "; " + err.Error(), false
		}
		return outcome, true
	}
	return outcome + "\n  logs in " + r.Dir + "\n  " + strings.Join(r.Findings, "\n  "), false
}
