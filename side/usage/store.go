// Package usage stores the usage records of attempts until they are billed.
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

// ReconnectGrace is the time after the end of its session within which a gate
// may reconnect and bill its requests itself. A gate that is cut off has
// stopped after the lease time plus the clock error.
const ReconnectGrace = ident.GuardedLeaseDuration

// DefaultMaxRecords is the default limit on the number of records. A record
// takes about 300 bytes.
const DefaultMaxRecords = 50_000

// maxUnsettledAge is the age at which a record becomes due although its own
// gate is connected. No request runs that long, so the confirmation was lost.
const maxUnsettledAge = 330 * time.Second

// maxSettledRanges limits the confirmations kept for attempts that end after
// their request was billed, such as the losing attempt of a hedge.
const maxSettledRanges = 1024

// dropLogInterval is the least time between two log lines about dropped
// records.
const dropLogInterval = 10 * time.Second

type record struct {
	bill  *wire.Bill
	owner string    // name of the gate that ran the request
	dueAt time.Time // when the record is sent to a gate for billing
}

// Store holds the usage records that are not billed yet. It is safe for
// concurrent use.
type Store struct {
	limit       int
	notifier    guard.Notifier
	recordGauge prometheus.Gauge
	dropped     prometheus.Counter

	mu             sync.Mutex
	records        map[ident.BillKey]*record
	insertionOrder []ident.BillKey // oldest first; may hold keys of settled records
	settledRanges  []*wire.Billing // the most recent confirmations
	lastDropLog    time.Time
}

// New returns an empty store of at most limit records. A limit of 0 means
// DefaultMaxRecords.
func New(limit int, reg prometheus.Registerer) *Store {
	s := &Store{
		limit:   cmp.Or(limit, DefaultMaxRecords),
		records: map[ident.BillKey]*record{},
		recordGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "side_usage_records", Help: "Usage records that are not billed yet.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "side_usage_dropped_total", Help: "Usage records dropped at the bound; only their gate can bill them.",
		}),
	}
	reg.MustRegister(s.recordGauge, s.dropped)
	return s
}

func billingKey(b *wire.Bill) ident.BillKey {
	return ident.BillKey{Incarnation: ident.Incarnation(b.GetIncarnation()), Sequence: ident.Sequence(b.GetSequence())}
}

// Add stores the usage of one attempt. The attempts of a request share a
// record. Add must be called before the gate can confirm the request. The
// function connected reports whether the gate has a session. It is called with
// mu held, so that a MarkOrphaned for a session that ends meanwhile runs after
// the record was added.
func (s *Store) Add(owner string, bill *wire.Bill, connected func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := billingKey(bill)
	if s.isSettled(k) {
		return
	}
	if r, ok := s.records[k]; ok {
		r.bill.Usages = mergeUsages(r.bill.Usages, bill.GetUsages())
		return
	}
	s.dropOldest()
	wait := ReconnectGrace
	if connected() {
		wait = maxUnsettledAge
	}
	s.records[k] = &record{owner: owner, bill: proto.CloneOf(bill), dueAt: time.Now().Add(wait)}
	s.insertionOrder = append(s.insertionOrder, k)
	s.recordGauge.Set(float64(len(s.records)))
}

func (s *Store) isSettled(k ident.BillKey) bool {
	return slices.ContainsFunc(s.settledRanges, func(x *wire.Billing) bool { return covers(x, k) })
}

func covers(x *wire.Billing, k ident.BillKey) bool {
	seq := uint64(k.Sequence)
	return ident.Incarnation(x.GetIncarnation()) == k.Incarnation && x.GetFirst() <= seq && seq <= x.GetLast()
}

func mergeUsages(existing, added []*wire.Usage) []*wire.Usage {
	for _, u := range added {
		same := func(h *wire.Usage) bool { return h.GetAttempt() == u.GetAttempt() }
		if !slices.ContainsFunc(existing, same) {
			existing = append(existing, proto.CloneOf(u))
		}
	}
	return existing
}

// dropOldest drops the oldest record if the store is full. The gate that owns
// the record still bills the request, unless that gate fails.
func (s *Store) dropOldest() {
	for len(s.records) >= s.limit && len(s.insertionOrder) > 0 {
		oldest := s.insertionOrder[0]
		s.insertionOrder = s.insertionOrder[1:]
		if _, ok := s.records[oldest]; !ok {
			continue
		}
		delete(s.records, oldest)
		s.dropped.Inc()
		if now := time.Now(); now.Sub(s.lastDropLog) >= dropLogInterval {
			s.lastDropLog = now
			klog.ErrorS(nil, "Limit on usage records reached; dropping the oldest; look for gates that don't settle",
				"limit", s.limit, "incarnation", oldest.Incarnation, "sequence", oldest.Sequence)
		}
	}
	if len(s.insertionOrder) > 2*s.limit {
		s.insertionOrder = slices.DeleteFunc(s.insertionOrder, func(k ident.BillKey) bool { return s.records[k] == nil })
	}
}

// Settle removes the records of billed requests.
func (s *Store) Settle(list []*wire.Billing) {
	s.remove(list)
	s.notifier.Notify()
}

func (s *Store) remove(list []*wire.Billing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, billing := range list {
		s.settleRange(billing)
	}
	s.recordGauge.Set(float64(len(s.records)))
}

func (s *Store) settleRange(x *wire.Billing) {
	if x.GetLast() < x.GetFirst() {
		return
	}
	s.settledRanges = append(s.settledRanges, x)
	if extra := len(s.settledRanges) - maxSettledRanges; extra > 0 {
		s.settledRanges = slices.Delete(s.settledRanges, 0, extra)
	}
	// A range may be far wider than the number of records.
	if width := x.GetLast() - x.GetFirst(); width < uint64(len(s.records)) {
		for n := range width + 1 {
			delete(s.records, ident.BillKey{
				Incarnation: ident.Incarnation(x.GetIncarnation()), Sequence: ident.Sequence(x.GetFirst() + n),
			})
		}
		return
	}
	maps.DeleteFunc(s.records, func(k ident.BillKey, _ *record) bool { return covers(x, k) })
}

// MarkOrphaned records that the last session of a gate has ended: its records
// become due after ReconnectGrace.
func (s *Store) MarkOrphaned(owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := time.Now().Add(ReconnectGrace)
	for _, r := range s.records {
		if r.owner == owner && r.dueAt.After(due) {
			r.dueAt = due
		}
	}
}

// Due returns the records that are due, by the name of the gate that owns them,
// at most maxPerGate of each gate. Records stay due until they are settled. If
// a gate has more of them than maxPerGate, the selection differs from call to
// call.
func (s *Store) Due(maxPerGate int) map[string][]*wire.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	due := map[string][]*wire.Record{}
	for _, r := range s.records {
		if !now.Before(r.dueAt) && len(due[r.owner]) < maxPerGate {
			due[r.owner] = append(due[r.owner], &wire.Record{Bill: proto.CloneOf(r.bill)})
		}
	}
	return due
}

// Len returns the number of records.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// WaitEmpty waits until all records are settled.
func (s *Store) WaitEmpty(ctx context.Context) error {
	for {
		changed := s.notifier.Changed()
		if s.Len() == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
