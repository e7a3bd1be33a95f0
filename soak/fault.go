package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// event is a planned event or a fault; run returns when it is over.
type event struct {
	name string
	run  func(ctx context.Context, r *rand.Rand)
}

const (
	concurrentSeries = 3 // each runs one event after the other
	maxEventGap      = 900 * time.Millisecond
	maxFaultDuration = 3 * time.Second // of a fault that lasts a while; faultDuration adds 5 %
	// stopTolerance is how far a planned stop may exceed its limit before it
	// counts as a finding: the processes share the machine with the tests.
	stopTolerance = time.Second
	// leavingListedFor is how long the list shows a leaving server.
	leavingListedFor = 5 * time.Second
)

func (s *soak) plannedEvents() []event {
	return []event{
		{"stop gate", func(ctx context.Context, r *rand.Rand) { s.stopAndRestart(ctx, r, s.randomMember(s.site.gates, r)) }},
		{"stop state", func(ctx context.Context, r *rand.Rand) { s.stopAndRestart(ctx, r, s.randomMember(s.site.states, r)) }},
		{"reload", func(_ context.Context, r *rand.Rand) { s.randomMember(s.site.members(), r).signal(syscall.SIGHUP) }},
		{"replace server", s.replaceServer},
	}
}

func (s *soak) faults() []event {
	return []event{
		{"kill gate", func(ctx context.Context, r *rand.Rand) { s.killAndRestart(ctx, r, s.randomMember(s.site.gates, r)) }},
		{"kill state", func(ctx context.Context, r *rand.Rand) { s.killAndRestart(ctx, r, s.randomMember(s.site.states, r)) }},
		{"kill all states", func(ctx context.Context, r *rand.Rand) { s.killAndRestart(ctx, r, s.site.states...) }},
		{"kill all", func(ctx context.Context, r *rand.Rand) { s.killAndRestart(ctx, r, s.site.members()...) }},
		{"pause", func(ctx context.Context, r *rand.Rand) {
			m := s.randomMember(s.site.members(), r)
			m.signal(syscall.SIGSTOP)
			sleep(ctx, faultDuration(r))
			s.site.backends.recordResume()
			m.signal(syscall.SIGCONT)
		}},
		{"wipe state", s.loseDisk},
		{"tear state", s.tearLog},
		{"impair callers", func(ctx context.Context, r *rand.Rand) { impair(ctx, r, s.randomMember(s.site.gates, r).frontProxy) }},
		{"impair state", func(ctx context.Context, r *rand.Rand) { impair(ctx, r, s.randomMember(s.site.states, r).frontProxy) }},
		{"impair operators", func(ctx context.Context, r *rand.Rand) {
			impair(ctx, r, s.randomMember(s.site.states, r).operatorProxy)
		}},
		{"impair server", func(ctx context.Context, r *rand.Rand) { impair(ctx, r, s.randomBackend(r).proxy) }},
		{"server misbehaves", func(ctx context.Context, r *rand.Rand) {
			b := s.randomBackend(r)
			b.setBehavior(behavior(1 + r.IntN(int(behaviorCount)-1)))
			sleep(ctx, faultDuration(r))
			b.setBehavior(behaviorHealthy)
		}},
		{"list fails", func(ctx context.Context, r *rand.Rand) {
			s.site.backends.setListFailing(true)
			sleep(ctx, faultDuration(r))
			s.site.backends.setListFailing(false)
		}},
	}
}

// playEvents runs random events of the list in concurrent series until ctx ends,
// and returns when the last ones are over. stream selects the random numbers.
func (s *soak) playEvents(ctx context.Context, list []event, stream uint64) {
	var wait sync.WaitGroup
	for i := range concurrentSeries {
		r := s.newRand(stream + uint64(i))
		wait.Go(func() {
			for ctx.Err() == nil {
				e := list[r.IntN(len(list))]
				klog.V(1).InfoS("Event", "name", e.name)
				s.recorder.count(e.name)
				s.runEvent(ctx, r, e)
				sleep(ctx, time.Duration(r.Int64N(int64(maxEventGap))))
			}
		})
	}
	wait.Wait()
}

// undisturbing names the events that leave the state processes alone, and the
// network between the gates and them and the backend servers.
var undisturbing = map[string]bool{
	"stop gate": true, "reload": true, "replace server": true, "kill gate": true, "impair callers": true, "impair operators": true, "server misbehaves": true, "list fails": true,
}

func (s *soak) runEvent(ctx context.Context, r *rand.Rand, e event) {
	if !undisturbing[e.name] {
		defer s.site.backends.evacuations.disturb()()
	}
	e.run(ctx, r)
}

func faultDuration(r *rand.Rand) time.Duration {
	return maxFaultDuration/20 + time.Duration(r.Int64N(int64(maxFaultDuration)))
}

func (s *soak) randomMember(list []*member, r *rand.Rand) *member { return list[r.IntN(len(list))] }

func (s *soak) randomBackend(r *rand.Rand) *backend {
	list := s.site.backends.active()
	return list[r.IntN(len(list))]
}

// stopAndRestart makes a planned stop and a restart. It does nothing if the
// process is already being stopped or restarted.
func (s *soak) stopAndRestart(ctx context.Context, r *rand.Rand, m *member) {
	if !m.lifecycleMu.TryLock() {
		return
	}
	defer m.lifecycleMu.Unlock()
	onlyPlanned := phase(s.phase.Load()) == phasePlanned
	m.signal(syscall.SIGTERM)
	code, ok := m.awaitExit(stopTimeout + stopTolerance)
	onlyPlanned = onlyPlanned && phase(s.phase.Load()) == phasePlanned
	switch {
	case !ok && onlyPlanned:
		s.recorder.addFinding("%s still runs %v after SIGTERM", m.name, stopTimeout+stopTolerance)
	case code != 0 && onlyPlanned:
		s.recorder.addFinding("%s exited with code %d after SIGTERM", m.name, code)
	}
	m.kill()
	s.restart(ctx, r, m)
}

// restart starts a process after a short delay, as the platform does.
func (s *soak) restart(ctx context.Context, r *rand.Rand, m *member) {
	sleep(ctx, time.Duration(r.IntN(600))*time.Millisecond)
	if err := m.start(); err != nil {
		s.recorder.addFinding("%s does not start: %v", m.name, err)
	}
}

// killAndRestart kills processes at the same moment and restarts them, except
// those that are already being stopped or restarted.
func (s *soak) killAndRestart(ctx context.Context, r *rand.Rand, list ...*member) {
	var locked []*member
	for _, m := range list {
		if m.lifecycleMu.TryLock() {
			locked = append(locked, m)
		}
	}
	for _, m := range locked {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range locked {
		m.kill()
		s.restart(ctx, r, m)
		m.lifecycleMu.Unlock()
	}
}

// loseDisk removes the data of one state process, like the loss of its disk. The
// next disk may be lost only after all state processes are voters again.
func (s *soak) loseDisk(ctx context.Context, r *rand.Rand) {
	if !s.wipeMu.TryLock() {
		return
	}
	defer s.wipeMu.Unlock()
	m := s.randomMember(s.site.states, r)
	if !s.allVoters() || !m.lifecycleMu.TryLock() {
		return
	}
	defer m.lifecycleMu.Unlock()
	m.kill()
	if err := m.removeData(); err != nil {
		klog.ErrorS(err, "Data folder not removed", "process", m.name)
	}
	s.restart(ctx, r, m)
	for ctx.Err() == nil && !m.isVoter() {
		sleep(ctx, 100*time.Millisecond)
	}
}

// allVoters reports whether every state process has become a voter since its last
// start, so that one disk may be lost.
func (s *soak) allVoters() bool {
	for _, m := range s.site.states {
		if !m.isVoter() {
			return false
		}
	}
	return true
}

// isVoter reports whether a state process has logged since its last start that it
// is a voter.
func (m *member) isVoter() bool {
	text, err := os.ReadFile(m.logFile())
	if err != nil {
		return false
	}
	log := string(text)
	return strings.Contains(log[max(0, strings.LastIndex(log, "State process started")):], "Voter of the state cluster")
}

// tearLog kills a state process, leaves a torn write at the end of its log, and
// restarts it.
func (s *soak) tearLog(ctx context.Context, r *rand.Rand) {
	m := s.randomMember(s.site.states, r)
	if !m.lifecycleMu.TryLock() {
		return
	}
	defer m.lifecycleMu.Unlock()
	m.kill()
	if err := m.appendTornWrite(r); err != nil {
		klog.InfoS("Torn write skipped", "process", m.name, "err", err)
	}
	s.restart(ctx, r, m)
}

// replaceServer adds a backend server and shows another one as leaving.
func (s *soak) replaceServer(ctx context.Context, r *rand.Rand) {
	old := s.randomBackend(r)
	if err := s.site.backends.add(old.zone); err != nil {
		klog.ErrorS(err, "Backend server not started")
		return
	}
	sleep(ctx, time.Second) // until the gates have read the new list
	if len(s.site.backends.active()) > backendCount {
		s.site.backends.startLeaving(old, leavingListedFor)
	}
}

// impair applies a random impairment to the connections of a proxy for a while.
func impair(ctx context.Context, r *rand.Rand, p *proxy) {
	switch r.IntN(5) {
	case 0:
		p.setImpairment(impairment{delay: time.Duration(1+r.IntN(80)) * time.Millisecond})
	case 1:
		p.setImpairment(impairment{holdToTarget: true})
	case 2:
		p.setImpairment(impairment{holdFromTarget: true})
	case 3:
		p.setImpairment(impairment{holdToTarget: true, holdFromTarget: true})
	case 4:
		p.setImpairment(impairment{refuse: r.IntN(2) == 0})
		p.resetConns()
	}
	sleep(ctx, faultDuration(r))
	p.setImpairment(impairment{})
}
