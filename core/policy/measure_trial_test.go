package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// behaviour is what one version does to its callers.
type behaviour struct {
	failing, slow, quality float64
}

// rollout is a rig of one roll-out looked at every second.
type rollout struct {
	rng        *rand.Rand
	good, bad  behaviour
	rated      float64 // share of answers that are rated
	late       int     // seconds until a rating comes
	drift      func(second int) float64
	base, next Stats
	due        map[int][2]Stats
	exposed    int
}

const (
	requestRate = 50 // per second
	// fixedTime is the time that a fixed canary runs before it is judged.
	fixedTime  = 600 // seconds
	fixedShare = 0.05
)

var healthy = behaviour{failing: 0.01, slow: 0.02, quality: 0.9}

// second serves the requests of one second.
func (r *rollout) second(now int, share float64) {
	if r.due == nil {
		r.due = map[int][2]Stats{}
	}
	for range requestRate {
		b, s, side := r.good, &r.base, 0
		if r.rng.Float64() < share {
			b, s, side = r.bad, &r.next, 1
			r.exposed++
		}
		s.Answers++
		load := 1.0
		if r.drift != nil {
			load = r.drift(now)
		}
		if r.rng.Float64() < b.failing*load {
			s.Failures++
		}
		if r.rng.Float64() < b.slow*load {
			s.SlowAnswers++
		}
		if r.rng.Float64() < r.rated {
			// Skewed to the left: most answers are good, a few very bad.
			q := max(0, 1-0.5*(1-b.quality)-r.rng.ExpFloat64()*(1-b.quality)/2)
			d := r.due[now+r.late]
			d[side] = d[side].Add(Stats{RatingCount: 1, RatingSum: q, RatingSquareSum: q * q})
			r.due[now+r.late] = d
		}
	}
	d := r.due[now]
	delete(r.due, now)
	r.base, r.next = r.base.Add(d[0]), r.next.Add(d[1])
}

// judged runs the steps of a roll-out by Judge and returns whether it halted.
func (r *rollout) judged(length int, whole bool) bool {
	steps := []float64{0.01, 0.05, 0.25, 0.5}
	step, since := 0, 0
	var base, next Stats // at the start of the step
	for now := range length {
		r.second(now, steps[step])
		v, _ := JudgeStep(step, r.base.Sub(base), r.next.Sub(next))
		if whole {
			v, _ = Judge(r.base, r.next)
		}
		switch {
		case v == Halt:
			return true
		case v == Advance && step < len(steps)-1 && now-since >= 60:
			step, since = step+1, now
			base, next = r.base, r.next
		}
	}
	return false
}

// canary serves a fixed share for a fixed time and compares once.
func (r *rollout) canary() bool {
	for now := range fixedTime {
		r.second(now, fixedShare)
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
	v := m.base.squares/m.base.n - p*p
	return (q - p) / math.Sqrt(v/m.base.n+v/m.next.n)
}

func TestMeasureExposure(t *testing.T) {
	bads := map[string]behaviour{
		"failing": {0.08, 0.02, 0.9},
		"slow":    {0.01, 0.15, 0.9},
		"poor":    {0.01, 0.02, 0.75},
		"broken":  {0.5, 0.02, 0.9},
	}
	var r results
	r.seeds(8, 100, func(seed uint64, r *results) {
		for name, bad := range bads {
			rig := func() *rollout {
				return &rollout{rng: rand.New(rand.NewPCG(seed, 3)), good: healthy, bad: bad, rated: 0.1, late: 30}
			}
			ours, fixed := rig(), rig()
			halted := ours.judged(3*fixedTime, false)
			fixed.canary()
			r.add("exposure_"+name, "judge", "answers", float64(ours.exposed))
			r.add("exposure_"+name, "canary", "answers", float64(fixed.exposed))
			r.add("exposure_ratio_"+name, "judge", "ratio", float64(ours.exposed)/float64(fixed.exposed))
			r.add("halted_"+name, "judge", "share", truth(halted))
		}
	})
	for name := range bads {
		atMost(t, "exposure of "+name, r.median("exposure_ratio_"+name, "judge", "ratio"), 0.25)
		if halted := r.median("halted_"+name, "judge", "share"); halted != 1 {
			t.Errorf("%s: not halted", name)
		}
	}
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func TestMeasureFalseHalts(t *testing.T) {
	hot := func(second int) float64 { // the room overheats in the second half hour
		if second < 1500 {
			return 1
		}
		return 5
	}
	var r results
	var halts [4]results
	r.seeds(8, 1000, func(seed uint64, _ *results) {
		rig := func(drift func(int) float64) *rollout {
			return &rollout{rng: rand.New(rand.NewPCG(seed, 5)), good: healthy, bad: healthy, rated: 0.1, late: 30, drift: drift}
		}
		halts[0].add("", "", "", truth(rig(nil).judged(3600, false)))
		halts[1].add("", "", "", truth(rig(nil).canary()))
		halts[2].add("", "", "", truth(rig(hot).judged(3600, false)))
		halts[3].add("", "", "", truth(rig(hot).judged(3600, true)))
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

// BenchmarkJudge is the cost of one look; the leader takes one each second.
func BenchmarkJudge(b *testing.B) {
	base := Stats{Answers: 100_000, Failures: 1000, SlowAnswers: 2000, RatingCount: 10_000, RatingSum: 9000, RatingSquareSum: 8200}
	next := Stats{Answers: 1000, Failures: 12, SlowAnswers: 22, RatingCount: 100, RatingSum: 89, RatingSquareSum: 81}
	for b.Loop() {
		Judge(base, next)
	}
}
