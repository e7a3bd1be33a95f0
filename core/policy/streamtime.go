package policy

import (
	"math"
	"time"
)

// StreamDurationEstimator learns how long streams take for each token of their
// limit.
type StreamDurationEstimator struct {
	meanPerToken, deviation float64 // ms for a token
	streams                 int
}

const (
	// minStreamWeight is the least weight of a new stream in the moving means.
	minStreamWeight = 0.05
	// streamDeviations is the number of mean deviations above the mean that
	// hardly any stream exceeds.
	streamDeviations = 5.0
	// minStreams is the number of streams from which the means are used.
	minStreams = 20
)

// Observe counts a whole stream with the number of tokens that it was allowed.
func (e *StreamDurationEstimator) Observe(took time.Duration, tokens int64) {
	if tokens <= 0 {
		return
	}
	perToken := float64(took) / float64(time.Millisecond) / float64(tokens)
	weight := max(minStreamWeight, 1/float64(e.streams+1))
	e.streams++
	e.deviation += weight * (math.Abs(perToken-e.meanPerToken) - e.deviation)
	e.meanPerToken += weight * (perToken - e.meanPerToken)
}

// UpperBound returns a time that hardly any stream of so many tokens exceeds; 0
// if too few streams were observed.
func (e *StreamDurationEstimator) UpperBound(tokens int64) time.Duration {
	if e.streams < minStreams {
		return 0
	}
	return time.Duration((e.meanPerToken + streamDeviations*e.deviation) * float64(tokens) * float64(time.Millisecond))
}
