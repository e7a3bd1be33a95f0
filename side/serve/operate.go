package serve

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/side/caller"
	"citronledge.example/side/engine"
	"citronledge.example/side/guard"
)

const (
	handed     = "handed"        // phase of an operation
	tryTime    = 2 * time.Second // limit for one command through one gate
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
	// abortWait bounds how long "not run" is held back for the commit of
	// Abort, so that the gate finds the operation free again.
	abortWait = time.Second
	claimTime = 10 * time.Minute
	maxClaims = 10_000
)

// claim is one hand-over of an operation to this process.
type claim struct {
	operation string
	fence     uint64
}

// claim tells whether the work is the first for its operation and fence in
// this process. The ledger refuses a second Hand too, but its answer would
// say "not run" while the first one runs.
func (s *Server) claim(w *wire.Work) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.claimed) >= maxClaims {
		for c, at := range s.claimed {
			if now.Sub(at) > claimTime {
				delete(s.claimed, c)
			}
		}
	}
	c := claim{operation: w.GetOperation(), fence: w.GetFence()}
	if _, ok := s.claimed[c]; ok {
		return false
	}
	s.claimed[c] = now
	return true
}

// operate makes a call that runs at most once. It goes on when the gate is
// gone: once handed over, only its end frees the operation.
func (s *Server) operate(g *gate, r *reply, pass *guard.Admission) engine.Outcome {
	w := r.w
	if !s.claim(w) {
		return engine.Outcome{Ran: true, Fault: fault.New(fault.Unknown,
			"the operation was handed to this backend server before; ask for its state")}
	}
	ctx, cancel := context.WithTimeout(s.ctx, pass.Timeout)
	defer cancel()
	sent, nonce := time.Now(), rand.Uint64()|1 // 0 would mean none
	if f := s.hand(g, w, nonce, sent); f != nil {
		return s.giveUp(g, w, nonce, f)
	}
	answer, out := s.set.Service.CallOnce(ctx, w, func() *fault.Fault { return onTime(sent) })
	if !out.Ran {
		return s.giveUp(g, w, nonce, out.Fault)
	}
	s.commit(g, w, finishing(w, answer))
	if answer == nil {
		return out
	}
	_ = r.st.SetDeadline(time.Now().Add(tryTime))
	err := r.head(answer.Status, answer.Headers)
	if err == nil && len(answer.Body) > 0 {
		err = r.Chunk(answer.Body)
	}
	if err != nil {
		out.Fault = fault.New(fault.Upstream, "the gate is gone; the answer is in the ledger")
	}
	return out
}

// onTime is the check right before the call. After HandTime an operator may
// settle the operation as not run, so a call must not start any more.
func onTime(sent time.Time) *fault.Fault {
	if time.Since(sent) < ident.HandTimeout {
		return nil
	}
	return fault.New(fault.Unavailable, "handing the operation over took too long, the service was not called; retry")
}

// hand commits Hand through the gate. It returns why the service must not be
// called, or nil.
func (s *Server) hand(g *gate, w *wire.Work, nonce uint64, sent time.Time) *fault.Fault {
	op, err := s.relay(g, &wire.Command{Kind: &wire.Command_Hand{Hand: &wire.Hand{
		Operation: w.GetOperation(), Fence: w.GetFence(), Backend: string(s.set.Name), Nonce: nonce,
	}}}, sent.Add(ident.HandTimeout))
	if err != nil {
		f := fault.From(err)
		if refused(f.Kind) {
			return f
		}
		return fault.New(fault.Unavailable, "the operation could not be handed over, the service was not called; retry")
	}
	if !op.GetGranted() || op.GetPhase() != handed || op.GetFence() != w.GetFence() || op.GetBackend() != string(s.set.Name) {
		return fault.New(fault.Stale, "the operation was handed over elsewhere; ask for its state")
	}
	return onTime(sent)
}

// giveUp answers "not run" and proposes Abort: the ledger accepts it if the
// operation was not handed over, or if it was under the nonce of this try,
// and this try does not call.
func (s *Server) giveUp(g *gate, w *wire.Work, nonce uint64, f *fault.Fault) engine.Outcome {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.commit(g, w, &wire.Command{Kind: &wire.Command_Abort{Abort: &wire.Abort{
			Operation: w.GetOperation(), Fence: w.GetFence(), Backend: string(s.set.Name), Nonce: nonce,
		}}})
	}()
	select {
	case <-done:
	case <-time.After(abortWait):
	}
	return engine.Outcome{Fault: f}
}

func finishing(w *wire.Work, a *caller.Answer) *wire.Command {
	m := &wire.Finish{Operation: w.GetOperation(), Fence: w.GetFence(), Unknown: a == nil}
	if a != nil {
		m.Status, m.Headers, m.Body = uint32(a.Status), a.Headers, a.Body
	}
	return &wire.Command{Kind: &wire.Command_Finish{Finish: m}}
}

// commit sends the end of an operation, through g first and then through any
// other gate, until the ledger has decided about it.
func (s *Server) commit(g *gate, w *wire.Work, cmd *wire.Command) {
	id := w.GetOperation()
	s.mu.Lock()
	s.commits[id] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.commits, id)
		s.mu.Unlock()
		s.settled.Notify()
	}()
	pause := firstPause
	for s.ctx.Err() == nil {
		err := s.tryGates(g, cmd)
		if err == nil {
			return
		}
		if f := fault.From(err); refused(f.Kind) {
			klog.InfoS("Ledger refused the end of an operation", "request", w.GetRequest(), "customer", w.GetCustomer(),
				"route", w.GetRoute(), "backend", s.set.Name, "kind", f.Kind, "fault", f.Message)
			return
		}
		select {
		case <-time.After(pause):
		case <-s.ctx.Done():
		}
		pause = min(2*pause, lastPause)
	}
	klog.ErrorS(nil, "Stopped before the end of an operation was committed; settle it with ctl settle",
		"request", w.GetRequest(), "customer", w.GetCustomer(), "route", w.GetRoute(), "backend", s.set.Name)
}

func (s *Server) tryGates(g *gate, cmd *wire.Command) error {
	err := errNoGate
	for _, other := range s.others(g) {
		if _, err = s.relay(other, cmd, time.Now().Add(tryTime)); err == nil || refused(fault.From(err).Kind) {
			return err
		}
	}
	return err
}

// refused tells whether the ledger has decided against a command; any other
// fault leaves open whether it was or will be committed.
func refused(k fault.Kind) bool {
	switch k {
	case fault.Conflict, fault.Stale, fault.Missing, fault.Invalid, fault.Forbidden:
		return true
	}
	return false
}

// relay sends one command through a gate and waits for its result.
func (s *Server) relay(g *gate, cmd *wire.Command, deadline time.Time) (*wire.Operation, error) {
	st, err := g.sess.Open(wire.Kind_RELAY)
	if err != nil {
		return nil, err
	}
	defer func() { _ = st.Close() }()
	if err := st.SetDeadline(deadline); err != nil {
		return nil, err
	}
	cmd.Actor, cmd.Time = string(s.set.Name), uint64(time.Now().UnixMilli())
	if err := st.Send(cmd); err != nil {
		return nil, err
	}
	var m wire.Result
	if err := st.Recv(&m); err != nil {
		return nil, err
	}
	return m.GetOperation(), m.GetFault().Err()
}

// pending lists the operations whose end is not committed yet.
func (s *Server) pending() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, 0, len(s.commits))
	for id := range s.commits {
		list = append(list, id)
	}
	return list
}

// committed waits until the ends of all operations are committed.
func (s *Server) committed(ctx context.Context) error {
	for {
		changed := s.settled.Changed()
		if len(s.pending()) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
