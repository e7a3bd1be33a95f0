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
	"citronledge.example/core/ledger"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
)

const (
	// lookupDelay is the delay from the last possible start of a call to its
	// look-up. A call that was sent may still wait in the socket of a service
	// stalled by a noisy neighbor or a garbage collection, for up to a few
	// seconds; until then "not run" is not reliable.
	lookupDelay = 5 * time.Second
	// lookupTimeout bounds one look-up. A later answer is ignored.
	lookupTimeout = 2 * time.Second
	// maxLookups bounds the look-ups in flight or in their delay. Beyond it, the
	// outcome is left to the next request with the same key.
	maxLookups = 256
)

// lookups holds the running look-ups of this gate by operation id and fence.
type lookups struct {
	mu      sync.Mutex
	running map[lookupKey]*lookup
}

type lookupKey struct {
	id    string
	fence uint64
}

// lookup is one look-up. op is set before done is closed; it is nil if the
// outcome stays unknown.
type lookup struct {
	done chan struct{}
	op   *wire.Operation
}

// lookupOutcome settles an operation of unknown outcome by the service's answer
// to a look-up. It returns the settled operation, or nil if the outcome is still
// unknown when the request ends. The look-up then continues, for the next request
// with the key.
func (x *execution) lookupOutcome(ctx context.Context, op *wire.Operation) *wire.Operation {
	s := x.r.startLookup(x.req, op)
	if s == nil {
		return nil
	}
	select {
	case <-s.done:
		x.record.addNote("outcome looked up")
		return s.op
	case <-ctx.Done():
		return nil
	}
}

// startLookup starts a look-up or returns the running one of the operation. It
// returns nil if the route has no look-up or none may be started.
func (r *Router) startLookup(req *Request, op *wire.Operation) *lookup {
	view := r.state.View()
	route := view.Routes[req.Route]
	limit := max(time.Duration(route.TimeoutMillis)*time.Millisecond, view.Limits.Timeout(ident.Call))
	// If the timeout of a call reaches the time that the ledger waits for its end,
	// the call can still be running when its outcome turns unknown.
	if route.LookupPath == "" || limit >= ledger.HandedTimeout {
		return nil
	}
	key := lookupKey{op.GetId(), op.GetFence()}
	r.lookups.mu.Lock()
	defer r.lookups.mu.Unlock()
	if s, ok := r.lookups.running[key]; ok {
		return s
	}
	if len(r.lookups.running) >= maxLookups || r.background.Err() != nil {
		return nil
	}
	s := &lookup{done: make(chan struct{})}
	r.lookups.running[key] = s
	r.backgroundCalls.Go(func() {
		s.op = r.settleByLookup(req, op)
		r.lookups.mu.Lock()
		delete(r.lookups.running, key)
		r.lookups.mu.Unlock()
		close(s.done)
	})
	return s
}

// settleByLookup waits until the call can no longer start, queries the service
// and settles the operation. The wait begins when this gate received the last
// transition of the operation, which is no earlier than the transition itself, so
// it does not depend on the clock of another VM.
func (r *Router) settleByLookup(req *Request, op *wire.Operation) *wire.Operation {
	select {
	case <-time.After(ident.HandTimeout + ident.HandTimeout/100 + lookupDelay):
	case <-r.background.Done():
		return nil
	}
	settle := r.queryService(req, op)
	if settle == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.background, abortTimeout)
	defer cancel()
	res, err := r.state.Propose(ctx, &wire.Command{
		Actor: r.actor, Time: uint64(time.Now().UnixMilli()), Kind: &wire.Command_Settle{Settle: settle},
	})
	klog.InfoS("Operation looked up at the service", "request", req.ID, "customer", req.Customer, "route", req.Route,
		"ran", settle.GetRan(), "settled", err == nil)
	// Another gate may have settled the operation, and a new operation may have
	// begun with the key since.
	if current := res.GetOperation(); current.GetFence() == op.GetFence() {
		return current
	}
	return nil
}

// queryService looks up an operation at the service. It returns the command that
// settles the operation, or nil if the answer does not settle it.
func (r *Router) queryService(req *Request, op *wire.Operation) *wire.Settle {
	route, ok := r.state.View().Routes[req.Route]
	if !ok || route.LookupPath == "" || !r.state.LeaseValidAt(time.Now()) {
		return nil
	}
	need := pool.Requirements{Service: route.Service, Kind: ident.Call}
	id, ok := r.chooseInstance(need, ident.Backend(op.GetBackend()))
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.background, lookupTimeout)
	defer cancel()
	sink := &operationSink{}
	_, err := r.pool.Do(ctx, pool.Attempt{Backend: id, Requirements: need, Work: r.lookupWork(req, route, op)}, sink)
	if err != nil {
		klog.InfoS("Look-up of an operation failed; its outcome stays unknown", "request", req.ID, "customer", req.Customer,
			"route", req.Route, "backend", id, "kind", fault.From(err).Kind)
		return nil
	}
	return settlement(sink, op, id)
}

// settlement returns the command that settles an operation by an instance's
// answer to a look-up, or nil. Any instance may report that the operation ran,
// but only the one that the call was sent to may report that it did not: no other
// one can see a call that waits at an instance that is stalled or unreachable.
func settlement(a *operationSink, op *wire.Operation, id ident.Backend) *wire.Settle {
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
	case status == http.StatusNotFound && string(id) == op.GetBackend() && reportsNotRun(a.body):
		return s
	}
	return nil
}

// reportsNotRun reports whether the body of a 404 says that the call did not run.
// The status alone is not enough: a look-up path that does not exist returns 404
// for every call, and a call whose answer was lost would run again.
func reportsNotRun(body []byte) bool {
	var answer struct {
		Ran *bool `json:"ran"`
	}
	return json.Unmarshal(body, &answer) == nil && answer.Ran != nil && !*answer.Ran
}

// chooseInstance returns the instance to query: the one that the call was sent
// to if it is available, else any.
func (r *Router) chooseInstance(need pool.Requirements, called ident.Backend) (ident.Backend, bool) {
	list := r.pool.Candidates(time.Now(), need, nil)
	for _, c := range list {
		if c.Backend == called {
			return called, true
		}
	}
	i, _ := policy.ChooseBackend(policy.Attempt{Kind: ident.Call, Seed: seed(string(called))}, list)
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
		Fence: op.GetFence(), Timeout: uint32(lookupTimeout / time.Millisecond),
	}
}
