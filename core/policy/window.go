package policy

import "time"

// Window limits extra work to a share of the requests of a sliding time. It
// counts in buckets of a tenth of its length.
type Window struct {
	ratio, slack float64
	step         time.Duration
	buckets      [windowSteps]windowStep
}

const windowSteps = 10

type windowStep struct {
	at              int64 // number of the step
	requests, extra float64
}

// NewWindow returns a window in which extra work is at most slack plus ratio
// times the requests.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, step: max(length/windowSteps, time.Millisecond)}
}

func (w *Window) at(now time.Time) *windowStep {
	n := now.UnixNano() / int64(w.step)
	b := &w.buckets[n%windowSteps]
	if b.at != n {
		*b = windowStep{at: n}
	}
	return b
}

// Earn counts one request.
func (w *Window) Earn(now time.Time) { w.at(now).requests++ }

// Spend counts one repeat and tells whether it may run.
func (w *Window) Spend(now time.Time) bool {
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
