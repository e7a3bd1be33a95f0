package node

import (
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/link"
	"citronledge.example/state/raft"
)

// lateLeader is a consensus whose leader is not known at first.
type lateLeader struct {
	singleMember
	name string // of the leader; empty while it is not known
}

func (l *lateLeader) Leader() (raft.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return raft.Member{Name: l.name}, l.name != ""
}

// Guards against sending clients away just before a leader is elected, and
// against keeping them at a process that is cut off from the leader.
func TestAwaitFirstLeader(t *testing.T) {
	for name, x := range map[string]struct {
		leader      string
		after       time.Duration // the leader becomes known
		lease       time.Duration // it has its lease; only for this member
		arrival     time.Duration // since the start
		want        time.Duration
		wantSecond  time.Duration // of a client after the first, when the leader is lost again
		secondAfter time.Duration
	}{
		"another member":      {"s2", 100 * time.Millisecond, 0, 0, 100 * time.Millisecond, 0, time.Second},
		"this member":         {"s1", 100 * time.Millisecond, 20 * time.Millisecond, 0, 120 * time.Millisecond, 0, time.Second},
		"no leader":           {"s2", time.Hour, 0, 0, firstLeaderWait, firstLeaderWait, time.Second},
		"long after start":    {"s2", time.Hour, 0, startTime + time.Second, 0, 0, 0},
		"no leader for long":  {"s2", time.Hour, 0, 0, firstLeaderWait, 0, startTime},
		"leader known before": {"s2", 0, 0, time.Second, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &lateLeader{}
				n, err := New(WithConsensus(l), WithMachine(NewMachine()), WithLink(link.Config{Name: "s1", Keys: processKeys}))
				if err != nil {
					t.Fatal(err)
				}
				if x.after < time.Hour {
					time.AfterFunc(x.after, func() { l.mu.Lock(); l.name = x.leader; l.mu.Unlock() })
					time.AfterFunc(x.after+x.lease, func() { l.setElected(time.Now()) })
				}
				time.Sleep(x.arrival)
				wait := func() time.Duration {
					start := time.Now()
					n.awaitFirstLeader(t.Context())
					return time.Since(start)
				}
				if got := wait(); got < x.want || got > x.want+firstLeaderInterval {
					t.Errorf("got a wait of %v, want %v", got, x.want)
				}
				l.mu.Lock()
				l.name = ""
				l.mu.Unlock()
				time.Sleep(x.secondAfter)
				if got := wait(); got != x.wantSecond {
					t.Errorf("got a wait of %v for a later client, want %v", got, x.wantSecond)
				}
			})
		})
	}
}
