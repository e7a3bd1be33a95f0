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
	err := s.guard.Views.Apply(m.GetDelta())
	if behind := s.guard.Views.View().Revision < ident.Revision(m.GetRevision()); err != nil || behind {
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
		g.lease.Granted(m.GetSeq(), 0)
	case ttl > 0: // without a fault, 0 says that the renewal had an older view
		g.lease.Granted(m.GetSeq(), ttl)
	}
}

// writer sends what a gate is told. It belongs to one goroutine.
type writer struct {
	s    *Server
	g    *gate
	st   *link.Stream
	full bool // the next renewal asks for a full delta
	last time.Time

	backend, drain, view <-chan struct{}
}

func (s *Server) writeControl(ctx context.Context, g *gate, st *link.Stream) error {
	renew, load := time.NewTicker(ident.RenewEvery), time.NewTicker(ident.LoadEvery)
	defer renew.Stop()
	defer load.Stop()
	w := &writer{s: s, g: g, st: st}
	if err := w.load(); err != nil {
		return err
	}
	if err := w.renew(); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-renew.C:
			err = w.renew()
		case <-w.view:
			// The renewal tells the gate that the revision is in force here.
			err = w.renew()
		case <-load.C:
			err = w.load()
		case <-w.backend:
			err = w.load()
		case <-w.drain:
			err = w.load()
		case <-g.gap:
			w.full = true
			// A delta that cannot be applied would else be asked for in a
			// tight loop.
			if time.Since(w.last) >= ident.LoadEvery {
				w.last = time.Now()
				err = w.renew()
			}
		case m := <-g.mail:
			err = st.Send(&wire.Control{Kind: &wire.Control_Records{Records: m}})
		}
		if err != nil {
			return err
		}
	}
}

func (w *writer) renew() error {
	w.view = w.s.guard.Views.Changed()
	revision := uint64(w.s.guard.Views.View().Revision)
	if w.full {
		revision, w.full = 0, false
	}
	return w.st.Send(&wire.Control{Kind: &wire.Control_Renew{Renew: &wire.Renew{
		Seq: w.g.lease.Sent(time.Now()), Name: string(w.s.set.Name), Zone: string(w.s.set.Zone),
		Revision: revision, Leaving: w.s.guard.Draining(),
	}}})
}

func (w *writer) load() error {
	// The channels come before the state that they announce.
	w.backend, w.drain = w.s.backend.Changed(), w.s.notice.Wait()
	r := w.s.report()
	m := &wire.Load{
		Backend: string(w.s.set.Name), Zone: string(w.s.set.Zone), Service: string(r.Service),
		Running: uint32(r.Running), Queued: uint32(r.Queued), Slots: uint32(r.Slots),
		Leaving: w.s.guard.Draining(), Healthy: r.Healthy, Fencing: w.s.set.Fencing,
	}
	if !r.Made.IsZero() {
		m.Age = uint64(max(0, time.Since(r.Made).Milliseconds()))
	}
	for _, t := range r.Served {
		m.Served = append(m.Served, &wire.Served{Model: string(t.Model), Version: string(t.Version)})
	}
	return w.st.Send(&wire.Control{Kind: &wire.Control_Load{Load: m}})
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

// post leaves records for the writer, unless it still has some.
func (g *gate) post(records []*wire.Record) {
	select {
	case g.mail <- &wire.Records{Records: records}:
	default:
	}
}
