// Package usage keeps the usage records of attempts until they are billed.
package usage

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/side/guard"
)

// ReconnectGrace is how long a gate that has lost its session may take to link again
// and to bill its requests itself. After the lease time plus the clock error
// a gate that was cut off has stopped.
const ReconnectGrace = ident.GuardedLeaseDuration

// DefaultMaxRecords bounds the records; one takes about 300 bytes.
const DefaultMaxRecords = 50_000

// forgotten is the age at which a record goes to a gate even though its own
// gate is linked: no request runs that long, so the confirmation was lost.
const forgotten = 330 * time.Second

// remembered bounds the confirmations kept for attempts that end after their
// request was billed, as the loser of a hedge does.
const remembered = 1024

const logEvery = 10 * time.Second

type record struct {
	bill  *wire.Bill
	owner string    // name of the gate
	due   time.Time // when the record is sent to a gate as unsettled
}

// Store is safe for concurrent use.
type Store struct {
	limit  int
	notice guard.Notifier
	size   prometheus.Gauge
	lost   prometheus.Counter

	mu      sync.Mutex
	records map[ident.BillKey]*record
	order   []ident.BillKey // by age; may hold settled keys
	settled []*wire.Billing // the last confirmations
	logged  time.Time
}

// New returns an empty book with a bound on its records.
func New(limit int, reg prometheus.Registerer) *Store {
	b := &Store{
		limit:   cmp.Or(limit, DefaultMaxRecords),
		records: map[ident.BillKey]*record{},
		size: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "side_usage_records", Help: "Usage records that are not billed yet.",
		}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "side_usage_dropped_total", Help: "Usage records dropped at the bound; only their gate can bill them.",
		}),
	}
	reg.MustRegister(b.size, b.lost)
	return b
}

func key(b *wire.Bill) ident.BillKey {
	return ident.BillKey{Incarnation: ident.Incarnation(b.GetIncarnation()), Sequence: ident.Sequence(b.GetSequence())}
}

// Add keeps the usage of one attempt. Attempts of one request share a
// record. Call it before the gate can confirm the request; linked tells
// whether the gate has a session. It is asked under the lock of the book, so
// that an Orphan for a session that ends meanwhile comes after the record.
func (b *Store) Add(owner string, bill *wire.Bill, linked func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := key(bill)
	if b.isSettled(k) {
		return
	}
	if r, ok := b.records[k]; ok {
		r.bill.Usages = merge(r.bill.Usages, bill.GetUsages())
		return
	}
	b.makeRoom()
	wait := ReconnectGrace
	if linked() {
		wait = forgotten
	}
	b.records[k] = &record{owner: owner, bill: proto.CloneOf(bill), due: time.Now().Add(wait)}
	b.order = append(b.order, k)
	b.size.Set(float64(len(b.records)))
}

func (b *Store) isSettled(k ident.BillKey) bool {
	return slices.ContainsFunc(b.settled, func(x *wire.Billing) bool { return covers(x, k) })
}

func covers(x *wire.Billing, k ident.BillKey) bool {
	seq := uint64(k.Sequence)
	return ident.Incarnation(x.GetIncarnation()) == k.Incarnation && x.GetFirst() <= seq && seq <= x.GetLast()
}

func merge(have, add []*wire.Usage) []*wire.Usage {
	for _, u := range add {
		same := func(h *wire.Usage) bool { return h.GetAttempt() == u.GetAttempt() }
		if !slices.ContainsFunc(have, same) {
			have = append(have, proto.CloneOf(u))
		}
	}
	return have
}

// makeRoom drops the oldest record at the bound. The gate that owns it still
// bills the request as long as it lives.
func (b *Store) makeRoom() {
	for len(b.records) >= b.limit && len(b.order) > 0 {
		oldest := b.order[0]
		b.order = b.order[1:]
		if _, ok := b.records[oldest]; !ok {
			continue
		}
		delete(b.records, oldest)
		b.lost.Inc()
		if now := time.Now(); now.Sub(b.logged) >= logEvery {
			b.logged = now
			klog.ErrorS(nil, "Usage records are at their bound; the oldest are dropped; look for gates that do not settle",
				"limit", b.limit, "incarnation", oldest.Incarnation, "sequence", oldest.Sequence)
		}
	}
	if len(b.order) > 2*b.limit {
		b.order = slices.DeleteFunc(b.order, func(k ident.BillKey) bool { return b.records[k] == nil })
	}
}

// Settle forgets records that are billed.
func (b *Store) Settle(list []*wire.Billing) {
	b.mu.Lock()
	for _, billing := range list {
		b.settle(billing)
	}
	b.size.Set(float64(len(b.records)))
	b.mu.Unlock()
	b.notice.Notify()
}

func (b *Store) settle(x *wire.Billing) {
	if x.GetLast() < x.GetFirst() {
		return
	}
	b.settled = append(b.settled, x)
	if extra := len(b.settled) - remembered; extra > 0 {
		b.settled = slices.Delete(b.settled, 0, extra)
	}
	// A range may be far wider than the book.
	if width := x.GetLast() - x.GetFirst(); width < uint64(len(b.records)) {
		for n := range width + 1 {
			delete(b.records, ident.BillKey{
				Incarnation: ident.Incarnation(x.GetIncarnation()), Sequence: ident.Sequence(x.GetFirst() + n),
			})
		}
		return
	}
	maps.DeleteFunc(b.records, func(k ident.BillKey, _ *record) bool { return covers(x, k) })
}

// MarkOrphaned tells that the last session of a gate has ended: its records are
// due after the grace time.
func (b *Store) MarkOrphaned(owner string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := time.Now().Add(ReconnectGrace)
	for _, r := range b.records {
		if r.owner == owner && r.due.After(due) {
			r.due = due
		}
	}
}

// Due returns the records to send now, by the name of the gate that owned
// them, and at most so many of each gate. They stay due until they are
// settled; with more than that the choice differs from call to call.
func (b *Store) Due(most int) map[string][]*wire.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	due := map[string][]*wire.Record{}
	for _, r := range b.records {
		if !now.Before(r.due) && len(due[r.owner]) < most {
			due[r.owner] = append(due[r.owner], &wire.Record{Bill: proto.CloneOf(r.bill)})
		}
	}
	return due
}

// Len counts the records.
func (b *Store) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records)
}

// WaitEmpty waits until all records are settled.
func (b *Store) WaitEmpty(ctx context.Context) error {
	for {
		changed := b.notice.Changed()
		if b.Len() == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
