package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/state/raft"
)

const repairTime = time.Second // limit for one membership change

// MembershipChanger changes the membership of the state cluster; raft.Node implements it.
type MembershipChanger interface {
	AddLearner(ctx context.Context, m raft.Member) error
	Promote(ctx context.Context, name string) error
	Remove(ctx context.Context, name string) error
}

// repair makes the members the peers of the settings, one change at a time: a
// member whose disk was replaced is removed and joins as a learner, and a
// learner that has caught up becomes a voter. A member that the settings do
// not name stays, and so does one that is only away.
func (n *Node) repair(ctx context.Context) error {
	tick := time.NewTicker(leadEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if !n.cons.HoldsLease() {
			continue
		}
		if name, act := n.nextRepair(); act != nil {
			ctx, cancel := context.WithTimeout(ctx, repairTime)
			err := act(ctx)
			cancel()
			klog.InfoS("Membership change", "member", name, "err", err)
		}
	}
}

// nextRepair returns the next change, or nil.
func (n *Node) nextRepair() (name string, act func(context.Context) error) {
	known := map[string]bool{}
	var replaced, learner string
	away := 0
	for _, m := range n.cons.Status().Members {
		known[m.Name] = true
		switch {
		case m.ReportedDiskID != "" && m.ReportedDiskID != m.DiskID:
			replaced = m.Name
		case !m.Voter && m.Live:
			learner = m.Name
		case m.Voter && !m.Live && m.Name != n.link.Name:
			away++
		}
	}
	switch {
	case replaced != "" && away == 0: // else one more loss would stop the cluster
		return replaced, func(ctx context.Context) error { return n.roster.Remove(ctx, replaced) }
	case learner != "":
		return learner, func(ctx context.Context) error { return n.roster.Promote(ctx, learner) }
	}
	for _, p := range n.peers {
		if !known[p.Name] {
			return p.Name, func(ctx context.Context) error {
				return n.roster.AddLearner(ctx, raft.Member{Name: p.Name, Addr: p.Addr})
			}
		}
	}
	return "", nil
}
