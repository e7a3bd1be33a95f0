package raft

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/state/store"
)

// maxQuickPreVotes is how many times in a row a pre-vote that found no majority is
// repeated after about one heartbeat interval. A member that stays cut off then
// asks once in each election timeout.
const maxQuickPreVotes = 6

// resetElectionTimer draws a new election timeout and starts it.
func (n *Node) resetElectionTimer() {
	e := n.timings.ElectionTimeout
	n.electionDeadline = time.Now().Add(e + time.Duration(n.rng.Int64N(int64(e))))
}

func (n *Node) tick() {
	now := time.Now()
	if !now.Before(n.nextHeartbeat) {
		n.nextHeartbeat = now.Add(n.timings.HeartbeatInterval)
		switch {
		case n.role == Leader:
			n.sendHeartbeats()
		case n.store.IsBlank():
			n.probeInitialMembers()
		}
	}
	if now.Before(n.electionDeadline) {
		return
	}
	switch {
	case n.role == Leader:
		n.checkQuorum(now)
	case n.isVoter():
		n.startPreVote()
	default:
		n.resetElectionTimer()
	}
}

// checkQuorum steps down if no quorum answered within one election timeout,
// so that a leader that is partitioned from the other members does not keep
// its callers waiting.
func (n *Node) checkQuorum(now time.Time) {
	quorumEnd := n.startTime.Add(time.Duration(n.quorumStamp())).Add(n.timings.ElectionTimeout)
	if now.Before(quorumEnd) {
		n.electionDeadline = quorumEnd
		return
	}
	klog.V(1).InfoS("No quorum answered; stepping down as leader", "member", n.name, "term", n.term)
	n.becomeFollower(n.term, "")
}

// saveHardState makes a term and a vote durable. It returns false if the disk
// refuses the write; they are unchanged then, and the caller must not take
// part in the election.
func (n *Node) saveHardState(m store.HardState) bool {
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
	klog.ErrorS(err, "Failed to save the term and the vote", "member", n.name)
	return false
}

// adoptTerm makes the node a follower in a term that is higher than its own,
// and assigns a blank disk to the cluster. It returns false if the disk
// refuses the write.
func (n *Node) adoptTerm(term uint64, cluster string) bool {
	m := n.store.HardState()
	if m.ClusterID == "" {
		m.ClusterID = cluster
	}
	if term > m.Term {
		m.Term, m.Vote = term, ""
	}
	if !n.saveHardState(m) {
		return false
	}
	if term > n.term {
		n.becomeFollower(term, "")
	}
	return true
}

// becomeFollower makes the node a follower in a term that is already durable.
func (n *Node) becomeFollower(term uint64, leader string) {
	wasLeader := n.role == Leader
	if n.role != Follower || term != n.term {
		n.resetElectionTimer()
	}
	n.role, n.term, n.leader = Follower, term, leader
	n.electedAt, n.votes = time.Time{}, nil
	if wasLeader {
		// Whoever learns that a proposal has ended must see that this node no
		// longer leads.
		n.publishView()
		n.endLeadership()
	}
}

// endLeadership releases the state of a leader. Its pending proposals end with
// OutcomeUnknown.
func (n *Node) endLeadership() {
	for i, p := range n.pending {
		p.finish(nil, OutcomeUnknown{})
		delete(n.pending, i)
	}
	n.finishSettling(OutcomeUnknown{})
	for _, r := range n.replicas {
		r.endSnapshot()
	}
	n.replicas = nil
	if n.transfer != nil {
		close(n.transfer.done)
		n.transfer = nil
	}
}

// startPreVote starts a pre-vote. It does not raise the term, so that a member
// that was partitioned does not disrupt the others when it returns.
func (n *Node) startPreVote() {
	n.resetElectionTimer()
	if n.role != PreCandidate {
		n.quickPreVotes = 0
	}
	if n.quickPreVotes < maxQuickPreVotes {
		// After a restart of all members the first request may be lost or refused,
		// since another member started a little later: its connection is not open
		// yet, or the lease that it may have confirmed before its restart may still
		// hold. A pre-vote changes no state, so it is safe to ask again soon.
		n.quickPreVotes++
		h := n.timings.HeartbeatInterval
		n.electionDeadline = time.Now().Add(h/2 + time.Duration(n.rng.Int64N(int64(h))))
	}
	n.role, n.leader = PreCandidate, ""
	n.votes = map[string]bool{n.name: true}
	n.requestVotes(Kind_PREVOTE, n.term+1, false)
	n.checkDisks()
	if n.hasWon() {
		n.campaign(false)
	}
}

func (n *Node) campaign(transfer bool) {
	n.resetElectionTimer()
	if !n.saveHardState(store.HardState{Term: n.term + 1, Vote: n.name, ClusterID: n.store.HardState().ClusterID}) {
		n.becomeFollower(n.term, "")
		return
	}
	n.term++
	n.role, n.leader = Candidate, ""
	n.votes = map[string]bool{n.name: true}
	n.requestVotes(Kind_VOTE, n.term, transfer)
	if n.hasWon() {
		n.becomeLeader()
	}
}

// requestVotes asks the other voters for their votes.
func (n *Node) requestVotes(kind Kind, term uint64, transfer bool) {
	last := n.store.LastIndex()
	mark, _ := n.store.Term(last)
	for _, m := range n.roster() {
		if !m.Voter || m.Name == n.name {
			continue
		}
		p := n.newPacket(kind, m)
		p.Term, p.Index, p.Mark, p.Transfer = term, last, mark, transfer
		n.sendAfterSync(m, p)
	}
}

func (n *Node) hasWon() bool {
	return n.hasQuorum(func(m Member) bool { return n.votes[m.Name] })
}

// leaseMayHold reports whether the last contact with a leader was so recent
// that its lease may still hold.
func (n *Node) leaseMayHold() bool {
	return n.role == Leader || time.Since(n.lastLeaderContact) < n.timings.ElectionTimeout
}

// isUpToDate reports whether the log of a candidate is at least as up to date
// as the local one.
func (n *Node) isUpToDate(p *Packet) bool {
	last := n.store.LastIndex()
	mark, _ := n.store.Term(last)
	return p.Mark > mark || p.Mark == mark && p.Index >= last
}

func (n *Node) onPreVote(p *Packet) {
	a := n.newAnswer(Kind_PREVOTED, p)
	a.Term = p.Term
	if p.Term <= n.term || n.leaseMayHold() || !n.isUpToDate(p) {
		a.Term, a.Reject = n.term, true
	}
	n.reply(p, a)
}

func (n *Node) onVote(p *Packet) {
	// While a lease may hold, only its holder may ask for an election; it
	// gives up the lease before it asks.
	if p.Term > n.term && n.leaseMayHold() && !p.Transfer {
		return
	}
	if p.Term > n.term && !n.adoptTerm(p.Term, p.Cluster) {
		return
	}
	a := n.newAnswer(Kind_VOTED, p)
	m := n.store.HardState()
	free := m.Vote == "" || m.Vote == p.From
	a.Reject = p.Term < n.term || !free || !n.isUpToDate(p)
	if !a.Reject {
		m.Vote = p.From
		if !n.saveHardState(m) {
			return
		}
		n.resetElectionTimer()
	}
	n.reply(p, a)
}

func (n *Node) onVoted(p *Packet) {
	if p.Term > n.term && (p.Reject || p.Kind == Kind_VOTED) {
		n.adoptTerm(p.Term, p.Cluster)
		return
	}
	if p.Reject {
		return
	}
	switch {
	case p.Kind == Kind_PREVOTED && n.role == PreCandidate && p.Term == n.term+1:
		n.votes[p.From] = true
		if n.hasWon() {
			n.campaign(false)
		}
	case p.Kind == Kind_VOTED && n.role == Candidate && p.Term == n.term:
		n.votes[p.From] = true
		if n.hasWon() {
			n.becomeLeader()
		}
	}
}

// becomeLeader makes the node the leader of its term.
func (n *Node) becomeLeader() {
	now := time.Now()
	entry := store.Entry{Index: n.store.LastIndex() + 1, Term: n.term, Kind: kindEmpty}
	if err := n.appendEntries(entry); err != nil {
		// A leader that cannot append entries cannot commit any.
		n.becomeFollower(n.term, "")
		return
	}
	klog.V(1).InfoS("Elected leader", "member", n.name, "term", n.term)
	n.role, n.leader, n.electedAt = Leader, n.name, now
	n.termStartIndex = entry.Index
	n.replicas = map[string]*replica{}
	n.updateReplicas()
	n.nextHeartbeat = now.Add(n.timings.HeartbeatInterval)
	n.electionDeadline = now.Add(n.timings.ElectionTimeout)
}
