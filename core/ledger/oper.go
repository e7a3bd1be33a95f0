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
var chartFile []byte

var life = chart.MustParse(chartFile)

// Phases that the rules below name; operation.yaml holds the chart.
const (
	begun   chart.State = "begun"
	handed  chart.State = "handed"
	done    chart.State = "done"
	unknown chart.State = "unknown"
	aborted chart.State = "aborted"
)

// MaxAnswerBytes bounds the stored answer of an operation, in bytes.
const MaxAnswerBytes = 1 << 20

// settleAfter is the time after the last transition in which a side process
// may still call the service.
const settleAfter = ident.HandTimeout + ident.HandTimeout/100

const inProgressRetry = time.Second

// calls holds the operations that may run at most once.
type calls struct {
	fence uint64 // the last one given
	list  map[string]*call
	// business maps the business key of a route to the operation that holds it.
	business map[string]string
	due      dueHeap
}

// call is one operation. It is replaced, not changed, by a transition, so
// that a snapshot may share it.
type call struct {
	op     *wire.Operation
	digest string
	nonce  uint64 // of the granted Hand
}

func newCalls() calls { return calls{list: map[string]*call{}, business: map[string]string{}} }

func (c *call) phase() chart.State { return chart.State(c.op.GetPhase()) }

// next returns a copy of the call for a transition.
func (c *call) next() *call {
	op := c.op
	return &call{digest: c.digest, nonce: c.nonce, op: &wire.Operation{
		Id: op.Id, Fence: op.Fence, Phase: op.Phase, Status: op.Status, Headers: op.Headers, Body: op.Body,
		Business: op.Business, Incarnation: op.Incarnation, Backend: op.Backend, Time: op.Time, Request: op.Request,
		Expired: op.Expired,
	}}
}

// move returns the call after an event of the chart, or false if its phase
// does not allow the event.
func (l *Ledger) move(c *call, e chart.Event) (*call, bool) {
	phase, ok := life.Next(c.phase(), e)
	if !ok {
		return nil, false
	}
	n := c.next()
	n.op.Phase, n.op.Time = string(phase), l.time
	return n, true
}

// store puts a call after a transition.
func (l *Ledger) store(c *call) {
	id := c.op.GetId()
	l.calls.list[id] = c
	if key := businessKey(c.op); key != "" {
		switch {
		case c.phase() != aborted:
			l.calls.business[key] = id
		case l.calls.business[key] == id:
			delete(l.calls.business, key)
		}
	}
	l.calls.schedule(c)
}

func businessKey(op *wire.Operation) string {
	if op.GetBusiness() == "" {
		return ""
	}
	customer, rest, _ := strings.Cut(op.GetId(), "/")
	route, _, _ := strings.Cut(rest, "/")
	return customer + "/" + route + "/" + op.GetBusiness()
}

// answer returns an operation; granted tells the asker that it may go on.
func answer(c *call, granted bool) *wire.Result {
	op := c.next().op
	op.Granted = granted
	return &wire.Result{Kind: &wire.Result_Operation{Operation: op}}
}

// deny returns an operation together with the reason why the asker may not go on.
func deny(c *call, k fault.Kind, format string, args ...any) *wire.Result {
	r := answer(c, false)
	r.Fault = refuse(k, format, args...).Fault
	return r
}

func (l *Ledger) begin(c *wire.Command, b *wire.Begin) *wire.Result {
	id := b.GetCustomer() + "/" + b.GetRoute() + "/" + b.GetKey()
	return l.record(c, "begin", id, "", l.tryBegin(id, b))
}

func (l *Ledger) tryBegin(id string, b *wire.Begin) *wire.Result {
	if b.GetCustomer() == "" || b.GetRoute() == "" || b.GetKey() == "" || strings.Contains(b.GetCustomer()+b.GetRoute(), "/") {
		return refuse(fault.Invalid, "the operation needs a customer and a route without a slash, and an idempotency key")
	}
	if !l.runs.alive(b.GetIncarnation()) {
		return refuse(fault.Stale, "incarnation %d is retired or was never given; enroll again", b.GetIncarnation())
	}
	old, ok := l.calls.list[id]
	if ok && old.phase() != aborted {
		return l.beginAgain(old, b)
	}
	if holder, held := l.calls.business[businessKey(&wire.Operation{Id: id, Business: b.GetBusiness()})]; held {
		return deny(l.calls.list[holder], fault.Conflict,
			"operation %s holds the business key %q; look at its outcome instead of sending it again", holder, b.GetBusiness())
	}
	return l.startCall(id, b)
}

// startCall begins an operation, or begins an aborted one again.
func (l *Ledger) startCall(id string, b *wire.Begin) *wire.Result {
	l.calls.fence++
	c := &call{digest: b.GetDigest(), op: &wire.Operation{
		Id: id, Fence: l.calls.fence, Phase: string(life.StartState()), Business: b.GetBusiness(),
		Incarnation: b.GetIncarnation(), Request: b.GetRequest(), Time: l.time,
	}}
	l.store(c)
	return answer(c, true)
}

// beginAgain answers the key of an operation that is on record.
func (l *Ledger) beginAgain(old *call, b *wire.Begin) *wire.Result {
	id := old.op.GetId()
	if old.digest != b.GetDigest() || old.op.GetBusiness() != b.GetBusiness() {
		return deny(old, fault.Conflict, "the idempotency key of operation %s was used with another request; use a new key", id)
	}
	switch old.phase() {
	case done:
		if old.op.GetExpired() {
			return deny(old, fault.Conflict, "operation %s ran and its answer is no longer kept; look it up at the service", id)
		}
		return answer(old, false)
	case unknown:
		return deny(old, fault.Unknown, "the outcome of operation %s is unknown; it is not sent again until an operator settles it", id)
	case begun:
		if old.op.GetIncarnation() == b.GetIncarnation() && old.op.GetRequest() == b.GetRequest() {
			return answer(old, true)
		}
		if !l.runs.alive(old.op.GetIncarnation()) {
			return l.take(old, b)
		}
	}
	r := deny(old, fault.Busy, "operation %s is in progress; ask again later", id)
	r.Fault.Retry = uint32(inProgressRetry / time.Millisecond)
	return r
}

// take continues an operation whose incarnation is gone. The higher fence
// keeps every side process that got the old one from handing it over.
func (l *Ledger) take(old *call, b *wire.Begin) *wire.Result {
	c, ok := l.move(old, "take")
	if !ok {
		return deny(old, fault.Conflict, "operation %s cannot be taken over", old.op.GetId())
	}
	l.calls.fence++
	c.op.Fence, c.op.Incarnation, c.op.Request = l.calls.fence, b.GetIncarnation(), b.GetRequest()
	l.store(c)
	return answer(c, true)
}

func (l *Ledger) hand(c *wire.Command, h *wire.Hand) *wire.Result {
	return l.record(c, "hand", h.GetOperation(), h.GetBackend(), l.tryHand(h))
}

// tryHand grants the call of the service to one try of one side process. A
// repeat is granted only under the nonce of the first.
func (l *Ledger) tryHand(h *wire.Hand) *wire.Result {
	old, r := l.fenced(h.GetOperation(), h.GetFence())
	if r != nil {
		return r
	}
	if h.GetBackend() == "" {
		return deny(old, fault.Invalid, "the hand-over of operation %s names no backend server", h.GetOperation())
	}
	if old.phase() == handed && old.op.GetBackend() == h.GetBackend() && h.GetNonce() != 0 && old.nonce == h.GetNonce() {
		return answer(old, true)
	}
	next, ok := l.move(old, "hand")
	if !ok {
		return deny(old, fault.Stale, "operation %s is %s and not begun; do not call the service", h.GetOperation(), old.phase())
	}
	next.op.Backend, next.nonce = h.GetBackend(), h.GetNonce()
	l.store(next)
	return answer(next, true)
}

// fenced returns the operation if the fence is its current one, or a refusal.
func (l *Ledger) fenced(id string, fence uint64) (*call, *wire.Result) {
	old, ok := l.calls.list[id]
	if !ok {
		return nil, refuse(fault.Missing, "operation %s is not on record; begin it first", id)
	}
	if old.op.GetFence() != fence {
		return nil, deny(old, fault.Stale, "fence %d of operation %s is stale; the current one is %d", fence, id, old.op.GetFence())
	}
	return old, nil
}

func (l *Ledger) finish(c *wire.Command, f *wire.Finish) *wire.Result {
	return l.record(c, "finish", f.GetOperation(), "", l.tryFinish(f))
}

func (l *Ledger) tryFinish(f *wire.Finish) *wire.Result {
	old, r := l.fenced(f.GetOperation(), f.GetFence())
	if r != nil {
		return r
	}
	if len(f.GetBody()) > MaxAnswerBytes {
		return deny(old, fault.TooLarge, "the answer of operation %s is over %d bytes; report its outcome as unknown", f.GetOperation(), MaxAnswerBytes)
	}
	if f.GetUnknown() {
		next, ok := l.move(old, "lose")
		switch {
		case ok:
			l.store(next)
			return answer(next, false)
		case old.phase() == done || old.phase() == unknown: // a repeat, or the answer came first
			return answer(old, false)
		}
		return deny(old, fault.Conflict, "operation %s is %s and was not handed over", f.GetOperation(), old.phase())
	}
	next, ok := l.move(old, "finish")
	switch {
	case ok:
		next.op.Status, next.op.Headers, next.op.Body = f.GetStatus(), f.GetHeaders(), f.GetBody()
		l.store(next)
		return answer(next, false)
	case old.phase() == done:
		return answer(old, false)
	}
	return deny(old, fault.Conflict, "operation %s is %s and was not handed over", f.GetOperation(), old.phase())
}

func (l *Ledger) abort(c *wire.Command, a *wire.Abort) *wire.Result {
	return l.record(c, "abort", a.GetOperation(), a.GetBackend(), l.tryAbort(a))
}

// tryAbort accepts the word of the gate while no side process has handed the
// operation over, and afterwards only that of the try that did.
func (l *Ledger) tryAbort(a *wire.Abort) *wire.Result {
	old, r := l.fenced(a.GetOperation(), a.GetFence())
	if r != nil {
		return r
	}
	if old.phase() == aborted {
		return answer(old, false)
	}
	next, ok := l.move(old, "abort")
	if !ok && a.GetBackend() != "" && a.GetBackend() == old.op.GetBackend() && a.GetNonce() == old.nonce {
		next, ok = l.move(old, "recall")
	}
	if !ok {
		return deny(old, fault.Conflict, "operation %s is %s; it may have run", a.GetOperation(), old.phase())
	}
	l.store(next)
	return answer(next, false)
}

func (l *Ledger) settle(c *wire.Command, s *wire.Settle) *wire.Result {
	return l.record(c, "settle", s.GetOperation(), "", l.trySettle(s))
}

func (l *Ledger) trySettle(s *wire.Settle) *wire.Result {
	id := s.GetOperation()
	old, ok := l.calls.list[id]
	if !ok {
		return refuse(fault.Missing, "operation %s is not on record; see the list of unknown ones", id)
	}
	// What a look-up found of an earlier run says nothing about a later one.
	if s.GetFence() != 0 && s.GetFence() != old.op.GetFence() {
		return deny(old, fault.Stale, "fence %d of operation %s is stale; the current one is %d", s.GetFence(), id, old.op.GetFence())
	}
	event, goal := chart.Event("deny"), aborted
	if s.GetRan() {
		event, goal = "confirm", done
	}
	next, ok := l.move(old, event)
	if !ok {
		if old.phase() == goal {
			return answer(old, false)
		}
		return deny(old, fault.Conflict, "operation %s is %s; only unknown ones are settled", id, old.phase())
	}
	if wait := settleAfter - l.since(old.op.GetTime()); wait > 0 {
		r := deny(old, fault.Busy, "operation %s may still be called; settle it after %s", id, wait)
		r.Fault.Retry = uint32(wait/time.Millisecond) + 1
		return r
	}
	if len(s.GetBody()) > MaxAnswerBytes {
		return deny(old, fault.TooLarge, "the answer of operation %s is over %d bytes; send a shorter one", id, MaxAnswerBytes)
	}
	next.op.Status, next.op.Headers, next.op.Body = s.GetStatus(), s.GetHeaders(), s.GetBody()
	l.store(next)
	return answer(next, false)
}

// due is the time at which a phase ends by itself.
type due struct {
	time uint64
	id   string
}

type dueHeap []due

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].time, h[j].time), cmp.Compare(h[i].id, h[j].id)) < 0
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// deadline returns when the phase of a call ends by itself. Unknown ones
// wait for an operator.
func (c *call) deadline() (uint64, bool) {
	keep := OperationRetention
	switch {
	case c.phase() == unknown || c.op.GetExpired():
		return 0, false
	case c.phase() == handed:
		keep = HandedTimeout
	}
	ms := uint64(keep / time.Millisecond)
	if t := c.op.GetTime(); t <= math.MaxUint64-ms {
		return t + ms, true
	}
	return 0, false
}

func (cs *calls) schedule(c *call) {
	if at, ok := c.deadline(); ok {
		heap.Push(&cs.due, due{at, c.op.GetId()})
	}
}

// lapse ends the phases that are due, in the order of time and id.
func (l *Ledger) lapse() {
	for len(l.calls.due) > 0 && l.calls.due[0].time <= l.time {
		d := heap.Pop(&l.calls.due).(due)
		c, ok := l.calls.list[d.id]
		if !ok {
			continue
		}
		if at, ok := c.deadline(); !ok || at != d.time {
			continue // it has moved on since
		}
		next, ok := l.move(c, "lapse")
		if !ok {
			l.drop(c)
			continue
		}
		l.store(next)
		l.record(&wire.Command{Actor: "ledger"}, "lapse", d.id, next.op.GetPhase(), answer(next, false))
	}
}

// drop removes a finished operation. One that ran under a business key stays
// without its answer, for good: the same registration may be sent again after
// years. It takes about 200 bytes.
func (l *Ledger) drop(c *call) {
	if c.phase() == done && c.op.GetBusiness() != "" {
		next := c.next()
		next.op.Expired, next.op.Headers, next.op.Body = true, nil, nil
		l.store(next)
		return
	}
	delete(l.calls.list, c.op.GetId())
}

// Operations returns one operation by id, or all in a phase, or all, by id.
func (l *Ledger) Operations(id, phase string) []*wire.Operation {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if id != "" {
		if c, ok := l.calls.list[id]; ok {
			return []*wire.Operation{c.op}
		}
		return nil
	}
	var list []*wire.Operation
	for _, key := range slices.Sorted(maps.Keys(l.calls.list)) {
		if c := l.calls.list[key]; phase == "" || c.op.GetPhase() == phase {
			list = append(list, c.op)
		}
	}
	return list
}
