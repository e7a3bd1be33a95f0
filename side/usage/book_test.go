package usage

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"citronledge.example/core/wire"
)

func bill(seq uint64, attempt uint32) *wire.Bill {
	return &wire.Bill{Incarnation: 1, Sequence: seq, Usages: []*wire.Usage{{Attempt: attempt, Output: 5}}}
}

func linked() bool { return true }

// Guards against a record that waits for the confirmation of a gate whose
// session ends while the record is added.
func TestOrphanDuringAdd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(3, prometheus.NewRegistry())
		done := make(chan struct{})
		b.Add("gate-1", bill(1, 1), func() bool {
			go func() {
				b.MarkOrphaned("gate-1")
				close(done)
			}()
			return true
		})
		<-done
		time.Sleep(ReconnectGrace)
		if got := len(b.Due(10)["gate-1"]); got != 1 {
			t.Errorf("got %d records due, want the one of the lost gate", got)
		}
	})
}

// Guards against memory without bound, against a record that nobody ever
// settles, and against attempts that are lost or counted twice.
func TestBook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(3, prometheus.NewRegistry())
		for seq := uint64(1); seq <= 4; seq++ {
			b.Add("gate-1", bill(seq, 1), linked)
			b.Add("gate-1", bill(seq, 1), linked)
			b.Add("gate-1", bill(seq, 2), linked)
		}
		if got := b.Len(); got != 3 {
			t.Errorf("got %d records, want the bound 3", got)
		}
		b.MarkOrphaned("gate-1")
		time.Sleep(ReconnectGrace)
		if got := len(b.Due(2)["gate-1"]); got != 2 {
			t.Errorf("got %d due, want at most 2", got)
		}
		due := b.Due(10)["gate-1"]
		for _, r := range due {
			if r.GetBill().GetSequence() == 1 || len(r.GetBill().GetUsages()) != 2 {
				t.Errorf("got %v, want sequences 2 to 4 with two usages", r)
			}
		}
		b.Settle([]*wire.Billing{{Incarnation: 1, First: 2, Last: math.MaxUint64}, {Incarnation: 1, First: 9, Last: 8}})
		b.Add("gate-1", bill(4, 3), linked) // the loser of a hedge ends after the bill
		if len(due) != 3 || b.Len() != 0 {
			t.Errorf("got %d due and %d records after all were settled", len(due), b.Len())
		}
		b.Add("gate-1", bill(1, 1), linked)
		if len(b.Due(10)) != 0 {
			t.Error("a record of a linked gate is due at once")
		}
		time.Sleep(forgotten)
		if len(b.Due(10)) != 1 {
			t.Error("a record whose confirmation was lost is never due")
		}
	})
}
