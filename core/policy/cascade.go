package policy

import (
	"math"

	"citronledge.example/core/ident"
)

const (
	// probeShare is the share of requests that try a cheaper step than
	// planned, so that a model with bad ratings gets new ones and can show that
	// it has improved.
	probeShare = 0.02
	// uncertainProbeShare replaces probeShare while the ratings leave open
	// whether the cheaper step meets the target. It is small because ratings
	// may never come.
	uncertainProbeShare = 0.06
)

// CascadeStep is one model of a cascade, with its figures for one kind of
// request.
type CascadeStep struct {
	Model ident.Model
	// Cost is the expected cost of one answer.
	Cost    ident.Cost
	Quality QualityEstimate
	// TimelyRatingShare is the share of its answers whose rating comes in time
	// for the check; 0 if ratings come later or not at all.
	TimelyRatingShare ident.Share
}

// CascadePlan is the route of one request through a cascade.
type CascadePlan struct {
	// StartStep is the index of the first model to run, -1 if there is none.
	StartStep int
	// CheckAnswer is set if the answer must be held back until KeepAnswer has
	// decided about it.
	CheckAnswer bool
	// Cost is the expected cost of all models that will run.
	Cost   ident.Cost
	Reason Reason
}

// Rating is the rating of an answer, if it came in time for the check.
type Rating struct {
	Known   bool
	Quality ident.Quality
}

// PlanCascade chooses the step to start with, and whether to check its answer,
// by the expected cost of every model that may run. A step whose expected
// quality meets the target ends the cascade, since on average its answers are
// good enough; a weaker step pays only if many of its answers can be shown to
// be good. If no step meets the target, the last one counts as good enough.
func PlanCascade(steps []CascadeStep, target ident.Quality) CascadePlan {
	best := CascadePlan{StartStep: -1, Reason: ReasonNone}
	for i := len(steps) - 1; i >= 0; i-- {
		p := planFrom(steps, i, target, best)
		if best.StartStep < 0 || p.Cost <= best.Cost {
			best = p
		}
	}
	return best
}

// planFrom returns the plan that starts at step i and continues with fallback
// if the answer is not kept.
func planFrom(steps []CascadeStep, i int, target ident.Quality, fallback CascadePlan) CascadePlan {
	s := &steps[i]
	p := CascadePlan{StartStep: i, Cost: s.Cost, Reason: ReasonSure}
	switch {
	case s.Quality.LowerBound >= target:
	case s.Quality.Mean >= target:
		// The check costs time but no money: without a rating the answer is kept.
		p.CheckAnswer = i < len(steps)-1
		p.Reason = ReasonLikely
		if rated := float64(s.TimelyRatingShare); p.CheckAnswer && fallback.StartStep >= 0 {
			p.Cost += ident.Cost(rated*(1-s.passProbability(target))) * fallback.Cost
		}
	case fallback.StartStep < 0:
		p.Reason = ReasonLastStep
	default:
		p.CheckAnswer = true
		p.Reason = ReasonCheaperStep
		p.Cost += ident.Cost(1-float64(s.TimelyRatingShare)*s.passProbability(target)) * fallback.Cost
	}
	if p.Reason == ReasonSure && i > 0 {
		p.Reason = ReasonStrongerStep
	}
	return p
}

// passProbability is the probability that a rating meets the target, taking
// ratings as normally distributed.
func (s *CascadeStep) passProbability(target ident.Quality) float64 {
	gap := float64(target - s.Quality.Mean)
	if s.Quality.StdDev <= 0 {
		if gap <= 0 {
			return 1
		}
		return 0
	}
	return math.Erfc(gap/s.Quality.StdDev/math.Sqrt2) / 2
}

// ExploreCheaper replaces a plan by one that starts a step earlier, with a
// check, for a small share of the seeds. The caller should offer the answer of
// the earlier step to the rating service even when it is not kept.
func ExploreCheaper(seed uint64, p CascadePlan, steps []CascadeStep, target ident.Quality) CascadePlan {
	if p.StartStep < 1 || p.StartStep >= len(steps) {
		return p
	}
	share := probeShare
	// 2*Mean-LowerBound is the upper confidence bound.
	if q := steps[p.StartStep-1].Quality; 2*q.Mean-q.LowerBound >= target {
		share = uncertainProbeShare
	}
	if unitInterval(seed) >= share {
		return p
	}
	p.StartStep--
	p.CheckAnswer = true
	p.Cost += steps[p.StartStep].Cost
	p.Reason = ReasonProbe
	return p
}

// KeepAnswer reports whether a checked answer is good enough: by its own rating
// if that came in time, else by the expected quality.
func KeepAnswer(rating Rating, est QualityEstimate, target ident.Quality) (bool, Reason) {
	switch {
	case rating.Known:
		return rating.Quality >= target, ReasonRated
	case est.LowerBound >= target:
		return true, ReasonSure
	case est.Mean >= target:
		return true, ReasonLikely
	}
	return false, ReasonBelowTarget
}
