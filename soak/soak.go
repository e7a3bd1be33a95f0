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

// Config holds the settings of a run.
type Config struct {
	// BinDir is the folder with the programs gate and state.
	BinDir string
	// Dir is an empty folder for settings, data and logs.
	Dir  string
	Seed uint64
	// PlannedPhase and FaultyPhase are the lengths of the two phases.
	PlannedPhase, FaultyPhase time.Duration
}

const (
	// startTimeout bounds the time from the start of all processes until the
	// first configuration is acknowledged, and then until every gate serves.
	startTimeout = 10 * time.Second
	// recoverTimeout is how long after the end of all faults the system may
	// take to serve everything again.
	recoverTimeout = 12 * time.Second
	// ackTimeout bounds the time until a new configuration is acknowledged, and
	// applyTimeout the time from then until it is in force at a gate.
	ackTimeout   = 4 * time.Second
	applyTimeout = 2 * time.Second
)

// soak is one run.
type soak struct {
	Config
	recorder *recorder
	site     *site
	operator *operator
	phase    atomic.Int32
	wipeMu   sync.Mutex // held from the loss of a disk until its process is a voter again
}

// newRand returns the random number generator of one part of a run.
func (s *soak) newRand(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, part)) }

// Run runs one seed. The error tells that the run could not be made; broken
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
	lb := newLoadBalancer(s.site.gates)
	balancing, cancel := context.WithCancel(ctx)
	defer cancel()
	go lb.run(balancing)
	if _, ok := s.operator.replaceUntilAcked(startTimeout); !ok {
		return Report{}, eris.New("the first configuration was not acknowledged; see the logs of the state processes in " + cfg.Dir)
	}
	if missing := s.awaitRecovery(startTimeout); missing != "" {
		return Report{}, eris.New("the site did not become ready: " + missing)
	}
	s.runPhases(ctx, lb)
	s.checkRecovery()
	r := s.recorder.report()
	r.Seed, r.Dir = cfg.Seed, cfg.Dir
	return r, nil
}

// runPhases runs both phases under load.
func (s *soak) runPhases(ctx context.Context, lb *loadBalancer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { s.runCallers(ctx, lb) })
	wait.Go(func() { s.operator.run(ctx, s.newRand(1)) })
	wait.Go(func() { s.operator.pollVersions(ctx, s.newRand(2)) })
	wait.Go(func() { s.runEvacuations(ctx, s.newRand(3)) })
	wait.Go(func() { s.watchCrashes(ctx) })

	first, done := context.WithTimeout(ctx, s.PlannedPhase)
	s.playEvents(first, s.plannedEvents(), 10)
	done()
	s.phase.Store(int32(phaseFaulty))
	second, done := context.WithTimeout(ctx, s.FaultyPhase)
	s.playEvents(second, append(s.plannedEvents(), s.faults()...), 20)
	done()
	s.endFaults()
	cancel()
	wait.Wait()
}

// watchCrashes records processes that exit by themselves.
func (s *soak) watchCrashes(ctx context.Context) {
	seen := map[string]int{}
	for ctx.Err() == nil {
		for _, m := range s.site.members() {
			if boot := m.boot(); m.crashed() && m.lifecycleMu.TryLock() {
				if m.crashed() && seen[m.name] != boot {
					seen[m.name] = boot
					s.recorder.addFinding("%s exited by itself; see %s", m.name, m.logFile())
				}
				m.lifecycleMu.Unlock()
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// endFaults ends all faults.
func (s *soak) endFaults() {
	s.phase.Store(int32(phaseRecovery))
	for _, m := range s.site.members() {
		m.signal(syscall.SIGCONT)
		m.frontProxy.setImpairment(impairment{})
		if m.operatorProxy != nil {
			m.operatorProxy.setImpairment(impairment{})
		}
		if err := m.start(); err != nil {
			s.recorder.addFinding("%s does not start: %v", m.name, err)
		}
	}
	for _, b := range s.site.backends.active() {
		b.setBehavior(behaviorHealthy)
		b.proxy.setImpairment(impairment{})
	}
	s.site.backends.setListFailing(false)
}

// checkRecovery checks that the system recovers, has lost no acknowledged
// configuration and has kept to the retry budget.
func (s *soak) checkRecovery() {
	if missing := s.awaitRecovery(recoverTimeout); missing != "" {
		s.recorder.addFinding("not recovered %v after the last fault: %s", recoverTimeout, missing)
	}
	s.finishEvacuations()
	s.checkEvacuation(zones[0])
	acked := s.operator.newestAcked()
	version, ok := s.operator.replaceUntilAcked(ackTimeout)
	if !ok {
		s.recorder.addFinding("no configuration acknowledged %v after the recovery", ackTimeout)
		return
	}
	if version < acked {
		s.recorder.addFinding("version %d acknowledged after version %d", version, acked)
	}
	for _, g := range s.site.gates {
		if !eventually(applyTimeout, func() bool { return s.withCaller(g, func(c *caller) bool { return c.sendMarker(version) }) }) {
			s.recorder.addFinding("%s does not serve by version %d %v after it was acknowledged", g.name, version, applyTimeout)
		}
	}
	for _, m := range s.site.states {
		if got := s.operator.readVersion(m); got != version {
			s.recorder.addFinding("%s answers with version %d at the end, want %d", m.name, got, version)
		}
	}
	counts := s.recorder.report().Counts
	if maxRuns := float64(counts["requests"])*(1+retryBudgetRatio) + retryBudgetSlack; float64(counts["runs"]) > maxRuns {
		s.recorder.addFinding("%d runs for %d requests; the retry budget allows %.0f", counts["runs"], counts["requests"], maxRuns)
	}
}

func eventually(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// withCaller connects a new caller to a gate and calls f with it. It returns
// false if the gate does not accept the connection.
func (s *soak) withCaller(g *member, f func(*caller) bool) bool {
	c := &caller{recorder: s.recorder, phase: &s.phase, name: fmt.Sprintf("p%d", time.Now().UnixNano())}
	defer c.close()
	return c.connect(g) && f(c)
}

// awaitRecovery waits until every gate serves every kind of request and every
// state process answers operators. It returns what is still missing after
// limit, or "".
func (s *soak) awaitRecovery(limit time.Duration) string {
	var missing []string
	eventually(limit, func() bool {
		missing = nil
		for _, g := range s.site.gates {
			for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
				if !s.withCaller(g, func(c *caller) bool { return c.send(path) }) {
					missing = append(missing, g.name+" does not serve "+path)
				}
			}
		}
		for _, m := range s.site.states {
			if s.operator.readVersion(m) == 0 {
				missing = append(missing, m.name+" does not answer operators")
			}
		}
		return len(missing) == 0
	})
	return strings.Join(missing, "; ")
}

// RemoveDir deletes the folder of the run, for a run without findings.
func (r Report) RemoveDir() error { return os.RemoveAll(r.Dir) }
