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
	workTime = 5 * time.Second // limit for receiving a work after its stream was opened
	lastTime = 2 * time.Second // limit for sending the end after the work has timed out
)

// reply sends the answer of one attempt.
type reply struct {
	st *link.Stream
	w  *wire.Work
}

// Head implements engine.Sink.
func (r *reply) Head(status int, header http.Header) error {
	return r.head(status, caller.WireHeaders(header))
}

func (r *reply) head(status int, headers []*wire.Header) error {
	return r.st.Send(&wire.Reply{Kind: &wire.Reply_Head{Head: &wire.Head{
		Request: r.w.GetRequest(), Attempt: r.w.GetAttempt(), Status: uint32(status), Headers: headers,
	}}})
}

// Chunk implements engine.Sink.
func (r *reply) Chunk(data []byte) error {
	return r.st.Send(&wire.Reply{Kind: &wire.Reply_Chunk{Chunk: &wire.Chunk{Data: data}}})
}

func (r *reply) end(out engine.Outcome, u *wire.Usage) error {
	return r.st.Send(&wire.Reply{Kind: &wire.Reply_End{End: &wire.End{
		Usage: u, Fault: wire.NewFault(out.Fault), Ran: out.Ran,
	}}})
}

// work serves one work stream.
func (s *Server) work(ctx context.Context, g *gate, st *link.Stream) {
	defer func() { _ = st.Close() }()
	w := &wire.Work{}
	_ = st.SetDeadline(time.Now().Add(workTime)) // fails only on a closed stream
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
	g.begin()
	defer g.end()
	r := &reply{st: st, w: w}
	defer s.recovered(r)
	s.attempt(ctx, g, r)
}

// recovered ends a work that panicked. A request that hits a defect must not
// end the works of others, here and wherever the gate tries it next.
func (s *Server) recovered(r *reply) {
	p := recover()
	if p == nil {
		return
	}
	s.metrics.panics.Inc()
	klog.ErrorS(nil, "Work panicked; report this defect", "request", r.w.GetRequest(), "customer", r.w.GetCustomer(),
		"model", r.w.GetModel(), "version", r.w.GetVersion(), "route", r.w.GetRoute(), "backend", s.set.Name,
		"stack", string(debug.Stack()))
	_ = r.end(engine.Outcome{Ran: true, Fault: fault.New(fault.Internal, "the side process has a defect; report the request id")}, nil)
}

func (s *Server) attempt(ctx context.Context, g *gate, r *reply) {
	start := time.Now()
	pass, f := s.guard.Admit(ctx, r.w)
	if f != nil {
		s.finish(g, r, engine.Outcome{Fault: f}, start)
		return
	}
	defer pass.Release()
	out := s.run(ctx, g, r, pass)
	pass.FreeSlot()
	s.finish(g, r, out, start)
}

// run calls the backend server and sends all of the answer but its end.
func (s *Server) run(ctx context.Context, g *gate, r *reply, pass *guard.Admission) engine.Outcome {
	if r.w.GetOperation() != "" && r.w.GetKind() == ident.Call.String() {
		return s.operate(g, r, pass)
	}
	ctx, cancel := context.WithTimeout(ctx, pass.Timeout)
	defer cancel()
	// A gate that does not read must not hold the work for ever.
	stop := context.AfterFunc(ctx, func() { _ = r.st.SetDeadline(time.Now().Add(lastTime)) })
	defer stop()
	switch r.w.GetKind() {
	case ident.Call.String():
		return s.set.Service.Call(ctx, r.w, r)
	case ident.Lookup:
		return s.set.Service.Lookup(ctx, r.w, s.guard.Config.View().Routes[ident.Route(r.w.GetRoute())].LookupPath, r)
	}
	return s.set.Engine.Chat(ctx, r.w, r)
}

// finish records the usage and sends the end. The record comes first: the
// gate may settle as soon as it has the end.
func (s *Server) finish(g *gate, r *reply, out engine.Outcome, start time.Time) {
	u := s.usage(r.w, out)
	if out.Ran && r.w.GetSequence() > 0 {
		s.book.Add(g.name(), &wire.Bill{
			Incarnation: r.w.GetIncarnation(), Sequence: r.w.GetSequence(), Customer: r.w.GetCustomer(),
			Usages: []*wire.Usage{u}, Request: r.w.GetRequest(), Time: uint64(time.Now().UnixMilli()),
		}, func() bool { return s.linked(g.name()) })
	}
	err := r.end(out, u)
	s.metrics.done(r.w, out, time.Since(start))
	s.log(g, r.w, out, err, time.Since(start))
}

func (s *Server) usage(w *wire.Work, out engine.Outcome) *wire.Usage {
	u := &wire.Usage{
		Model: w.GetModel(), Version: w.GetVersion(), Attempt: w.GetAttempt(),
		Input: int64(out.Input), Output: int64(out.Output),
	}
	price := s.guard.Config.View().Models[ident.Model(w.GetModel())]
	u.Cost = float64(price.InputPrice)*float64(out.Input) + float64(price.OutputPrice)*float64(out.Output)
	return u
}

// log writes one line for each attempt; it holds nothing that the caller wrote.
func (s *Server) log(g *gate, w *wire.Work, out engine.Outcome, sent error, took time.Duration) {
	values := []any{
		"request", w.GetRequest(), "attempt", w.GetAttempt(), "customer", w.GetCustomer(), "kind", w.GetKind(),
		"model", w.GetModel(), "version", w.GetVersion(), "route", w.GetRoute(), "backend", s.set.Name, "gate", g.name(),
		"ran", out.Ran, "status", out.Status, "outcome", outcome(out), "output", out.Output, "ms", took.Milliseconds(),
	}
	if out.Fault != nil {
		values = append(values, "fault", out.Fault.Message)
	}
	if sent != nil {
		values = append(values, "undelivered", true)
	}
	klog.InfoS("Attempt ended", values...)
}

func outcome(out engine.Outcome) fault.Kind {
	if out.Fault == nil {
		return "done"
	}
	return out.Fault.Kind
}
