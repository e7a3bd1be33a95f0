package policy

import (
	"slices"
	"time"

	"citronledge.example/core/ident"
)

const (
	// peerGain is the weight of a new latency or outcome in the moving mean.
	peerGain = 0.4
	// peerSamples is the least number of observations before an ejection.
	peerSamples = 3
	// slowFactor times the median of the peers is slow. Twice is reached by
	// chance when the lengths of requests differ; stragglers are at 5 and up.
	slowFactor = 2.5
	// failLimit is the mean failure rate that ejects, if the peers' median is
	// under half of it.
	failLimit = 0.5
	// firstEject is the time out of use after the first ejection; it doubles
	// up to lastEject while the backend server stays bad.
	firstEject = 4 * time.Second
	lastEject  = 30 * time.Second
	// trialLatency times the median is assumed of one that comes back, so that
	// it gets little work until an answer shows that it is well.
	trialLatency = 2
	// peerReview is the interval between two comparisons of all peers.
	peerReview = 100 * time.Millisecond
)

// OutlierDetector compares backend servers that do comparable work (one target and kind)
// and ejects the ones that are much slower or fail much more often than their
// peers. If all are slow nobody is ejected, and a share of them always stays
// in use.
type OutlierDetector struct {
	floor   float64
	peers   map[ident.Backend]*peer
	order   []*peer // in the order of their first observation
	median  float64 // of the mean latencies, in nanoseconds
	failing float64 // median of the failure rates
	next    time.Time
	scratch []float64
}

type peer struct {
	latency, failure float64
	samples          int
	out              bool
	until            time.Time     // end of the ejection
	pause            time.Duration // length of the last ejection
	seen             time.Time
}

// NewOutlierDetector returns an empty comparison that keeps at least the given share
// (0 to 1) of the observed backend servers in use, and always one.
func NewOutlierDetector(floor float64) *OutlierDetector {
	return &OutlierDetector{floor: min(1, max(0, floor)), peers: map[ident.Backend]*peer{}}
}

// Observe counts a finished attempt. A cancelled attempt that has run longer
// than Latency should be counted with the time it ran and ok set, because it
// would have taken at least so long.
func (p *OutlierDetector) Observe(now time.Time, b ident.Backend, latency time.Duration, ok bool) {
	e := p.peers[b]
	if e == nil {
		e = &peer{}
		p.peers[b] = e
		p.order = append(p.order, e)
	}
	e.seen = now
	failed := 1.0
	if ok {
		failed = 0
		e.latency = move(e.latency, float64(latency), e.samples)
	}
	e.failure = move(e.failure, failed, e.samples)
	e.samples++
	if !now.Before(p.next) {
		p.review(now)
	}
	p.judge(now, e)
}

func move(mean, value float64, samples int) float64 {
	if samples == 0 || mean == 0 {
		return value
	}
	return mean + peerGain*(value-mean)
}

// review updates the medians and lets the ones return whose time is over.
func (p *OutlierDetector) review(now time.Time) {
	p.next = now.Add(peerReview)
	p.failing = p.middle(func(e *peer) (float64, bool) { return e.failure, true })
	p.median = p.middle(func(e *peer) (float64, bool) { return e.latency, e.latency > 0 })
	for _, e := range p.order {
		p.restore(now, e)
	}
}

func (p *OutlierDetector) middle(value func(*peer) (float64, bool)) float64 {
	p.scratch = p.scratch[:0]
	for _, e := range p.order {
		if v, ok := value(e); ok && e.samples > 0 {
			p.scratch = append(p.scratch, v)
		}
	}
	if len(p.scratch) == 0 {
		return 0
	}
	slices.Sort(p.scratch)
	return p.scratch[(len(p.scratch)-1)/2]
}

// restore ends an ejection. The first answers after it decide anew, so the
// old means are dropped; pause stays, and a second ejection lasts longer.
func (p *OutlierDetector) restore(now time.Time, e *peer) {
	if e.out && !now.Before(e.until) {
		e.out = false
		e.latency, e.failure = trialLatency*p.median, 0
		e.samples = 1
	}
}

func (p *OutlierDetector) judge(now time.Time, e *peer) {
	if e.out {
		return
	}
	need := peerSamples
	if e.pause > 0 {
		need = 2 // on trial: one bad answer is enough
	}
	slow := p.median > 0 && e.latency > slowFactor*p.median
	fails := e.failure >= failLimit && p.failing < failLimit/2
	if e.samples < need || (!slow && !fails) {
		if e.samples > 10*peerSamples {
			e.pause = 0
		}
		return
	}
	if p.used(now) <= p.least() {
		return
	}
	e.out = true
	e.pause = min(lastEject, max(firstEject, 2*e.pause))
	e.until = now.Add(e.pause)
}

// used counts the ones in use.
func (p *OutlierDetector) used(now time.Time) int {
	n := 0
	for _, e := range p.order {
		if !e.out || !now.Before(e.until) {
			n++
		}
	}
	return n
}

func (p *OutlierDetector) least() int {
	return max(1, int(p.floor*float64(len(p.order))+0.999))
}

// IsEjected tells whether a backend server is out of use now.
func (p *OutlierDetector) IsEjected(now time.Time, b ident.Backend) bool {
	e := p.peers[b]
	return e != nil && e.out && now.Before(e.until)
}

// Latency returns the recent latency of a backend server, 0 if none was seen.
func (p *OutlierDetector) Latency(b ident.Backend) time.Duration {
	if e := p.peers[b]; e != nil {
		return time.Duration(e.latency)
	}
	return 0
}

// Remove drops a backend server that left, so that the floor and the medians
// count only the ones that exist.
func (p *OutlierDetector) Remove(b ident.Backend) {
	e := p.peers[b]
	delete(p.peers, b)
	p.order = slices.DeleteFunc(p.order, func(o *peer) bool { return o == e })
}
