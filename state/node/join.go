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
	// joinFresh is how long an announcement of a joining process counts; it
	// is repeated every JoinInterval.
	joinFresh = 3 * time.Second
	// JoinInterval is the interval of the announcements.
	JoinInterval = 500 * time.Millisecond
	// deadAfter is how long a voter must be silent before a learner takes its
	// seat. A restart or a freeze of a VM is usually shorter.
	deadAfter = 4 * time.Second
	// staleAfter is how long a learner may be silent before it is removed.
	staleAfter = 15 * time.Second
	// repairEvery is the interval of the checks of the membership.
	repairEvery = 250 * time.Millisecond
)

// WithJoiningVoters lets the leader take processes into the cluster that ask for it,
// up to a number of voters. A voter is replaced when its disk was, or when it
// is silent for long and a learner has caught up.
func WithJoiningVoters(r MembershipChanger, voters int) Option {
	return func(n *Node) { n.roster, n.voters = r, voters }
}

// candidate is a process that asked to join.
type candidate struct {
	raft.Member
	at time.Time
}

// joins notes the announcement of a process; only the leader acts on it.
func (n *Node) joins(q *wire.Join) error {
	if n.voters == 0 {
		return fault.New(fault.Forbidden, "this cluster takes in only the peers of its settings; add the process to --peers")
	}
	if q.GetName() == "" || q.GetAddr() == "" || q.GetDisk() == "" {
		return fault.New(fault.Invalid, "a joining process needs a name, an address and the identity of its disk")
	}
	if !n.cons.HoldsLease() {
		return n.notLeader()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.candidates[q.GetName()]; !known {
		klog.InfoS("A state process asks to join", "member", q.GetName(), "addr", q.GetAddr(), "disk", q.GetDisk())
	}
	n.candidates[q.GetName()] = candidate{raft.Member{Name: q.GetName(), Addr: q.GetAddr(), DiskID: q.GetDisk()}, time.Now()}
	return nil
}

// admit makes the membership follow the processes that exist, one change at a
// time.
func (n *Node) admit(ctx context.Context) error {
	tick := time.NewTicker(repairEvery)
	defer tick.Stop()
	quiet := map[string]time.Time{} // members that do not answer, since when
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if !n.cons.HoldsLease() {
			clear(quiet)
			continue
		}
		now := time.Now()
		members := n.cons.Status().Members
		for _, m := range members {
			_, was := quiet[m.Name]
			switch {
			case m.Live || m.Name == n.link.Name:
				delete(quiet, m.Name)
			case !was:
				quiet[m.Name] = now
			}
		}
		name, why, act := nextSeat(members, n.waiting(now), quiet, n.link.Name, n.voters, now)
		if act == nil {
			continue
		}
		limit, cancel := context.WithTimeout(ctx, repairTime)
		err := act(limit, n.roster)
		cancel()
		klog.InfoS("Membership change", "member", name, "why", why, "err", err)
	}
}

// waiting returns the processes that asked to join lately.
func (n *Node) waiting(now time.Time) []raft.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []raft.Member
	for name, c := range n.candidates {
		if now.Sub(c.at) > joinFresh {
			delete(n.candidates, name)
			continue
		}
		list = append(list, c.Member)
	}
	return list
}

// seatChange is one step of the membership.
type seatChange func(ctx context.Context, r MembershipChanger) error

// nextSeat decides the next change of the membership. A member whose address a
// process with another disk uses is gone for good, since that process never
// returns under the old name. Other members are removed only for a successor.
func nextSeat(members []raft.MemberStatus, waiting []raft.Member, quiet map[string]time.Time, self string, voters int, now time.Time) (name, why string, act seatChange) {
	remove := func(name, why string) (string, string, seatChange) {
		return name, why, func(ctx context.Context, r MembershipChanger) error { return r.Remove(ctx, name) }
	}
	known := map[string]bool{}
	seats := 0
	var ready, dead string
	for _, m := range members {
		known[m.Name] = true
		since, silent := quiet[m.Name]
		switch {
		case m.Voter:
			seats++
			if silent && now.Sub(since) >= deadAfter {
				dead = m.Name
			}
		case m.Live && ready == "":
			ready = m.Name
		case silent && now.Sub(since) >= staleAfter:
			return remove(m.Name, "the learner is silent")
		}
	}
	for _, w := range waiting {
		for _, m := range members {
			if m.Addr == w.Addr && m.Name != w.Name && m.Name != self && !m.Live {
				return remove(m.Name, "its disk was replaced")
			}
		}
	}
	for _, w := range waiting {
		if !known[w.Name] {
			return w.Name, "it asked to join", func(ctx context.Context, r MembershipChanger) error { return r.AddLearner(ctx, w) }
		}
	}
	switch {
	case ready == "":
		return "", "", nil
	case seats < voters:
		return ready, "a seat is free", func(ctx context.Context, r MembershipChanger) error { return r.Promote(ctx, ready) }
	case dead != "":
		return remove(dead, "it is silent and a learner can take its seat")
	}
	return "", "", nil
}
