// Package engine is a stand-in for a model engine. It serves chat completions, a
// delayed load report and fenced orders, and its faults can be switched at run
// time.
package engine

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"citronledge.example/core/ident"
)

// Request headers that the engine reads.
const (
	RequestHeader  = "X-Request-Id"
	PriorityHeader = "X-Priority"
	ResumeHeader   = "X-Resume-Tokens"
)

// Settings describe one engine.
type Settings struct {
	Models          []ident.Target
	Slots           int           // requests that run at once; 0 means 8
	FirstTokenDelay time.Duration // time to the first token
	TokenInterval   time.Duration // time between tokens
	LoadReportAge   time.Duration // age of the load report
	Fencing         bool          // refuse an order whose fence is lower than one already seen
}

// Faults are switched by POST /faults; the zero value is a healthy engine.
type Faults struct {
	Slowdown         float64 `json:"slow"`  // factor on the delays of all tokens; 0 means 1
	BreakAfterTokens int     `json:"break"` // drop the connection after this many tokens
	Hang             bool    `json:"hang"`  // never answer a chat
	ErrorStatus      int     `json:"error"` // answer chats with this HTTP status
	BadAnswers       bool    `json:"bad"`   // put FlawMarker into answers, so that they are rated badly
}

// Order is the body of POST /orders.
type Order struct {
	Kind    string        `json:"kind"` // load, unload or role
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version"`
	Role    string        `json:"role,omitempty"`
	Fence   ident.Fence   `json:"fence"`
}

// LoadedTarget is a loaded model and version in a load report.
type LoadedTarget struct {
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version"`
}

// LoadReport is the body of GET /load.
type LoadReport struct {
	Running   int            `json:"running"`
	Queued    int            `json:"queued"`
	Slots     int            `json:"slots"`
	Models    []LoadedTarget `json:"models"`
	AgeMillis int64          `json:"age"`
}

type loadSample struct {
	at   time.Time
	load LoadReport
}

type waiter struct {
	priority int
	arrival  int // order of arrival
	ready    chan struct{}
}

// Engine is an http.Handler that serves the HTTP interface of a model engine.
type Engine struct {
	settings Settings
	router   http.Handler

	mu       sync.Mutex
	models   []ident.Target
	faults   Faults
	fence    ident.Fence
	running  int
	arrivals int // requests that had to wait so far
	waiting  []*waiter
	history  []loadSample
	runs     map[ident.Request]int
}

// New returns an engine that serves the models of its settings.
func New(settings Settings) *Engine {
	settings.Slots = cmp.Or(settings.Slots, 8)
	e := &Engine{settings: settings, models: slices.Clone(settings.Models), runs: map[ident.Request]int{}}
	e.recordLoad()
	r := httprouter.New()
	r.HandlerFunc(http.MethodPost, "/v1/chat/completions", e.chat)
	r.HandlerFunc(http.MethodGet, "/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.LoadReport()) })
	r.HandlerFunc(http.MethodPost, "/orders", e.applyOrder)
	r.HandlerFunc(http.MethodPost, "/faults", e.setFaults)
	r.HandlerFunc(http.MethodGet, "/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.RunsByRequest()) })
	e.router = r
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// RunsByRequest counts the chats that got a slot, by request id.
func (e *Engine) RunsByRequest() map[ident.Request]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := map[ident.Request]int{}
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// SetFaults switches the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// LoadReport returns the load as of Settings.LoadReportAge ago.
func (e *Engine) LoadReport() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := time.Now().Add(-e.settings.LoadReportAge)
	for len(e.history) > 1 && !e.history[1].at.After(old) {
		e.history = e.history[1:]
	}
	load := e.history[0].load
	load.AgeMillis = e.settings.LoadReportAge.Milliseconds()
	return load
}

// recordLoad appends the current load to the history. It must be called with mu
// held, or before e is shared.
func (e *Engine) recordLoad() {
	load := LoadReport{Running: e.running, Queued: len(e.waiting), Slots: e.settings.Slots, Models: []LoadedTarget{}}
	for _, t := range e.models {
		load.Models = append(load.Models, LoadedTarget{Model: t.Model, Version: t.Version})
	}
	e.history = append(e.history, loadSample{at: time.Now(), load: load})
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "faults are not valid JSON")
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) applyOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "order is not valid JSON")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.Fencing && o.Fence < e.fence {
		writeError(w, http.StatusConflict, "fence is older than one already seen")
		return
	}
	e.fence = max(e.fence, o.Fence)
	t := ident.Target{Model: o.Model, Version: o.Version}
	switch o.Kind {
	case "load":
		if !slices.Contains(e.models, t) {
			e.models = append(e.models, t)
		}
	case "unload":
		e.models = slices.DeleteFunc(e.models, func(m ident.Target) bool { return m == t })
	case "role":
	default:
		writeError(w, http.StatusBadRequest, "order kind must be load, unload or role")
		return
	}
	e.recordLoad()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": message}})
}
