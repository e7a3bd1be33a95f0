package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/wire"
)

const (
	leaderTaskInterval = time.Second
	// retireAfter is how long an incarnation may go without a renewal before it
	// is retired. Its lease has ended long before; the rest lets a gate that
	// was cut off keep its incarnation number.
	retireAfter = 30 * time.Second
)

// runLeaderTasks runs the periodic tasks of the leader.
func (n *Node) runLeaderTasks(ctx context.Context) error {
	tick := time.NewTicker(leaderTaskInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		e, err := n.currentEpoch(ctx)
		if err != nil {
			continue // the leader runs the tasks
		}
		n.retireSilent(ctx, e)
		if n.memberListURL != "" {
			n.pollMembers(ctx, e)
		}
		if n.judge != nil {
			n.judgeRollouts(ctx, e)
		}
	}
}

// retireSilent retires the incarnations that have not renewed for retireAfter.
func (n *Node) retireSilent(ctx context.Context, e *epoch) {
	for _, id := range n.silentIncarnations(e) {
		c := &wire.Command{Actor: n.link.Name, Kind: &wire.Command_Retire{Retire: &wire.Retire{Incarnation: id}}}
		if _, err := n.propose(ctx, c); err != nil {
			return // the next round retries
		}
		klog.InfoS("Retired a silent incarnation", "incarnation", id)
	}
}

// silentIncarnations returns the incarnations without a lease that have not
// renewed for retireAfter.
func (n *Node) silentIncarnations(e *epoch) []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var silent []uint64
	known := map[uint64]bool{}
	for _, r := range n.ledger.ActiveIncarnations() {
		id := r.GetIncarnation()
		known[id] = true
		if e.lastSeen[id].IsZero() {
			e.lastSeen[id] = now
		}
		if e.holders[id] == nil && now.Sub(e.lastSeen[id]) > retireAfter {
			silent = append(silent, id)
		}
	}
	for id := range e.lastSeen {
		if !known[id] {
			delete(e.lastSeen, id)
			delete(e.renewedHere, id)
		}
	}
	return silent
}
