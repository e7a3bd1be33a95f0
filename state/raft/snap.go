package raft

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/state/store"
)

const maxChunkBytes = 256 << 10

// outgoingSnapshot is a snapshot that is being sent to a replica, one chunk at
// a time.
type outgoingSnapshot struct {
	file        store.File
	index, term uint64
	size        int64
	offset      int64
	sentAt      time.Time // send time of the unanswered chunk; zero if none
}

func (r *replica) endSnapshot() {
	if r.snapshot != nil {
		_ = r.snapshot.file.Close()
		r.snapshot = nil
	}
}

func (n *Node) startSnapshot(r *replica) {
	f, index, term, size, err := n.store.OpenSnapshot()
	if err != nil {
		klog.ErrorS(err, "Failed to open the snapshot", "member", n.name)
		return
	}
	r.snapshot = &outgoingSnapshot{file: f, index: index, term: term, size: size}
}

func (n *Node) sendChunk(r *replica) {
	s := r.snapshot
	// An unanswered chunk is sent again after a few heartbeats.
	if time.Since(s.sentAt) < 4*n.timings.HeartbeatInterval {
		return
	}
	data := make([]byte, min(maxChunkBytes, s.size-s.offset))
	if _, err := s.file.ReadAt(data, s.offset); err != nil {
		klog.ErrorS(err, "Failed to read the snapshot", "member", n.name)
		r.endSnapshot()
		return
	}
	p := n.newPacket(Kind_CHUNK, r.member)
	p.Chunk = &Chunk{Index: s.index, Term: s.term, Offset: uint64(s.offset), Size: uint64(s.size), Data: data}
	s.sentAt = time.Now()
	n.transport.Send(r.member, p)
}

func (r *replica) onChunked(p *Packet) {
	s := r.snapshot
	if s == nil || p.Index != s.index || int64(p.Hint) >= s.size {
		return
	}
	s.offset = int64(p.Hint)
	if !p.Full {
		s.sentAt = time.Time{}
	}
}

func (n *Node) onChunk(p *Packet) {
	c := p.Chunk
	if c == nil {
		return
	}
	if c.Index <= n.commitIndex {
		a := n.newAnswer(Kind_APPENDED, p)
		a.Index = n.commitIndex
		n.reply(p, a)
		return
	}
	a := n.newAnswer(Kind_CHUNKED, p)
	a.Index = c.Index
	err := n.addChunk(c)
	var full *store.DiskFull
	switch {
	case errors.As(err, &full):
		a.Full = true
	case err != nil:
		n.err = err
		return
	case n.commitIndex >= c.Index:
		a.Kind = Kind_APPENDED
	}
	if n.incoming != nil {
		a.Hint = uint64(n.incoming.NextOffset)
	}
	n.reply(p, a)
}

// addChunk adds a chunk to the incoming snapshot and installs the snapshot
// after the last chunk.
func (n *Node) addChunk(c *Chunk) error {
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
		return nil // a duplicate, or one that follows a lost chunk
	}
	if err := in.Write(c.Data); err != nil {
		n.incoming = nil
		return err
	}
	if in.NextOffset < in.Size {
		return nil
	}
	n.incoming = nil
	return n.installSnapshot(in)
}

func (n *Node) installSnapshot(in *store.IncomingSnapshot) error {
	snap, err := in.Install()
	if err != nil {
		if n.store.Err() != nil {
			return n.store.Err()
		}
		// The file was corrupted in transfer; the leader sends it again.
		klog.ErrorS(err, "Received snapshot is not valid", "member", n.name)
		return nil
	}
	n.bytesSinceSnapshot = 0
	return n.restoreSnapshot(snap)
}

// snapshotEncoder returns a function that returns the encoded state as of this
// call. Unless the state machine is a Freezer, the state is encoded here and
// the loop waits for it.
func (n *Node) snapshotEncoder() func() ([]byte, error) {
	if f, ok := n.machine.(Freezer); ok {
		return f.Freeze()
	}
	data, err := n.machine.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// saveSnapshotIfDue writes a snapshot if enough was applied since the last
// one. The file is written in the background.
func (n *Node) saveSnapshotIfDue() {
	index, _, size := n.store.LastSnapshot()
	many := n.appliedIndex-index >= n.snapshotEntries && n.bytesSinceSnapshot >= size
	large := n.bytesSinceSnapshot >= max(n.snapshotBytes, size)
	if n.savingSnapshot || n.appliedIndex <= index || !many && !large {
		return
	}
	encode := n.snapshotEncoder()
	term, _ := n.store.Term(n.appliedIndex)
	snap := store.Snapshot{Index: n.appliedIndex, Term: term, Roster: formatRoster(n.rosterAt(n.appliedIndex))}
	n.savingSnapshot, n.bytesSinceSnapshot = true, 0 // after a failure, bytes are counted from zero again
	n.background.Go(func() {
		var err error
		if snap.Data, err = encode(); err == nil {
			err = n.store.WriteSnapshot(snap)
		}
		select {
		case n.calls <- func() { n.finishSnapshotSave(snap, err) }:
		case <-n.done:
		}
	})
}

func (n *Node) finishSnapshotSave(snap store.Snapshot, err error) {
	n.savingSnapshot = false
	if err == nil {
		err = n.store.Compact(snap.Index, snap.Term, n.retainedEntries, n.retainedBytes)
	}
	if err != nil {
		klog.ErrorS(err, "Failed to save a snapshot", "member", n.name)
		if n.store.Err() != nil {
			n.err = n.store.Err()
		}
	}
}
