package slope

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/gate/bill"
)

// perGate is the rate of one of 430 gates at the peak of 29,000 requests/s.
const perGate = 67

// MeasureBills measures a state cluster that commits the bills of gates.
func MeasureBills(ctx context.Context, p Plan) error {
	t := newTable(p, "bills")
	for _, n := range []int{100, 1000, 5000, 29_000} {
		if err := bills(ctx, t, n); err != nil {
			return err
		}
		if n == 5000 {
			t.fits() // the largest size may not be reached, so it is left out
		}
	}
	return nil
}

func bills(ctx context.Context, t *table, n int) error {
	c, err := newCluster(t.p)
	if err != nil {
		return err
	}
	defer c.stop()
	m := &meter{}
	g := group.New(ctx)
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	clients, err := c.hold(ctx, g, m, max(1, min(n/perGate, 430)))
	if err != nil {
		return err
	}
	var books []*bill.Book
	for i, one := range clients {
		b := bill.New(bill.Actor(fmt.Sprintf("gate-%03d", i)), bill.Client(one))
		books = append(books, b)
		g.Go("bills", b.Run)
	}
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	rest, err := watch(ctx, t.p, m, c.children)
	if err != nil {
		return err
	}
	lead, follow, err := c.leader(rest[1:])
	if err != nil {
		return err
	}
	empty, err := all(m, c.children, "heap")
	if err != nil {
		return err
	}
	before, err := all(m, c.children, "cpu") // without that of the collections
	if err != nil {
		return err
	}
	for i := range before {
		before[i].Heap = empty[i].Heap
	}
	start := time.Now()
	w := produce(ctx, books, n, t.p.Window*time.Duration(t.p.Windows))
	seconds := time.Since(start).Seconds()
	after, err := all(m, c.children, "cpu")
	if err != nil {
		return err
	}
	heaps, err := all(m, c.children, "heap")
	if err != nil {
		return err
	}
	return c.billed(t, n, w, seconds, before, after, heaps, rest[0], lead, follow)
}

func (c *cluster) billed(t *table, n int, w *work, seconds float64, before, after, heaps []Usage, near, lead, follow rate) error {
	done := float64(w.done.Load())
	costs := make([]rate, len(after))
	for i := range after {
		costs[i] = between(before[i], after[i], max(done, 1))
	}
	leader, follower, err := c.leader(costs[1:])
	if err != nil {
		return err
	}
	t.add("committed", "1/s", n, done/seconds)
	t.add("late", "1/s", n, float64(w.late.Load())/seconds)
	t.add("commit-p50", "ms", n, median(w.times))
	t.add("entries", "1/s", n, float64(after[1].AppliedIndex-before[1].AppliedIndex)/seconds)
	t.add("gate-sent", "B/bill", n, costs[0].sent-near.sent*seconds/done)
	t.add("gate-got", "B/bill", n, costs[0].got-near.got*seconds/done)
	// The line through these has the cost of one more bill as its slope.
	t.add("gates-cpu", "us/s", n, costs[0].cpu*done/seconds-near.cpu)
	t.add("leader-cpu", "us/s", n, leader.cpu*done/seconds-lead.cpu)
	t.add("follower-cpu", "us/s", n, follower.cpu*done/seconds-follow.cpu)
	t.add("log", "B/bill", n, float64(after[1].Disk-before[1].Disk)/done)
	t.add("state-heap", "B/bill", n, (float64(heaps[1].Heap)-float64(before[1].Heap))/done)
	return nil
}

// work counts the bills of a run.
type work struct {
	done, late atomic.Int64
	mu         sync.Mutex
	times      []float64 // ms
}

// produce commits n bills a second, evenly spread over time and gates.
func produce(ctx context.Context, books []*bill.Book, n int, d time.Duration) *work {
	w := &work{}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	start := time.Now()
	for made := 0; ; {
		if sleep(ctx, 2*time.Millisecond) != nil {
			return w
		}
		due := int(time.Since(start).Seconds() * float64(n))
		for ; made < due; made++ {
			b := books[made%len(books)]
			running.Go(func() { w.one(b) })
		}
	}
}

// one commits a bill like that of a small chat.
func (w *work) one(b *bill.Book) {
	const deadline = 2 * time.Second
	key, ok := b.NextBilling()
	if !ok {
		w.late.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	start := time.Now()
	err := b.Commit(ctx, &wire.Bill{
		Incarnation: uint64(key.Incarnation), Sequence: uint64(key.Sequence), Customer: "bengal-crop-insurance",
		Request: fmt.Sprintf("%d-%d-0123456789ab", key.Incarnation, key.Sequence), Time: uint64(start.UnixMilli()),
		Usages: []*wire.Usage{{Model: "swift", Version: "v1", Input: 180, Output: 283, Cost: 97.5, Attempt: 1}},
	}, []ident.Backend{"runner-0001"})
	if err != nil {
		w.late.Add(1)
		return
	}
	w.done.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.times = append(w.times, float64(time.Since(start).Microseconds())/1000)
}
