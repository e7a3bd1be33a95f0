// Package peer carries the packets of package raft over authenticated
// sessions of package link.
//
// Each process dials every member that it sends to and uses that session for
// its own packets only; answers travel on the session of the other direction.
// Packets are dropped rather than delayed when a member is slow or away,
// since raft repeats what matters.
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
	// outLimit and inLimit bound the packets that wait. A packet holds at
	// most 256 KiB of commands, unless a single command is larger.
	outLimit = 256
	inLimit  = 1024
	// maxPeers bounds the members dialled at a time; clusters have up to 7.
	maxPeers = 32
	// sendTime ends a session whose peer takes no bytes, so that a fresh
	// one replaces it.
	sendTime = 2 * time.Second
	// Reconnection doubles its pause between these bounds.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
	// idleTime ends the connection to a member that is not sent to any
	// more, for example because it was removed.
	idleTime = time.Minute
)

// Dialer opens a session to an address. It must return when ctx ends.
type Dialer func(ctx context.Context, addr string) (*link.Session, error)

// Transport implements raft.Transport.
type Transport struct {
	dial Dialer
	in   chan *raft.Packet

	mu    sync.Mutex // guards peers
	peers map[string]*peer
	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

type peer struct {
	addr string
	out  chan *raft.Packet
}

var (
	errClosed = eris.New("the session was closed")
	errName   = eris.New("a packet names another sender than the session; give each member its own name in the key handshake")
)

// New returns a transport that opens sessions with cfg. Close ends it.
func New(cfg link.Config) *Transport {
	return NewWithDialer(func(ctx context.Context, addr string) (*link.Session, error) {
		return link.Dial(ctx, addr, cfg)
	})
}

// NewWithDialer returns a transport that opens sessions with dial.
func NewWithDialer(dial Dialer) *Transport {
	t := &Transport{dial: dial, in: make(chan *raft.Packet, inLimit), peers: map[string]*peer{}}
	t.ctx, t.stop = context.WithCancel(context.Background())
	return t
}

// Receive implements raft.Transport.
func (t *Transport) Receive() <-chan *raft.Packet { return t.in }

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
		pr = &peer{addr: to.Addr, out: make(chan *raft.Packet, outLimit)}
		t.peers[to.Addr] = pr
		t.tasks.Go(func() { t.run(pr) })
	}
	select {
	case pr.out <- p:
	default:
	}
}

// run keeps the connection to one address.
func (t *Transport) run(pr *peer) {
	pause := minPause
	for t.ctx.Err() == nil {
		session, err := t.dial(t.ctx, pr.addr)
		if err == nil {
			pause = minPause
			err = t.pump(session, pr)
			_ = session.Close()
		}
		if err == nil {
			return // idle, or closed
		}
		klog.V(1).InfoS("connection to a member ended", "addr", pr.addr, "err", err)
		if !t.rest(pr, pause) {
			return
		}
		pause = min(2*pause, maxPause)
	}
}

// rest waits before the next connection and discards what waited for the
// last one, which is out of date. It returns false when no packet came for
// long enough to forget the address.
func (t *Transport) rest(pr *peer, pause time.Duration) bool {
	select {
	case <-t.ctx.Done():
		return false
	case <-time.After(pause):
	}
	for {
		select {
		case <-pr.out:
			continue
		default:
		}
		break
	}
	select {
	case p := <-pr.out:
		// The address is still in use; put the packet back for the next
		// connection, unless a newer one filled the queue.
		select {
		case pr.out <- p:
		default:
		}
		return true
	case <-t.ctx.Done():
		return false
	case <-time.After(idleTime):
		return !t.forget(pr)
	}
}

// forget gives up an address if no packet waits for it.
func (t *Transport) forget(pr *peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(pr.out) > 0 {
		return false
	}
	delete(t.peers, pr.addr)
	return true
}

// pump sends packets until the session fails, or returns nil when the
// address is idle or the transport closes.
func (t *Transport) pump(session *link.Session, pr *peer) error {
	stream, err := session.Open(wire.Kind_RAFT)
	if err != nil {
		return err
	}
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		select {
		case p := <-pr.out:
			_ = stream.SetDeadline(time.Now().Add(sendTime))
			if err := stream.Send(p); err != nil {
				return err
			}
			idle.Reset(idleTime)
		case <-idle.C:
			if t.forget(pr) {
				return nil
			}
			idle.Reset(idleTime)
		case <-session.Done():
			return errClosed
		case <-t.ctx.Done():
			return nil
		}
	}
}

// Serve receives packets from a stream of kind wire.Kind_RAFT that a member
// opened, until it ends. A packet that does not bear the authenticated name
// of the member is an error.
func (t *Transport) Serve(stream *link.Stream) error {
	for {
		p := &raft.Packet{}
		if err := stream.Recv(p); err != nil {
			return err
		}
		if p.From != stream.Peer().Name {
			return errName
		}
		select {
		case t.in <- p:
		case <-t.ctx.Done():
			return nil
		default:
			// The node is behind; it will ask again.
		}
	}
}

// Close ends all connections that this transport dialled.
func (t *Transport) Close() {
	t.mu.Lock()
	t.stop()
	t.mu.Unlock()
	t.tasks.Wait()
}
