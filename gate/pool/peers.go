package pool

import (
	"context"
	"errors"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// minInUseShare is the share of comparable backend servers that are never ejected.
const minInUseShare = 0.7

// comparisonClass is a group of attempts whose latencies can be compared.
type comparisonClass struct {
	kind    string
	target  ident.Target
	service ident.Service
}

func (n Requirements) class() comparisonClass {
	return comparisonClass{kind: n.Kind.String(), target: n.Target, service: n.Service}
}

// compareWithPeers sets the fields of the candidates that follow from the
// comparison with their peers: whether each is ejected, and its latency.
func (p *Pool) compareWithPeers(now time.Time, req Requirements, list []policy.Candidate) {
	p.detectorsMu.Lock()
	defer p.detectorsMu.Unlock()
	peers := p.detectors[req.class()]
	if peers == nil {
		return
	}
	for i := range list {
		list[i].Ejected = peers.IsEjected(now, list[i].Backend)
		list[i].Latency = peers.Latency(list[i].Backend)
	}
}

// observe records the latency and success of an attempt. A cancelled attempt,
// for example the slower one of a hedge, counts with the time that it ran, which
// is a lower bound of its latency; otherwise stragglers would never be detected.
func (p *Pool) observe(a Attempt, took time.Duration, err error) {
	now := time.Now()
	p.detectorsMu.Lock()
	defer p.detectorsMu.Unlock()
	c := a.Requirements.class()
	peers := p.detectors[c]
	if peers == nil {
		peers = policy.NewOutlierDetector(minInUseShare)
		p.detectors[c] = peers
	}
	if errors.Is(err, context.Canceled) {
		if took > peers.Latency(a.Backend) {
			peers.Observe(now, a.Backend, took, true)
		}
		return
	}
	peers.Observe(now, a.Backend, took, err == nil)
}

// removeFromDetectors removes a backend server that has left.
func (p *Pool) removeFromDetectors(id ident.Backend) {
	p.detectorsMu.Lock()
	defer p.detectorsMu.Unlock()
	for _, peers := range p.detectors {
		peers.Remove(id)
	}
}
