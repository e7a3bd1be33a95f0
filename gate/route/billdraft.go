package route

import (
	"context"
	"slices"
	"sync"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// settleTimeout bounds how long a request that ends without a delivered answer
// waits for its bill to be committed. After that the bill stays queued.
const settleTimeout = 2 * time.Second

// billDraft collects the attempts of one request for its bill.
type billDraft struct {
	mu       sync.Mutex
	billing  ident.BillKey
	attempts ident.Attempt
	usages   []*wire.Usage
	backends []ident.Backend
	billed   bool
}

// numberAttempt returns the billing number of the request, which the first
// attempt allocates, and the number of the attempt.
func (d *billDraft) numberAttempt(book Biller) (ident.BillKey, ident.Attempt, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.billing.Sequence == 0 {
		b, ok := book.NextBilling()
		if !ok {
			return b, 0, fault.New(fault.NoLease, "this gate has no number from the state cluster yet; send the request again to reach another gate").WithRetryAfter(time.Second)
		}
		d.billing = b
	}
	d.attempts++
	return d.billing, d.attempts, nil
}

// addBackend records a backend server that may have run an attempt.
func (d *billDraft) addBackend(id ident.Backend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.backends, id) {
		d.backends = append(d.backends, id)
	}
}

func (d *billDraft) addUsage(u *wire.Usage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.usages = append(d.usages, u)
}

// takeBill returns the bill once; later calls return false.
func (d *billDraft) takeBill(req *Request) (*wire.Bill, []ident.Backend, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.billed || d.billing.Sequence == 0 {
		return nil, nil, false
	}
	d.billed = true
	slices.SortFunc(d.usages, func(a, b *wire.Usage) int { return int(a.GetAttempt()) - int(b.GetAttempt()) })
	return &wire.Bill{
		Incarnation: uint64(d.billing.Incarnation),
		Sequence:    uint64(d.billing.Sequence),
		Customer:    string(req.Customer),
		Usages:      d.usages,
		Request:     string(req.ID),
		Time:        uint64(time.Now().UnixMilli()),
	}, d.backends, true
}

// commitBill commits the bill, before the last part of the answer is written. If
// the state cluster cannot commit it before the deadline, the answer is delivered
// nevertheless, and the bill stays queued.
func (x *execution) commitBill(ctx context.Context) {
	if b, backends, ok := x.draft.takeBill(x.req); ok {
		if err := x.r.book.Commit(ctx, b, backends); err != nil {
			x.record.addNote("bill late")
		}
	}
}

// settleBill bills a request that ends without a delivered answer. If its
// attempts used nothing it commits an empty bill, so that the billing number does
// not stay open.
func (x *execution) settleBill() {
	b, backends, ok := x.draft.takeBill(x.req)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := x.r.book.Commit(ctx, b, backends); err != nil {
		x.record.addNote("bill late")
	}
}
