package node

import (
	"context"
	"net"
	"runtime"
	"sync"
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

// alone is a consensus of one member in memory.
type alone struct {
	mu      sync.Mutex
	m       *Machine
	index   uint64
	elected time.Time // zero: not leading
	slow    time.Duration
	lose    int // so many proposals are applied and then reported lost
	log     []*wire.Command
}

func (a *alone) Propose(_ context.Context, command []byte) ([]byte, error) {
	time.Sleep(a.slow)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.elected.IsZero() {
		return nil, raft.NotLeader{}
	}
	var c wire.Command
	if err := proto.Unmarshal(command, &c); err == nil {
		a.log = append(a.log, &c)
	}
	a.index++
	result := a.m.Apply(a.index, command)
	if a.lose > 0 {
		a.lose--
		return nil, raft.OutcomeUnknown{}
	}
	return result, nil
}

func (a *alone) ReadBarrier(context.Context) error { return nil }
func (a *alone) HoldsLease() bool                  { return !a.ElectedAt().IsZero() }
func (a *alone) Status() raft.Status               { return raft.Status{Name: "s1", Leader: "s1"} }

func (a *alone) Leader() (raft.Member, bool) {
	return raft.Member{Name: "s1", Addr: "s1"}, a.HoldsLease()
}

func (a *alone) ElectedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.elected
}

func (a *alone) elect(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.elected = t
}

func (a *alone) loseNext(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lose = n
}

var (
	processKeys  = link.NewKeys("p", link.RoleProcess, []byte("0123456789abcdef"))
	operatorKeys = link.NewKeys("o", link.RoleOperator, []byte("0123456789abcdef"))
)

// rig is a node with its clients over pipes with a latency.
type rig struct {
	t    *testing.T
	ctx  context.Context
	cons *alone
	node *Node
	wg   sync.WaitGroup
}

const latency = 20 * time.Millisecond // one way

// bubble runs f in a synctest bubble with a node that was elected long ago.
// yamux keeps timers in a global pool, and a timer must not pass from one
// bubble to another; two collections empty the pool.
func bubble(t *testing.T, f func(r *rig), opts ...Option) {
	t.Helper()
	empty := func() { runtime.GC(); runtime.GC() }
	empty()
	defer empty()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := NewMachine()
		r := &rig{t: t, ctx: ctx, cons: &alone{m: m, elected: time.Now()}}
		defer r.wg.Wait()
		defer cancel()
		all := append([]Option{WithConsensus(r.cons), WithMachine(m), WithLink(link.Config{Name: "s1", Keys: processKeys})}, opts...)
		n, err := New(all...)
		if err != nil {
			t.Fatal(err)
		}
		r.node = n
		r.wg.Go(func() { _ = n.watchLeases(ctx) })
		r.wg.Go(func() { _ = n.lead(ctx) })
		time.Sleep(ident.GuardedLeaseDuration + 2*time.Second)
		f(r)
	})
}

// path is the network between one client and the node.
type path struct {
	r    *rig
	mu   sync.Mutex
	up   bool // messages to the node pass
	down bool // messages from the node pass
}

func (p *path) set(up, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up, p.down = up, down
}

// dial connects through two pipes with a pump in between that delays, and
// that drops for good once the path was cut.
func (p *path) dial(ctx context.Context, _ string) (*link.Session, error) {
	p.mu.Lock()
	open := p.up && p.down
	p.mu.Unlock()
	if !open {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, a := net.Pipe()
	b, far := net.Pipe()
	p.r.wg.Go(func() { p.pump(a, b, func() bool { return p.up }) })
	p.r.wg.Go(func() { p.pump(b, a, func() bool { return p.down }) })
	p.r.wg.Go(func() { p.r.node.Serve(p.r.ctx, far) })
	return link.Client(near, link.Config{Name: "gate", Keys: processKeys})
}

func (p *path) pump(from, to net.Conn, passes func() bool) {
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
		cut = cut || !passes()
		p.mu.Unlock()
		if !cut {
			queue <- packet{buf[:n], time.Now().Add(latency)}
		}
	}
	close(queue)
	<-done
}

// client returns a client with its path.
func (r *rig) client(opts ...client.Option) (*client.Client, *path) {
	p := &path{r: r, up: true, down: true}
	all := []client.Option{
		client.WithAddresses("s1"), client.WithLink(link.Config{Name: "gate", Keys: processKeys}), client.WithDialer(p.dial),
	}
	c, err := client.New(append(all, opts...)...)
	if err != nil {
		r.t.Fatal(err)
	}
	return c, p
}

// hold returns a client that has got its lease.
func (r *rig) hold(opts ...client.Option) (*client.Client, *path, context.CancelFunc) {
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

func change(n uint64, key, value string) *wire.Command {
	e := []*wire.Entry{{Key: key, Value: []byte(value), Gone: value == ""}}
	return &wire.Command{Actor: "op", Kind: &wire.Command_Change{Change: &wire.Change{Number: n, Digest: ledger.ChangeDigest(e), Entries: e}}}
}

// commit has a command committed and returns the configuration's revision.
func (r *rig) commit(c *wire.Command) uint64 {
	r.t.Helper()
	res, err := r.node.propose(r.ctx, c)
	if err != nil || res.GetFault() != nil {
		r.t.Fatalf("got %v, %v, want a commit", res, err)
	}
	return r.node.ledger.Revision()
}

// force waits until a revision is in force.
func (r *rig) force(revision uint64) *wire.Waited {
	r.t.Helper()
	w, err := r.node.wait(r.ctx, &wire.WaitQuery{Revision: revision, Timeout: 10_000})
	if err != nil || !w.GetDone() {
		r.t.Fatalf("got %v, %v, want revision %d in force", w, err, revision)
	}
	return w
}
