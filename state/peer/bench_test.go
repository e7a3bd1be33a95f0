package peer

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citronledge.example/state/raft"
	"citronledge.example/state/store"
)

var command = make([]byte, 200)

// BenchmarkCommit measures commands/s and the time from the call of Propose to
// its result, with real files and sessions over loopback.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, clients := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("members=%d/clients=%d", size, clients), func(b *testing.B) {
				l := waitForLeader(b, startCluster(b, size))
				var left atomic.Int64
				left.Store(int64(b.N))
				times := make([][]time.Duration, clients)
				var wg sync.WaitGroup
				b.ResetTimer()
				for c := range clients {
					wg.Go(func() {
						for left.Add(-1) >= 0 {
							start := time.Now()
							if _, err := l.node.Propose(context.Background(), command); err != nil {
								b.Error(err)
								return
							}
							times[c] = append(times[c], time.Since(start))
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				all := slices.Concat(times...)
				slices.Sort(all)
				b.ReportMetric(float64(len(all))/b.Elapsed().Seconds(), "commands/s")
				b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
			})
		}
	}
}

// BenchmarkFailover measures the time from the end of the leader's process,
// without a transfer of leadership, to the lease of the next leader.
func BenchmarkFailover(b *testing.B) {
	list := startCluster(b, 3)
	var gaps []time.Duration
	for b.Loop() {
		l := waitForLeader(b, list)
		start := time.Now()
		l.stop(b)
		var rest []*process
		for _, p := range list {
			if p != l {
				rest = append(rest, p)
			}
		}
		next := waitForLeader(b, rest)
		gaps = append(gaps, time.Since(start))
		l.start(b)
		for next.node.Status().LastIndex != l.node.Status().AppliedIndex {
			runtime.Gosched()
		}
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "max-ms")
}

// BenchmarkRecovery measures the time from the start of a process until all
// records are applied, and the heap in use at that point. With log=only, no
// snapshot was taken.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000} {
		for name, opt := range map[string]raft.Option{
			"log=only":     raft.WithSnapshotPolicy(1<<40, 1<<50, 0),
			"log=snapshot": raft.WithSnapshotPolicy(10_000, 16<<20, 1000),
		} {
			b.Run(fmt.Sprintf("records=%d/%s", count, name), func(b *testing.B) { benchRecovery(b, count, opt) })
		}
	}
}

func benchRecovery(b *testing.B, count int, opt raft.Option) {
	p := &process{dir: b.TempDir(), member: raft.Member{Name: "m1", Addr: "127.0.0.1:0"}, opts: []raft.Option{opt}}
	p.initial = []raft.Member{p.member}
	p.start(b)
	waitForLeader(b, []*process{p})
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			for range count / 100 {
				if _, err := p.node.Propose(context.Background(), command); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
	p.stop(b)
	var open, ready time.Duration
	var before, after runtime.MemStats
	var bytes uint64
	b.ResetTimer()
	for b.Loop() {
		// The state of the previous iteration must not count as heap in use before.
		p.store, p.node, p.machine, p.transport, p.acceptor = nil, nil, nil, nil, nil
		runtime.GC()
		runtime.ReadMemStats(&before)
		start := time.Now()
		dir, err := store.OpenFolder(p.dir)
		if err != nil {
			b.Fatal(err)
		}
		st, err := store.Open(dir, "m1")
		if err != nil {
			b.Fatal(err)
		}
		open += time.Since(start)
		if err := st.Close(); err != nil {
			b.Fatal(err)
		}
		start = time.Now()
		p.start(b)
		for p.machine.count() < uint64(count) {
			runtime.Gosched()
		}
		ready += time.Since(start)
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes += after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
		p.stop(b)
	}
	b.ReportMetric(float64(open.Microseconds())/float64(b.N)/1000, "open-ms")
	b.ReportMetric(float64(ready.Microseconds())/float64(b.N)/1000, "ready-ms")
	b.ReportMetric(float64(bytes)/float64(b.N)/(1<<20), "heap-MB")
}
