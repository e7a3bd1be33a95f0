// Package bill numbers the billable requests of one gate and commits their
// bills to the state cluster, each once.
package bill

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"citronledge.example/core/fault"
	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

const (
	maxBatchBills = 64 // in one command
	senderCount   = 2  // commands in flight; while both wait, bills queue up into larger batches
	commitTimeout = 2 * time.Second
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// ErrRequestRunning is returned for records of requests that are still running at
// this gate.
var ErrRequestRunning = errors.New("some records belong to requests that are running here; the others are committed")

// ErrNotCommitted is returned for a bill that is still queued when the context of
// its request ends. The caller gets the answer nevertheless, and the bill is
// committed later.
var ErrNotCommitted = errors.New("bill is queued until the state cluster can commit it")

// State is what a Book needs of the client of the state cluster.
type State interface {
	// Incarnation returns the number of this run of the gate, or 0 if it has none.
	Incarnation() ident.Incarnation
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Book numbers requests and commits bills. It is safe for concurrent use.
type Book struct {
	actor       string
	state       State
	onCommitted func(id ident.Backend, billings []*wire.Billing)
	wakeup      chan struct{}

	numbersMu    sync.Mutex // guards the two fields below
	lastSequence map[ident.Incarnation]ident.Sequence
	openNumbers  map[ident.BillKey]struct{} // assigned numbers whose bill is not committed yet

	mu          sync.Mutex // guards the fields below
	queue       []*queuedBill
	uncommitted int           // bills queued or in flight
	drained     chan struct{} // closed while uncommitted is 0

	lateBills        prometheus.Counter
	refusedBills     prometheus.Counter
	batches          prometheus.Counter
	uncommittedBills prometheus.GaugeFunc
}

type queuedBill struct {
	bill      *wire.Bill
	backends  []ident.Backend
	committed chan struct{}
}

// Option sets up a Book.
type Option func(*Book)

// Actor sets the name of the gate in the audit trail.
func Actor(name string) Option { return func(b *Book) { b.actor = name } }

// Client sets the client of the state cluster.
func Client(s State) Option { return func(b *Book) { b.state = s } }

// OnCommitted sets the function that is called with the billing numbers of
// committed bills, once for each backend server that received work for them.
func OnCommitted(f func(id ident.Backend, billings []*wire.Billing)) Option {
	return func(b *Book) { b.onCommitted = f }
}

// Metrics registers the metrics of the book.
func Metrics(r prometheus.Registerer) Option {
	return func(b *Book) { r.MustRegister(b.lateBills, b.refusedBills, b.batches, b.uncommittedBills) }
}

// New returns an empty book. Bills are committed only while Run is running.
func New(opts ...Option) *Book {
	b := &Book{
		wakeup: make(chan struct{}, senderCount), drained: make(chan struct{}), lastSequence: map[ident.Incarnation]ident.Sequence{},
		openNumbers: map[ident.BillKey]struct{}{},
	}
	close(b.drained)
	b.lateBills = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_late_bills_total", Help: "Bills that were not committed when their answer was delivered.",
	})
	b.refusedBills = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_refused_bills_total", Help: "Bills that the state cluster refused for good.",
	})
	b.batches = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_bill_batches_total", Help: "Commands that committed bills.",
	})
	b.uncommittedBills = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gate_bills_open", Help: "Bills that are not committed yet.",
	}, func() float64 { return float64(b.Uncommitted()) })
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// NextBilling assigns a billing number, counting from 1 in each incarnation. It
// returns false while the gate has no incarnation.
func (b *Book) NextBilling() (ident.BillKey, bool) {
	inc := b.state.Incarnation()
	if inc == 0 {
		return ident.BillKey{}, false
	}
	b.numbersMu.Lock()
	defer b.numbersMu.Unlock()
	b.lastSequence[inc]++
	n := ident.BillKey{Incarnation: inc, Sequence: b.lastSequence[inc]}
	b.openNumbers[n] = struct{}{}
	return n, true
}

// Incarnation returns the number of this run of the gate, or 0 if it has none.
func (b *Book) Incarnation() ident.Incarnation { return b.state.Incarnation() }

// LastSequence returns the highest sequence number assigned so far in an
// incarnation.
func (b *Book) LastSequence(inc ident.Incarnation) ident.Sequence {
	b.numbersMu.Lock()
	defer b.numbersMu.Unlock()
	return b.lastSequence[inc]
}

// Uncommitted returns the number of bills that are queued or in flight.
func (b *Book) Uncommitted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.uncommitted
}

// Commit queues a bill and waits until it is committed. If ctx ends first it
// returns ErrNotCommitted, and the bill stays queued. Once the bill is committed,
// the function set by OnCommitted is called for each of the backends.
func (b *Book) Commit(ctx context.Context, bill *wire.Bill, backends []ident.Backend) error {
	q := &queuedBill{bill: bill, backends: backends, committed: make(chan struct{})}
	b.enqueue(q)
	select {
	case <-q.committed:
		return nil
	case <-ctx.Done():
		b.lateBills.Inc()
		return ErrNotCommitted
	}
}

// CommitRecords commits records that a side process kept for a gate that is gone.
// The bills keep the billing numbers assigned by that gate. A side process that
// reconnects to a gate that is still running may also offer records of requests
// that are running there; they hold only a part of the charge of their request.
// CommitRecords skips these and returns ErrRequestRunning, and the side process
// offers all records again. Committing a bill twice has no effect.
func (b *Book) CommitRecords(ctx context.Context, records []*wire.Record) error {
	var list []*queuedBill
	var err error
	for _, r := range records {
		switch {
		case r.GetBill() == nil:
		case b.isNumberOpen(r.GetBill()):
			err = ErrRequestRunning
		default:
			list = append(list, &queuedBill{bill: r.GetBill(), committed: make(chan struct{})})
		}
	}
	b.enqueue(list...)
	for _, q := range list {
		select {
		case <-q.committed:
		case <-ctx.Done():
			return ErrNotCommitted
		}
	}
	return err
}

func billingOf(bill *wire.Bill) ident.BillKey {
	return ident.BillKey{Incarnation: ident.Incarnation(bill.GetIncarnation()), Sequence: ident.Sequence(bill.GetSequence())}
}

// isNumberOpen reports whether this gate assigned the number of a bill and has not
// committed the bill yet. The number of a queued bill counts as open, since
// another sender could commit a partial record first.
func (b *Book) isNumberOpen(bill *wire.Bill) bool {
	b.numbersMu.Lock()
	defer b.numbersMu.Unlock()
	_, ok := b.openNumbers[billingOf(bill)]
	return ok
}

func (b *Book) closeNumbers(batch []*queuedBill) {
	b.numbersMu.Lock()
	defer b.numbersMu.Unlock()
	for _, q := range batch {
		delete(b.openNumbers, billingOf(q.bill))
	}
}

func (b *Book) enqueue(list ...*queuedBill) {
	if len(list) == 0 {
		return
	}
	b.mu.Lock()
	if b.uncommitted == 0 {
		b.drained = make(chan struct{})
	}
	b.uncommitted += len(list)
	b.queue = append(b.queue, list...)
	b.mu.Unlock()
	b.wakeSender()
}

func (b *Book) wakeSender() {
	select {
	case b.wakeup <- struct{}{}:
	default: // both senders are already due to check the queue
	}
}

// Run commits bills until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	g := group.New(ctx)
	for range senderCount {
		g.Go("bills", b.sendBatches)
	}
	return g.Wait()
}

// Drain waits until all bills are committed or ctx is done. It returns the number
// of bills left.
func (b *Book) Drain(ctx context.Context) int {
	for {
		b.mu.Lock()
		drained, left := b.drained, b.uncommitted
		b.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-drained:
		case <-ctx.Done():
			return left
		}
	}
}

func (b *Book) sendBatches(ctx context.Context) error {
	wait := minRetryDelay
	for {
		batch := b.dequeue()
		if len(batch) == 0 {
			select {
			case <-b.wakeup:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		err := b.commitBatch(ctx, batch)
		if err == nil {
			wait = minRetryDelay
			continue
		}
		b.requeue(batch)
		klog.V(1).InfoS("Bills could not be committed and stay queued", "bills", len(batch), "err", err)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

func (b *Book) dequeue() []*queuedBill {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.queue), maxBatchBills)
	batch := b.queue[:n:n]
	b.queue = b.queue[n:]
	if len(b.queue) > 0 {
		b.wakeSender()
	}
	return batch
}

// requeue puts a batch back at the front of the queue.
func (b *Book) requeue(batch []*queuedBill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(append([]*queuedBill(nil), batch...), b.queue...)
}

func (b *Book) commitBatch(ctx context.Context, batch []*queuedBill) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	bills := make([]*wire.Bill, len(batch))
	for i, q := range batch {
		bills[i] = q.bill
	}
	res, err := b.state.Propose(ctx, &wire.Command{
		Actor: b.actor,
		Time:  uint64(time.Now().UnixMilli()),
		Kind:  &wire.Command_Bills{Bills: &wire.Bills{Bills: bills}},
	})
	billed := res.GetBilled()
	if billed == nil {
		return cmp.Or(err, error(fault.New(fault.Internal, "the state cluster answered bills without a result; run the same release everywhere")))
	}
	// When the ledger refuses some bills, for example those of an incarnation that
	// it does not have, it still commits the others. Retrying the refused ones
	// would not help.
	if n := len(batch) - int(billed.GetFresh()+billed.GetRepeat()); n > 0 {
		b.refusedBills.Add(float64(n))
		klog.ErrorS(err, "State cluster refused bills; they are not retried", "bills", n)
	}
	b.batches.Inc()
	b.finishBatch(batch)
	return nil
}

func (b *Book) finishBatch(batch []*queuedBill) {
	b.closeNumbers(batch)
	billings := map[ident.Backend][]*wire.Billing{}
	for _, q := range batch {
		close(q.committed)
		for _, id := range q.backends {
			billings[id] = append(billings[id], &wire.Billing{
				Incarnation: q.bill.GetIncarnation(), First: q.bill.GetSequence(), Last: q.bill.GetSequence(),
			})
		}
	}
	b.mu.Lock()
	b.uncommitted -= len(batch)
	if b.uncommitted == 0 {
		close(b.drained)
	}
	b.mu.Unlock()
	if b.onCommitted == nil {
		return
	}
	for id, list := range billings {
		b.onCommitted(id, list)
	}
}
