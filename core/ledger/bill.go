package ledger

import (
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// bills holds the newest bills in full and the totals of all.
type bills struct {
	last   uint64 // index of the last bill
	list   []*wire.Bill
	totals map[string]*wire.Total
}

func newBills() bills { return bills{totals: map[string]*wire.Total{}} }

// spans is a set of sequence numbers as closed intervals, in order, with a
// gap between each two.
type spans []*wire.Span

// add puts a number into the set; it returns false if it was in it.
func (s *spans) add(n uint64) bool {
	list := *s
	// i is the first interval that ends at n-1 or later.
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

// bill settles each (incarnation, sequence) once. Bills of retired
// incarnations are accepted: another gate settles for a crashed one.
func (l *Ledger) bill(b *wire.Bills) *wire.Result {
	done := &wire.Billed{}
	refused := 0
	for _, one := range b.GetBills() {
		ru, ok := l.runs.list[one.GetIncarnation()]
		switch {
		case !ok || one.GetSequence() == 0 || one.GetCustomer() == "":
			refused++
		case !ru.billed.add(one.GetSequence()):
			done.Repeat++
		default:
			done.Fresh++
			ru.last = max(ru.last, one.GetSequence())
			l.bills.put(one)
		}
	}
	r := &wire.Result{Kind: &wire.Result_Billed{Billed: done}}
	if refused > 0 {
		r.Fault = refuse(fault.Invalid,
			"%d bills have no customer, no sequence number or an incarnation that is not on record; the others are settled", refused).Fault
	}
	return r
}

func (b *bills) put(one *wire.Bill) {
	b.last++
	one = proto.CloneOf(one)
	one.Index = b.last
	b.list = append(b.list, one)
	if len(b.list) > MaxBills {
		b.list[0] = nil // the array behind the slice would keep it
		b.list = b.list[1:]
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

// Bills returns bills after an index, of one customer or, if it is empty, of
// all; at most limit, 0 means all.
func (l *Ledger) Bills(customer string, after uint64, limit int) []*wire.Bill {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := l.bills.list
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

// Totals returns the sums over all bills by customer.
func (l *Ledger) Totals() []*wire.Total {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.bills.sums()
}

func (b *bills) sums() []*wire.Total {
	var list []*wire.Total
	for _, name := range slices.Sorted(maps.Keys(b.totals)) {
		list = append(list, proto.CloneOf(b.totals[name]))
	}
	return list
}

// UnbilledSequences returns the sequence numbers up to the highest known one of each
// incarnation that have no bill. Those of running requests are among them.
func (l *Ledger) UnbilledSequences() []*wire.Billing {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*wire.Billing
	for _, id := range slices.Sorted(maps.Keys(l.runs.list)) {
		ru := l.runs.list[id]
		next := uint64(1)
		for _, s := range ru.billed {
			if s.GetFirst() > next {
				list = append(list, &wire.Billing{Incarnation: id, First: next, Last: s.GetFirst() - 1})
			}
			next = s.GetLast() + 1
		}
		if next != 0 && next <= ru.last {
			list = append(list, &wire.Billing{Incarnation: id, First: next, Last: ru.last})
		}
	}
	return list
}
