// Package peer carries the packets of package raft over authenticated
// sessions of package link.
//
// Each process dials every member that it sends to and uses that session only
// for its own packets; replies arrive on the session that the member dialed.
// Packets to a slow or unreachable member are dropped rather than delayed,
// since raft resends what matters.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

const (
	// maxOutgoing limits the queued packets for each address, and maxIncoming
	// the received packets that raft has not read yet. A packet holds at most
	// 256 KiB of commands, unless a single command is larger.
	maxOutgoing = 256
	maxIncoming = 1024
	// maxPeers limits the addresses dialed at the same time; clusters have up
	// to 7 members.
	maxPeers = 32
	// sendTimeout ends a session whose peer reads no bytes, so that a new
	// session replaces it.
	sendTimeout = 2 * time.Second
	// The pause before a reconnection doubles with each failure, from
	// minRedialPause up to maxRedialPause.
	minRedialPause = 20 * time.Millisecond
	maxRedialPause = time.Second
	// idleTimeout ends the connection to an address without packets to send,
	// for example because its member was removed.
	idleTimeout = time.Minute
)

// Dialer opens a session to an address. It must return when ctx is done.
type Dialer func(ctx context.Context, addr string) (*link.Session, error)

// Transport implements raft.Transport.
type Transport struct {
	dial     Dialer
	incoming chan *raft.Packet

	mu      sync.Mutex // guards peers and unpacks
	peers   map[string]*peer
	unpacks map[string]bool // by member, whether it accepts packed packets
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// peer is an address with its queue of outgoing packets.
type peer struct {
	addr  string
	queue chan *raft.Packet
}

var (
	errClosed      = eris.New("the session was closed")
	errWrongSender = eris.New("a packet names another sender than the session; give each member its own name in the key handshake")
)

// New returns a transport that opens sessions with cfg. It is the caller's
// responsibility to call Close.
func New(cfg link.Config) *Transport {
	return NewWithDialer(func(ctx context.Context, addr string) (*link.Session, error) {
		return link.Dial(ctx, addr, cfg)
	})
}

// NewWithDialer returns a transport that opens sessions with dial. It is the
// caller's responsibility to call Close.
func NewWithDialer(dial Dialer) *Transport {
	t := &Transport{dial: dial, incoming: make(chan *raft.Packet, maxIncoming), peers: map[string]*peer{}, unpacks: map[string]bool{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Receive implements raft.Transport.
func (t *Transport) Receive() <-chan *raft.Packet { return t.incoming }

// Send implements raft.Transport.
func (t *Transport) Send(to raft.Member, p *raft.Packet) {
	if to.Addr == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	pr := t.peers[to.Addr]
	if pr == nil {
		if len(t.peers) >= maxPeers {
			return
		}
		pr = &peer{addr: to.Addr, queue: make(chan *raft.Packet, maxOutgoing)}
		t.peers[to.Addr] = pr
		t.tasks.Go(func() { t.run(pr) })
	}
	select {
	case pr.queue <- p:
	default:
	}
}

// run maintains the connection to one address.
func (t *Transport) run(pr *peer) {
	pause := minRedialPause
	for t.ctx.Err() == nil {
		session, err := t.dial(t.ctx, pr.addr)
		if err == nil {
			pause = minRedialPause
			err = t.sendPackets(session, pr)
			_ = session.Close()
		}
		if err == nil {
			return // idle, or closed
		}
		klog.V(1).InfoS("Connection to a member ended", "addr", pr.addr, "err", err)
		if !t.waitToRedial(pr, pause) {
			return
		}
		pause = min(2*pause, maxRedialPause)
	}
}

// waitToRedial pauses before the next connection and discards the packets that
// were queued for the last one, which are out of date. It then waits for a new
// packet. It returns false when the transport closes, or when it has removed the
// address because no packet was queued within idleTimeout.
func (t *Transport) waitToRedial(pr *peer, pause time.Duration) bool {
	select {
	case <-t.ctx.Done():
		return false
	case <-time.After(pause):
	}
	for {
		select {
		case <-pr.queue:
			continue
		default:
		}
		break
	}
	select {
	case p := <-pr.queue:
		// The address is still in use: return the packet to the queue for the
		// next connection, unless newer packets have filled it.
		select {
		case pr.queue <- p:
		default:
		}
		return true
	case <-t.ctx.Done():
		return false
	case <-time.After(idleTimeout):
		return !t.removeIfUnused(pr)
	}
}

// removeIfUnused removes an address that has no queued packets, and reports
// whether it did.
func (t *Transport) removeIfUnused(pr *peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(pr.queue) > 0 {
		return false
	}
	delete(t.peers, pr.addr)
	return true
}

// sendPackets sends queued packets until the session fails. It returns nil when
// the address is idle or the transport closes.
func (t *Transport) sendPackets(session *link.Session, pr *peer) error {
	stream, err := session.Open(wire.Kind_RAFT)
	if err != nil {
		return err
	}
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case p := <-pr.queue:
			_ = stream.SetDeadline(time.Now().Add(sendTimeout))
			if err := stream.Send(t.pack(p)); err != nil {
				return err
			}
			idle.Reset(idleTimeout)
		case <-idle.C:
			if t.removeIfUnused(pr) {
				return nil
			}
			idle.Reset(idleTimeout)
		case <-session.Done():
			return errClosed
		case <-t.ctx.Done():
			return nil
		}
	}
}

// Serve receives packets from a stream of kind wire.Kind_RAFT that a member
// opened, until the stream ends. It returns an error for a packet whose sender
// is not the authenticated name of the member.
func (t *Transport) Serve(stream *link.Stream) error {
	for {
		received := &raft.Packet{}
		if err := stream.Recv(received); err != nil {
			return err
		}
		p, err := unpack(received)
		if err != nil {
			return err
		}
		if p.From != stream.Peer().Name {
			return errWrongSender
		}
		t.recordUnpacks(p)
		select {
		case t.incoming <- p:
		case <-t.ctx.Done():
			return nil
		default:
			// The node is behind and the packet is dropped: raft requests the
			// missing records again.
		}
	}
}

// Close ends all connections that this transport dialed.
func (t *Transport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.tasks.Wait()
}
