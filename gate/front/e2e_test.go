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

var measuring = flag.Bool("measure", false, "print the measures of the whole gate")

func report(name, policy string, value float64, unit string) {
	if *measuring {
		fmt.Printf("measure=e2e_%s policy=%s value=%.3g unit=%s\n", name, policy, value, unit)
	}
}

// fleet runs f in a bubble with a gate over n sides of the model small, each
// with a number of slots, whose attempts take the time that took returns.
func fleet(t *testing.T, n, slots int, took func(side int, w *wire.Work) time.Duration, f func(w *world)) {
	t.Helper()
	runtime.GC() // see inBubble
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.c.put(t, map[string]any{"members/a": nil, "members/b": nil, "members/pay": nil})
		for i := range n {
			id := fmt.Sprintf("s%02d", i)
			w.add(id, &wire.Load{Served: []*wire.Served{{Model: "small", Version: "v1"}}, Slots: uint32(slots), Healthy: true})
			w.handle(func(k *task) {
				select {
				case <-time.After(took(i, k.work)):
					k.serve()
				case <-k.gone:
				}
			}, id)
		}
		w.c.put(t, map[string]any{"models/small": conf.Model{InputPrice: 1, OutputPrice: 1, PriorQuality: 0.9, Versions: []ident.Version{"v1"}}})
		w.start()
		time.Sleep(time.Second) // links, first reports
		f(w)
	})
}

// tail returns the p99 of the total time, and the attempts for each request.
func tail(t *testing.T, slowed float64) (p99 time.Duration, attempts float64) {
	const (
		sides, slots = 20, 4
		mean         = 200 * time.Millisecond
		load         = 0.4
		warm, length = 10 * time.Second, 20 * time.Second
		moves        = 10 * time.Second // the stragglers are others after it
	)
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(1, 2))
	begun := time.Time{}
	took := func(side int, _ *wire.Work) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		d := float64(mean) * math.Exp(0.3*rnd.NormFloat64())
		if at := int(time.Since(begun) / moves); (side+7*at)%10 == 0 {
			d *= slowed
		}
		return time.Duration(d)
	}
	fleet(t, sides, slots, took, func(w *world) {
		begun = time.Now()
		arrivals := rand.New(rand.NewPCG(3, 4))
		var wg sync.WaitGroup
		var times []time.Duration
		bad, before := 0, 0
		for time.Since(begun) < warm+length {
			time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(mean) / (load * sides * slots)))
			measured := time.Since(begun) > warm
			if !measured {
				before++
			}
			wg.Go(func() {
				start := time.Now()
				rec, _ := w.do(request{body: plain})
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
			n += len(s.got())
		}
		attempts = float64(n) / float64(len(times)+before)
	})
	return p99, attempts
}

// Stragglers must not show in the tail of the whole gate: the target is a p99
// of 1.5 times that of the unslowed fleet, with at most 5 % extra attempts.
func TestTailWithStragglers(t *testing.T) {
	calm, _ := tail(t, 1)
	slow, attempts := tail(t, 10)
	ratio := float64(slow) / float64(calm)
	report("tail", "gate", ratio, "ratio")
	report("extra", "gate", attempts-1, "share")
	t.Logf("p99 %s, with stragglers %s, %.3f attempts", calm, slow, attempts)
	if ratio > 1.5 {
		t.Errorf("got a p99 of %s with stragglers and %s without, want at most 1.5 times", slow, calm)
	}
	if attempts > 1.051 {
		t.Errorf("got %.3f attempts for each request, want at most 1.05", attempts)
	}
}

// job is one request of the rig for short work.
type job struct {
	at, length time.Duration
	report     bool
}

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

type ends []time.Duration

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i] < e[j] }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(time.Duration)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fifo returns the p99 wait of chats if all jobs waited in one line.
func fifo(list []job, slots int) time.Duration {
	free := make(ends, slots)
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

// Short chats must not wait behind long reports: the target is a p99 wait
// under a tenth of that under first come, first served.
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
	fleet(t, sides, slots, took, func(w *world) {
		begun := time.Now()
		var wg sync.WaitGroup
		for _, j := range list {
			time.Sleep(time.Until(begun.Add(j.at)))
			wg.Go(func() {
				q := request{body: plain}
				if j.report {
					q.headers = map[string]string{"X-Work-Kind": "report"}
				}
				var rec *httptest.ResponseRecorder
				start := time.Now()
				rec, _ = w.do(q)
				mu.Lock()
				defer mu.Unlock()
				if rec.Code != 200 {
					bad[code(rec)]++
				}
				if !j.report {
					waits = append(waits, time.Since(start)-j.length)
				}
			})
		}
		wg.Wait()
	})
	slices.Sort(waits)
	got, want := waits[len(waits)*99/100], fifo(list, sides*slots)
	report("short_wait", "gate", got.Seconds(), "s")
	report("short_wait", "fifo", want.Seconds(), "s")
	t.Logf("p99 wait of chats %s, first come first served %s; refused %v", got, want, bad)
	if got > want/10 {
		t.Errorf("got a p99 wait of %s for chats, want under a tenth of %s", got, want)
	}
	if len(bad) > 0 {
		t.Errorf("got refusals %v, want none", bad)
	}
}

// BenchmarkRate measures how many small chats one gate answers at once. The
// fake side processes run on the same cores.
func BenchmarkRate(b *testing.B) {
	w := newWorld(b)
	for _, s := range w.sides {
		s.load.Slots = 64
	}
	w.settle()
	w.start()
	for deadline := time.Now().Add(5 * time.Second); ; {
		if rec, _ := w.do(request{body: plain}); rec.Code == 200 {
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
			if rec, _ := w.do(request{body: plain}); rec.Code != 200 {
				bad.Add(1)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	if n := bad.Load(); n > 0 {
		b.Errorf("got %d requests without an answer", n)
	}
}

// settled is a cluster whose configuration does not change any more. It is
// read without a lock, as in the client of the state cluster; with the lock of
// the stand-in its readers would wait for each commit.
type settled struct {
	*cluster
	view *conf.View
	inc  ident.Incarnation
}

func (s *settled) View() *conf.View               { return s.view }
func (s *settled) LeaseValidAt(time.Time) bool    { return true }
func (s *settled) LeaseExpiry() time.Time         { return time.Now().Add(ident.LeaseDuration) }
func (s *settled) Incarnation() ident.Incarnation { return s.inc }

// settle rebuilds the gate on a settled cluster.
func (w *world) settle() {
	c := &settled{cluster: w.c, view: w.c.View(), inc: w.c.Incarnation()}
	keys := link.NewKeys("k", link.RoleProcess, []byte("0123456789abcdef"))
	w.book = bill.New(bill.Actor("gate-1"), bill.Client(c),
		bill.OnCommitted(func(id ident.Backend, list []*wire.Billing) { w.pool.NotifySettled(id, list) }))
	w.pool = pool.New(pool.WithName("gate-1", "z1"), pool.WithClient(c), pool.WithRecordCommitter(w.book.CommitRecords),
		pool.WithDialer(func(_ context.Context, addr string) (*link.Session, error) { return w.sides[addr].dial(keys) }))
	w.router = route.New(route.Actor("gate-1"), route.Client(c), route.Pool(w.pool), route.Book(w.book))
	w.front = front.New(front.WithClient(c), front.WithRouter(w.router), front.WithIDPrefix("test-"))
}
