package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/state/raft"
)

const membershipChangeTimeout = time.Second

// MembershipChanger changes the membership of the state cluster; raft.Node
// implements it.
type MembershipChanger interface {
	AddLearner(ctx context.Context, m raft.Member) error
	Promote(ctx context.Context, name string) error
	Remove(ctx context.Context, name string) error
}

// reconcileFixedPeers adjusts the membership to the peers of the settings, one
// change at a time: a member whose disk was replaced is removed and joins again
// as a learner, and a learner that has caught up becomes a voter. A member that
// the settings do not name stays, and so does one that is only unreachable.
func (n *Node) reconcileFixedPeers(ctx context.Context) error {
	tick := time.NewTicker(leaderTaskInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if !n.consensus.HoldsLease() {
			continue
		}
		if name, act := n.nextFixedPeerChange(); act != nil {
			ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
			err := act(ctx)
			cancel()
			klog.InfoS("Membership change", "member", name, "err", err)
		}
	}
}

// nextFixedPeerChange returns the next change and the member that it concerns;
// act is nil if nothing is to change.
func (n *Node) nextFixedPeerChange() (name string, act func(context.Context) error) {
	known := map[string]bool{}
	var replaced, learner string
	unreachable := 0
	for _, m := range n.consensus.Status().Members {
		known[m.Name] = true
		switch {
		case m.ReportedDiskID != "" && m.ReportedDiskID != m.DiskID:
			replaced = m.Name
		case !m.Voter && m.Live:
			learner = m.Name
		case m.Voter && !m.Live && m.Name != n.link.Name:
			unreachable++
		}
	}
	switch {
	case replaced != "" && unreachable == 0: // otherwise one more loss would stop the cluster
		return replaced, func(ctx context.Context) error { return n.membership.Remove(ctx, replaced) }
	case learner != "":
		return learner, func(ctx context.Context) error { return n.membership.Promote(ctx, learner) }
	}
	for _, p := range n.fixedPeers {
		if !known[p.Name] {
			return p.Name, func(ctx context.Context) error {
				return n.membership.AddLearner(ctx, raft.Member{Name: p.Name, Addr: p.Addr})
			}
		}
	}
	return "", nil
}
