package policy

import "time"

// WindowBudget limits extra work to a share of the requests of a sliding time
// window. It counts in buckets of a tenth of the window.
type WindowBudget struct {
	ratio, slack float64
	bucketLength time.Duration
	buckets      [windowBucketCount]windowBucket
}

const windowBucketCount = 10

type windowBucket struct {
	number          int64 // bucket lengths since the Unix epoch
	requests, extra float64
}

// NewWindowBudget returns a budget that allows extra work of at most slack plus
// ratio times the requests within the given length of time.
func NewWindowBudget(length time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, bucketLength: max(length/windowBucketCount, time.Millisecond)}
}

// maxGateSlack limits the slack of one gate: while there are few gates, an even
// share would let each repeat a great many requests to a service that fails.
const maxGateSlack = 3

// GateSlack returns a gate's share of the slack that all gates have together.
func GateSlack(slack float64, gates int) float64 {
	return min(maxGateSlack, slack/float64(max(1, gates)))
}

// SetSlack changes the slack.
func (w *WindowBudget) SetSlack(slack float64) { w.slack = slack }

// bucket returns the bucket of a time, emptied if it last served an older one.
func (w *WindowBudget) bucket(now time.Time) *windowBucket {
	n := now.UnixNano() / int64(w.bucketLength)
	b := &w.buckets[n%windowBucketCount]
	if b.number != n {
		*b = windowBucket{number: n}
	}
	return b
}

// RecordRequest counts one request.
func (w *WindowBudget) RecordRequest(now time.Time) { w.bucket(now).requests++ }

// TrySpend reports whether a repeat may run, and if so counts it.
func (w *WindowBudget) TrySpend(now time.Time) bool {
	current := w.bucket(now)
	var requests, extra float64
	for i := range w.buckets {
		if w.buckets[i].number > current.number-windowBucketCount {
			requests += w.buckets[i].requests
			extra += w.buckets[i].extra
		}
	}
	if extra+1 > w.slack+w.ratio*requests {
		return false
	}
	current.extra++
	return true
}
