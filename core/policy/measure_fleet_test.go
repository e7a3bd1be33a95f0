package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// The fleet has one in ten backend servers slowed for ten seconds at a time.
const (
	fleetSize   = 40
	fleetSlots  = 8
	fleetGates  = 3
	fleetWork   = 400 * time.Millisecond
	slowPeriod  = 10 * time.Second
	fleetLength = 90 * time.Second
)

// fleet is a rig of several gates that choose among the same backend servers.
type fleet struct {
	*events
	policy  string
	servers []*server
	gates   []*node
	turn    int

	latencies                  []float64
	requests, hedges, rejected int
	busy, extra                time.Duration
}

// server runs fleetSlots attempts at once and keeps others in line.
type server struct {
	factor   float64
	running  int
	line     []*attempt
	reported int
}

// node is what one gate knows.
type node struct {
	inflight []int
	peers    *OutlierDetector
	hedger   *Hedger
	budget   *Budget
	list     []Candidate
}

type request struct {
	began    time.Time
	done     bool
	attempts []*attempt
}

type attempt struct {
	r        *request
	g        *node
	at       int // server
	began    time.Time
	started  time.Time
	active   bool
	finished bool
}

func newFleet(seed uint64, policy string, load float64) *fleet {
	f := &fleet{events: newEvents(seed), policy: policy}
	for range fleetSize {
		f.servers = append(f.servers, &server{factor: 1})
	}
	for range fleetGates {
		g := &node{
			inflight: make([]int, fleetSize), list: make([]Candidate, fleetSize),
			peers: NewOutlierDetector(0.5), hedger: NewHedger(0.96), budget: NewBudget(0.05, 30),
		}
		f.gates = append(f.gates, g)
	}
	rate := load * fleetSize * fleetSlots / fleetWork.Seconds()
	f.arrivals(func(time.Duration) float64 { return rate }, f.request)
	f.report()
	return f
}

// stragglers slows a tenth of the servers, others in each period.
func (f *fleet) stragglers(pick *rand.Rand) {
	for _, s := range f.servers {
		s.factor = 1
	}
	for _, i := range pick.Perm(fleetSize)[:fleetSize/10] {
		f.servers[i].factor = 5 + 15*pick.Float64()
	}
	f.after(slowPeriod, func() { f.stragglers(pick) })
}

func (f *fleet) report() {
	for _, s := range f.servers {
		s.reported = s.running + len(s.line)
	}
	f.after(time.Second, f.report)
}

func (f *fleet) request() {
	f.requests++
	g := f.gates[f.rng.IntN(fleetGates)]
	r := &request{began: f.now}
	g.budget.RecordRequest()
	first := f.attempt(r, g, "")
	if first == nil || f.policy != "choose" {
		return
	}
	delay, ok := g.hedger.Delay(ident.Chat, "m")
	if !ok {
		return
	}
	f.after(delay, func() {
		if !r.done && g.budget.TrySpend() {
			f.hedges++
			f.attempt(r, g, name(first.at))
		}
	})
}

func (f *fleet) attempt(r *request, g *node, avoid ident.Backend) *attempt {
	i := f.choose(g, avoid)
	if i < 0 {
		f.rejected++
		return nil
	}
	a := &attempt{r: r, g: g, at: i, began: f.now}
	r.attempts = append(r.attempts, a)
	g.inflight[i]++
	s := f.servers[i]
	s.line = append(s.line, a)
	f.work(s)
	return a
}

var names = func() (list [fleetSize]ident.Backend) {
	for i := range list {
		list[i] = ident.Backend(fmt.Sprint("b", i))
	}
	return list
}()

func name(i int) ident.Backend { return names[i] }

func (f *fleet) choose(g *node, avoid ident.Backend) int {
	switch f.policy {
	case "round_robin":
		f.turn++
		return f.turn % fleetSize
	case "least_reported":
		best, start := -1, f.rng.IntN(fleetSize)
		for k := range fleetSize {
			i := (start + k) % fleetSize
			if best < 0 || f.servers[i].reported < f.servers[best].reported {
				best = i
			}
		}
		return best
	}
	age := f.now.Sub(epoch) % time.Second
	for i := range g.list {
		g.list[i] = Candidate{
			Backend: name(i), Ejected: g.peers.IsEjected(f.now, name(i)), InFlight: g.inflight[i],
			ReportedLoad: f.servers[i].reported, ReportAge: age, Slots: fleetSlots,
			Latency: g.peers.Latency(name(i)), Uptime: time.Hour,
		}
	}
	i, _ := ChooseBackend(Attempt{Kind: ident.Chat, Seed: f.rng.Uint64(), MaxLongShare: 0.5, Exclude: avoid}, g.list)
	return i
}

func (f *fleet) work(s *server) {
	for s.running < fleetSlots && len(s.line) > 0 {
		a := s.line[0]
		s.line = s.line[1:]
		if a.finished {
			continue
		}
		s.running++
		a.active, a.started = true, f.now
		f.after(time.Duration(float64(f.length(fleetWork))*s.factor), func() { f.finish(a) })
	}
}

// finish ends an attempt; the first of a request answers, others are cancelled.
func (f *fleet) finish(a *attempt) {
	if a.finished {
		return
	}
	total := f.now.Sub(a.r.began)
	if a.r.done = true; f.now.Sub(epoch) > 5*time.Second { // the start is left out
		f.latencies = append(f.latencies, total.Seconds())
	}
	a.g.hedger.Observe(ident.Chat, "m", total)
	for _, o := range a.r.attempts {
		f.stop(o, o == a)
	}
}

func (f *fleet) stop(a *attempt, won bool) {
	a.finished = true
	a.g.inflight[a.at]--
	b, took := name(a.at), f.now.Sub(a.began)
	if won || took > a.g.peers.Latency(b) {
		a.g.peers.Observe(f.now, b, took, true)
	}
	if !a.active {
		return
	}
	s := f.servers[a.at]
	s.running--
	f.busy += f.now.Sub(a.started)
	if !won {
		f.extra += f.now.Sub(a.started)
	}
	f.work(s)
}

func runFleet(seed uint64, policy string, load float64, prepare func(f *fleet)) *fleet {
	f := newFleet(seed, policy, load)
	prepare(f)
	f.run(fleetLength)
	return f
}

func slowed(seed uint64) func(f *fleet) {
	return func(f *fleet) { f.stragglers(rand.New(rand.NewPCG(seed, 11))) }
}

func TestMeasureTail(t *testing.T) {
	const load = 0.4
	var r results
	r.seeds(2, 30, func(seed uint64, r *results) {
		calm := runFleet(seed, "choose", load, func(*fleet) {})
		for _, policy := range []string{"choose", "round_robin", "least_reported"} {
			f := runFleet(seed, policy, load, slowed(seed))
			for name, p := range map[string]float64{"p99": 0.99, "p999": 0.999} {
				r.add("tail_"+name, policy, "s", quantile(f.latencies, p))
				r.add("tail_"+name+"_calm", "choose", "s", quantile(calm.latencies, p))
				r.add("tail_"+name+"_ratio", policy, "of_calm", quantile(f.latencies, p)/quantile(calm.latencies, p))
			}
			r.add("extra_attempts_slowed", policy, "of_requests", float64(f.hedges)/float64(f.requests))
		}
	})
	atMost(t, "p99 with stragglers", r.median("tail_p99_ratio", "choose", "of_calm"), 1.5)
}

func TestMeasureExtra(t *testing.T) {
	all := func(factor float64) func(f *fleet) {
		return func(f *fleet) {
			f.after(20*time.Second, func() {
				for _, s := range f.servers {
					s.factor = factor
				}
			})
		}
	}
	var r results
	r.seeds(2, 30, func(seed uint64, r *results) {
		for name, factor := range map[string]float64{"calm": 1, "all_slow_2x": 2, "all_slow_10x": 10} {
			f := runFleet(seed, "choose", 0.35, all(factor))
			r.add("extra_attempts_"+name, "choose", "of_requests", float64(f.hedges)/float64(f.requests))
			r.add("extra_work_"+name, "choose", "of_work", float64(f.extra)/float64(f.busy-f.extra))
			r.add("not_run_"+name, "choose", "of_requests", float64(f.rejected)/float64(f.requests))
		}
	})
	for _, name := range []string{"calm", "all_slow_2x", "all_slow_10x"} {
		atMost(t, "extra attempts, "+name, r.median("extra_attempts_"+name, "choose", "of_requests"), 0.055)
		atMost(t, "extra work, "+name, r.median("extra_work_"+name, "choose", "of_work"), 0.08)
	}
}
