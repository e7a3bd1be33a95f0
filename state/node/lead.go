package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/wire"
)

const (
	leadEvery = time.Second // interval of the leader's tasks
	// retireAfter is how long an incarnation may be silent before it is
	// retired. Its lease has long ended; the rest lets a gate that was cut
	// off keep its number.
	retireAfter = 30 * time.Second
)

// lead does the leader's regular tasks.
func (n *Node) lead(ctx context.Context) error {
	tick := time.NewTicker(leadEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		e, err := n.leading(ctx)
		if err != nil {
			continue // another process does the tasks
		}
		n.retire(ctx, e)
		if n.members != "" {
			n.pollMembers(ctx, e)
		}
		if n.judge != nil {
			n.judgeRollouts(ctx, e)
		}
	}
}

// retire ends the incarnations that have not renewed for long.
func (n *Node) retire(ctx context.Context, e *epoch) {
	for _, id := range n.silent(e) {
		c := &wire.Command{Actor: n.link.Name, Kind: &wire.Command_Retire{Retire: &wire.Retire{Incarnation: id}}}
		if _, err := n.propose(ctx, c); err != nil {
			return // the next round does it
		}
		klog.InfoS("Retired a silent incarnation", "incarnation", id)
	}
}

func (n *Node) silent(e *epoch) []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var list []uint64
	live := map[uint64]bool{}
	for _, r := range n.ledger.ActiveIncarnations() {
		id := r.GetIncarnation()
		live[id] = true
		if e.seen[id].IsZero() {
			e.seen[id] = now
		}
		if e.holders[id] == nil && now.Sub(e.seen[id]) > retireAfter {
			list = append(list, id)
		}
	}
	for id := range e.seen {
		if !live[id] {
			delete(e.seen, id)
			delete(e.renewed, id)
		}
	}
	return list
}
