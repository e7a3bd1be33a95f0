package node

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

const (
	// ackTime is how long a holder may renew without acknowledging a pushed
	// revision. A gate waits for the sub-leases of suspended side processes, at
	// most 0.707 s; the rest is for messages. With the lease it stays under
	// the 3 s of rule 10.
	ackTime = 800 * time.Millisecond
	// keepExpired is how long the names of expired holders are told.
	keepExpired = time.Minute
	readTime    = time.Second // limit for reading the state at an election
)

// epoch is what a leader knows while it leads; it starts empty at each
// election. Node.mu guards it.
type epoch struct {
	elected time.Time
	// base and start give commands a time that never steps back.
	base  int64 // ms since the Unix epoch at start
	start time.Time

	holders map[uint64]*holder // by incarnation
	expired []lapsed
	// seen is when each incarnation of the ledger last renewed, or when it
	// was first looked at if it did not renew here.
	seen    map[uint64]time.Time
	renewed map[uint64]bool
	// force is the highest revision that is in force everywhere. A lease is
	// granted only to those who have it.
	force uint64
	// known is the highest revision with an entry in commits.
	known   uint64
	commits map[uint64]time.Time // of revisions not yet in force
	ready   bool                 // the leases of the predecessor have run out
	moved   chan struct{}        // closed when force or ready changes

	tallies map[uint64][]*wire.Tally // latest of each incarnation
	trials  map[ident.Model]*trial
	missing map[string]time.Time // members that left the platform's list
}

// holder is a lease given out.
type holder struct {
	name, zone string
	exchange   string // address for the loads of other gates
	revision   uint64 // acknowledged
	until      time.Time
}

// lapsed is a holder whose lease ran out.
type lapsed struct {
	name     string
	revision uint64
	at       time.Time
}

func newEpoch(elected time.Time, revision uint64) *epoch {
	now := time.Now()
	return &epoch{
		elected: elected, base: now.UnixMilli(), start: now,
		holders: map[uint64]*holder{}, seen: map[uint64]time.Time{}, renewed: map[uint64]bool{}, commits: map[uint64]time.Time{},
		// The predecessor may have declared this revision in force.
		force: revision, known: revision, moved: make(chan struct{}),
		tallies: map[uint64][]*wire.Tally{}, trials: map[ident.Model]*trial{}, missing: map[string]time.Time{},
	}
}

// leading returns the current epoch. If this node has just become leader, it
// first reads the state up to its election.
func (n *Node) leading(ctx context.Context) (*epoch, error) {
	elected := n.cons.ElectedAt()
	if elected.IsZero() || !n.cons.HoldsLease() {
		return nil, n.notLeader()
	}
	n.mu.Lock()
	e := n.epoch
	n.mu.Unlock()
	if e != nil && e.elected.Equal(elected) {
		return e, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	if err := n.cons.ReadBarrier(ctx); err != nil {
		klog.InfoS("State not read after the election", "err", err)
		return nil, n.notLeader()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.cons.ElectedAt().Equal(elected) {
		return nil, n.notLeader()
	}
	if n.epoch == nil || !n.epoch.elected.Equal(elected) {
		n.endEpoch()
		n.epoch = newEpoch(elected, n.ledger.Revision())
		klog.InfoS("Leading", "revision", n.epoch.force, "elected", elected)
	}
	return n.epoch, nil
}

// leads tells whether this node leads in the epoch and no other process can
// have led since its election. The caller holds n.mu.
func (n *Node) leads(e *epoch) bool {
	// The election is looked at after the lease: otherwise the lease could be
	// that of a later election, before which another leader granted.
	return n.epoch == e && n.cons.HoldsLease() && n.cons.ElectedAt().Equal(e.elected)
}

func (n *Node) notLeader() error {
	leader, _ := n.cons.Leader()
	if leader.Name == n.link.Name {
		leader = raft.Member{} // it has lost its lease, so it is no help to ask it again
	}
	return raft.NotLeader{Leader: leader}
}

// time returns the time for a command in ms since the Unix epoch.
func (e *epoch) time() uint64 { return uint64(e.base + time.Since(e.start).Milliseconds()) }

// renew handles a renewal and returns the grant. The holder is on record
// before the grant is sent, so a change waits for it from then on.
func (n *Node) renew(e *epoch, r *wire.Renew) *wire.Grant {
	id := r.GetIncarnation()
	grant := &wire.Grant{Seq: r.GetSeq(), Revision: n.ledger.Revision()}
	n.mu.Lock()
	defer n.mu.Unlock()
	// The receiver counts from when it sent the renewal, which was before
	// this look, so a later loss of the leader's lease does no harm.
	if !n.leads(e) {
		grant.Fault = faultOf(n.notLeader())
		return grant
	}
	now := time.Now()
	e.note(n.ledger.Revision(), now)
	if r.GetLeaving() {
		delete(e.holders, id)
		n.advance(e, now)
		return grant
	}
	if !n.ledger.IsActiveIncarnation(id) {
		grant.Fault = wire.NewFault(fault.New(fault.Stale, "the incarnation is retired; enroll again"))
		return grant
	}
	e.seen[id], e.renewed[id] = now, true
	if len(r.GetTallies()) > 0 {
		e.tallies[id] = r.GetTallies()
	}
	h := e.holders[id]
	moved := h != nil && r.GetRevision() > h.revision
	if moved {
		h.revision = r.GetRevision()
	}
	// A gate that uses the revision in force may have acknowledged less only
	// after an election, and then its sub-leases from before end with the lease
	// from the predecessor.
	if applied(r) >= e.force && !e.lags(max(r.GetRevision(), e.force), now) {
		if h == nil {
			h = &holder{name: r.GetName(), zone: r.GetZone(), revision: r.GetRevision()}
			e.holders[id] = h
		}
		h.exchange = r.GetExchange()
		grant.Exchanges = e.exchanges(id, h)
		h.until = now.Add(ident.GuardedLeaseDuration)
		grant.Ttl = uint32(ident.LeaseDuration / time.Millisecond)
	}
	if moved { // else nothing can have come into force; expiry has its own timer
		n.advance(e, now)
	}
	return grant
}

// exchanges returns the addresses of the other gates that take loads.
func (e *epoch) exchanges(id uint64, of *holder) []string {
	if of.exchange == "" {
		return nil
	}
	var list []string
	for other, h := range e.holders {
		if other != id && h.exchange != "" {
			list = append(list, h.exchange)
		}
	}
	slices.Sort(list)
	return list
}

// applied returns the revision that the sender of a renewal uses itself.
func applied(r *wire.Renew) uint64 { return max(r.GetRevision(), r.GetApplied()) }

// note records when a revision was first seen here.
func (e *epoch) note(revision uint64, now time.Time) {
	for e.known < revision {
		e.known++
		e.commits[e.known] = now
	}
}

// lags tells whether a receiver at a revision has left the next one without
// acknowledgement for too long. It must not hold up the change by renewing.
func (e *epoch) lags(revision uint64, now time.Time) bool {
	at, ok := e.commits[revision+1]
	return ok && now.Sub(at) > ackTime
}

// advance drops expired leases and moves the revision that is in force. It
// returns how long each revision took that came into force.
func (e *epoch) advance(now time.Time) (took []time.Duration) {
	force := e.known
	for id, h := range e.holders {
		if !now.Before(h.until) {
			delete(e.holders, id)
			e.expired = append(e.expired, lapsed{h.name, h.revision, now})
			continue
		}
		force = min(force, h.revision)
	}
	for len(e.expired) > 0 && now.Sub(e.expired[0].at) > keepExpired {
		e.expired = e.expired[1:]
	}
	ready := !now.Before(e.elected.Add(ident.GuardedLeaseDuration))
	if !ready || (e.ready && force <= e.force) {
		return nil
	}
	for r := e.force + 1; r <= force; r++ {
		took = append(took, now.Sub(e.commits[r]))
		delete(e.commits, r)
	}
	e.ready, e.force = true, max(e.force, force)
	close(e.moved)
	e.moved = make(chan struct{})
	return took
}

// watchLeases lets leases expire and changes come into force.
func (n *Node) watchLeases(ctx context.Context) error {
	const every = 10 * time.Millisecond // adds to the time until a change is in force
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.step()
		}
	}
}

func (n *Node) step() {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.epoch
	if e == nil {
		return
	}
	if !n.cons.ElectedAt().Equal(e.elected) {
		n.endEpoch()
		return
	}
	if !n.leads(e) {
		return // what a deposed leader sees decides nothing
	}
	now := time.Now()
	e.note(n.ledger.Revision(), now)
	n.advance(e, now)
}

// advance moves the revision in force of the epoch and tells the metrics.
func (n *Node) advance(e *epoch, now time.Time) {
	first := !e.ready
	for _, d := range e.advance(now) {
		n.metrics.force.Observe(d.Seconds())
	}
	if first && e.ready {
		n.nameLost(e, now)
	}
}

// endEpoch forgets what this node knew as leader. The caller holds n.mu.
func (n *Node) endEpoch() {
	if n.epoch == nil {
		return
	}
	klog.InfoS("No longer leading", "holders", len(n.epoch.holders))
	close(n.epoch.moved)
	n.epoch = nil
}

// nameLost adds the incarnations that held a lease from the predecessor,
// perhaps, and did not renew it here to the expired ones.
func (n *Node) nameLost(e *epoch, now time.Time) {
	for _, r := range n.ledger.ActiveIncarnations() {
		if !e.renewed[r.GetIncarnation()] {
			e.expired = append(e.expired, lapsed{r.GetName(), 0, now})
		}
	}
}

// wait waits until a revision is in force everywhere.
func (n *Node) wait(ctx context.Context, q *wire.WaitQuery) (*wire.Waited, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.GetTimeout())*time.Millisecond)
	defer cancel()
	e, err := n.leading(ctx)
	if err != nil {
		return nil, err
	}
	for {
		n.mu.Lock()
		if n.epoch != e {
			n.mu.Unlock()
			return nil, n.notLeader()
		}
		done := e.ready && e.force >= q.GetRevision() && n.leads(e)
		moved := e.moved
		answer := e.waited(q.GetRevision(), start)
		n.mu.Unlock()
		if done {
			answer.Done, answer.Missing = true, nil
			return answer, nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return answer, nil
		}
	}
}

// waited names the holders that a revision did without or still waits for.
func (e *epoch) waited(revision uint64, start time.Time) *wire.Waited {
	w := &wire.Waited{Elapsed: uint32(time.Since(start) / time.Millisecond)}
	for _, x := range e.expired {
		if x.revision < revision && !slices.Contains(w.Expired, x.name) {
			w.Expired = append(w.Expired, x.name)
		}
	}
	for _, h := range e.holders {
		if h.revision < revision {
			w.Missing = append(w.Missing, h.name)
		}
	}
	slices.Sort(w.Expired)
	slices.Sort(w.Missing)
	return w
}
