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
	// pumpEvery is how often queues drop tickets that are too late.
	pumpEvery = 10 * time.Millisecond
	// resizeEvery follows the load reports, which come at this interval.
	resizeEvery = ident.LoadEvery
	// marginPart is the part of the time limit kept free in admission.
	marginPart = 50
)

// lane is the queue in front of one model or service.
type lane struct {
	model   ident.Model
	service ident.Service

	mu      sync.Mutex // guards the fields below
	queue   *policy.Queue
	waiting map[uint64]chan policy.Reason
	costs   map[pattern]time.Duration // mean time in a slot
	next    uint64
	sized   time.Time
	slots   int
}

// pattern is what the length of a request is predicted by: the work of one
// customer on one model or route is more alike than that of all.
type pattern struct {
	customer ident.Customer
	kind     ident.Kind
	model    ident.Model
	route    ident.Route
}

// costGain is the weight of the newest request in a predicted length.
const costGain = 0.05

// lanes holds all queues and the rate limits of the customers.
type lanes struct {
	mu     sync.Mutex
	all    map[string]*lane
	limits map[ident.Customer]*rate.Limiter
}

func newLanes() *lanes {
	return &lanes{all: map[string]*lane{}, limits: map[ident.Customer]*rate.Limiter{}}
}

func (l *lanes) find(model ident.Model, service ident.Service, limit int) *lane {
	key := string(model) + "\x00" + string(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.all[key]
	if !ok {
		q = &lane{
			model: model, service: service, waiting: map[uint64]chan policy.Reason{}, costs: map[pattern]time.Duration{},
			queue: policy.NewQueue(policy.QueueConfig{Limit: limit}),
		}
		l.all[key] = q
	}
	return q
}

func (l *lanes) list() []*lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*lane, 0, len(l.all))
	for _, q := range l.all {
		list = append(list, q)
	}
	return list
}

// allow applies the customer's own rate limit.
func (l *lanes) allow(now time.Time, name ident.Customer, c conf.Customer) error {
	if c.RequestsPerSecond <= 0 {
		return nil
	}
	burst := c.Burst
	if burst <= 0 {
		burst = max(1, int(c.RequestsPerSecond))
	}
	l.mu.Lock()
	lim, ok := l.limits[name]
	if !ok || lim.Limit() != rate.Limit(c.RequestsPerSecond) || lim.Burst() != burst {
		lim = rate.NewLimiter(rate.Limit(c.RequestsPerSecond), burst)
		l.limits[name] = lim
	}
	l.mu.Unlock()
	if lim.AllowN(now, 1) {
		return nil
	}
	wait := time.Duration(float64(time.Second) / c.RequestsPerSecond)
	return fault.New(fault.Busy, "the customer's rate limit of "+strconv.FormatFloat(c.RequestsPerSecond, 'g', -1, 64)+
		" requests/s is used up; send more slowly or ask the operators for a higher rate").After(wait)
}

// rate applies the customer's rate limit.
func (x *run) rate() error {
	err := x.r.lanes.allow(x.start, x.req.Customer, x.r.state.View().Customers[x.req.Customer])
	if err != nil {
		x.r.metrics.refuse("rate")
	}
	return err
}

// admit waits for a slot. The function that it returns frees the slot.
func (x *run) admit(ctx context.Context) (func(), error) {
	view := x.r.state.View()
	customer := view.Customers[x.req.Customer]
	model, service := x.req.Target.Model, view.Routes[x.req.Route].Service
	if model == conf.AutoModel {
		// All steps of a cascade queue together in front of its last model,
		// which any of them may need.
		if steps := view.Cascades[customer.Cascade].Steps; len(steps) > 0 {
			model = steps[len(steps)-1]
		}
	}
	q := x.r.lanes.find(model, service, view.Limits.MaxQueued)
	// A request that would end just at its deadline misses it: the last part
	// of the answer waits for the bill.
	margin := x.until.Sub(x.start) / marginPart
	t := policy.Ticket{Customer: x.req.Customer, Weight: customer.Weight, Kind: x.req.Kind, Deadline: x.until.Add(-margin)}
	w := pattern{customer: x.req.Customer, kind: x.req.Kind, model: x.req.Target.Model, route: x.req.Route}
	id, err := q.enter(ctx, x, w, t)
	if err != nil {
		return nil, err
	}
	// Refused requests do no work, so they earn no extra work.
	x.r.tools.earn(view.Limits.ExtraWorkShare)
	begun := time.Now()
	x.rec.QueueWait = begun.Sub(x.start)
	return func() { q.leave(id, w, time.Since(begun), learns(x.fault)) }, nil
}

func (q *lane) enter(ctx context.Context, x *run, w pattern, t policy.Ticket) (uint64, error) {
	now := time.Now()
	q.mu.Lock()
	q.resize(now, x.r)
	q.next++
	t.ID = q.next
	t.Cost = q.costs[w]
	a := q.queue.Offer(now, t)
	switch a.Action {
	case policy.Run:
		q.mu.Unlock()
		return t.ID, nil
	case policy.Refuse:
		none := q.slots == 0
		q.mu.Unlock()
		if none {
			x.r.metrics.refuse("none")
			return 0, fault.New(fault.Unavailable, "no backend server for the request takes new work now; retry later").After(time.Second)
		}
		x.r.metrics.refuse(string(a.Reason))
		return 0, refusal(a.Reason, a.Retry)
	}
	turn := make(chan policy.Reason, 1)
	q.waiting[t.ID] = turn
	q.mu.Unlock()
	select {
	case reason := <-turn:
		if reason != policy.Free {
			x.r.metrics.refuse(string(reason))
			return 0, refusal(reason, 0)
		}
		return t.ID, nil
	case <-ctx.Done():
		q.mu.Lock()
		delete(q.waiting, t.ID)
		q.queue.Cancel(t.ID)
		q.pump(time.Now())
		q.mu.Unlock()
		return 0, x.ended(ctx)
	}
}

func refusal(reason policy.Reason, retry time.Duration) error {
	text := "the request would miss its deadline in the queue; retry later"
	if reason == policy.Full {
		text = "the queue is full and this customer uses its share of it; retry later"
	}
	return fault.New(fault.Busy, text).After(max(retry, time.Second))
}

// learns tells whether the time of a request tells how long such requests
// take. Fast failures and callers that left would make the queue believe that
// it is faster than it is; a request at its deadline took at least so long.
func learns(err error) bool {
	return err == nil || (!errors.Is(err, context.Canceled) && fault.From(err).Kind == fault.Timeout)
}

func (q *lane) leave(id uint64, w pattern, took time.Duration, learn bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if learn {
		q.queue.Done(now, id, took)
		old, ok := q.costs[w]
		if !ok {
			old = took
		}
		q.costs[w] = old + time.Duration(costGain*float64(took-old))
	} else {
		q.queue.Cancel(id)
	}
	q.pump(now)
}

// pump starts waiting tickets and refuses late ones; the caller holds mu.
func (q *lane) pump(now time.Time) {
	for _, t := range q.queue.Expire(now) {
		reason := policy.Late
		if t.Full {
			reason = policy.Full
		}
		q.answer(t.ID, reason)
	}
	for {
		t, ok := q.queue.Next(now)
		if !ok {
			return
		}
		q.answer(t.ID, policy.Free)
	}
}

func (q *lane) answer(id uint64, reason policy.Reason) {
	if turn, ok := q.waiting[id]; ok {
		delete(q.waiting, id)
		turn <- reason
	}
}

// resize follows the free slots of the backend servers; the caller holds mu.
func (q *lane) resize(now time.Time, r *Router) {
	if q.slots > 0 && now.Sub(q.sized) < resizeEvery {
		return
	}
	q.sized = now
	q.slots = r.pool.Slots(now, q.model, q.service)
	long := int(float64(q.slots) * r.state.View().Limits.LongWorkShare)
	q.queue.Resize(q.slots, max(1, long))
}

// Run keeps the queues until ctx ends, and then gives up pending ratings.
func (r *Router) Run(ctx context.Context) error {
	defer r.asks.Wait()
	defer r.end()
	g := group.New(ctx)
	g.Go("queues", func(ctx context.Context) error {
		tick := time.NewTicker(pumpEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return nil
			}
			now := time.Now()
			for _, q := range r.lanes.list() {
				q.mu.Lock()
				q.resize(now, r)
				q.pump(now)
				q.mu.Unlock()
			}
		}
	})
	return g.Wait()
}

// Queued returns the number of requests in all queues.
func (r *Router) Queued() int {
	n := 0
	for _, q := range r.lanes.list() {
		q.mu.Lock()
		waiting, _ := q.queue.Len()
		q.mu.Unlock()
		n += waiting
	}
	return n
}
