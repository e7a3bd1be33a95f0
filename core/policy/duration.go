package policy

import (
	"slices"
	"time"
)

// DurationEstimator learns how long requests take for each token that they may
// generate; requests of another kind count as one token each. It keeps the last
// requests rather than a mean and a deviation: a few are many times slower than
// most, as their server is busy or their model is large. Requests that are still
// running count with the time that they have taken so far: soon after the start
// of a gate only short ones have ended.
type DurationEstimator struct {
	recent  []float64 // ns for a token
	next    int       // index in recent that is replaced next
	running map[*Running]bool
	// firstBegin is when the first request began; zero before.
	firstBegin time.Time
}

// Running is a request that has begun.
type Running struct {
	start  time.Time
	tokens int64
}

const (
	// recentRequests is the number of requests that are kept.
	recentRequests = 200
	// slowShare is the share of requests that may exceed the upper bound.
	slowShare = 0.01
	// minRequests is the number of requests from which there is an upper bound.
	minRequests = 20
)

// Begin counts a request that begins now, with the number of tokens that it is
// allowed. End must be called for it.
func (e *DurationEstimator) Begin(tokens int64, now time.Time) *Running {
	if e.running == nil {
		e.running = map[*Running]bool{}
	}
	if e.firstBegin.IsZero() || now.Before(e.firstBegin) {
		e.firstBegin = now
	}
	s := &Running{now, tokens}
	if tokens > 0 {
		e.running[s] = true
	}
	return s
}

// End counts the end of a request. How long it took is learnt only if it is
// whole.
func (e *DurationEstimator) End(s *Running, whole bool, now time.Time) {
	delete(e.running, s)
	if !whole || s.tokens <= 0 {
		return
	}
	perToken := s.perToken(now)
	if len(e.recent) < recentRequests {
		e.recent = append(e.recent, perToken)
		return
	}
	e.recent[e.next] = perToken
	e.next = (e.next + 1) % recentRequests
}

// perToken returns the time until now in ns for each token of the limit.
func (s *Running) perToken(now time.Time) float64 {
	return float64(now.Sub(s.start)) / float64(s.tokens)
}

// UpperBound returns a time that hardly any request of so many tokens exceeds; 0
// if too few were observed.
func (e *DurationEstimator) UpperBound(tokens int64, now time.Time) time.Duration {
	if len(e.recent) < minRequests {
		return 0
	}
	sorted := slices.Clone(e.recent)
	for s := range e.running {
		sorted = append(sorted, s.perToken(now))
	}
	slices.Sort(sorted)
	i := len(sorted) - 1 - int(slowShare*float64(len(sorted)))
	return time.Duration(sorted[i] * float64(tokens))
}

// ObservedFor returns the time since the first request began; 0 if there was
// none. Longer requests were not seen to end.
func (e *DurationEstimator) ObservedFor(now time.Time) time.Duration {
	if e.firstBegin.IsZero() {
		return 0
	}
	return now.Sub(e.firstBegin)
}
