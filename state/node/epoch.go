package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

const (
	// ackTimeout is how long a holder may renew without acknowledging a pushed
	// revision. A gate acknowledges after the subleases of suspended side
	// processes have ended, which takes at most 0.707 s; the rest is for
	// messages. Together with the lease it stays within the 3 s in which an
	// accepted configuration must be in force everywhere.
	ackTimeout = 800 * time.Millisecond
	// expiredRetention is how long the holders of expired leases are named in
	// the answers to wait queries.
	expiredRetention    = time.Minute
	electionReadTimeout = time.Second // limit for reading the state after an election
)

// epoch is the state that a leader keeps from its election until it stops
// leading; it starts empty at each election. Node.mu guards it, except trials
// and missingSince, which only the leader's tasks use.
type epoch struct {
	elected time.Time
	// clockBase and clockStart give commands a time that never goes backwards.
	clockBase  int64 // ms since the Unix epoch at clockStart
	clockStart time.Time

	holders map[uint64]*holder // by incarnation
	expired []expiredLease     // oldest first
	// lastSeen is when each incarnation of the ledger last renewed, or when it
	// was first checked if it did not renew here.
	lastSeen    map[uint64]time.Time
	renewedHere map[uint64]bool // incarnations that renewed in this epoch
	// inForce is the highest revision that is in force everywhere. A lease is
	// granted only to processes that have it.
	inForce uint64
	// latest is the highest revision recorded in seenAt.
	latest             uint64
	seenAt             map[uint64]time.Time // when each revision that is not yet in force was first seen here
	predecessorExpired bool                 // the leases of the predecessor have expired
	changed            chan struct{}        // closed when inForce or predecessorExpired changes and when the epoch ends

	tallies      map[uint64][]*wire.Tally // latest of each incarnation
	trials       map[ident.Model]*trial
	missingSince map[string]time.Time // members that are missing from the platform's list, by key
}

// holder is a process that holds a lease.
type holder struct {
	name, zone   string
	exchangeAddr string // address for the datagrams of other gates
	linkRate     uint32 // of a gate, in kB/s
	acked        uint64 // highest acknowledged revision
	expires      time.Time
}

// expiredLease names a holder whose lease expired.
type expiredLease struct {
	name      string
	acked     uint64 // 0 if unknown
	expiredAt time.Time
}

func newEpoch(elected time.Time, revision uint64) *epoch {
	now := time.Now()
	return &epoch{
		elected: elected, clockBase: now.UnixMilli(), clockStart: now,
		holders: map[uint64]*holder{}, lastSeen: map[uint64]time.Time{}, renewedHere: map[uint64]bool{}, seenAt: map[uint64]time.Time{},
		// The predecessor may have declared this revision in force.
		inForce: revision, latest: revision, changed: make(chan struct{}),
		tallies: map[uint64][]*wire.Tally{}, trials: map[ident.Model]*trial{}, missingSince: map[string]time.Time{},
	}
}

// currentEpoch returns the epoch in which this node leads. If the node has just
// become leader, currentEpoch first reads the state up to the election. It
// returns raft.NotLeader on a node that does not lead.
func (n *Node) currentEpoch(ctx context.Context) (*epoch, error) {
	elected := n.consensus.ElectedAt()
	if elected.IsZero() || !n.consensus.HoldsLease() {
		return nil, n.notLeaderError()
	}
	n.mu.Lock()
	e := n.epoch
	n.mu.Unlock()
	if e != nil && e.elected.Equal(elected) {
		return e, nil
	}
	ctx, cancel := context.WithTimeout(ctx, electionReadTimeout)
	defer cancel()
	if err := n.consensus.ReadBarrier(ctx); err != nil {
		klog.InfoS("Cannot read the state after the election", "err", err)
		return nil, n.notLeaderError()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.consensus.ElectedAt().Equal(elected) {
		return nil, n.notLeaderError()
	}
	if n.epoch == nil || !n.epoch.elected.Equal(elected) {
		n.endEpoch()
		n.epoch = newEpoch(elected, n.ledger.Revision())
		klog.InfoS("Became leader of the state cluster", "revision", n.epoch.inForce, "elected", elected)
	}
	return n.epoch, nil
}

// isLeading reports whether this node leads in the epoch and no other process
// can have led since its election. It must be called with n.mu held.
func (n *Node) isLeading(e *epoch) bool {
	// The election time must be checked after the lease: otherwise the lease
	// could be that of a later election, before which another leader granted
	// leases.
	return n.epoch == e && n.consensus.HoldsLease() && n.consensus.ElectedAt().Equal(e.elected)
}

// notLeaderError returns raft.NotLeader with the address of the leader to try
// instead, if one is known.
func (n *Node) notLeaderError() error {
	leader, _ := n.consensus.Leader()
	if leader.Name == n.link.Name {
		leader = raft.Member{} // it has lost its leader lease; retrying here would not help
	}
	return raft.NotLeader{Leader: leader}
}

// commandTime returns the timestamp for a command in ms since the Unix epoch.
func (e *epoch) commandTime() uint64 {
	return uint64(e.clockBase + time.Since(e.clockStart).Milliseconds())
}

// renewLease handles a renewal and returns the grant. The holder is recorded
// before the grant is sent, so every later change waits for its
// acknowledgement.
func (n *Node) renewLease(e *epoch, r *wire.Renew) *wire.Grant {
	id := r.GetIncarnation()
	grant := &wire.Grant{Seq: r.GetSeq(), Revision: n.ledger.Revision()}
	n.mu.Lock()
	defer n.mu.Unlock()
	// The receiver counts its lease from when it sent the renewal, which was
	// before this check, so a later loss of the leader's lease does no harm.
	if !n.isLeading(e) {
		grant.Fault = faultOf(n.notLeaderError())
		return grant
	}
	now := time.Now()
	e.recordRevisions(n.ledger.Revision(), now)
	if r.GetLeaving() {
		delete(e.holders, id)
		n.updateInForce(e, now)
		return grant
	}
	if !n.ledger.IsActiveIncarnation(id) {
		grant.Fault = wire.NewFault(fault.New(fault.Stale, "the incarnation is retired; enroll again"))
		return grant
	}
	e.lastSeen[id], e.renewedHere[id] = now, true
	if len(r.GetTallies()) > 0 {
		e.tallies[id] = r.GetTallies()
	}
	h := e.holders[id]
	acknowledged := h != nil && r.GetRevision() > h.acked
	if acknowledged {
		h.acked = r.GetRevision()
	}
	// A gate that uses the revision in force may have acknowledged a lower one
	// only after an election. Its subleases from before the election then end
	// with the lease that the predecessor granted.
	if appliedRevision(r) >= e.inForce && !e.isLagging(max(r.GetRevision(), e.inForce), now) {
		if h == nil {
			h = &holder{name: r.GetName(), zone: r.GetZone(), acked: r.GetRevision()}
			e.holders[id] = h
		}
		h.exchangeAddr, h.linkRate = r.GetExchange(), r.GetLink()
		if h.exchangeAddr != "" {
			grant.Gates = e.changedGates(r.GetGates(), now)
		}
		h.expires = now.Add(ident.GuardedLeaseDuration)
		grant.Ttl = uint32(ident.LeaseDuration / time.Millisecond)
	}
	if acknowledged { // otherwise no revision can come into force here; checkLeases handles expiry
		n.updateInForce(e, now)
	}
	return grant
}

// changedGates returns the gates that exchange datagrams, unless a gate has the
// list with this digest already. A new leader knows all of them only when their
// leases from its predecessor have ended; until then it returns nil.
func (e *epoch) changedGates(digest uint64, now time.Time) *wire.GateList {
	if now.Before(e.elected.Add(ident.GuardedLeaseDuration)) {
		return nil
	}
	list := &wire.GateList{}
	for _, h := range e.holders {
		if h.exchangeAddr != "" {
			list.Gates = append(list.Gates, &wire.Gate{Addr: h.exchangeAddr, Zone: h.zone, Link: h.linkRate})
		}
	}
	slices.SortFunc(list.Gates, func(a, b *wire.Gate) int { return strings.Compare(a.GetAddr(), b.GetAddr()) })
	d := xxhash.New()
	for _, g := range list.GetGates() {
		_, _ = fmt.Fprintln(d, g.GetAddr(), g.GetZone(), g.GetLink()) // a hash never fails
	}
	if list.Digest = d.Sum64(); list.GetDigest() == digest {
		return nil
	}
	return list
}

// appliedRevision returns the revision that the sender of a renewal uses
// itself.
func appliedRevision(r *wire.Renew) uint64 { return max(r.GetRevision(), r.GetApplied()) }

// recordRevisions records now as the time when the revisions up to the given
// one were first seen here, for those not yet recorded.
func (e *epoch) recordRevisions(revision uint64, now time.Time) {
	for e.latest < revision {
		e.latest++
		e.seenAt[e.latest] = now
	}
}

// isLagging reports whether a holder at the given revision has failed to
// acknowledge the next one within ackTimeout. Such a holder gets no further
// lease time, so that its renewals cannot delay the change.
func (e *epoch) isLagging(revision uint64, now time.Time) bool {
	at, ok := e.seenAt[revision+1]
	return ok && now.Sub(at) > ackTimeout
}

// updateInForce removes expired leases and raises the revision in force to the
// highest one that all holders have acknowledged. It returns how long each
// revision took that came into force.
func (e *epoch) updateInForce(now time.Time) (took []time.Duration) {
	acked := e.latest
	for id, h := range e.holders {
		if !now.Before(h.expires) {
			delete(e.holders, id)
			e.expired = append(e.expired, expiredLease{h.name, h.acked, now})
			continue
		}
		acked = min(acked, h.acked)
	}
	for len(e.expired) > 0 && now.Sub(e.expired[0].expiredAt) > expiredRetention {
		e.expired = e.expired[1:]
	}
	ready := !now.Before(e.elected.Add(ident.GuardedLeaseDuration))
	if !ready || (e.predecessorExpired && acked <= e.inForce) {
		return nil
	}
	for r := e.inForce + 1; r <= acked; r++ {
		took = append(took, now.Sub(e.seenAt[r]))
		delete(e.seenAt, r)
	}
	e.predecessorExpired, e.inForce = true, max(e.inForce, acked)
	close(e.changed)
	e.changed = make(chan struct{})
	return took
}

// watchLeases periodically removes expired leases and updates the revision in
// force.
func (n *Node) watchLeases(ctx context.Context) error {
	const interval = 10 * time.Millisecond // adds to the time until a change is in force
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.checkLeases()
		}
	}
}

// checkLeases ends the epoch if this node was deposed or elected again, and
// otherwise updates the revision in force.
func (n *Node) checkLeases() {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.epoch
	if e == nil {
		return
	}
	if !n.consensus.ElectedAt().Equal(e.elected) {
		n.endEpoch()
		return
	}
	if !n.isLeading(e) {
		return // a deposed leader must not expire leases
	}
	now := time.Now()
	e.recordRevisions(n.ledger.Revision(), now)
	n.updateInForce(e, now)
}

// updateInForce updates the revision in force of the epoch and the metrics. It
// must be called with n.mu held.
func (n *Node) updateInForce(e *epoch, now time.Time) {
	first := !e.predecessorExpired
	for _, d := range e.updateInForce(now) {
		n.metrics.inForce.Observe(d.Seconds())
	}
	if first && e.predecessorExpired {
		n.expireUnrenewed(e, now)
	}
}

// endEpoch discards the state of the current epoch. It must be called with n.mu
// held.
func (n *Node) endEpoch() {
	if n.epoch == nil {
		return
	}
	klog.InfoS("Stopped leading the state cluster", "holders", len(n.epoch.holders))
	close(n.epoch.changed)
	n.epoch = nil
}

// expireUnrenewed adds to the expired leases the incarnations that may have
// held a lease from the predecessor and did not renew it here.
func (n *Node) expireUnrenewed(e *epoch, now time.Time) {
	for _, r := range n.ledger.ActiveIncarnations() {
		if !e.renewedHere[r.GetIncarnation()] {
			e.expired = append(e.expired, expiredLease{r.GetName(), 0, now})
		}
	}
}

// waitInForce waits until a revision is in force everywhere or the timeout of
// the query ends.
func (n *Node) waitInForce(ctx context.Context, q *wire.WaitQuery) (*wire.Waited, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.GetTimeout())*time.Millisecond)
	defer cancel()
	e, err := n.currentEpoch(ctx)
	if err != nil {
		return nil, err
	}
	for {
		n.mu.Lock()
		if n.epoch != e {
			n.mu.Unlock()
			return nil, n.notLeaderError()
		}
		done := e.predecessorExpired && e.inForce >= q.GetRevision() && n.isLeading(e)
		changed := e.changed
		answer := e.waitStatus(q.GetRevision(), start)
		n.mu.Unlock()
		if done {
			answer.Done, answer.Missing = true, nil
			return answer, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return answer, nil
		}
	}
}

// waitStatus names the holders whose leases expired before they acknowledged a
// revision, and those that have not acknowledged it yet.
func (e *epoch) waitStatus(revision uint64, start time.Time) *wire.Waited {
	w := &wire.Waited{Elapsed: uint32(time.Since(start) / time.Millisecond)}
	for _, x := range e.expired {
		if x.acked < revision && !slices.Contains(w.Expired, x.name) {
			w.Expired = append(w.Expired, x.name)
		}
	}
	for _, h := range e.holders {
		if h.acked < revision {
			w.Missing = append(w.Missing, h.name)
		}
	}
	slices.Sort(w.Expired)
	slices.Sort(w.Missing)
	return w
}
