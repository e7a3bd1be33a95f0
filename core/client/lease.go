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

const leaveTime = time.Second // for giving back the lease at the stop

// View returns the configuration that is in force here.
func (c *Client) View() *conf.View { return c.view.Load() }

// Incarnation returns the number of this run, or 0 before the first
// enrolment. It changes when the state cluster has retired the last one.
func (c *Client) Incarnation() ident.Incarnation { return ident.Incarnation(c.incarnation.Load()) }

// ViewChanged returns a channel that is closed at the next change of the view.
func (c *Client) ViewChanged() <-chan struct{} {
	c.watchMu.Lock()
	defer c.watchMu.Unlock()
	return c.watch
}

// LeaseExpiry returns the time until which the view may be used, or the zero time.
// It is counted by the monotonic clock from when the renewal was sent.
func (c *Client) LeaseExpiry() time.Time {
	c.leaseMu.Lock()
	defer c.leaseMu.Unlock()
	return c.until
}

// LeaseValidAt tells whether the lease holds at a time. The monotonic clock stands
// still while a VM is suspended, so the time of suspensions is added.
func (c *Client) LeaseValidAt(now time.Time) bool {
	c.leaseMu.Lock()
	defer c.leaseMu.Unlock()
	return now.Add(c.suspended() - c.before).Before(c.until)
}

// suspended returns how long the VM has been suspended since its boot; 0 if that
// cannot be told.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// HoldLease enrolls this process and keeps its lease until ctx ends; then it gives
// the lease back and retires the incarnation. It returns nil after a stop.
func (c *Client) HoldLease(ctx context.Context) error {
	wait := backoff{most: c.pause}
	for ctx.Err() == nil {
		err := c.enroll(ctx)
		if err == nil {
			var good bool
			good, err = c.control(ctx)
			if good {
				wait.d = 0
			}
		}
		if ctx.Err() != nil {
			break
		}
		if err != nil && fault.From(err).Kind == fault.Stale {
			klog.InfoS("Incarnation was retired; enrolling anew", "incarnation", c.Incarnation())
			c.incarnation.Store(0)
			continue
		}
		klog.V(1).InfoS("No lease stream to the leader", "err", err)
		if wait.pause(ctx) != nil {
			break
		}
	}
	c.retire()
	return nil
}

// enroll gets an incarnation unless there is one. An enrolment with an
// unknown outcome is repeated: the number that it may have used up is retired
// by the leader.
func (c *Client) enroll(ctx context.Context) error {
	if c.incarnation.Load() != 0 {
		return nil
	}
	r, err := c.Propose(ctx, &wire.Command{Actor: c.link.Name, Kind: &wire.Command_Enroll{
		Enroll: &wire.Enroll{Name: c.link.Name, Zone: string(c.zone)},
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
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	_, err := c.Propose(ctx, &wire.Command{Actor: c.link.Name, Kind: &wire.Command_Retire{
		Retire: &wire.Retire{Incarnation: uint64(id), Last: uint64(c.last(id))},
	}})
	if err != nil {
		klog.InfoS("Incarnation not retired; the leader does so later", "incarnation", id, "err", err)
	}
}

// control runs one control stream. It tells whether a lease was granted on it.
func (c *Client) control(ctx context.Context) (good bool, err error) {
	s, err := c.connect(ctx)
	if err != nil {
		return false, err
	}
	st, err := s.Open(wire.Kind_CONTROL)
	if err != nil {
		c.leave(s, "")
		return false, err
	}
	h := &holder{c: c, st: st, sent: map[uint64]sending{}, late: time.NewTimer(time.Hour)}
	defer h.late.Stop()
	defer func() { _ = st.Close() }()
	g := group.New(context.WithoutCancel(ctx))
	grants := make(chan *wire.Grant)
	g.Go("read grants", func(ctx context.Context) error { return receive(ctx, st, grants) })
	err = h.run(ctx, g.Context(), grants)
	_ = st.SetDeadline(time.Unix(1, 0))
	g.Stop()
	if read := g.Wait(); read != nil && err == nil {
		err = read
	}
	switch f := fault.From(err); {
	case err == nil || ctx.Err() != nil:
	case f.Kind == fault.Unavailable:
		c.leave(s, h.leader)
	case f.Kind != fault.Stale:
		c.leave(s, "")
	}
	return h.good, err
}

func receive(ctx context.Context, st *link.Stream, grants chan<- *wire.Grant) error {
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

// sending is when a renewal was sent, and how long the VM had been suspended by
// then.
type sending struct {
	at        time.Time
	suspended time.Duration
}

// holder is the state of one control stream. One goroutine uses it.
type holder struct {
	c      *Client
	st     *link.Stream
	seq    uint64
	sent   map[uint64]sending // renewals without an answer
	heard  time.Time
	leader string
	good   bool

	acked ident.Revision  // told to the leader last
	moved <-chan struct{} // closed when a later revision may be acknowledged
	late  *time.Timer     // fires when a sub-lease ends that holds it back
}

// run renews until ctx ends, the stream breaks (broken ends) or the leader is
// silent.
func (h *holder) run(ctx, broken context.Context, grants <-chan *wire.Grant) error {
	tick := time.NewTicker(ident.RenewInterval)
	defer tick.Stop()
	h.heard = time.Now()
	silent := time.NewTimer(silentAfter)
	defer silent.Stop()
	if err := h.renew(false); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return h.leave(grants)
		case <-broken.Done():
			return nil // the reader has the error
		case <-tick.C:
			err = h.renew(false)
		case <-h.moved:
			err = h.acknowledge()
		case <-h.late.C:
			err = h.acknowledge()
		case <-silent.C:
			err = eris.New("the leader does not answer renewals")
		case grant := <-grants:
			silent.Reset(silentAfter)
			err = h.take(grant)
		}
		if err != nil {
			return err
		}
	}
}

// look returns the revision that may be acknowledged, and watches for the next.
func (h *holder) look() (acked, applied ident.Revision) {
	applied = h.c.View().Revision
	acked, next, moved := h.c.sublets.AcknowledgedRevision(applied)
	h.moved = moved
	if next.IsZero() {
		h.late.Stop()
	} else {
		h.late.Reset(time.Until(next))
	}
	return acked, applied
}

// acknowledge renews at once if a later revision may be acknowledged: a change
// waits for it to come into force.
func (h *holder) acknowledge() error {
	if acked, _ := h.look(); acked > h.acked {
		return h.renew(false)
	}
	return nil
}

func (h *holder) renew(leaving bool) error {
	h.seq++
	acked, applied := h.look()
	h.acked = acked
	now := time.Now()
	h.sent[h.seq] = sending{now, h.c.suspended()}
	_ = h.st.SetDeadline(now.Add(silentAfter)) // a stalled write must not hold up the loop
	r := &wire.Renew{
		Seq: h.seq, Name: h.c.link.Name, Zone: string(h.c.zone), Incarnation: h.c.incarnation.Load(),
		Revision: uint64(acked), Leaving: leaving, Exchange: h.c.exchange,
	}
	if applied > acked {
		r.Applied = uint64(applied)
	}
	if h.c.full.Load() {
		r.Revision, r.Applied = 0, 0
	}
	if !leaving {
		r.Tallies = h.c.tallies()
	}
	return h.st.Send(r)
}

// take handles a grant. The delta comes first: a lease never covers a view
// that is older than the grant.
func (h *holder) take(g *wire.Grant) error {
	if f := g.GetFault(); f != nil {
		h.leader = f.GetLeader()
		return f.Err()
	}
	if d := g.GetDelta(); d != nil {
		changed, err := h.c.apply(d)
		if err != nil {
			return err
		}
		if changed {
			// The acknowledgement lets the change come into force.
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
	if h.c.others != nil {
		h.c.others(g.GetExchanges())
	}
	if g.GetTtl() > 0 {
		h.good = true
		h.c.extend(sent, min(time.Duration(g.GetTtl())*time.Millisecond, ident.LeaseDuration))
	}
	return nil
}

// leave ends the lease here first, lets the sub-leases end that were given
// before, and then gives it back, so that a change does not have to wait for it.
func (h *holder) leave(grants <-chan *wire.Grant) error {
	h.c.leaseMu.Lock()
	h.c.until = time.Time{}
	h.c.leaseMu.Unlock()
	time.Sleep(time.Until(h.c.sublets.LastExpiry())) // at most ident.SubLease and 1 %
	if err := h.renew(true); err != nil {
		return err
	}
	t := time.NewTimer(leaveTime)
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

func (c *Client) extend(sent sending, ttl time.Duration) {
	c.leaseMu.Lock()
	defer c.leaseMu.Unlock()
	c.heard = time.Now()
	if until := sent.at.Add(ttl); until.After(c.until) {
		c.until, c.before = until, sent.suspended
	}
}

// apply puts a delta in force. Entries are whole values, so a delta from
// before the view's revision is applied as well as one from it. After an
// error the view stays, and the next stream starts with a full delta. The
// view never goes back to an older revision.
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
		c.full.Store(true)
		klog.ErrorS(err, "Configuration cannot be applied; asking for all of it", "revision", d.GetRevision())
		return false, eris.Wrap(err, "configuration delta")
	}
	c.full.Store(false)
	c.view.Store(next)
	c.watchMu.Lock()
	close(c.watch)
	c.watch = make(chan struct{})
	c.watchMu.Unlock()
	return true, nil
}
