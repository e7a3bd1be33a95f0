package node

import (
	"context"

	"k8s.io/klog/v2"

	"citronledge.example/state/raft"
)

// releaseVoter removes a process that is about to stop from the voters where the
// others bear more losses without its vote. It asks to join again when it is
// back. The error is that of a node that does not lead, or of the change.
func (n *Node) releaseVoter(ctx context.Context, name string) error {
	if !n.consensus.HoldsLease() {
		return n.notLeaderError()
	}
	if !mayRelease(n.consensus.Status().Members, name, n.link.Name, n.targetVoters) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	err := n.membership.Remove(ctx, name)
	klog.InfoS("Membership change", "member", name, "why", "it stops, and the other voters are enough", "err", err)
	return err
}

// mayRelease reports whether the cluster bears more losses without the vote of a
// voter that stops.
func mayRelease(members []raft.MemberStatus, name, self string, targetVoters int) bool {
	voters, others := 0, 0 // others: live voters without the one that stops
	known := false
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		switch {
		case m.Name == name:
			known = true
		case m.Live || m.Name == self:
			others++
		}
	}
	return known && name != self && deadVotersWeaken(voters, others, targetVoters)
}
