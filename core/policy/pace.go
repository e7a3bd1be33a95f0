package policy

import (
	"time"

	"citronledge.example/core/ident"
)

// PaceEstimator learns how long something usually takes, such as the time
// between two events of a stream, by model and by the load of the server. A new
// version's servers have little to do at first, so a slow version on idle servers
// may be as fast as a sound one on busy servers.
type PaceEstimator struct {
	all    MedianEstimator
	models map[ident.Model]*paceLine
}

// paceLine is the line through the durations on one model, by load: a server
// with a larger batch takes proportionally longer for each step. It holds
// decaying sums over the attempts, with loads x and durations y in ms.
type paceLine struct {
	attempts        int
	w, x, y, xx, xy float64
	// idle and fast are the fifth of the loads and of the durations that is least.
	// A line through busy servers says little of idle ones; these are as fast as
	// the fastest attempts at least.
	idle, fast lowQuantile
}

// lowQuantile follows the lowest fifth of values above 0.
type lowQuantile struct{ value float64 }

const (
	quantileShare = 0.2
	// quantileStep is the relative step of the quantile for each value.
	quantileStep = 0.05
)

func (q *lowQuantile) observe(v float64) {
	switch {
	case q.value == 0:
		q.value = v
	case v > q.value:
		q.value *= 1 + quantileStep*quantileShare
	default:
		q.value /= 1 + quantileStep*(1-quantileShare)
	}
}

const (
	// paceDecay is the factor by which an attempt counts less with each later one.
	paceDecay = 0.98
	// minPaceShare bounds what a line says of loads that were never seen: the
	// duration on an idle server is at least this share of the mean.
	minPaceShare = 0.25
	// minPaceSpread is the variance of the loads from which the line has a slope.
	minPaceSpread = 1e-4
)

// at returns the usual duration in ms at a load.
func (l *paceLine) at(load float64) float64 {
	mean, meanLoad := l.y/l.w, l.x/l.w
	slope := 0.0
	if spread := l.xx/l.w - meanLoad*meanLoad; spread >= minPaceSpread {
		slope = max(0, (l.xy/l.w-meanLoad*mean)/spread)
	}
	usual := max(minPaceShare*mean, mean+slope*(load-meanLoad))
	if load < l.idle.value {
		usual = min(usual, l.fast.value)
	}
	return usual
}

// observe counts a duration. A few attempts are held up for other reasons, so a
// long one counts no more than one that is just slow.
func (l *paceLine) observe(load, ms float64) {
	if l.attempts >= minMedianSamples {
		ms = min(ms, slowMedianFactor*l.at(load))
	}
	l.attempts++
	l.idle.observe(load)
	l.fast.observe(ms)
	l.w, l.x, l.y = l.w*paceDecay+1, l.x*paceDecay+load, l.y*paceDecay+ms
	l.xx, l.xy = l.xx*paceDecay+load*load, l.xy*paceDecay+load*ms
}

// Observe counts a duration of an attempt on a model at a server with a load.
func (e *PaceEstimator) Observe(model ident.Model, load float64, d time.Duration) {
	e.all.Observe(d)
	if e.models == nil {
		e.models = map[ident.Model]*paceLine{}
	}
	if e.models[model] == nil {
		e.models[model] = &paceLine{}
	}
	e.models[model].observe(load, float64(d)/float64(time.Millisecond))
}

// IsSlow reports whether a duration is far above the usual one on the model at
// that load. While too few are known of the model, it is compared with all.
func (e *PaceEstimator) IsSlow(model ident.Model, load float64, d time.Duration) bool {
	if l := e.models[model]; l != nil && l.attempts >= minMedianSamples {
		return float64(d)/float64(time.Millisecond) > slowMedianFactor*l.at(load)
	}
	return e.all.IsSlow(d)
}

// Expected returns the usual duration on a model at a load, 0 while too few
// durations were observed.
func (e *PaceEstimator) Expected(model ident.Model, load float64) time.Duration {
	if l := e.models[model]; l != nil && l.attempts >= minMedianSamples {
		return time.Duration(l.at(load) * float64(time.Millisecond))
	}
	return e.all.Median()
}

// Median returns the median over all models and loads, 0 while too few durations
// were observed.
func (e *PaceEstimator) Median() time.Duration { return e.all.Median() }
