package policy

import (
	"math"
	"time"

	"citronledge.example/core/ident"
)

const (
	// minHedgeSamples is the least number of observations for a delay.
	minHedgeSamples = 50
	// hedgeHalvingInterval is the number of observations after which old ones
	// count half.
	hedgeHalvingInterval = 2000
	// bucketsPerDoubling divides each doubling of the latency; a delay is at
	// most 2^(1/8), that is 9 %, above the true percentile.
	bucketsPerDoubling = 8
	// minHedgeLatency is the upper end of the first bucket: smaller latencies
	// are not distinguished.
	minHedgeLatency = 100 * time.Microsecond
	// hedgeBucketCount makes the buckets reach from minHedgeLatency to over 20
	// minutes.
	hedgeBucketCount = 24 * bucketsPerDoubling
)

// Hedger decides when a second attempt is worth its work: after a high
// percentile of the latency of the same kind of work on the same model.
type Hedger struct {
	percentile float64
	histograms map[hedgeKey]*latencyHistogram
}

type hedgeKey struct {
	kind  ident.Kind
	model ident.Model
}

// latencyHistogram has logarithmic buckets, and its old observations lose
// weight.
type latencyHistogram struct {
	total        float64
	counts       [hedgeBucketCount]float64
	sinceHalving int // observations since the last halving
}

// NewHedger returns a Hedger for a percentile from 0 to 1, for example 0.97.
func NewHedger(percentile float64) *Hedger {
	return &Hedger{percentile: min(1, max(0, percentile)), histograms: map[hedgeKey]*latencyHistogram{}}
}

// Observe counts the time from the start of a request's first attempt to its
// answer, hedged or not. Counting only the winning attempt would hide the slow
// ones and make the delay shorter and shorter.
func (h *Hedger) Observe(kind ident.Kind, m ident.Model, d time.Duration) {
	key := hedgeKey{kind, m}
	l := h.histograms[key]
	if l == nil {
		l = &latencyHistogram{}
		h.histograms[key] = l
	}
	l.counts[bucket(d)]++
	l.total++
	if l.sinceHalving++; l.sinceHalving >= hedgeHalvingInterval {
		l.halve()
	}
}

// Delay returns the time after which a hedge may start, and false while there
// are too few observations.
func (h *Hedger) Delay(kind ident.Kind, m ident.Model) (time.Duration, bool) {
	l := h.histograms[hedgeKey{kind, m}]
	if l == nil || l.total < minHedgeSamples {
		return 0, false
	}
	rest := l.total * h.percentile
	for i, n := range l.counts {
		if rest -= n; rest <= 0 {
			return bucketLimit(i), true
		}
	}
	return bucketLimit(hedgeBucketCount - 1), true
}

func (l *latencyHistogram) halve() {
	l.sinceHalving, l.total = 0, 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

func bucket(d time.Duration) int {
	if d <= minHedgeLatency {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(minHedgeLatency)) * bucketsPerDoubling))
	return min(i, hedgeBucketCount-1)
}

// bucketLimit is the upper end of a bucket.
func bucketLimit(i int) time.Duration {
	return time.Duration(float64(minHedgeLatency) * math.Exp2(float64(i)/bucketsPerDoubling))
}
