package raft

import (
	"slices"
	"testing"
	"time"

	"citronledge.example/state/store"
)

// restartTimes restarts all members of clusters at once, each up to skew later
// than the first, and returns the times from the last start until a leader holds
// its lease, in ascending order.
func restartTimes(t *testing.T, size int, delay, skew time.Duration, seeds uint64) (list []time.Duration) {
	timings := Timings{HeartbeatInterval: 75 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond}
	for seed := range seeds {
		simulate(t, 100+seed, size, func(_ *testing.T, w *world) {
			w.mu.Lock()
			w.maxDelay = delay
			w.mu.Unlock()
			w.commitCommands("a", 1)
			w.waitForConvergence()
			disks := map[string]*store.MemoryFolder{}
			for _, name := range w.names {
				disks[name] = w.crash(name)
			}
			for _, name := range w.names {
				w.start(name, disks[name])
				time.Sleep(time.Duration(w.rng.Int64N(int64(skew)/int64(size) + 1)))
			}
			start := time.Now()
			w.waitForLeader()
			list = append(list, time.Since(start))
		}, WithTimings(timings))
	}
	slices.Sort(list)
	return list
}

// Guards against slow elections after a restart of all members, in particular
// against elections without a winner, which cost whole election timeouts of 400 ms
// and more.
func TestRestartElection(t *testing.T) {
	for name, x := range map[string]struct {
		size        int
		delay, skew time.Duration
	}{
		"three, quick":       {3, 2 * time.Millisecond, 50 * time.Millisecond},
		"three, slow":        {3, 40 * time.Millisecond, 200 * time.Millisecond},
		"five, quick":        {5, 2 * time.Millisecond, 50 * time.Millisecond},
		"five, slow":         {5, 40 * time.Millisecond, 200 * time.Millisecond},
		"three, long skewed": {3, 10 * time.Millisecond, 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			list := restartTimes(t, x.size, x.delay, x.skew, 60)
			if list[len(list)*9/10] > 600*time.Millisecond || list[len(list)-1] > 1500*time.Millisecond {
				t.Error("more than a tenth of the elections took longer than 600 ms, or one longer than 1.5 s")
			}
			t.Logf("median %v, 90 %% %v, longest %v", list[len(list)/2], list[len(list)*9/10], list[len(list)-1])
		})
	}
}
