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
	// slotPollInterval and slotTimeout bound how an admitted request waits for a
	// free slot while hedges and retries of other requests hold the slots.
	slotPollInterval = 5 * time.Millisecond
	slotTimeout      = 500 * time.Millisecond
)

// errVersionWithdrawn refuses an attempt whose version the customer may no longer
// use.
var errVersionWithdrawn = fault.New(fault.Stale, "the version was withdrawn; send the request again")

// attemptSpec describes an attempt to be made.
type attemptSpec struct {
	need         pool.Requirements
	avoid        ident.Backend
	resumeTokens int // output tokens that the caller already has
	stream       bool
	passThrough  bool   // events are written to the caller as they arrive
	operation    string // id, for a call that may run at most once
	fence        uint64
	// noSlotWait makes the attempt fail at once if no slot is free; a hedge is
	// not worth waiting for a slot.
	noSlotWait bool
	// onChosen, if not nil, is called with the chosen backend server.
	onChosen func(id ident.Backend)
}

var candidateLists = sync.Pool{New: func() any { return new([]policy.Candidate) }}

// attempt makes one attempt. It checks the lease and the customer's permission
// again, since either may have been lost since the request was admitted.
func (x *execution) attempt(ctx context.Context, spec attemptSpec, sink replySink) (pool.Outcome, ident.Backend, error) {
	id, reason, n, err := x.chooseBackend(ctx, spec)
	if err != nil {
		return pool.Outcome{}, "", err
	}
	if err := x.checkPermission(spec); err != nil {
		return pool.Outcome{}, "", err
	}
	if err := x.checkQuarantine(); err != nil {
		return pool.Outcome{}, "", err
	}
	if spec.onChosen != nil {
		spec.onChosen(id)
	}
	billing, number, err := x.draft.numberAttempt(x.r.book)
	if err != nil {
		return pool.Outcome{}, "", err
	}
	start := time.Now()
	run := x.runs.Begin()
	out, err := x.r.pool.Do(ctx, pool.Attempt{Backend: id, Requirements: spec.need, Work: x.newWork(spec, billing, number)}, sink)
	if err == nil {
		err = sink.checkReply()
	}
	if out.MayHaveRun {
		x.draft.addBackend(id)
		x.chargeUsage(spec, number, out)
	} else {
		run.SetNotRun() // by the word of the side process, or not sent to it
	}
	x.tallyAttempt(spec, time.Since(start), err)
	x.recordCrash(id, out, time.Since(start), err)
	x.record.addAttempt(AttemptRecord{
		Number: number, Model: spec.need.Target.Model, Version: spec.need.Target.Version, Backend: id,
		Candidates: n, Reason: reason, Outcome: outcome(err), Duration: time.Since(start), start: start,
	})
	return out, id, err
}

// checkPermission checks the lease and the customer's permission for a new
// attempt.
func (x *execution) checkPermission(spec attemptSpec) error {
	if err := x.checkLease(); err != nil {
		return err
	}
	view := x.r.state.View()
	if x.req.Kind == ident.Call {
		route, ok := view.Routes[x.req.Route]
		if !ok || route.Service != spec.need.Service || !view.MayCall(x.req.Customer, x.req.Route) {
			return fault.New(fault.Forbidden, "route "+string(x.req.Route)+" is not open to this customer; ask the operators for it")
		}
		return nil
	}
	if !view.IsAllowed(x.req.Customer, spec.need.Target) {
		return errVersionWithdrawn
	}
	return nil
}

// chooseBackend waits for a backend server with a free slot. It returns the
// server, the reason of the choice and the number of candidates.
func (x *execution) chooseBackend(ctx context.Context, spec attemptSpec) (ident.Backend, policy.Reason, int, error) {
	buf := candidateLists.Get().(*[]policy.Candidate)
	defer candidateLists.Put(buf)
	query := policy.Attempt{
		Kind: x.req.Kind, Seed: seed(string(x.req.ID)) + uint64(x.draft.attemptCount()),
		MaxLongShare: x.r.state.View().Limits.LongWorkShare, Exclude: spec.avoid,
	}
	deadline := time.Now().Add(slotTimeout)
	for {
		now := time.Now()
		list := x.r.pool.Candidates(now, spec.need, (*buf)[:0])
		*buf = list
		list = x.withoutFailed(list)
		i, reason := policy.ChooseBackend(query, list)
		if i < 0 && query.Exclude != "" && !spec.noSlotWait {
			// The backend server to avoid is better than none.
			query.Exclude = ""
			i, reason = policy.ChooseBackend(query, list)
		}
		if i >= 0 {
			return list[i].Backend, reason, len(list), nil
		}
		if len(list) == 0 {
			return "", reason, 0, fault.New(fault.Unavailable, "no backend server serves "+x.targetName(spec)+" now; retry later").WithRetryAfter(time.Second)
		}
		if spec.noSlotWait || now.After(deadline) {
			return "", reason, len(list), fault.New(fault.Busy, "all backend servers for "+x.targetName(spec)+" are full; retry later").WithRetryAfter(time.Second)
		}
		select {
		case <-time.After(slotPollInterval):
		case <-ctx.Done():
			return "", reason, len(list), x.contextFault(ctx)
		}
	}
}

// withoutFailed drops the candidates that failed for this request before. If no
// other is left it keeps them: a backend server that failed is better than none.
func (x *execution) withoutFailed(list []policy.Candidate) []policy.Candidate {
	if len(x.failedBackends) == 0 {
		return list
	}
	failed := func(c policy.Candidate) bool { return slices.Contains(x.failedBackends, c.Backend) }
	if !slices.ContainsFunc(list, func(c policy.Candidate) bool { return !failed(c) }) {
		return list
	}
	return slices.DeleteFunc(list, failed)
}

// contextFault returns the error of a request whose context ended between
// attempts.
func (x *execution) contextFault(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if !x.runs.MayHaveRun() {
			return fault.New(fault.Busy, "the request could not start before its deadline; retry later").WithRetryAfter(time.Second)
		}
		return fault.New(fault.Timeout, "the request reached its deadline; raise the timeout or ask for less output")
	}
	return context.Canceled
}

func (x *execution) targetName(spec attemptSpec) string {
	if spec.need.Service != "" {
		return "service " + string(spec.need.Service)
	}
	return spec.need.Target.String()
}

func (d *billDraft) attemptCount() ident.Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.attempts
}

func (x *execution) newWork(spec attemptSpec, b ident.BillKey, number ident.Attempt) *wire.Work {
	return &wire.Work{
		Request:     string(x.req.ID),
		Attempt:     uint32(number),
		Customer:    string(x.req.Customer),
		Model:       string(spec.need.Target.Model),
		Version:     string(spec.need.Target.Version),
		Revision:    uint64(x.r.state.View().Revision),
		Incarnation: uint64(b.Incarnation),
		Sequence:    uint64(b.Sequence),
		Kind:        x.req.Kind.String(),
		Route:       string(x.req.Route),
		Method:      x.req.Method,
		Path:        x.req.Path,
		Headers:     x.req.Headers,
		Body:        x.req.Body,
		Operation:   spec.operation,
		Fence:       spec.fence,
		Priority:    enginePriority(x.req.Kind),
		Timeout:     uint32(max(1, time.Until(x.deadline).Milliseconds())),
		Stream:      spec.stream,
		Resume:      uint32(spec.resumeTokens),
	}
}

// enginePriority returns the scheduling priority at the engine, 0 being the
// highest. Reports, which are long, come after all other work.
func enginePriority(k ident.Kind) uint32 {
	if k == ident.Report {
		return 1
	}
	return 0
}

// chargeUsage adds the usage of an attempt to the bill. A canceled attempt whose
// side process did not report its usage in time is charged for the chunks that
// arrived.
func (x *execution) chargeUsage(spec attemptSpec, number ident.Attempt, out pool.Outcome) {
	if x.req.Kind == ident.Call && out.Usage == nil {
		return
	}
	u := out.Usage
	if u == nil {
		u = &wire.Usage{}
		if spec.stream {
			u.Output = int64(out.Chunks)
		}
	}
	u.Model, u.Version = string(spec.need.Target.Model), string(spec.need.Target.Version)
	u.Attempt = uint32(number)
	if m, ok := x.r.state.View().Models[spec.need.Target.Model]; ok {
		u.Cost = float64(u.Input)*float64(m.InputPrice) + float64(u.Output)*float64(m.OutputPrice)
		if out.Complete {
			x.r.adaptive.observeCost(workload{kind: x.req.Kind, model: spec.need.Target.Model}, u, m.OutputPrice)
		}
	}
	x.draft.addUsage(u)
}

// slowTimeoutDivisor divides the timeout of a kind of work; the rollout test
// counts an attempt that took longer than the quotient as slow.
const slowTimeoutDivisor = 3

// tallyAttempt counts an attempt for the rollout test. Canceled attempts say
// nothing about the version and are not counted.
func (x *execution) tallyAttempt(spec attemptSpec, took time.Duration, err error) {
	if x.req.Kind == ident.Call || errors.Is(err, context.Canceled) {
		return
	}
	failed := err != nil && !fault.From(err).Kind.GuaranteesNotRun()
	x.r.adaptive.countAttempt(spec.need.Target, failed, took > x.r.state.View().Limits.Timeout(x.req.Kind)/slowTimeoutDivisor)
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
