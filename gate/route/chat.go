package route

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
)

// maxTries bounds the tries of one request. A try is an attempt with at most one
// hedge.
const maxTries = 3

// freeSlotTimeout bounds the retries after side processes that had no free slot;
// freeSlotRetryInterval is the mean wait before each of them.
const (
	freeSlotTimeout       = 2 * time.Second
	freeSlotRetryInterval = 20 * time.Millisecond
)

// answer is a sink that collects a whole reply.
type answer struct {
	head   *wire.Head
	body   []byte
	target ident.Target
}

// Head implements pool.ReplySink.
func (a *answer) Head(h *wire.Head) error {
	a.head = h
	return nil
}

// Chunk implements pool.ReplySink.
func (a *answer) Chunk(data []byte) error {
	if a.body == nil {
		a.body = data // avoids a copy: most answers are one chunk
		return nil
	}
	a.body = append(a.body, data...)
	return nil
}

func (a *answer) checkReply() error { return engineFault(a.head) }

// engineFault returns the fault for an error status of an engine, or nil.
func engineFault(h *wire.Head) error {
	switch status := h.GetStatus(); {
	case status == http.StatusTooManyRequests:
		return fault.New(fault.Upstream, "the engine is full; retry later").WithRetryAfter(time.Second)
	case status >= http.StatusInternalServerError:
		return fault.New(fault.Upstream, "the engine failed; retry")
	}
	return nil
}

func (x *execution) chat(ctx context.Context) error {
	if x.req.Target.Model == conf.AutoModel {
		return x.answerByCascade(ctx)
	}
	return x.answerFrom(ctx, x.req.Target.Model)
}

// answerFrom delivers the answer of a model without checking its quality.
func (x *execution) answerFrom(ctx context.Context, model ident.Model) error {
	if x.req.Stream {
		return x.streamAnswer(ctx, model)
	}
	a, err := x.collectAnswer(ctx, model)
	if err != nil {
		return err
	}
	x.r.rateInBackground(x, a)
	return x.deliver(ctx, a)
}

func (x *execution) need(t ident.Target) pool.Requirements {
	n := pool.Requirements{Target: t, Kind: x.req.Kind}
	if x.req.Session != "" {
		n.AffinityHash = seed(string(x.req.Customer) + "/" + string(x.req.Session))
	}
	return n
}

// collectAnswer returns a whole answer of a model. It retries failed attempts.
func (x *execution) collectAnswer(ctx context.Context, model ident.Model) (*answer, error) {
	var avoid ident.Backend
	x.failedTries, x.firstAttempt = 0, time.Time{}
	for {
		target, reason, err := x.chooseTarget(ctx, model)
		if err != nil {
			return nil, err
		}
		x.record.setVersionReason(reason)
		x.markFirstAttempt()
		spec := attemptSpec{need: x.need(target), avoid: avoid, stream: x.req.Stream}
		res := x.tryWithHedge(ctx, spec, func(func() bool) replySink { return &answer{target: target} })
		if res.err == nil {
			x.r.adaptive.observeLatency(x.req.Kind, model, time.Since(x.firstAttempt))
			a, _ := res.sink.(*answer)
			return a, nil
		}
		if !x.shouldRetry(ctx, res) {
			return nil, res.err
		}
		avoid = res.backend
	}
}

// shouldRetry reports whether to try again after a failed try. Only tries that
// may have run are charged to the budget for extra work.
func (x *execution) shouldRetry(ctx context.Context, res attemptResult) bool {
	x.failedTries++
	if ctx.Err() != nil || x.checkLease() != nil {
		return false
	}
	switch fault.From(res.err).Kind {
	case fault.Upstream, fault.Unavailable, fault.NoLease, fault.Stale, fault.Internal:
	case fault.Busy:
		if !res.out.MayHaveRun {
			return res.backend != "" && x.waitForFreeSlot(ctx)
		}
	default:
		return false
	}
	if res.backend != "" {
		x.failedBackends = append(x.failedBackends, res.backend)
	}
	if x.failedTries >= maxTries {
		return false
	}
	if res.out.MayHaveRun && !x.r.adaptive.spendExtraWork() {
		x.record.addNote("retry budget spent")
		return false
	}
	x.r.metrics.retries.Inc()
	return true
}

// waitForFreeSlot waits before the next try after a side process had no free
// slot. It returns false once the search took longer than freeSlotTimeout or ctx is
// done. An admitted request can meet such a process because several gates fill
// the same slots without seeing each other's newest work.
func (x *execution) waitForFreeSlot(ctx context.Context) bool {
	if x.fullSince.IsZero() {
		x.fullSince = time.Now()
	}
	if time.Since(x.fullSince) > freeSlotTimeout {
		return false
	}
	x.failedTries--
	timer := time.NewTimer(freeSlotRetryInterval/2 + rand.N(freeSlotRetryInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// deliver commits the bill and then writes a whole answer.
func (x *execution) deliver(ctx context.Context, a *answer) error {
	x.commitBill(ctx)
	if err := x.writeHead(a.head); err != nil {
		return err
	}
	if isEvents(a.head) {
		s := &streamSink{x: x}
		if err := s.passEvents(a.body); err != nil {
			return err
		}
		return x.writeBody([]byte(doneEvent))
	}
	return x.writeBody(a.body)
}

// writeHead writes the head of the answer to a chat or report to the caller.
func (x *execution) writeHead(h *wire.Head) error {
	headers := []*wire.Header{{Name: "Content-Type", Value: contentType(h)}}
	if x.versionChange[0] != "" && x.versionChange[0] != x.versionChange[1] {
		headers = append(headers, &wire.Header{
			Name: "X-Version-Changed", Value: string(x.versionChange[0]) + "->" + string(x.versionChange[1]),
		})
	}
	x.headWritten = true
	if err := x.caller.Head(int(h.GetStatus()), headers); err != nil {
		return context.Canceled // the caller disconnected
	}
	return nil
}

func (x *execution) writeBody(data []byte) error {
	if err := x.caller.Write(data); err != nil {
		return context.Canceled // the caller disconnected
	}
	return nil
}

func contentType(h *wire.Head) string {
	for _, header := range h.GetHeaders() {
		if strings.EqualFold(header.GetName(), "Content-Type") {
			return header.GetValue()
		}
	}
	return "application/json"
}

func isEvents(h *wire.Head) bool {
	return h.GetStatus() == http.StatusOK && strings.HasPrefix(contentType(h), "text/event-stream")
}
