package bill

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// fakeCluster is a state cluster that keeps the first bill of each number.
type fakeCluster struct {
	mu    sync.Mutex
	bills map[ident.BillKey]*wire.Bill
	down  bool
}

func (c *fakeCluster) Incarnation() ident.Incarnation { return 7 }

func (c *fakeCluster) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, fault.New(fault.Unavailable, "no leader")
	}
	r := &wire.Billed{}
	for _, b := range cmd.GetBills().GetBills() {
		if _, ok := c.bills[billingOf(b)]; ok {
			r.Repeat++
			continue
		}
		r.Fresh++
		c.bills[billingOf(b)] = b
	}
	return &wire.Result{Kind: &wire.Result_Billed{Billed: r}}, nil
}

func (c *fakeCluster) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

func (c *fakeCluster) billedOutput(n ident.BillKey) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := int64(0)
	for _, u := range c.bills[n].GetUsages() {
		sum += u.GetOutput()
	}
	return sum
}

func newBill(n ident.BillKey, outputs ...int64) *wire.Bill {
	b := &wire.Bill{Incarnation: uint64(n.Incarnation), Sequence: uint64(n.Sequence)}
	for _, o := range outputs {
		b.Usages = append(b.Usages, &wire.Usage{Output: o})
	}
	return b
}

// Guards against a partial bill: a side process that reconnects offers the record
// of the first attempt of a request whose second attempt is still running.
func TestCommitRecordsSkipsOpenNumbers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeCluster{bills: map[ident.BillKey]*wire.Bill{}}
		b := New(Client(c))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = b.Run(ctx) }()
		open, ok := b.NextBilling()
		if !ok {
			t.Fatal("got no number")
		}
		gone := ident.BillKey{Incarnation: 3, Sequence: 1} // assigned by a gate that is gone
		records := []*wire.Record{{Bill: newBill(open, 5)}, {Bill: newBill(gone, 2)}}
		if err := b.CommitRecords(ctx, records); !errors.Is(err, ErrRequestRunning) {
			t.Errorf("got %v while the request runs, want ErrRequestRunning", err)
		}
		if got := c.billedOutput(gone); got != 2 {
			t.Errorf("got %d tokens billed of the gate that is gone, want 2", got)
		}
		c.setDown(true)
		late, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		if err := b.Commit(late, newBill(open, 5, 9), nil); !errors.Is(err, ErrNotCommitted) {
			t.Errorf("got %v without a state cluster, want ErrNotCommitted", err)
		}
		again, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		if err := b.CommitRecords(again, records[:1]); !errors.Is(err, ErrRequestRunning) {
			t.Errorf("got %v while the bill is queued, want ErrRequestRunning", err)
		}
		c.setDown(false)
		time.Sleep(5 * time.Second)
		if err := b.CommitRecords(ctx, records); err != nil {
			t.Errorf("got %v after the bill", err)
		}
		if got := c.billedOutput(open); got != 14 {
			t.Errorf("got %d tokens billed, want all 14", got)
		}
		if len(b.openNumbers) != 0 {
			t.Errorf("got %d open numbers at the end", len(b.openNumbers))
		}
		cancel()
		synctest.Wait()
	})
}
