// Package node is the server of one state process: it accepts sessions, passes
// commands to the consensus, grants leases on the configuration, pushes deltas,
// and polls the platform's list of members.
package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/group"
	"citronledge.example/core/ledger"
	"citronledge.example/core/link"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

// Consensus replicates commands; raft.Node implements it.
type Consensus interface {
	// Propose returns after the command is committed and applied here.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once all acknowledged commands are applied here.
	ReadBarrier(ctx context.Context) error
	// HoldsLease reports whether this member leads and no other can be leader.
	HoldsLease() bool
	// Leader returns the leader, if it is known.
	Leader() (raft.Member, bool)
	// ElectedAt returns when this member became leader; zero if it is not.
	ElectedAt() time.Time
	// Status describes this member and the cluster.
	Status() raft.Status
}

// RolloutJudge decides on a rollout from the answers of both versions that
// one trial counted; the trials of a rollout are numbered from 0.
type RolloutJudge func(trial int, base, next policy.Stats) (policy.Verdict, policy.Reason)

// Option configures a node.
type Option func(*Node)

// WithConsensus sets the consensus.
func WithConsensus(c Consensus) Option { return func(n *Node) { n.consensus = c } }

// WithMachine sets the state machine to which the consensus applies commands.
func WithMachine(m *Machine) Option { return func(n *Node) { n.machine = m } }

// WithLink sets the name of this process and its session keys.
func WithLink(cfg link.Config) Option { return func(n *Node) { n.link = cfg } }

// WithRegistry sets where the metrics are registered.
func WithRegistry(r prometheus.Registerer) Option { return func(n *Node) { n.registry = r } }

// WithMemberListURL sets the URL of the platform's list of members; without it
// the list is not polled.
func WithMemberListURL(url string) Option { return func(n *Node) { n.memberListURL = url } }

// WithRolloutJudge sets the judge of model rollouts; without it none is judged.
func WithRolloutJudge(j RolloutJudge) Option { return func(n *Node) { n.judge = j } }

// WithRaftHandler sets the handler of streams between state processes. The
// handler must return when the stream has ended.
func WithRaftHandler(f func(context.Context, *link.Stream)) Option {
	return func(n *Node) { n.raftHandler = f }
}

// WithFixedPeers lets the leader repair the membership until it contains the
// given peers.
func WithFixedPeers(m MembershipChanger, peers ...raft.Member) Option {
	return func(n *Node) { n.membership, n.fixedPeers = m, peers }
}

// Node is one state process.
type Node struct {
	consensus     Consensus
	machine       *Machine
	ledger        *ledger.Ledger
	link          link.Config
	registry      prometheus.Registerer
	memberListURL string
	judge         RolloutJudge
	raftHandler   func(context.Context, *link.Stream)
	membership    MembershipChanger
	fixedPeers    []raft.Member
	targetVoters  int // above 0: processes may join, see WithJoiningVoters
	metrics       *metrics
	batcher       batcher

	mu           sync.Mutex
	joinRequests map[string]joinRequest // by name
	epoch        *epoch                 // nil unless this node leads and has read the state

	deltas deltaCache

	started    time.Time
	knewLeader atomic.Bool // since the start of this process
}

// New returns a node. Run starts it.
func New(opts ...Option) (*Node, error) {
	n := &Node{registry: prometheus.NewRegistry(), joinRequests: map[string]joinRequest{}, started: time.Now()}
	for _, o := range opts {
		o(n)
	}
	if n.consensus == nil || n.machine == nil || n.link.Name == "" || n.link.Keys == nil {
		return nil, eris.New("a node needs WithConsensus, WithMachine and WithLink with a name and keys")
	}
	n.ledger = n.machine.Ledger
	n.deltas.ledger = n.ledger
	n.metrics = newMetrics(n)
	n.batcher.propose = n.propose
	return n, nil
}

// Run runs the leader's tasks and serves the sessions that it accepts on ln
// until ctx is done.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	g := group.New(ctx)
	g.Go("leases", n.watchLeases)
	g.Go("leader's tasks", n.runLeaderTasks)
	g.Go("roll-outs of versions", n.watchServiceRollouts)
	switch {
	case n.targetVoters > 0:
		g.Go("membership", n.reconcileVoters)
	case n.membership != nil:
		g.Go("repair", n.reconcileFixedPeers)
	}
	g.Go("accept", func(ctx context.Context) error { return link.Serve(ctx, ln, n.link, n.serveStream) })
	return g.Wait()
}

// Serve runs one session over an accepted connection until it ends.
func (n *Node) Serve(ctx context.Context, conn net.Conn) {
	link.ServeConn(ctx, conn, n.link, n.serveStream)
}

func (n *Node) serveStream(ctx context.Context, st *link.Stream) {
	if st.Kind() == wire.Kind_CONTROL || st.Kind() == wire.Kind_COMMAND {
		n.awaitFirstLeader(ctx)
	}
	switch st.Kind() {
	case wire.Kind_CONTROL:
		n.serveControl(ctx, st)
	case wire.Kind_COMMAND:
		n.serveCommands(ctx, st)
	case wire.Kind_QUERY:
		n.serveQueries(ctx, st)
	case wire.Kind_RAFT:
		if n.raftHandler != nil {
			n.raftHandler(ctx, st)
		}
	default:
		klog.InfoS("Stream kind is not supported here", "kind", st.Kind(), "peer", st.Peer().Name)
	}
}

// Machine is the ledger as the state machine of the consensus. It notifies of
// new revisions of the configuration.
type Machine struct {
	*ledger.Ledger

	mu       sync.Mutex
	changed  chan struct{}
	notified uint64 // last revision that closed changed
}

// NewMachine returns a machine with an empty ledger.
func NewMachine() *Machine {
	return &Machine{Ledger: ledger.New(), changed: make(chan struct{})}
}

// Apply implements raft.StateMachine.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	result := m.Ledger.Apply(index, command)
	m.notify()
	return result
}

// Restore implements raft.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	err := m.Ledger.Restore(snapshot)
	m.notify()
	return err
}

func (m *Machine) notify() {
	revision := m.Revision()
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision != m.notified {
		m.notified = revision
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed at the next change of the revision.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// deltaCache caches the last delta, because all receivers are usually at the
// same revision. Cached messages are shared and must not be modified.
type deltaCache struct {
	ledger *ledger.Ledger
	mu     sync.Mutex
	cached *wire.Delta
	packed *wire.Delta // cached, compressed; nil until it is requested
	from   uint64
}

// get returns the delta from a revision, packed if the receiver accepts that.
func (d *deltaCache) get(from uint64, packed bool) *wire.Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cached == nil || d.from != from || d.cached.GetRevision() != d.ledger.Revision() {
		d.cached, d.packed, d.from = d.ledger.Delta(from), nil, from
	}
	if !packed {
		return d.cached
	}
	if d.packed == nil {
		d.packed = d.cached.Pack()
	}
	return d.packed
}
