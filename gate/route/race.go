package route

import (
	"context"
	"sync"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/gate/pool"
)

// race is one try: an attempt with at most one hedge. The first contender that
// claims it may answer the caller; the other one is canceled.
type race struct {
	mu           sync.Mutex
	winner       int                        // 1 or 2; 0 while open
	cancels      [3]context.CancelCauseFunc // by contender; index 0 is unused
	firstBackend ident.Backend              // of the first contender; the hedge avoids it
}

// claim makes contender i the winner if the race is still open. It reports
// whether contender i is the winner.
func (c *race) claim(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winner == 0 {
		c.winner = i
		for n, cancel := range c.cancels {
			if n != i && cancel != nil {
				cancel(pool.ErrSuperseded)
			}
		}
	}
	return c.winner == i
}

func (c *race) setFirstBackend(id ident.Backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstBackend = id
}

// attemptResult is the result of one contender.
type attemptResult struct {
	out     pool.Outcome
	backend ident.Backend
	err     error
	sink    replySink
}

// replySink collects the reply of one attempt or writes it to the caller.
type replySink interface {
	pool.ReplySink
	// checkReply is called after a reply that ended without a fault. It returns
	// an error if the reply counts as a failed attempt.
	checkReply() error
}

// errRaceLost ends the contender that lost its race.
var errRaceLost = fault.New(fault.Upstream, "another attempt answered first")

// tryWithHedge makes one try. It starts a hedge if the answer takes longer than
// a high percentile of the usual latency. Both contenders have ended on return.
func (x *execution) tryWithHedge(ctx context.Context, spec attemptSpec, newSink func(claim func() bool) replySink) attemptResult {
	c := &race{}
	delay, ok := x.hedgeDelay(spec)
	if !ok {
		return x.runContender(ctx, spec, newSink(func() bool { return c.claim(1) }), func() bool { return c.claim(1) })
	}
	firstCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.cancels[1] = cancel
	spec.onChosen = c.setFirstBackend
	hedge := make(chan attemptResult, 1)
	timer := time.AfterFunc(delay, func() { hedge <- x.runHedge(ctx, c, spec, newSink) })
	claim := func() bool { return c.claim(1) }
	res := x.runContender(firstCtx, spec, newSink(claim), claim)
	if timer.Stop() {
		return res
	}
	if res.err == nil {
		c.claim(1) // cancels the hedge if it is still running
	}
	other := <-hedge
	c.mu.Lock()
	winner := c.winner
	c.mu.Unlock()
	if winner == 2 || (res.err != nil && other.err == nil) {
		return other
	}
	res.out.MayHaveRun = res.out.MayHaveRun || other.out.MayHaveRun
	return res
}

func (x *execution) hedgeDelay(spec attemptSpec) (time.Duration, bool) {
	if spec.operation != "" {
		return 0, false
	}
	return x.r.adaptive.hedgeDelay(x.req.Kind, x.latencyKey(spec))
}

// latencyKey returns the key under which the latencies of an attempt are
// recorded.
func (x *execution) latencyKey(spec attemptSpec) ident.Model {
	if spec.need.Service != "" {
		return ident.Model("service " + string(spec.need.Service) + " " + string(x.req.Route))
	}
	if spec.passThrough {
		return streamLatencyKey(spec.need.Target.Model)
	}
	return spec.need.Target.Model
}

// streamLatencyKey returns the key for the times to the first event of streams.
// The first event decides the race of a stream, so the time of the whole stream
// would start a hedge far too late.
func streamLatencyKey(model ident.Model) ident.Model { return "stream " + model }

// markFirstAttempt records the start of the first attempt on a model.
func (x *execution) markFirstAttempt() {
	if x.firstAttempt.IsZero() {
		x.firstAttempt = time.Now()
	}
}

// runHedge runs the second contender, unless the race is decided or the budget
// for extra work is spent.
func (x *execution) runHedge(ctx context.Context, c *race, spec attemptSpec, newSink func(claim func() bool) replySink) attemptResult {
	hedgeCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.mu.Lock()
	open, avoid := c.winner == 0, c.firstBackend
	c.cancels[2] = cancel
	c.mu.Unlock()
	if !open || avoid == "" || !x.r.adaptive.spendExtraWork() {
		return attemptResult{err: errRaceLost}
	}
	spec.avoid, spec.noSlotWait, spec.onChosen = avoid, true, nil
	x.r.metrics.hedges.Inc()
	claim := func() bool { return c.claim(2) }
	return x.runContender(hedgeCtx, spec, newSink(claim), claim)
}

// runContender runs one contender to its end.
func (x *execution) runContender(ctx context.Context, spec attemptSpec, sink replySink, claim func() bool) attemptResult {
	out, id, err := x.attempt(ctx, spec, sink)
	if err == nil && !claim() {
		err = errRaceLost
	}
	return attemptResult{out: out, backend: id, err: err, sink: sink}
}
