package policy

import "time"

// Speed learns how long the first token of an answer takes: a part that every
// answer has, and a part for each token of the prompts to be read.
type Speed struct {
	base        float64 // ms
	time, work  float64 // excess ms and the tokens they were spent on, fading
	known, seen bool
}

const (
	// speedWeight is the weight of an attempt in the means.
	speedWeight = 0.02
	// lightWork is the work up to which an attempt shows the base, in tokens.
	lightWork = 1500
)

// Note counts an attempt with the work that was read until its first token.
func (s *Speed) Note(latency time.Duration, work float64) {
	ms := float64(latency) / float64(time.Millisecond)
	if work <= lightWork {
		if !s.seen {
			s.base, s.seen = ms, true
		}
		s.base += speedWeight * (min(ms, 2*s.base) - s.base)
		return
	}
	s.time += speedWeight * (max(0, ms-s.base) - s.time)
	s.work += speedWeight * (work - s.work)
	s.known = true
}

// Need returns the expected time to the first token; 0 if nothing is known.
func (s *Speed) Need(work float64) time.Duration {
	if !s.known || s.work <= 0 {
		return 0
	}
	return time.Duration((s.base + work*s.time/s.work) * float64(time.Millisecond))
}

// Typical learns the median of a duration, to tell which ones are slow.
type Typical struct {
	median float64
	count  int
}

const (
	typicalLeast = 20 // durations from which the median counts
	// typicalStep is the relative step of the median for each duration; it is
	// larger for the first ones.
	typicalStep  = 0.03
	typicalFirst = 0.5
	// slowTimes the median is slow. Of the answers of a sound version about one
	// in five is, since servers share their machines with others.
	slowTimes = 1.7
)

// Note counts a duration.
func (t *Typical) Note(d time.Duration) {
	t.count++
	if t.count == 1 {
		t.median = float64(d)
		return
	}
	step := max(typicalStep, typicalFirst/float64(t.count))
	if float64(d) > t.median {
		t.median *= 1 + step
	} else {
		t.median /= 1 + step
	}
}

// Median returns the median, 0 while too little is known.
func (t *Typical) Median() time.Duration {
	if t.count < typicalLeast {
		return 0
	}
	return time.Duration(t.median)
}

// Slow tells whether a duration is far above the median.
func (t *Typical) Slow(d time.Duration) bool {
	return t.count >= typicalLeast && float64(d) > slowTimes*t.median
}
