package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"citronledge.example/stub/users"
)

// zones are the availability zones of the backend servers; the first one is that of
// all gates, which prefer its servers. At most one zone is evacuated at a time.
var zones = []string{"a", "b"}

const (
	// evacuationGrace is how long requests may reach the servers of a zone after the
	// confirmation of its evacuation. Time in which the state processes or the
	// network to them and to the servers are disturbed does not count.
	evacuationGrace = 5 * time.Second
	// minEvacuation and maxEvacuation bound the length of the operator's
	// evacuations.
	minEvacuation = time.Second
	maxEvacuation = 9 * time.Second
	// callsPerGate is the number of requests by which the check at the end looks for
	// servers of the evacuated zone.
	callsPerGate = 20
)

// evacuations records which zone is evacuated, and for how long without a
// disturbance.
type evacuations struct {
	mu             sync.Mutex
	zone           string // empty without a confirmed evacuation
	confirmedAt    time.Time
	disturbed      time.Duration // since confirmedAt, without the current disturbance
	disturbances   int           // in progress
	disturbedSince time.Time     // zero without one
	resumedAt      time.Time     // when a process last resumed after a pause
	arrivals       map[string]int
}

// confirm records the confirmation of an evacuation.
func (e *evacuations) confirm(zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zone, e.confirmedAt, e.disturbed = zone, time.Now(), 0
	if e.disturbances > 0 {
		e.disturbedSince = e.confirmedAt
	}
}

// end records that the evacuation may end from now on.
func (e *evacuations) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zone = ""
}

// disturb begins a disturbance and returns the function that ends it.
func (e *evacuations) disturb() (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.disturbances++; e.disturbances == 1 {
		e.disturbedSince = time.Now()
	}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.disturbances--; e.disturbances == 0 {
			e.disturbed += time.Since(e.disturbedSince)
			e.disturbedSince = time.Time{}
		}
	}
}

func (e *evacuations) recordResume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumedAt = time.Now()
}

// arrive records that a request reaches a server of a zone, and reports whether the
// zone had to be free of new requests.
func (e *evacuations) arrive(zone string) (tooLate bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.arrivals == nil {
		e.arrivals = map[string]int{}
	}
	e.arrivals[zone]++
	if e.zone != zone {
		return false
	}
	undisturbed := time.Since(e.confirmedAt) - e.disturbed
	if !e.disturbedSince.IsZero() {
		undisturbed -= time.Since(e.disturbedSince)
	}
	return undisturbed > evacuationGrace && time.Since(e.resumedAt) > resumeGrace
}

// arrivalCount returns how many requests have reached servers of a zone.
func (e *evacuations) arrivalCount(zone string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals[zone]
}

// commandUntilAcked sends a call without a body to one state process after the
// other until it is acknowledged, and reports whether it was before ctx ended.
func (o *operator) commandUntilAcked(ctx context.Context, path string) bool {
	for i := 0; ctx.Err() == nil; i++ {
		status, text := o.call(o.states[i%len(o.states)], http.MethodPost, path, "")
		switch {
		case status == http.StatusOK:
			return true
		case status >= 400 && status < 500:
			o.recorder.addFinding("%s was refused with %d: %s", path, status, text)
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// runEvacuations evacuates one zone after the other until ctx ends.
func (s *soak) runEvacuations(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		zone, length := zones[r.IntN(len(zones))], minEvacuation+time.Duration(r.Int64N(int64(maxEvacuation-minEvacuation)))
		if s.operator.commandUntilAcked(ctx, users.BeginEvacuationPath(zone)) {
			s.recorder.count("evacuations")
			s.site.backends.evacuations.confirm(zone)
			sleep(ctx, length)
		}
		s.site.backends.evacuations.end()
		if s.operator.commandUntilAcked(ctx, users.FinishEvacuationPath(zone)) {
			sleep(ctx, time.Duration(r.Int64N(int64(time.Second))))
		}
	}
}

// finishEvacuations ends all evacuations after the last fault.
func (s *soak) finishEvacuations() {
	ctx, cancel := context.WithTimeout(context.Background(), recoverTimeout)
	defer cancel()
	s.site.backends.evacuations.end()
	for _, zone := range zones {
		if !s.operator.commandUntilAcked(ctx, users.FinishEvacuationPath(zone)) {
			s.recorder.addFinding("the end of the evacuation of zone %s was not acknowledged %v after the last fault", zone, recoverTimeout)
		}
	}
}

// checkEvacuation checks, without other faults, that a confirmed evacuation holds
// at all gates, also after all processes were killed at once, and that its end
// brings the zone back. The zone must be that of the gates: without load they send
// nothing to another one.
func (s *soak) checkEvacuation(zone string) {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	if !s.operator.commandUntilAcked(ctx, users.BeginEvacuationPath(zone)) {
		s.recorder.addFinding("the evacuation of zone %s was not acknowledged %v after the recovery", zone, ackTimeout)
		return
	}
	sleep(context.Background(), applyTimeout) // as for configurations
	before := s.site.backends.evacuations.arrivalCount(zone)
	s.callAllGates()
	for _, m := range s.site.members() {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.site.members() {
		m.kill()
		if err := m.start(); err != nil {
			s.recorder.addFinding("%s does not start: %v", m.name, err)
		}
	}
	if missing := s.awaitRecovery(recoverTimeout); missing != "" {
		s.recorder.addFinding("not recovered %v after a kill of all processes with zone %s evacuated: %s", recoverTimeout, zone, missing)
	}
	s.callAllGates()
	if n := s.site.backends.evacuations.arrivalCount(zone) - before; n > 0 {
		s.recorder.addFinding("%d requests reached zone %s over %v after the confirmation of its evacuation", n, zone, applyTimeout)
	}
	s.finishEvacuations()
	back := eventually(applyTimeout+recoverTimeout, func() bool {
		s.callAllGates()
		return s.site.backends.evacuations.arrivalCount(zone) > before
	})
	if !back {
		s.recorder.addFinding("no request reached zone %s %v after the end of its evacuation", zone, applyTimeout+recoverTimeout)
	}
}

// callAllGates sends some requests to each gate.
func (s *soak) callAllGates() {
	for _, g := range s.site.gates {
		s.withCaller(g, func(c *caller) bool {
			ok := true
			for i := 0; ok && i < callsPerGate; i++ {
				ok = c.send([]string{"/once/x", "/safe/x"}[i%2])
			}
			return ok
		})
	}
}
