package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// recorder records what callers and backend servers have seen and finds what
// breaks a promise.
type recorder struct {
	mu     sync.Mutex
	runs   map[string][]run // by request id
	denied map[string]string
	found  []string
	counts map[string]int
	served map[string]int // highest configuration seen at work, by gate and boot
	start  time.Time
}

type run struct {
	backend string
	at      time.Time
}

// mostFindings bounds what is kept of a run that goes wrong.
const mostFindings = 40

func newRecorder() *recorder {
	return &recorder{
		runs: map[string][]run{}, denied: map[string]string{}, counts: map[string]int{},
		served: map[string]int{}, start: time.Now(),
	}
}

// find notes a broken promise.
func (b *recorder) find(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.findLocked(format, args...)
}

func (b *recorder) findLocked(format string, args ...any) {
	if len(b.found) < mostFindings {
		b.found = append(b.found, fmt.Sprintf("%7.3f s  ", time.Since(b.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (b *recorder) count(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[what]++
}

// once tells whether a request of the path may run once only.
func once(path string) bool { return strings.HasPrefix(path, "/once/") }

// ran notes that a backend server has begun to work on a request.
func (b *recorder) ran(id, path, backend string, late bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts["runs"]++
	list := append(b.runs[id], run{backend, time.Now()})
	b.runs[id] = list
	switch {
	case once(path) && len(list) > 1:
		b.findLocked("request %s ran twice, at %s and %s", id, list[0].backend, backend)
	case b.denied[id] != "" && once(path):
		b.findLocked("request %s ran at %s after the caller was told that it has not run (%s)", id, backend, b.denied[id])
	case id == "":
		b.findLocked("%s ran a request that no caller sent", backend)
	}
	if late {
		b.findLocked("request %s ran at %s, which has been leaving for over %v", id, backend, leftBy)
	}
}

// ranAt returns how often a request has run.
func (b *recorder) ranAt(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs[id])
}

// refused notes an answer that says that a request has not run.
func (b *recorder) refused(id, path, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts["refused"]++
	b.denied[id] = how
	if once(path) && len(b.runs[id]) > 0 {
		b.findLocked("request %s was refused (%s) but has run at %s", id, how, b.runs[id][0].backend)
	}
}

// worked notes that a gate has served a request by a configuration that only
// one version allows. sent is the highest version seen at that gate when the
// request was sent.
func (b *recorder) worked(gate string, version, sent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version < sent {
		b.findLocked("%s served by version %d after it had served by version %d", gate, version, sent)
	}
	b.served[gate] = max(b.served[gate], version)
}

func (b *recorder) newest(gate string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served[gate]
}

// Report is the outcome of a run.
type Report struct {
	Seed uint64
	// Findings are the broken promises, in order; empty if all were kept.
	Findings []string
	// Counts are requests by outcome, runs at backend servers, and faults.
	Counts map[string]int
	// Dir holds the logs of all processes.
	Dir string
}

func (b *recorder) report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Report{Findings: b.found, Counts: b.counts}
}
