// Package redir directs callers of the state cluster to its leader. It runs
// instead of a member on VMs without a disk, where nothing can be stored.
package redir

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/client"
	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

const (
	// leaderPollInterval is the interval of queries for the leader, and
	// noLeaderPollInterval the interval while none is known. A redirection to a
	// failed leader costs its receiver the time of a connection attempt.
	leaderPollInterval   = time.Second
	noLeaderPollInterval = 150 * time.Millisecond
	// statusQueryTimeout limits one query to the cluster. Operators try another
	// process after a second.
	statusQueryTimeout = 700 * time.Millisecond
	// leaderMaxAge is how old the last answer may be before an operator's call
	// queries the cluster again.
	leaderMaxAge = 200 * time.Millisecond
	// startTime is how long after its start a process lets its clients wait for
	// the first leader, firstLeaderWait limits one such wait, and
	// firstLeaderInterval is the interval of checks. Members do the same.
	startTime           = 5 * time.Second
	firstLeaderWait     = 400 * time.Millisecond
	firstLeaderInterval = 5 * time.Millisecond
	// maxRetryPause limits the pause between two attempts to reach the leader.
	maxRetryPause = 120 * time.Millisecond
)

// Redirector answers every request to a state process with the address of the
// cluster's leader. It is safe for concurrent use.
type Redirector struct {
	link        link.Config
	client      *client.Client
	memberAddrs func() []string

	queryMu sync.Mutex // held during a query to the cluster

	started    time.Time
	knewLeader atomic.Bool // since the start of this process

	mu        sync.Mutex // guards the fields below
	leader    raft.Member
	queriedAt time.Time // end of the last query
}

// New returns a redirector that queries the members at the addresses that
// memberAddrs returns. It calls memberAddrs again after each query that fails.
// It is the caller's responsibility to call Close.
func New(cfg link.Config, memberAddrs func() []string) (*Redirector, error) {
	c, err := client.New(client.WithAddresses(memberAddrs()...), client.WithLink(cfg), client.WithMaxBackoff(maxRetryPause))
	if err != nil {
		return nil, err
	}
	return &Redirector{link: cfg, client: c, memberAddrs: memberAddrs, started: time.Now()}, nil
}

// Close ends the connection to the cluster.
func (r *Redirector) Close() error { return r.client.Close() }

// Run serves the sessions that it accepts on ln until ctx is done.
func (r *Redirector) Run(ctx context.Context, ln net.Listener) error {
	run := group.New(ctx)
	run.Go("members", r.pollLeader)
	run.Go("accept", func(ctx context.Context) error { return link.Serve(ctx, ln, r.link, r.serveStream) })
	return run.Wait()
}

func (r *Redirector) pollLeader(ctx context.Context) error {
	for {
		wait := leaderPollInterval
		if r.queryLeader(ctx); r.Leader().Name == "" {
			wait = noLeaderPollInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// Leader returns the leader as of the last query; its Name is empty if there
// was none or no member answered.
func (r *Redirector) Leader() raft.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// queryLeader queries the cluster for its leader, unless the last answer is
// younger than leaderMaxAge.
func (r *Redirector) queryLeader(ctx context.Context) {
	r.queryMu.Lock()
	defer r.queryMu.Unlock()
	r.mu.Lock()
	age := time.Since(r.queriedAt)
	r.mu.Unlock()
	if age < leaderMaxAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusQueryTimeout)
	defer cancel()
	a, err := r.client.Query(ctx, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{Lead: true}}})
	if err == nil {
		r.client.SetMembers(a.GetStatus().GetPeers())
	}
	var leader raft.Member
	for _, m := range a.GetStatus().GetPeers() {
		if m.GetName() == a.GetStatus().GetLeader() {
			leader = raft.Member{Name: m.GetName(), Addr: m.GetAddr(), Voter: m.GetVoter()}
		}
	}
	if err != nil {
		for _, addr := range r.memberAddrs() {
			r.client.AddAddress(addr)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader != r.leader {
		klog.InfoS("Leader of the state cluster", "member", leader.Name, "before", r.leader.Name, "err", err)
	}
	r.leader, r.queriedAt = leader, time.Now()
}

// notLeader returns the error of all operator calls, with the current leader.
func (r *Redirector) notLeader(ctx context.Context) error {
	r.queryLeader(ctx)
	return raft.NotLeader{Leader: r.Leader()}
}

// ReplaceDocument always returns raft.NotLeader, as do the other operator calls.
func (r *Redirector) ReplaceDocument(ctx context.Context, _ uint64, _ []byte) error {
	return r.notLeader(ctx)
}

// StartServiceRollout always returns raft.NotLeader.
func (r *Redirector) StartServiceRollout(ctx context.Context, _ ident.Service, _ ident.Version, _ time.Duration) error {
	return r.notLeader(ctx)
}

// Evacuate always returns raft.NotLeader.
func (r *Redirector) Evacuate(ctx context.Context, _ ident.Zone, _ bool) error {
	return r.notLeader(ctx)
}

// Document always returns raft.NotLeader.
func (r *Redirector) Document(ctx context.Context) (conf.Document, error) {
	return conf.Document{}, r.notLeader(ctx)
}

// ServiceRollout always returns raft.NotLeader.
func (r *Redirector) ServiceRollout(ctx context.Context, _ ident.Service) (conf.ServiceRollout, bool, error) {
	return conf.ServiceRollout{}, false, r.notLeader(ctx)
}

// serveStream answers each message with the leader's address. It learns the
// addresses of members from their join queries, since a process may be started
// with the addresses of redirectors only.
func (r *Redirector) serveStream(ctx context.Context, st *link.Stream) {
	if st.Kind() == wire.Kind_CONTROL || st.Kind() == wire.Kind_COMMAND {
		r.awaitFirstLeader(ctx) // not for queries, from which it may learn the members
	}
	for {
		var err error
		switch st.Kind() {
		case wire.Kind_CONTROL:
			var renew wire.Renew
			if err = st.Recv(&renew); err == nil {
				err = st.Send(&wire.Grant{Seq: renew.GetSeq(), Fault: r.notLeaderFault()})
			}
		case wire.Kind_COMMAND:
			if err = st.Recv(&wire.Command{}); err == nil {
				err = st.Send(&wire.Result{Fault: r.notLeaderFault()})
			}
		case wire.Kind_QUERY:
			var q wire.Query
			if err = st.Recv(&q); err == nil {
				r.client.AddAddress(q.GetJoin().GetAddr())
				err = st.Send(&wire.Answer{Fault: r.notLeaderFault()})
			}
		default:
			return // members open no raft streams to a redirector, which is not a member
		}
		if err != nil {
			return // the other end closed the stream
		}
	}
}

// awaitFirstLeader waits for the first leader that this process gets to know soon
// after its start, as the members do: clients that are told at once that there is
// none come back too late for it.
func (r *Redirector) awaitFirstLeader(ctx context.Context) {
	if r.knewLeader.Load() || time.Since(r.started) > startTime {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstLeaderWait)
	defer cancel()
	tick := time.NewTicker(firstLeaderInterval)
	defer tick.Stop()
	for r.Leader().Name == "" {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
	r.knewLeader.Store(true)
}

func (r *Redirector) notLeaderFault() *wire.Fault {
	leader := r.Leader()
	f := wire.NewFault(fault.New(fault.Unavailable, raft.NotLeader{Leader: leader}.Error()))
	f.Leader = leader.Addr
	return f
}
