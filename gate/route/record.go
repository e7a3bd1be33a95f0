package route

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// maxRecords bounds the decision records kept in memory.
const maxRecords = 10_000

// Record is the decision record of a request. It contains no text of the caller.
type Record struct {
	Request          ident.Request   `json:"request"`
	Customer         ident.Customer  `json:"customer"`
	Kind             string          `json:"kind"`
	Model            ident.Model     `json:"model,omitempty"`
	Route            ident.Route     `json:"route,omitempty"`
	Revision         ident.Revision  `json:"revision"`
	Start            time.Time       `json:"start"`
	Duration         time.Duration   `json:"took"`
	TimeToFirstToken time.Duration   `json:"first,omitempty"`
	VersionReason    policy.Reason   `json:"version,omitempty"` // why the version was chosen
	QueueWait        time.Duration   `json:"waited"`
	Attempts         []AttemptRecord `json:"steps,omitempty"`
	Notes            []string        `json:"notes,omitempty"`
	Outcome          string          `json:"outcome"`

	mu *sync.Mutex // guards Attempts and Notes while hedges run
}

// AttemptRecord describes one attempt and why its backend server was chosen.
type AttemptRecord struct {
	Number     ident.Attempt `json:"attempt"`
	Model      ident.Model   `json:"model,omitempty"`
	Version    ident.Version `json:"version,omitempty"`
	Backend    ident.Backend `json:"backend"`
	Candidates int           `json:"candidates"`
	Reason     policy.Reason `json:"reason"`
	Outcome    string        `json:"outcome"`
	Duration   time.Duration `json:"took"`

	start time.Time
}

func newRecord(req *Request, start time.Time) *Record {
	return &Record{
		Request: req.ID, Customer: req.Customer, Kind: req.Kind.String(),
		Model: req.Target.Model, Route: req.Route, Start: start, mu: new(sync.Mutex),
	}
}

func (r *Record) addAttempt(s AttemptRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts = append(r.Attempts, s)
}

func (r *Record) attemptCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.Attempts)
}

func (r *Record) setVersionReason(reason policy.Reason) { r.VersionReason = reason }

func (r *Record) addNote(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Notes = append(r.Notes, text)
}

func (r *Record) finish(x *execution, err error) {
	r.Duration = time.Since(r.Start)
	r.Outcome = outcome(err)
	r.Revision = x.r.state.View().Revision
	log := klog.V(1)
	if x.incomplete || (err != nil && len(r.Attempts) > 0) {
		log = klog.V(0) // failures are logged by default, but not refusals, which come in large numbers
	}
	if !log.Enabled() {
		return
	}
	last := AttemptRecord{}
	if n := len(r.Attempts); n > 0 {
		last = r.Attempts[n-1]
	}
	log.InfoS("Request finished", "request", r.Request, "customer", r.Customer, "model", last.Model,
		"version", last.Version, "backend", last.Backend, "reason", last.Reason, "attempts", len(r.Attempts), "outcome", r.Outcome)
}

// recordRing is a ring buffer of the newest records.
type recordRing struct {
	mu        sync.Mutex
	records   []*Record
	nextIndex int
	byID      map[ident.Request]*Record
}

func newRecordRing() *recordRing { return &recordRing{byID: map[ident.Request]*Record{}} }

func (g *recordRing) add(r *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.records) < maxRecords {
		g.records = append(g.records, r)
	} else {
		if old := g.records[g.nextIndex]; g.byID[old.Request] == old {
			delete(g.byID, old.Request)
		}
		g.records[g.nextIndex] = r
	}
	g.nextIndex = (g.nextIndex + 1) % maxRecords
	g.byID[r.Request] = r
}

func (g *recordRing) find(id ident.Request) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.byID[id]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

func (g *recordRing) recent(n int) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Record, 0, min(n, len(g.records)))
	for i := 1; i <= min(n, len(g.records)); i++ {
		list = append(list, *g.records[(g.nextIndex-i+maxRecords)%maxRecords])
	}
	return list
}
