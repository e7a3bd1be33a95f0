package policy

import (
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// cascadeRig simulates a customer's requests through a cascade of two models.
type cascadeRig struct {
	*events
	cascade     bool
	fixedStep   int           // the one model without a cascade
	reportShare float64       // share of the requests that are reports
	ratedShare  float64       // share of the answers that are rated
	ratingDelay time.Duration // until a rating comes
	timelyShare float64       // share of the ratings that come in time for the check
	lostFrom    time.Duration // no ratings from then on; 0 means that none are lost
	degrades    bool          // the cheap model gets worse at chats halfway
	estimator   *QualityEstimator

	answers       int
	cost, quality float64
}

const (
	qualityTarget = 0.9
	cascadeLength = 2 * time.Hour
	cascadeRate   = 5 // requests per second
)

// True mean qualities and costs. The cheap model is good enough for chats but
// not for reports; a report costs four times a chat. The operator's figures,
// one for each model, put the cheap one below the target.
var (
	models    = [2]ident.Model{"small", "large"}
	priors    = [2]ident.Quality{0.85, 0.93}
	prices    = [2]float64{1, 8}
	qualities = map[ident.Kind][2]float64{ident.Chat: {0.92, 0.95}, ident.Report: {0.72, 0.91}}
)

// trueQuality returns the true mean quality of a step.
func (rig *cascadeRig) trueQuality(kind ident.Kind, step int) float64 {
	q := qualities[kind][step]
	if rig.degrades && kind == ident.Chat && step == 0 && rig.now.Sub(epoch) > cascadeLength/2 {
		q = 0.78
	}
	return q
}

// rate counts the cost of an answer. If the answer is rated, it draws the rating
// and delivers it at once or after the delay.
func (rig *cascadeRig) rate(kind ident.Kind, step int, size float64) Rating {
	rig.cost += prices[step] * size
	mean := rig.trueQuality(kind, step)
	// The noise is clipped symmetrically, so that it has no bias.
	maxNoise := min(mean, 1-mean)
	q := ident.Quality(mean + min(maxNoise, max(-maxNoise, 0.08*rig.rng.NormFloat64())))
	lost := rig.lostFrom > 0 && rig.now.Sub(epoch) > rig.lostFrom
	if lost || rig.rng.Float64() >= rig.ratedShare {
		return Rating{}
	}
	t := ident.Target{Model: models[step], Version: "v1"}
	if rig.rng.Float64() < rig.timelyShare {
		rig.estimator.AddRating(rig.now, kind, t, q)
		return Rating{Known: true, Quality: q}
	}
	rig.after(rig.ratingDelay, func() { rig.estimator.AddRating(rig.now, kind, t, q) })
	return Rating{}
}

func (rig *cascadeRig) request() {
	kind, size := ident.Chat, 1.0
	if rig.rng.Float64() < rig.reportShare {
		kind, size = ident.Report, 4
	}
	rig.answers++
	if !rig.cascade {
		rig.rate(kind, rig.fixedStep, size)
		rig.quality += rig.trueQuality(kind, rig.fixedStep)
		return
	}
	var steps [2]CascadeStep
	for i, m := range models {
		steps[i] = CascadeStep{
			Model: m, Cost: ident.Cost(prices[i] * size), TimelyRatingShare: ident.Share(rig.ratedShare * rig.timelyShare),
			Quality: rig.estimator.Estimate(rig.now, kind, ident.Target{Model: m, Version: "v1"}, priors[i]),
		}
	}
	p := ExploreCheaper(rig.rng.Uint64(), PlanCascade(steps[:], qualityTarget), steps[:], qualityTarget)
	for step := p.StartStep; ; step++ {
		rating := rig.rate(kind, step, size)
		keep := true
		if p.CheckAnswer && step < len(steps)-1 {
			keep, _ = KeepAnswer(rating, steps[step].Quality, qualityTarget)
		}
		if keep {
			rig.quality += rig.trueQuality(kind, step)
			return
		}
	}
}

func TestMeasureCascade(t *testing.T) {
	rigs := map[string]cascadeRig{
		"late":         {reportShare: 0.15, ratedShare: 1, ratingDelay: 5 * time.Minute},
		"sparse":       {reportShare: 0.15, ratedShare: 0.1, ratingDelay: 5 * time.Minute},
		"lost":         {reportShare: 0.15, ratedShare: 0.1, ratingDelay: 5 * time.Minute, lostFrom: 30 * time.Minute},
		"never":        {reportShare: 0.15},
		"intime":       {reportShare: 0.15, ratedShare: 0.5, ratingDelay: 5 * time.Minute, timelyShare: 1},
		"worse":        {reportShare: 0.15, ratedShare: 0.1, ratingDelay: 5 * time.Minute, degrades: true},
		"many_reports": {reportShare: 0.5, ratedShare: 0.1, ratingDelay: 5 * time.Minute},
	}
	var r results
	r.seeds(2, 30, func(seed uint64, r *results) {
		for name, template := range rigs {
			run := func(cascade bool, fixedStep int) *cascadeRig {
				rig := template
				rig.events, rig.estimator, rig.cascade, rig.fixedStep = newEvents(seed), NewQualityEstimator(), cascade, fixedStep
				rig.arrivals(func(time.Duration) float64 { return cascadeRate }, rig.request)
				rig.run(cascadeLength)
				return &rig
			}
			strong, cheap, cascaded := run(false, 1), run(false, 0), run(true, 0)
			for policy, rig := range map[string]*cascadeRig{"strong": strong, "cheap": cheap, "cascade": cascaded} {
				r.add("cost_"+name, policy, "of_strong", rig.cost/strong.cost)
				r.add("quality_"+name, policy, "mean", rig.quality/float64(rig.answers))
			}
		}
	})
	for _, name := range []string{"late", "sparse", "lost", "intime", "worse"} {
		q := r.median("quality_"+name, "cascade", "mean")
		atMost(t, name+": quality below the target", qualityTarget-q, 0)
		if name != "worse" { // then chats need the strong model too
			atMost(t, name+": cost", r.median("cost_"+name, "cascade", "of_strong"), 0.6)
		}
	}
	// Without any rating the operator's figures decide, at no additional cost
	// except that of the probes.
	atMost(t, "never: cost", r.median("cost_never", "cascade", "of_strong"), 1.01)
}
