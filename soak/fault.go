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

// event is one planned event or fault. It returns when it is over.
type event struct {
	name string
	run  func(ctx context.Context, r *rand.Rand)
}

const (
	series     = 3 // of events that go on at the same time
	longestGap = 900 * time.Millisecond
	longest    = 3 * time.Second // of a fault that ends by itself
	// stopSlack is added to the time of a planned stop before it counts as
	// missed: the processes share the machine with the tests.
	stopSlack = time.Second
	// listedFor is how long a leaving server stays in the list.
	listedFor = 5 * time.Second
)

func (s *soak) plannedEvents() []event {
	return []event{
		{"stop gate", func(ctx context.Context, r *rand.Rand) { s.stop(ctx, r, s.one(s.site.gates, r)) }},
		{"stop state", func(ctx context.Context, r *rand.Rand) { s.stop(ctx, r, s.one(s.site.states, r)) }},
		{"reload", func(_ context.Context, r *rand.Rand) { s.one(s.site.all(), r).signal(syscall.SIGHUP) }},
		{"replace server", s.replaceServer},
	}
}

func (s *soak) faults() []event {
	return []event{
		{"kill gate", func(ctx context.Context, r *rand.Rand) { s.kill(ctx, r, s.one(s.site.gates, r)) }},
		{"kill state", func(ctx context.Context, r *rand.Rand) { s.kill(ctx, r, s.one(s.site.states, r)) }},
		{"kill all states", func(ctx context.Context, r *rand.Rand) { s.kill(ctx, r, s.site.states...) }},
		{"kill all", func(ctx context.Context, r *rand.Rand) { s.kill(ctx, r, s.site.all()...) }},
		{"pause", func(ctx context.Context, r *rand.Rand) {
			m := s.one(s.site.all(), r)
			m.signal(syscall.SIGSTOP)
			sleep(ctx, length(r))
			s.site.backends.resume()
			m.signal(syscall.SIGCONT)
		}},
		{"wipe state", s.wipe},
		{"tear state", s.tear},
		{"impair callers", func(ctx context.Context, r *rand.Rand) { impair(ctx, r, s.one(s.site.gates, r).front) }},
		{"impair state", func(ctx context.Context, r *rand.Rand) { impair(ctx, r, s.one(s.site.states, r).front) }},
		{"impair operators", func(ctx context.Context, r *rand.Rand) { impair(ctx, r, s.one(s.site.states, r).operators) }},
		{"impair server", func(ctx context.Context, r *rand.Rand) { impair(ctx, r, s.server(r).proxy) }},
		{"server misbehaves", func(ctx context.Context, r *rand.Rand) {
			b := s.server(r)
			b.set(manner(1 + r.IntN(int(manners)-1)))
			sleep(ctx, length(r))
			b.set(sound)
		}},
		{"list fails", func(ctx context.Context, r *rand.Rand) {
			s.site.backends.setBroken(true)
			sleep(ctx, length(r))
			s.site.backends.setBroken(false)
		}},
	}
}

// play runs events of the list in overlapping series until ctx ends and the
// last ones are over.
func (s *soak) play(ctx context.Context, list []event, stream uint64) {
	var wait sync.WaitGroup
	for i := range series {
		r := s.source(stream + uint64(i))
		wait.Go(func() {
			for ctx.Err() == nil {
				e := list[r.IntN(len(list))]
				klog.V(1).InfoS("Event", "name", e.name)
				s.recorder.count(e.name)
				e.run(ctx, r)
				sleep(ctx, time.Duration(r.Int64N(int64(longestGap))))
			}
		})
	}
	wait.Wait()
}

func length(r *rand.Rand) time.Duration { return longest/20 + time.Duration(r.Int64N(int64(longest))) }

func (s *soak) one(list []*member, r *rand.Rand) *member { return list[r.IntN(len(list))] }

func (s *soak) server(r *rand.Rand) *backend {
	list := s.site.backends.all()
	return list[r.IntN(len(list))]
}

// stop is a planned stop and start, unless one of the process goes on.
func (s *soak) stop(ctx context.Context, r *rand.Rand, m *member) {
	if !m.busy.TryLock() {
		return
	}
	defer m.busy.Unlock()
	calm := phase(s.phase.Load()) == planned
	m.signal(syscall.SIGTERM)
	code, ok := m.await(stopTime + stopSlack)
	calm = calm && phase(s.phase.Load()) == planned
	switch {
	case !ok && calm:
		s.recorder.find("%s runs %v after SIGTERM", m.name, stopTime+stopSlack)
	case code != 0 && calm:
		s.recorder.find("%s ended with code %d after SIGTERM", m.name, code)
	}
	m.kill()
	s.restart(ctx, r, m)
}

// restart starts a process after the platform's short delay.
func (s *soak) restart(ctx context.Context, r *rand.Rand, m *member) {
	sleep(ctx, time.Duration(r.IntN(600))*time.Millisecond)
	if err := m.start(); err != nil {
		s.recorder.find("%s does not start: %v", m.name, err)
	}
}

// kill ends processes at the same moment and starts them again.
func (s *soak) kill(ctx context.Context, r *rand.Rand, list ...*member) {
	var mine []*member
	for _, m := range list {
		if m.busy.TryLock() {
			mine = append(mine, m)
		}
	}
	for _, m := range mine {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range mine {
		m.kill()
		s.restart(ctx, r, m)
		m.busy.Unlock()
	}
}

// wipe loses the disk of one state process. The next disk may be lost only
// after the others have made up for this one.
func (s *soak) wipe(ctx context.Context, r *rand.Rand) {
	if !s.wiping.TryLock() {
		return
	}
	defer s.wiping.Unlock()
	m := s.one(s.site.states, r)
	if !s.voters() || !m.busy.TryLock() {
		return
	}
	defer m.busy.Unlock()
	m.kill()
	if err := m.wipe(); err != nil {
		klog.ErrorS(err, "Data folder not removed", "process", m.name)
	}
	s.restart(ctx, r, m)
	for ctx.Err() == nil && !m.votes() {
		sleep(ctx, 100*time.Millisecond)
	}
}

// voters tells whether each state process has had a vote since its last start,
// so that one disk may be lost.
func (s *soak) voters() bool {
	for _, m := range s.site.states {
		if !m.votes() {
			return false
		}
	}
	return true
}

// votes tells whether the log of a state process says that it has a vote since
// its last start.
func (m *member) votes() bool {
	text, err := os.ReadFile(m.logFile())
	if err != nil {
		return false
	}
	log := string(text)
	return strings.Contains(log[max(0, strings.LastIndex(log, "State process started")):], "Voter of the state cluster")
}

// tear leaves a torn write at the end of the log of a killed state process.
func (s *soak) tear(ctx context.Context, r *rand.Rand) {
	m := s.one(s.site.states, r)
	if !m.busy.TryLock() {
		return
	}
	defer m.busy.Unlock()
	m.kill()
	if err := m.tear(r); err != nil {
		klog.InfoS("No torn write", "process", m.name, "err", err)
	}
	s.restart(ctx, r, m)
}

// replaceServer adds a backend server and has another one leave.
func (s *soak) replaceServer(ctx context.Context, r *rand.Rand) {
	old := s.server(r)
	if err := s.site.backends.add(); err != nil {
		klog.ErrorS(err, "Backend server not started")
		return
	}
	sleep(ctx, time.Second) // the gates learn of the new one
	if len(s.site.backends.all()) > servers {
		s.site.backends.leave(old, listedFor)
	}
}

// impair does something to the connections of a proxy for a while.
func impair(ctx context.Context, r *rand.Rand, p *proxy) {
	switch r.IntN(5) {
	case 0:
		p.set(impairment{delay: time.Duration(1+r.IntN(80)) * time.Millisecond})
	case 1:
		p.set(impairment{hold: true})
	case 2:
		p.set(impairment{holdBack: true})
	case 3:
		p.set(impairment{hold: true, holdBack: true})
	case 4:
		p.set(impairment{refuse: r.IntN(2) == 0})
		p.reset()
	}
	sleep(ctx, length(r))
	p.set(impairment{})
}
