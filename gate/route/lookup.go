package route

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	states "citronledge.example/core/ledger"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
)

const (
	// lookupDelay is how long after the last possible start of a call a
	// look-up may be believed. A call that was sent may still wait in the
	// socket of a service that a noisy neighbour or a garbage collection
	// stalls; such stalls last up to a few seconds.
	lookupDelay = 5 * time.Second
	// lookupTime bounds one look-up. A later answer is not used.
	lookupTime = 2 * time.Second
	// lookupsOpen bounds the look-ups under way or waiting. Others are left
	// to the next request with the same key.
	lookupsOpen = 256
)

// lookups are the operations whose outcome this gate looks up, by id and fence.
type lookups struct {
	mu   sync.Mutex
	list map[lookupKey]*lookup
}

type lookupKey struct {
	id    string
	fence uint64
}

// lookup is one look-up. The operation is set before done is closed; it is nil
// if the outcome stays unknown.
type lookup struct {
	done chan struct{}
	op   *wire.Operation
}

// lookupOutcome settles an operation of unknown outcome by what the service says, and
// returns it as settled, or nil if its outcome stays unknown until the request
// has ended. The look-up goes on after that, for the next request with the key.
func (x *run) lookupOutcome(ctx context.Context, op *wire.Operation) *wire.Operation {
	s := x.r.lookUp(x.req, op)
	if s == nil {
		return nil
	}
	select {
	case <-s.done:
		x.rec.note("outcome looked up")
		return s.op
	case <-ctx.Done():
		return nil
	}
}

// lookUp starts a look-up or joins the one under way. It returns nil if the
// route has none.
func (r *Router) lookUp(req *Request, op *wire.Operation) *lookup {
	view := r.state.View()
	route := view.Routes[req.Route]
	limit := max(time.Duration(route.TimeoutMillis)*time.Millisecond, view.Limits.Timeout(ident.Call))
	// A call that may take longer than the ledger waits for its end can still
	// be running when its outcome turns unknown.
	if route.LookupPath == "" || limit >= states.HandedTimeout {
		return nil
	}
	key := lookupKey{op.GetId(), op.GetFence()}
	r.lookups.mu.Lock()
	defer r.lookups.mu.Unlock()
	if s, ok := r.lookups.list[key]; ok {
		return s
	}
	if len(r.lookups.list) >= lookupsOpen || r.life.Err() != nil {
		return nil
	}
	s := &lookup{done: make(chan struct{})}
	r.lookups.list[key] = s
	r.asks.Go(func() {
		s.op = r.settleByService(req, op)
		r.lookups.mu.Lock()
		delete(r.lookups.list, key)
		r.lookups.mu.Unlock()
		close(s.done)
	})
	return s
}

// settleByService waits until the call cannot start any more, asks the
// service and settles the operation. The wait starts when this gate learned of
// the last transition, which is no earlier than the transition, so that it
// does not depend on the clock of another VM.
func (r *Router) settleByService(req *Request, op *wire.Operation) *wire.Operation {
	select {
	case <-time.After(ident.HandTime + ident.HandTime/100 + lookupDelay):
	case <-r.life.Done():
		return nil
	}
	settle := r.askService(req, op)
	if settle == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.life, abortTime)
	defer cancel()
	res, err := r.state.Propose(ctx, &wire.Command{
		Actor: r.actor, Time: uint64(time.Now().UnixMilli()), Kind: &wire.Command_Settle{Settle: settle},
	})
	klog.InfoS("Operation looked up at the service", "request", req.ID, "customer", req.Customer, "route", req.Route,
		"ran", settle.GetRan(), "settled", err == nil)
	// Another gate may have settled it, and the key may have begun again since.
	if now := res.GetOperation(); now.GetFence() == op.GetFence() {
		return now
	}
	return nil
}

// askService returns what the service says of an operation, or nil if that
// does not settle it.
func (r *Router) askService(req *Request, op *wire.Operation) *wire.Settle {
	route, ok := r.state.View().Routes[req.Route]
	if !ok || route.LookupPath == "" || !r.state.Valid(time.Now()) {
		return nil
	}
	need := pool.Need{Service: route.Service, Kind: ident.Call}
	id, ok := r.instance(need, ident.Backend(op.GetBackend()))
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.life, lookupTime)
	defer cancel()
	a := &stored{}
	_, err := r.pool.Do(ctx, pool.Attempt{Backend: id, Need: need, Work: r.lookupWork(req, route, op)}, a)
	if err != nil {
		klog.InfoS("Look-up of an operation failed; its outcome stays unknown", "request", req.ID, "customer", req.Customer,
			"route", req.Route, "backend", id, "kind", fault.From(err).Kind)
		return nil
	}
	return verdict(a, op, id)
}

// verdict believes every instance that an operation ran, but that it did not
// run only the one that the call was sent to: another one cannot know of a
// call that waits at an instance that is stalled or cut off.
func verdict(a *stored, op *wire.Operation, id ident.Backend) *wire.Settle {
	s := &wire.Settle{Operation: op.GetId(), Fence: op.GetFence()}
	switch status := a.head.GetStatus(); {
	case status == http.StatusOK:
		s.Ran, s.Status, s.Body = true, status, a.body
		for _, h := range a.head.GetHeaders() {
			if http.CanonicalHeaderKey(h.GetName()) == "Content-Type" {
				s.Headers = append(s.Headers, h)
			}
		}
		return s
	case status == http.StatusNotFound && string(id) == op.GetBackend() && saysNotRun(a.body):
		return s
	}
	return nil
}

// saysNotRun tells whether the body of a 404 says that the call did not run. The
// status alone is not enough: a look-up path that does not exist answers 404
// for every call, and a call whose answer was lost would run again.
func saysNotRun(body []byte) bool {
	var answer struct {
		Ran *bool `json:"ran"`
	}
	return json.Unmarshal(body, &answer) == nil && answer.Ran != nil && !*answer.Ran
}

// instance returns the one to ask: the one that the call was sent to, or
// else any.
func (r *Router) instance(need pool.Need, handed ident.Backend) (ident.Backend, bool) {
	list := r.pool.Candidates(time.Now(), need, nil)
	for _, c := range list {
		if c.Backend == handed {
			return handed, true
		}
	}
	i, _ := policy.Choose(policy.Ask{Kind: ident.Call, Seed: seed(string(handed))}, list)
	if i < 0 {
		return "", false
	}
	return list[i].Backend, true
}

// lookupWork returns the work of a look-up. It is not billed.
func (r *Router) lookupWork(req *Request, route conf.Route, op *wire.Operation) *wire.Work {
	return &wire.Work{
		Request: string(req.ID), Attempt: 1, Customer: string(req.Customer), Revision: uint64(r.state.View().Revision),
		Kind: ident.Lookup, Route: string(req.Route), Method: http.MethodGet, Path: route.LookupPath, Operation: op.GetId(),
		Fence: op.GetFence(), Timeout: uint32(lookupTime / time.Millisecond),
	}
}
