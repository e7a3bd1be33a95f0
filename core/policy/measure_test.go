package policy

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// measuring selects the full runs. Without it each measure runs a few seeds
// and fails the test only if its result is far from the target.
var measuring = flag.Bool("measure", false, "run the measures in full and print them")

// results collects the values of one measure over many seeds.
type results struct {
	mu     sync.Mutex
	order  []string
	values map[string][]float64
}

// add records a value under its printed name, for example
// "measure=p99 policy=choose" with a unit.
func (r *results) add(measure, policy, unit string, v float64) {
	key := fmt.Sprintf("measure=%s policy=%s value=%%.4g unit=%s low=%%.4g high=%%.4g", measure, policy, unit)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.values == nil {
		r.values = map[string][]float64{}
	}
	r.values[key] = append(r.values[key], v)
}

// median returns the median of a measure.
func (r *results) median(measure, policy, unit string) float64 {
	key := fmt.Sprintf("measure=%s policy=%s value=%%.4g unit=%s low=%%.4g high=%%.4g", measure, policy, unit)
	return quantile(r.values[key], 0.5)
}

// seeds runs a simulation once for each seed, several at a time, and prints the
// results when measuring. few is the number of seeds without -measure.
func (r *results) seeds(few, many int, simulate func(seed uint64, r *results)) {
	n := few
	if *measuring {
		n = many
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, 5)
	for seed := range uint64(n) {
		slots <- struct{}{}
		wg.Go(func() {
			simulate(seed+1, r)
			<-slots
		})
	}
	wg.Wait()
	r.print()
}

func (r *results) print() {
	if !*measuring {
		return
	}
	r.order = r.order[:0]
	for key := range r.values {
		r.order = append(r.order, key)
	}
	slices.Sort(r.order)
	for _, key := range r.order {
		v := r.values[key]
		fmt.Printf(key+"\n", quantile(v, 0.5), quantile(v, 0.1), quantile(v, 0.9))
	}
}

// quantile returns the quantile p of the values, and sorts them.
func quantile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(p*float64(len(v))))]
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(1, len(v)))
}

// atMost fails the test if a value is above a bound or is not a number.
func atMost(t *testing.T, what string, got, bound float64) {
	t.Helper()
	if math.IsNaN(got) || got > bound {
		t.Errorf("%s: got %.4g, want at most %.4g", what, got, bound)
	}
}

// events is a discrete-event simulation in virtual time.
type events struct {
	now  time.Time
	heap eventHeap
	next int
	rng  *rand.Rand
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var epoch = time.Unix(1_000_000, 0)

func newEvents(seed uint64) *events {
	return &events{now: epoch, rng: rand.New(rand.NewPCG(seed, 7))}
}

func (e *events) after(d time.Duration, do func()) {
	e.next++
	heap.Push(&e.heap, event{e.now.Add(max(0, d)), e.next, do})
}

// run handles all events up to a time since epoch.
func (e *events) run(until time.Duration) {
	for len(e.heap) > 0 && e.heap[0].at.Sub(epoch) <= until {
		ev := heap.Pop(&e.heap).(event)
		e.now = ev.at
		ev.do()
	}
}

// arrivals calls do at random times with a rate per second that may change. A
// rate of zero is read again after 10 ms.
func (e *events) arrivals(rate func(since time.Duration) float64, do func()) {
	r := rate(e.now.Sub(epoch))
	if r <= 0 {
		e.after(10*time.Millisecond, func() { e.arrivals(rate, do) })
		return
	}
	wait := e.rng.ExpFloat64() / r
	// Long gaps are divided, so that a rise of the rate takes effect soon.
	if wait > 0.1 {
		e.after(100*time.Millisecond, func() { e.arrivals(rate, do) })
		return
	}
	e.after(seconds(wait), func() {
		do()
		e.arrivals(rate, do)
	})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// length draws a log-normal time with a given mean.
func (e *events) length(mean time.Duration) time.Duration {
	const sigma = 0.5
	return seconds(mean.Seconds() * math.Exp(sigma*e.rng.NormFloat64()-sigma*sigma/2))
}
