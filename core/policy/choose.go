package policy

import (
	"math"
	"time"

	"citronledge.example/core/ident"
)

const (
	// slowStart is the time in which a backend server that came back grows to
	// its full share, so that cold caches do not meet full load.
	slowStart = 10 * time.Second
	// startShare is its share at the start.
	startShare = 0.1
	// reportTrust is the age at which a load report counts half.
	reportTrust = 250 * time.Millisecond
	// affineLoad bounds the load of a backend server chosen for its prefix,
	// relative to the mean ("consistent hashing with bounded loads").
	affineLoad = 1.25
	// affineIdle is the load up to which the prefix always decides: with half
	// of the slots free the mean says little.
	affineIdle = 0.5
	// affineLatency bounds its latency relative to the best random candidate.
	affineLatency = 2
	// remoteCost makes up for the additional latency to another zone.
	remoteCost = 1.05
)

// ChooseBackend returns the index of the backend server for an attempt, or -1 if
// none may take it. It compares two random candidates by the product of load
// and latency (power of two choices), unless one that holds the prefix is
// loaded at most a little more than the mean. If all are ejected it chooses
// among the ejected ones, since some service is better than none. It never
// returns ask.Avoid.
func ChooseBackend(ask Attempt, list []Candidate) (int, Reason) {
	s := survey(&ask, list, false)
	reason := ReasonLeastCost
	if s.count == 0 {
		s = survey(&ask, list, true)
		reason = ReasonAllEjected
	}
	if s.count == 0 {
		return -1, ReasonNone
	}
	best := better(list, s.first, s.second)
	if s.affine >= 0 && s.affine != best && fits(&list[s.affine], &list[best], s.mean()) {
		best = s.affine
	}
	if s.affine == best && reason == ReasonLeastCost {
		reason = ReasonPrefix
	}
	return best, reason
}

// sample is what one pass over the candidates finds.
type sample struct {
	count         int
	load          float64 // sum of the relative loads
	first, second int     // two random eligible candidates, or -1
	affine        int     // the least loaded one that holds the prefix, or -1
}

func (s *sample) mean() float64 { return s.load / float64(s.count) }

// survey looks at each eligible candidate once. The two with the lowest hash
// of seed and index are a uniform sample without replacement.
func survey(ask *Attempt, list []Candidate, ejected bool) sample {
	s := sample{first: -1, second: -1, affine: -1}
	low, next := uint64(math.MaxUint64), uint64(math.MaxUint64)
	affineLoad := math.Inf(1)
	for i := range list {
		c := &list[i]
		if !eligible(ask, c, ejected) {
			continue
		}
		s.count++
		load := c.load()
		s.load += load
		if c.HoldsPrefix && load < affineLoad {
			s.affine, affineLoad = i, load
		}
		h := mix(ask.Seed + uint64(i)*golden)
		switch {
		case h < low || s.first < 0:
			s.second, next = s.first, low
			s.first, low = i, h
		case h < next || s.second < 0:
			s.second, next = i, h
		}
	}
	return s
}

// eligible tells whether a candidate may take the attempt at all.
func eligible(ask *Attempt, c *Candidate, ejected bool) bool {
	if c.InFlight >= c.Slots || (c.Ejected && !ejected) {
		return false
	}
	if ask.Exclude != "" && c.Backend == ask.Exclude {
		return false
	}
	return ask.Kind != ident.Report || c.LongInFlight < longCap(c.Slots, ask.MaxLongShare)
}

// longCap is the number of slots for long work; it is at least one, so that
// long work is possible everywhere, and leaves one slot to short work if it can.
func longCap(slots int, share float64) int {
	return max(1, min(int(share*float64(slots)), slots-1))
}

// load is the relative load: the gate's own attempts count in full, what the
// report shows beyond them counts less the older the report is.
func (c *Candidate) load() float64 {
	load := float64(c.InFlight)
	if others := c.ReportedLoad - c.InFlight; others > 0 {
		age := max(0, float64(c.ReportAge)/float64(reportTrust))
		load += float64(others) / (1 + age)
	}
	size := float64(max(1, c.Slots))
	if c.Uptime < slowStart {
		size *= max(startShare, float64(c.Uptime)/float64(slowStart))
	}
	return (load + 1) / size
}

// cost compares candidates; latency stands in for one that is not yet known.
func (c *Candidate) cost(latency time.Duration) float64 {
	if c.Latency > 0 {
		latency = c.Latency
	}
	cost := c.load() * float64(max(1, latency))
	if !c.SameZone {
		cost *= remoteCost
	}
	return cost
}

func better(list []Candidate, a, b int) int {
	if b < 0 {
		return a
	}
	if list[b].cost(list[a].Latency) < list[a].cost(list[b].Latency) {
		return b
	}
	return a
}

func fits(affine, best *Candidate, mean float64) bool {
	if best.Latency > 0 && affine.Latency > affineLatency*best.Latency {
		return false
	}
	return affine.load() <= max(affineIdle, affineLoad*mean)
}

const golden = 0x9e3779b97f4a7c15

// mix is the finalizer of SplitMix64: equal distribution even for seeds that
// differ in few bits.
func mix(x uint64) uint64 {
	x += golden
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a seed to [0, 1).
func unit(seed uint64) float64 { return float64(mix(seed)>>11) / (1 << 53) }
