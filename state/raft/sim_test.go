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

// world simulates a cluster: network, disks and state machines. It also checks
// that a term has one leader, that one member at a time holds a lease, and
// that all state machines apply the same commands at the same index.
type world struct {
	t       *testing.T
	rng     *rand.Rand // used only by the goroutine of the test
	names   []string
	hosts   map[string]*host
	options []Option

	mu            sync.Mutex // guards the fields below
	sharedRand    *rand.Rand
	cutLinks      map[[2]string]bool
	dropRate      float64
	duplicateRate float64
	maxDelay      time.Duration            // network latency of a packet at most
	senderDelay   map[string]time.Duration // additional network latency by sender
	leaderOfTerm  map[uint64]string
	commandAt     map[uint64]string
	acked         map[string]uint64 // lower bound of the index by acknowledged command
	maxAcked      uint64            // highest index known to be acknowledged
}

type host struct {
	w       *world
	name    string
	disk    *store.MemoryFolder
	store   *store.Store
	node    *Node
	inbox   chan *Packet
	stopped bool // guarded by world.mu
	cancel  context.CancelFunc
	done    chan struct{}
	err     error

	mu      sync.Mutex
	applied []string
	index   uint64
}

func simulate(t *testing.T, seed uint64, size int, f func(t *testing.T, w *world), opts ...Option) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, rng: rand.New(rand.NewPCG(seed, 2)), sharedRand: rand.New(rand.NewPCG(seed, 3)), hosts: map[string]*host{}, options: opts,
			cutLinks: map[[2]string]bool{}, senderDelay: map[string]time.Duration{}, maxDelay: 2 * time.Millisecond,
			leaderOfTerm: map[uint64]string{}, commandAt: map[uint64]string{}, acked: map[string]uint64{},
		}
		for i := range size {
			w.names = append(w.names, fmt.Sprintf("m%d", i+1))
		}
		for _, name := range w.names {
			w.start(name, store.NewMemoryFolder())
		}
		stop := make(chan struct{})
		go w.watchLeases(stop)
		defer func() {
			close(stop)
			for _, h := range w.hosts {
				w.stop(h.name)
			}
		}()
		f(t, w)
	})
}

// watchLeases fails the test when two nodes hold a lease at the same time.
func (w *world) watchLeases(stop chan struct{}) {
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
	h := &host{w: w, name: name, disk: disk, store: st, inbox: make(chan *Packet, 1000), done: make(chan struct{})}
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
		defer close(h.done)
		h.err = h.node.Run(ctx)
	}()
	return h
}

// stop stops a host abruptly: it sends no more packets, not even during its
// shutdown.
func (w *world) stop(name string) *host {
	h := w.hosts[name]
	w.mu.Lock()
	h.stopped = true
	w.mu.Unlock()
	h.cancel()
	<-h.done
	return h
}

// crash stops a host as a power failure does and returns its disk, which keeps
// only a random part of the unsynced bytes.
func (w *world) crash(name string) *store.MemoryFolder {
	h := w.hosts[name]
	// The failing sync stops the node between the write and the fsync of a
	// batch, if one arrives during the sleep.
	h.disk.FailSync(errors.New("power lost"))
	time.Sleep(time.Duration(w.rng.IntN(20)) * time.Millisecond)
	w.stop(name)
	return h.disk.Crash(w.rng)
}

func (w *world) restart(name string) *host { return w.start(name, w.crash(name)) }

func (w *world) setCut(from, to string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutLinks[[2]string{from, to}] = on
}

// setIsolated cuts a host off from all others in both directions, or
// reconnects it.
func (w *world) setIsolated(name string, on bool) {
	for other := range w.hosts {
		if other != name {
			w.setCut(name, other, on)
			w.setCut(other, name, on)
		}
	}
}

func (w *world) healNetwork() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cutLinks)
	clear(w.senderDelay)
	w.dropRate, w.duplicateRate, w.maxDelay = 0, 0, 2*time.Millisecond
}

// Send implements Transport.
func (h *host) Send(to Member, p *Packet) {
	w := h.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Kind == Kind_APPEND {
		if l := w.leaderOfTerm[p.Term]; l != "" && l != p.From {
			w.t.Errorf("term %d has the leaders %s and %s", p.Term, l, p.From)
		}
		w.leaderOfTerm[p.Term] = p.From
	}
	if p.Chunk != nil && len(p.Chunk.Data) > 256<<10 {
		w.t.Errorf("chunk of %d bytes", len(p.Chunk.Data))
	}
	copies := 1
	if w.sharedRand.Float64() < w.duplicateRate {
		copies = 2
	}
	for range copies {
		if h.stopped || w.cutLinks[[2]string{h.name, to.Name}] || w.sharedRand.Float64() < w.dropRate {
			continue
		}
		// Different delays reorder packets.
		time.AfterFunc(w.senderDelay[h.name]+time.Duration(w.sharedRand.Int64N(int64(w.maxDelay))), func() { w.deliver(h.name, to.Name, p) })
	}
}

func (w *world) deliver(from, to string, p *Packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if target := w.hosts[to]; target != nil && !target.stopped && !w.cutLinks[[2]string{from, to}] {
		select {
		case target.inbox <- p:
		default:
		}
	}
}

// Receive implements Transport.
func (h *host) Receive() <-chan *Packet { return h.inbox }

// Apply implements StateMachine.
func (h *host) Apply(index uint64, command []byte) []byte {
	h.w.mu.Lock()
	if got, ok := h.w.commandAt[index]; ok && got != string(command) {
		h.w.t.Errorf("%s applies %q at %d, another member applied %q", h.name, command, index, got)
	}
	h.w.commandAt[index] = string(command)
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

type hostState struct {
	Applied []string
	Index   uint64
}

// Snapshot implements StateMachine.
func (h *host) Snapshot() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return json.Marshal(hostState{h.applied, h.index})
}

// Restore implements StateMachine.
func (h *host) Restore(data []byte) error {
	var s hostState
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied, h.index = s.Applied, s.Index
	return nil
}

func (h *host) commands() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.applied)
}

// forge returns a packet as this host would send it. The test changes it and
// puts it into the inbox of another host.
func (h *host) forge(kind Kind, to *host) *Packet {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return h.node.newPacket(kind, Member{Name: to.name, DiskID: to.store.DiskID()})
}

// waitFor polls a condition in simulated time.
func (w *world) waitFor(what string, f func() bool) {
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
	w.t.Fatalf("condition not reached: %s", what)
}

// waitForLeader waits for a leader with a lease.
func (w *world) waitForLeader() *host {
	w.t.Helper()
	var leader *host
	w.waitFor("a leader with a lease", func() bool {
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
		w.maxAcked = max(w.maxAcked, index)
		w.mu.Unlock()
	}
	return err
}

// commitCommands commits a number of commands through the leader.
func (w *world) commitCommands(prefix string, count int) {
	w.t.Helper()
	for i := range count {
		command := fmt.Sprintf("%s-%d", prefix, i)
		w.waitFor("commit of "+command, func() bool { return w.propose(w.waitForLeader(), command, time.Second) == nil })
	}
}

// waitForConvergence waits until all members have applied the same commands
// and checks that every acknowledged command is among them.
func (w *world) waitForConvergence() {
	w.t.Helper()
	leader := w.waitForLeader()
	w.waitFor("equal state on all members", func() bool {
		want := leader.node.Status()
		for _, h := range w.hosts {
			s := h.node.Status()
			if h.stopped || s.Term != want.Term || s.AppliedIndex != want.LastIndex {
				leader = w.waitForLeader()
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

// others returns all hosts but one, sorted by name.
func (w *world) others(h *host) []*host {
	var list []*host
	for _, name := range w.names {
		if name != h.name {
			list = append(list, w.hosts[name])
		}
	}
	return list
}

// replaceMember removes a member whose disk was replaced by an empty one and
// adds it again as a voter.
func (w *world) replaceMember(name string) {
	w.t.Helper()
	do := func(what string, f func(ctx context.Context, n *Node) error) {
		w.t.Helper()
		w.waitFor(what+" "+name, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return f(ctx, w.waitForLeader().node) == nil
		})
	}
	do("remove", func(ctx context.Context, n *Node) error { return n.Remove(ctx, name) })
	do("add", func(ctx context.Context, n *Node) error { return n.AddLearner(ctx, member(name)) })
	do("promote", func(ctx context.Context, n *Node) error { return n.Promote(ctx, name) })
}
