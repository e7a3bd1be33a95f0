// Package share exchanges the loads of backend servers between gates. Each gate
// sends datagrams with what it has in flight at each server; a lost datagram is
// replaced by the next one.
package share

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

const (
	// minSendInterval is the interval between datagrams while there are few
	// gates.
	minSendInterval = 40 * time.Millisecond
	// maxReceiveRate limits the datagrams that a gate receives per second; with
	// many gates each one sends less often.
	maxReceiveRate = 160.0
	// MaxSendInterval is the longest interval between datagrams while nothing
	// changes.
	MaxSendInterval = time.Second
	// maxDatagramBytes limits the size of a datagram.
	maxDatagramBytes = 32 << 10
)

// LoadTable holds the loads of backend servers: those that this gate causes and
// those that other gates report.
type LoadTable interface {
	// LocalLoads returns this gate's loads, and whether they have changed since
	// the last call.
	LocalLoads() ([]*wire.Share, bool)
	// MergeLoads stores the loads of another gate, which are valid until its
	// next ones arrive or until ttl has passed.
	MergeLoads(l *wire.Loads, ttl time.Duration)
}

// ServerList is the list of backend servers, which one gate reads for all.
type ServerList interface {
	// ListAnnouncement returns the digest of the list, when it was read, and
	// the list itself while other gates may not have it.
	ListAnnouncement() (digest uint64, read time.Time, list []*wire.Listed)
	// AdoptList processes the announcement of another gate's list; list is
	// empty if only its digest was sent.
	AdoptList(digest uint64, read time.Time, list []*wire.Listed)
}

// SessionTable holds the sessions that the gates serve.
type SessionTable interface {
	// TakeServedSessions returns the sessions served since the last call.
	TakeServedSessions() []*wire.Seen
	// MergeSessions stores the sessions that another gate served.
	MergeSessions([]*wire.Seen)
}

// Exchange sends and receives loads. It is safe for concurrent use.
type Exchange struct {
	name   string
	zone   ident.Zone
	listen string
	keys   *link.Keys
	loads  LoadTable
	// sessions and lists may be nil.
	sessions SessionTable
	lists    ServerList
	run      uint64 // drawn at the start, tells restarts apart

	mu    sync.Mutex // guards peers
	peers []netip.AddrPort
}

// New returns the exchange of the named gate in a zone; it receives datagrams
// at listen, HOST:PORT.
func New(name string, zone ident.Zone, listen string, keys *link.Keys, loads LoadTable, sessions SessionTable, lists ServerList) *Exchange {
	return &Exchange{name: name, zone: zone, listen: listen, keys: keys, loads: loads, sessions: sessions, lists: lists, run: rand.Uint64()}
}

// Address returns the address to which the other gates send.
func (x *Exchange) Address() string { return x.listen }

// SetPeers sets the gates to send to. An empty list does not replace an earlier
// one.
func (x *Exchange) SetPeers(addrs []string) {
	var list []netip.AddrPort
	for _, a := range addrs {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			klog.ErrorS(err, "Address of a gate is not valid", "addr", a)
			continue
		}
		list = append(list, addr)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(list) == 0 && len(x.peers) > 0 {
		return // a new leader does not know the gates yet
	}
	if !slices.Equal(list, x.peers) {
		klog.InfoS("Peer gates changed", "gates", addrs)
	}
	x.peers = list
}

// sendSchedule returns the interval between datagrams and the gates to send
// them to.
func (x *Exchange) sendSchedule() (time.Duration, []netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return max(minSendInterval, time.Duration(float64(len(x.peers))/maxReceiveRate*float64(time.Second))), x.peers
}

// Run exchanges loads until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", x.listen)
	if err != nil {
		return eris.Wrap(err, "the listen address for loads of other gates is not valid")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return eris.Wrap(err, "cannot listen for the loads of other gates")
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stopClosing()
	g := group.New(ctx)
	g.Go("send loads", func(ctx context.Context) error { return x.send(ctx, conn) })
	g.Go("receive loads", func(ctx context.Context) error { return x.receive(ctx, conn) })
	return g.Wait()
}

func (x *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	var seq uint64
	var buf []byte
	var previous []*wire.Seen // sent in the last datagram; each session is sent twice, as one may be lost
	lastSent := time.Time{}
	timer := time.NewTimer(minSendInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		interval, peers := x.sendSchedule()
		timer.Reset(interval)
		shares, changed := x.loads.LocalLoads()
		var served []*wire.Seen
		if x.sessions != nil {
			served = x.sessions.TakeServedSessions()
		}
		l := &wire.Loads{Name: x.name, Zone: string(x.zone), Run: x.run, Shares: shares, Sessions: append(previous, served...)}
		if x.lists != nil {
			l.Digest, l.Age, l.List = x.listAnnouncement()
		}
		if !changed && len(l.GetSessions())+len(l.GetList()) == 0 && time.Since(lastSent) < MaxSendInterval || len(peers) == 0 {
			continue
		}
		lastSent = time.Now()
		seq++
		l.Seq = seq
		data, err := proto.MarshalOptions{}.MarshalAppend(buf[:0], l)
		previous = served
		if err != nil {
			klog.ErrorS(err, "Cannot encode loads")
			continue
		}
		buf = x.keys.SignDatagram(data)
		for _, to := range peers {
			// An error needs no handling: a lost datagram is replaced by the
			// next.
			_, _ = conn.WriteToUDPAddrPort(buf, to)
		}
	}
}

// listAnnouncement returns what a datagram carries of the list; age is in
// milliseconds.
func (x *Exchange) listAnnouncement() (digest uint64, age uint32, list []*wire.Listed) {
	digest, read, list := x.lists.ListAnnouncement()
	if read.IsZero() {
		return 0, 0, nil
	}
	return digest, uint32(time.Since(read) / time.Millisecond), list
}

// Rank returns the position of this gate among all that it knows, in an order
// that all gates share; the first one reads the list for the others.
func (x *Exchange) Rank() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := 0
	own := xxhash.Sum64String(x.listen)
	for _, o := range x.peers {
		if xxhash.Sum64String(o.String()) < own {
			rank++
		}
	}
	return rank
}

// expiryIntervals is the number of intervals after which the loads of a silent
// gate expire.
const expiryIntervals = 3

func (x *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "cannot receive the loads of other gates")
		}
		data, ok := x.keys.VerifyDatagram(buf[:n])
		if !ok {
			klog.V(1).InfoS("Dropped a datagram without a valid seal")
			continue
		}
		l := &wire.Loads{}
		if err := proto.Unmarshal(data, l); err != nil {
			klog.ErrorS(err, "Cannot decode a datagram of a gate")
			continue
		}
		x.loads.MergeLoads(l, expiryIntervals*MaxSendInterval)
		if x.sessions != nil {
			x.sessions.MergeSessions(l.GetSessions())
		}
		if x.lists != nil && l.GetDigest() != 0 {
			x.lists.AdoptList(l.GetDigest(), time.Now().Add(-time.Duration(l.GetAge())*time.Millisecond), l.GetList())
		}
	}
}
