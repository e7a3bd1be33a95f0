// Package plain is a stand-in for a plain service whose calls must not run
// twice. It counts every run and does not deduplicate calls, so that a test sees
// a second run.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Request headers that the service reads.
const (
	KeyHeader   = "Idempotency-Key"
	FenceHeader = "X-Fencing-Token"
)

const maxBodyBytes = 1 << 20

// Faults are switched by POST /faults.
type Faults struct {
	DropAfterRun  bool `json:"lose"`   // run the call, then drop the connection
	DropBeforeRun bool `json:"drop"`   // drop the connection without running the call
	DelayMillis   int  `json:"slow"`   // between the run and the answer
	ErrorStatus   int  `json:"error"`  // answer with this HTTP status without running the call
	LookupStatus  int  `json:"lookup"` // answer lookups with this HTTP status
}

// Runs is the body of GET /runs.
type Runs struct {
	CountByKey            map[string]int    `json:"keys"`     // by idempotency key
	CountByBusinessFields map[string]int    `json:"business"` // by business fields
	LastFenceByKey        map[string]string `json:"fences"`   // last fence by idempotency key
}

// Service is an http.Handler. Each POST is a run. GET /lookup/KEY and GET of
// any path that ends in /by-key/KEY answer 200 if the key ran, and 404 with
// {"ran": false} if not.
type Service struct {
	businessFields []string
	router         http.Handler

	mu      sync.Mutex
	faults  Faults
	runs    Runs
	answers map[string][]byte // answers by idempotency key
}

// New returns a service. businessFields are the fields of the JSON body that
// identify the business operation; runs are also counted by their values,
// whatever their keys.
func New(businessFields []string) *Service {
	s := &Service{
		businessFields: businessFields,
		runs:           Runs{CountByKey: map[string]int{}, CountByBusinessFields: map[string]int{}, LastFenceByKey: map[string]string{}},
		answers:        map[string][]byte{},
	}
	r := httprouter.New()
	r.HandlerFunc(http.MethodGet, "/lookup/:key", func(w http.ResponseWriter, r *http.Request) {
		s.lookup(w, httprouter.ParamsFromContext(r.Context()).ByName("key"))
	})
	r.HandlerFunc(http.MethodGet, "/runs", func(w http.ResponseWriter, _ *http.Request) { s.writeRuns(w) })
	r.HandlerFunc(http.MethodPost, "/faults", s.setFaults)
	r.NotFound = http.HandlerFunc(s.serveCall)
	s.router = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults switches the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCount returns how often a key ran.
func (s *Service) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.CountByKey[key]
}

func (s *Service) writeRuns(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.runs)
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "faults are not valid JSON", http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) lookup(w http.ResponseWriter, key string) {
	s.mu.Lock()
	answer, ok := s.answers[key]
	status := s.faults.LookupStatus
	s.mu.Unlock()
	if status != 0 {
		http.Error(w, "fault switched on", status)
		return
	}
	if !ok {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"ran": false}`))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if dir, key := path.Split(r.URL.Path); r.Method == http.MethodGet && strings.HasSuffix(dir, "/by-key/") {
		s.lookup(w, key)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the caller disconnected before it had sent the whole body
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.ErrorStatus != 0 {
		http.Error(w, "fault switched on", f.ErrorStatus)
		return
	}
	if f.DropBeforeRun {
		panic(http.ErrAbortHandler)
	}
	answer := s.recordRun(r, body)
	if f.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if f.DropAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (s *Service) recordRun(r *http.Request, body []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(KeyHeader)
	if r.Method != http.MethodGet {
		s.runs.CountByKey[key]++
		s.runs.LastFenceByKey[key] = r.Header.Get(FenceHeader)
		if b := s.businessKey(body); b != "" {
			s.runs.CountByBusinessFields[b]++
		}
	}
	answer, _ := json.Marshal(map[string]any{ // these types always marshal
		"path": r.URL.Path, "method": r.Method, "key": key, "run": s.runs.CountByKey[key],
	})
	if key != "" {
		s.answers[key] = answer
	}
	return answer
}

// businessKey returns the identifying fields of a body as NAME=VALUE,..., or ""
// if it has none.
func (s *Service) businessKey(body []byte) string {
	var fields map[string]any
	if json.Unmarshal(body, &fields) != nil {
		return ""
	}
	var parts []string
	for _, name := range s.businessFields {
		if v, ok := fields[name]; ok {
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}
	return strings.Join(parts, ",")
}
