package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Config says what to run.
type Config struct {
	// BinDir is the folder with the programs gate and state.
	BinDir string
	// Dir takes settings, data and logs; an empty folder.
	Dir  string
	Seed uint64
	// PlannedPhase and FaultyPhase are the lengths of the two phases.
	PlannedPhase, FaultyPhase time.Duration
}

const (
	// startTime is the time from the start of all processes until the gates
	// must be ready.
	startTime = 10 * time.Second
	// recoverTime is the time after the end of all faults in which the system
	// must serve everything again.
	recoverTime = 12 * time.Second
	// ackTime and applyTime are the times within which a new configuration must
	// be acknowledged and then in force at all gates.
	ackTime   = 4 * time.Second
	applyTime = 2 * time.Second
)

// soak is one run.
type soak struct {
	Config
	recorder *recorder
	site     *site
	operator *operator
	phase    atomic.Int32
	wiping   sync.Mutex // while a lost disk is made up for
}

// source returns a source of random numbers of its own for one part of a run.
func (s *soak) source(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, part)) }

// Run plays one seed. Its error says that the run could not be made; broken
// promises are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &soak{Config: cfg, recorder: newRecorder()}
	var err error
	if s.site, err = newSite(cfg.BinDir, cfg.Dir, s.recorder); err != nil {
		return Report{}, eris.Wrap(err, "cannot set up the site")
	}
	defer s.site.close()
	s.operator = newOperator(s.recorder, s.site.states)
	if err := s.site.start(); err != nil {
		return Report{}, err
	}
	lb := newBalancer(s.site.gates)
	balancing, cancel := context.WithCancel(ctx)
	defer cancel()
	go lb.run(balancing)
	if _, ok := s.operator.replace(startTime); !ok {
		return Report{}, eris.New("the first configuration was not acknowledged; see the logs of the state processes in " + cfg.Dir)
	}
	if missing := s.recovered(startTime); missing != "" {
		return Report{}, eris.New("the site does not come up: " + missing)
	}
	s.work(ctx, lb)
	s.settle()
	r := s.recorder.report()
	r.Seed, r.Dir = cfg.Seed, cfg.Dir
	return r, nil
}

// work plays both phases under load.
func (s *soak) work(ctx context.Context, lb *balancer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { s.runCallers(ctx, lb) })
	wait.Go(func() { s.operator.run(ctx, s.source(1)) })
	wait.Go(func() { s.operator.watch(ctx, s.source(2)) })
	wait.Go(func() { s.watchEnds(ctx) })

	first, done := context.WithTimeout(ctx, s.PlannedPhase)
	s.play(first, s.plannedEvents(), 10)
	done()
	s.phase.Store(int32(faulty))
	second, done := context.WithTimeout(ctx, s.FaultyPhase)
	s.play(second, append(s.plannedEvents(), s.faults()...), 20)
	done()
	s.heal()
	cancel()
	wait.Wait()
}

// watchEnds finds processes that end by themselves.
func (s *soak) watchEnds(ctx context.Context) {
	seen := map[string]int{}
	for ctx.Err() == nil {
		for _, m := range s.site.all() {
			if boot := m.boot(); m.crashed() && m.busy.TryLock() {
				if m.crashed() && seen[m.name] != boot {
					seen[m.name] = boot
					s.recorder.find("%s has ended by itself; see %s", m.name, m.logFile())
				}
				m.busy.Unlock()
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// heal ends all faults.
func (s *soak) heal() {
	s.phase.Store(int32(quiet))
	for _, m := range s.site.all() {
		m.signal(syscall.SIGCONT)
		m.front.set(impairment{})
		if m.operators != nil {
			m.operators.set(impairment{})
		}
		if err := m.start(); err != nil {
			s.recorder.find("%s does not start: %v", m.name, err)
		}
	}
	for _, b := range s.site.backends.all() {
		b.set(sound)
		b.proxy.set(impairment{})
	}
	s.site.backends.setBroken(false)
}

// settle checks that the system recovers and has lost nothing.
func (s *soak) settle() {
	if missing := s.recovered(recoverTime); missing != "" {
		s.recorder.find("not recovered %v after the last fault: %s", recoverTime, missing)
	}
	floor := s.operator.floor()
	version, ok := s.operator.replace(ackTime)
	if !ok {
		s.recorder.find("no configuration acknowledged %v after the recovery", ackTime)
		return
	}
	if version < floor {
		s.recorder.find("version %d acknowledged after version %d", version, floor)
	}
	for _, g := range s.site.gates {
		if !within(applyTime, func() bool { return s.probe(g, func(c *caller) bool { return c.marker(version) }) }) {
			s.recorder.find("%s does not serve by version %d %v after it was acknowledged", g.name, version, applyTime)
		}
	}
	for _, m := range s.site.states {
		if got := s.operator.read(m); got != version {
			s.recorder.find("%s answers with version %d at the end, want %d", m.name, got, version)
		}
	}
	counts := s.recorder.report().Counts
	if most := float64(counts["requests"])*(1+retryRatio) + retrySlack; float64(counts["runs"]) > most {
		s.recorder.find("%d runs for %d requests; the budget for repeats allows %.0f", counts["runs"], counts["requests"], most)
	}
}

func within(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// probe connects to a gate and calls f.
func (s *soak) probe(g *member, f func(*caller) bool) bool {
	c := &caller{recorder: s.recorder, phase: &s.phase, name: fmt.Sprintf("p%d", time.Now().UnixNano())}
	defer c.close()
	return c.connect(g) && f(c)
}

// recovered waits until every gate serves every kind of request and every state
// process answers, and says what is missing after limit.
func (s *soak) recovered(limit time.Duration) string {
	var missing []string
	within(limit, func() bool {
		missing = nil
		for _, g := range s.site.gates {
			for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
				if !s.probe(g, func(c *caller) bool { return c.send(path) }) {
					missing = append(missing, g.name+" does not serve "+path)
				}
			}
		}
		for _, m := range s.site.states {
			if s.operator.read(m) == 0 {
				missing = append(missing, m.name+" does not answer operators")
			}
		}
		return len(missing) == 0
	})
	return strings.Join(missing, "; ")
}

// RemoveDir deletes the folder of a run that found nothing.
func (r Report) RemoveDir() error { return os.RemoveAll(r.Dir) }
