package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// desk is a rig of one gate's slots, with a Queue or with one plain line.
type desk struct {
	*events
	queue   *Queue // nil: first come, first served
	slots   int
	limit   int
	line    []Ticket
	running int
	next    uint64
	asked   map[uint64]asked
	r       tally
}

type asked struct {
	group string
	at    time.Time
	took  time.Duration
}

// tally counts by group, and slot time by whether the answer was in time.
type tally struct {
	offered, served map[string]int
	waits           map[ident.Kind][]float64
	totals          map[ident.Kind][]float64
	useful, wasted  time.Duration
}

func newDesk(seed uint64, slots, longSlots int, fair bool) *desk {
	d := &desk{events: newEvents(seed), slots: slots, limit: 1000, asked: map[uint64]asked{}}
	if fair {
		d.queue = NewQueue(QueueConfig{MaxWaiting: d.limit, Slots: slots, LongSlots: longSlots})
	}
	d.r = tally{
		offered: map[string]int{}, served: map[string]int{},
		waits: map[ident.Kind][]float64{}, totals: map[ident.Kind][]float64{},
	}
	return d
}

// offer brings a request; the prediction is the mean of its kind, the true
// time varies around it.
func (d *desk) offer(c ident.Customer, kind ident.Kind, mean, patience time.Duration) {
	d.next++
	group, _, _ := strings.Cut(string(c), "-")
	t := Ticket{ID: d.next, Customer: c, Kind: kind, SlotTime: mean, Deadline: d.now.Add(patience)}
	d.asked[t.ID] = asked{group, d.now, d.length(mean)}
	d.r.offered[group]++
	switch {
	case d.queue != nil:
		if d.queue.Offer(d.now, t).Action == Run {
			d.serve(t)
		}
	case d.running < d.slots:
		d.serve(t)
	case len(d.line) < d.limit:
		d.line = append(d.line, t)
	}
}

func (d *desk) serve(t Ticket) {
	a := d.asked[t.ID]
	d.running++
	d.r.waits[t.Kind] = append(d.r.waits[t.Kind], d.now.Sub(a.at).Seconds())
	// The caller leaves at the deadline, and the work is cancelled.
	took, late := a.took, false
	if left := t.Deadline.Sub(d.now); took > left {
		took, late = max(0, left), true
	}
	d.after(took, func() {
		d.running--
		if late {
			d.r.wasted += took
		} else {
			d.r.useful += took
			d.r.served[a.group]++
			d.r.totals[t.Kind] = append(d.r.totals[t.Kind], d.now.Sub(a.at).Seconds())
		}
		if d.queue != nil {
			d.queue.Done(d.now, t.ID, took)
		}
		d.fill()
	})
}

func (d *desk) fill() {
	if d.queue != nil {
		d.queue.Expire(d.now)
		for t, ok := d.queue.Next(d.now); ok; t, ok = d.queue.Next(d.now) {
			d.serve(t)
		}
		return
	}
	for d.running < d.slots && len(d.line) > 0 {
		t := d.line[0]
		d.line = d.line[1:]
		if t.Deadline.After(d.now) { // the caller of an older one has left
			d.serve(t)
		}
	}
}

// crest lets the demand of ten customers swing tenfold: two large ones with
// 40 % of it each and eight small ones, from 0.2 to 2 times the capacity.
func crest(seed uint64, fair bool) *desk {
	const slots, chat, patience = 40, 500 * time.Millisecond, 2 * time.Second
	d := newDesk(seed, slots, slots/2, fair)
	total := func(since time.Duration) float64 {
		calm, peak := 0.2*slots/chat.Seconds(), 2*slots/chat.Seconds()
		up := min(1, max(0, (since-10*time.Second).Seconds()/2)) // grows within 2 s
		if since > 30*time.Second {
			up = 0
		}
		return calm + up*(peak-calm)
	}
	for i := range 10 {
		c, share := ident.Customer(fmt.Sprintf("small-%d", i)), 0.025
		if i < 2 {
			c, share = ident.Customer(fmt.Sprintf("large-%d", i)), 0.4
		}
		rate := func(since time.Duration) float64 { return share * total(since) }
		d.arrivals(rate, func() { d.offer(c, ident.Chat, chat, patience) })
	}
	// Only the crest counts.
	d.after(12*time.Second, func() { d.r.offered, d.r.served = map[string]int{}, map[string]int{}; d.r.useful, d.r.wasted = 0, 0 })
	d.run(30 * time.Second)
	return d
}

func TestMeasureCrest(t *testing.T) {
	const seconds, slots, chat = 18, 40, 0.5
	var r results
	r.seeds(4, 40, func(seed uint64, r *results) {
		for name, fair := range map[string]bool{"queue": true, "fifo": false} {
			d := crest(seed, fair)
			for _, group := range []string{"large", "small"} {
				r.add("crest_served_"+group, name, "share", float64(d.r.served[group])/float64(d.r.offered[group]))
			}
			all := d.r.served["large"] + d.r.served["small"]
			r.add("crest_goodput", name, "of_capacity", float64(all)/(seconds*slots/chat))
			r.add("crest_wasted", name, "of_slot_time", d.r.wasted.Seconds()/(d.r.wasted+d.r.useful).Seconds())
		}
	})
	atMost(t, "slot time for late answers", r.median("crest_wasted", "queue", "of_slot_time"), 0.08)
	atMost(t, "lost answers of small customers", 1-r.median("crest_served_small", "queue", "share"), 0.05)
	atMost(t, "capacity not used for good answers", 1-r.median("crest_goodput", "queue", "of_capacity"), 0.1)
}

// mixed brings short chats and, every two minutes, a burst of long reports
// that would fill every slot.
func mixed(seed uint64, fair bool) *desk {
	const slots = 40
	d := newDesk(seed, slots, slots/2, fair)
	d.arrivals(func(time.Duration) float64 { return 15 }, func() {
		d.offer("a", ident.Chat, 300*time.Millisecond, 30*time.Second)
	})
	var burst func()
	burst = func() {
		for range 60 {
			d.offer("b", ident.Report, 20*time.Second, 300*time.Second)
		}
		d.after(120*time.Second, burst)
	}
	burst()
	d.run(600 * time.Second)
	return d
}

func TestMeasureShortWork(t *testing.T) {
	var r results
	r.seeds(3, 40, func(seed uint64, r *results) {
		wait := map[string]float64{}
		for name, fair := range map[string]bool{"queue": true, "fifo": false} {
			d := mixed(seed, fair)
			wait[name] = quantile(d.r.waits[ident.Chat], 0.99)
			r.add("short_wait_p99", name, "s", wait[name])
			r.add("long_total_p50", name, "s", quantile(d.r.totals[ident.Report], 0.5))
			r.add("long_total_p99", name, "s", quantile(d.r.totals[ident.Report], 0.99))
		}
		r.add("short_wait_p99_ratio", "queue", "ratio", wait["queue"]/wait["fifo"])
	})
	atMost(t, "p99 wait of short work", r.median("short_wait_p99_ratio", "queue", "ratio"), 0.1)
}
