package policy

import "time"

// WindowBudget limits extra work to a share of the requests of a sliding time. It
// counts in buckets of a tenth of its length.
type WindowBudget struct {
	ratio, slack float64
	step         time.Duration
	buckets      [windowSteps]windowStep
}

const windowSteps = 10

type windowStep struct {
	at              int64 // number of the step
	requests, extra float64
}

// NewWindowBudget returns a window in which extra work is at most slack plus ratio
// times the requests.
func NewWindowBudget(length time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, step: max(length/windowSteps, time.Millisecond)}
}

func (w *WindowBudget) at(now time.Time) *windowStep {
	n := now.UnixNano() / int64(w.step)
	b := &w.buckets[n%windowSteps]
	if b.at != n {
		*b = windowStep{at: n}
	}
	return b
}

// RecordRequest counts one request.
func (w *WindowBudget) RecordRequest(now time.Time) { w.at(now).requests++ }

// TrySpend counts one repeat and tells whether it may run.
func (w *WindowBudget) TrySpend(now time.Time) bool {
	b := w.at(now)
	var requests, extra float64
	for i := range w.buckets {
		if w.buckets[i].at > b.at-windowSteps {
			requests += w.buckets[i].requests
			extra += w.buckets[i].extra
		}
	}
	if extra+1 > w.slack+w.ratio*requests {
		return false
	}
	b.extra++
	return true
}
