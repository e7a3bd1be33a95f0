package node

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/client"
	"citronledge.example/core/ident"
	"citronledge.example/core/ledger"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

// singleMember is a consensus of one member in memory.
type singleMember struct {
	mu       sync.Mutex
	machine  *Machine
	index    uint64
	elected  time.Time // zero: not leading
	delay    time.Duration
	losses   int // number of proposals still to be applied and then reported as lost
	commands []*wire.Command
}

func (s *singleMember) Propose(_ context.Context, command []byte) ([]byte, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.elected.IsZero() {
		return nil, raft.NotLeader{}
	}
	var c wire.Command
	if err := proto.Unmarshal(command, &c); err == nil {
		s.commands = append(s.commands, &c)
	}
	s.index++
	result := s.machine.Apply(s.index, command)
	if s.losses > 0 {
		s.losses--
		return nil, raft.OutcomeUnknown{}
	}
	return result, nil
}

func (s *singleMember) ReadBarrier(context.Context) error { return nil }
func (s *singleMember) HoldsLease() bool                  { return !s.ElectedAt().IsZero() }
func (s *singleMember) Status() raft.Status               { return raft.Status{Name: "s1", Leader: "s1"} }

func (s *singleMember) Leader() (raft.Member, bool) {
	return raft.Member{Name: "s1", Addr: "s1"}, s.HoldsLease()
}

func (s *singleMember) ElectedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.elected
}

func (s *singleMember) setElected(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.elected = t
}

func (s *singleMember) loseResults(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses = n
}

var (
	processKeys  = link.NewKeys("p", link.RoleProcess, []byte("0123456789abcdef"))
	operatorKeys = link.NewKeys("o", link.RoleOperator, []byte("0123456789abcdef"))
)

// testRig is a node whose clients connect over pipes with a latency.
type testRig struct {
	t         *testing.T
	ctx       context.Context
	consensus *singleMember
	node      *Node
	wg        sync.WaitGroup
	sent      atomic.Int64 // bytes from the node to its clients
}

const latency = 20 * time.Millisecond // one way

// bubble runs f in a synctest bubble with a node that was elected long ago.
// yamux keeps timers in a global pool, and a timer must not pass from one
// bubble to another; two garbage collections empty the pool.
func bubble(t *testing.T, f func(r *testRig), opts ...Option) {
	t.Helper()
	empty := func() { runtime.GC(); runtime.GC() }
	empty()
	defer empty()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := NewMachine()
		r := &testRig{t: t, ctx: ctx, consensus: &singleMember{machine: m, elected: time.Now()}}
		defer r.wg.Wait()
		defer cancel()
		all := append([]Option{WithConsensus(r.consensus), WithMachine(m), WithLink(link.Config{Name: "s1", Keys: processKeys})}, opts...)
		n, err := New(all...)
		if err != nil {
			t.Fatal(err)
		}
		r.node = n
		r.wg.Go(func() { _ = n.watchLeases(ctx) })
		r.wg.Go(func() { _ = n.runLeaderTasks(ctx) })
		time.Sleep(ident.GuardedLeaseDuration + 2*time.Second)
		f(r)
	})
}

// clientPath is the network between one client and the node.
type clientPath struct {
	r    *testRig
	mu   sync.Mutex
	up   bool // messages to the node are delivered
	down bool // messages from the node are delivered
}

func (p *clientPath) setOpen(up, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up, p.down = up, down
}

// dial connects through two pipes. The forwarders between them delay messages,
// and drop all of them for good once their direction was cut.
func (p *clientPath) dial(ctx context.Context, _ string) (*link.Session, error) {
	p.mu.Lock()
	open := p.up && p.down
	p.mu.Unlock()
	if !open {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, a := net.Pipe()
	b, far := net.Pipe()
	p.r.wg.Go(func() { p.forward(a, b, func(int) bool { return p.up }) })
	p.r.wg.Go(func() {
		p.forward(b, a, func(n int) bool {
			p.r.sent.Add(int64(n))
			return p.down
		})
	})
	p.r.wg.Go(func() { p.r.node.Serve(p.r.ctx, far) })
	return link.Client(near, link.Config{Name: "gate", Keys: processKeys})
}

func (p *clientPath) forward(from, to net.Conn, passes func(bytes int) bool) {
	type packet struct {
		data []byte
		due  time.Time
	}
	queue := make(chan packet, 1000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = to.Close() }()
		for x := range queue {
			time.Sleep(time.Until(x.due))
			_, _ = to.Write(x.data)
		}
	}()
	cut := false
	for {
		buf := make([]byte, 64<<10)
		n, err := from.Read(buf)
		if err != nil {
			break
		}
		p.mu.Lock()
		cut = !passes(n) || cut
		p.mu.Unlock()
		if !cut {
			queue <- packet{buf[:n], time.Now().Add(latency)}
		}
	}
	close(queue)
	<-done
}

// client returns a client with its path.
func (r *testRig) client(opts ...client.Option) (*client.Client, *clientPath) {
	p := &clientPath{r: r, up: true, down: true}
	all := []client.Option{
		client.WithAddresses("s1"), client.WithLink(link.Config{Name: "gate", Keys: processKeys}), client.WithDialer(p.dial),
	}
	c, err := client.New(append(all, opts...)...)
	if err != nil {
		r.t.Fatal(err)
	}
	return c, p
}

// holdLease returns a client that holds a lease.
func (r *testRig) holdLease(opts ...client.Option) (*client.Client, *clientPath, context.CancelFunc) {
	c, p := r.client(opts...)
	ctx, cancel := context.WithCancel(r.ctx)
	r.wg.Go(func() {
		_ = c.HoldLease(ctx)
		_ = c.Close()
	})
	for !c.LeaseValidAt(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	return c, p, cancel
}

func changeCommand(n uint64, key, value string) *wire.Command {
	e := []*wire.Entry{{Key: key, Value: []byte(value), Gone: value == ""}}
	return &wire.Command{Actor: "op", Kind: &wire.Command_Change{Change: &wire.Change{Number: n, Digest: ledger.ChangeDigest(e), Entries: e}}}
}

// commit has a command committed and returns the revision of the configuration.
func (r *testRig) commit(c *wire.Command) uint64 {
	r.t.Helper()
	res, err := r.node.propose(r.ctx, c)
	if err != nil || res.GetFault() != nil {
		r.t.Fatalf("got %v, %v, want a commit", res, err)
	}
	return r.node.ledger.Revision()
}

// waitInForce waits until a revision is in force.
func (r *testRig) waitInForce(revision uint64) *wire.Waited {
	r.t.Helper()
	w, err := r.node.waitInForce(r.ctx, &wire.WaitQuery{Revision: revision, Timeout: 10_000})
	if err != nil || !w.GetDone() {
		r.t.Fatalf("got %v, %v, want revision %d in force", w, err, revision)
	}
	return w
}
