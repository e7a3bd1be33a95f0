package client

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

const giveBackTimeout = time.Second // for giving back the lease during a stop

// View returns the configuration that is in force in this process.
func (c *Client) View() *conf.View { return c.view.Load() }

// Incarnation returns the number of this run, or 0 before the first enrollment.
// It changes when the state cluster has retired the previous one.
func (c *Client) Incarnation() ident.Incarnation { return ident.Incarnation(c.incarnation.Load()) }

// ViewChanged returns a channel that is closed at the next change of the view.
func (c *Client) ViewChanged() <-chan struct{} {
	c.viewChangedMu.Lock()
	defer c.viewChangedMu.Unlock()
	return c.viewChanged
}

// LeaseExpiry returns the time until which the view may be used, or the zero
// time. It counts on the monotonic clock from when the renewal was sent.
func (c *Client) LeaseExpiry() time.Time {
	c.leaseMu.Lock()
	defer c.leaseMu.Unlock()
	return c.leaseUntil
}

// LeaseValidAt reports whether the lease is valid at a time. The monotonic
// clock stops while a VM is suspended, so the time of suspensions is added.
func (c *Client) LeaseValidAt(now time.Time) bool {
	c.leaseMu.Lock()
	defer c.leaseMu.Unlock()
	return now.Add(c.suspendedTime() - c.suspendedAtRenewal).Before(c.leaseUntil)
}

// suspendedSinceBoot returns how long the VM has been suspended since boot, or
// 0 if that cannot be determined.
func suspendedSinceBoot() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// HoldLease enrolls this process and renews its lease until ctx ends; then it
// gives the lease back, retires the incarnation and returns nil.
func (c *Client) HoldLease(ctx context.Context) error {
	retry := backoff{limit: c.maxBackoff}
	for ctx.Err() == nil {
		err := c.enroll(ctx)
		if err == nil {
			var granted bool
			granted, err = c.runControlStream(ctx)
			if granted {
				retry.delay = 0
			}
		}
		if ctx.Err() != nil {
			break
		}
		if err != nil && fault.From(err).Kind == fault.Stale {
			klog.InfoS("Incarnation was retired; enrolling again", "incarnation", c.Incarnation())
			c.incarnation.Store(0)
			continue
		}
		klog.V(1).InfoS("Lease stream to the leader ended", "err", err)
		if retry.wait(ctx) != nil {
			break
		}
	}
	c.retire()
	return nil
}

// enroll gets an incarnation unless there is one. An enrollment with an unknown
// outcome is repeated; the leader retires the number that the first one may
// have used up.
func (c *Client) enroll(ctx context.Context) error {
	if c.incarnation.Load() != 0 {
		return nil
	}
	r, err := c.Propose(ctx, &wire.Command{Actor: c.linkConfig.Name, Kind: &wire.Command_Enroll{
		Enroll: &wire.Enroll{Name: c.linkConfig.Name, Zone: string(c.zone)},
	}})
	if err != nil {
		return err
	}
	c.incarnation.Store(r.GetEnrolled().GetIncarnation())
	klog.InfoS("Enrolled", "incarnation", c.Incarnation())
	return nil
}

func (c *Client) retire() {
	id := c.Incarnation()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), giveBackTimeout)
	defer cancel()
	_, err := c.Propose(ctx, &wire.Command{Actor: c.linkConfig.Name, Kind: &wire.Command_Retire{
		Retire: &wire.Retire{Incarnation: uint64(id), Last: uint64(c.lastSequence(id))},
	}})
	if err != nil {
		klog.InfoS("Cannot retire the incarnation; the leader will retire it later", "incarnation", id, "err", err)
	}
}

// runControlStream runs one control stream. It reports whether a lease was
// granted on it.
func (c *Client) runControlStream(ctx context.Context) (granted bool, err error) {
	s, err := c.connect(ctx)
	if err != nil {
		return false, err
	}
	st, err := s.Open(wire.Kind_CONTROL)
	if err != nil {
		c.dropSession(s, "")
		return false, err
	}
	h := &leaseStream{c: c, st: st, sent: map[uint64]sentRenewal{}, ackTimer: time.NewTimer(time.Hour)}
	defer h.ackTimer.Stop()
	defer func() { _ = st.Close() }()
	g := group.New(context.WithoutCancel(ctx))
	grants := make(chan *wire.Grant)
	g.Go("read grants", func(ctx context.Context) error { return receiveGrants(ctx, st, grants) })
	err = h.run(ctx, g.Context(), grants)
	_ = st.SetDeadline(time.Unix(1, 0))
	g.Stop()
	if read := g.Wait(); read != nil && err == nil {
		err = read
	}
	switch f := fault.From(err); {
	case err == nil || ctx.Err() != nil:
	case f.Kind == fault.Unavailable:
		c.dropSession(s, h.leader)
	case f.Kind != fault.Stale:
		c.dropSession(s, "")
	}
	return h.granted, err
}

func receiveGrants(ctx context.Context, st *link.Stream, grants chan<- *wire.Grant) error {
	for {
		grant := &wire.Grant{}
		if err := st.Recv(grant); err != nil {
			return err
		}
		select {
		case grants <- grant:
		case <-ctx.Done():
			return nil
		}
	}
}

// sentRenewal records when a renewal was sent and how long the VM had been
// suspended until then.
type sentRenewal struct {
	sentAt    time.Time
	suspended time.Duration
}

// leaseStream is the state of one control stream. It must be used from one
// goroutine only.
type leaseStream struct {
	c       *Client
	st      *link.Stream
	seq     uint64
	sent    map[uint64]sentRenewal // renewals without an answer
	started time.Time
	leader  string
	granted bool

	acknowledged ident.Revision  // last revision sent to the leader
	ackChanged   <-chan struct{} // closed when a newer revision may be acknowledged
	ackTimer     *time.Timer     // fires when a sublease expires that delays the acknowledgement
}

// run renews the lease until ctx ends, the stream breaks (then broken ends) or
// the leader does not answer renewals.
func (h *leaseStream) run(ctx, broken context.Context, grants <-chan *wire.Grant) error {
	tick := time.NewTicker(ident.RenewInterval)
	defer tick.Stop()
	h.started = time.Now()
	answerTimer := time.NewTimer(renewalTimeout)
	defer answerTimer.Stop()
	if err := h.renew(false); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return h.giveBack(grants)
		case <-broken.Done():
			return nil // receiveGrants returns the error
		case <-tick.C:
			err = h.renew(false)
		case <-h.ackChanged:
			err = h.acknowledge()
		case <-h.ackTimer.C:
			err = h.acknowledge()
		case <-answerTimer.C:
			err = eris.New("the leader does not answer renewals")
		case grant := <-grants:
			answerTimer.Reset(renewalTimeout)
			err = h.handleGrant(grant)
		}
		if err != nil {
			return err
		}
	}
}

// ackableRevision returns the revision that may be acknowledged and the one
// that is applied, and sets ackChanged and ackTimer for the next one.
func (h *leaseStream) ackableRevision() (acked, applied ident.Revision) {
	applied = h.c.View().Revision
	acked, next, moved := h.c.subleases.AcknowledgedRevision(applied)
	h.ackChanged = moved
	if next.IsZero() {
		h.ackTimer.Stop()
	} else {
		h.ackTimer.Reset(time.Until(next))
	}
	return acked, applied
}

// acknowledge renews immediately if a newer revision may be acknowledged, since
// a change comes into force only with the acknowledgements.
func (h *leaseStream) acknowledge() error {
	if acked, _ := h.ackableRevision(); acked > h.acknowledged {
		return h.renew(false)
	}
	return nil
}

func (h *leaseStream) renew(leaving bool) error {
	h.seq++
	acked, applied := h.ackableRevision()
	h.acknowledged = acked
	now := time.Now()
	h.sent[h.seq] = sentRenewal{now, h.c.suspendedTime()}
	_ = h.st.SetDeadline(now.Add(renewalTimeout)) // a stalled write must not block the loop
	r := &wire.Renew{
		Seq: h.seq, Name: h.c.linkConfig.Name, Zone: string(h.c.zone), Incarnation: h.c.incarnation.Load(),
		Revision: uint64(acked), Leaving: leaving, Exchange: h.c.exchangeAddr,
		Gates: h.c.gatesDigest.Load(), Link: h.c.linkRate, Unpacks: true,
	}
	if applied > acked {
		r.Applied = uint64(applied)
	}
	if h.c.needFullDelta.Load() {
		r.Revision, r.Applied = 0, 0
	}
	if !leaving {
		r.Tallies = h.c.tallies()
	}
	return h.st.Send(r)
}

// handleGrant processes a grant. It applies the delta first, so that a lease
// never covers a view that is older than the grant.
func (h *leaseStream) handleGrant(g *wire.Grant) error {
	if f := g.GetFault(); f != nil {
		h.leader = f.GetLeader()
		return f.Err()
	}
	if packed := g.GetDelta(); packed != nil {
		d, err := packed.Unpack()
		if err != nil {
			return err
		}
		changed, err := h.c.apply(d)
		if err != nil {
			return err
		}
		if changed {
			// The change can come into force only once it is acknowledged.
			if err := h.acknowledge(); err != nil {
				return err
			}
		}
	}
	sent, ok := h.sent[g.GetSeq()]
	if !ok {
		return nil
	}
	for seq := range h.sent {
		if seq <= g.GetSeq() {
			delete(h.sent, seq)
		}
	}
	if list := g.GetGates(); list != nil && h.c.onGates != nil {
		h.c.gatesDigest.Store(list.GetDigest())
		h.c.onGates(list.GetGates())
	}
	if g.GetTtl() > 0 {
		h.granted = true
		h.c.extendLease(sent, min(time.Duration(g.GetTtl())*time.Millisecond, ident.LeaseDuration))
	}
	return nil
}

// giveBack first ends the lease locally, waits until the granted subleases have
// expired, and then gives the lease back, so that a change does not have to
// wait for it.
func (h *leaseStream) giveBack(grants <-chan *wire.Grant) error {
	h.c.leaseMu.Lock()
	h.c.leaseUntil = time.Time{}
	h.c.leaseMu.Unlock()
	time.Sleep(time.Until(h.c.subleases.LastExpiry())) // at most ident.MaxSublease plus 1 %
	if err := h.renew(true); err != nil {
		return err
	}
	t := time.NewTimer(giveBackTimeout)
	defer t.Stop()
	for {
		select {
		case g := <-grants:
			if g.GetSeq() == h.seq || g.GetFault() != nil {
				return nil
			}
		case <-t.C:
			return nil
		}
	}
}

func (c *Client) extendLease(sent sentRenewal, ttl time.Duration) {
	c.leaseMu.Lock()
	defer c.leaseMu.Unlock()
	c.lastGrant = time.Now()
	if until := sent.sentAt.Add(ttl); until.After(c.leaseUntil) {
		c.leaseUntil, c.suspendedAtRenewal = until, sent.suspended
	}
}

// apply puts a delta in force. Entries hold whole values, so a delta that
// starts before the view's revision is applied like one that starts at it.
// After an error the view is kept and the next stream requests a full delta.
// The view never returns to an older revision.
func (c *Client) apply(d *wire.Delta) (changed bool, err error) {
	old := c.View()
	if d.GetRevision() < uint64(old.Revision) {
		return false, eris.Errorf("the leader sent revision %d after %d; check its log", d.GetRevision(), old.Revision)
	}
	if !d.GetFull() {
		if d.GetRevision() == uint64(old.Revision) {
			return false, nil
		}
		if d.GetFrom() < uint64(old.Revision) {
			d = &wire.Delta{From: uint64(old.Revision), Revision: d.GetRevision(), Entries: d.GetEntries()}
		}
	}
	next, err := old.Apply(d)
	if err != nil {
		c.needFullDelta.Store(true)
		klog.ErrorS(err, "Cannot apply the configuration delta; requesting a full one", "revision", d.GetRevision())
		return false, eris.Wrap(err, "configuration delta")
	}
	c.needFullDelta.Store(false)
	c.view.Store(next)
	c.viewChangedMu.Lock()
	close(c.viewChanged)
	c.viewChanged = make(chan struct{})
	c.viewChangedMu.Unlock()
	return true, nil
}
