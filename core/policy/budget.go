package policy

// Budget limits the extra work of retries and hedges to a share of the
// requests, so that it cannot grow when every backend server is slow or fails.
type Budget struct {
	share, burst, have float64
}

// NewBudget returns a budget that gains share for each request and holds at
// most burst. It starts with one, so that an idle gate can retry; thus the
// extra work is at most one more than share of the requests at any time. A
// share of zero or less, or a burst under one, allows none.
func NewBudget(share, burst float64) *Budget {
	b := &Budget{share: max(0, share), burst: max(0, burst)}
	if share > 0 {
		b.have = min(1, b.burst)
	}
	return b
}

// RecordRequest counts one request; retries and hedges do not earn.
func (b *Budget) RecordRequest() { b.have = min(b.burst, b.have+b.share) }

// TrySpend takes one retry or hedge from the budget and tells whether it may run.
func (b *Budget) TrySpend() bool {
	const rounding = 1e-6 // of the sum of many shares
	if b.have < 1-rounding {
		return false
	}
	b.have = max(0, b.have-1)
	return true
}
