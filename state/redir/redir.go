// Package redir sends callers of the state cluster to its leader. It stands in
// for a member on VMs without a disk, where nothing can be stored.
package redir

import (
	"context"
	"net"
	"sync"
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
	// askEvery is the interval at which the leader is asked for, and seekEvery
	// that while none is known. A hint to a leader that is gone costs its
	// receiver the time of a connection attempt.
	askEvery  = time.Second
	seekEvery = 150 * time.Millisecond
	// askTime bounds one question to the cluster. Operators move on to another
	// process after a second.
	askTime = 700 * time.Millisecond
	// fresh is how long an answer is good enough for an operator.
	fresh = 200 * time.Millisecond
	// mostPause bounds the pause between two tries to find the leader.
	mostPause = 120 * time.Millisecond
)

// Redirector is safe for concurrent use.
type Redirector struct {
	link    link.Config
	client  *client.Client
	members func() []string

	asking sync.Mutex // held while the cluster is asked

	mu     sync.Mutex // guards what follows
	leader raft.Member
	asked  time.Time // end of the last question
}

// New returns a redirector that at first knows the given members' addresses. When
// none of them answers it calls members for others.
func New(cfg link.Config, members func() []string) (*Redirector, error) {
	c, err := client.New(client.WithAddresses(members()...), client.WithLink(cfg), client.WithMaxBackoff(mostPause))
	if err != nil {
		return nil, err
	}
	return &Redirector{link: cfg, client: c, members: members}, nil
}

// Close ends the connection to the cluster.
func (r *Redirector) Close() error { return r.client.Close() }

// Run answers sessions over ln until ctx ends.
func (r *Redirector) Run(ctx context.Context, ln net.Listener) error {
	run := group.New(ctx)
	run.Go("members", r.follow)
	run.Go("accept", func(ctx context.Context) error { return link.Serve(ctx, ln, r.link, r.stream) })
	return run.Wait()
}

func (r *Redirector) follow(ctx context.Context) error {
	for {
		wait := askEvery
		if r.ask(ctx); r.Leader().Name == "" {
			wait = seekEvery
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// Leader returns the leader as the cluster told it last; its Name is empty if
// there was none or no member answered.
func (r *Redirector) Leader() raft.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// ask asks the cluster for its leader.
func (r *Redirector) ask(ctx context.Context) {
	r.asking.Lock()
	defer r.asking.Unlock()
	r.mu.Lock()
	age := time.Since(r.asked)
	r.mu.Unlock()
	if age < fresh {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	a, err := r.client.Query(ctx, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{Lead: true}}})
	var leader raft.Member
	for _, m := range a.GetStatus().GetPeers() {
		r.client.AddAddress(m.GetAddr())
		if m.GetName() == a.GetStatus().GetLeader() {
			leader = raft.Member{Name: m.GetName(), Addr: m.GetAddr(), Voter: m.GetVoter()}
		}
	}
	if err != nil {
		for _, addr := range r.members() {
			r.client.AddAddress(addr)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader != r.leader {
		klog.InfoS("Leader of the state cluster", "member", leader.Name, "before", r.leader.Name, "err", err)
	}
	r.leader, r.asked = leader, time.Now()
}

// elsewhere returns the error of everything that a redirector is asked to do.
func (r *Redirector) elsewhere(ctx context.Context) error {
	r.ask(ctx)
	return raft.NotLeader{Leader: r.Leader()}
}

// ReplaceDocument always returns raft.NotLeader, as do the other orders.
func (r *Redirector) ReplaceDocument(ctx context.Context, _ uint64, _ []byte) error {
	return r.elsewhere(ctx)
}

// StartServiceRollout always returns raft.NotLeader.
func (r *Redirector) StartServiceRollout(ctx context.Context, _ ident.Service, _ ident.Version, _ time.Duration) error {
	return r.elsewhere(ctx)
}

// Document always returns raft.NotLeader.
func (r *Redirector) Document(ctx context.Context) (conf.Document, error) {
	return conf.Document{}, r.elsewhere(ctx)
}

// ServiceRollout always returns raft.NotLeader.
func (r *Redirector) ServiceRollout(ctx context.Context, _ ident.Service) (conf.ServiceRollout, bool, error) {
	return conf.ServiceRollout{}, false, r.elsewhere(ctx)
}

// stream answers each message with the leader's address. Members tell their
// own addresses here, since all that a process is given at its start may be
// the addresses of redirectors.
func (r *Redirector) stream(_ context.Context, st *link.Stream) {
	for {
		var err error
		switch st.Kind() {
		case wire.Kind_CONTROL:
			var renew wire.Renew
			if err = st.Recv(&renew); err == nil {
				err = st.Send(&wire.Grant{Seq: renew.GetSeq(), Fault: r.fault()})
			}
		case wire.Kind_COMMAND:
			if err = st.Recv(&wire.Command{}); err == nil {
				err = st.Send(&wire.Result{Fault: r.fault()})
			}
		case wire.Kind_QUERY:
			var q wire.Query
			if err = st.Recv(&q); err == nil {
				r.client.AddAddress(q.GetJoin().GetAddr())
				err = st.Send(&wire.Answer{Fault: r.fault()})
			}
		default:
			return // members never connect here: a redirector is none of them
		}
		if err != nil {
			return // the other end has left
		}
	}
}

func (r *Redirector) fault() *wire.Fault {
	leader := r.Leader()
	f := wire.NewFault(fault.New(fault.Unavailable, raft.NotLeader{Leader: leader}.Error()))
	f.Leader = leader.Addr
	return f
}
