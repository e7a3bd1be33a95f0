package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

const (
	// joinRequestTTL is how long a request to join is valid; the process
	// repeats it every JoinInterval.
	joinRequestTTL = 3 * time.Second
	// JoinInterval is the interval at which a joining process repeats its
	// request.
	JoinInterval = 500 * time.Millisecond
	// voterReplaceAfter is how long a voter must be unreachable before a
	// learner replaces it. A restart or a pause of a VM is usually shorter.
	voterReplaceAfter = 4 * time.Second
	// deadVoterAfter is how long a voter must be unreachable to be given up
	// without a learner in its place where that lets fewer processes form a
	// quorum. A network partition is usually shorter.
	deadVoterAfter = 15 * time.Second
	// learnerRemoveAfter is how long a learner may be unreachable before it is
	// removed.
	learnerRemoveAfter      = 15 * time.Second
	membershipCheckInterval = 250 * time.Millisecond
	// maxVoters limits the voters. Up to it, each process with a disk votes:
	// wherever the network is cut, most of the processes are then a quorum.
	maxVoters = 9
)

// WithJoiningVoters lets the leader add processes that ask to join, up to a
// number of voters. A voter is replaced when its disk was replaced, or when it
// has long been unreachable and a learner has caught up or enough other voters
// are live.
func WithJoiningVoters(m MembershipChanger, voters int) Option {
	return func(n *Node) { n.membership, n.targetVoters = m, voters }
}

// joinRequest is the last request of a process to join.
type joinRequest struct {
	raft.Member
	receivedAt time.Time
}

// recordJoinRequest records that a process asked to join. It fails on a node
// that does not lead, since only the leader acts on requests.
func (n *Node) recordJoinRequest(q *wire.Join) error {
	if n.targetVoters == 0 {
		return fault.New(fault.Forbidden, "this cluster takes in only the peers of its settings; add the process to --peers")
	}
	if q.GetName() == "" || q.GetAddr() == "" || q.GetDisk() == "" {
		return fault.New(fault.Invalid, "a joining process needs a name, an address and the identity of its disk")
	}
	if !n.consensus.HoldsLease() {
		return n.notLeaderError()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.joinRequests[q.GetName()]; !known {
		klog.InfoS("State process asked to join", "member", q.GetName(), "addr", q.GetAddr(), "disk", q.GetDisk())
	}
	n.joinRequests[q.GetName()] = joinRequest{raft.Member{Name: q.GetName(), Addr: q.GetAddr(), DiskID: q.GetDisk()}, time.Now()}
	return nil
}

// reconcileVoters adjusts the membership to the processes that exist, one
// change at a time.
func (n *Node) reconcileVoters(ctx context.Context) error {
	tick := time.NewTicker(membershipCheckInterval)
	defer tick.Stop()
	silentSince := map[string]time.Time{} // when each unreachable member stopped answering
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if !n.consensus.HoldsLease() {
			clear(silentSince)
			continue
		}
		now := time.Now()
		members := n.consensus.Status().Members
		for _, m := range members {
			_, known := silentSince[m.Name]
			switch {
			case m.Live || m.Name == n.link.Name:
				delete(silentSince, m.Name)
			case !known:
				silentSince[m.Name] = now
			}
		}
		name, why, act := nextMembershipChange(members, n.pendingJoins(now), silentSince, n.link.Name, n.targetVoters, now)
		if act == nil {
			continue
		}
		changeCtx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
		err := act(changeCtx, n.membership)
		cancel()
		klog.InfoS("Membership change", "member", name, "why", why, "err", err)
	}
}

// pendingJoins returns the processes whose requests to join are still valid,
// and deletes the other requests.
func (n *Node) pendingJoins(now time.Time) []raft.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []raft.Member
	for name, req := range n.joinRequests {
		if now.Sub(req.receivedAt) > joinRequestTTL {
			delete(n.joinRequests, name)
			continue
		}
		list = append(list, req.Member)
	}
	return list
}

// membershipChange applies one change of the membership.
type membershipChange func(ctx context.Context, r MembershipChanger) error

// nextMembershipChange decides the next change of the membership and gives the
// reason; act is nil if nothing is to change. A member whose address is used by
// a process with another disk has failed for good, since that process never
// returns under the old name. Other voters are removed only when a learner can
// replace them, or when the live voters tolerate more losses without them. A
// learner becomes a voter while there are fewer than targetVoters, and up to
// maxVoters as long as no voter has to be replaced.
func nextMembershipChange(members []raft.MemberStatus, joining []raft.Member, silentSince map[string]time.Time, self string, targetVoters int, now time.Time) (name, why string, act membershipChange) {
	remove := func(name, why string) (string, string, membershipChange) {
		return name, why, func(ctx context.Context, r MembershipChanger) error { return r.Remove(ctx, name) }
	}
	known := map[string]bool{}
	var voters, liveVoters int
	var learner, silentVoter string
	var silence time.Duration // of silentVoter
	for _, m := range members {
		known[m.Name] = true
		since, silent := silentSince[m.Name]
		switch {
		case m.Voter:
			voters++
			if m.Live || m.Name == self {
				liveVoters++
			}
			if d := now.Sub(since); silent && d >= voterReplaceAfter && d > silence {
				silentVoter, silence = m.Name, d
			}
		case m.Live && learner == "":
			learner = m.Name
		case silent && now.Sub(since) >= learnerRemoveAfter:
			return remove(m.Name, "the learner is silent")
		}
	}
	for _, w := range joining {
		for _, m := range members {
			if m.Addr == w.Addr && m.Name != w.Name && m.Name != self && !m.Live {
				return remove(m.Name, "its disk was replaced")
			}
		}
	}
	for _, w := range joining {
		if !known[w.Name] {
			return w.Name, "it asked to join", func(ctx context.Context, r MembershipChanger) error { return r.AddLearner(ctx, w) }
		}
	}
	promote := func(why string) (string, string, membershipChange) {
		return learner, why, func(ctx context.Context, r MembershipChanger) error { return r.Promote(ctx, learner) }
	}
	switch {
	case learner != "" && voters < targetVoters:
		return promote("a seat is free")
	case learner != "" && silentVoter != "":
		return remove(silentVoter, "it is silent and a learner can take its seat")
	case silentVoter != "" && (voters%2 == 0 || silence >= deadVoterAfter) && deadVotersWeaken(voters, liveVoters, targetVoters):
		return remove(silentVoter, "it is silent and the other voters are enough")
	case learner != "" && voters < maxVoters && liveVoters == voters:
		return promote("each disk votes")
	}
	return "", "", nil
}

// deadVotersWeaken reports whether the cluster would stop after fewer losses
// than targetVoters tolerate because voters that do not answer count for its
// quorum, and whether the live ones are enough without them. To remove one from
// an even number of voters is safe even if it is only cut off: each side of a
// partition with more than half of all processes still has a quorum.
func deadVotersWeaken(voters, liveVoters, targetVoters int) bool {
	quorum := voters/2 + 1
	return liveVoters >= targetVoters && liveVoters-quorum < targetVoters/2
}
