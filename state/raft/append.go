package raft

import (
	"errors"
	"math"

	"citronledge.example/state/store"
)

const (
	maxBatch = 256 << 10 // bytes of commands in one packet
	window   = 4096      // entries sent and not yet answered
)

// replica is what the leader knows about another member.
type replica struct {
	member Member
	match  uint64 // last entry known to be durable there
	next   uint64 // next entry to send
	told   uint64 // last commit index sent
	// probing is set while the end of the common log is not known; one
	// packet at a time is sent then, and asked tells that it was.
	probing, asked bool
	full           bool
	stamp          int64 // send time of the newest packet that was answered
	sending        *sending
}

// never is a stamp before every lease.
const never = math.MinInt64 / 2

// enrol makes the replicas follow the membership.
func (n *Node) enrol() {
	old := n.replicas
	n.replicas = map[string]*replica{}
	for _, m := range n.roster() {
		if m.Name == n.name {
			continue
		}
		r := old[m.Name]
		if r == nil || r.member.DiskID != m.DiskID {
			r = &replica{next: n.store.LastIndex(), probing: true, stamp: never}
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

func (n *Node) live(r *replica) bool { return n.stamp()-r.stamp < int64(n.timings.ElectionTimeout) }

// quorumStamp returns the latest time for which a majority has answered a
// packet that was sent then or later.
func (n *Node) quorumStamp() int64 {
	now := n.stamp()
	return n.reached(func(m Member) int64 {
		if m.Name == n.name {
			return now
		}
		if r := n.replicas[m.Name]; r != nil {
			return r.stamp
		}
		return never
	})
}

// append adds entries to the own log. They are not durable yet.
func (n *Node) append(entries ...store.Entry) error {
	if err := n.store.Append(entries); err != nil {
		var full *store.DiskFull
		if n.full = errors.As(err, &full); !n.full {
			n.err = err
		}
		return err
	}
	n.full = false
	for _, e := range entries {
		if err := n.enlist(e); err != nil {
			n.err = err
			return err
		}
	}
	return nil
}

// heartbeat sends every replica a packet that asks for an answer.
func (n *Node) heartbeat() {
	for _, r := range n.replicas {
		r.asked = false
		if r.sending != nil {
			n.sendAppend(r, 0, 0, nil)
			continue
		}
		if r.probing && r.next <= n.store.LastIndex() {
			continue // replicate sends entries
		}
		if mark, ok := n.store.Term(r.next - 1); ok {
			n.sendAppend(r, r.next-1, mark, nil)
		}
	}
}

// replicate sends the replicas what they lack. It does not wait for the own
// fsync: the leader counts itself only after it.
func (n *Node) replicate() {
	if n.role != Leader || n.err != nil {
		return
	}
	for _, r := range n.replicas {
		n.feed(r)
		if r.sending == nil && (n.confirm || n.commit > r.told && !r.probing) {
			if mark, ok := n.store.Term(r.next - 1); ok {
				n.sendAppend(r, r.next-1, mark, nil)
			}
		}
	}
	n.confirm = false
}

func (n *Node) feed(r *replica) {
	for r.sending == nil && r.next <= n.store.LastIndex() {
		if r.probing && r.asked || r.next > r.match+window && !r.probing {
			return
		}
		mark, ok := n.store.Term(r.next - 1)
		if !ok || r.next < n.store.FirstIndex() {
			n.startSnapshot(r)
			break
		}
		entries := n.cache.get(n.store, r.next)
		n.sendAppend(r, r.next-1, mark, entries)
		if r.probing {
			r.asked = true
			return
		}
		r.next += uint64(len(entries))
	}
	if r.sending != nil {
		n.sendChunk(r)
	}
}

func (n *Node) sendAppend(r *replica, index, mark uint64, entries []*Record) {
	p := n.packet(Kind_APPEND, r.member)
	p.Index, p.Mark, p.Entries, p.Commit = index, mark, entries, n.commit
	r.told = n.commit
	n.transport.Send(r.member, p)
}

// records keeps the last encoded batch, which all replicas that are at the
// same entry share.
type records struct {
	first, last uint64
	term        uint64
	list        []*Record
}

func (c *records) get(s *store.Store, first uint64) []*Record {
	last := s.LastIndex()
	term, _ := s.Term(last)
	if c.first == first && c.last == last && c.term == term {
		return c.list
	}
	entries := s.Entries(first, last, maxBatch)
	*c = records{first: first, last: last, term: term, list: make([]*Record, len(entries))}
	for i, e := range entries {
		c.list[i] = &Record{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	}
	return c.list
}

func (n *Node) onAppend(p *Packet) {
	a := n.answer(Kind_APPENDED, p)
	index, entries := p.Index, p.Entries
	for len(entries) > 0 && entries[0].Index <= n.commit {
		index, entries = entries[0].Index, entries[1:]
	}
	switch mark, ok := n.store.Term(index); {
	case index < n.commit:
		// Committed entries match by definition.
		a.Index = n.commit
		n.reply(p, a)
		return
	case index > n.commit && (!ok || mark != p.Mark):
		a.Reject, a.Index, a.Hint = true, p.Index, n.hint(index, p.Mark)
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
		if n.append(decode(entries)...) == nil {
			index = entries[len(entries)-1].Index
		}
		if n.err != nil {
			return
		}
	}
	a.Index, a.Full = index, n.full
	n.commit = max(n.commit, min(p.Commit, index))
	n.reply(p, a)
}

func decode(list []*Record) []store.Entry {
	entries := make([]store.Entry, len(list))
	for i, r := range list {
		entries[i] = store.Entry{Index: r.Index, Term: r.Term, Kind: uint8(r.Kind), Data: r.Data}
	}
	return entries
}

// hint returns the last entry before index that may match a leader whose
// entry at index has the term mark.
func (n *Node) hint(index, mark uint64) uint64 {
	at := min(index-1, n.store.LastIndex())
	for at > n.commit {
		if term, ok := n.store.Term(at); !ok || term <= mark {
			break
		}
		at--
	}
	return at
}

func (n *Node) onAnswer(p *Packet) {
	if p.Term > n.term {
		n.adopt(p.Term, p.Cluster)
		return
	}
	r := n.replicas[p.From]
	if n.role != Leader || p.Term != n.term || r == nil {
		return
	}
	r.stamp = max(r.stamp, p.Stamp)
	r.full = p.Full
	switch {
	case p.Kind == Kind_CHUNKED:
		r.onChunked(p)
	case p.Reject:
		if p.Index <= r.match || r.probing && p.Index != r.next-1 {
			return // an answer to a packet that was overtaken
		}
		r.next = max(min(p.Index, p.Hint+1), r.match+1)
		r.probing, r.asked = true, false
	default:
		r.match = max(r.match, p.Index)
		r.next = max(r.next, r.match+1)
		if r.sending != nil {
			if r.match < r.sending.index {
				return // a heartbeat
			}
			r.endSnapshot()
		}
		// A full disk is tried again with each heartbeat.
		r.probing, r.asked = p.Full, p.Full
		if p.Full {
			r.next = r.match + 1
		}
	}
}

// advance commits what a majority has made durable. Entries of earlier terms
// are committed only together with one of the own term, because a majority
// that holds them can still be overruled.
func (n *Node) advance() {
	if n.role != Leader {
		return
	}
	index := uint64(n.reached(func(m Member) int64 {
		if m.Name == n.name {
			return int64(n.synced)
		}
		if r := n.replicas[m.Name]; r != nil {
			return int64(r.match)
		}
		return 0
	}))
	if term, ok := n.store.Term(index); ok && index > n.commit && term == n.term {
		n.commit = index
		// Followers learn of the commit at once and not with the next heartbeat.
		n.replicate()
	}
}

// applyLimit bounds the entries applied in one turn, so that a long log does
// not keep the loop from answering heartbeats.
const applyLimit = 2000

func (n *Node) apply() {
	for range applyLimit {
		if n.applied >= n.commit {
			break
		}
		e := n.store.Entries(n.applied+1, n.applied+1, 0)[0]
		n.applied++
		var result []byte
		if e.Kind == kindCommand {
			result = n.machine.Apply(e.Index, e.Data)
		}
		n.grown += int64(len(e.Data))
		if p := n.pending[e.Index]; p != nil {
			delete(n.pending, e.Index)
			p.finish(result, nil)
		}
	}
	n.trim(n.applied)
	n.save()
}
