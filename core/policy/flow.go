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
	ticket       Ticket
	class        int
	weight       int
	slotTime     time.Duration // predicted time in the slot
	reservedTime time.Duration // time in the slot that it seldom exceeds
	arrival      uint64        // rank in the order of arrival
	started      time.Time     // when it got its slot
	heapIndex    [2]int        // positions in the two heaps
}

// slack is the longest wait with which the ticket meets its deadline, except
// for unusually long work.
func (e *entry) slack(now time.Time) time.Duration {
	if e.ticket.Deadline.IsZero() {
		return math.MaxInt64
	}
	return e.ticket.Deadline.Sub(now) - e.reservedTime
}

// isLate reports whether the entry would miss its deadline after a wait.
func (e *entry) isLate(now time.Time, wait time.Duration) bool { return wait > e.slack(now) }

// retryAfter spreads the callers that are refused together over half the time
// again, so that they do not all come back at once.
func (e *entry) retryAfter(d time.Duration) time.Duration {
	d = min(maxRetryAfter, max(minRetryAfter, d))
	return d + time.Duration(unitInterval(e.ticket.ID)*float64(d)/2)
}

// entryHeap is a heap of entries; each entry records its position.
type entryHeap struct {
	list  []*entry
	index int // which element of heapIndex belongs to this heap
	less  func(a, b *entry) bool
}

func (h *entryHeap) Len() int           { return len(h.list) }
func (h *entryHeap) Less(i, j int) bool { return h.less(h.list[i], h.list[j]) }
func (h *entryHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].heapIndex[h.index], h.list[j].heapIndex[h.index] = i, j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex[h.index] = len(h.list)
	h.list = append(h.list, e)
}

func (h *entryHeap) Pop() any {
	e := h.list[len(h.list)-1]
	h.list[len(h.list)-1] = nil
	h.list = h.list[:len(h.list)-1]
	return e
}

func (h *entryHeap) add(e *entry)    { heap.Push(h, e) }
func (h *entryHeap) remove(e *entry) { heap.Remove(h, e.heapIndex[h.index]) }

// earlierDeadline sorts by deadline, with the entries without one last.
func earlierDeadline(a, b *entry) bool {
	x, y := a.ticket.Deadline, b.ticket.Deadline
	switch {
	case x.Equal(y):
		return a.arrival < b.arrival
	case x.IsZero() || y.IsZero():
		return y.IsZero()
	}
	return x.Before(y)
}

// earlierLatestStart sorts by the latest time to start, with the entries
// without a deadline last.
func earlierLatestStart(a, b *entry) bool {
	x, y := a.ticket.Deadline, b.ticket.Deadline
	if x.IsZero() || y.IsZero() {
		return !x.IsZero()
	}
	return x.Add(-a.reservedTime).Before(y.Add(-b.reservedTime))
}

// flow is the waiting work of one customer in one class.
type flow struct {
	customer  ident.Customer
	waiting   entryHeap
	weight    int
	running   int
	finishTag float64 // virtual time at which the work so far is paid for
}

// slotTimeAhead sums up the slot time of what would run before an entry.
func (f *flow) slotTimeAhead(e *entry) float64 {
	sum := 0.0
	for _, o := range f.waiting.list {
		if earlierDeadline(o, e) {
			sum += float64(o.slotTime)
		}
	}
	return sum
}

// waitingPerWeight is what an eviction compares: waiting tickets per weight.
func (f *flow) waitingPerWeight(additional int) float64 {
	return float64(f.waiting.Len()+additional) / float64(f.weight)
}

// latestDeadline is the waiting entry with the latest deadline.
func (f *flow) latestDeadline() *entry {
	latest := f.waiting.list[0]
	for _, e := range f.waiting.list {
		if earlierDeadline(latest, e) {
			latest = e
		}
	}
	return latest
}

// class shares slots between flows by start-time fair queueing (Goyal, Vin
// and Cheng 1996): each start costs its flow slotTime/weight of virtual time,
// and the flow with the least start tag starts next. A flow that was idle
// starts at the current virtual time, so idling earns nothing.
type class struct {
	flows        map[ident.Customer]*flow
	active       []*flow // the ones with waiting entries
	activeWeight int     // sum over the active ones
	waiting      int
	running      int
	virtualTime  float64
}

func newClass() *class { return &class{flows: map[ident.Customer]*flow{}} }

func (c *class) flow(e *entry) *flow {
	f := c.flows[e.ticket.Customer]
	if f == nil {
		f = &flow{customer: e.ticket.Customer, weight: e.weight, waiting: entryHeap{less: earlierDeadline}}
		c.flows[f.customer] = f
	}
	return f
}

func (c *class) push(e *entry) {
	f := c.flow(e)
	if f.waiting.Len() == 0 {
		f.weight = e.weight // a changed weight counts from the next busy period
		c.active = append(c.active, f)
		c.activeWeight += f.weight
	}
	f.waiting.add(e)
	c.waiting++
}

func (c *class) remove(e *entry) {
	f := c.flows[e.ticket.Customer]
	f.waiting.remove(e)
	c.waiting--
	if f.waiting.Len() == 0 {
		c.active = slices.DeleteFunc(c.active, func(o *flow) bool { return o == f })
		c.activeWeight -= f.weight
		c.removeIfIdle(f)
	}
}

// pop removes and returns the first entry of the flow with the least start tag.
func (c *class) pop() *entry {
	var best *flow
	for _, f := range c.active {
		if best == nil || f.startTag(c.virtualTime) < best.startTag(c.virtualTime) ||
			(f.startTag(c.virtualTime) == best.startTag(c.virtualTime) && earlierDeadline(f.waiting.list[0], best.waiting.list[0])) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	e := best.waiting.list[0]
	best.running++ // so that remove keeps the flow until recordStart
	c.remove(e)
	best.running--
	return e
}

// startTag is the virtual time at which the next entry of the flow starts.
func (f *flow) startTag(virtualTime float64) float64 { return max(virtualTime, f.finishTag) }

// recordStart counts the start of an entry.
func (c *class) recordStart(e *entry) {
	f := c.flow(e)
	c.running++
	f.running++
	c.virtualTime = f.startTag(c.virtualTime)
	f.finishTag = c.virtualTime + float64(e.slotTime)/float64(f.weight)
}

// recordEnd counts the end of an entry; the prediction is replaced by the time
// that the entry took.
func (c *class) recordEnd(e *entry, took time.Duration) {
	f := c.flow(e)
	c.running--
	f.running--
	f.finishTag += float64(took-e.slotTime) / float64(f.weight)
	c.removeIfIdle(f)
}

// removeIfIdle drops a flow without work, unless its finish tag is still ahead
// of the virtual time and others wait.
func (c *class) removeIfIdle(f *flow) {
	if f.running == 0 && f.waiting.Len() == 0 && (f.finishTag <= c.virtualTime || c.waiting == 0) {
		delete(c.flows, f.customer)
	}
}
