package ledger

import (
	"cmp"
	"container/heap"
	_ "embed" // for the state chart
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"citronledge.example/core/chart"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

//go:embed operation.yaml
var operationChartYAML []byte

var operationChart = chart.MustParse(operationChartYAML)

// Phases of an operation that the code names; operation.yaml holds the state chart.
const (
	phaseBegun   chart.State = "begun"
	phaseHanded  chart.State = "handed"
	phaseDone    chart.State = "done"
	phaseUnknown chart.State = "unknown"
	phaseAborted chart.State = "aborted"
)

// MaxAnswerBytes is the largest stored answer body of an operation, in bytes.
const MaxAnswerBytes = 1 << 20

// settleDelay is how long after the last transition of an operation a side
// process may still call the service: HandTimeout plus 1 % for the rate error of its
// clock.
const settleDelay = ident.HandTimeout + ident.HandTimeout/100

// inProgressRetryAfter is the Retry-After of a refusal because the operation is
// in progress.
const inProgressRetryAfter = time.Second

// operations holds the operations that may run at most once.
type operations struct {
	lastFence uint64 // highest fence assigned
	byID      map[string]*operation
	// byBusinessKey maps a key as returned by businessKey to the id of the
	// operation that holds it.
	byBusinessKey map[string]string
	// deadlines may hold stale elements; expirePhases skips them.
	deadlines deadlineHeap
}

// operation is the state of one operation. It is immutable: a transition replaces
// it, so that a snapshot may share it.
type operation struct {
	op     *wire.Operation
	digest string
	nonce  uint64 // of the Hand command that was granted
}

func newOperations() operations {
	return operations{byID: map[string]*operation{}, byBusinessKey: map[string]string{}}
}

func (o *operation) phase() chart.State { return chart.State(o.op.GetPhase()) }

// clone returns a copy of the operation for a transition.
func (o *operation) clone() *operation {
	op := o.op
	return &operation{digest: o.digest, nonce: o.nonce, op: &wire.Operation{
		Id: op.Id, Fence: op.Fence, Phase: op.Phase, Status: op.Status, Headers: op.Headers, Body: op.Body,
		Business: op.Business, Incarnation: op.Incarnation, Backend: op.Backend, Time: op.Time, Request: op.Request,
		Expired: op.Expired,
	}}
}

// transition returns the operation after an event of the chart, or false if its
// phase does not allow the event. It does not store the result.
func (l *Ledger) transition(o *operation, e chart.Event) (*operation, bool) {
	phase, ok := operationChart.Next(o.phase(), e)
	if !ok {
		return nil, false
	}
	n := o.clone()
	n.op.Phase, n.op.Time = string(phase), l.clock
	return n, true
}

// storeOperation stores an operation after a transition, and claims or releases
// its business key.
func (l *Ledger) storeOperation(o *operation) {
	id := o.op.GetId()
	l.operations.byID[id] = o
	if key := businessKey(o.op); key != "" {
		switch {
		case o.phase() != phaseAborted:
			l.operations.byBusinessKey[key] = id
		case l.operations.byBusinessKey[key] == id:
			delete(l.operations.byBusinessKey, key)
		}
	}
	l.operations.scheduleDeadline(o)
}

// businessKey returns the key CUSTOMER/ROUTE/BUSINESS under which an operation
// may run only once, or "" if it has no business key.
func businessKey(op *wire.Operation) string {
	if op.GetBusiness() == "" {
		return ""
	}
	customer, rest, _ := strings.Cut(op.GetId(), "/")
	route, _, _ := strings.Cut(rest, "/")
	return customer + "/" + route + "/" + op.GetBusiness()
}

// operationResult returns a result with the operation. granted tells the sender
// of the command that it may proceed.
func operationResult(o *operation, granted bool) *wire.Result {
	op := o.clone().op
	op.Granted = granted
	return &wire.Result{Kind: &wire.Result_Operation{Operation: op}}
}

// refuseOperation returns a result with the operation and the reason why the
// sender of the command may not proceed.
func refuseOperation(o *operation, k fault.Kind, format string, args ...any) *wire.Result {
	r := operationResult(o, false)
	r.Fault = refuse(k, format, args...).Fault
	return r
}

func (l *Ledger) begin(c *wire.Command, b *wire.Begin) *wire.Result {
	id := b.GetCustomer() + "/" + b.GetRoute() + "/" + b.GetKey()
	return l.recordAudit(c, "begin", id, "", l.tryBegin(id, b))
}

func (l *Ledger) tryBegin(id string, b *wire.Begin) *wire.Result {
	if b.GetCustomer() == "" || b.GetRoute() == "" || b.GetKey() == "" || strings.Contains(b.GetCustomer()+b.GetRoute(), "/") {
		return refuse(fault.Invalid, "the operation needs a customer and a route without a slash, and an idempotency key")
	}
	if !l.incarnations.isActive(b.GetIncarnation()) {
		return refuse(fault.Stale, "incarnation %d is retired or was never given; enroll again", b.GetIncarnation())
	}
	old, ok := l.operations.byID[id]
	if ok && old.phase() != phaseAborted {
		return l.beginExisting(old, b)
	}
	if holder, held := l.operations.byBusinessKey[businessKey(&wire.Operation{Id: id, Business: b.GetBusiness()})]; held {
		return refuseOperation(l.operations.byID[holder], fault.Conflict,
			"operation %s holds the business key %q; look at its outcome instead of sending it again", holder, b.GetBusiness())
	}
	return l.startOperation(id, b)
}

// startOperation begins an operation, or begins an aborted one again.
func (l *Ledger) startOperation(id string, b *wire.Begin) *wire.Result {
	l.operations.lastFence++
	o := &operation{digest: b.GetDigest(), op: &wire.Operation{
		Id: id, Fence: l.operations.lastFence, Phase: string(operationChart.StartState()), Business: b.GetBusiness(),
		Incarnation: b.GetIncarnation(), Request: b.GetRequest(), Time: l.clock,
	}}
	l.storeOperation(o)
	return operationResult(o, true)
}

// beginExisting answers a Begin command for an operation that is on record.
func (l *Ledger) beginExisting(old *operation, b *wire.Begin) *wire.Result {
	id := old.op.GetId()
	if old.digest != b.GetDigest() || old.op.GetBusiness() != b.GetBusiness() {
		return refuseOperation(old, fault.Conflict, "the idempotency key of operation %s was used with another request; use a new key", id)
	}
	switch old.phase() {
	case phaseDone:
		if old.op.GetExpired() {
			return refuseOperation(old, fault.Conflict, "operation %s ran and its answer is no longer kept; look it up at the service", id)
		}
		return operationResult(old, false)
	case phaseUnknown:
		return refuseOperation(old, fault.Unknown, "the outcome of operation %s is unknown; it is not sent again until an operator settles it", id)
	case phaseBegun:
		if old.op.GetIncarnation() == b.GetIncarnation() && old.op.GetRequest() == b.GetRequest() {
			return operationResult(old, true)
		}
		if !l.incarnations.isActive(old.op.GetIncarnation()) {
			return l.takeOver(old, b)
		}
	}
	r := refuseOperation(old, fault.Busy, "operation %s is in progress; ask again later", id)
	r.Fault.Retry = uint32(inProgressRetryAfter / time.Millisecond)
	return r
}

// takeOver lets another incarnation continue an operation whose incarnation is
// retired. The higher fence invalidates the old one, so that no side process that
// holds the old fence is granted the call.
func (l *Ledger) takeOver(old *operation, b *wire.Begin) *wire.Result {
	next, ok := l.transition(old, "take")
	if !ok {
		return refuseOperation(old, fault.Conflict, "operation %s cannot be taken over", old.op.GetId())
	}
	l.operations.lastFence++
	next.op.Fence, next.op.Incarnation, next.op.Request = l.operations.lastFence, b.GetIncarnation(), b.GetRequest()
	l.storeOperation(next)
	return operationResult(next, true)
}

func (l *Ledger) grantCall(c *wire.Command, h *wire.Hand) *wire.Result {
	return l.recordAudit(c, "hand", h.GetOperation(), h.GetBackend(), l.tryGrantCall(h))
}

// tryGrantCall grants the call of the service to one attempt of one side process.
// A repeated Hand command is granted only with the nonce of the first.
func (l *Ledger) tryGrantCall(h *wire.Hand) *wire.Result {
	old, r := l.checkFence(h.GetOperation(), h.GetFence())
	if r != nil {
		return r
	}
	if h.GetBackend() == "" {
		return refuseOperation(old, fault.Invalid, "the hand-over of operation %s names no backend server", h.GetOperation())
	}
	if old.phase() == phaseHanded && old.op.GetBackend() == h.GetBackend() && h.GetNonce() != 0 && old.nonce == h.GetNonce() {
		return operationResult(old, true)
	}
	next, ok := l.transition(old, "hand")
	if !ok {
		return refuseOperation(old, fault.Stale, "operation %s is %s and not begun; do not call the service", h.GetOperation(), old.phase())
	}
	next.op.Backend, next.nonce = h.GetBackend(), h.GetNonce()
	l.storeOperation(next)
	return operationResult(next, true)
}

// checkFence returns the operation if fence is its current one, or else a refusal.
func (l *Ledger) checkFence(id string, fence uint64) (*operation, *wire.Result) {
	old, ok := l.operations.byID[id]
	if !ok {
		return nil, refuse(fault.Missing, "operation %s is not on record; begin it first", id)
	}
	if old.op.GetFence() != fence {
		return nil, refuseOperation(old, fault.Stale, "fence %d of operation %s is stale; the current one is %d", fence, id, old.op.GetFence())
	}
	return old, nil
}

func (l *Ledger) finish(c *wire.Command, f *wire.Finish) *wire.Result {
	return l.recordAudit(c, "finish", f.GetOperation(), "", l.tryFinish(f))
}

func (l *Ledger) tryFinish(f *wire.Finish) *wire.Result {
	old, r := l.checkFence(f.GetOperation(), f.GetFence())
	if r != nil {
		return r
	}
	if len(f.GetBody()) > MaxAnswerBytes {
		return refuseOperation(old, fault.TooLarge, "the answer of operation %s is over %d bytes; report its outcome as unknown", f.GetOperation(), MaxAnswerBytes)
	}
	if f.GetUnknown() {
		next, ok := l.transition(old, "lose")
		switch {
		case ok:
			l.storeOperation(next)
			return operationResult(next, false)
		case old.phase() == phaseDone || old.phase() == phaseUnknown: // a repeat, or the answer arrived first
			return operationResult(old, false)
		}
		return refuseOperation(old, fault.Conflict, "operation %s is %s and was not handed over", f.GetOperation(), old.phase())
	}
	next, ok := l.transition(old, "finish")
	switch {
	case ok:
		next.op.Status, next.op.Headers, next.op.Body = f.GetStatus(), f.GetHeaders(), f.GetBody()
		l.storeOperation(next)
		return operationResult(next, false)
	case old.phase() == phaseDone:
		return operationResult(old, false)
	}
	return refuseOperation(old, fault.Conflict, "operation %s is %s and was not handed over", f.GetOperation(), old.phase())
}

func (l *Ledger) abort(c *wire.Command, a *wire.Abort) *wire.Result {
	return l.recordAudit(c, "abort", a.GetOperation(), a.GetBackend(), l.tryAbort(a))
}

// tryAbort accepts an abort from the gate until a side process is granted the
// call; afterwards only from the attempt that holds the grant.
func (l *Ledger) tryAbort(a *wire.Abort) *wire.Result {
	old, r := l.checkFence(a.GetOperation(), a.GetFence())
	if r != nil {
		return r
	}
	if old.phase() == phaseAborted {
		return operationResult(old, false)
	}
	next, ok := l.transition(old, "abort")
	if !ok && a.GetBackend() != "" && a.GetBackend() == old.op.GetBackend() && a.GetNonce() == old.nonce {
		next, ok = l.transition(old, "recall")
	}
	if !ok {
		return refuseOperation(old, fault.Conflict, "operation %s is %s; it may have run", a.GetOperation(), old.phase())
	}
	l.storeOperation(next)
	return operationResult(next, false)
}

func (l *Ledger) settle(c *wire.Command, s *wire.Settle) *wire.Result {
	return l.recordAudit(c, "settle", s.GetOperation(), "", l.trySettle(s))
}

func (l *Ledger) trySettle(s *wire.Settle) *wire.Result {
	id := s.GetOperation()
	old, ok := l.operations.byID[id]
	if !ok {
		return refuse(fault.Missing, "operation %s is not on record; see the list of unknown ones", id)
	}
	// The outcome that a look-up found under an earlier fence does not apply to a
	// later run.
	if s.GetFence() != 0 && s.GetFence() != old.op.GetFence() {
		return refuseOperation(old, fault.Stale, "fence %d of operation %s is stale; the current one is %d", s.GetFence(), id, old.op.GetFence())
	}
	event, wantPhase := chart.Event("deny"), phaseAborted
	if s.GetRan() {
		event, wantPhase = "confirm", phaseDone
	}
	next, ok := l.transition(old, event)
	if !ok {
		if old.phase() == wantPhase {
			return operationResult(old, false)
		}
		return refuseOperation(old, fault.Conflict, "operation %s is %s; only unknown ones are settled", id, old.phase())
	}
	if wait := settleDelay - l.elapsedSince(old.op.GetTime()); wait > 0 {
		r := refuseOperation(old, fault.Busy, "operation %s may still be called; settle it after %s", id, wait)
		r.Fault.Retry = uint32(wait/time.Millisecond) + 1
		return r
	}
	if len(s.GetBody()) > MaxAnswerBytes {
		return refuseOperation(old, fault.TooLarge, "the answer of operation %s is over %d bytes; send a shorter one", id, MaxAnswerBytes)
	}
	next.op.Status, next.op.Headers, next.op.Body = s.GetStatus(), s.GetHeaders(), s.GetBody()
	l.storeOperation(next)
	return operationResult(next, false)
}

// phaseDeadline is the time at which the phase of an operation expires.
type phaseDeadline struct {
	at          uint64 // ms since the Unix epoch
	operationID string
}

type deadlineHeap []phaseDeadline

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].operationID, h[j].operationID)) < 0
}
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(phaseDeadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// deadline returns when the phase of an operation expires, in ms since the Unix
// epoch, or false if it does not: an unknown outcome waits for an operator, and an
// expired operation with a business key is kept for good.
func (o *operation) deadline() (uint64, bool) {
	retention := OperationRetention
	switch {
	case o.phase() == phaseUnknown || o.op.GetExpired():
		return 0, false
	case o.phase() == phaseHanded:
		retention = HandedTimeout
	}
	ms := uint64(retention / time.Millisecond)
	if t := o.op.GetTime(); t <= math.MaxUint64-ms {
		return t + ms, true
	}
	return 0, false
}

func (cs *operations) scheduleDeadline(o *operation) {
	if at, ok := o.deadline(); ok {
		heap.Push(&cs.deadlines, phaseDeadline{at, o.op.GetId()})
	}
}

// expirePhases ends the phases that are due, in the order of time and id.
func (l *Ledger) expirePhases() {
	for len(l.operations.deadlines) > 0 && l.operations.deadlines[0].at <= l.clock {
		d := heap.Pop(&l.operations.deadlines).(phaseDeadline)
		o, ok := l.operations.byID[d.operationID]
		if !ok {
			continue
		}
		if at, ok := o.deadline(); !ok || at != d.at {
			continue // stale: the operation has changed since
		}
		next, ok := l.transition(o, "lapse")
		if !ok {
			l.dropFinished(o)
			continue
		}
		l.storeOperation(next)
		l.recordAudit(&wire.Command{Actor: "ledger"}, "lapse", d.operationID, next.op.GetPhase(), operationResult(next, false))
	}
}

// dropFinished removes a finished or aborted operation. An operation that ran
// under a business key stays for good without its answer, about 200 bytes,
// because the same registration may be sent again after years.
func (l *Ledger) dropFinished(o *operation) {
	if o.phase() == phaseDone && o.op.GetBusiness() != "" {
		next := o.clone()
		next.op.Expired, next.op.Headers, next.op.Body = true, nil, nil
		l.storeOperation(next)
		return
	}
	delete(l.operations.byID, o.op.GetId())
}

// Operations returns the operation with the given id or, if id is empty, all
// operations in the given phase, ordered by id; an empty phase means every phase.
func (l *Ledger) Operations(id, phase string) []*wire.Operation {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if id != "" {
		if o, ok := l.operations.byID[id]; ok {
			return []*wire.Operation{o.op}
		}
		return nil
	}
	var list []*wire.Operation
	for _, key := range slices.Sorted(maps.Keys(l.operations.byID)) {
		if o := l.operations.byID[key]; phase == "" || o.op.GetPhase() == phase {
			list = append(list, o.op)
		}
	}
	return list
}
