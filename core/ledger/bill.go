package ledger

import (
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// billStore holds the most recent bills in full and the totals over all bills.
type billStore struct {
	lastIndex uint64
	recent    []*wire.Bill           // by index, at most MaxBills
	totals    map[string]*wire.Total // by customer
}

func newBills() billStore { return billStore{totals: map[string]*wire.Total{}} }

// sequenceSet is a set of sequence numbers, held as closed intervals in
// ascending order with a gap between neighbours.
type sequenceSet []*wire.Span

// add inserts n and reports whether it was absent.
func (s *sequenceSet) add(n uint64) bool {
	list := *s
	// i is the index of the first interval that ends at n-1 or later.
	i := sort.Search(len(list), func(i int) bool { return list[i].GetLast() >= n-1 })
	switch {
	case i == len(list):
		*s = append(list, &wire.Span{First: n, Last: n})
		return true
	case list[i].GetFirst() <= n && n <= list[i].GetLast():
		return false
	case list[i].GetLast() == n-1:
		list[i] = &wire.Span{First: list[i].GetFirst(), Last: n}
		if i+1 < len(list) && list[i+1].GetFirst()-1 == n {
			list[i] = &wire.Span{First: list[i].GetFirst(), Last: list[i+1].GetLast()}
			*s = slices.Delete(list, i+1, i+2)
		}
	case list[i].GetFirst()-1 == n:
		list[i] = &wire.Span{First: n, Last: list[i].GetLast()}
	default:
		*s = slices.Insert(list, i, &wire.Span{First: n, Last: n})
	}
	return true
}

// applyBills bills each pair of incarnation and sequence number once. Bills of
// retired incarnations are accepted, because another gate commits the bills of
// a crashed one.
func (l *Ledger) applyBills(b *wire.Bills) *wire.Result {
	done := &wire.Billed{}
	refused := 0
	for _, one := range b.GetBills() {
		inc, ok := l.incarnations.byID[one.GetIncarnation()]
		switch {
		case !ok || one.GetSequence() == 0 || one.GetCustomer() == "":
			refused++
		case !inc.billed.add(one.GetSequence()):
			done.Repeat++
		default:
			done.Fresh++
			inc.lastSequence = max(inc.lastSequence, one.GetSequence())
			l.bills.store(one)
		}
	}
	r := &wire.Result{Kind: &wire.Result_Billed{Billed: done}}
	if refused > 0 {
		r.Fault = refuse(fault.Invalid,
			"%d bills have no customer, no sequence number or an incarnation that is not on record; the others are settled", refused).Fault
	}
	return r
}

func (b *billStore) store(one *wire.Bill) {
	b.lastIndex++
	one = proto.CloneOf(one)
	one.Index = b.lastIndex
	b.recent = append(b.recent, one)
	if len(b.recent) > MaxBills {
		b.recent[0] = nil // the backing array would keep it alive
		b.recent = b.recent[1:]
	}
	t, ok := b.totals[one.GetCustomer()]
	if !ok {
		t = &wire.Total{Customer: one.GetCustomer()}
		b.totals[one.GetCustomer()] = t
	}
	t.Requests++
	for _, u := range one.GetUsages() {
		t.Input += u.GetInput()
		t.Output += u.GetOutput()
		t.Cost += u.GetCost()
	}
}

// Bills returns the bills with an index above after, of one customer or, if
// customer is empty, of all customers. It returns at most limit bills; a limit
// of 0 means all.
func (l *Ledger) Bills(customer string, after uint64, limit int) []*wire.Bill {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := l.bills.recent
	i := sort.Search(len(all), func(i int) bool { return all[i].GetIndex() > after })
	var list []*wire.Bill
	for _, one := range all[i:] {
		if limit > 0 && len(list) == limit {
			break
		}
		if customer == "" || customer == one.GetCustomer() {
			list = append(list, one)
		}
	}
	return list
}

// Totals returns the sums over all bills of each customer, by customer name.
func (l *Ledger) Totals() []*wire.Total {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.bills.sortedTotals()
}

func (b *billStore) sortedTotals() []*wire.Total {
	var list []*wire.Total
	for _, name := range slices.Sorted(maps.Keys(b.totals)) {
		list = append(list, proto.CloneOf(b.totals[name]))
	}
	return list
}

// UnbilledSequences returns, for each incarnation, the ranges of sequence
// numbers without a bill, up to its highest known number. They include the
// numbers of requests in flight.
func (l *Ledger) UnbilledSequences() []*wire.Billing {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*wire.Billing
	for _, id := range slices.Sorted(maps.Keys(l.incarnations.byID)) {
		inc := l.incarnations.byID[id]
		next := uint64(1)
		for _, s := range inc.billed {
			if s.GetFirst() > next {
				list = append(list, &wire.Billing{Incarnation: id, First: next, Last: s.GetFirst() - 1})
			}
			next = s.GetLast() + 1
		}
		if next != 0 && next <= inc.lastSequence {
			list = append(list, &wire.Billing{Incarnation: id, First: next, Last: inc.lastSequence})
		}
	}
	return list
}
