package policy

import (
	"slices"
	"time"
)

// StreamDurationEstimator learns how long streams take for each token of their
// limit. It keeps the last streams rather than a mean and a deviation: a few
// streams are many times slower than most, as their server is busy or their
// model is large. Streams that are still running count with the time that they
// have taken so far: soon after the start of a gate only short ones have ended.
type StreamDurationEstimator struct {
	recent  []float64 // ns for a token
	next    int       // index in recent that is replaced next
	running map[*RunningStream]bool
}

// RunningStream is a stream that has begun.
type RunningStream struct {
	start  time.Time
	tokens int64
}

const (
	// recentStreams is the number of streams that are kept.
	recentStreams = 200
	// slowStreamShare is the share of streams that may exceed the upper bound.
	slowStreamShare = 0.01
	// minStreams is the number of streams from which there is an upper bound.
	minStreams = 20
)

// Begin counts a stream that begins now, with the number of tokens that it is
// allowed. End must be called for it.
func (e *StreamDurationEstimator) Begin(tokens int64, now time.Time) *RunningStream {
	if e.running == nil {
		e.running = map[*RunningStream]bool{}
	}
	s := &RunningStream{now, tokens}
	if tokens > 0 {
		e.running[s] = true
	}
	return s
}

// End counts the end of a stream. How long it took is learnt only if it is
// whole.
func (e *StreamDurationEstimator) End(s *RunningStream, whole bool, now time.Time) {
	delete(e.running, s)
	if !whole || s.tokens <= 0 {
		return
	}
	perToken := s.perToken(now)
	if len(e.recent) < recentStreams {
		e.recent = append(e.recent, perToken)
		return
	}
	e.recent[e.next] = perToken
	e.next = (e.next + 1) % recentStreams
}

// perToken returns the time until now in ns for each token of the limit.
func (s *RunningStream) perToken(now time.Time) float64 {
	return float64(now.Sub(s.start)) / float64(s.tokens)
}

// UpperBound returns a time that hardly any stream of so many tokens exceeds; 0
// if too few streams were observed.
func (e *StreamDurationEstimator) UpperBound(tokens int64, now time.Time) time.Duration {
	if len(e.recent) < minStreams {
		return 0
	}
	sorted := slices.Clone(e.recent)
	for s := range e.running {
		sorted = append(sorted, s.perToken(now))
	}
	slices.Sort(sorted)
	i := len(sorted) - 1 - int(slowStreamShare*float64(len(sorted)))
	return time.Duration(sorted[i] * float64(tokens))
}
