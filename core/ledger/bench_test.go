package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/wire"
)

// BenchmarkApply measures one command of each kind in a ledger that holds 100,000
// bills, 100,000 pins and 5,000 members.
func BenchmarkApply(b *testing.B) {
	kinds := map[string]func(i uint64) *wire.Command{
		"change": func(i uint64) *wire.Command { return change(i+1, setEntry("limits", fmt.Sprintf(`{"body":%d}`, i))) },
		"begin":  func(i uint64) *wire.Command { return begin(1, fmt.Sprint(i), fmt.Sprint(i), "digest", "r") },
		"bill":   func(i uint64) *wire.Command { return bill(1, 1_000_000+i) },
		"pin":    func(i uint64) *wire.Command { return pin(fmt.Sprint("new", i), "v1", "") },
		"repeat": func(uint64) *wire.Command { return pin("5", "v1", "") },
		"enroll": func(uint64) *wire.Command { return enroll() },
	}
	for name, f := range kinds {
		b.Run(name, func(b *testing.B) {
			r := filledFixture(b, 100_000, 100_000, 5000)
			var log [][]byte
			for i := range uint64(b.N) {
				c := f(i)
				c.Time = r.now
				data, err := proto.Marshal(c)
				if err != nil {
					b.Fatal(err)
				}
				log = append(log, data)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i, data := range log {
				r.l.Apply(uint64(i), data)
			}
		})
	}
}

func filledFixture(b *testing.B, bills, pins, members uint64) *fixture {
	r := newFixture(b)
	r.apply(enroll())
	for i := range bills {
		r.apply(bill(1, i+1))
	}
	for i := range pins {
		r.apply(pin(fmt.Sprint(i), "v1", ""))
	}
	for i := range members {
		r.apply(&wire.Command{Kind: &wire.Command_Members{Members: &wire.Members{Entries: []*wire.Entry{
			setEntry(fmt.Sprintf("members/vm-%d", i), `{"addr":"10.0.0.1:7000","zone":"kolkata-a","presence":"live","models":["small"]}`),
		}}}})
	}
	return r
}

// BenchmarkSnapshot measures the time to take a snapshot of 1,000 items of a kind,
// and its bytes per item.
func BenchmarkSnapshot(b *testing.B) {
	fill := map[string]func(r *fixture){
		"bills": func(r *fixture) {
			for i := range uint64(1000) {
				r.apply(bill(1, i+1))
			}
		},
		"pins": func(r *fixture) {
			for i := range 1000 {
				r.apply(pin(fmt.Sprintf("session-%08d", i), "v1", ""))
			}
		},
		"operations": func(r *fixture) {
			for i := range 1000 {
				key := fmt.Sprintf("key-%08d", i)
				fence := r.apply(begin(1, key, key, fmt.Sprintf("%064d", i), fmt.Sprintf("r-%08d", i))).GetOperation().GetFence()
				r.apply(hand(key, fence, "runner-1", uint64(i)<<32))
				c := finish(key, fence, 200)
				c.GetFinish().Body = make([]byte, 200)
				r.apply(c)
			}
		},
	}
	for name, f := range fill {
		b.Run(name+"=1000", func(b *testing.B) {
			r := newFixture(b)
			r.apply(enroll())
			empty, _ := r.l.Snapshot()
			f(r)
			r.l.audits = nil // audit records are not part of the size per item
			var size int
			for b.Loop() {
				data, err := r.l.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size-len(empty))/1000, "B/item")
		})
	}
}

// BenchmarkFreeze measures how long a snapshot blocks the consensus. The metric
// encode-ms is the rest of the work, which runs concurrently.
func BenchmarkFreeze(b *testing.B) {
	for _, pins := range []uint64{100_000, 1_000_000} {
		b.Run(fmt.Sprintf("pins=%d", pins), func(b *testing.B) {
			r := filledFixture(b, 100_000, pins, 5000)
			var encoding time.Duration
			for b.Loop() {
				encode := r.l.Freeze()
				b.StopTimer()
				start := time.Now()
				if _, err := encode(); err != nil {
					b.Fatal(err)
				}
				encoding += time.Since(start)
				b.StartTimer()
			}
			b.ReportMetric(float64(encoding.Milliseconds())/float64(b.N), "encode-ms")
		})
	}
}

// BenchmarkPins measures the cost of a session pin: heap, bytes in the snapshot,
// and the time to restore all pins after a restart.
func BenchmarkPins(b *testing.B) {
	for _, pins := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("pins=%d", pins), func(b *testing.B) {
			before := heapBytes()
			r := newFixture(b)
			r.apply(enroll())
			for i := range pins {
				r.apply(pin(fmt.Sprintf("session-%028d", i), "v1", ""))
			}
			grown := heapBytes() - before
			data, err := r.l.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			command, err := proto.Marshal(pin(fmt.Sprintf("session-%028d", 1), "v1", ""))
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for b.Loop() {
				if err := New().Restore(data); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(grown)/float64(pins), "heap-B/pin")
			b.ReportMetric(float64(len(data))/float64(pins), "snapshot-B/pin")
			b.ReportMetric(float64(len(command)), "command-B")
			runtime.KeepAlive(r)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
