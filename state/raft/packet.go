package raft

import "time"

// newPacket returns a packet with the fields that are common to all kinds.
func (n *Node) newPacket(kind Kind, to Member) *Packet {
	return &Packet{
		Kind: kind, From: n.name, Addr: n.addr, To: to.Name,
		Source: n.store.DiskID(), Target: to.DiskID, Cluster: n.store.HardState().ClusterID,
		Term: n.term, Stamp: n.stamp(), Unpacks: true, Outlived: n.outlived[n.store.DiskID()],
	}
}

// newAnswer returns a packet of the given kind that answers p.
func (n *Node) newAnswer(kind Kind, p *Packet) *Packet {
	a := n.newPacket(kind, senderOf(p))
	a.Stamp = p.Stamp
	if a.Cluster == "" && kind != Kind_PROBED {
		// A blank disk answers a pre-vote without joining the cluster yet.
		a.Cluster = p.Cluster
	}
	return a
}

func senderOf(p *Packet) Member { return Member{Name: p.From, Addr: p.Addr, DiskID: p.Source} }

// sendAfterSync queues a packet that is sent once the current batch is
// durable.
func (n *Node) sendAfterSync(to Member, p *Packet) { n.outbox = append(n.outbox, outgoing{to, p}) }

func (n *Node) reply(p, a *Packet) {
	a.Term = max(a.Term, n.term)
	n.sendAfterSync(senderOf(p), a)
}

// stamp returns the time since this node was created, in nanoseconds.
func (n *Node) stamp() int64 { return int64(time.Since(n.startTime)) }

// isAddressee reports whether a packet is addressed to this disk and, if it is
// an answer, comes from the disk that was asked. A replaced disk is rejected
// here: its answers would count for entries and votes that were lost with the
// old disk.
func (n *Node) isAddressee(p *Packet) bool {
	switch {
	case p.From == n.name:
		return false
	case p.Kind == Kind_PROBE:
		return true // it may ask for the member that used this address before
	case p.To != n.name:
		return false
	case p.Kind == Kind_PROBED:
		return true
	}
	cluster := n.store.HardState().ClusterID
	if p.Target != n.store.DiskID() || p.Cluster == "" || cluster != "" && cluster != p.Cluster {
		return false
	}
	switch p.Kind {
	case Kind_PREVOTED, Kind_VOTED, Kind_APPENDED, Kind_CHUNKED:
		m, ok := n.findMember(p.From)
		return ok && m.DiskID == p.Source
	}
	// A request may come from a member whose replacement is not yet in the
	// local log. Following it is safe, because a disk leads or campaigns only
	// under a membership that lists it as a voter.
	return true
}

func (n *Node) handlePacket(p *Packet) {
	if n.err != nil || !n.isAddressee(p) {
		return
	}
	n.recordOutlived(p)
	switch p.Kind {
	case Kind_PREVOTE:
		n.onPreVote(p)
	case Kind_VOTE:
		n.onVote(p)
	case Kind_PREVOTED, Kind_VOTED:
		n.onVoted(p)
	case Kind_APPEND:
		if n.acceptLeader(p, Kind_APPENDED) {
			n.onAppend(p)
		}
	case Kind_CHUNK:
		if n.acceptLeader(p, Kind_CHUNKED) {
			n.onChunk(p)
		}
	case Kind_APPENDED, Kind_CHUNKED:
		n.onAnswer(p)
	case Kind_CAMPAIGN:
		if p.Term == n.term && n.role == Follower && n.isVoter() {
			n.campaign(true)
		}
	case Kind_READ:
		n.onRead(p)
	case Kind_READY:
		n.onReady(p)
	case Kind_PROBE:
		n.onProbe(p)
	case Kind_PROBED:
		n.lastProbes[p.From] = p
		n.recordDiskCheck(p)
	}
}

// acceptLeader follows the sender of a packet as the leader of its term and
// reports whether the packet may be handled. It answers a packet of an earlier
// term with the current one.
func (n *Node) acceptLeader(p *Packet, kind Kind) bool {
	if p.Term < n.term {
		a := n.newAnswer(kind, p)
		// The sender may lead again since a restart. Its clock began anew then, so
		// a stamp of before would extend its lease.
		a.Reject, a.Stamp = true, neverStamp
		n.reply(p, a)
		return false
	}
	if !n.adoptTerm(p.Term, p.Cluster) {
		return false
	}
	n.becomeFollower(p.Term, p.From)
	n.lastLeaderContact = time.Now()
	n.resetElectionTimer()
	return true
}
