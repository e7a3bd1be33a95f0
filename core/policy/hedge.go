package policy

import (
	"math"
	"time"

	"citronledge.example/core/ident"
)

const (
	// hedgeSamples is the least number of observations for a delay.
	hedgeSamples = 50
	// hedgeWindow is the number of observations after which old ones count
	// half.
	hedgeWindow = 2000
	// hedgeSteps divides each doubling of the latency; a delay is at most
	// 2^(1/8), that is 9 %, above the true percentile.
	hedgeSteps = 8
	// hedgeBase is the smallest latency that is told apart.
	hedgeBase = 100 * time.Microsecond
	// hedgeBuckets reach from hedgeBase to over 20 minutes.
	hedgeBuckets = 24 * hedgeSteps
)

// Hedger tells when a second attempt is worth its work: after a high
// percentile of the latency of the same kind of work on the same model.
type Hedger struct {
	percentile float64
	series     map[hedgeKey]*latencies
}

type hedgeKey struct {
	kind  ident.Kind
	model ident.Model
}

// latencies is a histogram with logarithmic buckets that forgets.
type latencies struct {
	total   float64
	count   [hedgeBuckets]float64
	pending int // observations since the last halving
}

// NewHedger returns a Hedger for a percentile from 0 to 1, for example 0.97.
func NewHedger(percentile float64) *Hedger {
	return &Hedger{percentile: min(1, max(0, percentile)), series: map[hedgeKey]*latencies{}}
}

// Observe counts the time from the start of a request's first attempt to its
// answer, hedged or not. Counting only the winning attempt would hide the
// slow ones and shorten the delay more and more.
func (h *Hedger) Observe(kind ident.Kind, m ident.Model, d time.Duration) {
	key := hedgeKey{kind, m}
	l := h.series[key]
	if l == nil {
		l = &latencies{}
		h.series[key] = l
	}
	l.count[bucket(d)]++
	l.total++
	if l.pending++; l.pending >= hedgeWindow {
		l.halve()
	}
}

// Delay returns the time after which a hedge may start; false while too
// little has been seen.
func (h *Hedger) Delay(kind ident.Kind, m ident.Model) (time.Duration, bool) {
	l := h.series[hedgeKey{kind, m}]
	if l == nil || l.total < hedgeSamples {
		return 0, false
	}
	rest := l.total * h.percentile
	for i, n := range l.count {
		if rest -= n; rest <= 0 {
			return limit(i), true
		}
	}
	return limit(hedgeBuckets - 1), true
}

func (l *latencies) halve() {
	l.pending, l.total = 0, 0
	for i := range l.count {
		l.count[i] /= 2
		l.total += l.count[i]
	}
}

func bucket(d time.Duration) int {
	if d <= hedgeBase {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(hedgeBase)) * hedgeSteps))
	return min(i, hedgeBuckets-1)
}

// limit is the upper end of a bucket.
func limit(i int) time.Duration {
	return time.Duration(float64(hedgeBase) * math.Exp2(float64(i)/hedgeSteps))
}
