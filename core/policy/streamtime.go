package policy

import (
	"slices"
	"time"
)

// StreamDurationEstimator learns how long streams take for each token of their
// limit. It keeps the last streams rather than a mean and a deviation: a few
// streams are many times slower than most, as their server is busy or their
// model is large.
type StreamDurationEstimator struct {
	recent []float64 // ns for a token
	next   int       // index in recent that is replaced next
}

const (
	// recentStreams is the number of streams that are kept.
	recentStreams = 200
	// slowStreamShare is the share of streams that may exceed the upper bound.
	slowStreamShare = 0.01
	// minStreams is the number of streams from which there is an upper bound.
	minStreams = 20
)

// Observe counts a whole stream with the number of tokens that it was allowed.
func (e *StreamDurationEstimator) Observe(took time.Duration, tokens int64) {
	if tokens <= 0 {
		return
	}
	perToken := float64(took) / float64(tokens)
	if len(e.recent) < recentStreams {
		e.recent = append(e.recent, perToken)
		return
	}
	e.recent[e.next] = perToken
	e.next = (e.next + 1) % recentStreams
}

// UpperBound returns a time that hardly any stream of so many tokens exceeds; 0
// if too few streams were observed.
func (e *StreamDurationEstimator) UpperBound(tokens int64) time.Duration {
	if len(e.recent) < minStreams {
		return 0
	}
	sorted := slices.Sorted(slices.Values(e.recent))
	i := len(sorted) - 1 - int(slowStreamShare*float64(len(sorted)))
	return time.Duration(sorted[i] * float64(tokens))
}
