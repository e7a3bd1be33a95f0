package policy

import (
	"time"

	"citronledge.example/core/ident"
)

// FirstTokenEstimator learns the time to the first token of the answers of one
// service: a base time that every answer has, and a time for each token of the
// prompts that are read before it, which depends on the model.
type FirstTokenEstimator struct {
	base      float64 // ms
	baseKnown bool    // whether an attempt has shown the base time
	models    map[ident.Model]*promptSpeed
}

// promptSpeed holds moving means over the attempts on one model: the time to
// read the prompt, and its size.
type promptSpeed struct {
	ms, tokens float64
	attempts   float64
	// certain counts the attempts of which it is certain what was read.
	certain int
}

const (
	// minAttemptWeight is the least weight of an attempt in the means.
	minAttemptWeight = 0.02
	// baseWorkLimit is the work up to which an attempt shows the base time, in
	// tokens of the smallest model.
	baseWorkLimit = 1500
	// maxExcessFactor bounds the time that an attempt counts for, relative to
	// the expected one. A few attempts wait long for other reasons than their
	// prompts.
	maxExcessFactor = 2
)

// msPerToken returns the time for a token of the prompt, in ms; 0 if nothing is
// known. For a model without observations it follows from that of the smallest
// model.
func (e *FirstTokenEstimator) msPerToken(p Prompt) float64 {
	if m := e.models[p.Model]; m != nil {
		return m.ms / m.tokens
	}
	if m := e.models[p.SmallestModel]; m != nil {
		return p.TokenTimeRatio * m.ms / m.tokens
	}
	return 0
}

// waitMS returns the time for the work of other attempts that is done first.
func (e *FirstTokenEstimator) waitMS(p Prompt, work float64) float64 {
	if e.models[p.SmallestModel] != nil || p.TokenTimeRatio == 0 {
		return work * e.msPerToken(Prompt{Model: p.SmallestModel, SmallestModel: p.SmallestModel, TokenTimeRatio: 1})
	}
	return work * e.msPerToken(p) / p.TokenTimeRatio
}

// Observe counts an attempt. tokens is the part of its prompt that was read;
// workBefore is the work of other prompts that were read before it, in tokens
// of the smallest model.
func (e *FirstTokenEstimator) Observe(latency time.Duration, p Prompt, tokens, workBefore float64) {
	ms := float64(latency) / float64(time.Millisecond)
	if tokens*p.TokenTimeRatio+workBefore <= baseWorkLimit {
		if !e.baseKnown {
			e.base, e.baseKnown = ms, true
		}
		e.base += minAttemptWeight * (min(ms, 2*e.base) - e.base)
		return
	}
	if tokens <= 0 {
		return
	}
	if e.models == nil {
		e.models = map[ident.Model]*promptSpeed{}
	}
	excess := max(0, ms-e.base-e.waitMS(p, workBefore))
	m := e.models[p.Model]
	if m == nil {
		e.models[p.Model] = &promptSpeed{ms: excess, tokens: tokens, attempts: 1}
		return
	}
	excess = min(excess, maxExcessFactor*tokens*m.ms/m.tokens)
	m.attempts++
	weight := max(minAttemptWeight, 1/m.attempts)
	m.ms += weight * (excess - m.ms)
	m.tokens += weight * (tokens - m.tokens)
}

// Expected returns the expected time to the first token after reading so many
// tokens of the prompt and, before it, other prompts of workBefore; 0 if
// nothing is known. With no tokens and no work before, it is the base time.
func (e *FirstTokenEstimator) Expected(p Prompt, tokens, workBefore float64) time.Duration {
	msPerToken := e.msPerToken(p)
	if msPerToken == 0 {
		return 0
	}
	return time.Duration((e.base + tokens*msPerToken + e.waitMS(p, workBefore)) * float64(time.Millisecond))
}

// MedianEstimator learns the median of a duration, to detect slow ones.
type MedianEstimator struct {
	median float64
	count  int
}

const (
	// minMedianSamples is the number of durations from which the median is used.
	minMedianSamples = 20
	// medianStep is the relative step of the median for each duration. It is
	// larger for the first ones: firstMedianStep divided by their number.
	medianStep      = 0.03
	firstMedianStep = 0.5
	// slowMedianFactor times the median counts as slow. About one in five
	// answers of a sound version does, since servers share their machines with
	// others.
	slowMedianFactor = 1.7
)

// Observe counts a duration.
func (e *MedianEstimator) Observe(d time.Duration) {
	e.count++
	if e.count == 1 {
		e.median = float64(d)
		return
	}
	step := max(medianStep, firstMedianStep/float64(e.count))
	if float64(d) > e.median {
		e.median *= 1 + step
	} else {
		e.median /= 1 + step
	}
}

// Median returns the median, 0 while too few durations were observed.
func (e *MedianEstimator) Median() time.Duration {
	if e.count < minMedianSamples {
		return 0
	}
	return time.Duration(e.median)
}

// IsSlow reports whether a duration is far above the median.
func (e *MedianEstimator) IsSlow(d time.Duration) bool {
	return e.count >= minMedianSamples && float64(d) > slowMedianFactor*e.median
}
