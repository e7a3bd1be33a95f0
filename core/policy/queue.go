package policy

import (
	"math"
	"time"

	"citronledge.example/core/ident"
)

// Ticket is one request that asks for a slot.
type Ticket struct {
	ID       uint64
	Customer ident.Customer
	// Weight is the customer's share of capacity; less than 1 counts as 1.
	Weight int
	Kind   ident.Kind
	// SlotTime is the predicted time in the slot; 0 stands for the mean of the
	// kind.
	SlotTime time.Duration
	// Deadline is when the answer must be complete; zero means never.
	Deadline time.Time
	// Evicted is set by Expire if the ticket gave way because the queue was
	// full.
	Evicted bool
}

// Action says what to do with a request.
type Action uint8

// Actions of Offer.
const (
	// Run gives it a slot now.
	Run Action = iota + 1
	// Wait keeps it in the queue until Next or Expire returns it.
	Wait
	// Refuse means that it was not run.
	Refuse
)

// Admission is the answer to an offered ticket. RetryAfter is the time after
// which a refused caller may try again.
type Admission struct {
	Action     Action
	RetryAfter time.Duration
	Reason     Reason
}

// QueueConfig bounds a queue.
type QueueConfig struct {
	// MaxWaiting is the largest number of waiting tickets.
	MaxWaiting int
	// Slots is the number of tickets that run at once, LongSlots the number of
	// slots that long work may use; the others are reserved for short work.
	Slots, LongSlots int
}

const (
	// minRetryAfter and maxRetryAfter bound the advice to a refused caller.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// slotTimeGain is the weight of a new observation in the learned slot times.
	slotTimeGain = 0.05
	// reservedFraction is the share of tickets that should end within the time
	// reserved for them. With the mean reserved, tickets that start at the last
	// moment miss their deadline half of the time: at the peak of a swing of the
	// load that wasted 21 % of the slot time.
	reservedFraction = 0.95
	// reserveStep is the step by which the reserved time is learned,
	// maxReserveFactor its limit in multiples of the mean.
	reserveStep      = 0.1
	maxReserveFactor = 4
	// defaultSlotTime is assumed until the first ticket of a kind is done.
	defaultSlotTime = time.Second
)

// Queue admits tickets by deadline and customer share. Each customer has its
// own line for short work and for long work, ordered by deadline; the lines
// share the slots in proportion to their weights (start-time fair queueing).
// A ticket is refused at once when its customer's share cannot meet its
// deadline, so the queue of one customer makes no other customer wait.
type Queue struct {
	cfg           QueueConfig
	classes       [2]*class // short and long work
	waiting       map[uint64]*entry
	byLatestStart entryHeap // the waiting ones
	running       map[uint64]*entry
	dropped       []Ticket // late or evicted, until Expire returns them
	slotTimes     map[ident.Kind]*slotTimeEstimate
	arrivals      uint64
}

// The classes of work.
const (
	short = iota
	long
)

// slotTimeEstimate is what is known of the time that tickets of one kind take.
type slotTimeEstimate struct {
	mean            time.Duration
	predictionRatio float64 // mean ratio of the time taken to the prediction
	reserveFactor   float64 // high percentile of the ratio to the corrected prediction
}

// observe learns from a finished entry.
func (s *slotTimeEstimate) observe(e *entry, took time.Duration) {
	s.mean += time.Duration(slotTimeGain * float64(took-s.mean))
	if e.ticket.SlotTime > 0 {
		s.predictionRatio += slotTimeGain * (float64(took)/float64(e.ticket.SlotTime) - s.predictionRatio)
	}
	// Steps up and down balance when a share of reservedFraction is below.
	if took > e.slotTime && float64(took) > s.reserveFactor*float64(e.slotTime) {
		s.reserveFactor *= math.Exp(reserveStep * reservedFraction)
	} else {
		s.reserveFactor *= math.Exp(-reserveStep * (1 - reservedFraction))
	}
	s.reserveFactor = min(maxReserveFactor, max(1, s.reserveFactor))
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	q := &Queue{
		classes:       [2]*class{newClass(), newClass()},
		waiting:       map[uint64]*entry{},
		byLatestStart: entryHeap{index: 1, less: earlierLatestStart},
		running:       map[uint64]*entry{},
		slotTimes:     map[ident.Kind]*slotTimeEstimate{},
	}
	q.cfg.MaxWaiting = max(0, cfg.MaxWaiting)
	q.Resize(cfg.Slots, cfg.LongSlots)
	return q
}

// Resize changes the number of slots. Running tickets go on; a slot that no
// longer exists is not given out again once its ticket is done.
func (q *Queue) Resize(slots, longSlots int) {
	q.cfg.Slots = max(0, slots)
	q.cfg.LongSlots = min(q.cfg.Slots, max(0, longSlots))
}

// Offer asks for a slot. A refused ticket has not been run and is not kept.
// If the queue is full, a waiting ticket of the customer that exceeds its
// share most is evicted; the next Expire returns it.
func (q *Queue) Offer(now time.Time, t Ticket) Admission {
	if q.waiting[t.ID] != nil || q.running[t.ID] != nil {
		return Admission{Action: Refuse, RetryAfter: minRetryAfter, Reason: ReasonDuplicate}
	}
	q.dropLate(now)
	e := q.newEntry(t)
	c := q.classes[e.class]
	if c.waiting == 0 && q.hasFreeSlot(e.class) {
		// With a free slot the mean decides: nothing is gained by waiting.
		if !t.Deadline.IsZero() && now.Add(e.slotTime).After(t.Deadline) {
			return Admission{Action: Refuse, RetryAfter: e.retryAfter(0), Reason: ReasonLate}
		}
		q.start(now, e)
		return Admission{Action: Run, Reason: ReasonFreeSlot}
	}
	wait := q.expectedWait(now, e)
	if e.isLate(now, wait) {
		return Admission{Action: Refuse, RetryAfter: e.retryAfter(wait - e.slack(now)), Reason: ReasonLate}
	}
	if len(q.waiting) >= q.cfg.MaxWaiting && !q.evictFor(e) {
		return Admission{Action: Refuse, RetryAfter: e.retryAfter(wait), Reason: ReasonQueueFull}
	}
	q.addWaiting(e)
	return Admission{Action: Wait, Reason: ReasonQueued}
}

// newEntry makes an entry whose predicted slot time is corrected by what was
// learned.
func (q *Queue) newEntry(t Ticket) *entry {
	q.arrivals++
	e := &entry{ticket: t, arrival: q.arrivals, slotTime: t.SlotTime, weight: max(1, t.Weight)}
	if t.Kind == ident.Report {
		e.class = long
	}
	s := q.slotTimes[t.Kind]
	switch {
	case t.SlotTime > 0 && s != nil:
		e.slotTime = time.Duration(float64(t.SlotTime) * s.predictionRatio)
	case t.SlotTime <= 0 && s != nil:
		e.slotTime = s.mean
	case t.SlotTime <= 0:
		e.slotTime = defaultSlotTime
	}
	e.slotTime = max(1, e.slotTime)
	e.reservedTime = e.slotTime
	if s != nil {
		e.reservedTime = time.Duration(float64(e.slotTime) * s.reserveFactor)
	}
	return e
}

// hasFreeSlot reports whether a class may take a slot now.
func (q *Queue) hasFreeSlot(class int) bool {
	if len(q.running) >= q.cfg.Slots {
		return false
	}
	return class == short || q.classes[long].running < q.cfg.LongSlots
}

// minLongSlots is the number of slots that long work gets before short work, so
// that it goes on, slowly, when there is short work for every slot.
func (q *Queue) minLongSlots() int {
	if q.cfg.Slots <= 1 {
		return 0
	}
	return (q.cfg.LongSlots + 3) / 4
}

// expectedWait predicts how long a new entry waits: what its customer has
// waiting before it, at the customer's share of the class's slots, and the rest
// of the running tickets until a first slot is free.
func (q *Queue) expectedWait(now time.Time, e *entry) time.Duration {
	c := q.classes[e.class]
	slots := q.cfg.Slots
	if e.class == long {
		slots = q.cfg.LongSlots
	} else {
		slots -= min(q.classes[long].running, q.cfg.LongSlots)
	}
	if slots <= 0 {
		return math.MaxInt64 / 4
	}
	f := c.flows[e.ticket.Customer]
	activeWeight, ahead := c.activeWeight, 0.0
	if f == nil || f.waiting.Len() == 0 {
		activeWeight += e.weight
	} else {
		ahead = f.slotTimeAhead(e)
	}
	share := float64(e.weight) / float64(activeWeight)
	return q.timeToFreeSlot(now, slots) + time.Duration(ahead/(share*float64(slots)))
}

// timeToFreeSlot is the expected time until a slot is free: the mean time in a
// slot over the number of slots, since the tickets end at different times.
func (q *Queue) timeToFreeSlot(now time.Time, slots int) time.Duration {
	var sum time.Duration
	for _, e := range q.running {
		if left := e.slotTime - now.Sub(e.started); left > 0 {
			sum += left
		}
	}
	n := time.Duration(max(1, len(q.running)))
	return 2 * sum / n / time.Duration(slots+1)
}

// Next returns the next ticket that may run now. Tickets that would miss their
// deadline are skipped; Expire returns them.
func (q *Queue) Next(now time.Time) (Ticket, bool) {
	q.dropLate(now)
	for _, class := range q.classOrder() {
		if !q.hasFreeSlot(class) {
			continue
		}
		if e := q.classes[class].pop(); e != nil {
			delete(q.waiting, e.ticket.ID)
			q.byLatestStart.remove(e)
			q.start(now, e)
			return e.ticket, true
		}
	}
	return Ticket{}, false
}

// classOrder returns the classes in the order in which they get the next slot.
func (q *Queue) classOrder() [2]int {
	if q.classes[long].running < q.minLongSlots() {
		return [2]int{long, short}
	}
	return [2]int{short, long}
}

func (q *Queue) start(now time.Time, e *entry) {
	e.started = now
	q.running[e.ticket.ID] = e
	q.classes[e.class].recordStart(e)
}

func (q *Queue) addWaiting(e *entry) {
	q.classes[e.class].push(e)
	q.byLatestStart.add(e)
	q.waiting[e.ticket.ID] = e
}

func (q *Queue) removeWaiting(e *entry) {
	delete(q.waiting, e.ticket.ID)
	q.byLatestStart.remove(e)
	q.classes[e.class].remove(e)
}

// dropLate removes the waiting tickets that can no longer meet their deadline.
func (q *Queue) dropLate(now time.Time) {
	for q.byLatestStart.Len() > 0 && q.byLatestStart.list[0].isLate(now, 0) {
		e := q.byLatestStart.list[0]
		q.removeWaiting(e)
		q.dropped = append(q.dropped, e.ticket)
	}
}

// evictFor makes room for an entry and reports whether it did: the customer
// with the most waiting tickets for its weight loses the one with the latest
// deadline, unless with the new entry its own customer would have the most.
func (q *Queue) evictFor(e *entry) bool {
	own := 1 / float64(e.weight)
	if f := q.classes[e.class].flows[e.ticket.Customer]; f != nil {
		own = f.waitingPerWeight(1)
	}
	var most *flow
	for _, c := range q.classes {
		for _, f := range c.active {
			if most == nil || f.waitingPerWeight(0) > most.waitingPerWeight(0) {
				most = f
			}
		}
	}
	if most == nil || most.waitingPerWeight(0) <= own {
		return false
	}
	evicted := most.latestDeadline()
	q.removeWaiting(evicted)
	evicted.ticket.Evicted = true
	q.dropped = append(q.dropped, evicted.ticket)
	return true
}

// Expire returns the waiting tickets that can no longer meet their deadline
// and the ones that were evicted. They have not been run.
func (q *Queue) Expire(now time.Time) []Ticket {
	q.dropLate(now)
	list := q.dropped
	q.dropped = nil
	return list
}

// Done frees the slot of a ticket and learns from the time it took. Unknown
// ids are ignored.
func (q *Queue) Done(_ time.Time, id uint64, took time.Duration) {
	e := q.running[id]
	if e == nil {
		return
	}
	delete(q.running, id)
	q.classes[e.class].recordEnd(e, max(0, took))
	if took <= 0 {
		return
	}
	s := q.slotTimes[e.ticket.Kind]
	if s == nil {
		s = &slotTimeEstimate{mean: took, predictionRatio: 1, reserveFactor: 1}
		q.slotTimes[e.ticket.Kind] = s
	}
	s.observe(e, took)
}

// Cancel removes a ticket, waiting or running, without learning from it.
// Unknown ids are ignored.
func (q *Queue) Cancel(id uint64) {
	if e := q.waiting[id]; e != nil {
		q.removeWaiting(e)
	} else if e := q.running[id]; e != nil {
		delete(q.running, id)
		q.classes[e.class].recordEnd(e, e.slotTime)
	}
}

// Len returns the numbers of waiting and running tickets.
func (q *Queue) Len() (waiting, running int) { return len(q.waiting), len(q.running) }
