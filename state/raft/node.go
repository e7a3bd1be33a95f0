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
	maxCommandBytes    = 16 << 20
	maxBatchInputs     = 512  // inputs handled between two fsyncs
	maxQueuedProposals = 1024 // proposals waiting for the loop
)

// Node is one member of the cluster.
type Node struct {
	options
	rng        *rand.Rand
	startTime  time.Time // origin of packet stamps
	proposals  chan *proposal
	calls      chan func()
	done       chan struct{} // closed when Run returns
	view       atomic.Pointer[view]
	background sync.WaitGroup // snapshot writes

	mu sync.Mutex // held by the loop while it handles inputs; guards the fields below

	role              Role
	term              uint64
	leader            string // of the current term
	electedAt         time.Time
	termStartIndex    uint64 // index of the first entry of this node's term as leader
	rosters           []rosterAtIndex
	outlived          map[string][]string // by disk, the disks that were lost for good while it was in use
	diskChecks        []diskCheck         // the latest ones
	commitIndex       uint64
	appliedIndex      uint64
	lastLeaderContact time.Time // last packet from a leader
	electionDeadline  time.Time // of the election timeout, or of check-quorum
	nextHeartbeat     time.Time // next heartbeat or probe
	votes             map[string]bool
	quickPreVotes     int // pre-votes in a row that were followed by a short timeout
	replicas          map[string]*replica
	syncedIndex       uint64 // index of the last entry that is durable on the local disk
	diskFull          bool   // the local disk refused the last append

	batch              []*proposal
	pending            map[uint64]*proposal // by index
	settling           []*proposal          // committed changes of the membership that are not settled yet
	reads              []*pendingRead
	lastTicket         uint64
	confirmReads       bool // a read waits for a round of heartbeats
	outbox             []outgoing
	encoded            encodedBatch
	lastProbes         map[string]*Packet // last probe or answer to one, by member name
	incoming           *store.IncomingSnapshot
	savingSnapshot     bool  // a snapshot is being written
	bytesSinceSnapshot int64 // bytes of commands applied since the last snapshot
	transfer           *leadershipTransfer
	err                error // fatal; ends Run
}

// view is the state that other goroutines read without waiting for the loop.
type view struct {
	role        Role
	leader      Member
	leaderKnown bool
	electedAt   time.Time
	leaseEnd    time.Time
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
	// editMembers derives the new membership; nil for a command.
	editMembers func([]Member) ([]Member, error)
	done        chan outcome // buffered
}

func (p *proposal) finish(result []byte, err error) { p.done <- outcome{result, err} }

// New returns a node over the given store, transport and state machine. It
// starts no work; see Run.
func New(opts ...Option) (*Node, error) {
	o, err := newOptions(opts)
	if err != nil {
		return nil, err
	}
	n := &Node{
		options:    o,
		startTime:  time.Now(),
		rng:        rand.New(rand.NewPCG(o.seed, 1)),
		proposals:  make(chan *proposal, maxQueuedProposals),
		calls:      make(chan func(), 16),
		done:       make(chan struct{}),
		role:       Follower,
		pending:    map[uint64]*proposal{},
		lastProbes: map[string]*Packet{},
		outlived:   map[string][]string{},
		// Random, so that a late answer to a read of an earlier run matches no
		// read of this one.
		lastTicket: rand.Uint64(),
	}
	n.view.Store(&view{role: Follower})
	return n, nil
}

// Run recovers the state and takes part in the cluster until ctx ends or the
// disk fails. It does not transfer leadership: in a graceful shutdown, call
// TransferLeadership before ctx ends. Run may be called once.
func (n *Node) Run(ctx context.Context) error {
	defer n.stop()
	if err := n.locked(n.recoverState); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(n.nextWake()))
		handle := func() {}
		select {
		case <-ctx.Done():
			return nil
		case p := <-n.transport.Receive():
			handle = func() { n.handlePacket(p) }
		case p := <-n.proposals:
			handle = func() { n.batch = append(n.batch, p) }
		case f := <-n.calls:
			handle = f
		case <-timer.C:
		}
		err := n.locked(func() error {
			handle()
			n.drainInputs()
			n.tick()
			n.flush()
			return n.err
		})
		if err != nil {
			return err
		}
	}
}

// locked calls f with mu held. If f panics, mu is free again: those that wait for it
// would keep the process from ending.
func (n *Node) locked(f func() error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return f()
}

// recoverState restores the state machine and the membership from the store.
func (n *Node) recoverState() error {
	n.term = n.store.HardState().Term
	if n.term > 0 {
		// A vote soon after a restart could violate the lease of a leader that
		// this member answered just before the restart.
		n.lastLeaderContact = time.Now()
	}
	snap, ok, err := n.store.ReadSnapshot()
	if err != nil {
		return err
	}
	if ok {
		if err := n.restoreSnapshot(snap); err != nil {
			return err
		}
	}
	n.syncedIndex = n.store.LastIndex()
	for i := max(n.store.FirstIndex(), n.commitIndex+1); i <= n.store.LastIndex(); i++ {
		if err := n.updateRoster(n.store.Entries(i, i, 0)[0]); err != nil {
			return err
		}
	}
	n.resetElectionTimer()
	if n.term > 0 {
		// Nobody votes within one election timeout after its own restart. Where all
		// members restart together, waiting for much longer than that gains
		// nothing; half of the usual spread still makes it unlikely that three
		// become candidates within the 10 ms that an election takes.
		e := n.timings.ElectionTimeout
		n.electionDeadline = time.Now().Add(e + time.Duration(n.rng.Int64N(int64(e/2))))
	}
	n.nextHeartbeat = time.Now()
	n.publishView()
	return nil
}

// restoreSnapshot restores the state machine and the membership from a
// snapshot.
func (n *Node) restoreSnapshot(snap store.Snapshot) error {
	roster, err := parseRoster(snap.Roster)
	if err != nil {
		return err
	}
	if err := n.machine.Restore(snap.Data); err != nil {
		return eris.Wrap(err, "the state machine cannot restore the snapshot")
	}
	n.commitIndex, n.appliedIndex = snap.Index, snap.Index
	old := n.rosters
	n.rosters = []rosterAtIndex{{index: snap.Index, roster: roster, settled: true}}
	for _, s := range old {
		if s.index > snap.Index && s.index <= n.store.LastIndex() {
			n.rosters = append(n.rosters, s)
		}
	}
	return nil
}

func (n *Node) stop() {
	close(n.done)
	n.background.Wait() // the caller may close the store now
	n.mu.Lock()
	defer n.mu.Unlock()
	n.role, n.leader, n.electedAt = Follower, "", time.Time{}
	n.view.Store(&view{role: Follower})
	n.endLeadership()
	for _, p := range n.batch {
		p.finish(nil, Stopped{})
	}
	if n.incoming != nil {
		n.incoming.Discard()
	}
}

// nextWake returns the time at which the loop must act even without input.
func (n *Node) nextWake() time.Time {
	if n.appliedIndex < n.commitIndex || n.mustSettle() {
		return time.Now()
	}
	if n.nextHeartbeat.Before(n.electionDeadline) {
		return n.nextHeartbeat
	}
	return n.electionDeadline
}

// drainInputs handles the inputs that are already queued, so that they share
// one fsync.
func (n *Node) drainInputs() {
	for range maxBatchInputs {
		select {
		case p := <-n.transport.Receive():
			n.handlePacket(p)
		case p := <-n.proposals:
			n.batch = append(n.batch, p)
		case f := <-n.calls:
			f()
		default:
			return
		}
	}
}

// flush makes the effects of a batch durable, and only then acknowledges them
// to callers and to other members.
func (n *Node) flush() {
	n.settleRoster()
	n.appendBatch()
	n.advanceTransfer()
	n.replicate()
	if err := n.store.Sync(); err != nil {
		n.err = err
	}
	if n.err != nil {
		return
	}
	n.syncedIndex = n.store.LastIndex()
	n.advanceCommit()
	n.applyCommitted()
	n.advanceTransfer()
	n.advanceReads()
	// The view must change before a packet is sent that could elect another
	// leader.
	n.publishView()
	for _, o := range n.outbox {
		n.transport.Send(o.to, o.p)
	}
	clear(n.outbox)
	n.outbox = n.outbox[:0]
}

func (n *Node) publishView() {
	v := &view{role: n.role, electedAt: n.electedAt}
	v.leader, v.leaderKnown = n.findMember(n.leader)
	if n.role == Leader && (n.transfer == nil || !n.transfer.campaignSent) {
		// The lease ends 1 % early to allow for differences in clock rate.
		v.leaseEnd = n.startTime.Add(time.Duration(n.quorumStamp())).Add(n.timings.ElectionTimeout * 99 / 100)
	}
	n.view.Store(v)
}

// runInLoop runs f in the loop and waits until it has returned.
func (n *Node) runInLoop(ctx context.Context, f func()) error {
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

// HoldsLease reports whether this node is the leader and a majority has
// answered it within the last election timeout, counted from the time at which
// the answered packet was sent. While it returns true, no other member can be
// leader.
func (n *Node) HoldsLease() bool {
	v := n.view.Load()
	return v.role == Leader && time.Now().Before(v.leaseEnd)
}

// Leader returns the leader of the current term, if it is known.
func (n *Node) Leader() (Member, bool) {
	v := n.view.Load()
	return v.leader, v.leaderKnown
}

// ElectedAt returns the time at which this node became leader, or the zero
// time if it is not the leader.
func (n *Node) ElectedAt() time.Time { return n.view.Load().electedAt }

// Status describes the node.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Status{
		Name: n.name, DiskID: n.store.DiskID(), ClusterID: n.store.HardState().ClusterID,
		Term: n.term, Role: n.role, Leader: n.leader,
		FirstIndex: n.store.FirstIndex(), LastIndex: n.store.LastIndex(), CommitIndex: n.commitIndex, AppliedIndex: n.appliedIndex,
	}
	for _, m := range n.roster() {
		ms := MemberStatus{Member: m, Settled: n.isSeatSettled(m)}
		if p := n.lastProbes[m.Name]; p != nil {
			ms.ReportedDiskID = p.Source
		}
		if r := n.replicas[m.Name]; r != nil {
			ms.MatchIndex, ms.Live, ms.DiskFull = r.matchIndex, n.isLive(r), r.diskFull
		}
		if m.Name == n.name {
			ms.MatchIndex, ms.Live, ms.DiskFull, ms.ReportedDiskID = n.syncedIndex, n.err == nil, n.diskFull, n.store.DiskID()
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
