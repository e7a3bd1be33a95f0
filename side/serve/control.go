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
	recordsInterval      = time.Second
	maxRecordsPerMessage = 500 // usage records
)

// serveControl serves the control stream of a gate until it ends.
func (s *Server) serveControl(ctx context.Context, g *gateSession, st *link.Stream) {
	grp := group.New(ctx)
	stop := context.AfterFunc(grp.Context(), func() { _ = st.Close() })
	defer stop()
	grp.Go("read", func(context.Context) error { return s.readControl(g, st) })
	grp.Go("write", func(ctx context.Context) error { return s.writeControl(ctx, g, st) })
	if err := grp.Wait(); err != nil {
		klog.V(1).InfoS("Control stream ended", "gate", g.name(), "reason", err.Error())
	}
}

func (s *Server) readControl(g *gateSession, st *link.Stream) error {
	for {
		// The gate answers each renewal. If it has failed without closing the
		// connection, the deadline ends the session, and its works with it.
		_ = st.SetDeadline(time.Now().Add(ident.LinkTimeout))
		var m wire.Control
		if err := st.Recv(&m); err != nil {
			return err
		}
		switch k := m.GetKind().(type) {
		case *wire.Control_Grant:
			s.applyGrant(g, k.Grant)
		case *wire.Control_Settled:
			s.usageStore.Settle(k.Settled.GetBillings())
		}
	}
}

// applyGrant applies the configuration first and then the sublease, so that no
// work is admitted under a new sublease with an old configuration.
func (s *Server) applyGrant(g *gateSession, m *wire.Grant) {
	err := s.guard.Config.Apply(m.GetDelta())
	if behind := s.guard.Config.View().Revision < ident.Revision(m.GetRevision()); err != nil || behind {
		g.recordMissingRevision(max(m.GetRevision(), m.GetDelta().GetRevision()))
		select {
		case g.fullDeltaNeeded <- struct{}{}:
		default:
		}
		return
	}
	ttl := time.Duration(m.GetTtl()) * time.Millisecond
	switch {
	case m.GetSeq() == 0:
	case m.GetFault() != nil:
		g.sublease.ApplyGrant(m.GetSeq(), 0)
	case ttl > 0: // a ttl of 0 without a fault means that the renewal reported an older revision
		g.sublease.ApplyGrant(m.GetSeq(), ttl)
	}
}

// controlWriter sends renewals, load reports and usage records to a gate. Only
// one goroutine may use it.
type controlWriter struct {
	s                    *Server
	g                    *gateSession
	st                   *link.Stream
	fullDeltaRequestedAt time.Time // time of the last renewal that requested a full delta

	lastRenewal       time.Time
	announcedInterval time.Duration // time to the next renewal, as announced to the gate
	lastLoad          *wire.Load    // the last report that was sent

	backendChanged, drainStarted, configChanged, renewalRequested <-chan struct{}
}

func (s *Server) writeControl(ctx context.Context, g *gateSession, st *link.Stream) error {
	w := &controlWriter{s: s, g: g, st: st}
	if err := w.sendRenewal(w.newLoad()); err != nil {
		return err
	}
	timer := time.NewTimer(w.untilNextCheck())
	defer timer.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			err = w.renewIfNeeded(false)
		case <-w.backendChanged:
			err = w.renewIfNeeded(false)
		case <-w.drainStarted:
			err = w.renewIfNeeded(false)
		case <-g.workArrived:
			err = w.renewIfNeeded(!g.sublease.Valid(time.Now()))
		case <-w.renewalRequested:
			err = w.renewIfNeeded(!g.sublease.Valid(time.Now()))
		case <-w.configChanged:
			// The renewal acknowledges to the gate that the revision is in
			// force here.
			err = w.sendRenewal(w.newLoad())
		case <-g.fullDeltaNeeded:
			// Without this condition, a delta that cannot be applied would be
			// requested in a tight loop.
			if time.Since(w.fullDeltaRequestedAt) >= ident.MinLoadInterval {
				err = w.sendRenewal(w.newLoad())
			}
		case m := <-g.outgoingRecords:
			err = st.Send(&wire.Control{Kind: &wire.Control_Records{Records: m}})
		}
		if err != nil {
			return err
		}
		timer.Reset(w.untilNextCheck())
	}
}

// untilNextCheck returns the time until renewIfNeeded must be called next.
func (w *controlWriter) untilNextCheck() time.Duration {
	since := time.Since(w.lastRenewal)
	if (w.announcedInterval < ident.IdleRenewInterval || w.needsFullDelta()) && since < ident.MinLoadInterval {
		return ident.MinLoadInterval - since
	}
	return w.announcedInterval - since
}

// minRequestedRenewalInterval is the least time between two renewals that are
// sent because works have no sublease; the answer to the first may be on its
// way.
const minRequestedRenewalInterval = 100 * time.Millisecond

// needsFullDelta reports whether the next renewal requests a full delta. The
// view may have caught up since the gap was detected, through another gate or a
// late delta. A renewal at revision 0 would then delay the acknowledgement.
func (w *controlWriter) needsFullDelta() bool {
	return uint64(w.s.guard.Config.View().Revision) < w.g.missingRevision.Load()
}

// renewIfNeeded sends a renewal if it is due or if the gate must learn of a
// change at once. With subleaseNeeded, a work is waiting for the sublease that
// the renewal brings.
func (w *controlWriter) renewIfNeeded(subleaseNeeded bool) error {
	m := w.newLoad()
	since := time.Since(w.lastRenewal)
	idle := w.announcedInterval >= ident.IdleRenewInterval
	changed := m.GetRunning() != w.lastLoad.GetRunning() || m.GetQueued() != w.lastLoad.GetQueued()
	switch {
	case since >= w.announcedInterval,
		subleaseNeeded && since >= minRequestedRenewalInterval,
		w.needsFullDelta() && since >= ident.MinLoadInterval,
		idle && w.g.isActive(time.Now()),
		!idle && changed && since >= ident.MinLoadInterval,
		m.GetHealthy() != w.lastLoad.GetHealthy(), m.GetLeaving() != w.lastLoad.GetLeaving(), !m.Short(w.lastLoad).GetSame():
		return w.sendRenewal(m)
	}
	return nil
}

// sendRenewal sends a renewal and a load report in one message. Only the first
// message contains the name and the zone.
func (w *controlWriter) sendRenewal(m *wire.Load) error {
	w.configChanged = w.s.guard.Config.Changed()
	r := &wire.Renew{Revision: uint64(w.s.guard.Config.View().Revision), Leaving: m.GetLeaving(), Load: m.Short(w.lastLoad)}
	if w.lastLoad == nil {
		r.Name, r.Zone = string(w.s.settings.Name), string(w.s.settings.Zone)
	}
	if r.Revision < w.g.missingRevision.Load() {
		r.Revision, w.fullDeltaRequestedAt = 0, time.Now()
	}
	w.lastRenewal, w.announcedInterval = time.Now(), ident.IdleRenewInterval
	if w.g.isActive(w.lastRenewal) {
		w.announcedInterval = ident.RenewInterval
	}
	w.lastLoad, r.Due = m, uint32(w.announcedInterval/time.Millisecond)
	r.Seq = w.g.sublease.RecordRenewal(w.lastRenewal)
	return w.st.Send(&wire.Control{Kind: &wire.Control_Renew{Renew: r}})
}

// newLoad returns a load report and renews the channels that announce changes
// of it.
func (w *controlWriter) newLoad() *wire.Load {
	// The channels must be obtained before the state whose changes they
	// announce.
	w.backendChanged, w.drainStarted, w.renewalRequested = w.s.backend.Changed(), w.s.drainNotifier.Changed(), w.s.guard.Subleases.RenewalRequested()
	r := w.s.loadReport()
	m := &wire.Load{
		Backend: string(w.s.settings.Name), Zone: string(w.s.settings.Zone), Service: string(r.Service),
		Running: uint32(r.Running), Queued: uint32(r.Queued), Slots: uint32(r.Slots),
		Leaving: w.s.guard.IsDraining(), Healthy: r.Healthy, Fencing: w.s.settings.Fencing,
	}
	if !r.MeasuredAt.IsZero() {
		m.Age = uint64(max(0, time.Since(r.MeasuredAt).Milliseconds()))
	}
	for _, t := range r.Served {
		m.Served = append(m.Served, &wire.Served{Model: string(t.Model), Version: string(t.Version)})
	}
	return m
}

// sendUnsettledRecords repeatedly sends the records that are due to gates until
// they are settled.
func (s *Server) sendUnsettledRecords(ctx context.Context) error {
	tick := time.NewTicker(recordsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		for owner, records := range s.usageStore.Due(maxRecordsPerMessage) {
			if g := s.chooseBillingGate(owner); g != nil {
				g.queueRecords(records)
			}
		}
	}
}

// chooseBillingGate returns the gate that bills the records of owner: a gate of
// that name if it is connected again, since it may know of the request, else
// each gate in turn, since one may be cut off from the state cluster. It
// returns nil if no gate is connected.
func (s *Server) chooseBillingGate(owner string) *gateSession {
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
	s.nextGate++
	return s.gates[s.nextGate%len(s.gates)]
}

// recordMissingRevision records a revision that the view could not reach. Only
// one goroutine, the reader of the control stream, may call it.
func (g *gateSession) recordMissingRevision(revision uint64) {
	g.missingRevision.Store(max(g.missingRevision.Load(), revision))
}

// queueRecords passes records to the control writer. It drops them if the
// writer has not taken the previous ones yet; they are still due and sent
// again.
func (g *gateSession) queueRecords(records []*wire.Record) {
	select {
	case g.outgoingRecords <- &wire.Records{Records: records}:
	default:
	}
}
