// Package share exchanges the loads of backend servers between gates. Each gate
// sends what it has under way there in datagrams; one that is lost is replaced
// by the next.
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
	// leastEvery is the interval of the datagrams to a few gates.
	leastEvery = 40 * time.Millisecond
	// mostRate bounds the datagrams that a gate gets per second; with many
	// gates each one sends less often.
	mostRate = 160.0
	// MaxSendInterval is the longest interval while nothing changes.
	MaxSendInterval = time.Second
	// mostDatagram bounds a datagram, in bytes.
	mostDatagram = 32 << 10
)

// LoadTable is what the exchange tells others of, and tells of others.
type LoadTable interface {
	// LocalLoads returns this gate's loads, and whether they have changed since
	// the last call.
	LocalLoads() ([]*wire.Share, bool)
	// MergeLoads takes the loads of another gate, which holds until the next ones
	// or until keep has passed.
	MergeLoads(l *wire.Loads, keep time.Duration)
}

// ServerList is the list of backend servers, which one gate reads for all.
type ServerList interface {
	// ListAnnouncement returns the digest of the list and the time at which it was read,
	// and the list itself while the others may not have it.
	ListAnnouncement() (digest uint64, read time.Time, list []*wire.Listed)
	// AdoptList takes the list of another gate.
	AdoptList(digest uint64, read time.Time, list []*wire.Listed)
}

// SessionTable are the sessions that the gates serve.
type SessionTable interface {
	// TakeServedSessions returns the sessions served since the last call.
	TakeServedSessions() []*wire.Seen
	// MergeSessions takes those of another gate.
	MergeSessions([]*wire.Seen)
}

// Exchange sends and takes loads. It is safe for concurrent use.
type Exchange struct {
	name   string
	zone   ident.Zone
	listen string
	keys   *link.Keys
	source LoadTable
	// sessions and lists may be nil.
	sessions SessionTable
	lists    ServerList
	run      uint64

	mu     sync.Mutex // guards others
	others []netip.AddrPort
}

// New returns an exchange of a gate in a zone that takes datagrams at listen,
// HOST:PORT.
func New(name string, zone ident.Zone, listen string, keys *link.Keys, source LoadTable, sessions SessionTable, lists ServerList) *Exchange {
	return &Exchange{name: name, zone: zone, listen: listen, keys: keys, source: source, sessions: sessions, lists: lists, run: rand.Uint64()}
}

// Address returns the address for the other gates.
func (x *Exchange) Address() string { return x.listen }

// SetPeers sets the gates to send to.
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
	if len(list) == 0 && len(x.others) > 0 {
		return // a new leader does not know the gates yet
	}
	if !slices.Equal(list, x.others) {
		klog.InfoS("Gates to exchange loads with", "gates", addrs)
	}
	x.others = list
}

// every returns the interval of the datagrams.
func (x *Exchange) every() (time.Duration, []netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return max(leastEvery, time.Duration(float64(len(x.others))/mostRate*float64(time.Second))), x.others
}

// Run exchanges loads until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", x.listen)
	if err != nil {
		return eris.Wrap(err, "the address for the loads of other gates is not valid")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return eris.Wrap(err, "cannot listen for the loads of other gates")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	g := group.New(ctx)
	g.Go("send loads", func(ctx context.Context) error { return x.send(ctx, conn) })
	g.Go("take loads", func(ctx context.Context) error { return x.take(ctx, conn) })
	return g.Wait()
}

func (x *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	var seq uint64
	var buf []byte
	var before []*wire.Seen
	last := time.Time{}
	timer := time.NewTimer(leastEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		every, others := x.every()
		timer.Reset(every)
		shares, changed := x.source.LocalLoads()
		var fresh []*wire.Seen
		if x.sessions != nil {
			fresh = x.sessions.TakeServedSessions()
		}
		l := &wire.Loads{Name: x.name, Zone: string(x.zone), Run: x.run, Shares: shares, Sessions: append(before, fresh...)}
		if x.lists != nil {
			l.Digest, l.Age, l.List = x.listing()
		}
		if !changed && len(l.GetSessions())+len(l.GetList()) == 0 && time.Since(last) < MaxSendInterval || len(others) == 0 {
			continue
		}
		last = time.Now()
		seq++
		l.Seq = seq
		data, err := proto.MarshalOptions{}.MarshalAppend(buf[:0], l)
		before = fresh
		if err != nil {
			klog.ErrorS(err, "Loads not encoded")
			continue
		}
		buf = x.keys.Seal(data)
		for _, to := range others {
			// A lost datagram is replaced by the next.
			_, _ = conn.WriteToUDPAddrPort(buf, to)
		}
	}
}

func (x *Exchange) listing() (digest uint64, age uint32, list []*wire.Listed) {
	digest, read, list := x.lists.ListAnnouncement()
	if read.IsZero() {
		return 0, 0, nil
	}
	return digest, uint32(time.Since(read) / time.Millisecond), list
}

// Rank returns the position of this gate among all that it knows; the first one
// reads for the others.
func (x *Exchange) Rank() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := 0
	own := xxhash.Sum64String(x.listen)
	for _, o := range x.others {
		if xxhash.Sum64String(o.String()) < own {
			rank++
		}
	}
	return rank
}

// keepTimes is how many intervals the loads of a silent gate count.
const keepTimes = 3

func (x *Exchange) take(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, mostDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "cannot take the loads of other gates")
		}
		data, ok := x.keys.Unseal(buf[:n])
		if !ok {
			klog.V(1).InfoS("Datagram without a valid seal left out")
			continue
		}
		l := &wire.Loads{}
		if err := proto.Unmarshal(data, l); err != nil {
			klog.ErrorS(err, "Datagram of a gate cannot be read")
			continue
		}
		x.source.MergeLoads(l, keepTimes*MaxSendInterval)
		if x.sessions != nil {
			x.sessions.MergeSessions(l.GetSessions())
		}
		if x.lists != nil && l.GetDigest() != 0 {
			x.lists.AdoptList(l.GetDigest(), time.Now().Add(-time.Duration(l.GetAge())*time.Millisecond), l.GetList())
		}
	}
}
