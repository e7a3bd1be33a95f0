package policy

import (
	"math/rand/v2"

	"citronledge.example/core/ident"
)

// DirectCandidate is a backend server as seen by a gate that reaches it
// directly.
type DirectCandidate struct {
	// SameZone is set if it is in the gate's own availability zone.
	SameZone bool
	// Unavailable is set while it takes no attempts.
	Unavailable bool
	// Load is the estimated number of requests there relative to its slots.
	Load float64
	// PendingPromptWork is the work of the prompts that are being read or wait
	// there, in tokens of the smallest model.
	PendingPromptWork float64
	// Limited is set if the server limits its requests and this gate may send it
	// some. It is always compared: few gates may, and they would not draw it
	// often enough.
	Limited bool
	// PacketLoss is the recent share of packets lost on the network path to its
	// zone.
	PacketLoss float64
	// FailureRate is the recent share of failures.
	FailureRate float64
	// LoadShare is the share of its usual load that a server is to get while it
	// is cold and for some time after; 0 and 1 stand for all of it.
	LoadShare float64
	// Rank orders the servers for one affinity key; the highest one is
	// expected to hold the shared part of the prompt. Without a key it breaks
	// ties.
	Rank uint64
	// HeldWork is the work of the attempt's prompt that the gate's own record
	// expects to be saved there, in tokens of the smallest model.
	HeldWork float64
	// ShortOfMemory is set if the server's running requests leave no room for
	// the attempt. What the server holds may be evicted before it is used.
	ShortOfMemory bool
}

// Prompt is the work that an attempt brings, in tokens of the smallest model.
type Prompt struct {
	// Model reads the prompt, SmallestModel is the smallest one of the service,
	// and TokenTimeRatio is the expected ratio of their times for a token.
	Model, SmallestModel ident.Model
	TokenTimeRatio       float64
	// Work is that of the whole prompt, SharedWork that of the part that the
	// preferred server is expected to hold; 0 without affinity.
	Work, SharedWork float64
	// Recorded is set if the gate keeps records of what the servers hold.
	Recorded bool
}

// Weights of the parts of the cost, in tokens of the smallest model, and the
// values from which some of them apply.
const (
	// fullBatchCost is the cost of a full batch, in which each token takes
	// longer.
	fullBatchCost = 20_000
	// remoteZoneCost is the cost of the traffic between availability zones and
	// of the network latency.
	remoteZoneCost = 400
	// packetLossCost is the cost of a path that loses everything. With a few
	// packets in a hundred lost, most streams of some ten events have a late
	// event.
	packetLossCost = 2_000_000
	// toleratedPacketLoss is the share of lost packets that a sound path may
	// show.
	toleratedPacketLoss = 0.004
	// failureCost is the cost of certain failure.
	failureCost = 200_000
	// noFreeSlotCost is the cost of a server without a free slot.
	noFreeSlotCost = 1_000_000
	// stallingPromptWork is the prompt work from which reading it holds up the
	// streams at its server for longer than they may pause; fullBatchStallCost is
	// the cost of holding up a full batch of them.
	stallingPromptWork = 100_000
	fullBatchStallCost = 600_000
	// noFreeSlotLoad is the load from which a server may have no free slot. It is
	// below 1 because load reports come late.
	noFreeSlotLoad = 0.95
)

// unseenPerServer is how many attempts of other gates that it does not know of
// yet a gate tolerates at the servers that it prefers.
const unseenPerServer = 3

// minSample is the least number of servers that are compared.
const minSample = 2

// SampleSize returns how many of the servers a gate compares when other gates
// choose at the same time from knowledge of the same age; unseen is the number
// of attempts that all gates together begin in that time. If many gates compared
// all servers, each would send its attempts to the same few that were idle a
// moment ago. Comparing d servers spreads the attempts over about one in d.
func SampleSize(servers int, unseen float64) int {
	if unseen <= unseenPerServer {
		return servers
	}
	return min(servers, max(minSample, int(unseenPerServer*float64(servers)/unseen)))
}

// Sample says which servers a choice compares: Size of them, drawn by Seed, and
// as many of the gate's own zone. A Size of 0 means all.
type Sample struct {
	Size int
	Seed uint64
}

// mark marks the servers that are compared. With a sample of all, it returns
// nil.
func (s Sample) mark(list []DirectCandidate) []bool {
	if s.Size <= 0 || s.Size >= len(list) {
		return nil
	}
	r := rand.New(rand.NewPCG(s.Seed, uint64(len(list))))
	marked := make([]bool, len(list))
	all, near := s.Size, s.Size
	for _, i := range r.Perm(len(list)) {
		switch {
		case list[i].Unavailable:
		case list[i].Limited:
			marked[i] = true
		case list[i].SameZone && near > 0:
			marked[i] = true
			near--
		case all > 0:
			marked[i] = true
			all--
		}
	}
	return marked
}

// ChooseDirect returns the index of the server for an attempt, or -1 if there
// is none. It is the one with the least cost: the prompts that wait there, what
// has to be read of the attempt's own prompt, the batch, failures and distance.
// Compared are the servers that may hold the shared part of the prompt and the
// sample, or all if none of these has a free slot. Unavailable servers are used
// only if all are unavailable.
func ChooseDirect(list []DirectCandidate, p Prompt, sample Sample) (int, Reason) {
	if marked := sample.mark(list); marked != nil {
		if i, reason := chooseAmong(list, p, marked); i >= 0 && !list[i].Unavailable && list[i].slowStartLoad() < noFreeSlotLoad {
			return i, reason
		}
	}
	return chooseAmong(list, p, nil)
}

// overflowShare is the share of the shared work that is credited to the second
// server in rank. Half of it is too little to draw requests from the first one
// before that has much to read.
const overflowShare = 0.5

// prefixHolders are the servers that may hold the shared part of a prompt; -1
// for none.
type prefixHolders struct {
	// believed is the server that other gates are expected to send the part to,
	// the highest one in rank. overflow is the second one, if records are kept and
	// the prompts that wait at the first are more work than the part. If each gate
	// took any other server then, the part would be read at all of them.
	believed, overflow int
	// recorded holds most of the part by this gate's record. Other servers that
	// hold it are not compared beyond the sample: many hold the first part, and
	// all gates would find the same idle ones.
	recorded int
}

// findPrefixHolders returns the servers that may hold the shared part of a
// prompt.
func findPrefixHolders(list []DirectCandidate, p Prompt) prefixHolders {
	h := prefixHolders{-1, -1, -1}
	if p.SharedWork <= 0 {
		return h
	}
	mostHeld := 0.0
	var first, second, heldRank uint64 // ranks of believed, overflow and recorded
	for i := range list {
		s := &list[i]
		if s.Unavailable || s.ShortOfMemory {
			continue
		}
		if h.believed < 0 || s.Rank > first {
			h.believed, h.overflow, first, second = i, h.believed, s.Rank, first
		} else if h.overflow < 0 || s.Rank > second {
			h.overflow, second = i, s.Rank
		}
		if s.HeldWork > mostHeld || s.HeldWork == mostHeld && mostHeld > 0 && s.Rank > heldRank {
			h.recorded, mostHeld, heldRank = i, s.HeldWork, s.Rank
		}
	}
	if !p.Recorded || h.believed >= 0 && list[h.believed].PendingPromptWork <= p.SharedWork {
		h.overflow = -1
	}
	return h
}

// has reports whether server i is one of the holders.
func (h *prefixHolders) has(i int) bool { return i == h.believed || i == h.overflow || i == h.recorded }

// savedWork returns the work of the prompt that is credited to server i. A server
// that is short of memory evicts what it holds.
func (h *prefixHolders) savedWork(s *DirectCandidate, sharedWork float64, i int) float64 {
	switch {
	case s.ShortOfMemory:
		return 0
	case i == h.believed:
		return sharedWork
	case i == h.overflow:
		return min(sharedWork, max(s.HeldWork, overflowShare*sharedWork))
	}
	return min(sharedWork, s.HeldWork)
}

// SavedAt returns the work of the prompt that a choice credited to server i, and
// what that rests on.
func (p Prompt) SavedAt(list []DirectCandidate, i int) (saved float64, basis PrefixBasis) {
	holders := findPrefixHolders(list, p)
	saved = holders.savedWork(&list[i], p.SharedWork, i)
	switch {
	case saved <= 0:
		return 0, PrefixUnknown
	case saved <= list[i].HeldWork:
		return saved, PrefixRecorded
	}
	return saved, PrefixBelieved
}

// chooseAmong returns the server with the least cost among the marked ones and
// those that may hold the shared part of the prompt; nil marks all.
func chooseAmong(list []DirectCandidate, p Prompt, marked []bool) (int, Reason) {
	holders := findPrefixHolders(list, p)
	for _, unavailable := range []bool{false, true} {
		best, leastCost, bestSaved := -1, 0.0, 0.0
		for i := range list {
			s := &list[i]
			if s.Unavailable != unavailable || marked != nil && !marked[i] && !holders.has(i) {
				continue
			}
			saved := holders.savedWork(s, p.SharedWork, i)
			cost, work := s.cost()-saved, p.Work-saved
			if work+s.PendingPromptWork > stallingPromptWork && work > 0 {
				cost += fullBatchStallCost * s.Load
			}
			if best < 0 || cost < leastCost || cost == leastCost && s.Rank > list[best].Rank {
				best, leastCost, bestSaved = i, cost, saved
			}
		}
		switch {
		case best < 0:
		case unavailable:
			return best, ReasonAllEjected
		case bestSaved > p.SharedWork/2:
			return best, ReasonPrefix
		default:
			return best, ReasonLeastCost
		}
	}
	return -1, ReasonNone
}

// Tokens returns the size of the prompt in its model's tokens, without what is
// held.
func (p Prompt) Tokens(held float64) float64 {
	if p.TokenTimeRatio == 0 {
		return 0
	}
	return max(0, p.Work/p.TokenTimeRatio-held)
}

// cost is the part of the cost that does not depend on the attempt.
func (s *DirectCandidate) cost() float64 {
	cost := s.PendingPromptWork + fullBatchCost*s.Load + failureCost*s.FailureRate + s.slowStartCost()
	if !s.SameZone {
		cost += remoteZoneCost + packetLossCost*max(0, s.PacketLoss-toleratedPacketLoss)
	}
	if s.Load >= noFreeSlotLoad {
		cost += noFreeSlotCost
	}
	return cost
}
