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

// requestsPerGate is the rate of requests/s of one of 430 gates at the peak of
// 29,000 requests/s.
const requestsPerGate = 67

// MeasureBills measures a state cluster that commits the bills of gates, by
// the number of bills per second.
func MeasureBills(ctx context.Context, p Plan) error {
	t := newTable(p, "bills")
	for _, n := range []int{100, 1000, 5000, 29_000} {
		if err := measureBills(ctx, t, n); err != nil {
			return err
		}
		if n == 5000 {
			t.printFits() // without the largest rate, which the cluster may not reach
		}
	}
	return nil
}

func measureBills(ctx context.Context, t *table, n int) error {
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
	clients, err := c.holdLeases(ctx, g, m, max(1, min(n/requestsPerGate, 430)))
	if err != nil {
		return err
	}
	var books []*bill.Book
	for i, client := range clients {
		b := bill.New(bill.Actor(fmt.Sprintf("gate-%03d", i)), bill.Client(client))
		books = append(books, b)
		g.Go("bills", b.Run)
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	idle, err := measureIdle(ctx, t.p, m, c.children)
	if err != nil {
		return err
	}
	idleLeader, idleFollower, err := c.splitLeader(idle[1:])
	if err != nil {
		return err
	}
	idleHeaps, err := allUsages(m, c.children, "heap")
	if err != nil {
		return err
	}
	before, err := allUsages(m, c.children, "cpu") // excludes the processor time of the garbage collections
	if err != nil {
		return err
	}
	for i := range before {
		before[i].Heap = idleHeaps[i].Heap
	}
	start := time.Now()
	w := commitBills(ctx, books, n, t.p.Window*time.Duration(t.p.Windows))
	seconds := time.Since(start).Seconds()
	after, err := allUsages(m, c.children, "cpu")
	if err != nil {
		return err
	}
	heaps, err := allUsages(m, c.children, "heap")
	if err != nil {
		return err
	}
	return c.report(t, n, w, seconds, before, after, heaps, idle[0], idleLeader, idleFollower)
}

// report adds the results of a run to the table. It subtracts the idle cost of the
// local process, the leader and a follower.
func (c *cluster) report(t *table, n int, w *billCounts, seconds float64, before, after, heaps []Usage, local, idleLeader, idleFollower rate) error {
	committed := float64(w.committed.Load())
	costs := make([]rate, len(after))
	for i := range after {
		costs[i] = usageRate(before[i], after[i], max(committed, 1))
	}
	leader, follower, err := c.splitLeader(costs[1:])
	if err != nil {
		return err
	}
	t.add("committed", "1/s", n, committed/seconds)
	t.add("late", "1/s", n, float64(w.failed.Load())/seconds)
	t.add("commit-p50", "ms", n, median(w.commitTimes))
	t.add("entries", "1/s", n, float64(after[1].AppliedIndex-before[1].AppliedIndex)/seconds)
	t.add("gate-sent", "B/bill", n, costs[0].sent-local.sent*seconds/committed)
	t.add("gate-got", "B/bill", n, costs[0].received-local.received*seconds/committed)
	// The slope of the line through these values is the cost of one more bill.
	t.add("gates-cpu", "us/s", n, costs[0].cpu*committed/seconds-local.cpu)
	t.add("leader-cpu", "us/s", n, leader.cpu*committed/seconds-idleLeader.cpu)
	t.add("follower-cpu", "us/s", n, follower.cpu*committed/seconds-idleFollower.cpu)
	t.add("log", "B/bill", n, float64(after[1].Disk-before[1].Disk)/committed)
	t.add("state-heap", "B/bill", n, (float64(heaps[1].Heap)-float64(before[1].Heap))/committed)
	return nil
}

// billCounts counts the bills of a run.
type billCounts struct {
	committed, failed atomic.Int64
	mu                sync.Mutex
	commitTimes       []float64 // ms
}

// commitBills commits n bills a second, evenly spread over time and gates.
func commitBills(ctx context.Context, books []*bill.Book, n int, d time.Duration) *billCounts {
	w := &billCounts{}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for started := 0; ; {
		if sleep(ctx, 2*time.Millisecond) != nil {
			return w
		}
		due := int(time.Since(start).Seconds() * float64(n))
		for ; started < due; started++ {
			b := books[started%len(books)]
			wg.Go(func() { w.commitOne(b) })
		}
	}
}

// commitOne commits a bill like that of a small chat.
func (w *billCounts) commitOne(b *bill.Book) {
	const timeout = 2 * time.Second
	key, ok := b.NextBilling()
	if !ok {
		w.failed.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	err := b.Commit(ctx, &wire.Bill{
		Incarnation: uint64(key.Incarnation), Sequence: uint64(key.Sequence), Customer: "bengal-crop-insurance",
		Request: fmt.Sprintf("%d-%d-0123456789ab", key.Incarnation, key.Sequence), Time: uint64(start.UnixMilli()),
		Usages: []*wire.Usage{{Model: "swift", Version: "v1", Input: 180, Output: 283, Cost: 97.5, Attempt: 1}},
	}, []ident.Backend{"runner-0001"})
	if err != nil {
		w.failed.Add(1)
		return
	}
	w.committed.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commitTimes = append(w.commitTimes, float64(time.Since(start).Microseconds())/1000)
}
