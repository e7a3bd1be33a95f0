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

func connected() bool { return true }

// A record must become due after ReconnectGrace if the session of its gate ends
// while the record is added; else it would wait for that gate's confirmation.
func TestMarkOrphanedDuringAdd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(3, prometheus.NewRegistry())
		done := make(chan struct{})
		s.Add("gate-1", bill(1, 1), func() bool {
			go func() {
				s.MarkOrphaned("gate-1")
				close(done)
			}()
			return true
		})
		<-done
		time.Sleep(ReconnectGrace)
		if got := len(s.Due(10)["gate-1"]); got != 1 {
			t.Errorf("got %d records due, want the one of the gate whose session ended", got)
		}
	})
}

// The number of records must stay limited, a record whose confirmation was lost
// must become due, and no attempt may be lost or counted twice.
func TestStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(3, prometheus.NewRegistry())
		for seq := uint64(1); seq <= 4; seq++ {
			s.Add("gate-1", bill(seq, 1), connected)
			s.Add("gate-1", bill(seq, 1), connected)
			s.Add("gate-1", bill(seq, 2), connected)
		}
		if got := s.Len(); got != 3 {
			t.Errorf("got %d records, want the limit 3", got)
		}
		s.MarkOrphaned("gate-1")
		time.Sleep(ReconnectGrace)
		if got := len(s.Due(2)["gate-1"]); got != 2 {
			t.Errorf("got %d records due, want at most 2", got)
		}
		due := s.Due(10)["gate-1"]
		for _, r := range due {
			if r.GetBill().GetSequence() == 1 || len(r.GetBill().GetUsages()) != 2 {
				t.Errorf("got %v, want sequences 2 to 4 with two usages", r)
			}
		}
		s.Settle([]*wire.Billing{{Incarnation: 1, First: 2, Last: math.MaxUint64}, {Incarnation: 1, First: 9, Last: 8}})
		s.Add("gate-1", bill(4, 3), connected) // the losing attempt of a hedge ends after the bill
		if len(due) != 3 || s.Len() != 0 {
			t.Errorf("got %d records due and %d records left after all were settled", len(due), s.Len())
		}
		s.Add("gate-1", bill(1, 1), connected)
		if len(s.Due(10)) != 0 {
			t.Error("a record of a linked gate is due at once")
		}
		time.Sleep(maxUnsettledAge)
		if len(s.Due(10)) != 1 {
			t.Error("a record whose confirmation was lost is never due")
		}
	})
}
