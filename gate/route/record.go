package route

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// ringSize is how many decision records are kept.
const ringSize = 10_000

// Record tells how a request was decided. It holds no text of the caller.
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

	mu *sync.Mutex // guards Steps and Notes while hedges run
}

// AttemptRecord is one attempt with the reason of the choice.
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

func (r *Record) step(s AttemptRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts = append(r.Attempts, s)
}

func (r *Record) attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.Attempts)
}

func (r *Record) version(reason policy.Reason) { r.VersionReason = reason }

func (r *Record) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Notes = append(r.Notes, text)
}

func (r *Record) finish(x *run, err error) {
	r.Duration = time.Since(r.Start)
	r.Outcome = outcome(err)
	r.Revision = x.r.state.View().Revision
	log := klog.V(1)
	if x.broken || (err != nil && len(r.Attempts) > 0) {
		log = klog.V(0) // failures are logged by default; refusals come in floods
	}
	if !log.Enabled() {
		return
	}
	last := AttemptRecord{}
	if n := len(r.Attempts); n > 0 {
		last = r.Attempts[n-1]
	}
	log.InfoS("Request decided", "request", r.Request, "customer", r.Customer, "model", last.Model,
		"version", last.Version, "backend", last.Backend, "reason", last.Reason, "attempts", len(r.Attempts), "outcome", r.Outcome)
}

// ring keeps the newest records.
type ring struct {
	mu   sync.Mutex
	list []*Record
	next int
	byID map[ident.Request]*Record
}

func newRing() *ring { return &ring{byID: map[ident.Request]*Record{}} }

func (g *ring) add(r *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.list) < ringSize {
		g.list = append(g.list, r)
	} else {
		if old := g.list[g.next]; g.byID[old.Request] == old {
			delete(g.byID, old.Request)
		}
		g.list[g.next] = r
	}
	g.next = (g.next + 1) % ringSize
	g.byID[r.Request] = r
}

func (g *ring) find(id ident.Request) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.byID[id]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

func (g *ring) recent(n int) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Record, 0, min(n, len(g.list)))
	for i := 1; i <= min(n, len(g.list)); i++ {
		list = append(list, *g.list[(g.next-i+ringSize)%ringSize])
	}
	return list
}
