package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// In the slowed runs, one in ten backend servers is slow for ten seconds at a
// time.
const (
	fleetSize     = 40
	fleetSlots    = 8
	fleetGates    = 3
	fleetMeanWork = 400 * time.Millisecond
	slowPeriod    = 10 * time.Second
	fleetLength   = 90 * time.Second
)

// fleet simulates several gates that choose among the same backend servers.
type fleet struct {
	*events
	policy     string
	servers    []*server
	gates      []*gateState
	nextServer int

	latencies                []float64
	requests, hedges, notRun int
	totalWork, hedgeWork     time.Duration
}

// server runs fleetSlots attempts at once and queues the others.
type server struct {
	slowdown float64
	running  int
	queue    []*attempt
	reported int
}

// gateState is the state of one gate.
type gateState struct {
	inFlight []int
	outliers *OutlierDetector
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
	g        *gateState
	server   int // index
	began    time.Time
	started  time.Time
	active   bool
	finished bool
}

func newFleet(seed uint64, policy string, load float64) *fleet {
	f := &fleet{events: newEvents(seed), policy: policy}
	for range fleetSize {
		f.servers = append(f.servers, &server{slowdown: 1})
	}
	for range fleetGates {
		g := &gateState{
			inFlight: make([]int, fleetSize), list: make([]Candidate, fleetSize),
			outliers: NewOutlierDetector(0.5), hedger: NewHedger(0.96), budget: NewBudget(0.05, 30),
		}
		f.gates = append(f.gates, g)
	}
	rate := load * fleetSize * fleetSlots / fleetMeanWork.Seconds()
	f.arrivals(func(time.Duration) float64 { return rate }, f.request)
	f.updateReports()
	return f
}

// slowStragglers slows a tenth of the servers, chosen anew in each period.
func (f *fleet) slowStragglers(rng *rand.Rand) {
	for _, s := range f.servers {
		s.slowdown = 1
	}
	for _, i := range rng.Perm(fleetSize)[:fleetSize/10] {
		f.servers[i].slowdown = 5 + 15*rng.Float64()
	}
	f.after(slowPeriod, func() { f.slowStragglers(rng) })
}

// updateReports renews the load reports every second.
func (f *fleet) updateReports() {
	for _, s := range f.servers {
		s.reported = s.running + len(s.queue)
	}
	f.after(time.Second, f.updateReports)
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
			f.attempt(r, g, backendName(first.server))
		}
	})
}

func (f *fleet) attempt(r *request, g *gateState, exclude ident.Backend) *attempt {
	i := f.choose(g, exclude)
	if i < 0 {
		f.notRun++
		return nil
	}
	a := &attempt{r: r, g: g, server: i, began: f.now}
	r.attempts = append(r.attempts, a)
	g.inFlight[i]++
	s := f.servers[i]
	s.queue = append(s.queue, a)
	f.startWaiting(s)
	return a
}

var backendNames = func() (list [fleetSize]ident.Backend) {
	for i := range list {
		list[i] = ident.Backend(fmt.Sprint("b", i))
	}
	return list
}()

func backendName(i int) ident.Backend { return backendNames[i] }

func (f *fleet) choose(g *gateState, exclude ident.Backend) int {
	switch f.policy {
	case "round_robin":
		f.nextServer++
		return f.nextServer % fleetSize
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
			Backend: backendName(i), Ejected: g.outliers.IsEjected(f.now, backendName(i)), InFlight: g.inFlight[i],
			ReportedLoad: f.servers[i].reported, ReportAge: age, Slots: fleetSlots,
			Latency: g.outliers.Latency(backendName(i)), Uptime: time.Hour,
		}
	}
	i, _ := ChooseBackend(Attempt{Kind: ident.Chat, Seed: f.rng.Uint64(), MaxLongShare: 0.5, Exclude: exclude}, g.list)
	return i
}

// startWaiting starts queued attempts while the server has free slots.
func (f *fleet) startWaiting(s *server) {
	for s.running < fleetSlots && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		if a.finished {
			continue
		}
		s.running++
		a.active, a.started = true, f.now
		f.after(time.Duration(float64(f.length(fleetMeanWork))*s.slowdown), func() { f.finish(a) })
	}
}

// finish ends an attempt. The first of a request to end answers it; the others
// are cancelled.
func (f *fleet) finish(a *attempt) {
	if a.finished {
		return
	}
	total := f.now.Sub(a.r.began)
	if a.r.done = true; f.now.Sub(epoch) > 5*time.Second { // the warm-up is left out
		f.latencies = append(f.latencies, total.Seconds())
	}
	a.g.hedger.Observe(ident.Chat, "m", total)
	for _, o := range a.r.attempts {
		f.stop(o, o == a)
	}
}

func (f *fleet) stop(a *attempt, won bool) {
	a.finished = true
	a.g.inFlight[a.server]--
	b, took := backendName(a.server), f.now.Sub(a.began)
	if won || took > a.g.outliers.Latency(b) {
		a.g.outliers.Observe(f.now, b, took, true)
	}
	if !a.active {
		return
	}
	s := f.servers[a.server]
	s.running--
	f.totalWork += f.now.Sub(a.started)
	if !won {
		f.hedgeWork += f.now.Sub(a.started)
	}
	f.startWaiting(s)
}

func runFleet(seed uint64, policy string, load float64, prepare func(f *fleet)) *fleet {
	f := newFleet(seed, policy, load)
	prepare(f)
	f.run(fleetLength)
	return f
}

func slowed(seed uint64) func(f *fleet) {
	return func(f *fleet) { f.slowStragglers(rand.New(rand.NewPCG(seed, 11))) }
}

func TestMeasureTail(t *testing.T) {
	const load = 0.4
	var r results
	r.seeds(2, 30, func(seed uint64, r *results) {
		baseline := runFleet(seed, "choose", load, func(*fleet) {})
		for _, policy := range []string{"choose", "round_robin", "least_reported"} {
			f := runFleet(seed, policy, load, slowed(seed))
			for name, p := range map[string]float64{"p99": 0.99, "p999": 0.999} {
				r.add("tail_"+name, policy, "s", quantile(f.latencies, p))
				r.add("tail_"+name+"_calm", "choose", "s", quantile(baseline.latencies, p))
				r.add("tail_"+name+"_ratio", policy, "of_calm", quantile(f.latencies, p)/quantile(baseline.latencies, p))
			}
			r.add("extra_attempts_slowed", policy, "of_requests", float64(f.hedges)/float64(f.requests))
		}
	})
	atMost(t, "p99 with stragglers", r.median("tail_p99_ratio", "choose", "of_calm"), 1.5)
}

func TestMeasureHedgeWork(t *testing.T) {
	slowAll := func(factor float64) func(f *fleet) {
		return func(f *fleet) {
			f.after(20*time.Second, func() {
				for _, s := range f.servers {
					s.slowdown = factor
				}
			})
		}
	}
	var r results
	r.seeds(2, 30, func(seed uint64, r *results) {
		for name, factor := range map[string]float64{"calm": 1, "all_slow_2x": 2, "all_slow_10x": 10} {
			f := runFleet(seed, "choose", 0.35, slowAll(factor))
			r.add("extra_attempts_"+name, "choose", "of_requests", float64(f.hedges)/float64(f.requests))
			r.add("extra_work_"+name, "choose", "of_work", float64(f.hedgeWork)/float64(f.totalWork-f.hedgeWork))
			r.add("not_run_"+name, "choose", "of_requests", float64(f.notRun)/float64(f.requests))
		}
	})
	for _, name := range []string{"calm", "all_slow_2x", "all_slow_10x"} {
		atMost(t, "extra attempts, "+name, r.median("extra_attempts_"+name, "choose", "of_requests"), 0.055)
		atMost(t, "extra work, "+name, r.median("extra_work_"+name, "choose", "of_work"), 0.08)
	}
}
