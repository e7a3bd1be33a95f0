package raft

import (
	"errors"
	"math"

	"citronledge.example/state/store"
)

const (
	maxAppendBytes       = 256 << 10 // bytes of commands in one packet
	maxUnansweredEntries = 4096      // entries sent to a replica and not yet answered
)

// replica is the replication state that a leader keeps for another member.
type replica struct {
	member     Member
	matchIndex uint64 // last entry known to be durable on the member
	nextIndex  uint64 // next entry to send
	sentCommit uint64 // last commit index sent to the member
	// probing is set while the last entry common to both logs is unknown. Only
	// one packet at a time is sent then; probeSent is set while its answer is
	// awaited.
	probing, probeSent bool
	diskFull           bool
	answeredStamp      int64 // send time of the latest packet that was answered
	snapshot           *outgoingSnapshot
}

// neverStamp is the stamp of a member that has not answered yet; it is earlier
// than any lease.
const neverStamp = math.MinInt64 / 2

// updateReplicas adapts the replicas to the current membership.
func (n *Node) updateReplicas() {
	old := n.replicas
	n.replicas = map[string]*replica{}
	for _, m := range n.roster() {
		if m.Name == n.name {
			continue
		}
		r := old[m.Name]
		if r == nil || r.member.DiskID != m.DiskID {
			r = &replica{nextIndex: n.store.LastIndex(), probing: true, answeredStamp: neverStamp}
		}
		r.member = m
		n.replicas[m.Name] = r
	}
	for name, r := range old {
		if n.replicas[name] != r {
			r.endSnapshot()
		}
	}
}

func (n *Node) isLive(r *replica) bool {
	return n.stamp()-r.answeredStamp < int64(n.timings.ElectionTimeout)
}

// quorumStamp returns the latest stamp such that a quorum has answered a
// packet sent at that time or later.
func (n *Node) quorumStamp() int64 {
	now := n.stamp()
	return n.quorumValue(func(m Member) int64 {
		if m.Name == n.name {
			return now
		}
		if r := n.replicas[m.Name]; r != nil {
			return r.answeredStamp
		}
		return neverStamp
	})
}

// appendEntries appends entries to the local log. They are durable only after
// the next sync of the store.
func (n *Node) appendEntries(entries ...store.Entry) error {
	if err := n.store.Append(entries); err != nil {
		var full *store.DiskFull
		if n.diskFull = errors.As(err, &full); !n.diskFull {
			n.err = err
		}
		return err
	}
	n.diskFull = false
	for _, e := range entries {
		if err := n.updateRoster(e); err != nil {
			n.err = err
			return err
		}
	}
	return nil
}

// sendHeartbeats sends every replica a packet that it must answer.
func (n *Node) sendHeartbeats() {
	for _, r := range n.replicas {
		r.probeSent = false
		if r.snapshot != nil {
			n.sendAppend(r, 0, 0, nil)
			continue
		}
		if r.probing && r.nextIndex <= n.store.LastIndex() {
			continue // replicate sends entries
		}
		if mark, ok := n.store.Term(r.nextIndex - 1); ok {
			n.sendAppend(r, r.nextIndex-1, mark, nil)
		}
	}
}

// replicate sends the replicas the entries that they lack. It does not wait
// for the local fsync: the leader counts itself only after that.
func (n *Node) replicate() {
	if n.role != Leader || n.err != nil {
		return
	}
	for _, r := range n.replicas {
		n.sendEntries(r)
		if r.snapshot == nil && (n.confirmReads || n.commitIndex > r.sentCommit && !r.probing) {
			if mark, ok := n.store.Term(r.nextIndex - 1); ok {
				n.sendAppend(r, r.nextIndex-1, mark, nil)
			}
		}
	}
	n.confirmReads = false
}

// sendEntries sends a replica the entries that it lacks, or a snapshot if the
// log no longer holds them.
func (n *Node) sendEntries(r *replica) {
	for r.snapshot == nil && r.nextIndex <= n.store.LastIndex() {
		if r.probing && r.probeSent || r.nextIndex > r.matchIndex+maxUnansweredEntries && !r.probing {
			return
		}
		mark, ok := n.store.Term(r.nextIndex - 1)
		if !ok || r.nextIndex < n.store.FirstIndex() {
			n.startSnapshot(r)
			break
		}
		entries := n.encoded.get(n.store, r.nextIndex)
		n.sendAppend(r, r.nextIndex-1, mark, entries)
		if r.probing {
			r.probeSent = true
			return
		}
		r.nextIndex += uint64(len(entries))
	}
	if r.snapshot != nil {
		n.sendChunk(r)
	}
}

func (n *Node) sendAppend(r *replica, index, mark uint64, entries []*Record) {
	p := n.newPacket(Kind_APPEND, r.member)
	p.Index, p.Mark, p.Entries, p.Commit = index, mark, entries, n.commitIndex
	r.sentCommit = n.commitIndex
	n.transport.Send(r.member, p)
}

// encodedBatch caches the last encoded batch of entries, which is shared by
// all replicas that are at the same entry.
type encodedBatch struct {
	first, last uint64
	term        uint64
	records     []*Record
}

func (c *encodedBatch) get(s *store.Store, first uint64) []*Record {
	last := s.LastIndex()
	term, _ := s.Term(last)
	if c.first == first && c.last == last && c.term == term {
		return c.records
	}
	entries := s.Entries(first, last, maxAppendBytes)
	*c = encodedBatch{first: first, last: last, term: term, records: make([]*Record, len(entries))}
	for i, e := range entries {
		c.records[i] = &Record{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	}
	return c.records
}

func (n *Node) onAppend(p *Packet) {
	a := n.newAnswer(Kind_APPENDED, p)
	index, entries := p.Index, p.Entries
	for len(entries) > 0 && entries[0].Index <= n.commitIndex {
		index, entries = entries[0].Index, entries[1:]
	}
	switch mark, ok := n.store.Term(index); {
	case index < n.commitIndex:
		// Committed entries match by definition.
		a.Index = n.commitIndex
		n.reply(p, a)
		return
	case index > n.commitIndex && (!ok || mark != p.Mark):
		a.Reject, a.Index, a.Hint = true, p.Index, n.matchHint(index, p.Mark)
		n.reply(p, a)
		return
	}
	for len(entries) > 0 {
		if term, ok := n.store.Term(entries[0].Index); !ok || term != entries[0].Term {
			break
		}
		index, entries = entries[0].Index, entries[1:]
	}
	if len(entries) > 0 {
		if n.appendEntries(decodeRecords(entries)...) == nil {
			index = entries[len(entries)-1].Index
		}
		if n.err != nil {
			return
		}
	}
	a.Index, a.Full = index, n.diskFull
	n.commitIndex = max(n.commitIndex, min(p.Commit, index))
	n.reply(p, a)
}

func decodeRecords(list []*Record) []store.Entry {
	entries := make([]store.Entry, len(list))
	for i, r := range list {
		entries[i] = store.Entry{Index: r.Index, Term: r.Term, Kind: uint8(r.Kind), Data: r.Data}
	}
	return entries
}

// matchHint returns the index of the last entry before index that may match
// the log of a leader whose entry at index has the term mark.
func (n *Node) matchHint(index, mark uint64) uint64 {
	at := min(index-1, n.store.LastIndex())
	for at > n.commitIndex {
		if term, ok := n.store.Term(at); !ok || term <= mark {
			break
		}
		at--
	}
	return at
}

func (n *Node) onAnswer(p *Packet) {
	if p.Term > n.term {
		n.adoptTerm(p.Term, p.Cluster)
		return
	}
	r := n.replicas[p.From]
	if n.role != Leader || p.Term != n.term || r == nil {
		return
	}
	r.answeredStamp = max(r.answeredStamp, p.Stamp)
	r.diskFull = p.Full
	switch {
	case p.Kind == Kind_CHUNKED:
		r.onChunked(p)
	case p.Reject:
		if p.Index <= r.matchIndex || r.probing && p.Index != r.nextIndex-1 {
			return // an answer to an outdated packet
		}
		r.nextIndex = max(min(p.Index, p.Hint+1), r.matchIndex+1)
		r.probing, r.probeSent = true, false
	default:
		r.matchIndex = max(r.matchIndex, p.Index)
		r.nextIndex = max(r.nextIndex, r.matchIndex+1)
		if r.snapshot != nil {
			if r.matchIndex < r.snapshot.index {
				return // an answer to a heartbeat
			}
			r.endSnapshot()
		}
		// A member whose disk is full is tried again with each heartbeat.
		r.probing, r.probeSent = p.Full, p.Full
		if p.Full {
			r.nextIndex = r.matchIndex + 1
		}
	}
}

// advanceCommit commits the entries that a quorum has made durable. Entries
// of earlier terms are committed only together with one of the current term: a
// later leader can still replace them, even if a quorum holds them.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	// A committed membership may have a smaller quorum for the entries after it.
	for n.commitDurable() {
		// Send the commit index to the followers now, not with the next
		// heartbeat.
		n.replicate()
	}
}

// commitDurable commits what a quorum of the memberships in effect has made
// durable, and reports whether that is more than before.
func (n *Node) commitDurable() bool {
	index := uint64(n.quorumValue(func(m Member) int64 {
		if m.Name == n.name {
			return int64(n.syncedIndex)
		}
		if r := n.replicas[m.Name]; r != nil {
			return int64(r.matchIndex)
		}
		return 0
	}))
	if term, ok := n.store.Term(index); !ok || index <= n.commitIndex || term != n.term {
		return false
	}
	n.commitIndex = index
	return true
}

// maxAppliedPerTurn is the maximum number of entries applied in one turn of
// the loop, so that a long log does not keep it from answering heartbeats.
const maxAppliedPerTurn = 2000

func (n *Node) applyCommitted() {
	for range maxAppliedPerTurn {
		if n.appliedIndex >= n.commitIndex {
			break
		}
		e := n.store.Entries(n.appliedIndex+1, n.appliedIndex+1, 0)[0]
		n.appliedIndex++
		var result []byte
		if e.Kind == kindCommand {
			result = n.machine.Apply(e.Index, e.Data)
		}
		n.bytesSinceSnapshot += int64(len(e.Data))
		p := n.pending[e.Index]
		delete(n.pending, e.Index)
		switch {
		case e.Kind == kindRoster && !n.isSettled(e.Index):
			if p != nil {
				n.settling = append(n.settling, p)
			}
			continue
		case e.Kind == kindRoster:
			n.finishSettling(nil)
		}
		if p != nil {
			p.finish(result, nil)
		}
	}
	n.dropOldRosters(n.appliedIndex)
	n.saveSnapshotIfDue()
}
