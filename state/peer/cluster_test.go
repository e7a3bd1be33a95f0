package peer

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"citronledge.example/core/link"
	"citronledge.example/state/raft"
	"citronledge.example/state/store"
)

var secret = []byte("0123456789abcdef")

func linkConfig(name string) link.Config {
	return link.Config{Name: name, Keys: link.NewKeys("k", link.RoleProcess, secret)}
}

// acceptor is the listener of one process with its open sessions.
type acceptor struct {
	listener net.Listener
	mu       sync.Mutex
	sessions []*link.Session
	closed   bool
	tasks    sync.WaitGroup
}

func listen(tb testing.TB, addr, name string, serve func(*link.Stream) error) *acceptor {
	tb.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	e := &acceptor{listener: l}
	e.tasks.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.tasks.Go(func() { e.serveSession(conn, name, serve) })
		}
	})
	return e
}

func (e *acceptor) serveSession(conn net.Conn, name string, serve func(*link.Stream) error) {
	s, err := link.Server(conn, linkConfig(name))
	if err != nil {
		return
	}
	e.mu.Lock()
	e.sessions = append(e.sessions, s)
	if e.closed {
		_ = s.Close() // the handshake ended after close
	}
	e.mu.Unlock()
	for {
		st, err := s.Accept()
		if err != nil {
			return
		}
		e.tasks.Go(func() {
			if serve(st) != nil {
				_ = st.Close()
			}
		})
	}
}

// closeSessions closes the sessions that are open now.
func (e *acceptor) closeSessions() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		_ = s.Close()
	}
	e.sessions = nil
}

func (e *acceptor) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.closeSessions()
	e.tasks.Wait()
}

// counter is a raft.StateMachine whose state is the number of applied commands.
type counter struct {
	mu sync.Mutex
	n  uint64
}

func (c *counter) Apply(uint64, []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return nil
}

func (c *counter) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

func (c *counter) Snapshot() ([]byte, error) {
	return binary.LittleEndian.AppendUint64(nil, c.count()), nil
}

func (c *counter) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n = binary.LittleEndian.Uint64(data)
	return nil
}

// process is one member of a cluster with its real files and sessions.
type process struct {
	dir     string
	member  raft.Member
	initial []raft.Member
	opts    []raft.Option

	store     *store.Store
	node      *raft.Node
	machine   *counter
	transport *Transport
	acceptor  *acceptor
	cancel    context.CancelFunc
	done      chan error
}

func (p *process) start(tb testing.TB) {
	tb.Helper()
	dir, err := store.OpenFolder(p.dir)
	if err != nil {
		tb.Fatal(err)
	}
	if p.store, err = store.Open(dir, p.member.Name); err != nil {
		tb.Fatal(err)
	}
	p.machine = &counter{}
	p.transport = New(linkConfig(p.member.Name))
	p.acceptor = listen(tb, p.member.Addr, p.member.Name, p.transport.Serve)
	opts := append([]raft.Option{
		raft.WithName(p.member.Name), raft.WithAddress(p.member.Addr), raft.WithInitialMembers(p.initial...),
		raft.WithStore(p.store), raft.WithTransport(p.transport), raft.WithStateMachine(p.machine),
	}, p.opts...)
	if p.node, err = raft.New(opts...); err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel, p.done = cancel, make(chan error, 1)
	go func() { p.done <- p.node.Run(ctx) }()
}

func (p *process) stop(tb testing.TB) {
	tb.Helper()
	p.cancel()
	if err := <-p.done; err != nil {
		tb.Error(err)
	}
	p.transport.Close()
	p.acceptor.close()
	if err := p.store.Close(); err != nil {
		tb.Error(err)
	}
}

func startCluster(tb testing.TB, size int, opts ...raft.Option) []*process {
	tb.Helper()
	var initial []raft.Member
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		initial = append(initial, raft.Member{Name: fmt.Sprintf("m%d", i+1), Addr: l.Addr().String()})
		_ = l.Close()
	}
	var list []*process
	for _, m := range initial {
		p := &process{dir: tb.TempDir(), member: m, initial: initial, opts: opts}
		p.start(tb)
		list = append(list, p)
	}
	tb.Cleanup(func() {
		for _, p := range list {
			p.stop(tb)
		}
	})
	return list
}

// waitForLeader polls until one of the processes holds the leader lease.
func waitForLeader(tb testing.TB, list []*process) *process {
	tb.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	timeout := time.After(time.Minute)
	for {
		for _, p := range list {
			if p.node.HoldsLease() {
				return p
			}
		}
		select {
		case <-tick.C:
		case <-timeout:
			tb.Fatal("no leader within a minute")
		}
	}
}
