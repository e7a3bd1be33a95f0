package raft

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/state/store"
)

// rest draws the next election timeout.
func (n *Node) rest() {
	e := n.timings.Election
	n.deadline = time.Now().Add(e + time.Duration(n.rng.Int64N(int64(e))))
}

func (n *Node) tick() {
	now := time.Now()
	if !now.Before(n.beat) {
		n.beat = now.Add(n.timings.Heartbeat)
		switch {
		case n.role == Leading:
			n.heartbeat()
		case n.store.Blank():
			n.probe()
		}
	}
	if now.Before(n.deadline) {
		return
	}
	switch {
	case n.role == Leading:
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
	lost := n.start.Add(time.Duration(n.quorumStamp())).Add(n.timings.Election)
	if now.Before(lost) {
		n.deadline = lost
		return
	}
	klog.V(1).InfoS("no majority answers, stepping down", "member", n.name, "term", n.term)
	n.follow(n.term, "")
}

// saveMeta makes a term and a vote durable. A full disk leaves them as they
// were; the caller then takes no part in the election.
func (n *Node) saveMeta(m store.Meta) bool {
	if n.store.Meta() == m {
		return true
	}
	err := n.store.SaveMeta(m)
	if err == nil {
		return true
	}
	var full *store.Full
	if !errors.As(err, &full) {
		n.err = err
	}
	klog.ErrorS(err, "cannot save the vote", "member", n.name)
	return false
}

// adopt enters a higher term. It returns false if the disk refuses.
func (n *Node) adopt(term uint64, cluster string) bool {
	m := n.store.Meta()
	if m.Cluster == "" {
		m.Cluster = cluster
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
	if n.role == Leading {
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
		p.finish(nil, Lost{})
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
	if !n.saveMeta(store.Meta{Term: n.term + 1, Vote: n.name, Cluster: n.store.Meta().Cluster}) {
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
	last := n.store.Last()
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
	return n.role == Leading || time.Since(n.heard) < n.timings.Election
}

// current tells whether the log of a candidate is at least as new as ours.
func (n *Node) current(p *Packet) bool {
	last := n.store.Last()
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
	m := n.store.Meta()
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
	started := store.Entry{Index: n.store.Last() + 1, Term: n.term, Kind: kindEmpty}
	if err := n.append(started); err != nil {
		// A leader that cannot write is of no use.
		n.follow(n.term, "")
		return
	}
	klog.V(1).InfoS("elected", "member", n.name, "term", n.term)
	n.role, n.leader, n.elected = Leading, n.name, now
	n.started = started.Index
	n.replicas = map[string]*replica{}
	n.enrol()
	n.beat = now.Add(n.timings.Heartbeat)
	n.deadline = now.Add(n.timings.Election)
}
