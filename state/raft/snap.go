package raft

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/state/store"
)

const maxChunk = 256 << 10 // bytes

// sending is a snapshot on its way to a replica, one chunk at a time.
type sending struct {
	file        store.File
	index, term uint64
	size        int64
	offset      int64
	sent        time.Time // of the chunk that is not answered; zero if none
}

func (r *replica) endSnapshot() {
	if r.sending != nil {
		_ = r.sending.file.Close()
		r.sending = nil
	}
}

func (n *Node) startSnapshot(r *replica) {
	f, index, term, size, err := n.store.OpenSnapshot()
	if err != nil {
		klog.ErrorS(err, "cannot open the snapshot", "member", n.name)
		return
	}
	r.sending = &sending{file: f, index: index, term: term, size: size}
}

func (n *Node) sendChunk(r *replica) {
	s := r.sending
	// An unanswered chunk is repeated after a few heartbeats.
	if time.Since(s.sent) < 4*n.timings.HeartbeatInterval {
		return
	}
	data := make([]byte, min(maxChunk, s.size-s.offset))
	if _, err := s.file.ReadAt(data, s.offset); err != nil {
		klog.ErrorS(err, "cannot read the snapshot", "member", n.name)
		r.endSnapshot()
		return
	}
	p := n.packet(Kind_CHUNK, r.member)
	p.Chunk = &Chunk{Index: s.index, Term: s.term, Offset: uint64(s.offset), Size: uint64(s.size), Data: data}
	s.sent = time.Now()
	n.transport.Send(r.member, p)
}

func (r *replica) onChunked(p *Packet) {
	s := r.sending
	if s == nil || p.Index != s.index || int64(p.Hint) >= s.size {
		return
	}
	s.offset = int64(p.Hint)
	if !p.Full {
		s.sent = time.Time{}
	}
}

func (n *Node) onChunk(p *Packet) {
	c := p.Chunk
	if c == nil {
		return
	}
	if c.Index <= n.commit {
		a := n.answer(Kind_APPENDED, p)
		a.Index = n.commit
		n.reply(p, a)
		return
	}
	a := n.answer(Kind_CHUNKED, p)
	a.Index = c.Index
	err := n.collect(c)
	var full *store.DiskFull
	switch {
	case errors.As(err, &full):
		a.Full = true
	case err != nil:
		n.err = err
		return
	case n.commit >= c.Index:
		a.Kind = Kind_APPENDED
	}
	if n.incoming != nil {
		a.Hint = uint64(n.incoming.NextOffset)
	}
	n.reply(p, a)
}

// collect adds a chunk to the incoming snapshot and installs it after the
// last one.
func (n *Node) collect(c *Chunk) error {
	in := n.incoming
	if in != nil && (in.Index != c.Index || in.Term != c.Term || in.Size != int64(c.Size)) {
		in.Discard()
		in, n.incoming = nil, nil
	}
	if in == nil {
		if c.Offset != 0 {
			return nil
		}
		var err error
		if in, err = n.store.ReceiveSnapshot(c.Index, c.Term, int64(c.Size)); err != nil {
			return err
		}
		n.incoming = in
	}
	if int64(c.Offset) != in.NextOffset {
		return nil // repeated, or ahead of a lost one
	}
	if err := in.Write(c.Data); err != nil {
		n.incoming = nil
		return err
	}
	if in.NextOffset < in.Size {
		return nil
	}
	n.incoming = nil
	return n.install(in)
}

func (n *Node) install(in *store.IncomingSnapshot) error {
	snap, err := in.Install()
	if err != nil {
		if n.store.Err() != nil {
			return n.store.Err()
		}
		// The file was spoilt on its way; the leader starts again.
		klog.ErrorS(err, "cannot use the received snapshot", "member", n.name)
		return nil
	}
	n.grown = 0
	return n.restore(snap)
}

// encoder returns the function that encodes the state as it is now. Unless
// the machine is a Freezer, encoding has stopped the loop by then.
func (n *Node) encoder() func() ([]byte, error) {
	if f, ok := n.machine.(Freezer); ok {
		return f.Freeze()
	}
	data, err := n.machine.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// save writes a snapshot when enough was applied since the last one. The file
// is written beside the loop.
func (n *Node) save() {
	index, _, size := n.store.LastSnapshot()
	many := n.applied-index >= n.snapEntries && n.grown >= size
	large := n.grown >= max(n.snapBytes, size)
	if n.saving || n.applied <= index || !many && !large {
		return
	}
	encode := n.encoder()
	term, _ := n.store.Term(n.applied)
	snap := store.Snapshot{Index: n.applied, Term: term, Roster: formatRoster(n.rosterAt(n.applied))}
	n.saving, n.grown = true, 0 // after a failure it is tried again after as much work
	n.work.Go(func() {
		var err error
		if snap.Data, err = encode(); err == nil {
			err = n.store.WriteSnapshot(snap)
		}
		select {
		case n.calls <- func() { n.saved(snap, err) }:
		case <-n.done:
		}
	})
}

func (n *Node) saved(snap store.Snapshot, err error) {
	n.saving = false
	if err == nil {
		err = n.store.Compact(snap.Index, snap.Term, n.retain)
	}
	if err != nil {
		klog.ErrorS(err, "cannot save a snapshot", "member", n.name)
		if n.store.Err() != nil {
			n.err = n.store.Err()
		}
	}
}
