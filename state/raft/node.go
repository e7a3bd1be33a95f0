package raft

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/state/store"
)

const (
	maxCommand = 16 << 20 // bytes
	batchLimit = 512      // inputs handled between two fsyncs
	queueLimit = 1024     // proposals waiting for the loop
)

// Node is one member of the cluster.
type Node struct {
	options
	rng       *rand.Rand
	start     time.Time // origin of stamps
	proposals chan *proposal
	calls     chan func()
	done      chan struct{} // closed when Run returns
	view      atomic.Pointer[view]
	work      sync.WaitGroup // background writes

	mu sync.Mutex // held by the loop while it handles inputs; guards all below

	role     Role
	term     uint64
	leader   string // of the current term
	elected  time.Time
	started  uint64 // index of the first entry of the own term as leader
	rosters  []stage
	commit   uint64
	applied  uint64
	heard    time.Time // last contact by a leader
	deadline time.Time // of the election timeout, or of check-quorum
	beat     time.Time // next heartbeat or probe
	votes    map[string]bool
	replicas map[string]*replica
	synced   uint64 // last own entry that is durable
	full     bool   // the own disk refused the last append

	batch    []*proposal
	pending  map[uint64]*proposal // by index
	reads    []*read
	ticket   uint64
	confirm  bool // a read waits for a round of heartbeats
	out      []outgoing
	cache    records
	seen     map[string]*Packet // last probe answers by member name
	incoming *store.IncomingSnapshot
	saving   bool  // a snapshot is being written
	grown    int64 // bytes of commands applied since the last snapshot
	handover *handover
	err      error // ends Run
}

// view is what other goroutines read without waiting for the loop.
type view struct {
	role    Role
	leader  Member
	known   bool
	elected time.Time
	lease   time.Time
}

// outgoing is a packet that waits until the batch is durable.
type outgoing struct {
	to Member
	p  *Packet
}

type outcome struct {
	result []byte
	err    error
}

type proposal struct {
	ctx  context.Context
	kind uint8
	data []byte
	// change derives the data of a membership change.
	change func([]Member) ([]Member, error)
	done   chan outcome // buffered
}

func (p *proposal) finish(result []byte, err error) { p.done <- outcome{result, err} }

// New returns a node over the given store, transport and machine. It starts
// no work; see Run.
func New(opts ...Option) (*Node, error) {
	o, err := newOptions(opts)
	if err != nil {
		return nil, err
	}
	n := &Node{
		options:   o,
		start:     time.Now(),
		rng:       rand.New(rand.NewPCG(o.seed, 1)),
		proposals: make(chan *proposal, queueLimit),
		calls:     make(chan func(), 16),
		done:      make(chan struct{}),
		role:      Follower,
		pending:   map[uint64]*proposal{},
		seen:      map[string]*Packet{},
		// A late answer to a read of the last run must not meet a new read.
		ticket: rand.Uint64(),
	}
	n.view.Store(&view{role: Follower})
	return n, nil
}

// Run recovers the state and takes part in the cluster until ctx ends or the
// disk fails. It does not hand over leadership: call Transfer before ctx ends
// in a graceful shutdown. It may be called once.
func (n *Node) Run(ctx context.Context) error {
	defer n.stop()
	n.mu.Lock()
	err := n.recover()
	n.mu.Unlock()
	if err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(n.wake()))
		select {
		case <-ctx.Done():
			return nil
		case p := <-n.transport.Receive():
			n.mu.Lock()
			n.receive(p)
		case p := <-n.proposals:
			n.mu.Lock()
			n.batch = append(n.batch, p)
		case f := <-n.calls:
			n.mu.Lock()
			f()
		case <-timer.C:
			n.mu.Lock()
		}
		n.drain()
		n.tick()
		n.settle()
		err := n.err
		n.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// recover restores the machine and the membership from the store.
func (n *Node) recover() error {
	n.term = n.store.HardState().Term
	if n.term > 0 {
		// A vote soon after a restart could break the lease of a leader
		// that this member answered just before.
		n.heard = time.Now()
	}
	snap, ok, err := n.store.ReadSnapshot()
	if err != nil {
		return err
	}
	if ok {
		if err := n.restore(snap); err != nil {
			return err
		}
	}
	n.synced = n.store.LastIndex()
	for i := max(n.store.FirstIndex(), n.commit+1); i <= n.store.LastIndex(); i++ {
		if err := n.enlist(n.store.Entries(i, i, 0)[0]); err != nil {
			return err
		}
	}
	n.rest()
	n.beat = time.Now()
	n.publish()
	return nil
}

// restore puts a snapshot into the machine.
func (n *Node) restore(snap store.Snapshot) error {
	roster, err := parseRoster(snap.Roster)
	if err != nil {
		return err
	}
	if err := n.machine.Restore(snap.Data); err != nil {
		return eris.Wrap(err, "the machine cannot restore the snapshot")
	}
	n.commit, n.applied = snap.Index, snap.Index
	later := n.rosters
	n.rosters = []stage{{index: snap.Index, roster: roster}}
	for _, s := range later {
		if s.index > snap.Index && s.index <= n.store.LastIndex() {
			n.rosters = append(n.rosters, s)
		}
	}
	return nil
}

func (n *Node) stop() {
	close(n.done)
	n.work.Wait() // the caller may close the store now
	n.mu.Lock()
	defer n.mu.Unlock()
	n.role, n.leader, n.elected = Follower, "", time.Time{}
	n.view.Store(&view{role: Follower})
	n.abandon()
	for _, p := range n.batch {
		p.finish(nil, Stopped{})
	}
	if n.incoming != nil {
		n.incoming.Discard()
	}
}

// wake returns when the loop has to act without input.
func (n *Node) wake() time.Time {
	if n.applied < n.commit {
		return time.Now()
	}
	if n.beat.Before(n.deadline) {
		return n.beat
	}
	return n.deadline
}

// drain takes the inputs that already wait, so that they share one fsync.
func (n *Node) drain() {
	for range batchLimit {
		select {
		case p := <-n.transport.Receive():
			n.receive(p)
		case p := <-n.proposals:
			n.batch = append(n.batch, p)
		case f := <-n.calls:
			f()
		default:
			return
		}
	}
}

// settle makes the effects of a batch durable, and only then tells of them.
func (n *Node) settle() {
	n.take()
	n.hand()
	n.replicate()
	if err := n.store.Sync(); err != nil {
		n.err = err
	}
	if n.err != nil {
		return
	}
	n.synced = n.store.LastIndex()
	n.advance()
	n.apply()
	n.hand()
	n.serve()
	// The view changes before any packet that could elect another leader.
	n.publish()
	for _, o := range n.out {
		n.transport.Send(o.to, o.p)
	}
	clear(n.out)
	n.out = n.out[:0]
}

func (n *Node) publish() {
	v := &view{role: n.role, elected: n.elected}
	v.leader, v.known = n.find(n.leader)
	if n.role == Leader && (n.handover == nil || !n.handover.sent) {
		// 1 % for the error of the clock rates.
		v.lease = n.start.Add(time.Duration(n.quorumStamp())).Add(n.timings.ElectionTimeout * 99 / 100)
	}
	n.view.Store(v)
}

// do runs f in the loop and waits for it.
func (n *Node) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case n.calls <- func() { f(); close(ran) }:
	case <-n.done:
		return Stopped{}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ran:
		return nil
	case <-n.done:
		return Stopped{}
	}
}

// HoldsLease tells whether this node is leader and was answered by a majority
// within the last election timeout, counted from the send time. While it
// returns true, no other member can be leader.
func (n *Node) HoldsLease() bool {
	v := n.view.Load()
	return v.role == Leader && time.Now().Before(v.lease)
}

// Leader returns the leader of the current term, if it is known.
func (n *Node) Leader() (Member, bool) {
	v := n.view.Load()
	return v.leader, v.known
}

// ElectedAt returns when this node became leader; zero if it is not.
func (n *Node) ElectedAt() time.Time { return n.view.Load().elected }

// Status describes the node.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Status{
		Name: n.name, DiskID: n.store.DiskID(), ClusterID: n.store.HardState().ClusterID,
		Term: n.term, Role: n.role, Leader: n.leader,
		FirstIndex: n.store.FirstIndex(), LastIndex: n.store.LastIndex(), CommitIndex: n.commit, AppliedIndex: n.applied,
	}
	for _, m := range n.roster() {
		ms := MemberStatus{Member: m}
		if p := n.seen[m.Name]; p != nil {
			ms.ReportedDiskID = p.Source
		}
		if r := n.replicas[m.Name]; r != nil {
			ms.MatchIndex, ms.Live, ms.DiskFull = r.match, n.live(r), r.full
		}
		if m.Name == n.name {
			ms.MatchIndex, ms.Live, ms.DiskFull, ms.ReportedDiskID = n.synced, n.err == nil, n.full, n.store.DiskID()
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
