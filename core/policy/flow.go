package policy

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"citronledge.example/core/ident"
)

// entry is a ticket in the queue or in a slot.
type entry struct {
	ticket  Ticket
	class   int
	weight  int
	cost    time.Duration // predicted time in the slot
	reserve time.Duration // time in the slot that it seldom exceeds
	order   uint64        // of arrival
	began   time.Time     // of running
	at      [2]int        // positions in the piles
}

// slack is the longest wait with which the ticket meets its deadline, but for
// unusually long work.
func (e *entry) slack(now time.Time) time.Duration {
	if e.ticket.Deadline.IsZero() {
		return math.MaxInt64
	}
	return e.ticket.Deadline.Sub(now) - e.reserve
}

func (e *entry) late(now time.Time, wait time.Duration) bool { return wait > e.slack(now) }

// retry spreads the callers that are refused together over half the time
// again, so that they do not all come back at once.
func (e *entry) retry(d time.Duration) time.Duration {
	d = min(mostRetry, max(leastRetry, d))
	return d + time.Duration(unit(e.ticket.ID)*float64(d)/2)
}

// pile is a heap of entries; each entry knows its position.
type pile struct {
	list []*entry
	slot int // which position of an entry this pile keeps
	less func(a, b *entry) bool
}

func (p *pile) Len() int           { return len(p.list) }
func (p *pile) Less(i, j int) bool { return p.less(p.list[i], p.list[j]) }
func (p *pile) Swap(i, j int) {
	p.list[i], p.list[j] = p.list[j], p.list[i]
	p.list[i].at[p.slot], p.list[j].at[p.slot] = i, j
}

func (p *pile) Push(x any) {
	e := x.(*entry)
	e.at[p.slot] = len(p.list)
	p.list = append(p.list, e)
}

func (p *pile) Pop() any {
	e := p.list[len(p.list)-1]
	p.list[len(p.list)-1] = nil
	p.list = p.list[:len(p.list)-1]
	return e
}

func (p *pile) add(e *entry)    { heap.Push(p, e) }
func (p *pile) remove(e *entry) { heap.Remove(p, e.at[p.slot]) }

// byDeadline puts the earliest deadline first; without one, last.
func byDeadline(a, b *entry) bool {
	x, y := a.ticket.Deadline, b.ticket.Deadline
	switch {
	case x.Equal(y):
		return a.order < b.order
	case x.IsZero() || y.IsZero():
		return y.IsZero()
	}
	return x.Before(y)
}

// byStart puts the one first that must start first.
func byStart(a, b *entry) bool {
	x, y := a.ticket.Deadline, b.ticket.Deadline
	if x.IsZero() || y.IsZero() {
		return !x.IsZero()
	}
	return x.Add(-a.reserve).Before(y.Add(-b.reserve))
}

// flow is the waiting work of one customer in one class.
type flow struct {
	customer ident.Customer
	line     pile
	weight   int
	running  int
	finish   float64 // virtual time at which the work so far is paid for
}

// ahead sums up the cost of what would run before an entry.
func (f *flow) ahead(e *entry) float64 {
	sum := 0.0
	for _, o := range f.line.list {
		if byDeadline(o, e) {
			sum += float64(o.cost)
		}
	}
	return sum
}

// density is what an eviction compares: waiting tickets per weight.
func (f *flow) density(additional int) float64 {
	return float64(f.line.Len()+additional) / float64(f.weight)
}

// last is the waiting entry with the latest deadline.
func (f *flow) last() *entry {
	worst := f.line.list[0]
	for _, e := range f.line.list {
		if byDeadline(worst, e) {
			worst = e
		}
	}
	return worst
}

// class shares slots between flows by start-time fair queueing (Goyal, Vin
// and Cheng 1996): each start costs its flow cost/weight of virtual time, and
// the flow that is least ahead starts next. A flow that was idle starts at the
// current virtual time, so idling earns nothing.
type class struct {
	flows   map[ident.Customer]*flow
	active  []*flow // the ones with waiting entries
	weights int     // of the active ones
	waiting int
	running int
	clock   float64 // virtual time
}

func newClass() *class { return &class{flows: map[ident.Customer]*flow{}} }

func (c *class) flow(e *entry) *flow {
	f := c.flows[e.ticket.Customer]
	if f == nil {
		f = &flow{customer: e.ticket.Customer, weight: e.weight, line: pile{less: byDeadline}}
		c.flows[f.customer] = f
	}
	return f
}

func (c *class) push(e *entry) {
	f := c.flow(e)
	if f.line.Len() == 0 {
		f.weight = e.weight // a changed weight counts from the next busy period
		c.active = append(c.active, f)
		c.weights += f.weight
	}
	f.line.add(e)
	c.waiting++
}

func (c *class) remove(e *entry) {
	f := c.flows[e.ticket.Customer]
	f.line.remove(e)
	c.waiting--
	if f.line.Len() == 0 {
		c.active = slices.DeleteFunc(c.active, func(o *flow) bool { return o == f })
		c.weights -= f.weight
		c.tidy(f)
	}
}

// pop takes the first entry of the flow that is least ahead.
func (c *class) pop() *entry {
	var best *flow
	for _, f := range c.active {
		if best == nil || f.tag(c.clock) < best.tag(c.clock) ||
			(f.tag(c.clock) == best.tag(c.clock) && byDeadline(f.line.list[0], best.line.list[0])) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	e := best.line.list[0]
	best.running++ // keeps the flow until charge
	c.remove(e)
	best.running--
	return e
}

func (f *flow) tag(clock float64) float64 { return max(clock, f.finish) }

// charge counts the start of an entry.
func (c *class) charge(e *entry) {
	f := c.flow(e)
	c.running++
	f.running++
	c.clock = f.tag(c.clock)
	f.finish = c.clock + float64(e.cost)/float64(f.weight)
}

// settle counts the end of an entry; the prediction is replaced by the time
// that the entry took.
func (c *class) settle(e *entry, took time.Duration) {
	f := c.flow(e)
	c.running--
	f.running--
	f.finish += float64(took-e.cost) / float64(f.weight)
	c.tidy(f)
}

// tidy drops a flow without work, and its debt when nobody else waits.
func (c *class) tidy(f *flow) {
	if f.running == 0 && f.line.Len() == 0 && (f.finish <= c.clock || c.waiting == 0) {
		delete(c.flows, f.customer)
	}
}
