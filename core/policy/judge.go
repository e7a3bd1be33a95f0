package policy

import "math"

// Stats sums up the answers of one version during a rollout.
type Stats struct {
	// Answers counts finished attempts, Failures the failed ones and SlowAnswers
	// the ones over the latency limit of their kind.
	Answers, Failures, SlowAnswers int64
	// RatingCount counts answers with a rating.
	RatingCount int64
	// RatingSum is the sum of the ratings, RatingSquareSum that of their squares.
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

// Sub returns the Stats since an earlier sum.
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

// Verdict is the result of judging a rollout.
type Verdict uint8

// Verdicts of Judge.
const (
	// Continue asks for more answers.
	Continue Verdict = iota
	// Advance allows the next step.
	Advance
	// Halt stops the rollout.
	Halt
)

const (
	// falseHaltRate bounds the probability that a rollout of a version that is
	// no worse is ever halted, however often Judge is called.
	falseHaltRate = 0.01
	// baseErrorShare is the part of a test's error that goes to the uncertainty
	// about the base version. It is small because the base has most of the
	// answers, so a wide bound costs little.
	baseErrorShare = 0.1
	// falseAdvanceRate bounds the probability that a step is wrongly called safe.
	falseAdvanceRate = 0.05
	// measureCount is the number of measures that Judge compares.
	measureCount = 3
)

// measure is a mean of values from 0 to 1, of which more is worse.
type measure struct {
	reason Reason
	// errorShare is the part of the error probability that the test of this
	// measure gets: ratings are scarce, so their test gets most of it.
	errorShare float64
	// ignoredDifference does not halt, since versions are never quite equal.
	ignoredDifference float64
	// acceptedDifference is the largest one at which the next step is safe.
	acceptedDifference float64
	base, next         sums
}

// Judge compares a version under trial with its base. It may be called on the
// growing sums as often as wanted: Halt comes with a probability of at most
// 1 % over a whole rollout if the version is no worse than its base. Advance
// means that each measure is known to be worse by no more than its tolerance.
// Without ratings of both versions it never returns Advance, because nothing is
// known about the quality.
//
// The sums of several steps mix times with different shares. If the conditions
// change in between, for example by heat, the base has more of the good times
// and the trial more of the bad ones. JudgeStep avoids that.
func Judge(base, next Stats) (Verdict, Reason) { return judge(base, next, falseHaltRate) }

// JudgeStep is Judge on the sums since a step of the rollout began (see Sub),
// steps counted from 0. The steps divide the error of 1 %: step k gets
// 6/(pi*(k+1))^2 of it, which adds up to 1 for any number of steps.
func JudgeStep(step int, base, next Stats) (Verdict, Reason) {
	k := math.Pi * float64(max(0, step)+1)
	return judge(base, next, falseHaltRate*6/(k*k))
}

// JudgeServiceRollout is Judge for the rollout of a version of a service within
// seconds. It returns Halt only for a rate of failures or slow answers that is
// worse by more than a fault of single backend servers usually makes it, and
// never returns Advance.
func JudgeServiceRollout(base, next Stats) (Verdict, Reason) {
	const (
		// ignoredFailures is the share that one backend server out of ten, half of
		// whose answers fail, adds to a version's failures; ignoredSlowness is
		// above what cold caches add to its slow answers.
		ignoredFailures = 0.05
		ignoredSlowness = 0.12
		// errorRate bounds the error for each route of a service.
		errorRate = 0.01
	)
	for _, m := range []measure{
		{ReasonFailures, 0.5, ignoredFailures, 0, binarySums(base.Failures, base.Answers), binarySums(next.Failures, next.Answers)},
		{ReasonSlowness, 0.5, ignoredSlowness, 0, binarySums(base.SlowAnswers, base.Answers), binarySums(next.SlowAnswers, next.Answers)},
	} {
		if m.provedWorse(errorRate * m.errorShare) {
			return Halt, m.reason
		}
	}
	return Continue, ReasonSafe
}

// IsSuspect reports whether too little is known of a version, or too much
// against it, to let it take all traffic of a route. It asks for less evidence
// than JudgeServiceRollout: a rollout that is late costs less than a bad version
// in use.
func IsSuspect(base, next Stats) bool {
	const (
		// minBaseAnswers is the number of answers of the base from which a version
		// with too few answers is suspect.
		minBaseAnswers = 40
		// minNextAnswers is the number of answers of the version below which they
		// show nothing.
		minNextAnswers = 4
		// failureDifference is the difference of the failure rates that is
		// suspicious, from two failures on.
		failureDifference = 0.1
		// slownessDifference is that of the rates of slow answers, from four on.
		slownessDifference = 0.3
	)
	if next.Answers < minNextAnswers {
		return base.Answers >= minBaseAnswers
	}
	rate := func(n, of int64) float64 { return float64(n) / float64(max(1, of)) }
	return next.Failures >= 2 && rate(next.Failures, next.Answers) > rate(base.Failures, base.Answers)+failureDifference ||
		next.SlowAnswers >= 4 && rate(next.SlowAnswers, next.Answers) > rate(base.SlowAnswers, base.Answers)+slownessDifference
}

func judge(base, next Stats, errorRate float64) (Verdict, Reason) {
	list := measures(base, next)
	for i := range list {
		if list[i].provedWorse(errorRate * list[i].errorShare) {
			return Halt, list[i].reason
		}
	}
	for i := range list {
		if !list[i].provedAcceptable(falseAdvanceRate / 2) {
			return Continue, list[i].reason
		}
	}
	return Advance, ReasonSafe
}

func measures(base, next Stats) [measureCount]measure {
	return [measureCount]measure{
		{ReasonFailures, 0.2, 0.002, 0.02, binarySums(base.Failures, base.Answers), binarySums(next.Failures, next.Answers)},
		{ReasonSlowness, 0.2, 0.01, 0.05, binarySums(base.SlowAnswers, base.Answers), binarySums(next.SlowAnswers, next.Answers)},
		{ReasonRatings, 0.6, 0.005, 0.05, base.ratingShortfalls(), next.ratingShortfalls()},
	}
}

// provedWorse tests whether the mean of next is above an upper bound of that of
// base, by a test martingale against each. The first comparison is with the
// mean of base itself: it is cheap, and nearly always enough.
func (m *measure) provedWorse(errorRate float64) bool {
	if !m.base.valid() || !m.next.valid() {
		return false
	}
	need := math.Log(1 / (errorRate * (1 - baseErrorShare)))
	if m.next.logEvidenceAbove(m.base.mean()+m.ignoredDifference) < need {
		return false
	}
	return m.next.logEvidenceAbove(m.base.upperBound(errorRate*baseErrorShare)+m.ignoredDifference) >= need
}

// provedAcceptable tests whether the mean of next is above that of base by less
// than acceptedDifference.
func (m *measure) provedAcceptable(errorRate float64) bool {
	if !m.base.valid() || !m.next.valid() {
		return false
	}
	if m.next.logEvidenceBelow(m.base.mean()+m.acceptedDifference) < math.Log(1/errorRate) {
		return false
	}
	return m.next.upperBound(errorRate) <= m.base.lowerBound(errorRate)+m.acceptedDifference
}

// sums of n values from 0 to 1.
type sums struct {
	n, sum, squareSum float64
	// binary is set if each value is 0 or 1.
	binary bool
}

func (s sums) mean() float64 { return min(1, max(0, s.sum/s.n)) }

// binarySums returns the sums of values that are 1 for bad answers and 0 for
// the others.
func binarySums(bad, all int64) sums {
	return sums{float64(all), float64(bad), float64(bad), true}
}

// ratingShortfalls returns the sums of 1-rating, of which more is worse.
func (s Stats) ratingShortfalls() sums {
	n := float64(s.RatingCount)
	return sums{n, n - s.RatingSum, n - 2*s.RatingSum + s.RatingSquareSum, false}
}

// valid guards against sums that no values from 0 to 1 can have, for example
// from a damaged tally. The tolerance allows for rounding.
func (s sums) valid() bool {
	const rounding = 1e-6
	tolerance := rounding * (1 + s.n)
	return s.n > 0 && s.sum >= -tolerance && s.sum <= s.n+tolerance && s.squareSum <= s.sum+tolerance && s.squareSum >= -tolerance
}

// logEvidenceAbove returns the logarithm of a test martingale against "the mean
// is at most m": its expectation is at most 1 at every time, so the probability
// that it ever exceeds 1/error is at most error (Ville's inequality). It is a
// mean of the martingales of a grid of parameters of two families:
//
//   - for values that are 0 or 1, the likelihood ratio of a larger mean q to m;
//     by convexity it holds for all values from 0 to 1, and for values that are
//     0 or 1 it is used alone;
//   - exp(a*x - psi(a)*x*x) with x = (value-m)/m and psi(a) = -ln(1-a)-a (Fan,
//     Grama and Liu 2015), which gains from a small variance.
func (s sums) logEvidenceAbove(m float64) float64 {
	if m <= 0 {
		if s.sum > 0 {
			return math.Inf(1)
		}
		return 0
	}
	if m >= 1 {
		return 0
	}
	var logs [2 * parameterCount]float64
	squares := max(0, s.squareSum-2*m*s.sum+s.n*m*m) / (m * m)
	excess := (s.sum - s.n*m) / m
	for i, a := range martingaleParameters {
		q := m + (1-m)*a
		logs[i] = s.sum*math.Log(q/m) + (s.n-s.sum)*math.Log((1-q)/(1-m))
		logs[parameterCount+i] = a*excess + (math.Log1p(-a)+a)*squares
	}
	ratio := logMeanExp(logs[:parameterCount])
	if s.binary {
		return ratio
	}
	return logSumExp(math.Log(likelihoodRatioWeight)+ratio, math.Log(1-likelihoodRatioWeight)+logMeanExp(logs[parameterCount:]))
}

// logEvidenceBelow is the mirror image, against "the mean is at least m".
func (s sums) logEvidenceBelow(m float64) float64 {
	return sums{s.n, s.n - s.sum, s.n - 2*s.sum + s.squareSum, s.binary}.logEvidenceAbove(1 - m)
}

// likelihoodRatioWeight is the weight of the likelihood ratio for ratings:
// enough to follow a service that rates only good or bad.
const likelihoodRatioWeight = 0.2

// martingaleParameters are spread geometrically, since neither the size of the
// harm nor the number of values is known beforehand.
var martingaleParameters = [parameterCount]float64{0.5, 0.3, 0.15, 0.08, 0.04, 0.015}

const parameterCount = 6

// upperBound is an upper confidence bound of the mean that holds at all times
// at once: the least m that logEvidenceBelow refutes.
func (s sums) upperBound(errorRate float64) float64 {
	return s.bisect(s.mean(), 1, func(m float64) bool { return s.logEvidenceBelow(m) >= math.Log(1/errorRate) })
}

// lowerBound is a lower confidence bound that holds at all times at once.
func (s sums) lowerBound(errorRate float64) float64 {
	return s.bisect(s.mean(), 0, func(m float64) bool { return s.logEvidenceAbove(m) >= math.Log(1/errorRate) })
}

// bisect halves the interval between the mean and a limit; refuted is false
// at the mean and stays true once it is true.
func (s sums) bisect(mean, limit float64, refuted func(float64) bool) float64 {
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

// logMeanExp returns the logarithm of the mean of the exponentials.
func logMeanExp(logs []float64) float64 {
	sum := logs[0]
	for _, l := range logs[1:] {
		sum = logSumExp(sum, l)
	}
	return sum - math.Log(float64(len(logs)))
}

// logSumExp returns the logarithm of the sum of two exponentials.
func logSumExp(a, b float64) float64 {
	a, b = max(a, b), min(a, b)
	return a + math.Log1p(math.Exp(b-a))
}
