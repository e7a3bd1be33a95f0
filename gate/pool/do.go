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

// endGrace is how long a cancelled attempt is listened to for its usage. The
// side process ends a cancelled attempt at once; a slow one is not waited for.
const (
	endGrace  = 50 * time.Millisecond
	lostGrace = 10 * time.Millisecond // with ErrLost as the cause
)

// ErrSuperseded is the cause of cancelling an attempt because another one has
// answered, whose caller is waiting.
var ErrSuperseded = eris.New("another attempt answered first")

// Attempt is one run of a request on one backend server.
type Attempt struct {
	Backend      ident.Backend
	Requirements Requirements
	Work         *wire.Work
}

// ReplySink takes the reply of an attempt. An error ends the attempt.
type ReplySink interface {
	Head(h *wire.Head) error
	Chunk(data []byte) error
}

// Outcome is what is known of an attempt after its end.
type Outcome struct {
	// MayHaveRun is false only if the backend server was certainly not called.
	MayHaveRun bool
	// Usage is what the attempt consumed; nil if the side process did not tell.
	Usage *wire.Usage
	// Complete is set if the reply came to its end without a fault.
	Complete bool
	// Chunks counts the chunks received, whether the sink got them or not.
	Chunks int
}

// Do runs an attempt and passes its reply to sink. It returns nil only after
// the side process has ended the reply without a fault. When ctx ends, the
// stream is closed, which cancels the attempt at the side process.
func (p *Pool) Do(ctx context.Context, a Attempt, sink ReplySink) (Outcome, error) {
	b := p.find(a.Backend)
	start := time.Now()
	if b == nil || !b.usable(start) {
		return Outcome{}, fault.New(fault.Unavailable, "backend server "+string(a.Backend)+" takes no new work; retry")
	}
	b.ask(start)
	b.begin(a.Work.GetKind())
	defer b.end(a.Work.GetKind())
	sess := b.session()
	if sess == nil {
		return Outcome{}, fault.New(fault.Unavailable, "the link to backend server "+string(a.Backend)+" is down; retry")
	}
	st, err := sess.OpenWith(ctx, wire.Kind_WORK, a.Work)
	if st == nil {
		return Outcome{}, fault.New(fault.Unavailable, "the link to backend server "+string(a.Backend)+" is down; retry")
	}
	stop := context.AfterFunc(ctx, func() {
		grace := endGrace
		if errors.Is(context.Cause(ctx), ErrSuperseded) {
			grace = lostGrace
		}
		_ = st.SetDeadline(time.Now().Add(grace))
		_ = st.Close()
	})
	defer func() {
		stop()
		_ = st.Close()
	}()
	// From here on the side process may have got the work, even after an error.
	x := exchange{pool: p, ctx: ctx, work: a.Work, sink: sink, out: Outcome{MayHaveRun: true}}
	if err != nil {
		return x.out, x.broken(err)
	}
	err = x.receive(st)
	p.observe(a, time.Since(start), err)
	return x.out, err
}

func (b *backend) begin(kind string) {
	n := b.running.Add(1)
	for high := b.high.Load(); n > high && !b.high.CompareAndSwap(high, n); high = b.high.Load() {
		continue
	}
	if kind == ident.Report.String() {
		b.long.Add(1)
	}
}

func (b *backend) end(kind string) {
	b.running.Add(-1)
	if kind == ident.Report.String() {
		b.long.Add(-1)
	}
}

// exchange is the receiving side of one attempt.
type exchange struct {
	pool   *Pool
	ctx    context.Context
	work   *wire.Work
	sink   ReplySink
	out    Outcome
	headed bool
	lost   error // why the sink gets no more
}

func (x *exchange) receive(st *link.Stream) error {
	for {
		var r wire.Reply
		if err := st.Recv(&r); err != nil {
			return x.broken(err)
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
		if err != nil && !x.drop(st, err) {
			return err
		}
	}
}

// drop decides after an error whether to listen on for the usage of the
// attempt. The reply of another attempt has no usage of this one.
func (x *exchange) drop(st *link.Stream, err error) bool {
	if x.lost != nil {
		return false
	}
	x.lost = err
	if !x.headed {
		return false
	}
	_ = st.SetDeadline(time.Now().Add(endGrace))
	_ = st.Close()
	return true
}

func (x *exchange) head(h *wire.Head) error {
	if x.headed {
		return fault.New(fault.Upstream, "the reply has two heads; the answer was dropped, retry")
	}
	if h.GetRequest() != x.work.GetRequest() || h.GetAttempt() != x.work.GetAttempt() {
		x.pool.metrics.crossed.Inc()
		return fault.New(fault.Upstream, "the reply belongs to another request and was dropped; retry")
	}
	x.headed = true
	return x.pass(func() error { return x.sink.Head(h) })
}

func (x *exchange) chunk(data []byte) error {
	if !x.headed {
		return fault.New(fault.Upstream, "the reply has no head and was dropped; retry")
	}
	x.out.Chunks++
	return x.pass(func() error { return x.sink.Chunk(data) })
}

// pass gives a part of the reply to the sink, unless the attempt is cancelled.
func (x *exchange) pass(f func() error) error {
	if x.lost != nil || x.ctx.Err() != nil {
		return nil // only the end is still of interest
	}
	return f()
}

func (x *exchange) end(e *wire.End) error {
	x.out.MayHaveRun = e.GetRan()
	x.out.Usage = e.GetUsage()
	if x.lost != nil {
		return x.lost
	}
	if err := e.GetFault().Err(); err != nil {
		return err
	}
	if x.ctx.Err() != nil {
		return x.gone()
	}
	if !x.headed {
		return fault.New(fault.Upstream, "the reply ended without a head; retry")
	}
	x.out.Complete = true
	return nil
}

// broken turns the end of the stream without an End message into a fault. A
// reply that was cut is never a whole answer.
func (x *exchange) broken(err error) error {
	if x.lost != nil {
		return x.lost
	}
	if x.ctx.Err() != nil {
		return x.gone()
	}
	x.pool.metrics.cut.Inc()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fault.New(fault.Upstream, "the backend server broke off its answer; retry with the same idempotency key or session")
	}
	return fault.New(fault.Upstream, "the link to the backend server failed during the answer; retry with the same idempotency key or session")
}

// gone returns the fault of a context that ended.
func (x *exchange) gone() error {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.Timeout, "the request reached its deadline; raise the timeout or ask for less output")
	}
	return context.Canceled
}
