package serve

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/side/caller"
	"citronledge.example/side/engine"
	"citronledge.example/side/guard"
)

const (
	receiveTimeout = 5 * time.Second // for receiving a work after its stream was opened
	endSendTimeout = 2 * time.Second // for sending the end after the work has timed out
)

// replyStream sends the answer of one attempt.
type replyStream struct {
	st   *link.Stream
	work *wire.Work
}

// Head implements engine.Sink.
func (r *replyStream) Head(status int, header http.Header) error {
	return r.sendHead(status, caller.WireHeaders(header))
}

func (r *replyStream) sendHead(status int, headers []*wire.Header) error {
	return r.st.Send(&wire.Reply{Kind: &wire.Reply_Head{Head: &wire.Head{
		Request: r.work.GetRequest(), Attempt: r.work.GetAttempt(), Status: uint32(status), Headers: headers,
	}}})
}

// Chunk implements engine.Sink.
func (r *replyStream) Chunk(data []byte) error {
	return r.st.Send(&wire.Reply{Kind: &wire.Reply_Chunk{Chunk: &wire.Chunk{Data: data}}})
}

func (r *replyStream) sendEnd(out engine.Outcome, u *wire.Usage) error {
	return r.st.Send(&wire.Reply{Kind: &wire.Reply_End{End: &wire.End{
		Usage: u, Fault: wire.NewFault(out.Fault), Ran: out.Ran, Broke: out.Broke,
	}}})
}

// serveWork serves one work stream.
func (s *Server) serveWork(ctx context.Context, g *gateSession, st *link.Stream) {
	defer func() { _ = st.Close() }()
	w := &wire.Work{}
	_ = st.SetDeadline(time.Now().Add(receiveTimeout)) // fails only on a closed stream
	if err := st.Recv(w); err != nil {
		return
	}
	_ = st.SetDeadline(time.Time{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// A gate sends nothing more; it closes the stream to cancel.
		_ = st.Recv(&wire.Work{})
		cancel()
	}()
	g.startWork()
	defer g.endWork()
	r := &replyStream{st: st, work: w}
	defer s.recoverWork(r)
	s.runAttempt(ctx, g, r)
}

// recoverWork ends a work that panicked. A request that hits a defect must not
// end other works, neither here nor on the backend servers where the gate
// retries it.
func (s *Server) recoverWork(r *replyStream) {
	p := recover()
	if p == nil {
		return
	}
	s.metrics.panics.Inc()
	klog.ErrorS(nil, "Work panicked; report this defect", "request", r.work.GetRequest(), "customer", r.work.GetCustomer(),
		"model", r.work.GetModel(), "version", r.work.GetVersion(), "route", r.work.GetRoute(), "backend", s.settings.Name,
		"stack", string(debug.Stack()))
	_ = r.sendEnd(engine.Outcome{Ran: true, Fault: fault.New(fault.Internal, "the side process has a defect; report the request id")}, nil)
}

func (s *Server) runAttempt(ctx context.Context, g *gateSession, r *replyStream) {
	start := time.Now()
	admission, f := s.guard.Admit(ctx, r.work)
	if f != nil {
		s.finishAttempt(g, r, engine.Outcome{Fault: f}, start)
		return
	}
	defer admission.Release()
	out := s.callBackend(ctx, g, r, admission)
	admission.FreeSlot()
	s.finishAttempt(g, r, out, start)
}

// callBackend calls the backend server and sends all of the answer but its end.
func (s *Server) callBackend(ctx context.Context, g *gateSession, r *replyStream, admission *guard.Admission) engine.Outcome {
	if r.work.GetOperation() != "" && r.work.GetKind() == ident.Call.String() {
		return s.runOperation(g, r, admission)
	}
	ctx, cancel := context.WithTimeout(ctx, admission.Timeout)
	defer cancel()
	// Without a deadline, a gate that does not read would block the work
	// forever.
	stop := context.AfterFunc(ctx, func() { _ = r.st.SetDeadline(time.Now().Add(endSendTimeout)) })
	defer stop()
	switch r.work.GetKind() {
	case ident.Call.String():
		return s.settings.Service.Call(ctx, r.work, r)
	case ident.Lookup:
		return s.settings.Service.Lookup(ctx, r.work, s.guard.Config.View().Routes[ident.Route(r.work.GetRoute())].LookupPath, r)
	}
	return s.settings.Engine.Chat(ctx, r.work, r)
}

// finishAttempt records the usage and then sends the end. The order matters:
// the gate may settle the record as soon as it receives the end.
func (s *Server) finishAttempt(g *gateSession, r *replyStream, out engine.Outcome, start time.Time) {
	u := s.attemptUsage(r.work, out)
	if out.Ran && r.work.GetSequence() > 0 {
		s.usageStore.Add(g.name(), &wire.Bill{
			Incarnation: r.work.GetIncarnation(), Sequence: r.work.GetSequence(), Customer: r.work.GetCustomer(),
			Usages: []*wire.Usage{u}, Request: r.work.GetRequest(), Time: uint64(time.Now().UnixMilli()),
		}, func() bool { return s.isConnected(g.name()) })
	}
	err := r.sendEnd(out, u)
	s.metrics.observeAttempt(r.work, out, time.Since(start))
	s.logAttempt(g, r.work, out, err, time.Since(start))
}

func (s *Server) attemptUsage(w *wire.Work, out engine.Outcome) *wire.Usage {
	u := &wire.Usage{
		Model: w.GetModel(), Version: w.GetVersion(), Attempt: w.GetAttempt(),
		Input: int64(out.Input), Output: int64(out.Output),
	}
	price := s.guard.Config.View().Models[ident.Model(w.GetModel())]
	u.Cost = float64(price.InputPrice)*float64(out.Input) + float64(price.OutputPrice)*float64(out.Output)
	return u
}

// logAttempt logs one line for each attempt, without any content from the
// caller.
func (s *Server) logAttempt(g *gateSession, w *wire.Work, out engine.Outcome, sendErr error, took time.Duration) {
	values := []any{
		"request", w.GetRequest(), "attempt", w.GetAttempt(), "customer", w.GetCustomer(), "kind", w.GetKind(),
		"model", w.GetModel(), "version", w.GetVersion(), "route", w.GetRoute(), "backend", s.settings.Name, "gate", g.name(),
		"ran", out.Ran, "status", out.Status, "outcome", outcomeKind(out), "output", out.Output, "ms", took.Milliseconds(),
	}
	if out.Fault != nil {
		values = append(values, "fault", out.Fault.Message)
	}
	if sendErr != nil {
		values = append(values, "undelivered", true)
	}
	klog.InfoS("Attempt ended", values...)
}

func outcomeKind(out engine.Outcome) fault.Kind {
	if out.Fault == nil {
		return "done"
	}
	return out.Fault.Kind
}
