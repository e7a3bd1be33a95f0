package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// queueRig simulates the slots of one gate, with a Queue or with one plain FIFO
// queue.
type queueRig struct {
	*events
	queue    *Queue // nil for the FIFO queue
	slots    int
	limit    int
	fifo     []Ticket
	running  int
	lastID   uint64
	requests map[uint64]offeredRequest
	counts   queueCounts
}

type offeredRequest struct {
	group string
	at    time.Time
	took  time.Duration
}

// queueCounts counts requests by group, and slot time by whether the answer was
// in time.
type queueCounts struct {
	offered, served map[string]int
	waits           map[ident.Kind][]float64
	totals          map[ident.Kind][]float64
	useful, wasted  time.Duration
}

func newQueueRig(seed uint64, slots, longSlots int, fair bool) *queueRig {
	rig := &queueRig{events: newEvents(seed), slots: slots, limit: 1000, requests: map[uint64]offeredRequest{}}
	if fair {
		rig.queue = NewQueue(QueueConfig{MaxWaiting: rig.limit, Slots: slots, LongSlots: longSlots})
	}
	rig.counts = queueCounts{
		offered: map[string]int{}, served: map[string]int{},
		waits: map[ident.Kind][]float64{}, totals: map[ident.Kind][]float64{},
	}
	return rig
}

// offer adds a request. The predicted time is the mean of its kind; the true
// time varies around it.
func (rig *queueRig) offer(c ident.Customer, kind ident.Kind, mean, maxLatency time.Duration) {
	rig.lastID++
	group, _, _ := strings.Cut(string(c), "-")
	t := Ticket{ID: rig.lastID, Customer: c, Kind: kind, SlotTime: mean, Deadline: rig.now.Add(maxLatency)}
	rig.requests[t.ID] = offeredRequest{group, rig.now, rig.length(mean)}
	rig.counts.offered[group]++
	switch {
	case rig.queue != nil:
		if rig.queue.Offer(rig.now, t).Action == Run {
			rig.serve(t)
		}
	case rig.running < rig.slots:
		rig.serve(t)
	case len(rig.fifo) < rig.limit:
		rig.fifo = append(rig.fifo, t)
	}
}

func (rig *queueRig) serve(t Ticket) {
	a := rig.requests[t.ID]
	rig.running++
	rig.counts.waits[t.Kind] = append(rig.counts.waits[t.Kind], rig.now.Sub(a.at).Seconds())
	// The caller gives up at the deadline, and the work is cancelled.
	took, late := a.took, false
	if left := t.Deadline.Sub(rig.now); took > left {
		took, late = max(0, left), true
	}
	rig.after(took, func() {
		rig.running--
		if late {
			rig.counts.wasted += took
		} else {
			rig.counts.useful += took
			rig.counts.served[a.group]++
			rig.counts.totals[t.Kind] = append(rig.counts.totals[t.Kind], rig.now.Sub(a.at).Seconds())
		}
		if rig.queue != nil {
			rig.queue.Done(rig.now, t.ID, took)
		}
		rig.startWaiting()
	})
}

func (rig *queueRig) startWaiting() {
	if rig.queue != nil {
		rig.queue.Expire(rig.now)
		for t, ok := rig.queue.Next(rig.now); ok; t, ok = rig.queue.Next(rig.now) {
			rig.serve(t)
		}
		return
	}
	for rig.running < rig.slots && len(rig.fifo) > 0 {
		t := rig.fifo[0]
		rig.fifo = rig.fifo[1:]
		if t.Deadline.After(rig.now) { // otherwise its caller has given up
			rig.serve(t)
		}
	}
}

// loadPeak raises the demand of ten customers tenfold, from 0.2 to 2 times the
// capacity: two large customers with 40 % of it each and eight small ones.
func loadPeak(seed uint64, fair bool) *queueRig {
	const slots, chat, maxLatency = 40, 500 * time.Millisecond, 2 * time.Second
	rig := newQueueRig(seed, slots, slots/2, fair)
	total := func(since time.Duration) float64 {
		normal, peak := 0.2*slots/chat.Seconds(), 2*slots/chat.Seconds()
		rise := min(1, max(0, (since-10*time.Second).Seconds()/2)) // full after 2 s
		if since > 30*time.Second {
			rise = 0
		}
		return normal + rise*(peak-normal)
	}
	for i := range 10 {
		c, share := ident.Customer(fmt.Sprintf("small-%d", i)), 0.025
		if i < 2 {
			c, share = ident.Customer(fmt.Sprintf("large-%d", i)), 0.4
		}
		rate := func(since time.Duration) float64 { return share * total(since) }
		rig.arrivals(rate, func() { rig.offer(c, ident.Chat, chat, maxLatency) })
	}
	// Only the peak counts.
	rig.after(12*time.Second, func() {
		rig.counts.offered, rig.counts.served = map[string]int{}, map[string]int{}
		rig.counts.useful, rig.counts.wasted = 0, 0
	})
	rig.run(30 * time.Second)
	return rig
}

func TestMeasureLoadPeak(t *testing.T) {
	const seconds, slots, chat = 18, 40, 0.5
	var r results
	r.seeds(4, 40, func(seed uint64, r *results) {
		for name, fair := range map[string]bool{"queue": true, "fifo": false} {
			rig := loadPeak(seed, fair)
			for _, group := range []string{"large", "small"} {
				r.add("crest_served_"+group, name, "share", float64(rig.counts.served[group])/float64(rig.counts.offered[group]))
			}
			all := rig.counts.served["large"] + rig.counts.served["small"]
			r.add("crest_goodput", name, "of_capacity", float64(all)/(seconds*slots/chat))
			r.add("crest_wasted", name, "of_slot_time", rig.counts.wasted.Seconds()/(rig.counts.wasted+rig.counts.useful).Seconds())
		}
	})
	atMost(t, "slot time for late answers", r.median("crest_wasted", "queue", "of_slot_time"), 0.08)
	atMost(t, "lost answers of small customers", 1-r.median("crest_served_small", "queue", "share"), 0.05)
	atMost(t, "capacity not used for good answers", 1-r.median("crest_goodput", "queue", "of_capacity"), 0.1)
}

// shortAndLong offers short chats and, every two minutes, a burst of long
// reports that would fill every slot.
func shortAndLong(seed uint64, fair bool) *queueRig {
	const slots = 40
	rig := newQueueRig(seed, slots, slots/2, fair)
	rig.arrivals(func(time.Duration) float64 { return 15 }, func() {
		rig.offer("a", ident.Chat, 300*time.Millisecond, 30*time.Second)
	})
	var burst func()
	burst = func() {
		for range 60 {
			rig.offer("b", ident.Report, 20*time.Second, 300*time.Second)
		}
		rig.after(120*time.Second, burst)
	}
	burst()
	rig.run(600 * time.Second)
	return rig
}

func TestMeasureShortWork(t *testing.T) {
	var r results
	r.seeds(3, 40, func(seed uint64, r *results) {
		wait := map[string]float64{}
		for name, fair := range map[string]bool{"queue": true, "fifo": false} {
			rig := shortAndLong(seed, fair)
			wait[name] = quantile(rig.counts.waits[ident.Chat], 0.99)
			r.add("short_wait_p99", name, "s", wait[name])
			r.add("long_total_p50", name, "s", quantile(rig.counts.totals[ident.Report], 0.5))
			r.add("long_total_p99", name, "s", quantile(rig.counts.totals[ident.Report], 0.99))
		}
		r.add("short_wait_p99_ratio", "queue", "ratio", wait["queue"]/wait["fifo"])
	})
	atMost(t, "p99 wait of short work", r.median("short_wait_p99_ratio", "queue", "ratio"), 0.1)
}
