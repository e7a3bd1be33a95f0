package raft

import "time"

// packet returns a packet with the fields that all kinds share.
func (n *Node) packet(kind Kind, to Member) *Packet {
	return &Packet{
		Kind: kind, From: n.name, Addr: n.addr, To: to.Name,
		Source: n.store.DiskID(), Target: to.DiskID, Cluster: n.store.HardState().ClusterID,
		Term: n.term, Stamp: n.stamp(),
	}
}

// answer returns a packet that answers p.
func (n *Node) answer(kind Kind, p *Packet) *Packet {
	a := n.packet(kind, sender(p))
	a.Stamp = p.Stamp
	if a.Cluster == "" && kind != Kind_PROBED {
		// A blank disk answers a pre-vote without joining the cluster yet.
		a.Cluster = p.Cluster
	}
	return a
}

func sender(p *Packet) Member { return Member{Name: p.From, Addr: p.Addr, DiskID: p.Source} }

// later sends a packet once the current batch is durable.
func (n *Node) later(to Member, p *Packet) { n.out = append(n.out, outgoing{to, p}) }

func (n *Node) reply(p, a *Packet) {
	a.Term = max(a.Term, n.term)
	n.later(sender(p), a)
}

// stamp returns the time by the clock of this run of the node.
func (n *Node) stamp() int64 { return int64(time.Since(n.start)) }

// meant tells whether a packet is for this disk and, if it is an answer, from
// the disk that was asked. A disk that was replaced is refused here: its
// answers would count for entries and votes that it lost.
func (n *Node) meant(p *Packet) bool {
	if p.To != n.name || p.From == n.name {
		return false
	}
	if p.Kind == Kind_PROBE || p.Kind == Kind_PROBED {
		return true
	}
	cluster := n.store.HardState().ClusterID
	if p.Target != n.store.DiskID() || p.Cluster == "" || cluster != "" && cluster != p.Cluster {
		return false
	}
	switch p.Kind {
	case Kind_PREVOTED, Kind_VOTED, Kind_APPENDED, Kind_CHUNKED:
		m, ok := n.find(p.From)
		return ok && m.DiskID == p.Source
	}
	// A request may come from a member whose repair this one has not learnt
	// of yet. It is safe to obey, because a disk leads or campaigns only by
	// a membership that names it as voter.
	return true
}

func (n *Node) receive(p *Packet) {
	if n.err != nil || !n.meant(p) {
		return
	}
	switch p.Kind {
	case Kind_PREVOTE:
		n.onPreVote(p)
	case Kind_VOTE:
		n.onVote(p)
	case Kind_PREVOTED, Kind_VOTED:
		n.onVoted(p)
	case Kind_APPEND:
		if n.obey(p, Kind_APPENDED) {
			n.onAppend(p)
		}
	case Kind_CHUNK:
		if n.obey(p, Kind_CHUNKED) {
			n.onChunk(p)
		}
	case Kind_APPENDED, Kind_CHUNKED:
		n.onAnswer(p)
	case Kind_CAMPAIGN:
		if p.Term == n.term && n.role == Follower && n.voter() {
			n.campaign(true)
		}
	case Kind_READ:
		n.onRead(p)
	case Kind_READY:
		n.onReady(p)
	case Kind_PROBE:
		n.onProbe(p)
	case Kind_PROBED:
		n.seen[p.From] = p
	}
}

// obey accepts the sender of a packet as the leader, or answers with the
// higher term.
func (n *Node) obey(p *Packet, kind Kind) bool {
	if p.Term < n.term {
		a := n.answer(kind, p)
		a.Reject = true
		n.reply(p, a)
		return false
	}
	if !n.adopt(p.Term, p.Cluster) {
		return false
	}
	n.follow(p.Term, p.From)
	n.heard = time.Now()
	n.rest()
	return true
}
