package main

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/wire"
)

const (
	// leaveTimeout bounds how long a stopping process asks for the removal of its
	// vote; a voter that stays is removed when it has long been silent.
	leaveTimeout       = 1500 * time.Millisecond
	leaveRetryInterval = 50 * time.Millisecond
	leaveQueryTimeout  = time.Second
)

var errNoLeader = eris.New("no other process leads the cluster")

// giveUpVote asks the leader to remove this process from the voters if the others
// are enough.
func (p *process) giveUpVote(ctx context.Context) {
	voters := 0
	for _, m := range p.raft.Status().Members {
		if m.Voter {
			voters++
		}
	}
	if voters <= p.settings.node.voterCount() {
		return // all are needed
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	tick := time.NewTicker(leaveRetryInterval)
	defer tick.Stop()
	for {
		err := p.askToLeave(ctx)
		if err == nil {
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			klog.InfoS("Vote not given up; the leader removes it when this process has been silent", "err", err)
			return
		}
	}
}

func (p *process) askToLeave(ctx context.Context) error {
	leader, ok := p.raft.Leader()
	if !ok || leader.Name == p.settings.Name {
		return errNoLeader
	}
	q := &wire.Query{Kind: &wire.Query_Leave{Leave: &wire.Leave{Name: p.settings.Name}}}
	a, err := ask(ctx, leader.Addr, p.link, q, leaveQueryTimeout)
	if err != nil {
		return err
	}
	return a.GetFault().Err()
}
