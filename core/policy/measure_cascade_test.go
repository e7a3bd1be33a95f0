package policy

import (
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// traffic is a rig of a customer's requests through a cascade of two models.
type traffic struct {
	*events
	cascade bool
	start   int // fixed start without a cascade
	reports float64
	rated   float64       // share of the answers that are rated
	delay   time.Duration // until a rating comes
	soon    float64       // share of the ratings that come in time for the check
	lost    time.Duration // no ratings from then on; 0 means never lost
	worse   bool          // the cheap model gets worse at chats halfway
	est     *QualityEstimator

	answers       int
	cost, quality float64
}

const (
	qualityTarget = 0.9
	trafficLength = 2 * time.Hour
	trafficRate   = 5 // requests per second
)

// True mean qualities and costs. The cheap model is good enough for chats and
// not for reports; a report costs four times a chat. The operator's figures,
// one for each model, put the cheap one below the target.
var (
	models    = [2]ident.Model{"small", "large"}
	priors    = [2]ident.Quality{0.85, 0.93}
	prices    = [2]float64{1, 8}
	qualities = map[ident.Kind][2]float64{ident.Chat: {0.92, 0.95}, ident.Report: {0.72, 0.91}}
)

func (f *traffic) truth(kind ident.Kind, step int) float64 {
	q := qualities[kind][step]
	if f.worse && kind == ident.Chat && step == 0 && f.now.Sub(epoch) > trafficLength/2 {
		q = 0.78
	}
	return q
}

// rate draws one rating and sends it off, if the answer is rated at all.
func (f *traffic) rate(kind ident.Kind, step int, size float64) Rating {
	f.cost += prices[step] * size
	mean := f.truth(kind, step)
	// The noise is clipped on both sides alike, so that it has no bias.
	room := min(mean, 1-mean)
	q := ident.Quality(mean + min(room, max(-room, 0.08*f.rng.NormFloat64())))
	lost := f.lost > 0 && f.now.Sub(epoch) > f.lost
	if lost || f.rng.Float64() >= f.rated {
		return Rating{}
	}
	t := ident.Target{Model: models[step], Version: "v1"}
	if f.rng.Float64() < f.soon {
		f.est.AddRating(f.now, kind, t, q)
		return Rating{Known: true, Quality: q}
	}
	f.after(f.delay, func() { f.est.AddRating(f.now, kind, t, q) })
	return Rating{}
}

func (f *traffic) request() {
	kind, size := ident.Chat, 1.0
	if f.rng.Float64() < f.reports {
		kind, size = ident.Report, 4
	}
	f.answers++
	if !f.cascade {
		f.rate(kind, f.start, size)
		f.quality += f.truth(kind, f.start)
		return
	}
	var steps [2]CascadeStep
	for i, m := range models {
		steps[i] = CascadeStep{
			Model: m, Cost: ident.Cost(prices[i] * size), TimelyRatingShare: ident.Share(f.rated * f.soon),
			Quality: f.est.Estimate(f.now, kind, ident.Target{Model: m, Version: "v1"}, priors[i]),
		}
	}
	p := ExploreCheaper(f.rng.Uint64(), PlanCascade(steps[:], qualityTarget), steps[:], qualityTarget)
	for step := p.StartStep; ; step++ {
		score := f.rate(kind, step, size)
		keep := true
		if p.CheckAnswer && step < len(steps)-1 {
			keep, _ = KeepAnswer(score, steps[step].Quality, qualityTarget)
		}
		if keep {
			f.quality += f.truth(kind, step)
			return
		}
	}
}

func TestMeasureCascade(t *testing.T) {
	rigs := map[string]traffic{
		"late":         {reports: 0.15, rated: 1, delay: 5 * time.Minute},
		"sparse":       {reports: 0.15, rated: 0.1, delay: 5 * time.Minute},
		"lost":         {reports: 0.15, rated: 0.1, delay: 5 * time.Minute, lost: 30 * time.Minute},
		"never":        {reports: 0.15},
		"intime":       {reports: 0.15, rated: 0.5, delay: 5 * time.Minute, soon: 1},
		"worse":        {reports: 0.15, rated: 0.1, delay: 5 * time.Minute, worse: true},
		"many_reports": {reports: 0.5, rated: 0.1, delay: 5 * time.Minute},
	}
	var r results
	r.seeds(2, 30, func(seed uint64, r *results) {
		for name, rig := range rigs {
			run := func(cascade bool, start int) *traffic {
				f := rig
				f.events, f.est, f.cascade, f.start = newEvents(seed), NewQualityEstimator(), cascade, start
				f.arrivals(func(time.Duration) float64 { return trafficRate }, f.request)
				f.run(trafficLength)
				return &f
			}
			strong, weak, ours := run(false, 1), run(false, 0), run(true, 0)
			for policy, f := range map[string]*traffic{"strong": strong, "cheap": weak, "cascade": ours} {
				r.add("cost_"+name, policy, "of_strong", f.cost/strong.cost)
				r.add("quality_"+name, policy, "mean", f.quality/float64(f.answers))
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
	// but that of the probes.
	atMost(t, "never: cost", r.median("cost_never", "cascade", "of_strong"), 1.01)
}
