package route

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
)

const (
	// placeEvery and placeTime bound the wait for a free slot of an admitted
	// request, when attempts of others (hedges, retries) hold the slots.
	placeEvery = 5 * time.Millisecond
	placeTime  = 500 * time.Millisecond
)

// errMoved tells that the version of an attempt may not be used any more.
var errMoved = fault.New(fault.Stale, "the version was withdrawn; send the request again")

// effort is one attempt to be made.
type effort struct {
	need   pool.Need
	avoid  ident.Backend
	resume int // chunks the caller already has
	stream bool
	live   bool // passed on as it comes
	op     string
	fence  uint64
	// quick refuses to wait for a slot; hedges are not worth a queue.
	quick bool
	// placed is told the chosen backend server; nil if nobody asks.
	placed func(id ident.Backend)
}

var lists = sync.Pool{New: func() any { return new([]policy.Candidate) }}

// try makes one attempt. The lease and the customer's permission are checked
// at this moment, whatever was decided before.
func (x *run) try(ctx context.Context, e effort, sink contender) (pool.Outcome, ident.Backend, error) {
	id, reason, n, err := x.place(ctx, e)
	if err != nil {
		return pool.Outcome{}, "", err
	}
	if err := x.permitted(e); err != nil {
		return pool.Outcome{}, "", err
	}
	if e.placed != nil {
		e.placed(id)
	}
	billing, number, err := x.ledger.begin(x.r.book)
	if err != nil {
		return pool.Outcome{}, "", err
	}
	start := time.Now()
	out, err := x.r.pool.Do(ctx, pool.Attempt{Backend: id, Need: e.need, Work: x.work(e, billing, number)}, sink)
	if err == nil {
		err = sink.end()
	}
	if out.Ran {
		x.ledger.touch(id)
		x.charge(e, number, out)
	}
	x.tally(e, time.Since(start), err)
	x.rec.step(AttemptRecord{
		Number: number, Model: e.need.Target.Model, Version: e.need.Target.Version, Backend: id,
		Candidates: n, Reason: reason, Outcome: outcome(err), Duration: time.Since(start), start: start,
	})
	return out, id, err
}

// permitted is the check of every new attempt.
func (x *run) permitted(e effort) error {
	if err := x.leased(); err != nil {
		return err
	}
	view := x.r.state.View()
	if x.req.Kind == ident.Call {
		route, ok := view.Routes[x.req.Route]
		if !ok || route.Service != e.need.Service || !view.MayCall(x.req.Customer, x.req.Route) {
			return fault.New(fault.Forbidden, "route "+string(x.req.Route)+" is not open to this customer; ask the operators for it")
		}
		return nil
	}
	if !view.IsAllowed(x.req.Customer, e.need.Target) {
		return errMoved
	}
	return nil
}

// place chooses a backend server and returns it with the reason and the
// number of candidates.
func (x *run) place(ctx context.Context, e effort) (ident.Backend, policy.Reason, int, error) {
	buf := lists.Get().(*[]policy.Candidate)
	defer lists.Put(buf)
	ask := policy.Ask{
		Kind: x.req.Kind, Seed: seed(string(x.req.ID)) + uint64(x.ledger.count()),
		Long: x.r.state.View().Limits.LongWorkShare, Avoid: e.avoid,
	}
	limit := time.Now().Add(placeTime)
	for {
		now := time.Now()
		list := x.r.pool.Candidates(now, e.need, (*buf)[:0])
		*buf = list
		list = x.fresh(list)
		i, reason := policy.Choose(ask, list)
		if i < 0 && ask.Avoid != "" && !e.quick {
			// A used backend server is better than none.
			ask.Avoid = ""
			i, reason = policy.Choose(ask, list)
		}
		if i >= 0 {
			return list[i].Backend, reason, len(list), nil
		}
		if len(list) == 0 {
			return "", reason, 0, fault.New(fault.Unavailable, "no backend server serves "+x.name(e)+" now; retry later").After(time.Second)
		}
		if e.quick || now.After(limit) {
			return "", reason, len(list), fault.New(fault.Busy, "all backend servers for "+x.name(e)+" are full; retry later").After(time.Second)
		}
		select {
		case <-time.After(placeEvery):
		case <-ctx.Done():
			return "", reason, len(list), x.ended(ctx)
		}
	}
}

// fresh drops the candidates that failed for this request before, unless no
// other is left: a used backend server is better than none.
func (x *run) fresh(list []policy.Candidate) []policy.Candidate {
	if len(x.failed) == 0 {
		return list
	}
	failed := func(c policy.Candidate) bool { return slices.Contains(x.failed, c.Backend) }
	if !slices.ContainsFunc(list, func(c policy.Candidate) bool { return !failed(c) }) {
		return list
	}
	return slices.DeleteFunc(list, failed)
}

// ended returns the fault of a request whose context ended between attempts.
func (x *run) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if !x.ledger.ran() {
			return fault.New(fault.Busy, "the request could not start before its deadline; retry later").After(time.Second)
		}
		return fault.New(fault.Timeout, "the request reached its deadline; raise the timeout or ask for less output")
	}
	return context.Canceled
}

func (x *run) name(e effort) string {
	if e.need.Service != "" {
		return "service " + string(e.need.Service)
	}
	return e.need.Target.String()
}

func (l *ledger) count() ident.Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts
}

func (x *run) work(e effort, b ident.Billing, number ident.Attempt) *wire.Work {
	return &wire.Work{
		Request:     string(x.req.ID),
		Attempt:     uint32(number),
		Customer:    string(x.req.Customer),
		Model:       string(e.need.Target.Model),
		Version:     string(e.need.Target.Version),
		Revision:    uint64(x.r.state.View().Revision),
		Incarnation: uint64(b.Incarnation),
		Sequence:    uint64(b.Sequence),
		Kind:        x.req.Kind.String(),
		Route:       string(x.req.Route),
		Method:      x.req.Method,
		Path:        x.req.Path,
		Headers:     x.req.Headers,
		Body:        x.req.Body,
		Operation:   e.op,
		Fence:       e.fence,
		Priority:    priority(x.req.Kind),
		Timeout:     uint32(max(1, time.Until(x.until).Milliseconds())),
		Stream:      e.stream,
		Resume:      uint32(e.resume),
	}
}

// priority puts short work first at the engine.
func priority(k ident.Kind) uint32 {
	if k == ident.Report {
		return 1
	}
	return 0
}

// charge notes the usage of an attempt. A cancelled attempt whose side process
// did not tell its usage in time is charged for the chunks that arrived.
func (x *run) charge(e effort, number ident.Attempt, out pool.Outcome) {
	if x.req.Kind == ident.Call && out.Usage == nil {
		return
	}
	u := out.Usage
	if u == nil {
		u = &wire.Usage{}
		if e.stream {
			u.Output = int64(out.Chunks)
		}
	}
	u.Model, u.Version = string(e.need.Target.Model), string(e.need.Target.Version)
	u.Attempt = uint32(number)
	if m, ok := x.r.state.View().Models[e.need.Target.Model]; ok {
		u.Cost = float64(u.Input)*float64(m.InputPrice) + float64(u.Output)*float64(m.OutputPrice)
		if out.Whole {
			x.r.tools.learn(workload{kind: x.req.Kind, model: e.need.Target.Model}, u, m.OutputPrice)
		}
	}
	x.ledger.add(u)
}

// slowShare is the part of a kind's timeout from which an attempt counts as
// slow in the test of a roll-out.
const slowShare = 3

// tally counts an attempt for the test of a roll-out. Cancelled attempts tell
// nothing about the version.
func (x *run) tally(e effort, took time.Duration, err error) {
	if x.req.Kind == ident.Call || errors.Is(err, context.Canceled) {
		return
	}
	failed := err != nil && !fault.From(err).Kind.NotRun()
	x.r.tools.count(e.need.Target, failed, took > x.r.state.View().Limits.Timeout(x.req.Kind)/slowShare)
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	}
	return string(fault.From(err).Kind)
}
