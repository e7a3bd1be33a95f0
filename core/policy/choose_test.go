package policy

import (
	"fmt"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// backend is an idle candidate with 8 slots that is long in service.
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
	affine := func(c *Candidate) { c.Affine = true }
	for name, test := range map[string]struct {
		ask    Ask
		list   []Candidate
		want   int
		reason Reason
	}{
		"empty list":            {list: nil, want: -1, reason: None},
		"no slots at all":       {list: []Candidate{{Backend: "a"}}, want: -1, reason: None},
		"all full":              {list: []Candidate{backend("a", full), backend("b", full)}, want: -1, reason: None},
		"all ejected still run": {list: []Candidate{backend("a", full), backend("b", ejected)}, want: 1, reason: Floor},
		"ejected is passed":     {list: []Candidate{backend("a", ejected), backend("b", nil)}, want: 1, reason: Least},
		"avoided, even if alone": {
			ask: Ask{Avoid: "a"}, list: []Candidate{backend("a", nil)}, want: -1, reason: None,
		},
		"avoided, rather an ejected one": {
			ask: Ask{Avoid: "a"}, list: []Candidate{backend("a", nil), backend("b", ejected)}, want: 1, reason: Floor,
		},
		"the cap on long work": {
			ask:  Ask{Kind: ident.Report, Long: 0.5},
			list: []Candidate{backend("a", func(c *Candidate) { c.InFlight, c.Long = 4, 4 }), backend("b", func(c *Candidate) { c.InFlight, c.Long = 7, 3 })},
			want: 1, reason: Least,
		},
		"one slot takes long work": {
			ask: Ask{Kind: ident.Report}, list: []Candidate{backend("a", func(c *Candidate) { c.Slots = 1 })}, want: 0, reason: Least,
		},
		"own counts before an old report": {
			list: []Candidate{
				backend("a", func(c *Candidate) { c.InFlight = 4 }),
				backend("b", func(c *Candidate) { c.Reported, c.Age = 8, 2*time.Second }),
			}, want: 1, reason: Least,
		},
		"slower by latency": {
			list: []Candidate{backend("a", func(c *Candidate) { c.Latency = 9 * time.Second }), backend("b", func(c *Candidate) { c.InFlight = 5 })},
			want: 1, reason: Least,
		},
		"prefix": {
			list: []Candidate{backend("a", nil), backend("b", affine), backend("c", nil)}, want: 1, reason: Prefix,
		},
		"prefix with too much load": {
			list: []Candidate{backend("a", func(c *Candidate) { affine(c); c.InFlight = 7 }), backend("b", nil)}, want: 1, reason: Least,
		},
		"slow start": {
			list: []Candidate{backend("a", func(c *Candidate) { c.Uptime = 0 }), backend("b", func(c *Candidate) { c.InFlight = 4 })},
			want: 1, reason: Least,
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) { // the verdict must not depend on the seed
				test.ask.Seed = seed
				got, reason := Choose(test.ask, test.list)
				if got != test.want || reason != test.reason {
					t.Fatalf("seed %d: got %d %s, want %d %s", seed, got, reason, test.want, test.reason)
				}
			}
		})
	}
}

// A sample that favours some candidates would overload them at equal load.
func TestChooseSpreadsEvenly(t *testing.T) {
	list := make([]Candidate, 20)
	for i := range list {
		list[i] = backend(ident.Backend(fmt.Sprint(i)), nil)
	}
	count := make([]int, len(list))
	const rounds = 20_000
	for seed := range uint64(rounds) {
		i, _ := Choose(Ask{Seed: seed}, list)
		count[i]++
	}
	for i, n := range count {
		if n < rounds/len(list)*8/10 || n > rounds/len(list)*12/10 {
			t.Errorf("candidate %d: got %d of %d, want about %d", i, n, rounds, rounds/len(list))
		}
	}
}

func chooseBench() (Ask, []Candidate) {
	list := make([]Candidate, 200)
	for i := range list {
		list[i] = backend(ident.Backend(fmt.Sprint("runner-", i)), func(c *Candidate) {
			c.InFlight, c.Reported, c.Age = i%7, i%9, time.Duration(i)*time.Millisecond
			c.Affine, c.Ejected, c.Local = i%50 == 0, i%20 == 0, i%3 == 0
		})
	}
	return Ask{Kind: ident.Report, Long: 0.5, Avoid: "runner-3"}, list
}

func TestMeasureChoose(t *testing.T) {
	ask, list := chooseBench()
	if n := testing.AllocsPerRun(100, func() { Choose(ask, list) }); n != 0 {
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
	ask, list := chooseBench()
	b.ReportAllocs()
	for b.Loop() {
		ask.Seed++
		Choose(ask, list)
	}
}
