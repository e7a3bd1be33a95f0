package share

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/wire"
)

const (
	// ListBuckets is the number of parts into which the list of backend servers
	// is divided, so that only those that differ are sent.
	ListBuckets = 64
	// requestInterval is the least interval between two requests for the list.
	requestInterval = 150 * time.Millisecond
	// maxPartBytes limits the buckets in one datagram, but for the last of them.
	maxPartBytes = 4 << 10
)

const (
	// readRankShare is the part of Config.ReadSlack by which a relay waits longer
	// for each relay before it in the order of reading. Those from rank
	// maxReadRank on wait alike.
	readRankShare = 0.25
	maxReadRank   = 3
	// memberReadShare is the part of it that a gate waits that is not a relay. The
	// last gate of a group waits the whole of it, so that gates without a relay do
	// not all read at once.
	memberReadShare = 0.8
)

// Reading is one reading of the platform's list of backend servers.
type Reading struct {
	Digest uint64 // of the list; 0 stands for none
	At     time.Time
	// Reader and Number identify the reading: the run of the gate, and its
	// readings. A reading that comes a second time, on another path, is no news.
	Reader uint64
	Number uint32
}

// ServerList is the list of backend servers, which one gate reads for all.
type ServerList interface {
	// ListReading returns the reading of the list that this gate has.
	ListReading() Reading
	// NoteReading processes the reading of another gate. It reports whether this
	// gate lacks the list that was read.
	NoteReading(r Reading) (missing bool)
	// BucketDigests returns the digests of the ListBuckets parts of the list.
	BucketDigests() []uint32
	// DifferingBuckets returns the parts that have other digests.
	DifferingBuckets(digests []uint32) []*wire.Bucket
	// MergeBuckets stores parts of the list of a reading, which comes into use
	// when it is complete.
	MergeBuckets(r Reading, parts []*wire.Bucket)
}

// ReadDelay returns how long after another gate should have read the list this
// one reads it, if no news of a reading have come: the first relay at once, the
// others later, and gates that are no relays last.
func (n *Node) ReadDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.topo
	share := readRankShare * float64(min(t.self.group, maxReadRank))
	if !n.isRelay() {
		share = memberReadShare + (1-memberReadShare)*float64(t.self.rank)/float64(len(t.ownGroup().members))
	}
	return time.Duration(share * float64(n.cfg.ReadSlack))
}

func (n *Node) ownReading(now time.Time) *wire.Reading {
	if n.cfg.Lists == nil {
		return nil
	}
	r := n.cfg.Lists.ListReading()
	if r.Digest == 0 {
		return nil
	}
	return &wire.Reading{Digest: r.Digest, Age: uint32(now.Sub(r.At) / time.Millisecond), Reader: r.Reader, Number: r.Number}
}

func readingOf(r *wire.Reading, now time.Time) Reading {
	return Reading{r.GetDigest(), now.Add(-time.Duration(r.GetAge()) * time.Millisecond), r.GetReader(), r.GetNumber()}
}

// noteReading processes the reading that another gate has, and requests its
// list if this gate lacks it.
func (n *Node) noteReading(from netip.AddrPort, r *wire.Reading, now time.Time) []Packet {
	if n.cfg.Lists == nil || r.GetDigest() == 0 {
		return nil
	}
	before := n.cfg.Lists.ListReading()
	missing := n.cfg.Lists.NoteReading(readingOf(r, now))
	n.changed = n.changed || n.cfg.Lists.ListReading() != before
	if !missing || now.Sub(n.requestedAt) < requestInterval {
		return nil
	}
	n.requestedAt = now
	return []Packet{{[]netip.AddrPort{from}, &wire.Datagram{Kind: &wire.Datagram_Request{
		Request: &wire.ListRequest{Buckets: n.cfg.Lists.BucketDigests()},
	}}}}
}

// answerRequest returns the parts of the list that another gate lacks, in
// several datagrams if they are large.
func (n *Node) answerRequest(from netip.AddrPort, q *wire.ListRequest, now time.Time) []Packet {
	if n.cfg.Lists == nil || len(q.GetBuckets()) != ListBuckets {
		return nil
	}
	var packets []Packet
	part := &wire.ListPart{List: n.ownReading(now)}
	add := func() {
		packets = append(packets, Packet{[]netip.AddrPort{from}, &wire.Datagram{Kind: &wire.Datagram_Part{Part: part}}})
		part = &wire.ListPart{List: part.GetList()}
	}
	size := 0
	for _, b := range n.cfg.Lists.DifferingBuckets(q.GetBuckets()) {
		part.Buckets = append(part.Buckets, b)
		if size += proto.Size(b); size > maxPartBytes {
			add()
			size = 0
		}
	}
	if len(part.GetBuckets()) > 0 {
		add()
	}
	return packets
}

func (n *Node) receivePart(p *wire.ListPart, now time.Time) {
	if n.cfg.Lists == nil || p.GetList().GetDigest() == 0 {
		return
	}
	before := n.cfg.Lists.ListReading()
	n.cfg.Lists.MergeBuckets(readingOf(p.GetList(), now), p.GetBuckets())
	n.changed = n.changed || n.cfg.Lists.ListReading() != before
}
