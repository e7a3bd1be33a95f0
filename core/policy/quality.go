package policy

import (
	"math"
	"time"

	"citronledge.example/core/ident"
)

const (
	// ratingHalfLife is the age at which a rating counts half, so that a change
	// of the work or of a model shows within the hour.
	ratingHalfLife = 30 * time.Minute
	// priorWeight is the number of ratings that the operator's figure is worth.
	// It is low because the error of that figure is not known and a few ratings
	// should outweigh it.
	priorWeight = 2
	// priorStdDev is the standard deviation assumed before ratings show it.
	priorStdDev = 0.2
	// lowerBoundDeviations sets the lower bound at about the 5th percentile.
	lowerBoundDeviations = 1.645
)

// QualityEstimate is an expected quality and how certain it is.
type QualityEstimate struct {
	// Mean is the expected rating.
	Mean ident.Quality
	// LowerBound is a lower confidence bound of the mean.
	LowerBound ident.Quality
	// RatingWeight is the number of recent ratings that the estimate rests on,
	// with old ones counted less; 0 means that only the prior is known.
	RatingWeight float64
	// StdDev is the standard deviation of single ratings.
	StdDev float64
}

// QualityEstimator learns the quality of each target by kind of work from
// ratings that may be late, sparse or missing.
type QualityEstimator struct {
	series map[qualityKey]*ratingSeries
}

type qualityKey struct {
	kind   ident.Kind
	target ident.Target
}

// ratingSeries holds sums of ratings whose weights halve with age, as of
// lastRating.
type ratingSeries struct {
	weight, sum, squareSum float64
	lastRating             time.Time
}

// NewQualityEstimator returns a QualityEstimator without ratings.
func NewQualityEstimator() *QualityEstimator {
	return &QualityEstimator{series: map[qualityKey]*ratingSeries{}}
}

// AddRating counts a rating at the time it came. A rating outside 0 to 1 is
// clipped, and one that is not a number is dropped.
func (e *QualityEstimator) AddRating(now time.Time, kind ident.Kind, t ident.Target, q ident.Quality) {
	v := float64(q)
	if math.IsNaN(v) {
		return
	}
	v = min(1, max(0, v))
	key := qualityKey{kind, t}
	r := e.series[key]
	if r == nil {
		r = &ratingSeries{lastRating: now}
		e.series[key] = r
	}
	f := ratingDecay(now.Sub(r.lastRating))
	r.weight = r.weight*f + 1
	r.sum = r.sum*f + v
	r.squareSum = r.squareSum*f + v*v
	if now.After(r.lastRating) {
		r.lastRating = now
	}
}

// ratingDecay is the factor by which weights fall with age.
func ratingDecay(age time.Duration) float64 {
	return math.Exp2(-max(0, float64(age)) / float64(ratingHalfLife))
}

// Estimate combines the prior with the ratings so far. Without new ratings
// the mean stays as it is, while RatingWeight and LowerBound fall with age.
func (e *QualityEstimator) Estimate(now time.Time, kind ident.Kind, t ident.Target, prior ident.Quality) QualityEstimate {
	p := min(1, max(0, float64(prior)))
	r := e.series[qualityKey{kind, t}]
	if r == nil {
		r = &ratingSeries{lastRating: now}
	}
	n := r.weight + priorWeight
	mean := (r.sum + priorWeight*p) / n
	variance := (r.squareSum + priorWeight*(priorStdDev*priorStdDev+p*p)) / n
	stdDev := math.Sqrt(max(0, variance-mean*mean))
	weight := r.weight * ratingDecay(now.Sub(r.lastRating))
	low := mean - lowerBoundDeviations*stdDev/math.Sqrt(weight+priorWeight)
	return QualityEstimate{
		Mean:         ident.Quality(mean),
		LowerBound:   ident.Quality(max(0, low)),
		RatingWeight: weight,
		StdDev:       stdDev,
	}
}

// Remove drops the ratings of a target that no longer exists.
func (e *QualityEstimator) Remove(t ident.Target) {
	for key := range e.series {
		if key.target == t {
			delete(e.series, key)
		}
	}
}
