package policy

import (
	"slices"
	"time"

	"citronledge.example/core/ident"
)

const (
	// peerMeanGain is the weight of a new latency or outcome in the moving mean.
	peerMeanGain = 0.4
	// minEjectionSamples is the least number of observations before an ejection.
	minEjectionSamples = 3
	// slowFactor times the median of the peers counts as slow. Twice the median
	// is reached by chance when the lengths of requests differ; stragglers are
	// at 5 and up.
	slowFactor = 2.5
	// ejectionFailureRate is the mean failure rate that ejects, if the peers'
	// median is under half of it.
	ejectionFailureRate = 0.5
	// minEjectionTime is the length of the first ejection; each following one is
	// twice as long, up to maxEjectionTime, while the backend server stays bad.
	minEjectionTime = 4 * time.Second
	maxEjectionTime = 30 * time.Second
	// returnLatencyFactor times the median is the assumed latency of a backend
	// server that comes back, so that it gets little work until an answer shows
	// that it is healthy.
	returnLatencyFactor = 2
	// peerReviewInterval is the interval between two comparisons of all peers.
	peerReviewInterval = 100 * time.Millisecond
)

// OutlierDetector compares backend servers that do comparable work (one target
// and kind) and ejects the ones that are much slower or fail much more often
// than their peers. If all are slow none is ejected, and a share of them always
// stays in use.
type OutlierDetector struct {
	minInUseShare     float64
	peers             map[ident.Backend]*peer
	order             []*peer // in the order of their first observation
	medianLatency     float64 // of the mean latencies, in nanoseconds
	medianFailureRate float64
	nextReview        time.Time
	scratch           []float64
}

type peer struct {
	latency, failureRate float64 // moving means; the latency in nanoseconds
	samples              int
	ejected              bool
	ejectedUntil         time.Time
	ejectionTime         time.Duration // length of the last ejection
	lastObserved         time.Time
}

// NewOutlierDetector returns a detector without observations. It keeps at least
// the given share (0 to 1) of the observed backend servers in use, and always
// one.
func NewOutlierDetector(minInUseShare float64) *OutlierDetector {
	return &OutlierDetector{minInUseShare: min(1, max(0, minInUseShare)), peers: map[ident.Backend]*peer{}}
}

// Observe counts a finished attempt. A cancelled attempt that has run longer
// than Latency should be counted with the time it ran and ok set, because it
// would have taken at least so long.
func (d *OutlierDetector) Observe(now time.Time, b ident.Backend, latency time.Duration, ok bool) {
	p := d.peers[b]
	if p == nil {
		p = &peer{}
		d.peers[b] = p
		d.order = append(d.order, p)
	}
	p.lastObserved = now
	failed := 1.0
	if ok {
		failed = 0
		p.latency = movingMean(p.latency, float64(latency), p.samples)
	}
	p.failureRate = movingMean(p.failureRate, failed, p.samples)
	p.samples++
	if !now.Before(d.nextReview) {
		d.review(now)
	}
	d.ejectIfOutlier(now, p)
}

func movingMean(mean, value float64, samples int) float64 {
	if samples == 0 || mean == 0 {
		return value
	}
	return mean + peerMeanGain*(value-mean)
}

// review updates the medians and ends the ejections whose time is over.
func (d *OutlierDetector) review(now time.Time) {
	d.nextReview = now.Add(peerReviewInterval)
	d.medianFailureRate = d.median(func(p *peer) (float64, bool) { return p.failureRate, true })
	d.medianLatency = d.median(func(p *peer) (float64, bool) { return p.latency, p.latency > 0 })
	for _, p := range d.order {
		d.endEjection(now, p)
	}
}

// median returns the lower median of a value over all peers for which it is
// known, 0 if there are none.
func (d *OutlierDetector) median(value func(*peer) (float64, bool)) float64 {
	d.scratch = d.scratch[:0]
	for _, p := range d.order {
		if v, ok := value(p); ok && p.samples > 0 {
			d.scratch = append(d.scratch, v)
		}
	}
	if len(d.scratch) == 0 {
		return 0
	}
	slices.Sort(d.scratch)
	return d.scratch[(len(d.scratch)-1)/2]
}

// endEjection ends an ejection whose time is over. The first answers after it
// decide anew, so the old means are dropped; ejectionTime stays, so that a
// second ejection lasts longer.
func (d *OutlierDetector) endEjection(now time.Time, p *peer) {
	if p.ejected && !now.Before(p.ejectedUntil) {
		p.ejected = false
		p.latency, p.failureRate = returnLatencyFactor*d.medianLatency, 0
		p.samples = 1
	}
}

func (d *OutlierDetector) ejectIfOutlier(now time.Time, p *peer) {
	if p.ejected {
		return
	}
	minSamples := minEjectionSamples
	if p.ejectionTime > 0 {
		minSamples = 2 // after an ejection one bad answer is enough
	}
	slow := d.medianLatency > 0 && p.latency > slowFactor*d.medianLatency
	fails := p.failureRate >= ejectionFailureRate && d.medianFailureRate < ejectionFailureRate/2
	if p.samples < minSamples || (!slow && !fails) {
		if p.samples > 10*minEjectionSamples {
			p.ejectionTime = 0
		}
		return
	}
	if d.inUse(now) <= d.minInUse() {
		return
	}
	p.ejected = true
	p.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*p.ejectionTime))
	p.ejectedUntil = now.Add(p.ejectionTime)
}

// inUse counts the peers that are not ejected now.
func (d *OutlierDetector) inUse(now time.Time) int {
	n := 0
	for _, p := range d.order {
		if !p.ejected || !now.Before(p.ejectedUntil) {
			n++
		}
	}
	return n
}

func (d *OutlierDetector) minInUse() int {
	return max(1, int(d.minInUseShare*float64(len(d.order))+0.999))
}

// IsEjected reports whether a backend server is ejected now.
func (d *OutlierDetector) IsEjected(now time.Time, b ident.Backend) bool {
	p := d.peers[b]
	return p != nil && p.ejected && now.Before(p.ejectedUntil)
}

// Latency returns the recent latency of a backend server, 0 if none was
// observed.
func (d *OutlierDetector) Latency(b ident.Backend) time.Duration {
	if p := d.peers[b]; p != nil {
		return time.Duration(p.latency)
	}
	return 0
}

// Remove drops a backend server that left, so that the share in use and the
// medians count only the ones that exist.
func (d *OutlierDetector) Remove(b ident.Backend) {
	p := d.peers[b]
	delete(d.peers, b)
	d.order = slices.DeleteFunc(d.order, func(o *peer) bool { return o == p })
}
