package pool

import (
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// defaultServiceSlots is the number of concurrent calls to an instance of a
// plain service that reports no slots: unlike engines, services have no slots.
const defaultServiceSlots = 64

// index is an immutable lookup of backend servers by what they serve.
type index struct {
	byID      map[ident.Backend]*backend
	byTarget  map[ident.Target][]*backend
	byService map[ident.Service][]*backend
}

func newIndex(list []*backend) *index {
	x := &index{
		byID:      map[ident.Backend]*backend{},
		byTarget:  map[ident.Target][]*backend{},
		byService: map[ident.Service][]*backend{},
	}
	for _, b := range list {
		x.byID[b.id] = b
		b.mu.Lock()
		load := b.load
		b.mu.Unlock()
		if load == nil {
			continue
		}
		if name := ident.Service(load.GetService()); name != "" {
			x.byService[name] = append(x.byService[name], b)
		}
		for _, s := range load.GetServed() {
			t := ident.Target{Model: ident.Model(s.GetModel()), Version: ident.Version(s.GetVersion())}
			x.byTarget[t] = append(x.byTarget[t], b)
		}
	}
	return x
}

// Requirements describe where an attempt may run: on a target or on a plain
// service.
type Requirements struct {
	Target  ident.Target
	Service ident.Service
	Kind    ident.Kind
	// AffinityHash is the hash of the attempt's session or prefix; 0 if it has
	// none.
	AffinityHash uint64
}

// Candidates appends the backend servers that may get new work to list.
func (p *Pool) Candidates(now time.Time, req Requirements, list []policy.Candidate) []policy.Candidate {
	x := p.index.Load()
	servers := x.byTarget[req.Target]
	if req.Service != "" {
		servers = x.byService[req.Service]
	}
	start := len(list)
	preferred, topScore := -1, uint64(0)
	for _, b := range servers {
		c, ok := b.candidate(now)
		if !ok {
			continue
		}
		c.SameZone = b.zone == p.zone
		if req.AffinityHash != 0 {
			if score := mixHashes(req.AffinityHash, b.hash); preferred < 0 || score > topScore {
				preferred, topScore = len(list), score
			}
		}
		list = append(list, c)
	}
	if preferred >= 0 {
		list[preferred].HoldsPrefix = true
	}
	p.compareWithPeers(now, req, list[start:])
	return list
}

func (b *backend) candidate(now time.Time) (policy.Candidate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isUsableLocked(now) {
		return policy.Candidate{}, false
	}
	running := int(b.running.Load())
	slots := int(b.load.GetSlots())
	if slots == 0 && b.load.GetService() != "" {
		slots = defaultServiceSlots
	}
	return policy.Candidate{
		Backend:      b.id,
		InFlight:     running,
		LongInFlight: int(b.longRunning.Load()),
		ReportedLoad: running + b.foreignLoad(),
		ReportAge:    now.Sub(b.reportedAt) + time.Duration(b.load.GetAge())*time.Millisecond,
		Slots:        slots,
		Uptime:       now.Sub(b.healthySince),
	}, true
}

// Slots returns how many requests the backend servers of a model or service can
// run for this gate: their slots less the load from other gates, as far as the
// load reports show it.
func (p *Pool) Slots(now time.Time, model ident.Model, service ident.Service) int {
	x := p.index.Load()
	counted := map[ident.Backend]bool{}
	total := 0
	add := func(list []*backend) {
		for _, b := range list {
			c, ok := b.candidate(now)
			if !ok || counted[b.id] {
				continue
			}
			counted[b.id] = true
			total += max(0, c.Slots-(c.ReportedLoad-c.InFlight))
		}
	}
	if service != "" {
		add(x.byService[service])
		return total
	}
	for t, list := range x.byTarget {
		if t.Model == model {
			add(list)
		}
	}
	return total
}
