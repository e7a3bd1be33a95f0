package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetLoad is a load on servers that read prompts one after the other, chosen
// by gates that learn of each other's attempts with a delay.
type fleetLoad struct {
	gates, servers int
	rate           float64       // attempts per second, of all gates together
	delay          time.Duration // until other gates know of an attempt
	duration       time.Duration // that an answer takes after its first token
	meanWork       float64       // tokens of a prompt
	readRate       float64       // tokens that a server reads in a ms
	slots          int
}

// busyFleet is the load that samples are for: hundreds of choices are made
// before one of them is known everywhere.
var busyFleet = fleetLoad{
	gates: 105, servers: 160, rate: 1400, delay: 400 * time.Millisecond, duration: time.Second, meanWork: 4000, readRate: 100, slots: 24,
}

// attemptAt is an attempt at a server, from its choice on.
type attemptAt struct {
	gate, server     int
	chosen, read, by float64 // s: choice, first token, end
	work             float64
}

// play returns the waits for the first token, in s and in ascending order, when
// each choice compares a sample of the size that sampleSize returns.
func (l fleetLoad) play(attempts int, sampleSize func(servers int, unseen float64) int) []float64 {
	r := rand.New(rand.NewPCG(7, 9))
	free := make([]float64, l.servers) // when a server has read what it has
	var running []attemptAt
	var waits []float64
	delay := l.delay.Seconds()
	size := sampleSize(l.servers, l.rate*delay)
	now := 0.0
	for range attempts {
		now += r.ExpFloat64() / l.rate
		gate := r.IntN(l.gates)
		list := make([]DirectCandidate, l.servers)
		for i := range list {
			list[i].SameZone = i%5 == gate%5
			list[i].Rank = r.Uint64()
		}
		running = slices.DeleteFunc(running, func(a attemptAt) bool { return a.by < now-delay })
		for _, a := range running {
			at := now // other gates see the fleet as it was
			if a.gate != gate {
				at -= delay
			}
			if a.chosen > at || a.by < at {
				continue
			}
			list[a.server].Load += 1 / float64(l.slots)
			if a.read > at {
				list[a.server].PendingPromptWork += a.work
			}
		}
		work := l.meanWork * math.Exp(r.NormFloat64()-0.5)
		i, _ := ChooseDirect(list, Prompt{Work: work}, Sample{Size: size, Seed: r.Uint64()})
		read := max(now, free[i]) + work/l.readRate/1000
		free[i] = read
		running = append(running, attemptAt{gate, i, now, read, read + l.duration.Seconds(), work})
		waits = append(waits, read-now)
	}
	slices.Sort(waits)
	return waits
}

// Many gates that choose at once from old knowledge must not send their attempts
// to the same servers, where they would wait for each other. With a few gates
// that know of each other at once, comparing all servers is best.
func TestSampleUnderStaleLoads(t *testing.T) {
	const maxWait = 0.99 // s to the first token for 95 in 100
	all := func(servers int, _ float64) int { return servers }
	p95 := func(waits []float64) float64 { return waits[len(waits)*95/100] }
	few := busyFleet
	few.gates, few.servers, few.rate, few.delay = 8, 18, 120, 40*time.Millisecond
	for name, x := range map[string]struct {
		load   fleetLoad
		factor float64 // of the wait when all are compared
	}{"many gates": {busyFleet, 0.5}, "few gates": {few, 1.05}} {
		t.Run(name, func(t *testing.T) {
			got, without := p95(x.load.play(20_000, SampleSize)), p95(x.load.play(20_000, all))
			t.Logf("95 in 100 wait up to %.3f s, comparing all servers %.3f s", got, without)
			if got > maxWait || got > x.factor*without {
				t.Errorf("95 in 100 wait up to %.3f s, want at most %v s and %v of the %.3f s when all servers are compared", got, maxWait, x.factor, without)
			}
		})
	}
}

// A sample without a free slot must not be used while other servers have one,
// and the server that holds the shared part of the prompt is always compared.
func TestSample(t *testing.T) {
	list := make([]DirectCandidate, 40)
	for i := range list {
		list[i] = DirectCandidate{Load: 1, Rank: uint64(i)}
	}
	list[17].Load = 0.1
	list[3].Unavailable = true
	for seed := range uint64(50) {
		if got, _ := ChooseDirect(list, Prompt{Work: 100}, Sample{2, seed}); got != 17 {
			t.Fatalf("seed %d: got server %d, want the only one with a free slot", seed, got)
		}
	}
	for i := range list {
		list[i].Load = 0.1
	}
	chosen := map[int]int{}
	for seed := range uint64(400) {
		if got, reason := ChooseDirect(list, Prompt{Work: 9000, SharedWork: 5000}, Sample{2, seed}); got != 39 || reason != ReasonPrefix {
			t.Fatalf("seed %d: got server %d for %q, want the one with the shared part", seed, got, reason)
		}
		got, _ := ChooseDirect(list, Prompt{Work: 9000}, Sample{2, seed})
		chosen[got]++
	}
	if chosen[3] > 0 || len(chosen) < 30 {
		t.Errorf("got %v, want attempts at most of the servers and none where one is out of use", chosen)
	}
	for name, c := range map[string]struct {
		servers int
		unseen  float64
		want    int
	}{"alone": {18, 0, 18}, "few": {18, 3, 18}, "some": {18, 9, 6}, "many": {160, 400, 2}, "one server": {1, 400, 1}} {
		if got := SampleSize(c.servers, c.unseen); got != c.want {
			t.Errorf("%s: got %d of %d servers, want %d", name, got, c.servers, c.want)
		}
	}
}
