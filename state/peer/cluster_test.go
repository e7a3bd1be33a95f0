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

func config(name string) link.Config {
	return link.Config{Name: name, Keys: link.NewKeys("k", link.RoleProcess, secret)}
}

// end is the accepting side of one process.
type end struct {
	l     net.Listener
	mu    sync.Mutex
	open  []*link.Session
	over  bool
	tasks sync.WaitGroup
}

func listen(tb testing.TB, addr, name string, serve func(*link.Stream) error) *end {
	tb.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	e := &end{l: l}
	e.tasks.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.tasks.Go(func() { e.session(conn, name, serve) })
		}
	})
	return e
}

func (e *end) session(conn net.Conn, name string, serve func(*link.Stream) error) {
	s, err := link.Server(conn, config(name))
	if err != nil {
		return
	}
	e.mu.Lock()
	e.open = append(e.open, s)
	if e.over {
		_ = s.Close() // its handshake ended after close
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

// drop closes the sessions that are open now.
func (e *end) drop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.open {
		_ = s.Close()
	}
	e.open = nil
}

func (e *end) close() {
	_ = e.l.Close()
	e.mu.Lock()
	e.over = true
	e.mu.Unlock()
	e.drop()
	e.tasks.Wait()
}

// counter is a small machine: its state is the number of commands.
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

type process struct {
	path    string
	member  raft.Member
	initial []raft.Member
	opts    []raft.Option

	store   *store.Store
	node    *raft.Node
	machine *counter
	tr      *Transport
	end     *end
	cancel  context.CancelFunc
	done    chan error
}

func (p *process) start(tb testing.TB) {
	tb.Helper()
	dir, err := store.OpenFolder(p.path)
	if err != nil {
		tb.Fatal(err)
	}
	if p.store, err = store.Open(dir, p.member.Name); err != nil {
		tb.Fatal(err)
	}
	p.machine = &counter{}
	p.tr = New(config(p.member.Name))
	p.end = listen(tb, p.member.Addr, p.member.Name, p.tr.Serve)
	opts := append([]raft.Option{
		raft.WithName(p.member.Name), raft.WithAddress(p.member.Addr), raft.WithInitialMembers(p.initial...),
		raft.WithStore(p.store), raft.WithTransport(p.tr), raft.WithStateMachine(p.machine),
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
	p.tr.Close()
	p.end.close()
	if err := p.store.Close(); err != nil {
		tb.Error(err)
	}
}

func cluster(tb testing.TB, size int, opts ...raft.Option) []*process {
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
		p := &process{path: tb.TempDir(), member: m, initial: initial, opts: opts}
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

// leader polls until one of the processes holds the lease.
func leader(tb testing.TB, list []*process) *process {
	tb.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	end := time.After(time.Minute)
	for {
		for _, p := range list {
			if p.node.HoldsLease() {
				return p
			}
		}
		select {
		case <-tick.C:
		case <-end:
			tb.Fatal("no leader within a minute")
		}
	}
}
