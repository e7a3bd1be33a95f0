package redir

import (
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/state/raft"
)

// Guards against sending gates away just before the redirector learns the leader,
// and against keeping them where no leader gets known.
func TestAwaitFirstLeader(t *testing.T) {
	for name, x := range map[string]struct{ after, arrival, want time.Duration }{
		"leader known later":  {100 * time.Millisecond, 0, 100 * time.Millisecond},
		"leader known before": {0, time.Second, 0},
		"no leader":           {time.Hour, 0, firstLeaderWait},
		"long after start":    {time.Hour, startTime + time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Redirector{started: time.Now()}
				timer := time.AfterFunc(x.after, func() {
					r.mu.Lock()
					defer r.mu.Unlock()
					r.leader = raft.Member{Name: "s1"}
				})
				defer timer.Stop()
				time.Sleep(x.arrival)
				start := time.Now()
				r.awaitFirstLeader(t.Context())
				if got := time.Since(start); got < x.want || got > x.want+firstLeaderInterval {
					t.Errorf("got a wait of %v, want %v", got, x.want)
				}
			})
		})
	}
}
