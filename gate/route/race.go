package route

import (
	"context"
	"sync"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/gate/pool"
)

// race is one effort with at most one hedge. The first contender that claims
// it may answer; the other one is cancelled.
type race struct {
	mu      sync.Mutex
	winner  int // 1 or 2; 0 while open
	cancels [3]context.CancelCauseFunc
	first   ident.Backend // of the first contender, which the hedge avoids
}

// claim tells whether contender i is the winner, and makes it so if the race
// is still open.
func (c *race) claim(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winner == 0 {
		c.winner = i
		for n, cancel := range c.cancels {
			if n != i && cancel != nil {
				cancel(pool.ErrLost)
			}
		}
	}
	return c.winner == i
}

func (c *race) place(id ident.Backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = id
}

// result is how one contender ended.
type result struct {
	out  pool.Outcome
	id   ident.Backend
	err  error
	sink contender
}

// contender collects or passes on the reply of one attempt.
type contender interface {
	pool.Sink
	// end is called after a reply that ended without a fault.
	end() error
}

// errLost ends a contender whose race another one has won.
var errLost = fault.New(fault.Upstream, "another attempt answered first")

// raced makes one effort, with a hedge if the answer does not come within a
// high percentile of the usual time. Every contender has ended on return.
func (x *run) raced(ctx context.Context, e effort, mk func(claim func() bool) contender) result {
	c := &race{}
	delay, ok := x.hedgeable(e)
	if !ok {
		return x.runOnce(ctx, e, mk(func() bool { return c.claim(1) }), func() bool { return c.claim(1) })
	}
	first, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.cancels[1] = cancel
	e.placed = c.place
	hedge := make(chan result, 1)
	timer := time.AfterFunc(delay, func() { hedge <- x.hedge(ctx, c, e, mk) })
	claim := func() bool { return c.claim(1) }
	l := x.runOnce(first, e, mk(claim), claim)
	if timer.Stop() {
		return l
	}
	if l.err == nil {
		c.claim(1) // cancels the hedge if it is still running
	}
	other := <-hedge
	c.mu.Lock()
	winner := c.winner
	c.mu.Unlock()
	if winner == 2 || (l.err != nil && other.err == nil) {
		return other
	}
	l.out.Ran = l.out.Ran || other.out.Ran
	return l
}

func (x *run) hedgeable(e effort) (time.Duration, bool) {
	if e.op != "" {
		return 0, false
	}
	return x.r.tools.delay(x.req.Kind, x.subject(e))
}

// subject names what the latencies of an effort are learnt for.
func (x *run) subject(e effort) ident.Model {
	if e.need.Service != "" {
		return ident.Model("service " + string(e.need.Service) + " " + string(x.req.Route))
	}
	if e.live {
		return streamOf(e.need.Target.Model)
	}
	return e.need.Target.Model
}

// streamOf names the times to the first event: with it the race of a stream is
// decided, so the time of the whole stream would start a hedge far too late.
func streamOf(model ident.Model) ident.Model { return "stream " + model }

// starts notes the start of the first attempt on a model.
func (x *run) starts() {
	if x.begun.IsZero() {
		x.begun = time.Now()
	}
}

// hedge runs the second contender, unless the race is decided or the budget
// for extra work is spent.
func (x *run) hedge(ctx context.Context, c *race, e effort, mk func(claim func() bool) contender) result {
	second, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.mu.Lock()
	open, avoid := c.winner == 0, c.first
	c.cancels[2] = cancel
	c.mu.Unlock()
	if !open || avoid == "" || !x.r.tools.spend() {
		return result{err: errLost}
	}
	e.avoid, e.quick, e.placed = avoid, true, nil
	x.r.metrics.hedges.Inc()
	claim := func() bool { return c.claim(2) }
	return x.runOnce(second, e, mk(claim), claim)
}

// runOnce runs one contender to its end.
func (x *run) runOnce(ctx context.Context, e effort, sink contender, claim func() bool) result {
	out, id, err := x.try(ctx, e, sink)
	if err == nil && !claim() {
		err = errLost
	}
	return result{out: out, id: id, err: err, sink: sink}
}
