package pool

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

// usageGrace is how long to wait for the usage of a cancelled attempt. A side
// process normally ends a cancelled attempt at once; the gate doesn't wait for
// one that is slower.
const (
	usageGrace      = 50 * time.Millisecond
	supersededGrace = 10 * time.Millisecond // if the cause is ErrSuperseded
)

// ErrSuperseded is the cause of the cancellation of an attempt when another
// attempt has answered first. The caller is already waiting for that answer.
var ErrSuperseded = eris.New("another attempt answered first")

// Attempt is one run of a request on one backend server.
type Attempt struct {
	Backend      ident.Backend
	Requirements Requirements
	Work         *wire.Work
}

// ReplySink receives the reply of an attempt. If a method returns an error, the
// attempt is cancelled.
type ReplySink interface {
	Head(h *wire.Head) error
	Chunk(data []byte) error
}

// Outcome describes an attempt that has ended.
type Outcome struct {
	// MayHaveRun is false only if the side process got nothing of the attempt, or
	// has said that the backend server was not called.
	MayHaveRun bool
	// Usage is what the attempt consumed; nil if the side process did not report it.
	Usage *wire.Usage
	// Complete is set if the reply ended without a fault.
	Complete bool
	// Broke is set if the process of the backend server ended while it had the
	// request, or its connection before the first part of the answer.
	Broke bool
	// Chunks counts the received chunks, including those not passed to the sink.
	Chunks int
}

// Do runs an attempt and passes its reply to sink. It returns nil only after
// the side process has ended the reply without a fault. When ctx ends, the
// stream is closed, which cancels the attempt at the side process.
func (p *Pool) Do(ctx context.Context, a Attempt, sink ReplySink) (Outcome, error) {
	b := p.find(a.Backend)
	start := time.Now()
	if b == nil || !b.isUsable(start) {
		return Outcome{}, fault.New(fault.Unavailable, "backend server "+string(a.Backend)+" takes no new work; retry")
	}
	b.awaitReport(start)
	b.attemptStarted(a.Work.GetKind())
	defer b.attemptEnded(a.Work.GetKind())
	sess := b.session()
	if sess == nil {
		return Outcome{}, fault.New(fault.Unavailable, "the link to backend server "+string(a.Backend)+" is down; retry")
	}
	st, err := sess.OpenWith(ctx, wire.Kind_WORK, a.Work)
	if st == nil {
		return Outcome{}, fault.New(fault.Unavailable, "the link to backend server "+string(a.Backend)+" is down; retry")
	}
	stop := context.AfterFunc(ctx, func() {
		grace := usageGrace
		if errors.Is(context.Cause(ctx), ErrSuperseded) {
			grace = supersededGrace
		}
		_ = st.SetDeadline(time.Now().Add(grace))
		_ = st.Close()
	})
	defer func() {
		stop()
		_ = st.Close()
	}()
	// From here on the side process may have received the work, even if OpenWith
	// returned an error.
	x := replyReader{pool: p, ctx: ctx, work: a.Work, sink: sink, outcome: Outcome{MayHaveRun: true}}
	if err != nil {
		return x.outcome, x.streamError(err)
	}
	err = x.receive(st)
	p.observe(a, time.Since(start), err)
	return x.outcome, err
}

func (b *backend) attemptStarted(kind string) {
	n := b.running.Add(1)
	for high := b.peakRunning.Load(); n > high && !b.peakRunning.CompareAndSwap(high, n); high = b.peakRunning.Load() {
		continue
	}
	if kind == ident.Report.String() {
		b.longRunning.Add(1)
	}
}

func (b *backend) attemptEnded(kind string) {
	b.running.Add(-1)
	if kind == ident.Report.String() {
		b.longRunning.Add(-1)
	}
}

// replyReader receives the reply of one attempt.
type replyReader struct {
	pool     *Pool
	ctx      context.Context
	work     *wire.Work
	sink     ReplySink
	outcome  Outcome
	headSeen bool
	failure  error // why nothing more is passed to the sink
}

func (x *replyReader) receive(st *link.Stream) error {
	for {
		var r wire.Reply
		if err := st.Recv(&r); err != nil {
			return x.streamError(err)
		}
		var err error
		switch k := r.GetKind().(type) {
		case *wire.Reply_Head:
			err = x.head(k.Head)
		case *wire.Reply_Chunk:
			err = x.chunk(k.Chunk.GetData())
		case *wire.Reply_End:
			return x.end(k.End)
		default:
			err = fault.New(fault.Upstream, "the reply holds an unknown message; run the same release everywhere")
		}
		if err != nil && !x.awaitUsage(st, err) {
			return err
		}
	}
}

// awaitUsage records a failure, cancels the attempt and reports whether to go
// on reading for its usage. A reply without a valid head may belong to another
// attempt, so its usage is not that of this one.
func (x *replyReader) awaitUsage(st *link.Stream, err error) bool {
	if x.failure != nil {
		return false
	}
	x.failure = err
	if !x.headSeen {
		return false
	}
	_ = st.SetDeadline(time.Now().Add(usageGrace))
	_ = st.Close()
	return true
}

func (x *replyReader) head(h *wire.Head) error {
	if x.headSeen {
		return fault.New(fault.Upstream, "the reply has two heads; the answer was dropped, retry")
	}
	if h.GetRequest() != x.work.GetRequest() || h.GetAttempt() != x.work.GetAttempt() {
		x.pool.metrics.mismatchedReplies.Inc()
		return fault.New(fault.Upstream, "the reply belongs to another request and was dropped; retry")
	}
	x.headSeen = true
	return x.deliver(func() error { return x.sink.Head(h) })
}

func (x *replyReader) chunk(data []byte) error {
	if !x.headSeen {
		return fault.New(fault.Upstream, "the reply has no head and was dropped; retry")
	}
	x.outcome.Chunks++
	return x.deliver(func() error { return x.sink.Chunk(data) })
}

// deliver calls f, which passes a part of the reply to the sink, unless the
// attempt is cancelled.
func (x *replyReader) deliver(f func() error) error {
	if x.failure != nil || x.ctx.Err() != nil {
		return nil // only the End message still matters
	}
	return f()
}

func (x *replyReader) end(e *wire.End) error {
	// A part of an answer or a broken connection refutes "not run".
	x.outcome.MayHaveRun = e.GetRan() || e.GetBroke() || x.headSeen
	x.outcome.Usage = e.GetUsage()
	x.outcome.Broke = e.GetBroke()
	if x.failure != nil {
		return x.failure
	}
	if err := e.GetFault().Err(); err != nil {
		return err
	}
	if x.ctx.Err() != nil {
		return x.contextError()
	}
	if !x.headSeen {
		return fault.New(fault.Upstream, "the reply ended without a head; retry")
	}
	x.outcome.Complete = true
	return nil
}

// streamError returns the fault for a stream that ended without an End message.
// A truncated reply never counts as a complete answer.
func (x *replyReader) streamError(err error) error {
	if x.failure != nil {
		return x.failure
	}
	if x.ctx.Err() != nil {
		return x.contextError()
	}
	x.pool.metrics.truncatedReplies.Inc()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fault.New(fault.Upstream, "the backend server broke off its answer; retry with the same idempotency key or session")
	}
	return fault.New(fault.Upstream, "the link to the backend server failed during the answer; retry with the same idempotency key or session")
}

// contextError returns the error for a context that is done.
func (x *replyReader) contextError() error {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.Timeout, "the request reached its deadline; raise the timeout or ask for less output")
	}
	return context.Canceled
}
