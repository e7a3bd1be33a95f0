package peer

import (
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

// pack returns the packet compressed if it is large and the member accepts
// that. A large configuration goes to every member at once; as it is, it would
// hold up the heartbeats behind it.
func (t *Transport) pack(p *raft.Packet) *raft.Packet {
	if proto.Size(p) < wire.MinPackBytes || !t.acceptsPacked(p.GetTo()) {
		return p
	}
	packed, err := wire.Compress(p)
	if err != nil {
		klog.ErrorS(err, "Cannot compress a packet", "to", p.GetTo(), "kind", p.GetKind())
		return p
	}
	return &raft.Packet{From: p.GetFrom(), Packed: packed}
}

// unpack returns the packet that was received, whether it is packed or not.
func unpack(p *raft.Packet) (*raft.Packet, error) {
	if len(p.GetPacked()) == 0 {
		return p, nil
	}
	whole := &raft.Packet{}
	return whole, wire.Decompress(p.GetPacked(), whole)
}

// acceptsPacked reports whether a member has said that it accepts packed
// packets.
func (t *Transport) acceptsPacked(member string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unpacks[member]
}

func (t *Transport) recordUnpacks(p *raft.Packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unpacks[p.GetFrom()] = p.GetUnpacks()
}
