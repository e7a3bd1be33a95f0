package policy

import (
	"math"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

var small = ident.Target{Model: "small", Version: "v1"}

// When ratings stop coming the mean stays and its certainty falls. The prior
// alone has little weight.
func TestEstimateAges(t *testing.T) {
	e, now := NewQualityEstimator(), epoch
	prior := e.Estimate(now, ident.Chat, small, 0.8)
	if prior.Mean != 0.8 || prior.RatingWeight != 0 || prior.LowerBound >= 0.8 {
		t.Errorf("got %+v without ratings, want the prior with a wide bound", prior)
	}
	for range 100 {
		now = now.Add(time.Second)
		e.AddRating(now, ident.Chat, small, 0.95)
	}
	e.AddRating(now, ident.Chat, small, ident.Quality(math.NaN()))
	fresh := e.Estimate(now, ident.Chat, small, 0.8)
	old := e.Estimate(now.Add(10*ratingHalfLife), ident.Chat, small, 0.8)
	if fresh.Mean < 0.94 || fresh.RatingWeight < 95 || fresh.LowerBound < 0.93 {
		t.Errorf("got %+v after 100 ratings of 0.95", fresh)
	}
	if old.Mean != fresh.Mean || old.RatingWeight > 1 || old.LowerBound >= fresh.LowerBound {
		t.Errorf("got %+v after a long time, want the same mean, less certain than %+v", old, fresh)
	}
	if other := e.Estimate(now, ident.Report, small, 0.8); other != prior {
		t.Errorf("got %+v for another kind, want the prior %+v", other, prior)
	}
	e.AddRating(epoch, ident.Chat, small, 7) // late and out of range
	if got := e.Estimate(epoch, ident.Chat, small, 9); got.Mean > 1 || got.LowerBound < 0 {
		t.Errorf("got %+v, want it clipped to 0..1", got)
	}
}

func TestPlanCascade(t *testing.T) {
	step := func(cost ident.Cost, mean, low ident.Quality, rated ident.Share) CascadeStep {
		return CascadeStep{Cost: cost, Quality: QualityEstimate{Mean: mean, LowerBound: low, StdDev: 0.1}, TimelyRatingShare: rated}
	}
	const target = 0.9
	strong := step(10, 0.95, 0.94, 0)
	for name, test := range map[string]struct {
		steps []CascadeStep
		want  CascadePlan
	}{
		"no steps":               {nil, CascadePlan{-1, false, 0, ReasonNone}},
		"one weak step":          {[]CascadeStep{step(1, 0.5, 0.4, 0)}, CascadePlan{0, false, 1, ReasonLastStep}},
		"sure":                   {[]CascadeStep{step(1, 0.93, 0.91, 0), strong}, CascadePlan{0, false, 1, ReasonSure}},
		"likely, no ratings":     {[]CascadeStep{step(1, 0.93, 0.8, 0), strong}, CascadePlan{0, true, 1, ReasonLikely}},
		"below, no ratings":      {[]CascadeStep{step(1, 0.85, 0.8, 0), strong}, CascadePlan{1, false, 10, ReasonStrongerStep}},
		"below, at the mean":     {[]CascadeStep{step(1, 0.9-1e-9, 0.8, 1), strong}, CascadePlan{0, true, 6, ReasonCheaperStep}},
		"far below":              {[]CascadeStep{step(1, 0.5, 0.4, 1), strong}, CascadePlan{1, false, 10, ReasonStrongerStep}},
		"cheap model costs more": {[]CascadeStep{step(20, 0.95, 0.94, 0), strong}, CascadePlan{1, false, 10, ReasonStrongerStep}},
		"the middle is enough": {
			[]CascadeStep{step(1, 0.5, 0.4, 0), step(3, 0.93, 0.92, 0), strong}, CascadePlan{1, false, 3, ReasonStrongerStep},
		},
	} {
		got := PlanCascade(test.steps, target)
		got.Cost = ident.Cost(math.Round(float64(got.Cost)*1e6) / 1e6)
		if got != test.want {
			t.Errorf("%s: got %+v, want %+v", name, got, test.want)
		}
		if p := ExploreCheaper(1, got, test.steps, target); p.StartStep < got.StartStep-1 {
			t.Errorf("%s: explored %+v", name, p)
		}
	}
}

func TestKeepAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		rating Rating
		est    QualityEstimate
		want   bool
		reason Reason
	}{
		"rated good":    {Rating{true, 0.9}, QualityEstimate{}, true, ReasonRated},
		"rated bad":     {Rating{true, 0.7}, QualityEstimate{Mean: 1, LowerBound: 1}, false, ReasonRated},
		"unrated, sure": {Rating{}, QualityEstimate{Mean: 0.9, LowerBound: 0.85}, true, ReasonSure},
		"likely":        {Rating{}, QualityEstimate{Mean: 0.85, LowerBound: 0.5}, true, ReasonLikely},
		"unknown":       {Rating{}, QualityEstimate{}, false, ReasonBelowTarget},
	} {
		if got, reason := KeepAnswer(test.rating, test.est, 0.8); got != test.want || reason != test.reason {
			t.Errorf("%s: got %v %s, want %v %s", name, got, reason, test.want, test.reason)
		}
	}
}

func TestJudge(t *testing.T) {
	stats := func(n, failures, slow, rated int64, quality float64) Stats {
		q := float64(rated) * quality
		return Stats{Answers: n, Failures: failures, SlowAnswers: slow, RatingCount: rated, RatingSum: q, RatingSquareSum: q*quality + float64(rated)*0.01}
	}
	base := stats(100_000, 500, 2000, 10_000, 0.9)
	for name, test := range map[string]struct {
		base, next Stats
		want       Verdict
		reason     Reason
	}{
		"no answers":          {Stats{}, Stats{}, Continue, ReasonFailures},
		"no base":             {Stats{}, stats(100, 100, 100, 0, 0), Continue, ReasonFailures},
		"one failure":         {base, stats(1, 1, 0, 0, 0), Continue, ReasonFailures},
		"fails always":        {base, stats(5, 5, 0, 0, 0), Halt, ReasonFailures},
		"slow":                {base, stats(200, 1, 40, 0, 0), Halt, ReasonSlowness},
		"poor":                {base, stats(1000, 5, 20, 100, 0.6), Halt, ReasonRatings},
		"as good":             {base, stats(10_000, 50, 200, 1000, 0.9), Advance, ReasonSafe},
		"better":              {base, stats(10_000, 0, 0, 1000, 0.98), Advance, ReasonSafe},
		"a little worse":      {base, stats(10_000, 60, 220, 1000, 0.899), Advance, ReasonSafe},
		"no ratings":          {base, stats(10_000, 50, 200, 0, 0), Continue, ReasonRatings},
		"impossible sums":     {base, Stats{Answers: 10, Failures: 20}, Continue, ReasonFailures},
		"base fails as often": {stats(100, 100, 0, 0, 0), stats(100, 100, 0, 0, 0), Continue, ReasonFailures},
		"perfect base, first failures": {
			stats(100_000, 0, 0, 10_000, 1), stats(100, 1, 0, 10, 1), Continue, ReasonFailures,
		},
	} {
		if got, reason := Judge(test.base, test.next); got != test.want || reason != test.reason {
			t.Errorf("%s: got %v %s, want %v %s", name, got, reason, test.want, test.reason)
		}
		if got, _ := JudgeStep(-1, test.base, test.next); got == Halt && test.want != Halt {
			t.Errorf("%s: JudgeStep halts although Judge does not", name)
		}
	}
}
