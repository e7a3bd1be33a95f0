package raft

import (
	"context"
	"time"
)

// Phases of a read.
const (
	readNew       = iota
	readAsked     // the leader was asked for its commit index
	readConfirm   // as leader, waits until a majority confirms that it still is
	readConfirmed // waits until index is applied
)

type read struct {
	ctx    context.Context
	done   chan struct{}
	remote *Packet // the question of a follower; nil for a local read
	phase  int
	ticket uint64
	index  uint64
	term   uint64
	at     int64     // stamp that a majority must answer
	asked  time.Time // when the leader was asked
}

// maxReads bounds the questions of followers that wait.
const maxReads = 10_000

// ReadBarrier returns when the local state is at least as new as every write
// acknowledged before the call, on any member (read index). Without a leader
// it waits for one until ctx ends.
func (n *Node) ReadBarrier(ctx context.Context) error {
	r := &read{ctx: ctx, done: make(chan struct{})}
	err := n.do(ctx, func() {
		n.ticket++
		r.ticket = n.ticket
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

// serve moves all reads on.
func (n *Node) serve() {
	if len(n.reads) == 0 {
		return
	}
	stamp := int64(never)
	if n.role == Leader {
		stamp = n.quorumStamp()
	}
	keep := n.reads[:0]
	for _, r := range n.reads {
		if !n.move(r, stamp) {
			keep = append(keep, r)
		}
	}
	clear(n.reads[len(keep):])
	n.reads = keep
	if n.confirm {
		n.replicate()
	}
}

// move takes a read as far as it can go; it returns true when it is over.
func (n *Node) move(r *read, stamp int64) bool {
	if r.ctx.Err() != nil || r.remote != nil && n.role != Leader {
		return true
	}
	if r.phase == readConfirm && (n.role != Leader || n.term != r.term) {
		r.phase = readNew
	}
	switch {
	case r.phase > readAsked:
	case n.role == Leader:
		// Before an entry of the own term is committed, the commit index
		// may be older than writes that the last leader acknowledged.
		if n.commit < n.started {
			return false
		}
		r.phase, r.index, r.term, r.at = readConfirm, n.commit, n.term, n.stamp()
		n.confirm = true
		if n.majority(func(m Member) bool { return m.Name == n.name }) {
			r.phase = readConfirmed
		}
	case r.phase == readNew || time.Since(r.asked) > 2*n.timings.HeartbeatInterval:
		n.ask(r)
	}
	if r.phase == readConfirm && stamp >= r.at {
		r.phase = readConfirmed
	}
	return r.phase == readConfirmed && n.finishRead(r)
}

func (n *Node) ask(r *read) {
	leader, ok := n.find(n.leader)
	if !ok {
		return
	}
	r.phase, r.asked = readAsked, time.Now()
	p := n.packet(Kind_READ, leader)
	p.Ticket = r.ticket
	n.transport.Send(leader, p)
}

func (n *Node) finishRead(r *read) bool {
	if r.remote != nil {
		a := n.answer(Kind_READY, r.remote)
		a.Ticket, a.Index = r.remote.Ticket, r.index
		n.transport.Send(sender(r.remote), a)
		return true
	}
	if n.applied < r.index {
		return false
	}
	close(r.done)
	return true
}

func (n *Node) onRead(p *Packet) {
	if n.role == Leader && len(n.reads) < maxReads {
		n.reads = append(n.reads, &read{ctx: context.Background(), remote: p})
	}
}

func (n *Node) onReady(p *Packet) {
	for _, r := range n.reads {
		// Tickets are not reused, so even a late answer was confirmed after
		// the call.
		if r.ticket == p.Ticket && r.remote == nil && r.phase == readAsked {
			r.phase, r.index = readConfirmed, p.Index
		}
	}
}
