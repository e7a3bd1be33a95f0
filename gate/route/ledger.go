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

// settleTime bounds how long a request whose caller is gone waits for its
// bill; after that the bill stays queued.
const settleTime = 2 * time.Second

// ledger sums up the attempts of one request for its bill.
type ledger struct {
	mu       sync.Mutex
	billing  ident.Billing
	attempts ident.Attempt
	touched  bool // an attempt may have run
	usages   []*wire.Usage
	backends []ident.Backend
	billed   bool
}

// begin numbers an attempt, and the request at its first one.
func (l *ledger) begin(book Biller) (ident.Billing, ident.Attempt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.billing.Sequence == 0 {
		b, ok := book.NextBilling()
		if !ok {
			return b, 0, fault.New(fault.NoLease, "this gate has no number from the state cluster yet; send the request again to reach another gate").After(time.Second)
		}
		l.billing = b
	}
	l.attempts++
	return l.billing, l.attempts, nil
}

// touch notes that work was handed to a backend server.
func (l *ledger) touch(id ident.Backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touched = true
	if !slices.Contains(l.backends, id) {
		l.backends = append(l.backends, id)
	}
}

func (l *ledger) ran() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.touched
}

func (l *ledger) add(u *wire.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usages = append(l.usages, u)
}

// take returns the bill once; later calls return false.
func (l *ledger) take(req *Request) (*wire.Bill, []ident.Backend, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.billed || l.billing.Sequence == 0 {
		return nil, nil, false
	}
	l.billed = true
	slices.SortFunc(l.usages, func(a, b *wire.Usage) int { return int(a.GetAttempt()) - int(b.GetAttempt()) })
	return &wire.Bill{
		Incarnation: uint64(l.billing.Incarnation),
		Sequence:    uint64(l.billing.Sequence),
		Customer:    string(req.Customer),
		Usages:      l.usages,
		Request:     string(req.ID),
		Time:        uint64(time.Now().UnixMilli()),
	}, l.backends, true
}

// bill commits the bill before the last piece of the answer goes out. While
// the state cluster cannot commit it before the deadline, the answer is
// delivered all the same, and the bill stays queued.
func (x *run) bill(ctx context.Context) {
	if b, backends, ok := x.ledger.take(x.req); ok {
		if err := x.r.book.Commit(ctx, b, backends); err != nil {
			x.rec.note("bill late")
		}
	}
}

// settle bills a request that ends without a delivered answer. A number whose
// attempts used nothing gets an empty bill, so that it does not stay open.
func (x *run) settle() {
	b, backends, ok := x.ledger.take(x.req)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if err := x.r.book.Commit(ctx, b, backends); err != nil {
		x.rec.note("bill late")
	}
}
