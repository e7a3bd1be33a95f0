// Package raft replicates a log of commands among the members of a state
// cluster and applies committed commands to a state machine, in the same
// order on every member.
//
// It implements elections with pre-vote, check-quorum, a leader lease, read
// index, snapshots, learners and membership changes of one member at a time.
// A member is identified by its name together with the identity of its disk,
// so that an empty disk under a known name never votes or counts for commit.
package raft

// StateMachine is the replicated state machine. Its methods are never called
// concurrently.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic: its effect
	// and result may depend only on the state and the command.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one.
	Restore(snapshot []byte) error
}

// Freezer is implemented by a StateMachine that takes snapshots cheaply: the
// function that Freeze returns encodes the state as it was at the call of
// Freeze, and may run while further commands are applied.
type Freezer interface {
	Freeze() (encode func() ([]byte, error))
}

// Member is one process of the cluster.
type Member struct {
	Name, Addr string
	// Voter is false for a learner, which receives the log but does not count
	// toward elections and commits.
	Voter bool
	// DiskID identifies the member's disk. It may be empty for the initial
	// members and in AddLearner; the member is then asked for it.
	DiskID string
}

// Transport carries packets between members. Packets may be lost,
// duplicated and reordered.
type Transport interface {
	// Send queues a packet for a member. It never blocks; it drops the packet
	// if the member is slow or unreachable. Neither side may change the packet
	// after the call.
	Send(to Member, p *Packet)
	// Receive returns the channel of incoming packets.
	Receive() <-chan *Packet
}

// Role is the role of a member in the current term.
type Role string

// Roles of a member.
const (
	Follower     Role = "follower"
	PreCandidate Role = "precandidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Status describes a node at one moment.
type Status struct {
	Name         string
	DiskID       string
	ClusterID    string // identity of the cluster; empty before the first contact
	Term         uint64
	Role         Role
	Leader       string
	FirstIndex   uint64 // index of the first log entry that is kept
	LastIndex    uint64 // index of the last log entry
	CommitIndex  uint64
	AppliedIndex uint64
	Members      []MemberStatus
}

// MemberStatus describes a member. MatchIndex, Live and DiskFull of the other
// members are known to the leader only.
type MemberStatus struct {
	Member
	// Settled is set if the vote of the member counts whatever else is lost. That of a
	// new voter does so shortly after its change is committed.
	Settled    bool
	MatchIndex uint64 // index of the last entry known to be durable on the member
	Live       bool   // answered within the last election timeout
	DiskFull   bool   // its disk refuses appends
	// ReportedDiskID is the disk identity last reported by the process with
	// this name. If it differs from DiskID, the disk was replaced: remove the
	// member and add it as a learner.
	ReportedDiskID string
}
