package serve

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

const (
	handEvery = time.Second
	batch     = 500 // usage records in one message
)

// control serves the control stream of a gate until it ends.
func (s *Server) control(ctx context.Context, g *gate, st *link.Stream) {
	grp := group.New(ctx)
	stop := context.AfterFunc(grp.Context(), func() { _ = st.Close() })
	defer stop()
	grp.Go("read", func(context.Context) error { return s.readControl(g, st) })
	grp.Go("write", func(ctx context.Context) error { return s.writeControl(ctx, g, st) })
	if err := grp.Wait(); err != nil {
		klog.V(1).InfoS("Control stream ended", "gate", g.name(), "reason", err.Error())
	}
}

func (s *Server) readControl(g *gate, st *link.Stream) error {
	for {
		// The gate answers each renewal. Works end with the session, so a gate
		// that is gone without a word must not keep it.
		_ = st.SetDeadline(time.Now().Add(ident.LinkTimeout))
		var m wire.Control
		if err := st.Recv(&m); err != nil {
			return err
		}
		switch k := m.GetKind().(type) {
		case *wire.Control_Grant:
			s.granted(g, k.Grant)
		case *wire.Control_Settled:
			s.book.Settle(k.Settled.GetBillings())
		}
	}
}

// granted applies the configuration first and then the lease, so that no work
// is admitted under a new lease with an old configuration.
func (s *Server) granted(g *gate, m *wire.Grant) {
	err := s.guard.Config.Apply(m.GetDelta())
	if behind := s.guard.Config.View().Revision < ident.Revision(m.GetRevision()); err != nil || behind {
		g.lacks(max(m.GetRevision(), m.GetDelta().GetRevision()))
		select {
		case g.gap <- struct{}{}:
		default:
		}
		return
	}
	ttl := time.Duration(m.GetTtl()) * time.Millisecond
	switch {
	case m.GetSeq() == 0:
	case m.GetFault() != nil:
		g.lease.ApplyGrant(m.GetSeq(), 0)
	case ttl > 0: // without a fault, 0 says that the renewal had an older view
		g.lease.ApplyGrant(m.GetSeq(), ttl)
	}
}

// writer sends what a gate is told. It belongs to one goroutine.
type writer struct {
	s   *Server
	g   *gate
	st  *link.Stream
	gap time.Time // of the last renewal that asked for a full delta

	last time.Time     // of the last renewal
	due  time.Duration // until the next one, as the gate was told
	told *wire.Load    // the last report

	backend, drain, view, wanted <-chan struct{}
}

func (s *Server) writeControl(ctx context.Context, g *gate, st *link.Stream) error {
	w := &writer{s: s, g: g, st: st}
	if err := w.send(w.load()); err != nil {
		return err
	}
	timer := time.NewTimer(w.wait())
	defer timer.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			err = w.look(false)
		case <-w.backend:
			err = w.look(false)
		case <-w.drain:
			err = w.look(false)
		case <-g.wake:
			err = w.look(!g.lease.Valid(time.Now()))
		case <-w.wanted:
			err = w.look(!g.lease.Valid(time.Now()))
		case <-w.view:
			// The renewal tells the gate that the revision is in force here.
			err = w.send(w.load())
		case <-g.gap:
			// A delta that cannot be applied would else be asked for in a
			// tight loop.
			if time.Since(w.gap) >= ident.MinLoadInterval {
				err = w.send(w.load())
			}
		case m := <-g.mail:
			err = st.Send(&wire.Control{Kind: &wire.Control_Records{Records: m}})
		}
		if err != nil {
			return err
		}
		timer.Reset(w.wait())
	}
}

// wait returns the time until the next look.
func (w *writer) wait() time.Duration {
	since := time.Since(w.last)
	if (w.due < ident.IdleRenewInterval || w.full()) && since < ident.MinLoadInterval {
		return ident.MinLoadInterval - since
	}
	return w.due - since
}

// askAgain is the least time between two renewals that works without a
// sub-lease ask for; the answer to the first may be on its way.
const askAgain = 100 * time.Millisecond

// full tells whether the next renewal asks for a full delta. The view may have
// caught up since the gap was seen, by another gate or a late delta; then a
// renewal at revision 0 would hold back the acknowledgement.
func (w *writer) full() bool { return uint64(w.s.guard.Config.View().Revision) < w.g.lack.Load() }

// look renews if it is due or if the gate must know something now. Without a
// lease, a work waits for the renewal.
func (w *writer) look(lacks bool) error {
	m := w.load()
	since := time.Since(w.last)
	quiet := w.due >= ident.IdleRenewInterval
	changed := m.GetRunning() != w.told.GetRunning() || m.GetQueued() != w.told.GetQueued()
	switch {
	case since >= w.due,
		lacks && since >= askAgain,
		w.full() && since >= ident.MinLoadInterval,
		quiet && w.g.busy(time.Now()),
		!quiet && changed && since >= ident.MinLoadInterval,
		m.GetHealthy() != w.told.GetHealthy(), m.GetLeaving() != w.told.GetLeaving(), !m.Short(w.told).GetSame():
		return w.send(m)
	}
	return nil
}

// send renews and reports in one message. Names go with the first only.
func (w *writer) send(m *wire.Load) error {
	w.view = w.s.guard.Config.Changed()
	r := &wire.Renew{Revision: uint64(w.s.guard.Config.View().Revision), Leaving: m.GetLeaving(), Load: m.Short(w.told)}
	if w.told == nil {
		r.Name, r.Zone = string(w.s.set.Name), string(w.s.set.Zone)
	}
	if r.Revision < w.g.lack.Load() {
		r.Revision, w.gap = 0, time.Now()
	}
	w.last, w.due = time.Now(), ident.IdleRenewInterval
	if w.g.busy(w.last) {
		w.due = ident.RenewInterval
	}
	w.told, r.Due = m, uint32(w.due/time.Millisecond)
	r.Seq = w.g.lease.RecordRenewal(w.last)
	return w.st.Send(&wire.Control{Kind: &wire.Control_Renew{Renew: r}})
}

// load makes a report.
func (w *writer) load() *wire.Load {
	// The channels come before the state that they announce.
	w.backend, w.drain, w.wanted = w.s.backend.Changed(), w.s.notice.Changed(), w.s.guard.Subleases.RenewalRequested()
	r := w.s.report()
	m := &wire.Load{
		Backend: string(w.s.set.Name), Zone: string(w.s.set.Zone), Service: string(r.Service),
		Running: uint32(r.Running), Queued: uint32(r.Queued), Slots: uint32(r.Slots),
		Leaving: w.s.guard.IsDraining(), Healthy: r.Healthy, Fencing: w.s.set.Fencing,
	}
	if !r.MeasuredAt.IsZero() {
		m.Age = uint64(max(0, time.Since(r.MeasuredAt).Milliseconds()))
	}
	for _, t := range r.Served {
		m.Served = append(m.Served, &wire.Served{Model: string(t.Model), Version: string(t.Version)})
	}
	return m
}

// handOver sends unsettled records to gates until they are settled.
func (s *Server) handOver(ctx context.Context) error {
	tick := time.NewTicker(handEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		for owner, records := range s.book.Due(batch) {
			if g := s.heir(owner); g != nil {
				g.post(records)
			}
		}
	}
}

// heir chooses the gate that bills the records of another: a gate of the same
// name if it is linked again, since it may know of the request, else each in
// turn, since one may be cut off from the state cluster.
func (s *Server) heir(owner string) *gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.gates) == 0 {
		return nil
	}
	for _, g := range s.gates {
		if g.name() == owner {
			return g
		}
	}
	s.turn++
	return s.gates[s.turn%len(s.gates)]
}

// lacks notes a revision that the view could not reach. One goroutine, the
// reader of the control stream, calls it.
func (g *gate) lacks(revision uint64) { g.lack.Store(max(g.lack.Load(), revision)) }

// post leaves records for the writer, unless it still has some.
func (g *gate) post(records []*wire.Record) {
	select {
	case g.mail <- &wire.Records{Records: records}:
	default:
	}
}
