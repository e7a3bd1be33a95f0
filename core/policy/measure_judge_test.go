package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// versionBehaviour describes the answers of one version by the rates of failures
// and of slow answers and the mean rating.
type versionBehaviour struct {
	failing, slow, quality float64
}

// rolloutRig simulates one rollout that is judged every second.
type rolloutRig struct {
	rng            *rand.Rand
	good, trial    versionBehaviour
	ratedShare     float64                  // share of answers that are rated
	ratingDelay    int                      // seconds until a rating comes
	drift          func(second int) float64 // factor of the rates of failures and slow answers
	base, next     Stats
	pendingRatings map[int][2]Stats // by the second in which they come
	exposed        int              // requests to the version under trial
}

const (
	requestsPerSecond = 50
	// canarySeconds is how long a canary of canaryShare runs before it is judged.
	canarySeconds = 600
	canaryShare   = 0.05
)

var healthy = versionBehaviour{failing: 0.01, slow: 0.02, quality: 0.9}

// serveSecond serves the requests of one second.
func (r *rolloutRig) serveSecond(now int, share float64) {
	if r.pendingRatings == nil {
		r.pendingRatings = map[int][2]Stats{}
	}
	for range requestsPerSecond {
		b, s, version := r.good, &r.base, 0
		if r.rng.Float64() < share {
			b, s, version = r.trial, &r.next, 1
			r.exposed++
		}
		s.Answers++
		factor := 1.0
		if r.drift != nil {
			factor = r.drift(now)
		}
		if r.rng.Float64() < b.failing*factor {
			s.Failures++
		}
		if r.rng.Float64() < b.slow*factor {
			s.SlowAnswers++
		}
		if r.rng.Float64() < r.ratedShare {
			// Skewed to the left: most answers are good, a few are very bad.
			q := max(0, 1-0.5*(1-b.quality)-r.rng.ExpFloat64()*(1-b.quality)/2)
			d := r.pendingRatings[now+r.ratingDelay]
			d[version] = d[version].Add(Stats{RatingCount: 1, RatingSum: q, RatingSquareSum: q * q})
			r.pendingRatings[now+r.ratingDelay] = d
		}
	}
	d := r.pendingRatings[now]
	delete(r.pendingRatings, now)
	r.base, r.next = r.base.Add(d[0]), r.next.Add(d[1])
}

// runSteps runs the steps of a rollout and reports whether it halted. It uses
// JudgeStep, or Judge on the sums of all steps if wholeSums is set.
func (r *rolloutRig) runSteps(length int, wholeSums bool) bool {
	steps := []float64{0.01, 0.05, 0.25, 0.5}
	step, stepBegan := 0, 0
	var base, next Stats // at the start of the step
	for now := range length {
		r.serveSecond(now, steps[step])
		v, _ := JudgeStep(step, r.base.Sub(base), r.next.Sub(next))
		if wholeSums {
			v, _ = Judge(r.base, r.next)
		}
		switch {
		case v == Halt:
			return true
		case v == Advance && step < len(steps)-1 && now-stepBegan >= 60:
			step, stepBegan = step+1, now
			base, next = r.base, r.next
		}
	}
	return false
}

// runCanary serves a fixed share for a fixed time, compares once and reports
// whether the version under trial is worse.
func (r *rolloutRig) runCanary() bool {
	for now := range canarySeconds {
		r.serveSecond(now, canaryShare)
	}
	for _, m := range measures(r.base, r.next) {
		if zScore(m) > 2.33 {
			return true
		}
	}
	return false
}

func zScore(m measure) float64 {
	if m.base.n == 0 || m.next.n == 0 {
		return 0
	}
	p, q := m.base.sum/m.base.n, m.next.sum/m.next.n
	v := m.base.squareSum/m.base.n - p*p
	return (q - p) / math.Sqrt(v/m.base.n+v/m.next.n)
}

func TestMeasureExposure(t *testing.T) {
	worse := map[string]versionBehaviour{
		"failing": {0.08, 0.02, 0.9},
		"slow":    {0.01, 0.15, 0.9},
		"poor":    {0.01, 0.02, 0.75},
		"broken":  {0.5, 0.02, 0.9},
	}
	var r results
	r.seeds(8, 100, func(seed uint64, r *results) {
		for name, bad := range worse {
			rig := func() *rolloutRig {
				return &rolloutRig{rng: rand.New(rand.NewPCG(seed, 3)), good: healthy, trial: bad, ratedShare: 0.1, ratingDelay: 30}
			}
			ours, fixed := rig(), rig()
			halted := ours.runSteps(3*canarySeconds, false)
			fixed.runCanary()
			r.add("exposure_"+name, "judge", "answers", float64(ours.exposed))
			r.add("exposure_"+name, "canary", "answers", float64(fixed.exposed))
			r.add("exposure_ratio_"+name, "judge", "ratio", float64(ours.exposed)/float64(fixed.exposed))
			r.add("halted_"+name, "judge", "share", boolToFloat(halted))
		}
	})
	for name := range worse {
		atMost(t, "exposure of "+name, r.median("exposure_ratio_"+name, "judge", "ratio"), 0.25)
		if halted := r.median("halted_"+name, "judge", "share"); halted != 1 {
			t.Errorf("%s: not halted", name)
		}
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func TestMeasureFalseHalts(t *testing.T) {
	overheating := func(second int) float64 { // heat raises the rates fivefold from minute 25
		if second < 1500 {
			return 1
		}
		return 5
	}
	var r results
	var halts [4]results
	r.seeds(8, 1000, func(seed uint64, _ *results) {
		rig := func(drift func(int) float64) *rolloutRig {
			return &rolloutRig{rng: rand.New(rand.NewPCG(seed, 5)), good: healthy, trial: healthy, ratedShare: 0.1, ratingDelay: 30, drift: drift}
		}
		halts[0].add("", "", "", boolToFloat(rig(nil).runSteps(3600, false)))
		halts[1].add("", "", "", boolToFloat(rig(nil).runCanary()))
		halts[2].add("", "", "", boolToFloat(rig(overheating).runSteps(3600, false)))
		halts[3].add("", "", "", boolToFloat(rig(overheating).runSteps(3600, true)))
	})
	names := []string{"judge", "canary", "judge_hot", "judge_hot_whole_sums"}
	for i, name := range names {
		for _, v := range halts[i].values {
			r.add("false_halts", name, "share", mean(v))
			if name == "judge" || name == "judge_hot" {
				atMost(t, name, mean(v), 0.01)
			}
		}
	}
	r.print()
}

// BenchmarkJudge measures one call of Judge; the leader makes one each second.
func BenchmarkJudge(b *testing.B) {
	base := Stats{Answers: 100_000, Failures: 1000, SlowAnswers: 2000, RatingCount: 10_000, RatingSum: 9000, RatingSquareSum: 8200}
	next := Stats{Answers: 1000, Failures: 12, SlowAnswers: 22, RatingCount: 100, RatingSum: 89, RatingSquareSum: 81}
	for b.Loop() {
		Judge(base, next)
	}
}
