package pool

import (
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// serviceSlots is the number of calls at once for an instance of a plain
// service that does not report a number: unlike engines, services have none.
const serviceSlots = 64

// index is an immutable lookup of backend servers by what they serve.
type index struct {
	all      map[ident.Backend]*backend
	targets  map[ident.Target][]*backend
	services map[ident.Service][]*backend
}

func newIndex(list []*backend) *index {
	x := &index{
		all:      map[ident.Backend]*backend{},
		targets:  map[ident.Target][]*backend{},
		services: map[ident.Service][]*backend{},
	}
	for _, b := range list {
		x.all[b.id] = b
		b.mu.Lock()
		load := b.load
		b.mu.Unlock()
		if load == nil {
			continue
		}
		if name := ident.Service(load.GetService()); name != "" {
			x.services[name] = append(x.services[name], b)
		}
		for _, s := range load.GetServed() {
			t := ident.Target{Model: ident.Model(s.GetModel()), Version: ident.Version(s.GetVersion())}
			x.targets[t] = append(x.targets[t], b)
		}
	}
	return x
}

// Requirements says what an attempt runs on: a target, or a plain service.
type Requirements struct {
	Target  ident.Target
	Service ident.Service
	Kind    ident.Kind
	// AffinityHash is the hash of the session or prefix that the attempt belongs to;
	// 0 if it has none.
	AffinityHash uint64
}

// Candidates appends the backend servers that may take new work to list.
func (p *Pool) Candidates(now time.Time, need Requirements, list []policy.Candidate) []policy.Candidate {
	x := p.index.Load()
	from := x.targets[need.Target]
	if need.Service != "" {
		from = x.services[need.Service]
	}
	first := len(list)
	affine, top := -1, uint64(0)
	for _, b := range from {
		c, ok := b.candidate(now)
		if !ok {
			continue
		}
		c.SameZone = b.zone == p.zone
		if need.AffinityHash != 0 {
			if score := mix(need.AffinityHash, b.hash); affine < 0 || score > top {
				affine, top = len(list), score
			}
		}
		list = append(list, c)
	}
	if affine >= 0 {
		list[affine].HoldsPrefix = true
	}
	p.compare(now, need, list[first:])
	return list
}

func (b *backend) candidate(now time.Time) (policy.Candidate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fit(now) {
		return policy.Candidate{}, false
	}
	running := int(b.running.Load())
	slots := int(b.load.GetSlots())
	if slots == 0 && b.load.GetService() != "" {
		slots = serviceSlots
	}
	return policy.Candidate{
		Backend:      b.id,
		InFlight:     running,
		LongInFlight: int(b.long.Load()),
		ReportedLoad: running + b.foreign(),
		ReportAge:    now.Sub(b.heard) + time.Duration(b.load.GetAge())*time.Millisecond,
		Slots:        slots,
		Uptime:       now.Sub(b.since),
	}, true
}

// Slots returns how many requests the backend servers for a model or service
// can run for this gate: their slots less the load that other gates put on
// them, as far as the reports show it.
func (p *Pool) Slots(now time.Time, model ident.Model, service ident.Service) int {
	x := p.index.Load()
	seen := map[ident.Backend]bool{}
	total := 0
	add := func(list []*backend) {
		for _, b := range list {
			c, ok := b.candidate(now)
			if !ok || seen[b.id] {
				continue
			}
			seen[b.id] = true
			total += max(0, c.Slots-(c.ReportedLoad-c.InFlight))
		}
	}
	if service != "" {
		add(x.services[service])
		return total
	}
	for t, list := range x.targets {
		if t.Model == model {
			add(list)
		}
	}
	return total
}
