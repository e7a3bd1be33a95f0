package raft

import (
	"maps"
	"slices"
)

// A quorum of a membership is a majority of its voters. If their number is even,
// half of them are a quorum too, once each of this half has outlived the disk of
// one and the same voter.
//
// Any two quorums have a voter in common: together they have more voters than
// there are, unless both are halves. The two halves would be all voters, so each
// would have the voter whose disk the other half has outlived. Each of these two
// disks would then have been in use after the other one was lost.
//
// docs/design/quorum.md has the whole argument.

// hasQuorum reports whether f is true for a quorum of the voters.
func (n *Node) hasQuorum(f func(m Member) bool) bool {
	for _, r := range n.quorumRosters() {
		if !n.isQuorum(r.roster, f) {
			return false
		}
	}
	return len(n.rosters) > 0
}

// quorumRosters returns the memberships of which a quorum is needed: the one in
// effect and, unless that one is known to be committed, the one before.
func (n *Node) quorumRosters() []rosterAtIndex {
	last := len(n.rosters) - 1
	if last <= 0 || n.rosters[last].settled || n.rosters[last].index <= n.commitIndex {
		return n.rosters[max(0, last):]
	}
	return n.rosters[last-1:]
}

// isQuorum reports whether f is true for a quorum of the voters of a membership.
func (n *Node) isQuorum(roster []Member, f func(m Member) bool) bool {
	voters, yes := 0, 0
	for _, m := range roster {
		if !m.Voter {
			continue
		}
		voters++
		if f(m) {
			yes++
		}
	}
	if voters == 0 || 2*yes != voters {
		return 2*yes > voters
	}
	return slices.ContainsFunc(roster, func(lost Member) bool {
		return lost.Voter && !slices.ContainsFunc(roster, func(m Member) bool {
			return m.Voter && f(m) && !n.hasOutlived(m, lost.DiskID)
		})
	})
}

// isMajority reports whether f is true for a majority of the voters.
func isMajority(roster []Member, f func(m Member) bool) bool {
	voters, yes := 0, 0
	for _, m := range roster {
		if !m.Voter {
			continue
		}
		voters++
		if f(m) {
			yes++
		}
	}
	return yes > voters/2
}

// quorumValue returns the highest value that a quorum of the voters has reached.
func (n *Node) quorumValue(value func(m Member) int64) int64 {
	var list []int64
	for _, r := range n.quorumRosters() {
		for _, m := range r.roster {
			if m.Voter {
				list = append(list, value(m))
			}
		}
	}
	slices.Sort(list)
	for _, v := range slices.Backward(list) {
		if n.hasQuorum(func(m Member) bool { return value(m) >= v }) {
			return v
		}
	}
	return 0
}

// hasOutlived reports whether the disk of a member is known to have been in use
// when another disk was lost for good.
func (n *Node) hasOutlived(m Member, lost string) bool {
	return slices.Contains(n.outlived[m.DiskID], lost)
}

// recordOutlived records what the sender of a packet knows of lost disks. The
// disk of this node has outlived them too, as it is in use now.
func (n *Node) recordOutlived(p *Packet) {
	if len(p.Outlived) == 0 {
		return
	}
	n.outlived[p.Source] = p.Outlived
	for _, disk := range p.Outlived {
		n.recordLoss(disk)
	}
}

// recordLoss records that a disk is lost for good.
func (n *Node) recordLoss(disk string) {
	own := n.store.DiskID()
	if disk != own && !slices.Contains(n.outlived[own], disk) {
		// Packets share the list, so that it must not be changed in place.
		n.outlived[own] = append(slices.Clip(n.outlived[own]), disk)
	}
}

// forgetLosses forgets the disks that are in no membership any more.
func (n *Node) forgetLosses() {
	isGone := func(disk string) bool {
		return !slices.ContainsFunc(n.rosters, func(r rosterAtIndex) bool {
			return slices.ContainsFunc(r.roster, func(m Member) bool { return m.DiskID == disk })
		})
	}
	own := n.store.DiskID()
	maps.DeleteFunc(n.outlived, func(disk string, _ []string) bool { return disk != own && isGone(disk) })
	n.outlived[own] = slices.DeleteFunc(slices.Clone(n.outlived[own]), isGone)
}

// diskCheck is a question to the address of a voter: which disk does the process
// there use?
type diskCheck struct {
	member Member
	ticket uint64
}

// checkDisks asks at the addresses of the other voters whether a disk was lost.
func (n *Node) checkDisks() {
	n.diskChecks = n.diskChecks[:0]
	for _, m := range n.roster() {
		if !m.Voter || m.Name == n.name || slices.Contains(n.outlived[n.store.DiskID()], m.DiskID) {
			continue
		}
		n.lastTicket++
		n.diskChecks = append(n.diskChecks, diskCheck{m, n.lastTicket})
		p := n.newPacket(Kind_PROBE, m)
		p.Ticket = n.lastTicket
		n.transport.Send(m, p)
	}
}

// recordDiskCheck records the answer to a probe. A process with another disk at a
// voter's address shows that the voter's disk is lost, if the question was asked
// when the voter was already known: the answer cannot be from an earlier process
// at that address then.
func (n *Node) recordDiskCheck(p *Packet) {
	for _, c := range n.diskChecks {
		if p.Ticket == c.ticket && p.Addr == c.member.Addr && p.Source != "" && p.Source != c.member.DiskID {
			n.recordLoss(c.member.DiskID)
		}
	}
}
