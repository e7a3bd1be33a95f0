package policy

import (
	"math"
	"time"
)

// StreamDurationEstimator learns how long streams take for each token that they may have.
type StreamDurationEstimator struct {
	mean, spread float64 // ms for a token
	count        int
}

const (
	paceWeight = 0.05 // of a new stream in the means
	paceHigh   = 5.0  // spreads above the mean that hardly a stream exceeds
	paceLeast  = 20   // streams from which the means count
)

// Observe counts a whole stream.
func (p *StreamDurationEstimator) Observe(took time.Duration, tokens int64) {
	if tokens <= 0 {
		return
	}
	x := float64(took) / float64(time.Millisecond) / float64(tokens)
	weight := max(paceWeight, 1/float64(p.count+1))
	p.count++
	p.spread += weight * (math.Abs(x-p.mean) - p.spread)
	p.mean += weight * (x - p.mean)
}

// UpperBound returns a time that hardly a stream of so many tokens exceeds; 0 if too
// little is known.
func (p *StreamDurationEstimator) UpperBound(tokens int64) time.Duration {
	if p.count < paceLeast {
		return 0
	}
	return time.Duration((p.mean + paceHigh*p.spread) * float64(tokens) * float64(time.Millisecond))
}
