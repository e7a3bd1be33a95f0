package policy

import (
	"fmt"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// backend returns an idle candidate with 8 slots that joined long ago.
func backend(name ident.Backend, change func(*Candidate)) Candidate {
	c := Candidate{Backend: name, Slots: 8, Uptime: time.Hour, Latency: time.Second}
	if change != nil {
		change(&c)
	}
	return c
}

func TestChoose(t *testing.T) {
	ejected := func(c *Candidate) { c.Ejected = true }
	full := func(c *Candidate) { c.InFlight = 8 }
	holdsPrefix := func(c *Candidate) { c.HoldsPrefix = true }
	for name, test := range map[string]struct {
		attempt Attempt
		list    []Candidate
		want    int
		reason  Reason
	}{
		"empty list":            {list: nil, want: -1, reason: ReasonNone},
		"no slots at all":       {list: []Candidate{{Backend: "a"}}, want: -1, reason: ReasonNone},
		"all full":              {list: []Candidate{backend("a", full), backend("b", full)}, want: -1, reason: ReasonNone},
		"all ejected still run": {list: []Candidate{backend("a", full), backend("b", ejected)}, want: 1, reason: ReasonAllEjected},
		"ejected is skipped":    {list: []Candidate{backend("a", ejected), backend("b", nil)}, want: 1, reason: ReasonLeastCost},
		"excluded, even if alone": {
			attempt: Attempt{Exclude: "a"}, list: []Candidate{backend("a", nil)}, want: -1, reason: ReasonNone,
		},
		"excluded, an ejected one instead": {
			attempt: Attempt{Exclude: "a"}, list: []Candidate{backend("a", nil), backend("b", ejected)}, want: 1, reason: ReasonAllEjected,
		},
		"limit on long work": {
			attempt: Attempt{Kind: ident.Report, MaxLongShare: 0.5},
			list:    []Candidate{backend("a", func(c *Candidate) { c.InFlight, c.LongInFlight = 4, 4 }), backend("b", func(c *Candidate) { c.InFlight, c.LongInFlight = 7, 3 })},
			want:    1, reason: ReasonLeastCost,
		},
		"one slot takes long work": {
			attempt: Attempt{Kind: ident.Report}, list: []Candidate{backend("a", func(c *Candidate) { c.Slots = 1 })}, want: 0, reason: ReasonLeastCost,
		},
		"own attempts outweigh an old report": {
			list: []Candidate{
				backend("a", func(c *Candidate) { c.InFlight = 4 }),
				backend("b", func(c *Candidate) { c.ReportedLoad, c.ReportAge = 8, 2*time.Second }),
			}, want: 1, reason: ReasonLeastCost,
		},
		"higher latency outweighs less load": {
			list: []Candidate{backend("a", func(c *Candidate) { c.Latency = 9 * time.Second }), backend("b", func(c *Candidate) { c.InFlight = 5 })},
			want: 1, reason: ReasonLeastCost,
		},
		"prefix": {
			list: []Candidate{backend("a", nil), backend("b", holdsPrefix), backend("c", nil)}, want: 1, reason: ReasonPrefix,
		},
		"prefix with too much load": {
			list: []Candidate{backend("a", func(c *Candidate) { holdsPrefix(c); c.InFlight = 7 }), backend("b", nil)}, want: 1, reason: ReasonLeastCost,
		},
		"slow start": {
			list: []Candidate{backend("a", func(c *Candidate) { c.Uptime = 0 }), backend("b", func(c *Candidate) { c.InFlight = 4 })},
			want: 1, reason: ReasonLeastCost,
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) { // the choice must not depend on the seed
				test.attempt.Seed = seed
				got, reason := ChooseBackend(test.attempt, test.list)
				if got != test.want || reason != test.reason {
					t.Fatalf("seed %d: got %d %s, want %d %s", seed, got, reason, test.want, test.reason)
				}
			}
		})
	}
}

// Guards against a random sample that favours some candidates, which would
// overload them when all candidates are equally loaded.
func TestChooseSpreadsEvenly(t *testing.T) {
	list := make([]Candidate, 20)
	for i := range list {
		list[i] = backend(ident.Backend(fmt.Sprint(i)), nil)
	}
	count := make([]int, len(list))
	const rounds = 20_000
	for seed := range uint64(rounds) {
		i, _ := ChooseBackend(Attempt{Seed: seed}, list)
		count[i]++
	}
	for i, n := range count {
		if n < rounds/len(list)*8/10 || n > rounds/len(list)*12/10 {
			t.Errorf("candidate %d: got %d of %d, want about %d", i, n, rounds, rounds/len(list))
		}
	}
}

func chooseInput() (Attempt, []Candidate) {
	list := make([]Candidate, 200)
	for i := range list {
		list[i] = backend(ident.Backend(fmt.Sprint("runner-", i)), func(c *Candidate) {
			c.InFlight, c.ReportedLoad, c.ReportAge = i%7, i%9, time.Duration(i)*time.Millisecond
			c.HoldsPrefix, c.Ejected, c.SameZone = i%50 == 0, i%20 == 0, i%3 == 0
		})
	}
	return Attempt{Kind: ident.Report, MaxLongShare: 0.5, Exclude: "runner-3"}, list
}

func TestMeasureChoose(t *testing.T) {
	attempt, list := chooseInput()
	if n := testing.AllocsPerRun(100, func() { ChooseBackend(attempt, list) }); n != 0 {
		t.Errorf("Choose: got %v allocations, want 0", n)
	}
	if !*measuring {
		return
	}
	var r results
	for range 10 {
		b := testing.Benchmark(BenchmarkChoose)
		r.add("choose_200", "choose", "us", float64(b.NsPerOp())/1000)
	}
	r.print()
	atMost(t, "time of Choose in us", r.median("choose_200", "choose", "us"), 5)
}

func BenchmarkChoose(b *testing.B) {
	attempt, list := chooseInput()
	b.ReportAllocs()
	for b.Loop() {
		attempt.Seed++
		ChooseBackend(attempt, list)
	}
}
