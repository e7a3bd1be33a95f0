package route

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

const (
	// dispatchInterval is how often queues drop tickets that would miss their
	// deadline and start waiting ones.
	dispatchInterval = 10 * time.Millisecond
	// resizeInterval is the interval of the load reports, from which the number
	// of slots is taken.
	resizeInterval = ident.MinLoadInterval
	// deadlineMarginDivisor divides the timeout of a request; the quotient is the
	// margin that admission keeps before the deadline.
	deadlineMarginDivisor = 50
)

// admissionQueue is the queue in front of one model or service.
type admissionQueue struct {
	model   ident.Model
	service ident.Service

	mu        sync.Mutex // guards the fields below
	queue     *policy.Queue
	waiters   map[uint64]chan policy.Reason
	slotTimes map[slotTimeKey]time.Duration // mean time in a slot
	lastID    uint64
	resizedAt time.Time
	slots     int
}

// slotTimeKey is what the slot time of a request is predicted by: requests of
// one customer to one model or route are more alike than those of all customers.
type slotTimeKey struct {
	customer ident.Customer
	kind     ident.Kind
	model    ident.Model
	route    ident.Route
}

// newestSlotTimeWeight is the weight of the newest request in the mean slot time.
const newestSlotTimeWeight = 0.05

// admission holds all queues and the rate limiters of the customers.
type admission struct {
	mu       sync.Mutex
	queues   map[string]*admissionQueue
	limiters map[ident.Customer]*rate.Limiter
}

func newAdmission() *admission {
	return &admission{queues: map[string]*admissionQueue{}, limiters: map[ident.Customer]*rate.Limiter{}}
}

func (a *admission) queueFor(model ident.Model, service ident.Service, limit int) *admissionQueue {
	key := string(model) + "\x00" + string(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	q, ok := a.queues[key]
	if !ok {
		q = &admissionQueue{
			model: model, service: service, waiters: map[uint64]chan policy.Reason{}, slotTimes: map[slotTimeKey]time.Duration{},
			queue: policy.NewQueue(policy.QueueConfig{MaxWaiting: limit}),
		}
		a.queues[key] = q
	}
	return q
}

func (a *admission) list() []*admissionQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*admissionQueue, 0, len(a.queues))
	for _, q := range a.queues {
		list = append(list, q)
	}
	return list
}

// checkRate applies the rate limit of a customer.
func (a *admission) checkRate(now time.Time, name ident.Customer, c conf.Customer) error {
	if c.RequestsPerSecond <= 0 {
		return nil
	}
	burst := c.Burst
	if burst <= 0 {
		burst = max(1, int(c.RequestsPerSecond))
	}
	a.mu.Lock()
	lim, ok := a.limiters[name]
	if !ok || lim.Limit() != rate.Limit(c.RequestsPerSecond) || lim.Burst() != burst {
		lim = rate.NewLimiter(rate.Limit(c.RequestsPerSecond), burst)
		a.limiters[name] = lim
	}
	a.mu.Unlock()
	if lim.AllowN(now, 1) {
		return nil
	}
	wait := time.Duration(float64(time.Second) / c.RequestsPerSecond)
	return fault.New(fault.Busy, "the customer's rate limit of "+strconv.FormatFloat(c.RequestsPerSecond, 'g', -1, 64)+
		" requests/s is used up; send more slowly or ask the operators for a higher rate").WithRetryAfter(wait)
}

// checkRateLimit applies the rate limit of the request's customer.
func (x *execution) checkRateLimit() error {
	err := x.r.admission.checkRate(x.start, x.req.Customer, x.r.state.View().Customers[x.req.Customer])
	if err != nil {
		x.r.metrics.countRefusal("rate")
	}
	return err
}

// admit waits for a slot. The returned function releases it.
func (x *execution) admit(ctx context.Context) (func(), error) {
	view := x.r.state.View()
	customer := view.Customers[x.req.Customer]
	model, service := x.req.Target.Model, view.Routes[x.req.Route].Service
	if model == conf.AutoModel {
		// A cascade waits in the queue of its last model, whichever step it
		// starts with, since any step may escalate to that model.
		if steps := view.Cascades[customer.Cascade].Steps; len(steps) > 0 {
			model = steps[len(steps)-1]
		}
	}
	q := x.r.admission.queueFor(model, service, view.Limits.MaxQueued)
	// A request that would end just at its deadline misses it, because the last
	// part of the answer waits until the bill is committed.
	margin := x.deadline.Sub(x.start) / deadlineMarginDivisor
	t := policy.Ticket{Customer: x.req.Customer, Weight: customer.Weight, Kind: x.req.Kind, Deadline: x.deadline.Add(-margin)}
	key := slotTimeKey{customer: x.req.Customer, kind: x.req.Kind, model: x.req.Target.Model, route: x.req.Route}
	id, err := q.waitForSlot(ctx, x, key, t)
	if err != nil {
		return nil, err
	}
	// Refused requests do no work, so they earn no retries and hedges.
	x.r.adaptive.earnExtraWork(view.Limits.ExtraWorkShare)
	admitted := time.Now()
	x.record.QueueWait = admitted.Sub(x.start)
	return func() { q.release(id, key, time.Since(admitted), countsForSlotTime(x.answerErr)) }, nil
}

func (q *admissionQueue) waitForSlot(ctx context.Context, x *execution, key slotTimeKey, t policy.Ticket) (uint64, error) {
	o := q.offer(x.r, key, t)
	switch {
	case o.Action == policy.Run:
		return o.id, nil
	case o.Action == policy.Refuse && o.noSlots:
		x.r.metrics.countRefusal("none")
		return 0, fault.New(fault.Unavailable, "no backend server for the request takes new work now; retry later").WithRetryAfter(time.Second)
	case o.Action == policy.Refuse:
		x.r.metrics.countRefusal(string(o.Reason))
		return 0, refusal(o.Reason, o.RetryAfter)
	}
	select {
	case reason := <-o.decision:
		if reason != policy.ReasonFreeSlot {
			x.r.metrics.countRefusal(string(reason))
			return 0, refusal(reason, 0)
		}
		return o.id, nil
	case <-ctx.Done():
		q.cancel(o.id)
		return 0, x.contextFault(ctx)
	}
}

// offered is what the queue has decided on a request.
type offered struct {
	policy.Admission
	id       uint64
	noSlots  bool
	decision <-chan policy.Reason // nil unless the request waits
}

// offer adds a request to the queue.
func (q *admissionQueue) offer(r *Router, key slotTimeKey, t policy.Ticket) offered {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.resize(now, r)
	q.lastID++
	t.ID = q.lastID
	t.SlotTime = q.slotTimes[key]
	o := offered{Admission: q.queue.Offer(now, t), id: t.ID, noSlots: q.slots == 0}
	if o.Action == policy.Wait {
		decision := make(chan policy.Reason, 1)
		q.waiters[t.ID] = decision
		o.decision = decision
	}
	return o
}

// cancel removes a request that waits or has just got a slot.
func (q *admissionQueue) cancel(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, id)
	q.queue.Cancel(id)
	q.dispatch(time.Now())
}

func refusal(reason policy.Reason, retry time.Duration) error {
	text := "the request would miss its deadline in the queue; retry later"
	if reason == policy.ReasonQueueFull {
		text = "the queue is full and this customer uses its share of it; retry later"
	}
	return fault.New(fault.Busy, text).WithRetryAfter(max(retry, time.Second))
}

// countsForSlotTime reports whether the time that a request held its slot counts
// for the predicted slot time; err is the error that the request ended with.
// Fast failures and callers that disconnected would make the prediction too
// short. A request that reached its deadline counts: it took at least that long.
func countsForSlotTime(err error) bool {
	return err == nil || (!errors.Is(err, context.Canceled) && fault.From(err).Kind == fault.Timeout)
}

func (q *admissionQueue) release(id uint64, key slotTimeKey, took time.Duration, counts bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if counts {
		q.queue.Done(now, id, took)
		old, ok := q.slotTimes[key]
		if !ok {
			old = took
		}
		q.slotTimes[key] = old + time.Duration(newestSlotTimeWeight*float64(took-old))
	} else {
		q.queue.Cancel(id)
	}
	q.dispatch(now)
}

// dispatch refuses the tickets that would miss their deadline and starts waiting
// ones while slots are free. It must be called with mu held.
func (q *admissionQueue) dispatch(now time.Time) {
	for _, t := range q.queue.Expire(now) {
		reason := policy.ReasonLate
		if t.Evicted {
			reason = policy.ReasonQueueFull
		}
		q.notify(t.ID, reason)
	}
	for {
		t, ok := q.queue.Next(now)
		if !ok {
			return
		}
		q.notify(t.ID, policy.ReasonFreeSlot)
	}
}

func (q *admissionQueue) notify(id uint64, reason policy.Reason) {
	if decision, ok := q.waiters[id]; ok {
		delete(q.waiters, id)
		decision <- reason
	}
}

// resize updates the number of slots from the load reports of the backend
// servers. It must be called with mu held.
func (q *admissionQueue) resize(now time.Time, r *Router) {
	if q.slots > 0 && now.Sub(q.resizedAt) < resizeInterval {
		return
	}
	q.resizedAt = now
	q.slots = r.pool.Slots(now, q.model, q.service)
	maxLong := int(float64(q.slots) * r.state.View().Limits.LongWorkShare)
	q.queue.Resize(q.slots, max(1, maxLong))
}

// Run advances the queues until ctx is done, and then cancels pending rating
// calls and look-ups.
func (r *Router) Run(ctx context.Context) error {
	defer r.backgroundCalls.Wait()
	defer r.cancelBackground()
	g := group.New(ctx)
	g.Go("queues", func(ctx context.Context) error {
		tick := time.NewTicker(dispatchInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return nil
			}
			now := time.Now()
			for _, q := range r.admission.list() {
				q.advance(now, r)
			}
		}
	})
	return g.Wait()
}

func (q *admissionQueue) advance(now time.Time, r *Router) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.resize(now, r)
	q.dispatch(now)
}

// Queued returns the number of queued requests.
func (r *Router) Queued() int {
	n := 0
	for _, q := range r.admission.list() {
		n += q.waiting()
	}
	return n
}

func (q *admissionQueue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting, _ := q.queue.Len()
	return waiting
}
