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
	batchSize  = 64 // bills in one command
	senders    = 2  // commands under way at once; while both wait, bills gather
	commitTime = 2 * time.Second
	retryFirst = 20 * time.Millisecond
	retryMax   = time.Second
)

// ErrRequestRunning is returned for records of requests that are still running here.
var ErrRequestRunning = errors.New("some records belong to requests that are running here; the others are committed")

// ErrNotCommitted is returned for a bill that is still queued at the request's
// deadline. It is committed later; the caller gets the answer meanwhile.
var ErrNotCommitted = errors.New("bill is queued until the state cluster can commit it")

// State is what a Book needs of the client of the state cluster.
type State interface {
	// Incarnation returns the number of this run of the gate; 0 if it has none.
	Incarnation() ident.Incarnation
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Book numbers requests and commits bills. It is safe for concurrent use.
type Book struct {
	actor   string
	state   State
	settled func(id ident.Backend, billings []*wire.Billing)
	kick    chan struct{}

	numbers sync.Mutex // guards last and given
	last    map[ident.Incarnation]ident.Sequence
	given   map[ident.Billing]struct{} // numbers whose bill is not committed yet

	mu    sync.Mutex // guards the fields below
	queue []*entry
	open  int // queued or under way
	idle  chan struct{}

	late    prometheus.Counter
	refused prometheus.Counter
	batches prometheus.Counter
	length  prometheus.GaugeFunc
}

type entry struct {
	bill     *wire.Bill
	backends []ident.Backend
	done     chan struct{}
}

// Option sets up a Book.
type Option func(*Book)

// Actor sets the name of the gate in the audit trail.
func Actor(name string) Option { return func(b *Book) { b.actor = name } }

// Client sets the client of the state cluster.
func Client(s State) Option { return func(b *Book) { b.state = s } }

// OnCommitted sets what tells a side process that bills are committed.
func OnCommitted(f func(id ident.Backend, billings []*wire.Billing)) Option {
	return func(b *Book) { b.settled = f }
}

// Metrics registers the metrics of the book.
func Metrics(r prometheus.Registerer) Option {
	return func(b *Book) { r.MustRegister(b.late, b.refused, b.batches, b.length) }
}

// New returns an empty book; Run commits its bills.
func New(opts ...Option) *Book {
	b := &Book{
		kick: make(chan struct{}, senders), idle: make(chan struct{}), last: map[ident.Incarnation]ident.Sequence{},
		given: map[ident.Billing]struct{}{},
	}
	close(b.idle)
	b.late = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_late_bills_total", Help: "Bills that were not committed when their answer was delivered.",
	})
	b.refused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_refused_bills_total", Help: "Bills that the state cluster refused for good.",
	})
	b.batches = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_bill_batches_total", Help: "Commands that committed bills.",
	})
	b.length = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gate_bills_open", Help: "Bills that are not committed yet.",
	}, func() float64 { return float64(b.Uncommitted()) })
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// NextBilling numbers a request, from 1 in each incarnation. It returns false while
// the gate has no incarnation.
func (b *Book) NextBilling() (ident.Billing, bool) {
	inc := b.state.Incarnation()
	if inc == 0 {
		return ident.Billing{}, false
	}
	b.numbers.Lock()
	defer b.numbers.Unlock()
	b.last[inc]++
	n := ident.Billing{Incarnation: inc, Sequence: b.last[inc]}
	b.given[n] = struct{}{}
	return n, true
}

// Incarnation returns the number of this run of the gate; 0 if it has none.
func (b *Book) Incarnation() ident.Incarnation { return b.state.Incarnation() }

// LastSequence returns the highest number given so far under an incarnation.
func (b *Book) LastSequence(inc ident.Incarnation) ident.Sequence {
	b.numbers.Lock()
	defer b.numbers.Unlock()
	return b.last[inc]
}

// Uncommitted returns how many bills are not committed yet.
func (b *Book) Uncommitted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Commit queues a bill and waits until it is committed. When ctx ends first it
// returns ErrLate, and the bill stays queued. The backends are told when the
// bill is committed.
func (b *Book) Commit(ctx context.Context, bill *wire.Bill, backends []ident.Backend) error {
	e := &entry{bill: bill, backends: backends, done: make(chan struct{})}
	b.put(e)
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		b.late.Inc()
		return ErrNotCommitted
	}
}

// CommitRecords commits records that a side process kept for a gate that is gone, as
// they are: with the bill key of that gate. Records of a request that is still
// running here, whose side process has linked again, are left out: they hold
// only a part of what the request is to be charged. Then it returns ErrOpen,
// and the side process offers all of them again; a bill that is on record
// changes nothing.
func (b *Book) CommitRecords(ctx context.Context, records []*wire.Record) error {
	var list []*entry
	var left error
	for _, r := range records {
		switch {
		case r.GetBill() == nil:
		case b.isOpen(r.GetBill()):
			left = ErrRequestRunning
		default:
			list = append(list, &entry{bill: r.GetBill(), done: make(chan struct{})})
		}
	}
	b.put(list...)
	for _, e := range list {
		select {
		case <-e.done:
		case <-ctx.Done():
			return ErrNotCommitted
		}
	}
	return left
}

func number(bill *wire.Bill) ident.Billing {
	return ident.Billing{Incarnation: ident.Incarnation(bill.GetIncarnation()), Sequence: ident.Sequence(bill.GetSequence())}
}

// isOpen tells whether this gate has given the number of a bill and not
// committed it. A queued bill counts as open, since another sender could
// overtake it.
func (b *Book) isOpen(bill *wire.Bill) bool {
	b.numbers.Lock()
	defer b.numbers.Unlock()
	_, ok := b.given[number(bill)]
	return ok
}

func (b *Book) closeNumbers(batch []*entry) {
	b.numbers.Lock()
	defer b.numbers.Unlock()
	for _, e := range batch {
		delete(b.given, number(e.bill))
	}
}

func (b *Book) put(list ...*entry) {
	if len(list) == 0 {
		return
	}
	b.mu.Lock()
	if b.open == 0 {
		b.idle = make(chan struct{})
	}
	b.open += len(list)
	b.queue = append(b.queue, list...)
	b.mu.Unlock()
	b.wake()
}

func (b *Book) wake() {
	select {
	case b.kick <- struct{}{}:
	default: // both senders are about to look at the queue
	}
}

// Run commits bills until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	g := group.New(ctx)
	for range senders {
		g.Go("bills", b.send)
	}
	return g.Wait()
}

// Drain waits until all bills are committed or ctx ends, and returns how many
// are left.
func (b *Book) Drain(ctx context.Context) int {
	for {
		b.mu.Lock()
		idle, open := b.idle, b.open
		b.mu.Unlock()
		if open == 0 {
			return 0
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return open
		}
	}
}

func (b *Book) send(ctx context.Context) error {
	wait := retryFirst
	for {
		batch := b.take()
		if len(batch) == 0 {
			select {
			case <-b.kick:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		err := b.commit(ctx, batch)
		if err == nil {
			wait = retryFirst
			continue
		}
		b.back(batch)
		klog.V(1).InfoS("Bills are not committed yet", "bills", len(batch), "err", err)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		}
		wait = min(2*wait, retryMax)
	}
}

func (b *Book) take() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.queue), batchSize)
	batch := b.queue[:n:n]
	b.queue = b.queue[n:]
	if len(b.queue) > 0 {
		b.wake()
	}
	return batch
}

// back puts a batch in front of the queue again.
func (b *Book) back(batch []*entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(append([]*entry(nil), batch...), b.queue...)
}

func (b *Book) commit(ctx context.Context, batch []*entry) error {
	ctx, cancel := context.WithTimeout(ctx, commitTime)
	defer cancel()
	bills := make([]*wire.Bill, len(batch))
	for i, e := range batch {
		bills[i] = e.bill
	}
	res, err := b.state.Propose(ctx, &wire.Command{
		Actor: b.actor,
		Time:  uint64(time.Now().UnixMilli()),
		Kind:  &wire.Command_Bills{Bills: &wire.Bills{Bills: bills}},
	})
	done := res.GetBilled()
	if done == nil {
		return cmp.Or(err, error(fault.New(fault.Internal, "the state cluster answered bills without a result; run the same release everywhere")))
	}
	// The ledger settles the others when it refuses some, for example those of
	// an incarnation that is not on record. Sending them again would not help.
	if n := len(batch) - int(done.GetFresh()+done.GetRepeat()); n > 0 {
		b.refused.Add(float64(n))
		klog.ErrorS(err, "Bills were refused for good", "bills", n)
	}
	b.batches.Inc()
	b.finish(batch)
	return nil
}

func (b *Book) finish(batch []*entry) {
	b.closeNumbers(batch)
	done := map[ident.Backend][]*wire.Billing{}
	for _, e := range batch {
		close(e.done)
		for _, id := range e.backends {
			done[id] = append(done[id], &wire.Billing{
				Incarnation: e.bill.GetIncarnation(), First: e.bill.GetSequence(), Last: e.bill.GetSequence(),
			})
		}
	}
	b.mu.Lock()
	b.open -= len(batch)
	if b.open == 0 {
		close(b.idle)
	}
	b.mu.Unlock()
	if b.settled == nil {
		return
	}
	for id, list := range done {
		b.settled(id, list)
	}
}
