// Package raft replicates a log of commands among the members of a state
// cluster and applies committed commands to a state machine, in the same
// order on every member.
//
// It implements elections with pre-vote, check-quorum, a leader lease, read
// index, snapshots, learners and membership changes of one member at a time.
// A member is identified by its name together with the identity of its disk,
// so that an empty disk under a known name never votes or counts for commit.
package raft

import (
	"context"
	"time"
)

// Machine is the replicated state machine; calls are never concurrent.
type Machine interface {
	// Apply executes a committed command. It must depend only on the state
	// and the command.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(snapshot []byte) error
}

// Member is one process of the cluster.
type Member struct {
	Name, Addr string
	// Voter is false for a learner, which receives the log and does not
	// count for elections and commit.
	Voter bool
	// Disk is the identity of the member's disk. It may be left empty for
	// the initial members and for AddLearner, which then ask the member.
	Disk string
}

// Transport carries packets between members. Packets may be lost,
// duplicated and reordered.
type Transport interface {
	// Send queues a packet for a member. It never blocks and drops the
	// packet when the member is slow or not reachable. The packet is not
	// changed after the call, by either side.
	Send(to Member, p *Packet)
	// Receive returns the channel of incoming packets.
	Receive() <-chan *Packet
}

// Role is the part of a member in the current term.
type Role string

// Roles.
const (
	Follower     Role = "follower"
	PreCandidate Role = "precandidate"
	Candidate    Role = "candidate"
	Leading      Role = "leader"
)

// Status describes a node at one moment.
type Status struct {
	Name    string
	Disk    string
	Cluster string // identity of the cluster; empty before the first contact
	Term    uint64
	Role    Role
	Leader  string
	First   uint64 // first log entry that is kept
	Last    uint64 // last log entry
	Commit  uint64
	Applied uint64
	Members []MemberStatus
}

// MemberStatus describes a member. Match, Live and Full are known to the
// leader only.
type MemberStatus struct {
	Member
	Match uint64 // last entry known to be durable on the member
	Live  bool   // answered within the last election timeout
	Full  bool   // its disk refuses appends
	// Seen is the disk identity that the process under this name last
	// reported. When it differs from Disk, the disk was replaced: remove
	// the member and add it as learner.
	Seen string
}

// Node is one member of the cluster.
type Node struct{}

// New returns a node over the given store, transport and machine. It starts
// no work; see Run.
func New(opts ...Option) (*Node, error) { return &Node{}, nil }

// Run recovers the state and takes part in the cluster until ctx ends or the
// disk fails. It does not hand over leadership: call Transfer before ctx ends
// in a graceful shutdown. It may be called once.
func (n *Node) Run(ctx context.Context) error { return nil }

// Propose appends a command to the log and returns its result after it is
// committed and applied on this node. NotLeader and Full say that the command
// was not accepted. Lost says that the outcome is unknown.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	return nil, Stopped{}
}

// Read returns when the local state is at least as new as every write
// acknowledged before the call, on any member (read index).
func (n *Node) Read(ctx context.Context) error { return Stopped{} }

// Lease tells whether this node is leader and was answered by a majority
// within the last election timeout, counted from the send time. While it
// returns true, no other member can be leader.
func (n *Node) Lease() bool { return false }

// Leader returns the leader of the current term, if it is known.
func (n *Node) Leader() (Member, bool) { return Member{}, false }

// Elected returns when this node became leader; zero if it is not.
func (n *Node) Elected() time.Time { return time.Time{} }

// Status describes the node. Match and liveness of the members are known on
// the leader only.
func (n *Node) Status() Status { return Status{} }

// AddLearner adds a member that receives the log without a vote. When
// Member.Disk is empty, the member is asked for its identity, so it must be
// running. It returns after the change is committed.
func (n *Node) AddLearner(ctx context.Context, m Member) error { return Stopped{} }

// Promote makes a learner that has caught up a voter. It returns after the
// change is committed.
func (n *Node) Promote(ctx context.Context, name string) error { return Stopped{} }

// Remove takes a member other than the leader out of the cluster. It returns
// after the change is committed.
func (n *Node) Remove(ctx context.Context, name string) error { return Stopped{} }

// Transfer hands leadership to the most advanced live voter and returns when
// this node is not leader any more. Proposals are refused meanwhile.
func (n *Node) Transfer(ctx context.Context) error { return Stopped{} }
