package policy

// Budget limits the extra work of retries and hedges to a share of the
// requests, so that it cannot grow when every backend server is slow or fails.
type Budget struct {
	perRequest, burst, balance float64
}

// NewBudget returns a budget that gains share for each request and holds at
// most burst. It starts with one, so that an idle gate can retry; the extra
// work therefore never exceeds that share of the requests by more than one. A
// share of zero or less, or a burst under one, allows no extra work.
func NewBudget(share, burst float64) *Budget {
	b := &Budget{perRequest: max(0, share), burst: max(0, burst)}
	if share > 0 {
		b.balance = min(1, b.burst)
	}
	return b
}

// RecordRequest counts one request. Retries and hedges must not be counted.
func (b *Budget) RecordRequest() { b.balance = min(b.burst, b.balance+b.perRequest) }

// TrySpend reports whether a retry or hedge may run, and if so deducts it from
// the budget.
func (b *Budget) TrySpend() bool {
	const rounding = 1e-6 // error of a sum of many shares
	if b.balance < 1-rounding {
		return false
	}
	b.balance = max(0, b.balance-1)
	return true
}
