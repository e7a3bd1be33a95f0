package peer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/link"
	"citronledge.example/state/raft"
)

// A change must not hold up heartbeats: its replication and its push share the
// leader's link, and two operators may make a change each at the same time.
func TestReplicationDelaysHeartbeats(t *testing.T) {
	const (
		members            = 7
		linkRate           = 100_000_000 / 8 // bytes per second
		minElectionTimeout = 300 * time.Millisecond
		maxOccupancy       = minElectionTimeout / 4
	)
	random := rand.New(rand.NewPCG(1, 1))
	var document bytes.Buffer
	for range 1400 {
		fmt.Fprintf(&document, `{"name":"r-%07x","host":"h.example","path-prefix":"/%06x/","type":"streaming","timeout-ms":20000,"target-latency-ms":3000,"service":"pool","max-attempts":3,"public":false},`, random.Uint32(), random.Uint32())
	}
	change := &raft.Packet{Kind: raft.Kind_APPEND, From: "m1", To: "m2", Index: 3, Unpacks: true, Entries: []*raft.Record{{Index: 4, Data: document.Bytes()}}}
	heartbeat := &raft.Packet{Kind: raft.Kind_APPEND, From: "m1", To: "m2", Index: 4, Unpacks: true}
	for name, c := range map[string]struct {
		unpacks      bool // what the receiver has said
		sent         *raft.Packet
		maxOccupancy time.Duration
	}{
		"large":             {true, change, maxOccupancy},
		"heartbeat":         {true, heartbeat, maxOccupancy},
		"receiver too old":  {false, change, time.Second},
		"old and heartbeat": {false, heartbeat, maxOccupancy},
	} {
		t.Run(name, func(t *testing.T) {
			sender, receiver := New(linkConfig("m1")), New(linkConfig("m2"))
			defer sender.Close()
			defer receiver.Close()
			sender.recordUnpacks(&raft.Packet{From: "m2", Unpacks: c.unpacks})
			e := listen(t, "127.0.0.1:0", "m2", func(st *link.Stream) error { return receiver.Serve(st) })
			defer e.close()
			sender.Send(raft.Member{Name: "m2", Addr: e.listener.Addr().String()}, c.sent)
			if got := <-receiver.Receive(); !proto.Equal(got, c.sent) {
				t.Errorf("got another packet than was sent")
			}
			size := members * proto.Size(sender.pack(c.sent))
			if got := time.Duration(size) * time.Second / linkRate; got > c.maxOccupancy {
				t.Errorf("a change takes %v of the leader's link (%d bytes), want at most %v", got, size, c.maxOccupancy)
			}
		})
	}
}
