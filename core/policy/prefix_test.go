package policy

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

func prefix(keys ...PrefixKey) (parts []PrefixPart) {
	for _, k := range keys {
		parts = append(parts, PrefixPart{k, 1000})
	}
	return parts
}

// A part that was evicted, or that comes behind one that was, must not be
// credited: the choice would prefer a server that has to read it anew.
func TestPrefixRecord(t *testing.T) {
	const capacity = 10_000
	for name, test := range map[string]struct {
		play func(r *PrefixRecord)
		want float64 // held of the prompt with the parts 1 and 2
	}{
		"nothing read":       {func(*PrefixRecord) {}, 0},
		"read":               {func(r *PrefixRecord) { r.Read(prefix(1, 2), 500, 0, capacity) }, 2000},
		"beginning read":     {func(r *PrefixRecord) { r.Read(prefix(1, 3), 500, 0, capacity) }, 1000},
		"behind another one": {func(r *PrefixRecord) { r.Read(prefix(4, 2), 500, 0, capacity) }, 0},
		"evicted by others": {func(r *PrefixRecord) {
			r.Read(prefix(1, 2), 0, 0, capacity)
			r.Read(prefix(5), 7500, 0, capacity)
		}, 1000}, // the later part is evicted first
		"used again in time": {func(r *PrefixRecord) {
			for range 10 {
				r.Read(prefix(1, 2), 6000, 0, capacity)
			}
		}, 2000},
		"crowded out by running requests": {func(r *PrefixRecord) { r.Read(prefix(1, 2), 0, 8500, capacity) }, 1000},
		"restarted": {func(r *PrefixRecord) {
			r.Read(prefix(1, 2), 0, 0, capacity)
			r.Forget()
		}, 0},
		"read after a restart": {func(r *PrefixRecord) {
			r.Read(prefix(1, 2), 9000, 0, capacity)
			r.Forget()
			r.Read(prefix(1, 2), 0, 0, capacity)
		}, 2000},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewPrefixTable()
			r, other := table.NewRecord(), table.NewRecord()
			test.play(r)
			table.Match(prefix(1, 2))
			if got := r.Held(); got != test.want {
				t.Errorf("got %v held, want %v", got, test.want)
			}
			if got := other.Held(); got != 0 {
				t.Errorf("got %v held by a server that read nothing, want 0", got)
			}
		})
	}
}

// A server that evicts earlier than its record expects must be credited with
// little after some attempts, and fully again when it keeps the parts.
func TestPrefixConfidence(t *testing.T) {
	var e FirstTokenEstimator
	p := Prompt{Model: "m", SmallestModel: "m", TokenTimeRatio: 1, Work: 6610, SharedWork: 5382}
	for range 50 {
		e.Observe(20*time.Millisecond, p, 100, 0)
		e.ObservePrompt(86*time.Millisecond, p, PrefixUnknown, PrefixUndecided, 0, 0)
	}
	table := NewPrefixTable()
	r := table.NewRecord()
	parts := []PrefixPart{{1, 512}, {2, 4870}}
	credit := func(attempts int, took time.Duration, want PrefixVerdict) float64 {
		for range attempts {
			table.Match(parts)
			v := e.JudgePrefix(took, p, PrefixRecorded, r.Held(), 0)
			if v != want {
				t.Fatalf("%v to the first token: got verdict %v, want %v", took, v, want)
			}
			r.Observe(PrefixRecorded, v)
			e.ObservePrompt(took, p, PrefixRecorded, v, r.Held(), 0)
		}
		table.Match(parts)
		return r.Credit()
	}
	r.Read(parts, 0, 0, 100_000)
	if got := credit(30, 86*time.Millisecond, PrefixMissed); got > 500 {
		t.Errorf("got a credit of %.0f after 30 wrong predictions, want little", got)
	}
	if got := credit(30, 33*time.Millisecond, PrefixHeld); got < 5000 {
		t.Errorf("got a credit of %.0f after 30 right predictions, want nearly all of 5,382", got)
	}
	if got := credit(5, 400*time.Millisecond, PrefixUndecided); got < 5000 {
		t.Errorf("got a credit of %.0f after attempts that waited for something else, want the same as before", got)
	}
}

// The records of all servers together must stay below 1 MB, whatever is read,
// and drop the least recently used parts.
func TestPrefixMemory(t *testing.T) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	table := NewPrefixTable()
	records := make([]*PrefixRecord, 200)
	for i := range records {
		records[i] = table.NewRecord()
	}
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 100_000 {
		records[r.IntN(len(records))].Read(prefix(PrefixKey(i+10)), 0, 0, 1e9)
		if i%100 == 0 {
			records[0].Read(prefix(1), 0, 0, 1e9) // in use all the time
		}
	}
	if used := heap() - before; used > 1<<20 {
		t.Errorf("got %d bytes, want at most 1 MiB", used)
	}
	table.Match(prefix(1))
	if got := records[0].Held(); got != 1000 {
		t.Errorf("got %v held of the part in use, want 1000", got)
	}
	for _, x := range records {
		x.Forget()
	}
	if len(table.holders) != 0 || table.all != (prefixList{}) {
		t.Errorf("got %d parts left after all servers have restarted, want none", len(table.holders))
	}
}

// What the own record knows, the load of the holder, and its memory must decide
// before the rank does.
func TestChooseByRecord(t *testing.T) {
	p := Prompt{Work: 6610, SharedWork: 5382, Recorded: true}
	for name, test := range map[string]struct {
		list   []DirectCandidate
		want   int
		reason Reason
	}{
		"nothing known":                     {[]DirectCandidate{{Rank: 1}, {Rank: 2}, {Rank: 3}}, 2, ReasonPrefix},
		"held elsewhere, first busy":        {[]DirectCandidate{{Rank: 1, HeldWork: 5382}, {Rank: 2}, {Rank: 3, PendingPromptWork: 3000}}, 0, ReasonPrefix},
		"busy, second in rank":              {[]DirectCandidate{{Rank: 1}, {Rank: 2}, {Rank: 3, PendingPromptWork: 9000}}, 1, ReasonLeastCost},
		"first is short of memory":          {[]DirectCandidate{{Rank: 1}, {Rank: 2, PendingPromptWork: 2000}, {Rank: 3, ShortOfMemory: true, HeldWork: 5382}}, 1, ReasonPrefix},
		"holder waits longer than it saves": {[]DirectCandidate{{Rank: 1, HeldWork: 5382, PendingPromptWork: 9000}, {Rank: 2}, {Rank: 3}}, 2, ReasonPrefix},
		"holder of the first part":          {[]DirectCandidate{{Rank: 1, HeldWork: 512}, {Rank: 2}, {Rank: 3, ShortOfMemory: true}}, 1, ReasonPrefix},
		"holder without a free slot":        {[]DirectCandidate{{Rank: 1, HeldWork: 5382, Load: 1}, {Rank: 2, Load: 0.5}, {Rank: 3, Load: 1}}, 1, ReasonLeastCost},
	} {
		t.Run(name, func(t *testing.T) {
			if got, reason := ChooseDirect(test.list, p, Sample{}); got != test.want || reason != test.reason {
				t.Errorf("got %d for %q, want %d for %q", got, reason, test.want, test.reason)
			}
		})
	}
}

// BenchmarkChoosePrefix looks up a prompt of three parts that all servers hold
// in part, and chooses among the servers.
func BenchmarkChoosePrefix(b *testing.B) {
	for _, servers := range []int{43, 200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			table := NewPrefixTable()
			records, list := make([]*PrefixRecord, servers), make([]DirectCandidate, servers)
			for i := range records {
				records[i] = table.NewRecord()
				records[i].Read(prefix([]PrefixKey{1, 2, 3}[:1+i%3]...), 0, 0, 1e9)
				list[i] = DirectCandidate{Load: float64(i%7) / 10, Rank: uint64(i * 7919 % 1000), SameZone: i%3 == 0}
			}
			parts := prefix(1, 2, 3)
			b.ReportAllocs()
			for b.Loop() {
				table.Match(parts)
				for i := range list {
					list[i].HeldWork = records[i].Credit()
				}
				ChooseDirect(list, Prompt{Work: 4000, SharedWork: 3000, Recorded: true}, Sample{})
			}
		})
	}
}
