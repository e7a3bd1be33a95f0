package node

import (
	"context"
	"time"
)

const (
	// startTime is how long after its start a process lets its clients wait for
	// the first leader.
	startTime = 5 * time.Second
	// firstLeaderWait limits one such wait. Clients give up a command after 1 s
	// and a renewal after 0.8 s.
	firstLeaderWait = 400 * time.Millisecond
	// firstLeaderInterval is the interval of checks for the leader.
	firstLeaderInterval = 5 * time.Millisecond
)

// awaitFirstLeader waits for the first leader that this process gets to know soon
// after its start. After a restart of all processes, clients would otherwise be
// told at once that there is none, and be late for the leader by their pause
// before the next attempt. Later, a process without a leader is probably cut off,
// and its clients must turn to another.
func (n *Node) awaitFirstLeader(ctx context.Context) {
	if n.knewLeader.Load() || time.Since(n.started) > startTime {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstLeaderWait)
	defer cancel()
	tick := time.NewTicker(firstLeaderInterval)
	defer tick.Stop()
	for {
		// A new leader has its lease once a majority has answered it.
		if leader, ok := n.consensus.Leader(); ok && (leader.Name != n.link.Name || n.consensus.HoldsLease()) {
			n.knewLeader.Store(true)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
