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
	// SlotTime is the predicted time in the slot; 0 takes the mean of the kind.
	SlotTime time.Duration
	// Deadline is when the answer must be complete; zero means never.
	Deadline time.Time
	// Evicted is set by Expire if the ticket gave way because the queue was full.
	Evicted bool
}

// Action tells what to do with a request.
type Action uint8

// Actions of Offer.
const (
	// Run gives it a slot now.
	Run Action = iota + 1
	// Wait keeps it in the queue until Next or Expire returns it.
	Wait
	// Refuse says that it was not run.
	Refuse
)

// Admission is the answer to an offered ticket. Retry is the time after which
// a refused caller may try again.
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
	// leastRetry and mostRetry bound the advice to a refused caller.
	leastRetry = 250 * time.Millisecond
	mostRetry  = 30 * time.Second
	// costGain is the weight of a new observation in the learned costs.
	costGain = 0.05
	// highPart is the share of tickets that is to end within the time reserved
	// for them. With the mean reserved, tickets that start at the last moment
	// miss their deadline half of the time: at the peak of a swing that took
	// 21 % of the slot time.
	highPart = 0.95
	// highGain is the step by which the reserved time is learned, mostHigh its
	// limit in multiples of the mean.
	highGain = 0.1
	mostHigh = 4
	// unknownCost is taken until the first ticket of a kind is done.
	unknownCost = time.Second
)

// Queue admits tickets by deadline and customer share. Each customer has a
// line of its own for short and for long work, ordered by deadline; the lines
// share the slots in proportion to their weights (start-time fair queueing).
// A ticket is refused at once when its customer's share cannot meet its
// deadline, so the queue of one customer makes no other customer wait.
type Queue struct {
	cfg     QueueConfig
	classes [2]*class // short and long work
	waiting map[uint64]*entry
	lates   pile // the waiting ones, by the latest time to start
	running map[uint64]*entry
	expired []Ticket
	kinds   map[ident.Kind]*learned
	order   uint64
}

// The classes of work.
const (
	short = iota
	long
)

// learned is what is known of the time that tickets of one kind take.
type learned struct {
	cost    time.Duration // mean
	stretch float64       // mean ratio of the time taken to the prediction
	high    float64       // high percentile of the ratio to the corrected prediction
}

// observe learns from a finished entry.
func (k *learned) observe(e *entry, took time.Duration) {
	k.cost += time.Duration(costGain * float64(took-k.cost))
	if e.ticket.SlotTime > 0 {
		k.stretch += costGain * (float64(took)/float64(e.ticket.SlotTime) - k.stretch)
	}
	// Steps up and down balance when the share highPart is below.
	if took > e.cost && float64(took) > k.high*float64(e.cost) {
		k.high *= math.Exp(highGain * highPart)
	} else {
		k.high *= math.Exp(-highGain * (1 - highPart))
	}
	k.high = min(mostHigh, max(1, k.high))
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	q := &Queue{
		classes: [2]*class{newClass(), newClass()},
		waiting: map[uint64]*entry{},
		lates:   pile{slot: 1, less: byStart},
		running: map[uint64]*entry{},
		kinds:   map[ident.Kind]*learned{},
	}
	q.cfg.MaxWaiting = max(0, cfg.MaxWaiting)
	q.Resize(cfg.Slots, cfg.LongSlots)
	return q
}

// Resize changes the number of slots. Running tickets stay; slots that are no
// longer there are missing as soon as their tickets are done.
func (q *Queue) Resize(slots, longSlots int) {
	q.cfg.Slots = max(0, slots)
	q.cfg.LongSlots = min(q.cfg.Slots, max(0, longSlots))
}

// Offer asks for a slot. A refused ticket has not been run and is forgotten.
// If the queue is full, a waiting ticket of the customer that exceeds its
// share most gives way; the next Expire returns it.
func (q *Queue) Offer(now time.Time, t Ticket) Admission {
	if q.waiting[t.ID] != nil || q.running[t.ID] != nil {
		return Admission{Action: Refuse, RetryAfter: leastRetry, Reason: ReasonDuplicate}
	}
	q.sweep(now)
	e := q.enter(t)
	c := q.classes[e.class]
	if c.waiting == 0 && q.free(e.class) {
		// With a free slot the mean decides: nothing is gained by waiting.
		if !t.Deadline.IsZero() && now.Add(e.cost).After(t.Deadline) {
			return Admission{Action: Refuse, RetryAfter: e.retry(0), Reason: ReasonLate}
		}
		q.start(now, e)
		return Admission{Action: Run, Reason: ReasonFreeSlot}
	}
	wait := q.delay(now, e)
	if e.late(now, wait) {
		return Admission{Action: Refuse, RetryAfter: e.retry(wait - e.slack(now)), Reason: ReasonLate}
	}
	if len(q.waiting) >= q.cfg.MaxWaiting && !q.evict(e) {
		return Admission{Action: Refuse, RetryAfter: e.retry(wait), Reason: ReasonQueueFull}
	}
	q.keep(e)
	return Admission{Action: Wait, Reason: ReasonQueued}
}

// enter makes an entry with the cost corrected by what was learned.
func (q *Queue) enter(t Ticket) *entry {
	q.order++
	e := &entry{ticket: t, order: q.order, cost: t.SlotTime, weight: max(1, t.Weight)}
	if t.Kind == ident.Report {
		e.class = long
	}
	k := q.kinds[t.Kind]
	switch {
	case t.SlotTime > 0 && k != nil:
		e.cost = time.Duration(float64(t.SlotTime) * k.stretch)
	case t.SlotTime <= 0 && k != nil:
		e.cost = k.cost
	case t.SlotTime <= 0:
		e.cost = unknownCost
	}
	e.cost = max(1, e.cost)
	e.reserve = e.cost
	if k != nil {
		e.reserve = time.Duration(float64(e.cost) * k.high)
	}
	return e
}

// free tells whether a class may take a slot now.
func (q *Queue) free(class int) bool {
	if len(q.running) >= q.cfg.Slots {
		return false
	}
	return class == short || q.classes[long].running < q.cfg.LongSlots
}

// least is the number of slots that long work gets before short work, so that
// it goes on, slowly, when there is short work for every slot.
func (q *Queue) least() int {
	if q.cfg.Slots <= 1 {
		return 0
	}
	return (q.cfg.LongSlots + 3) / 4
}

// delay predicts how long a new entry waits: what its customer has waiting
// before it, at the customer's share of the class's slots, and the rest of
// the running tickets until a first slot is free.
func (q *Queue) delay(now time.Time, e *entry) time.Duration {
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
	weights, ahead := c.weights, 0.0
	if f == nil || f.line.Len() == 0 {
		weights += e.weight
	} else {
		ahead = f.ahead(e)
	}
	share := float64(e.weight) / float64(weights)
	return q.firstFree(now, slots) + time.Duration(ahead/(share*float64(slots)))
}

// firstFree is the expected time until a slot is free: the mean time in a slot
// over the number of slots, since the tickets end at different times.
func (q *Queue) firstFree(now time.Time, slots int) time.Duration {
	var sum time.Duration
	for _, e := range q.running {
		if left := e.cost - now.Sub(e.began); left > 0 {
			sum += left
		}
	}
	n := time.Duration(max(1, len(q.running)))
	return 2 * sum / n / time.Duration(slots+1)
}

// Next returns the next ticket that may run now. Tickets that would miss their
// deadline are skipped; Expire returns them.
func (q *Queue) Next(now time.Time) (Ticket, bool) {
	q.sweep(now)
	for _, class := range q.turns() {
		if !q.free(class) {
			continue
		}
		if e := q.classes[class].pop(); e != nil {
			delete(q.waiting, e.ticket.ID)
			q.lates.remove(e)
			q.start(now, e)
			return e.ticket, true
		}
	}
	return Ticket{}, false
}

func (q *Queue) turns() [2]int {
	if q.classes[long].running < q.least() {
		return [2]int{long, short}
	}
	return [2]int{short, long}
}

func (q *Queue) start(now time.Time, e *entry) {
	e.began = now
	q.running[e.ticket.ID] = e
	q.classes[e.class].charge(e)
}

func (q *Queue) keep(e *entry) {
	q.classes[e.class].push(e)
	q.lates.add(e)
	q.waiting[e.ticket.ID] = e
}

func (q *Queue) drop(e *entry) {
	delete(q.waiting, e.ticket.ID)
	q.lates.remove(e)
	q.classes[e.class].remove(e)
}

// sweep takes out what can no longer meet its deadline.
func (q *Queue) sweep(now time.Time) {
	for q.lates.Len() > 0 && q.lates.list[0].late(now, 0) {
		e := q.lates.list[0]
		q.drop(e)
		q.expired = append(q.expired, e.ticket)
	}
}

// evict makes room for an entry: the customer with the most waiting tickets
// for its weight loses the one with the latest deadline, unless the entry's
// own customer would then be the one.
func (q *Queue) evict(e *entry) bool {
	own := 1 / float64(e.weight)
	if f := q.classes[e.class].flows[e.ticket.Customer]; f != nil {
		own = f.density(1)
	}
	var worst *flow
	for _, c := range q.classes {
		for _, f := range c.active {
			if worst == nil || f.density(0) > worst.density(0) {
				worst = f
			}
		}
	}
	if worst == nil || worst.density(0) <= own {
		return false
	}
	last := worst.last()
	q.drop(last)
	last.ticket.Evicted = true
	q.expired = append(q.expired, last.ticket)
	return true
}

// Expire returns the waiting tickets that can no longer meet their deadline
// and the ones that gave way to others. They have not been run.
func (q *Queue) Expire(now time.Time) []Ticket {
	q.sweep(now)
	list := q.expired
	q.expired = nil
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
	q.classes[e.class].settle(e, max(0, took))
	if took <= 0 {
		return
	}
	k := q.kinds[e.ticket.Kind]
	if k == nil {
		k = &learned{cost: took, stretch: 1, high: 1}
		q.kinds[e.ticket.Kind] = k
	}
	k.observe(e, took)
}

// Cancel forgets a ticket, waiting or running, without learning from it.
// Unknown ids are ignored.
func (q *Queue) Cancel(id uint64) {
	if e := q.waiting[id]; e != nil {
		q.drop(e)
	} else if e := q.running[id]; e != nil {
		delete(q.running, id)
		q.classes[e.class].settle(e, e.cost)
	}
}

// Len returns the numbers of waiting and running tickets.
func (q *Queue) Len() (waiting, running int) { return len(q.waiting), len(q.running) }
