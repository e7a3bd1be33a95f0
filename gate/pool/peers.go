package pool

import (
	"context"
	"errors"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// inUse is the share of comparable backend servers that ejection leaves in use.
const inUse = 0.7

// class is a group of attempts whose latencies can be compared.
type class struct {
	kind    string
	target  ident.Target
	service ident.Service
}

func (n Requirements) class() class {
	return class{kind: n.Kind.String(), target: n.Target, service: n.Service}
}

// compare fills in what comparison with peers tells of the candidates.
func (p *Pool) compare(now time.Time, need Requirements, list []policy.Candidate) {
	p.seen.Lock()
	defer p.seen.Unlock()
	peers := p.peers[need.class()]
	if peers == nil {
		return
	}
	for i := range list {
		list[i].Ejected = peers.IsEjected(now, list[i].Backend)
		list[i].Latency = peers.Latency(list[i].Backend)
	}
}

// observe notes how an attempt went. A cancelled attempt, for example the
// slower one of a hedge, counts with the time it had run, because it would
// have taken at least so long; without that a straggler would never be seen.
func (p *Pool) observe(a Attempt, took time.Duration, err error) {
	now := time.Now()
	p.seen.Lock()
	defer p.seen.Unlock()
	c := a.Requirements.class()
	peers := p.peers[c]
	if peers == nil {
		peers = policy.NewOutlierDetector(inUse)
		p.peers[c] = peers
	}
	if errors.Is(err, context.Canceled) {
		if took > peers.Latency(a.Backend) {
			peers.Observe(now, a.Backend, took, true)
		}
		return
	}
	peers.Observe(now, a.Backend, took, err == nil)
}

// forget drops a backend server that left from the comparison.
func (p *Pool) forget(id ident.Backend) {
	p.seen.Lock()
	defer p.seen.Unlock()
	for _, peers := range p.peers {
		peers.Remove(id)
	}
}
