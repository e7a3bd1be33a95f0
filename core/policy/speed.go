package policy

import (
	"time"

	"citronledge.example/core/ident"
)

// FirstTokenEstimator learns how long the first token of an answer of one service takes: a
// part that every answer has, and a part for each token of the prompts that are
// read before it, which depends on the model.
type FirstTokenEstimator struct {
	base   float64 // ms
	seen   bool    // an attempt that shows the base
	models map[ident.Model]*slope
}

// slope is the time for a token of the prompt: fading means of both.
type slope struct {
	time, tokens float64 // ms
	count        float64 // of attempts
}

const (
	// speedWeight is the weight of an attempt in the means.
	speedWeight = 0.02
	// lightWork is the work up to which an attempt shows the base, in tokens
	// of the smallest model.
	lightWork = 1500
	// mostExcess bounds what an attempt counts, in times of what was expected.
	// A few attempts wait long for other reasons than their prompts.
	mostExcess = 2
)

// perToken returns the time for a token of the prompt, in ms; 0 if nothing is
// known. That of a model not seen yet follows from the smallest one's.
func (s *FirstTokenEstimator) perToken(p Prompt) float64 {
	if m := s.models[p.Model]; m != nil {
		return m.time / m.tokens
	}
	if m := s.models[p.SmallestModel]; m != nil {
		return p.TokenTimeRatio * m.time / m.tokens
	}
	return 0
}

// wait returns the time for work of others that is read first, in ms.
func (s *FirstTokenEstimator) wait(p Prompt, work float64) float64 {
	if s.models[p.SmallestModel] != nil || p.TokenTimeRatio == 0 {
		return work * s.perToken(Prompt{Model: p.SmallestModel, SmallestModel: p.SmallestModel, TokenTimeRatio: 1})
	}
	return work * s.perToken(p) / p.TokenTimeRatio
}

// Observe counts an attempt. Of the prompt the tokens were read, and before it
// other prompts, whose work is in tokens of the smallest model.
func (s *FirstTokenEstimator) Observe(latency time.Duration, p Prompt, tokens, before float64) {
	ms := float64(latency) / float64(time.Millisecond)
	if tokens*p.TokenTimeRatio+before <= lightWork {
		if !s.seen {
			s.base, s.seen = ms, true
		}
		s.base += speedWeight * (min(ms, 2*s.base) - s.base)
		return
	}
	if tokens <= 0 {
		return
	}
	if s.models == nil {
		s.models = map[ident.Model]*slope{}
	}
	excess := max(0, ms-s.base-s.wait(p, before))
	m := s.models[p.Model]
	if m == nil {
		s.models[p.Model] = &slope{excess, tokens, 1}
		return
	}
	excess = min(excess, mostExcess*tokens*m.time/m.tokens)
	m.count++
	weight := max(speedWeight, 1/m.count)
	m.time += weight * (excess - m.time)
	m.tokens += weight * (tokens - m.tokens)
}

// Expected returns the expected time to the first token, for tokens of the prompt
// and other prompts before it; 0 if nothing is known. The part that every
// answer has is that for no tokens and nothing before.
func (s *FirstTokenEstimator) Expected(p Prompt, tokens, before float64) time.Duration {
	slope := s.perToken(p)
	if slope == 0 {
		return 0
	}
	return time.Duration((s.base + tokens*slope + s.wait(p, before)) * float64(time.Millisecond))
}

// MedianEstimator learns the median of a duration, to tell which ones are slow.
type MedianEstimator struct {
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

// Observe counts a duration.
func (t *MedianEstimator) Observe(d time.Duration) {
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
func (t *MedianEstimator) Median() time.Duration {
	if t.count < typicalLeast {
		return 0
	}
	return time.Duration(t.median)
}

// IsSlow tells whether a duration is far above the median.
func (t *MedianEstimator) IsSlow(d time.Duration) bool {
	return t.count >= typicalLeast && float64(d) > slowTimes*t.median
}
