package policy

import "citronledge.example/core/ident"

// DirectCandidate is a backend server as a gate that reaches it directly sees it.
type DirectCandidate struct {
	// SameZone is set if it is in the gate's own availability zone.
	SameZone bool
	// Unavailable is set while it takes no attempts.
	Unavailable bool
	// Load is the estimated number of requests there relative to its slots.
	Load float64
	// PendingPromptWork is the work of the prompts that are read or wait there, in
	// tokens of the smallest model.
	PendingPromptWork float64
	// PacketLoss is the recent share of packets lost on the way to its zone.
	PacketLoss float64
	// FailureRate is the recent share of failures.
	FailureRate float64
	// Rank orders the servers for one affinity key; the highest one is
	// expected to hold the shared part of the prompt. Without a key it breaks
	// ties.
	Rank uint64
}

// Prompt is the work that an attempt brings, in tokens of the smallest model.
type Prompt struct {
	// Model is the one that reads it, SmallestModel the smallest one of the service;
	// Factor is the expected ratio of their times for a token.
	Model, SmallestModel ident.Model
	TokenTimeRatio       float64
	// Work is that of the whole prompt, SharedWork that of the part that the
	// preferred server is expected to hold; 0 without affinity.
	Work, SharedWork float64
}

// Weights of the parts of the cost, in tokens of the smallest model.
const (
	// fullCost is that of a full batch, in which each token takes longer.
	fullCost = 20_000
	// remoteCostWork is that of the bytes between availability zones and of
	// the way.
	remoteCostWork = 400
	// lossCost is that of a path that loses everything. With a few packets in
	// a hundred lost, most streams of some ten events have a late one.
	lossCost = 2_000_000
	// sureLoss is the loss that a sound path may show.
	sureLoss = 0.004
	// failCost is that of certain failure.
	failCost = 200_000
	// overCost is that of a server without a free slot.
	overCost = 1_000_000
	// stallWork is the work from which reading a prompt holds up the streams at
	// its server for longer than they may pause, and stallCost what a full batch
	// of them costs.
	stallWork = 100_000
	stallCost = 600_000
	// sureLoad is the load from which no slot may be free: reports are late.
	sureLoad = 0.95
)

// ChooseDirect returns the index of the server for an attempt, or -1 if there is
// none. It is the one with the least cost: the prompts that wait there, what
// has to be read of the attempt's own prompt, the batch, failures and distance.
// Servers that are out are used only if all are.
func ChooseDirect(list []DirectCandidate, p Prompt) (int, Reason) {
	top := -1
	if p.SharedWork > 0 {
		for i := range list {
			if !list[i].Unavailable && (top < 0 || list[i].Rank > list[top].Rank) {
				top = i
			}
		}
	}
	for _, out := range []bool{false, true} {
		best, least := -1, 0.0
		for i := range list {
			s := &list[i]
			if s.Unavailable != out {
				continue
			}
			cost, work := s.cost(), p.Work
			if i == top {
				cost -= p.SharedWork
				work -= p.SharedWork
			}
			if work+s.PendingPromptWork > stallWork && work > 0 {
				cost += stallCost * s.Load
			}
			if best < 0 || cost < least || cost == least && s.Rank > list[best].Rank {
				best, least = i, cost
			}
		}
		switch {
		case best < 0:
		case out:
			return best, ReasonAllEjected
		case best == top:
			return best, ReasonPrefix
		default:
			return best, ReasonLeastCost
		}
	}
	return -1, ReasonNone
}

// Tokens returns the size of the whole prompt, or that of what is left of it if
// the shared part is held.
func (p Prompt) Tokens(held bool) float64 {
	if p.TokenTimeRatio == 0 {
		return 0
	}
	if held {
		return (p.Work - p.SharedWork) / p.TokenTimeRatio
	}
	return p.Work / p.TokenTimeRatio
}

// cost compares servers without regard to the attempt.
func (s *DirectCandidate) cost() float64 {
	cost := s.PendingPromptWork + fullCost*s.Load + failCost*s.FailureRate
	if !s.SameZone {
		cost += remoteCostWork + lossCost*max(0, s.PacketLoss-sureLoss)
	}
	if s.Load >= sureLoad {
		cost += overCost
	}
	return cost
}
