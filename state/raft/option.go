package raft

import (
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/state/store"
)

// Timings are the durations of the protocol.
type Timings struct {
	// HeartbeatInterval is the time between two messages to an idle follower.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum election timeout; the actual one is drawn
	// between it and twice its value. It is also the duration of the leader
	// lease, and the time without answers from a majority after which
	// check-quorum makes a leader step down.
	ElectionTimeout time.Duration
}

// DefaultTimings are the timings given in the design page. They apply unless
// WithTimings sets others.
var DefaultTimings = Timings{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond}

type options struct {
	name, addr      string
	initialMembers  []Member
	joinOnly        bool
	store           *store.Store
	transport       Transport
	machine         StateMachine
	timings         Timings
	seed            uint64
	snapshotEntries uint64
	snapshotBytes   int64
	retainedEntries uint64
	retainedBytes   int
}

// Option configures a node.
type Option func(*options)

// WithName sets the name of this member. It must match the member name in the
// store.
func WithName(name string) Option { return func(o *options) { o.name = name } }

// WithAddress sets the address at which other members reach this one.
func WithAddress(addr string) Option { return func(o *options) { o.addr = addr } }

// WithInitialMembers sets the members that form a new cluster once all of them
// run on blank disks. If one of them already belongs to a cluster, a member
// with a blank disk waits until AddLearner adds it. The option has no effect
// on a disk that already belongs to a cluster.
func WithInitialMembers(members ...Member) Option {
	return func(o *options) { o.initialMembers = members }
}

// WithJoinOnly prevents this member from forming a new cluster with the
// initial members, even if the disks of all of them are blank.
func WithJoinOnly() Option { return func(o *options) { o.joinOnly = true } }

// WithStore sets the durable log. The caller closes it after Run returns.
func WithStore(s *store.Store) Option { return func(o *options) { o.store = s } }

// WithTransport sets the transport.
func WithTransport(t Transport) Option { return func(o *options) { o.transport = t } }

// WithStateMachine sets the state machine.
func WithStateMachine(m StateMachine) Option { return func(o *options) { o.machine = m } }

// WithTimings sets the durations; the default is DefaultTimings.
func WithTimings(t Timings) Option { return func(o *options) { o.timings = t } }

// WithSeed sets the seed of the election timeouts, to make tests repeatable.
// By default it is derived from the disk identity and the clock.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithSnapshotPolicy sets when a snapshot is written: once at least the given
// number of entries was applied since the last snapshot, with at least as many
// bytes as that snapshot has; or once at least the given number of bytes was
// applied, if that is also at least the size of the last snapshot. The last
// retain entries before a snapshot, of 4 MiB at most, stay in the log for followers
// that lag slightly.
func WithSnapshotPolicy(entries uint64, bytes int64, retain uint64) Option {
	return func(o *options) { o.snapshotEntries, o.snapshotBytes, o.retainedEntries = entries, bytes, retain }
}

func newOptions(opts []Option) (options, error) {
	// 10,000 entries replay in well under a second, so a restart stays short
	// while the cost of encoding the state is spread over many commands.
	o := options{timings: DefaultTimings, snapshotEntries: 10_000, snapshotBytes: 16 << 20, retainedEntries: 1000, retainedBytes: 4 << 20}
	for _, f := range opts {
		f(&o)
	}
	switch {
	case o.name == "":
		return o, eris.New("no member name; set it with WithName")
	case o.store == nil || o.transport == nil || o.machine == nil:
		return o, eris.New("a node needs WithStore, WithTransport and WithStateMachine")
	case o.store.MemberName() != o.name:
		return o, eris.Errorf("the data folder belongs to member %s, not %s; set the right folder or name", o.store.MemberName(), o.name)
	case o.timings.HeartbeatInterval <= 0 || o.timings.ElectionTimeout < 3*o.timings.HeartbeatInterval:
		return o, eris.New("the election timeout must be at least three heartbeats")
	}
	if o.seed == 0 {
		o.seed = uint64(time.Now().UnixNano())
		for _, b := range []byte(o.store.DiskID()) {
			o.seed = o.seed*31 + uint64(b)
		}
	}
	return o, nil
}
