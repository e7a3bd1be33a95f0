// Package share exchanges knowledge between gates in datagrams: the loads of
// backend servers, the sessions that are served, and the list of backend
// servers. A lost datagram is replaced by the next one.
package share

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

// maxDatagramBytes limits the size of a datagram.
const maxDatagramBytes = 60 << 10

// Exchange sends and receives the datagrams of a Node. It is safe for
// concurrent use.
type Exchange struct {
	*Node
	keys *link.Keys
}

// New returns the exchange of a gate, which receives datagrams at the address
// of cfg.Self.
func New(cfg Config, keys *link.Keys) *Exchange {
	return &Exchange{NewNode(cfg, rand.Uint64()), keys}
}

// SetGates sets the gates that take part; this one may be among them.
func (x *Exchange) SetGates(gates []*wire.Gate) {
	var others []Member
	for _, g := range gates {
		addr, err := netip.ParseAddrPort(g.GetAddr())
		if err != nil {
			klog.ErrorS(err, "Address of a gate is not valid", "addr", g.GetAddr())
			continue
		}
		if addr != x.self.Addr {
			others = append(others, Member{addr, ident.Zone(g.GetZone()), g.GetLink()})
		}
	}
	x.SetMembers(others, time.Now())
}

// Run exchanges datagrams until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(x.self.Addr))
	if err != nil {
		return eris.Wrap(err, "cannot listen for the datagrams of other gates")
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stopClosing()
	g := group.New(ctx)
	g.Go("send loads", func(ctx context.Context) error { return x.send(ctx, conn) })
	g.Go("receive loads", func(ctx context.Context) error { return x.receive(ctx, conn) })
	return g.Wait()
}

func (x *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	timer := time.NewTimer(minDirectInterval)
	defer timer.Stop()
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			packets, next := x.Tick(time.Now())
			timer.Reset(next)
			buf = x.write(conn, packets, buf)
		}
	}
}

// write sends datagrams, encoded in buf, which it returns.
func (x *Exchange) write(conn *net.UDPConn, packets []Packet, buf []byte) []byte {
	for _, p := range packets {
		data, err := proto.MarshalOptions{}.MarshalAppend(buf[:0], p.Message)
		if err != nil {
			klog.ErrorS(err, "Cannot encode a datagram for other gates")
			continue
		}
		buf = x.keys.SignDatagram(data)
		for _, to := range p.To {
			// An error needs no handling: a lost datagram is replaced by the
			// next.
			_, _ = conn.WriteToUDPAddrPort(buf, to)
		}
	}
	return buf
}

func (x *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, maxDatagramBytes)
	var out []byte
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "cannot receive the datagrams of other gates")
		}
		data, ok := x.keys.VerifyDatagram(buf[:n])
		if !ok {
			klog.V(1).InfoS("Dropped a datagram without a valid seal")
			continue
		}
		d := &wire.Datagram{}
		if err := proto.Unmarshal(data, d); err != nil {
			klog.ErrorS(err, "Cannot decode a datagram of a gate")
			continue
		}
		out = x.write(conn, x.Receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), d, time.Now()), out)
	}
}
