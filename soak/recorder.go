package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// recorder records what callers and backend servers have seen, and what of it
// breaks a promise of the platform.
type recorder struct {
	mu           sync.Mutex
	runs         map[string][]run  // by request id
	refusals     map[string]string // refusals that say "not run", by request id
	findings     []string
	counts       map[string]int
	newestByBoot map[string]int // newest configuration version in use, by gate and start number
	start        time.Time
}

type run struct {
	backend string
	at      time.Time
}

// maxFindings bounds the findings that a failed run reports.
const maxFindings = 40

func newRecorder() *recorder {
	return &recorder{
		runs: map[string][]run{}, refusals: map[string]string{}, counts: map[string]int{},
		newestByBoot: map[string]int{}, start: time.Now(),
	}
}

// addFinding records a broken promise.
func (r *recorder) addFinding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addFindingLocked(format, args...)
}

func (r *recorder) addFindingLocked(format string, args ...any) {
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, fmt.Sprintf("%7.3f s  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (r *recorder) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// runsAtMostOnce reports whether a request for the path must run at most once.
func runsAtMostOnce(path string) bool { return strings.HasPrefix(path, "/once/") }

// recordRun records that a backend server runs a request. pastLeaveGrace tells
// that the server must not get new requests any more.
func (r *recorder) recordRun(id, path, backend string, pastLeaveGrace bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["runs"]++
	list := append(r.runs[id], run{backend, time.Now()})
	r.runs[id] = list
	switch {
	case runsAtMostOnce(path) && len(list) > 1:
		r.addFindingLocked("request %s ran twice, at %s and %s", id, list[0].backend, backend)
	case r.refusals[id] != "" && runsAtMostOnce(path):
		r.addFindingLocked("request %s ran at %s after the caller was told that it has not run (%s)", id, backend, r.refusals[id])
	case id == "":
		r.addFindingLocked("%s ran a request that no caller sent", backend)
	}
	if pastLeaveGrace {
		r.addFindingLocked("request %s ran at %s, which has been leaving for over %v", id, backend, leaveGrace)
	}
}

// recordArrival records that a request reaches a backend server, whether or not
// the server runs it. tooLate tells that the server's zone has been evacuated for
// too long to get new requests.
func (r *recorder) recordArrival(id, backend, zone string, tooLate bool) {
	if tooLate {
		r.addFinding("request %s reached %s in zone %s later than %v after the confirmation of its evacuation", id, backend, zone, evacuationGrace)
	}
}

// runCount returns how many times a request has run.
func (r *recorder) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[id])
}

// recordRefusal records a refusal, which says that the request has not run.
func (r *recorder) recordRefusal(id, path, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["refused"]++
	r.refusals[id] = how
	if runsAtMostOnce(path) && len(r.runs[id]) > 0 {
		r.addFindingLocked("request %s was refused (%s) but has run at %s", id, how, r.runs[id][0].backend)
	}
}

// recordServed records that a gate has served a request that only one version
// of the configuration allows. newestBefore is the newest version that the gate
// was known to use when the request was sent; a gate must not go back to an
// older one.
func (r *recorder) recordServed(gate string, version, newestBefore int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < newestBefore {
		r.addFindingLocked("%s served by version %d after it had served by version %d", gate, version, newestBefore)
	}
	r.newestByBoot[gate] = max(r.newestByBoot[gate], version)
}

func (r *recorder) newestServed(gate string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestByBoot[gate]
}

// Report is the outcome of a run.
type Report struct {
	Seed uint64
	// Findings are the broken promises in order, at most maxFindings; empty if
	// all were kept.
	Findings []string
	// Counts are the numbers of requests by outcome, of runs at backend servers,
	// and of events by name.
	Counts map[string]int
	// Dir holds the logs of all processes.
	Dir string
}

func (r *recorder) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Report{Findings: r.findings, Counts: r.counts}
}
