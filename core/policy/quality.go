package policy

import (
	"math"
	"time"

	"citronledge.example/core/ident"
)

const (
	// ratingHalf is the age at which a rating counts half, so that a change
	// of the work or of a model shows within the hour.
	ratingHalf = 30 * time.Minute
	// priorWeight is the number of ratings that the operator's figure is
	// worth. Its error is not known; a few ratings are to overrule it.
	priorWeight = 2
	// priorSpread is the standard deviation assumed before ratings show it.
	priorSpread = 0.2
	// lowDeviations sets the lower bound at about the 5th percentile.
	lowDeviations = 1.645
)

// QualityEstimate is an expected quality and how certain it is.
type QualityEstimate struct {
	// Mean is the expected rating.
	Mean ident.Quality
	// LowerBound is a lower confidence bound of the mean.
	LowerBound ident.Quality
	// RatingWeight is the number of recent ratings that the estimate rests on, with
	// old ones counted less; 0 means that only the prior is known.
	RatingWeight float64
	// StdDev is the standard deviation of single ratings.
	StdDev float64
}

// QualityEstimator learns the quality of each target by kind of work from ratings
// that may be late, sparse or missing.
type QualityEstimator struct {
	series map[qualityKey]*ratings
}

type qualityKey struct {
	kind   ident.Kind
	target ident.Target
}

// ratings holds sums of ratings whose weights halve with age, as of last.
type ratings struct {
	weight, sum, squares float64
	last                 time.Time
}

// NewQualityEstimator returns an Estimator without ratings.
func NewQualityEstimator() *QualityEstimator {
	return &QualityEstimator{series: map[qualityKey]*ratings{}}
}

// AddRating counts a rating at the time it came. Ratings outside 0 to 1 are
// clipped, others than numbers are dropped.
func (e *QualityEstimator) AddRating(now time.Time, kind ident.Kind, t ident.Target, q ident.Quality) {
	v := float64(q)
	if math.IsNaN(v) {
		return
	}
	v = min(1, max(0, v))
	key := qualityKey{kind, t}
	r := e.series[key]
	if r == nil {
		r = &ratings{last: now}
		e.series[key] = r
	}
	f := fade(now.Sub(r.last))
	r.weight = r.weight*f + 1
	r.sum = r.sum*f + v
	r.squares = r.squares*f + v*v
	if now.After(r.last) {
		r.last = now
	}
}

func fade(age time.Duration) float64 {
	return math.Exp2(-max(0, float64(age)) / float64(ratingHalf))
}

// Estimate combines the prior with the ratings so far. Without new ratings
// the mean stays as it is, while Weight and Low fall with age.
func (e *QualityEstimator) Estimate(now time.Time, kind ident.Kind, t ident.Target, prior ident.Quality) QualityEstimate {
	p := min(1, max(0, float64(prior)))
	r := e.series[qualityKey{kind, t}]
	if r == nil {
		r = &ratings{last: now}
	}
	n := r.weight + priorWeight
	mean := (r.sum + priorWeight*p) / n
	variance := (r.squares + priorWeight*(priorSpread*priorSpread+p*p)) / n
	spread := math.Sqrt(max(0, variance-mean*mean))
	weight := r.weight * fade(now.Sub(r.last))
	low := mean - lowDeviations*spread/math.Sqrt(weight+priorWeight)
	return QualityEstimate{
		Mean:         ident.Quality(mean),
		LowerBound:   ident.Quality(max(0, low)),
		RatingWeight: weight,
		StdDev:       spread,
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
