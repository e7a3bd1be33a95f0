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
	phaseHanded      = "handed"        // phase of an operation that a Hand command has assigned to a backend server
	relayTimeout     = 2 * time.Second // for one command through one gate
	minCommitBackoff = 50 * time.Millisecond
	maxCommitBackoff = time.Second
	// maxAbortWait limits how long a "not run" answer is delayed until Abort is
	// committed, so that the operation is free again when the gate gets the
	// answer.
	maxAbortWait   = time.Second
	claimRetention = 10 * time.Minute
	maxClaims      = 10_000
)

// operationClaim identifies one assignment of an operation to this process.
type operationClaim struct {
	operation string
	fence     uint64
}

// claimOperation reports whether the work is the first for its operation and
// fence in this process. The ledger refuses a second Hand too, but its answer
// would say "not run" while the first call runs.
func (s *Server) claimOperation(w *wire.Work) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.claims) >= maxClaims {
		for c, at := range s.claims {
			if now.Sub(at) > claimRetention {
				delete(s.claims, c)
			}
		}
	}
	c := operationClaim{operation: w.GetOperation(), fence: w.GetFence()}
	if _, ok := s.claims[c]; ok {
		return false
	}
	s.claims[c] = now
	return true
}

// runOperation makes a call that runs at most once. It continues when the gate
// is gone: once Hand is committed, only the end of the call frees the
// operation.
func (s *Server) runOperation(g *gateSession, r *replyStream, admission *guard.Admission) engine.Outcome {
	w := r.work
	if !s.claimOperation(w) {
		return engine.Outcome{Ran: true, Fault: fault.New(fault.Unknown,
			"the operation was handed to this backend server before; ask for its state")}
	}
	ctx, cancel := context.WithTimeout(s.operationCtx, admission.Timeout)
	defer cancel()
	handSentAt, nonce := time.Now(), rand.Uint64()|1 // 0 would mean none
	if f := s.commitHand(g, w, nonce, handSentAt); f != nil {
		return s.abortOperation(g, w, nonce, f)
	}
	answer, out := s.settings.Service.CallOnce(ctx, w, func() *fault.Fault { return checkHandTimeout(handSentAt) })
	if !out.Ran {
		return s.abortOperation(g, w, nonce, out.Fault)
	}
	s.commitEnd(g, w, finishCommand(w, answer))
	if answer == nil {
		return out
	}
	_ = r.st.SetDeadline(time.Now().Add(relayTimeout))
	err := r.sendHead(answer.Status, answer.Headers)
	if err == nil && len(answer.Body) > 0 {
		err = r.Chunk(answer.Body)
	}
	if err != nil {
		out.Fault = fault.New(fault.Upstream, "the gate is gone; the answer is in the ledger")
	}
	return out
}

// checkHandTimeout is called right before the call. After ident.HandTimeout an
// operator may settle the operation as not run, so the call must not start.
func checkHandTimeout(handSentAt time.Time) *fault.Fault {
	if time.Since(handSentAt) < ident.HandTimeout {
		return nil
	}
	return fault.New(fault.Unavailable, "handing the operation over took too long, the service was not called; retry")
}

// commitHand commits Hand through the gate. It returns nil if the service may
// be called, else the reason why not.
func (s *Server) commitHand(g *gateSession, w *wire.Work, nonce uint64, handSentAt time.Time) *fault.Fault {
	op, err := s.relayCommand(g, &wire.Command{Kind: &wire.Command_Hand{Hand: &wire.Hand{
		Operation: w.GetOperation(), Fence: w.GetFence(), Backend: string(s.settings.Name), Nonce: nonce,
	}}}, handSentAt.Add(ident.HandTimeout))
	if err != nil {
		f := fault.From(err)
		if isRefusal(f.Kind) {
			return f
		}
		return fault.New(fault.Unavailable, "the operation could not be handed over, the service was not called; retry")
	}
	if !op.GetGranted() || op.GetPhase() != phaseHanded || op.GetFence() != w.GetFence() || op.GetBackend() != string(s.settings.Name) {
		return fault.New(fault.Stale, "the operation was handed over elsewhere; ask for its state")
	}
	return checkHandTimeout(handSentAt)
}

// abortOperation proposes Abort and returns a "not run" outcome. The ledger
// accepts Abort if the operation was not assigned, or was assigned with the
// nonce of this attempt, which makes no call.
func (s *Server) abortOperation(g *gateSession, w *wire.Work, nonce uint64, f *fault.Fault) engine.Outcome {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.commitEnd(g, w, &wire.Command{Kind: &wire.Command_Abort{Abort: &wire.Abort{
			Operation: w.GetOperation(), Fence: w.GetFence(), Backend: string(s.settings.Name), Nonce: nonce,
		}}})
	}()
	select {
	case <-done:
	case <-time.After(maxAbortWait):
	}
	return engine.Outcome{Fault: f}
}

// finishCommand returns the Finish command for the answer a. A nil answer means
// that the outcome is unknown.
func finishCommand(w *wire.Work, a *caller.Answer) *wire.Command {
	m := &wire.Finish{Operation: w.GetOperation(), Fence: w.GetFence(), Unknown: a == nil}
	if a != nil {
		m.Status, m.Headers, m.Body = uint32(a.Status), a.Headers, a.Body
	}
	return &wire.Command{Kind: &wire.Command_Finish{Finish: m}}
}

// commitEnd commits the end of an operation, first through g and then through
// any other gate. It retries until the ledger has accepted or refused the
// command.
func (s *Server) commitEnd(g *gateSession, w *wire.Work, cmd *wire.Command) {
	id := w.GetOperation()
	s.mu.Lock()
	s.uncommitted[id] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.uncommitted, id)
		s.mu.Unlock()
		s.committedNotifier.Notify()
	}()
	backoff := minCommitBackoff
	for s.operationCtx.Err() == nil {
		err := s.relayThroughGates(g, cmd)
		if err == nil {
			return
		}
		if f := fault.From(err); isRefusal(f.Kind) {
			klog.InfoS("Ledger refused the end of an operation", "request", w.GetRequest(), "customer", w.GetCustomer(),
				"route", w.GetRoute(), "backend", s.settings.Name, "kind", f.Kind, "fault", f.Message)
			return
		}
		select {
		case <-time.After(backoff):
		case <-s.operationCtx.Done():
		}
		backoff = min(2*backoff, maxCommitBackoff)
	}
	klog.ErrorS(nil, "Stopped before the end of an operation was committed; settle it with ctl settle",
		"request", w.GetRequest(), "customer", w.GetCustomer(), "route", w.GetRoute(), "backend", s.settings.Name)
}

// relayThroughGates relays the command through one gate after the other, g
// first, until the ledger has accepted or refused it.
func (s *Server) relayThroughGates(g *gateSession, cmd *wire.Command) error {
	err := errNoGate
	for _, other := range s.connectedGates(g) {
		if _, err = s.relayCommand(other, cmd, time.Now().Add(relayTimeout)); err == nil || isRefusal(fault.From(err).Kind) {
			return err
		}
	}
	return err
}

// isRefusal reports whether a fault of this kind means that the ledger has
// refused the command. With any other fault, the command may have been or may
// yet be committed.
func isRefusal(k fault.Kind) bool {
	switch k {
	case fault.Conflict, fault.Stale, fault.Missing, fault.Invalid, fault.Forbidden:
		return true
	}
	return false
}

// relayCommand sends one command through a gate and waits for its result.
func (s *Server) relayCommand(g *gateSession, cmd *wire.Command, deadline time.Time) (*wire.Operation, error) {
	st, err := g.sess.Open(wire.Kind_RELAY)
	if err != nil {
		return nil, err
	}
	defer func() { _ = st.Close() }()
	if err := st.SetDeadline(deadline); err != nil {
		return nil, err
	}
	cmd.Actor, cmd.Time = string(s.settings.Name), uint64(time.Now().UnixMilli())
	if err := st.Send(cmd); err != nil {
		return nil, err
	}
	var m wire.Result
	if err := st.Recv(&m); err != nil {
		return nil, err
	}
	return m.GetOperation(), m.GetFault().Err()
}

// uncommittedOperations returns the operations whose end is not committed yet.
func (s *Server) uncommittedOperations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, 0, len(s.uncommitted))
	for id := range s.uncommitted {
		list = append(list, id)
	}
	return list
}

// waitCommitted waits until the ends of all operations are committed.
func (s *Server) waitCommitted(ctx context.Context) error {
	for {
		changed := s.committedNotifier.Changed()
		if len(s.uncommittedOperations()) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
