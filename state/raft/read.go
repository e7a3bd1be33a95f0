package raft

import (
	"context"
	"time"
)

// Phases of a read.
const (
	readNew        = iota
	readAsked      // the leader was asked for its commit index
	readConfirming // on the leader: waits for a majority to confirm its leadership
	readConfirmed  // waits until index is applied
)

type pendingRead struct {
	ctx     context.Context
	done    chan struct{}
	request *Packet // request of a follower; nil for a local read
	phase   int
	ticket  uint64
	index   uint64
	term    uint64
	stamp   int64     // a quorum must answer a packet of this stamp or a later one
	askedAt time.Time // when the leader was asked
}

// maxWaitingReads is the number of waiting reads from which on a leader drops
// the requests of followers.
const maxWaitingReads = 10_000

// ReadBarrier waits until the local state includes every write that any member
// acknowledged before the call (read index). Without a leader it waits for one
// until ctx ends.
func (n *Node) ReadBarrier(ctx context.Context) error {
	r := &pendingRead{ctx: ctx, done: make(chan struct{})}
	err := n.runInLoop(ctx, func() {
		n.lastTicket++
		r.ticket = n.lastTicket
		n.reads = append(n.reads, r)
	})
	if err != nil {
		return err
	}
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return Stopped{}
	}
}

// advanceReads advances all waiting reads.
func (n *Node) advanceReads() {
	if len(n.reads) == 0 {
		return
	}
	stamp := int64(neverStamp)
	if n.role == Leader {
		stamp = n.quorumStamp()
	}
	waiting := n.reads[:0]
	for _, r := range n.reads {
		if !n.advanceRead(r, stamp) {
			waiting = append(waiting, r)
		}
	}
	clear(n.reads[len(waiting):])
	n.reads = waiting
	if n.confirmReads {
		n.replicate()
	}
}

// advanceRead advances a read as far as possible and reports whether it has
// ended.
func (n *Node) advanceRead(r *pendingRead, stamp int64) bool {
	if r.ctx.Err() != nil || r.request != nil && n.role != Leader {
		return true
	}
	if r.phase == readConfirming && (n.role != Leader || n.term != r.term) {
		r.phase = readNew
	}
	switch {
	case r.phase > readAsked:
	case n.role == Leader:
		// Before a leader has committed an entry of its own term, its commit
		// index may be older than writes that the previous leader
		// acknowledged.
		if n.commitIndex < n.termStartIndex {
			return false
		}
		r.phase, r.index, r.term, r.stamp = readConfirming, n.commitIndex, n.term, n.stamp()
		n.confirmReads = true
		if n.hasQuorum(func(m Member) bool { return m.Name == n.name }) {
			r.phase = readConfirmed
		}
	case r.phase == readNew || time.Since(r.askedAt) > 2*n.timings.HeartbeatInterval:
		n.askLeader(r)
	}
	if r.phase == readConfirming && stamp >= r.stamp {
		r.phase = readConfirmed
	}
	return r.phase == readConfirmed && n.finishRead(r)
}

func (n *Node) askLeader(r *pendingRead) {
	leader, ok := n.findMember(n.leader)
	if !ok {
		return
	}
	r.phase, r.askedAt = readAsked, time.Now()
	p := n.newPacket(Kind_READ, leader)
	p.Ticket = r.ticket
	n.transport.Send(leader, p)
}

func (n *Node) finishRead(r *pendingRead) bool {
	if r.request != nil {
		a := n.newAnswer(Kind_READY, r.request)
		a.Ticket, a.Index = r.request.Ticket, r.index
		n.transport.Send(senderOf(r.request), a)
		return true
	}
	if n.appliedIndex < r.index {
		return false
	}
	close(r.done)
	return true
}

func (n *Node) onRead(p *Packet) {
	if n.role == Leader && len(n.reads) < maxWaitingReads {
		n.reads = append(n.reads, &pendingRead{ctx: context.Background(), request: p})
	}
}

func (n *Node) onReady(p *Packet) {
	for _, r := range n.reads {
		// Tickets are not reused, so even a late answer was confirmed after
		// the read began.
		if r.ticket == p.Ticket && r.request == nil && r.phase == readAsked {
			r.phase, r.index = readConfirmed, p.Index
		}
	}
}
