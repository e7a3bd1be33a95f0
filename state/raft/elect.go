package raft

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/state/store"
)

// rest draws the next election timeout.
func (n *Node) rest() {
	e := n.timings.ElectionTimeout
	n.deadline = time.Now().Add(e + time.Duration(n.rng.Int64N(int64(e))))
}

func (n *Node) tick() {
	now := time.Now()
	if !now.Before(n.beat) {
		n.beat = now.Add(n.timings.HeartbeatInterval)
		switch {
		case n.role == Leader:
			n.heartbeat()
		case n.store.IsBlank():
			n.probe()
		}
	}
	if now.Before(n.deadline) {
		return
	}
	switch {
	case n.role == Leader:
		n.check(now)
	case n.voter():
		n.canvass()
	default:
		n.rest()
	}
}

// check steps down when no majority answered within one election timeout, so
// that a leader that is cut off does not keep its callers waiting.
func (n *Node) check(now time.Time) {
	lost := n.start.Add(time.Duration(n.quorumStamp())).Add(n.timings.ElectionTimeout)
	if now.Before(lost) {
		n.deadline = lost
		return
	}
	klog.V(1).InfoS("no majority answers, stepping down", "member", n.name, "term", n.term)
	n.follow(n.term, "")
}

// saveMeta makes a term and a vote durable. A full disk leaves them as they
// were; the caller then takes no part in the election.
func (n *Node) saveMeta(m store.HardState) bool {
	if n.store.HardState() == m {
		return true
	}
	err := n.store.SaveHardState(m)
	if err == nil {
		return true
	}
	var full *store.DiskFull
	if !errors.As(err, &full) {
		n.err = err
	}
	klog.ErrorS(err, "cannot save the vote", "member", n.name)
	return false
}

// adopt enters a higher term. It returns false if the disk refuses.
func (n *Node) adopt(term uint64, cluster string) bool {
	m := n.store.HardState()
	if m.ClusterID == "" {
		m.ClusterID = cluster
	}
	if term > m.Term {
		m.Term, m.Vote = term, ""
	}
	if !n.saveMeta(m) {
		return false
	}
	if term > n.term {
		n.follow(term, "")
	}
	return true
}

// follow makes the node a follower in a term that is already durable.
func (n *Node) follow(term uint64, leader string) {
	if n.role == Leader {
		n.abandon()
	}
	if n.role != Follower || term != n.term {
		n.rest()
	}
	n.role, n.term, n.leader = Follower, term, leader
	n.elected, n.votes = time.Time{}, nil
}

// abandon ends the duties of a leader: the outcome of its pending proposals
// is unknown from now on.
func (n *Node) abandon() {
	for i, p := range n.pending {
		p.finish(nil, OutcomeUnknown{})
		delete(n.pending, i)
	}
	for _, r := range n.replicas {
		r.endSnapshot()
	}
	n.replicas = nil
	if n.handover != nil {
		close(n.handover.done)
		n.handover = nil
	}
}

// canvass starts a pre-vote: it raises no term, so a member that was cut off
// does not disturb the others when it returns.
func (n *Node) canvass() {
	n.rest()
	n.role, n.leader = PreCandidate, ""
	n.votes = map[string]bool{n.name: true}
	n.request(Kind_PREVOTE, n.term+1, false)
	if n.elects() {
		n.campaign(false)
	}
}

func (n *Node) campaign(transfer bool) {
	n.rest()
	if !n.saveMeta(store.HardState{Term: n.term + 1, Vote: n.name, ClusterID: n.store.HardState().ClusterID}) {
		n.follow(n.term, "")
		return
	}
	n.term++
	n.role, n.leader = Candidate, ""
	n.votes = map[string]bool{n.name: true}
	n.request(Kind_VOTE, n.term, transfer)
	if n.elects() {
		n.lead()
	}
}

// request asks the other voters for their votes.
func (n *Node) request(kind Kind, term uint64, transfer bool) {
	last := n.store.LastIndex()
	mark, _ := n.store.Term(last)
	for _, m := range n.roster() {
		if !m.Voter || m.Name == n.name {
			continue
		}
		p := n.packet(kind, m)
		p.Term, p.Index, p.Mark, p.Transfer = term, last, mark, transfer
		n.later(m, p)
	}
}

func (n *Node) elects() bool {
	return n.majority(func(m Member) bool { return n.votes[m.Name] })
}

// sticky tells whether a leader was heard of so recently that its lease may
// still hold.
func (n *Node) sticky() bool {
	return n.role == Leader || time.Since(n.heard) < n.timings.ElectionTimeout
}

// current tells whether the log of a candidate is at least as new as ours.
func (n *Node) current(p *Packet) bool {
	last := n.store.LastIndex()
	mark, _ := n.store.Term(last)
	return p.Mark > mark || p.Mark == mark && p.Index >= last
}

func (n *Node) onPreVote(p *Packet) {
	a := n.answer(Kind_PREVOTED, p)
	a.Term = p.Term
	if p.Term <= n.term || n.sticky() || !n.current(p) {
		a.Term, a.Reject = n.term, true
	}
	n.reply(p, a)
}

func (n *Node) onVote(p *Packet) {
	// Only the leader itself may ask for an election while its lease may
	// hold; it gave up its lease before.
	if p.Term > n.term && n.sticky() && !p.Transfer {
		return
	}
	if p.Term > n.term && !n.adopt(p.Term, p.Cluster) {
		return
	}
	a := n.answer(Kind_VOTED, p)
	m := n.store.HardState()
	free := m.Vote == "" || m.Vote == p.From
	a.Reject = p.Term < n.term || !free || !n.current(p)
	if !a.Reject {
		m.Vote = p.From
		if !n.saveMeta(m) {
			return
		}
		n.rest()
	}
	n.reply(p, a)
}

func (n *Node) onVoted(p *Packet) {
	if p.Term > n.term && (p.Reject || p.Kind == Kind_VOTED) {
		n.adopt(p.Term, p.Cluster)
		return
	}
	if p.Reject {
		return
	}
	switch {
	case p.Kind == Kind_PREVOTED && n.role == PreCandidate && p.Term == n.term+1:
		n.votes[p.From] = true
		if n.elects() {
			n.campaign(false)
		}
	case p.Kind == Kind_VOTED && n.role == Candidate && p.Term == n.term:
		n.votes[p.From] = true
		if n.elects() {
			n.lead()
		}
	}
}

// lead makes the node the leader of its term.
func (n *Node) lead() {
	now := time.Now()
	started := store.Entry{Index: n.store.LastIndex() + 1, Term: n.term, Kind: kindEmpty}
	if err := n.append(started); err != nil {
		// A leader that cannot write is of no use.
		n.follow(n.term, "")
		return
	}
	klog.V(1).InfoS("elected", "member", n.name, "term", n.term)
	n.role, n.leader, n.elected = Leader, n.name, now
	n.started = started.Index
	n.replicas = map[string]*replica{}
	n.enrol()
	n.beat = now.Add(n.timings.HeartbeatInterval)
	n.deadline = now.Add(n.timings.ElectionTimeout)
}
