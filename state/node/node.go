// Package node is the server of one state process: it accepts sessions,
// passes commands to the consensus, holds the leases on the configuration,
// pushes deltas, and polls the platform's list of members.
package node

import (
	"context"
	"net"
	"sync"
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
	// ReadBarrier returns when all acknowledged commands are applied here.
	ReadBarrier(ctx context.Context) error
	// HoldsLease tells whether no other member can be leader.
	HoldsLease() bool
	Leader() (raft.Member, bool)
	ElectedAt() time.Time
	Status() raft.Status
}

// RolloutJudge decides about a roll-out from what was seen of both versions in one
// trial; the trials of a roll-out are counted from 0.
type RolloutJudge func(trial int, base, next policy.Stats) (policy.Verdict, policy.Reason)

// Option configures a node.
type Option func(*Node)

// WithConsensus sets the consensus.
func WithConsensus(c Consensus) Option { return func(n *Node) { n.cons = c } }

// WithMachine sets the state machine that the consensus applies to.
func WithMachine(m *Machine) Option { return func(n *Node) { n.machine = m } }

// WithLink sets the name of this process and its session keys.
func WithLink(cfg link.Config) Option { return func(n *Node) { n.link = cfg } }

// WithRegistry sets where the metrics are registered.
func WithRegistry(r prometheus.Registerer) Option { return func(n *Node) { n.registry = r } }

// WithMemberListURL sets the URL of the platform's list of members; without it the
// list is not polled.
func WithMemberListURL(url string) Option { return func(n *Node) { n.members = url } }

// WithRolloutJudge sets the judge of roll-outs; without it none is judged.
func WithRolloutJudge(j RolloutJudge) Option { return func(n *Node) { n.judge = j } }

// WithRaftHandler sets the handler of streams between state processes. It returns
// when the stream has ended.
func WithRaftHandler(f func(context.Context, *link.Stream)) Option {
	return func(n *Node) { n.raft = f }
}

// WithFixedPeers lets the leader repair the membership towards the given peers.
func WithFixedPeers(r MembershipChanger, peers ...raft.Member) Option {
	return func(n *Node) { n.roster, n.peers = r, peers }
}

// Node is one state process.
type Node struct {
	cons     Consensus
	machine  *Machine
	ledger   *ledger.Ledger
	link     link.Config
	registry prometheus.Registerer
	members  string
	judge    RolloutJudge
	raft     func(context.Context, *link.Stream)
	roster   MembershipChanger
	peers    []raft.Member
	voters   int // above 0: processes may join, see WithJoiningVoters
	metrics  *metrics
	batch    batcher

	mu         sync.Mutex
	candidates map[string]candidate // by name
	epoch      *epoch               // nil unless this node leads and has read the state

	deltas deltas
}

// New returns a node. Run starts it.
func New(opts ...Option) (*Node, error) {
	n := &Node{registry: prometheus.NewRegistry(), candidates: map[string]candidate{}}
	for _, o := range opts {
		o(n)
	}
	if n.cons == nil || n.machine == nil || n.link.Name == "" || n.link.Keys == nil {
		return nil, eris.New("a node needs WithConsensus, WithMachine and WithLink with a name and keys")
	}
	n.ledger = n.machine.Ledger
	n.deltas.ledger = n.ledger
	n.metrics = newMetrics(n)
	n.batch.propose = n.propose
	return n, nil
}

// Run does the leader's work and accepts sessions until ctx ends.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	g := group.New(ctx)
	g.Go("leases", n.watchLeases)
	g.Go("leader's tasks", n.lead)
	g.Go("roll-outs of versions", n.watchShifts)
	switch {
	case n.voters > 0:
		g.Go("membership", n.admit)
	case n.roster != nil:
		g.Go("repair", n.repair)
	}
	g.Go("accept", func(ctx context.Context) error { return link.Serve(ctx, ln, n.link, n.stream) })
	return g.Wait()
}

// Serve runs one session over an accepted connection until it ends.
func (n *Node) Serve(ctx context.Context, conn net.Conn) { link.ServeConn(ctx, conn, n.link, n.stream) }

func (n *Node) stream(ctx context.Context, st *link.Stream) {
	switch st.Kind() {
	case wire.Kind_CONTROL:
		n.control(ctx, st)
	case wire.Kind_COMMAND:
		n.commands(ctx, st)
	case wire.Kind_QUERY:
		n.queries(ctx, st)
	case wire.Kind_RAFT:
		if n.raft != nil {
			n.raft(ctx, st)
		}
	default:
		klog.InfoS("Stream of a kind that is not served here", "kind", st.Kind(), "peer", st.Peer().Name)
	}
}

// Machine is the ledger as state machine of the consensus. It tells of new
// revisions of the configuration.
type Machine struct {
	*ledger.Ledger

	mu      sync.Mutex
	changed chan struct{}
	seen    uint64
}

// NewMachine returns the machine of an empty ledger.
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
	if revision != m.seen {
		m.seen = revision
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

// deltas keeps the last delta, because all receivers are usually at the same
// revision. Its messages are shared and not changed.
type deltas struct {
	ledger *ledger.Ledger
	mu     sync.Mutex
	last   *wire.Delta
	from   uint64
}

func (d *deltas) get(from uint64) *wire.Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil || d.from != from || d.last.GetRevision() != d.ledger.Revision() {
		d.last, d.from = d.ledger.Delta(from), from
	}
	return d.last
}
