package policy

import "math"

// Stats sums up what was seen of one version during a roll-out.
type Stats struct {
	// Answers counts finished attempts, Failures the failed ones and SlowAnswers the
	// ones over the latency limit of their kind.
	Answers, Failures, SlowAnswers int64
	// RatingCount counts answers with a rating.
	RatingCount int64
	// RatingSum is the sum of the ratings, RatingSquareSum the sum of their squares.
	RatingSum, RatingSquareSum float64
}

// Add returns the sum of two Stats.
func (s Stats) Add(o Stats) Stats {
	return Stats{
		Answers:         s.Answers + o.Answers,
		Failures:        s.Failures + o.Failures,
		SlowAnswers:     s.SlowAnswers + o.SlowAnswers,
		RatingCount:     s.RatingCount + o.RatingCount,
		RatingSum:       s.RatingSum + o.RatingSum,
		RatingSquareSum: s.RatingSquareSum + o.RatingSquareSum,
	}
}

// Sub returns what was seen since an earlier sum.
func (s Stats) Sub(o Stats) Stats {
	return Stats{
		Answers:         s.Answers - o.Answers,
		Failures:        s.Failures - o.Failures,
		SlowAnswers:     s.SlowAnswers - o.SlowAnswers,
		RatingCount:     s.RatingCount - o.RatingCount,
		RatingSum:       s.RatingSum - o.RatingSum,
		RatingSquareSum: s.RatingSquareSum - o.RatingSquareSum,
	}
}

// Verdict is the outcome of a look at a roll-out.
type Verdict uint8

// Verdicts of Judge.
const (
	// Continue asks for more answers.
	Continue Verdict = iota
	// Advance allows the next step.
	Advance
	// Halt stops the roll-out.
	Halt
)

const (
	// haltError bounds the probability that a roll-out of a version that is
	// no worse is ever halted, however often Judge looks.
	haltError = 0.01
	// baseError is the part of a test's error that goes to the uncertainty
	// about the base version. It is small because the base has most of the
	// answers, so a wide bound costs little.
	baseError = 0.1
	// advanceError bounds the error that a step is called safe.
	advanceError = 0.05
	// tests is the number of measures.
	tests = 3
)

// measure is a mean of values from 0 to 1, of which more is worse.
type measure struct {
	reason Reason
	// part of the error: ratings are scarce, so their test gets most of it.
	part float64
	// ignore is the difference that does not halt, since versions are never
	// quite equal.
	ignore float64
	// accept is the largest difference at which the next step is safe.
	accept     float64
	base, next sums
}

// Judge compares a version under trial with its base. It may be called on the
// growing sums as often as wanted: Halt comes with a probability of at most
// 1 % over a whole roll-out if the version is no worse than its base. Advance
// tells that each measure is known to be worse by no more than its tolerance.
// Without ratings of both versions it never says Advance, because nothing is
// known about the quality.
//
// The sums of several steps mix times with different shares. If the conditions
// change in between, for example by heat, the base has more of the good times
// and the trial more of the bad ones. JudgeStep avoids that.
func Judge(base, next Stats) (Verdict, Reason) { return judge(base, next, haltError) }

// JudgeStep is Judge on the sums since a step of the roll-out began (see Sub),
// steps counted from 0. The steps divide the error of 1 %: step k gets
// 6/(pi*(k+1))^2 of it, which adds up to 1 for any number of steps.
func JudgeStep(step int, base, next Stats) (Verdict, Reason) {
	k := math.Pi * float64(max(0, step)+1)
	return judge(base, next, haltError*6/(k*k))
}

// JudgeServiceRollout is Judge for the roll-out of a version of a service within
// seconds: it says Halt only for a failure or slowness rate that is worse by
// more than a fault of single backend servers usually makes it, and never
// says Advance.
func JudgeServiceRollout(base, next Stats) (Verdict, Reason) {
	const (
		// ignore is the share that one backend server out of ten, half of
		// whose answers fail, adds to a version's failures; ignoreSlow is above what cold
		// caches add to its slow answers.
		ignore     = 0.05
		ignoreSlow = 0.12
		// level bounds the error for each route of a service.
		level = 0.01
	)
	for _, m := range []measure{
		{ReasonFailures, 0.5, ignore, 0, count(base.Failures, base.Answers), count(next.Failures, next.Answers)},
		{ReasonSlowness, 0.5, ignoreSlow, 0, count(base.SlowAnswers, base.Answers), count(next.SlowAnswers, next.Answers)},
	} {
		if m.harmful(level * m.part) {
			return Halt, m.reason
		}
	}
	return Continue, ReasonSafe
}

// IsSuspect tells whether too little is known of a version, or too much against
// it, to let it take all traffic of a route. It asks for less evidence than
// JudgeShift: a roll-out that is late costs less than a bad version in use.
func IsSuspect(base, next Stats) bool {
	const (
		// busy is the number of answers of the base from which the version
		// must have had some too.
		busy = 40
		// few answers of the version show nothing.
		few = 4
		// worse is the difference of the failure rates that is suspicious,
		// from two failures on.
		worse = 0.1
		// slower is that of the rates of slow answers, from four on.
		slower = 0.3
	)
	if next.Answers < few {
		return base.Answers >= busy
	}
	rate := func(n, of int64) float64 { return float64(n) / float64(max(1, of)) }
	return next.Failures >= 2 && rate(next.Failures, next.Answers) > rate(base.Failures, base.Answers)+worse ||
		next.SlowAnswers >= 4 && rate(next.SlowAnswers, next.Answers) > rate(base.SlowAnswers, base.Answers)+slower
}

func judge(base, next Stats, level float64) (Verdict, Reason) {
	list := measures(base, next)
	for i := range list {
		if list[i].harmful(level * list[i].part) {
			return Halt, list[i].reason
		}
	}
	for i := range list {
		if !list[i].harmless(advanceError / 2) {
			return Continue, list[i].reason
		}
	}
	return Advance, ReasonSafe
}

func measures(base, next Stats) [tests]measure {
	return [tests]measure{
		{ReasonFailures, 0.2, 0.002, 0.02, count(base.Failures, base.Answers), count(next.Failures, next.Answers)},
		{ReasonSlowness, 0.2, 0.01, 0.05, count(base.SlowAnswers, base.Answers), count(next.SlowAnswers, next.Answers)},
		{ReasonRatings, 0.6, 0.005, 0.05, base.faults(), next.faults()},
	}
}

// harmful tests whether the mean of next is above an upper bound of that of
// base, by a test martingale against each. The first comparison is with the
// mean of base itself: it is cheap, and nearly always enough.
func (m *measure) harmful(level float64) bool {
	if !m.base.valid() || !m.next.valid() {
		return false
	}
	need := math.Log(1 / (level * (1 - baseError)))
	if m.next.above(m.base.mean()+m.ignore) < need {
		return false
	}
	return m.next.above(m.base.upper(level*baseError)+m.ignore) >= need
}

// harmless tests whether next is above base by less than accept.
func (m *measure) harmless(level float64) bool {
	if !m.base.valid() || !m.next.valid() {
		return false
	}
	if m.next.below(m.base.mean()+m.accept) < math.Log(1/level) {
		return false
	}
	return m.next.upper(level) <= m.base.lower(level)+m.accept
}

// sums of n values from 0 to 1.
type sums struct {
	n, sum, squares float64
	// binary tells that the values are 0 or 1.
	binary bool
}

func (s sums) mean() float64 { return min(1, max(0, s.sum/s.n)) }

func count(bad, all int64) sums {
	return sums{float64(all), float64(bad), float64(bad), true}
}

// faults turns ratings into values of which more is worse.
func (s Stats) faults() sums {
	n := float64(s.RatingCount)
	return sums{n, n - s.RatingSum, n - 2*s.RatingSum + s.RatingSquareSum, false}
}

// valid guards against sums that no values from 0 to 1 can have, for example
// from a damaged tally. The slack allows for rounding.
func (s sums) valid() bool {
	const slack = 1e-6
	room := slack * (1 + s.n)
	return s.n > 0 && s.sum >= -room && s.sum <= s.n+room && s.squares <= s.sum+room && s.squares >= -room
}

// above returns the logarithm of a test martingale against "the mean is at
// most m": its expectation is at most 1 at every time, so it exceeds 1/error
// ever with a probability of at most error (Ville's inequality). It is a mean of
// the martingales of a grid of parameters of two families:
//
//   - for values that are 0 or 1, the likelihood ratio of a larger mean q to m;
//     by convexity it holds for all values from 0 to 1, and for values that are
//     0 or 1 it is used alone;
//   - exp(a*x - psi(a)*x*x) with x = (value-m)/m and psi(a) = -ln(1-a)-a (Fan,
//     Grama and Liu 2015), which gains from a small variance.
func (s sums) above(m float64) float64 {
	if m <= 0 {
		if s.sum > 0 {
			return math.Inf(1)
		}
		return 0
	}
	if m >= 1 {
		return 0
	}
	var logs [2 * gridSize]float64
	squares := max(0, s.squares-2*m*s.sum+s.n*m*m) / (m * m)
	excess := (s.sum - s.n*m) / m
	for i, a := range grid {
		q := m + (1-m)*a
		logs[i] = s.sum*math.Log(q/m) + (s.n-s.sum)*math.Log((1-q)/(1-m))
		logs[gridSize+i] = a*excess + (math.Log1p(-a)+a)*squares
	}
	ratio := logMean(logs[:gridSize])
	if s.binary {
		return ratio
	}
	return logSum(math.Log(ratioWeight)+ratio, math.Log(1-ratioWeight)+logMean(logs[gridSize:]))
}

// below is the mirror image: the mean is at least m.
func (s sums) below(m float64) float64 {
	return sums{s.n, s.n - s.sum, s.n - 2*s.sum + s.squares, s.binary}.above(1 - m)
}

// ratioWeight is the weight of the likelihood ratio for ratings: enough to
// follow a service that rates only good or bad.
const ratioWeight = 0.2

// grid spreads the parameters geometrically, since neither the size of the
// harm nor the number of values is known beforehand.
var grid = [gridSize]float64{0.5, 0.3, 0.15, 0.08, 0.04, 0.015}

const gridSize = 6

// upper is an upper confidence bound of the mean that holds at all times at
// once: the least m that below refutes.
func (s sums) upper(level float64) float64 {
	return s.search(s.mean(), 1, func(m float64) bool { return s.below(m) >= math.Log(1/level) })
}

// lower is a lower confidence bound that holds at all times at once.
func (s sums) lower(level float64) float64 {
	return s.search(s.mean(), 0, func(m float64) bool { return s.above(m) >= math.Log(1/level) })
}

// search halves the interval between the mean and a limit; refuted is false
// at the mean and stays true once it is true.
func (s sums) search(mean, limit float64, refuted func(float64) bool) float64 {
	for range 30 {
		middle := (mean + limit) / 2
		if refuted(middle) {
			limit = middle
		} else {
			mean = middle
		}
	}
	return limit
}

// logMean returns the logarithm of the mean of the exponentials.
func logMean(logs []float64) float64 {
	sum := logs[0]
	for _, l := range logs[1:] {
		sum = logSum(sum, l)
	}
	return sum - math.Log(float64(len(logs)))
}

// logSum returns the logarithm of the sum of two exponentials.
func logSum(a, b float64) float64 {
	a, b = max(a, b), min(a, b)
	return a + math.Log1p(math.Exp(b-a))
}
