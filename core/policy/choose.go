package policy

import (
	"math"
	"time"

	"citronledge.example/core/ident"
)

const (
	// slowStartPeriod is the time in which a backend server that came back
	// grows to its full share, so that cold caches do not meet full load.
	slowStartPeriod = 10 * time.Second
	// slowStartMinShare is its share at the start of that period.
	slowStartMinShare = 0.1
	// reportHalfWeightAge is the age at which a load report counts half.
	reportHalfWeightAge = 250 * time.Millisecond
	// prefixLoadFactor bounds the load of a backend server chosen for its
	// prefix, relative to the mean ("consistent hashing with bounded loads").
	prefixLoadFactor = 1.25
	// prefixIdleLoad is the load up to which the prefix always decides: with
	// half of the slots free the mean says little.
	prefixIdleLoad = 0.5
	// prefixLatencyFactor bounds the latency of a backend server chosen for its
	// prefix, relative to the best random candidate.
	prefixLatencyFactor = 2
	// remoteZoneFactor raises the cost of a candidate in another zone for the
	// additional network latency.
	remoteZoneFactor = 1.05
)

// ChooseBackend returns the index of the backend server for an attempt, or -1
// if none may take it. It compares two random candidates by the product of load
// and latency (power of two choices), unless a candidate that holds the prefix
// has a load of at most a little more than the mean. If all are ejected it
// chooses among the ejected ones, since some service is better than none. It
// never returns attempt.Exclude.
func ChooseBackend(attempt Attempt, list []Candidate) (int, Reason) {
	s := sample(&attempt, list, false)
	reason := ReasonLeastCost
	if s.eligible == 0 {
		s = sample(&attempt, list, true)
		reason = ReasonAllEjected
	}
	if s.eligible == 0 {
		return -1, ReasonNone
	}
	best := cheaper(list, s.first, s.second)
	if s.prefixHolder >= 0 && s.prefixHolder != best && withinPrefixBounds(&list[s.prefixHolder], &list[best], s.meanLoad()) {
		best = s.prefixHolder
	}
	if s.prefixHolder == best && reason == ReasonLeastCost {
		reason = ReasonPrefix
	}
	return best, reason
}

// candidateSample is what one pass over the candidates finds.
type candidateSample struct {
	eligible      int     // number of eligible candidates
	loadSum       float64 // of their relative loads
	first, second int     // two random eligible candidates, or -1
	prefixHolder  int     // the least loaded one that holds the prefix, or -1
}

func (s *candidateSample) meanLoad() float64 { return s.loadSum / float64(s.eligible) }

// sample looks at each eligible candidate once. The two with the lowest hash of
// seed and index are a uniform sample without replacement.
func sample(attempt *Attempt, list []Candidate, allowEjected bool) candidateSample {
	s := candidateSample{first: -1, second: -1, prefixHolder: -1}
	firstHash, secondHash := uint64(math.MaxUint64), uint64(math.MaxUint64)
	prefixHolderLoad := math.Inf(1)
	for i := range list {
		c := &list[i]
		if !eligible(attempt, c, allowEjected) {
			continue
		}
		s.eligible++
		load := c.load()
		s.loadSum += load
		if c.HoldsPrefix && load < prefixHolderLoad {
			s.prefixHolder, prefixHolderLoad = i, load
		}
		h := splitMix64(attempt.Seed + uint64(i)*goldenGamma)
		switch {
		case h < firstHash || s.first < 0:
			s.second, secondHash = s.first, firstHash
			s.first, firstHash = i, h
		case h < secondHash || s.second < 0:
			s.second, secondHash = i, h
		}
	}
	return s
}

// eligible reports whether a candidate may take the attempt at all.
func eligible(attempt *Attempt, c *Candidate, allowEjected bool) bool {
	if c.InFlight >= c.Slots || (c.Ejected && !allowEjected) {
		return false
	}
	if attempt.Exclude != "" && c.Backend == attempt.Exclude {
		return false
	}
	return attempt.Kind != ident.Report || c.LongInFlight < longSlotLimit(c.Slots, attempt.MaxLongShare)
}

// longSlotLimit is the number of slots for long work. It is at least one, so
// that long work is possible everywhere, and leaves at least one slot to short
// work if there is more than one.
func longSlotLimit(slots int, share float64) int {
	return max(1, min(int(share*float64(slots)), slots-1))
}

// load is the relative load: the gate's own attempts count in full, and what
// the load report shows beyond them counts less the older the report is.
func (c *Candidate) load() float64 {
	load := float64(c.InFlight)
	if others := c.ReportedLoad - c.InFlight; others > 0 {
		age := max(0, float64(c.ReportAge)/float64(reportHalfWeightAge))
		load += float64(others) / (1 + age)
	}
	size := float64(max(1, c.Slots))
	if c.Uptime < slowStartPeriod {
		size *= max(slowStartMinShare, float64(c.Uptime)/float64(slowStartPeriod))
	}
	return (load + 1) / size
}

// cost is the product of load and latency by which candidates are compared.
// The argument replaces a latency that is not yet known.
func (c *Candidate) cost(latency time.Duration) float64 {
	if c.Latency > 0 {
		latency = c.Latency
	}
	cost := c.load() * float64(max(1, latency))
	if !c.SameZone {
		cost *= remoteZoneFactor
	}
	return cost
}

// cheaper returns the candidate of lower cost; b may be -1.
func cheaper(list []Candidate, a, b int) int {
	if b < 0 {
		return a
	}
	if list[b].cost(list[a].Latency) < list[a].cost(list[b].Latency) {
		return b
	}
	return a
}

// withinPrefixBounds reports whether the load and latency of the candidate that
// holds the prefix are low enough to prefer it to the best random one.
func withinPrefixBounds(holder, best *Candidate, meanLoad float64) bool {
	if best.Latency > 0 && holder.Latency > prefixLatencyFactor*best.Latency {
		return false
	}
	return holder.load() <= max(prefixIdleLoad, prefixLoadFactor*meanLoad)
}

// goldenGamma is the increment of SplitMix64, 2^64 divided by the golden ratio.
const goldenGamma = 0x9e3779b97f4a7c15

// splitMix64 is the finalizer of SplitMix64: the results are equally
// distributed even for seeds that differ in few bits.
func splitMix64(x uint64) uint64 {
	x += goldenGamma
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a seed to [0, 1).
func unitInterval(seed uint64) float64 { return float64(splitMix64(seed)>>11) / (1 << 53) }
