package conf

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// BenchmarkApply measures how long a process takes to apply a delta of one key to a
// whole configuration, and the configuration's heap and wire size.
func BenchmarkApply(b *testing.B) {
	for _, customers := range []int{10, 100} {
		for _, members := range []int{100, 1000, 4600} {
			b.Run(fmt.Sprintf("customers=%d/members=%d", customers, members), func(b *testing.B) {
				benchApply(b, customers, members)
			})
		}
	}
}

func benchApply(b *testing.B, customers, members int) {
	full, size := fullDelta(b, customers, members)
	before := heapBytes()
	view, err := EmptyView().Apply(full)
	if err != nil {
		b.Fatal(err)
	}
	grown := heapBytes() - before
	value := full.Entries[0].Value
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		at := uint64(view.Revision)
		d := &wire.Delta{From: at, Revision: at + 1, Entries: []*wire.Entry{{Key: full.Entries[0].Key, Value: value}}}
		if view, err = view.Apply(d); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(grown)/1000, "heap-KB")
	b.ReportMetric(float64(size)/1000, "wire-KB")
	runtime.KeepAlive(full)
}

// fullDelta returns a full delta and the size of its keys and values in bytes.
func fullDelta(b *testing.B, customers, members int) (*wire.Delta, int) {
	d := &wire.Delta{Revision: 1, Full: true}
	add := func(key string, value any) {
		data, err := json.Marshal(value)
		if err != nil {
			b.Fatal(err)
		}
		d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: data})
	}
	for i := range customers {
		add(fmt.Sprintf("%scustomer-%03d", CustomersPrefix, i), Customer{
			Weight: 1, KeyDigests: []string{fmt.Sprintf("%064d", i)}, Models: []string{"model-00", "model-01/v2"}, Cascade: "standard",
		})
	}
	for i := range 14 {
		add(fmt.Sprintf("%smodel-%02d", ModelsPrefix, i), Model{Versions: []ident.Version{"v1", "v2"}})
	}
	for i := range members {
		add(fmt.Sprintf("%srunner-%04d", MembersPrefix, i), Member{
			Addr: "10.100.200.30:7000", Zone: "kolkata-a", Presence: MemberLive, Models: []ident.Model{"model-00", "model-01"},
		})
	}
	size := 0
	for _, e := range d.Entries {
		size += len(e.Key) + len(e.Value)
	}
	return d, size
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
