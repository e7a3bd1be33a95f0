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

// maxTries bounds the efforts for one request, each with at most one hedge.
const maxTries = 3

// fullTime and fullEvery bound the search for a slot after a side process had
// none left.
const (
	fullTime  = 2 * time.Second
	fullEvery = 20 * time.Millisecond
)

// answer collects a whole reply.
type answer struct {
	head   *wire.Head
	body   []byte
	target ident.Target
}

// Head implements pool.Sink.
func (a *answer) Head(h *wire.Head) error {
	a.head = h
	return nil
}

// Chunk implements pool.Sink.
func (a *answer) Chunk(data []byte) error {
	if a.body == nil {
		a.body = data // most answers are one chunk
		return nil
	}
	a.body = append(a.body, data...)
	return nil
}

func (a *answer) end() error { return engineFault(a.head) }

// engineFault turns a reply of an engine that is no answer into a fault.
func engineFault(h *wire.Head) error {
	switch status := h.GetStatus(); {
	case status == http.StatusTooManyRequests:
		return fault.New(fault.Upstream, "the engine is full; retry later").After(time.Second)
	case status >= http.StatusInternalServerError:
		return fault.New(fault.Upstream, "the engine failed; retry")
	}
	return nil
}

func (x *run) chat(ctx context.Context) error {
	if x.req.Target.Model == conf.AutoModel {
		return x.cascade(ctx)
	}
	return x.last(ctx, x.req.Target.Model)
}

// last answers with a model whose answer is final.
func (x *run) last(ctx context.Context, model ident.Model) error {
	if x.req.Stream {
		return x.stream(ctx, model)
	}
	a, err := x.whole(ctx, model)
	if err != nil {
		return err
	}
	x.r.rateLater(x, a)
	return x.deliver(ctx, a)
}

func (x *run) need(t ident.Target) pool.Need {
	n := pool.Need{Target: t, Kind: x.req.Kind}
	if x.req.Session != "" {
		n.Seed = seed(string(x.req.Customer) + "/" + string(x.req.Session))
	}
	return n
}

// whole gets a whole answer of a model, with retries.
func (x *run) whole(ctx context.Context, model ident.Model) (*answer, error) {
	var avoid ident.Backend
	x.tries, x.begun = 0, time.Time{}
	for {
		target, reason, err := x.target(ctx, model)
		if err != nil {
			return nil, err
		}
		x.rec.version(reason)
		x.starts()
		e := effort{need: x.need(target), avoid: avoid, stream: x.req.Stream}
		l := x.raced(ctx, e, func(func() bool) contender { return &answer{target: target} })
		if l.err == nil {
			x.r.tools.answered(x.req.Kind, model, time.Since(x.begun))
			a, _ := l.sink.(*answer)
			return a, nil
		}
		if !x.again(ctx, l) {
			return nil, l.err
		}
		avoid = l.id
	}
}

// again tells whether a failed effort is tried once more. Only efforts that
// may have run count against the budget for extra work.
func (x *run) again(ctx context.Context, l result) bool {
	x.tries++
	if ctx.Err() != nil || x.leased() != nil {
		return false
	}
	switch fault.From(l.err).Kind {
	case fault.Upstream, fault.Unavailable, fault.NoLease, fault.Stale, fault.Internal:
	case fault.Busy:
		if !l.out.Ran {
			return l.id != "" && x.patient(ctx)
		}
	default:
		return false
	}
	if l.id != "" {
		x.failed = append(x.failed, l.id)
	}
	if x.tries >= maxTries {
		return false
	}
	if l.out.Ran && !x.r.tools.spend() {
		x.rec.note("retry budget spent")
		return false
	}
	x.r.metrics.retries.Inc()
	return true
}

// patient waits a moment after a side process had no slot. Several gates fill
// the same slots, each without knowing the newest work of the others, so an
// admitted request looks on for a while.
func (x *run) patient(ctx context.Context) bool {
	if x.full.IsZero() {
		x.full = time.Now()
	}
	if time.Since(x.full) > fullTime {
		return false
	}
	x.tries--
	timer := time.NewTimer(fullEvery/2 + rand.N(fullEvery))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// deliver writes a whole answer. The bill is committed first.
func (x *run) deliver(ctx context.Context, a *answer) error {
	x.bill(ctx)
	if err := x.head(a.head); err != nil {
		return err
	}
	if isEvents(a.head) {
		s := &live{x: x}
		if err := s.feed(a.body); err != nil {
			return err
		}
		return x.write([]byte(doneEvent))
	}
	return x.write(a.body)
}

// head writes the head of a chat's answer to the caller.
func (x *run) head(h *wire.Head) error {
	headers := []*wire.Header{{Name: "Content-Type", Value: contentType(h)}}
	if x.moved[0] != "" && x.moved[0] != x.moved[1] {
		headers = append(headers, &wire.Header{
			Name: "X-Version-Changed", Value: string(x.moved[0]) + "->" + string(x.moved[1]),
		})
	}
	x.headed = true
	if err := x.caller.Head(int(h.GetStatus()), headers); err != nil {
		return context.Canceled // the caller is gone
	}
	return nil
}

func (x *run) write(data []byte) error {
	if err := x.caller.Write(data); err != nil {
		return context.Canceled // the caller is gone
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
