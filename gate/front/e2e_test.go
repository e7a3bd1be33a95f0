package front_test

import (
	"container/heap"
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/gate/bill"
	"citronledge.example/gate/front"
	"citronledge.example/gate/pool"
	"citronledge.example/gate/route"
)

var printMeasurements = flag.Bool("measure", false, "print the measurements of the whole gate")

func printMeasurement(name, policy string, value float64, unit string) {
	if *printMeasurements {
		fmt.Printf("measure=e2e_%s policy=%s value=%.3g unit=%s\n", name, policy, value, unit)
	}
}

// withFleet runs f in a bubble with a gate and n side processes of the model
// small, each with the given slots. Attempts last as long as took returns.
func withFleet(t *testing.T, n, slots int, took func(side int, w *wire.Work) time.Duration, f func(w *testGate)) {
	t.Helper()
	runtime.GC() // see runInBubble
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		w := newTestGate(t)
		w.cluster.put(t, map[string]any{"members/a": nil, "members/b": nil, "members/pay": nil})
		for i := range n {
			id := fmt.Sprintf("s%02d", i)
			w.add(id, &wire.Load{Served: []*wire.Served{{Model: "small", Version: "v1"}}, Slots: uint32(slots), Healthy: true})
			w.setHandler(func(k *fakeAttempt) {
				select {
				case <-time.After(took(i, k.work)):
					k.answer()
				case <-k.closed:
				}
			}, id)
		}
		w.cluster.put(t, map[string]any{"models/small": conf.Model{InputPrice: 1, OutputPrice: 1, PriorQuality: 0.9, Versions: []ident.Version{"v1"}}})
		w.start()
		time.Sleep(time.Second) // links, first reports
		f(w)
	})
}

// measureTail returns the p99 of the total time and the attempts per request, if
// one side process in ten is slower by the factor slowed.
func measureTail(t *testing.T, slowed float64) (p99 time.Duration, attempts float64) {
	const (
		sides, slots   = 20, 4
		mean           = 200 * time.Millisecond
		load           = 0.4
		warmUp, length = 10 * time.Second, 20 * time.Second
		rotation       = 10 * time.Second // after which other side processes become the stragglers
	)
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(1, 2))
	begun := time.Time{}
	took := func(side int, _ *wire.Work) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		d := float64(mean) * math.Exp(0.3*rnd.NormFloat64())
		if at := int(time.Since(begun) / rotation); (side+7*at)%10 == 0 {
			d *= slowed
		}
		return time.Duration(d)
	}
	withFleet(t, sides, slots, took, func(w *testGate) {
		begun = time.Now()
		arrivals := rand.New(rand.NewPCG(3, 4))
		var wg sync.WaitGroup
		var times []time.Duration
		bad, before := 0, 0
		for time.Since(begun) < warmUp+length {
			time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(mean) / (load * sides * slots)))
			measured := time.Since(begun) > warmUp
			if !measured {
				before++
			}
			wg.Go(func() {
				start := time.Now()
				rec, _ := w.do(request{body: chatBody})
				mu.Lock()
				defer mu.Unlock()
				if rec.Code != 200 {
					bad++
				}
				if measured {
					times = append(times, time.Since(start))
				}
			})
		}
		wg.Wait()
		if bad > 0 {
			t.Errorf("got %d requests without an answer", bad)
		}
		slices.Sort(times)
		p99 = times[len(times)*99/100]
		n := 0
		for _, s := range w.sides {
			n += len(s.received())
		}
		attempts = float64(n) / float64(len(times)+before)
	})
	return p99, attempts
}

// Stragglers must not show in the tail latency of the whole gate: the target is a
// p99 of at most 1.5 times that of a fleet without them, with at most 5 % extra
// attempts.
func TestTailWithStragglers(t *testing.T) {
	baseline, _ := measureTail(t, 1)
	slow, attempts := measureTail(t, 10)
	ratio := float64(slow) / float64(baseline)
	printMeasurement("tail", "gate", ratio, "ratio")
	printMeasurement("extra", "gate", attempts-1, "share")
	t.Logf("p99 %s, with stragglers %s, %.3f attempts", baseline, slow, attempts)
	if ratio > 1.5 {
		t.Errorf("got a p99 of %s with stragglers and %s without, want at most 1.5 times", slow, baseline)
	}
	if attempts > 1.051 {
		t.Errorf("got %.3f attempts for each request, want at most 1.05", attempts)
	}
}

// job is one request of TestShortBehindLong.
type job struct {
	at, length time.Duration
	report     bool
}

// jobs returns short chats at 15 per second for four minutes, and two bursts of
// 60 long reports.
func jobs() []job {
	rnd := rand.New(rand.NewPCG(5, 6))
	var list []job
	for at := time.Duration(0); at < 4*time.Minute; {
		at += time.Duration(rnd.ExpFloat64() * float64(time.Second) / 15)
		list = append(list, job{at: at, length: 300 * time.Millisecond})
	}
	for _, at := range []time.Duration{10 * time.Second, 130 * time.Second} {
		for range 60 {
			list = append(list, job{at: at, length: 20 * time.Second, report: true})
		}
	}
	slices.SortStableFunc(list, func(a, b job) int { return int(a.at - b.at) })
	return list
}

// endTimes is a heap of the times at which slots become free.
type endTimes []time.Duration

func (e endTimes) Len() int           { return len(e) }
func (e endTimes) Less(i, j int) bool { return e[i] < e[j] }
func (e endTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endTimes) Push(x any)        { *e = append(*e, x.(time.Duration)) }
func (e *endTimes) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fifoWait returns the p99 wait of chats if all jobs waited in one FIFO queue.
func fifoWait(list []job, slots int) time.Duration {
	free := make(endTimes, slots)
	var waits []time.Duration
	for _, j := range list {
		start := max(j.at, free[0])
		free[0] = start + j.length
		heap.Fix(&free, 0)
		if !j.report {
			waits = append(waits, start-j.at)
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// Short chats must not wait behind long reports: the target is a p99 wait of at
// most a tenth of that in a FIFO queue.
func TestShortBehindLong(t *testing.T) {
	const sides, slots = 10, 4
	list := jobs()
	took := func(_ int, w *wire.Work) time.Duration {
		if w.GetKind() == "report" {
			return 20 * time.Second
		}
		return 300 * time.Millisecond
	}
	var mu sync.Mutex
	var waits []time.Duration
	bad := map[string]int{}
	withFleet(t, sides, slots, took, func(w *testGate) {
		begun := time.Now()
		var wg sync.WaitGroup
		for _, j := range list {
			time.Sleep(time.Until(begun.Add(j.at)))
			wg.Go(func() {
				q := request{body: chatBody}
				if j.report {
					q.headers = map[string]string{"X-Work-Kind": "report"}
				}
				var rec *httptest.ResponseRecorder
				start := time.Now()
				rec, _ = w.do(q)
				mu.Lock()
				defer mu.Unlock()
				if rec.Code != 200 {
					bad[errorSummary(rec)]++
				}
				if !j.report {
					waits = append(waits, time.Since(start)-j.length)
				}
			})
		}
		wg.Wait()
	})
	slices.Sort(waits)
	got, want := waits[len(waits)*99/100], fifoWait(list, sides*slots)
	printMeasurement("short_wait", "gate", got.Seconds(), "s")
	printMeasurement("short_wait", "fifo", want.Seconds(), "s")
	t.Logf("p99 wait of chats %s, in a FIFO queue %s; refused %v", got, want, bad)
	if got > want/10 {
		t.Errorf("got a p99 wait of %s for chats, want under a tenth of %s", got, want)
	}
	if len(bad) > 0 {
		t.Errorf("got refusals %v, want none", bad)
	}
}

// BenchmarkRate measures how many small chats per second one gate answers under
// concurrent load. The fake side processes run on the same cores.
func BenchmarkRate(b *testing.B) {
	w := newTestGate(b)
	for _, s := range w.sides {
		s.load.Slots = 64
	}
	w.useFixedCluster()
	w.start()
	for deadline := time.Now().Add(5 * time.Second); ; {
		if rec, _ := w.do(request{body: chatBody}); rec.Code == 200 {
			break
		}
		if time.Now().After(deadline) {
			b.Fatal("no link after 5 s")
		}
	}
	var bad atomic.Int64
	b.SetParallelism(6)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if rec, _ := w.do(request{body: chatBody}); rec.Code != 200 {
				bad.Add(1)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	if n := bad.Load(); n > 0 {
		b.Errorf("got %d requests without an answer", n)
	}
}

// fixedCluster is a fakeCluster whose configuration no longer changes. It is
// read without a lock, as in the real client of the state cluster; with the lock
// of fakeCluster its readers would wait for each commit.
type fixedCluster struct {
	*fakeCluster
	view *conf.View
	inc  ident.Incarnation
}

func (s *fixedCluster) View() *conf.View               { return s.view }
func (s *fixedCluster) LeaseValidAt(time.Time) bool    { return true }
func (s *fixedCluster) LeaseExpiry() time.Time         { return time.Now().Add(ident.LeaseDuration) }
func (s *fixedCluster) Incarnation() ident.Incarnation { return s.inc }

// useFixedCluster rebuilds the gate on a fixedCluster.
func (w *testGate) useFixedCluster() {
	c := &fixedCluster{fakeCluster: w.cluster, view: w.cluster.View(), inc: w.cluster.Incarnation()}
	keys := link.NewKeys("k", link.RoleProcess, []byte("0123456789abcdef"))
	w.book = bill.New(bill.Actor("gate-1"), bill.Client(c),
		bill.OnCommitted(func(id ident.Backend, list []*wire.Billing) { w.pool.NotifySettled(id, list) }))
	w.pool = pool.New(pool.WithName("gate-1", "z1"), pool.WithClient(c), pool.WithRecordCommitter(w.book.CommitRecords),
		pool.WithDialer(func(_ context.Context, addr string) (*link.Session, error) { return w.sides[addr].dial(keys) }))
	w.router = route.New(route.Actor("gate-1"), route.Client(c), route.Pool(w.pool), route.Book(w.book))
	w.front = front.New(front.WithClient(c), front.WithRouter(w.router), front.WithIDPrefix("test-"))
}
