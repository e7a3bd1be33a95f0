package raft

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/state/store"
)

// world simulates a cluster: network, disks and machines. It checks in
// passing that a term has one leader, that one lease is held at a time, and
// that all machines apply the same commands at the same index.
type world struct {
	t       *testing.T
	rng     *rand.Rand // for the goroutine of the test
	names   []string
	hosts   map[string]*host
	options []Option

	mu      sync.Mutex // guards all below
	noise   *rand.Rand
	cuts    map[[2]string]bool
	drop    float64
	twice   float64
	delay   time.Duration            // longest
	lag     map[string]time.Duration // more delay, by sender
	leaders map[uint64]string
	history map[uint64]string
	acked   map[string]uint64 // command to a lower bound of its index
	top     uint64            // highest index known to be acknowledged
}

type host struct {
	w      *world
	name   string
	disk   *store.MemoryFolder
	store  *store.Store
	node   *Node
	inbox  chan *Packet
	dead   bool // guarded by world.mu
	cancel context.CancelFunc
	ended  chan struct{}
	err    error

	mu      sync.Mutex
	applied []string
	index   uint64
}

func simulate(t *testing.T, seed uint64, size int, f func(t *testing.T, w *world), opts ...Option) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, rng: rand.New(rand.NewPCG(seed, 2)), noise: rand.New(rand.NewPCG(seed, 3)), hosts: map[string]*host{}, options: opts,
			cuts: map[[2]string]bool{}, lag: map[string]time.Duration{}, delay: 2 * time.Millisecond,
			leaders: map[uint64]string{}, history: map[uint64]string{}, acked: map[string]uint64{},
		}
		for i := range size {
			w.names = append(w.names, fmt.Sprintf("m%d", i+1))
		}
		for _, name := range w.names {
			w.start(name, store.NewMemoryFolder())
		}
		stop := make(chan struct{})
		go w.watch(stop)
		defer func() {
			close(stop)
			for _, h := range w.hosts {
				w.stop(h.name)
			}
		}()
		f(t, w)
	})
}

// watch fails the test when two nodes hold a lease at the same time.
func (w *world) watch(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		var holders []string
		w.mu.Lock()
		for name, h := range w.hosts {
			if h.node.HoldsLease() {
				holders = append(holders, name)
			}
		}
		w.mu.Unlock()
		if len(holders) > 1 {
			w.t.Errorf("leases held by %v at once", holders)
		}
	}
}

func member(name string) Member { return Member{Name: name, Addr: "addr-" + name} }

func (w *world) start(name string, disk *store.MemoryFolder) *host {
	w.t.Helper()
	st, err := store.Open(disk, name)
	if err != nil {
		w.t.Fatalf("%s: %v", name, err)
	}
	h := &host{w: w, name: name, disk: disk, store: st, inbox: make(chan *Packet, 1000), ended: make(chan struct{})}
	var initial []Member
	for _, n := range w.names {
		initial = append(initial, member(n))
	}
	opts := append([]Option{
		WithName(name), WithAddress("addr-" + name), WithInitialMembers(initial...), WithStore(st),
		WithTransport(h), WithStateMachine(h), WithSeed(w.rng.Uint64() | 1),
	}, w.options...)
	if h.node, err = New(opts...); err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	go func() {
		defer close(h.ended)
		h.err = h.node.Run(ctx)
	}()
	return h
}

// stop ends a host without a chance to tell the others.
func (w *world) stop(name string) *host {
	h := w.hosts[name]
	w.mu.Lock()
	h.dead = true
	w.mu.Unlock()
	h.cancel()
	<-h.ended
	return h
}

// crash ends a host, loses what it had not synced, and returns its disk.
func (w *world) crash(name string) *store.MemoryFolder {
	h := w.hosts[name]
	// The failing sync ends the node between the write and the fsync of a
	// batch, if one comes within the next moment.
	h.disk.FailSync(errors.New("power lost"))
	time.Sleep(time.Duration(w.rng.IntN(20)) * time.Millisecond)
	w.stop(name)
	return h.disk.Crash(w.rng)
}

func (w *world) restart(name string) *host { return w.start(name, w.crash(name)) }

func (w *world) cut(from, to string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = on
}

// isolate cuts a host off in both directions, or ends that.
func (w *world) isolate(name string, on bool) {
	for other := range w.hosts {
		if other != name {
			w.cut(name, other, on)
			w.cut(other, name, on)
		}
	}
}

func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cuts)
	clear(w.lag)
	w.drop, w.twice, w.delay = 0, 0, 2*time.Millisecond
}

// Send implements Transport.
func (h *host) Send(to Member, p *Packet) {
	w := h.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Kind == Kind_APPEND {
		if l := w.leaders[p.Term]; l != "" && l != p.From {
			w.t.Errorf("term %d has the leaders %s and %s", p.Term, l, p.From)
		}
		w.leaders[p.Term] = p.From
	}
	if p.Chunk != nil && len(p.Chunk.Data) > 256<<10 {
		w.t.Errorf("chunk of %d bytes", len(p.Chunk.Data))
	}
	copies := 1
	if w.noise.Float64() < w.twice {
		copies = 2
	}
	for range copies {
		if h.dead || w.cuts[[2]string{h.name, to.Name}] || w.noise.Float64() < w.drop {
			continue
		}
		// Different delays reorder packets.
		time.AfterFunc(w.lag[h.name]+time.Duration(w.noise.Int64N(int64(w.delay))), func() { w.deliver(h.name, to.Name, p) })
	}
}

func (w *world) deliver(from, to string, p *Packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if target := w.hosts[to]; target != nil && !target.dead && !w.cuts[[2]string{from, to}] {
		select {
		case target.inbox <- p:
		default:
		}
	}
}

// Receive implements Transport.
func (h *host) Receive() <-chan *Packet { return h.inbox }

// Apply implements Machine.
func (h *host) Apply(index uint64, command []byte) []byte {
	h.w.mu.Lock()
	if got, ok := h.w.history[index]; ok && got != string(command) {
		h.w.t.Errorf("%s applies %q at %d, another member applied %q", h.name, command, index, got)
	}
	h.w.history[index] = string(command)
	h.w.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if index <= h.index {
		h.w.t.Errorf("%s applies %d after %d", h.name, index, h.index)
	}
	h.index = index
	h.applied = append(h.applied, string(command))
	return fmt.Appendf(nil, "%d", index)
}

type image struct {
	Applied []string
	Index   uint64
}

// Snapshot implements Machine.
func (h *host) Snapshot() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return json.Marshal(image{h.applied, h.index})
}

// Restore implements Machine.
func (h *host) Restore(data []byte) error {
	var i image
	if err := json.Unmarshal(data, &i); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied, h.index = i.Applied, i.Index
	return nil
}

func (h *host) commands() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.applied)
}

// forge returns a packet as this host would send it, to be changed and put
// into the inbox of another one.
func (h *host) forge(kind Kind, to *host) *Packet {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return h.node.packet(kind, Member{Name: to.name, DiskID: to.store.DiskID()})
}

// wait polls a condition in simulated time.
func (w *world) wait(what string, f func() bool) {
	w.t.Helper()
	for range 4000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	for name, h := range w.hosts {
		w.t.Logf("%s (%v): %+v", name, h.err, h.node.Status())
	}
	w.t.Fatalf("not reached: %s", what)
}

// leader waits for a leader with a lease.
func (w *world) leader() *host {
	w.t.Helper()
	var leader *host
	w.wait("a leader with a lease", func() bool {
		for _, h := range w.hosts {
			if h.node.HoldsLease() {
				leader = h
				return true
			}
		}
		return false
	})
	return leader
}

// propose sends a command to one host and records an acknowledgement.
func (w *world) propose(h *host, command string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	result, err := h.node.Propose(ctx, []byte(command))
	if err == nil {
		var index uint64
		_, _ = fmt.Sscan(string(result), &index)
		w.mu.Lock()
		w.acked[command] = index
		w.top = max(w.top, index)
		w.mu.Unlock()
	}
	return err
}

// fill commits a number of commands through the leader.
func (w *world) fill(prefix string, count int) {
	w.t.Helper()
	for i := range count {
		command := fmt.Sprintf("%s-%d", prefix, i)
		w.wait("commit of "+command, func() bool { return w.propose(w.leader(), command, time.Second) == nil })
	}
}

// converge waits until all running members have applied the same and checks
// that every acknowledged command is there.
func (w *world) converge() {
	w.t.Helper()
	leader := w.leader()
	w.wait("equal state on all members", func() bool {
		want := leader.node.Status()
		for _, h := range w.hosts {
			s := h.node.Status()
			if h.dead || s.Term != want.Term || s.AppliedIndex != want.LastIndex {
				leader = w.leader()
				return false
			}
		}
		return true
	})
	want := leader.commands()
	for _, h := range w.hosts {
		if got := h.commands(); !slices.Equal(got, want) {
			w.t.Errorf("%s has %d commands, the leader %s has %d", h.name, len(got), leader.name, len(want))
		}
	}
	for command := range w.acked {
		if !slices.Contains(want, command) {
			w.t.Errorf("acknowledged command %s is lost", command)
		}
	}
}

// others returns all hosts but one, in the order of their names.
func (w *world) others(h *host) []*host {
	var list []*host
	for _, name := range w.names {
		if name != h.name {
			list = append(list, w.hosts[name])
		}
	}
	return list
}

// replace repairs a host whose disk was replaced by an empty one.
func (w *world) replace(name string) {
	w.t.Helper()
	do := func(what string, f func(ctx context.Context, n *Node) error) {
		w.t.Helper()
		w.wait(what+" "+name, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return f(ctx, w.leader().node) == nil
		})
	}
	do("remove", func(ctx context.Context, n *Node) error { return n.Remove(ctx, name) })
	do("add", func(ctx context.Context, n *Node) error { return n.AddLearner(ctx, member(name)) })
	do("promote", func(ctx context.Context, n *Node) error { return n.Promote(ctx, name) })
}
