package policy

import (
	"math"
	"time"

	"citronledge.example/core/ident"
)

const (
	// coldWindow is the time in which gates together send the planned number of
	// requests to a cold server. It is longer than the second in which the server
	// counts them, as delays on the network bring requests closer together.
	coldWindow = 1100 * time.Millisecond
	// coldViews is how many sets of gates that know nothing of each other may send
	// to a cold server at the same time without exceeding its bound: those that
	// are cut off, and the others that have replaced them.
	coldViews = 2
	// minColdRate is the rate of requests at which a cold server is tried whatever
	// it sustains: only its answers show that it is warm.
	minColdRate = 0.02
	// minColdLoadShare is the share of its usual load that a server is to get when
	// it has just become warm.
	minColdLoadShare = 0.1
	// coldAttemptLoad is what an attempt adds to the load of a server that becomes
	// warm. Without it, a server without any load would get all attempts.
	coldAttemptLoad = 0.05
)

// ColdBounds limit the requests that a cold server may get in one second, from
// all gates together: Overage times the rate that it sustains, and Tolerance. An
// Overage of 0 stands for 1.
type ColdBounds struct{ Overage, Tolerance float64 }

// Limit returns the greatest number of requests in one second for a server that
// sustains the given rate while it is cold.
func (b ColdBounds) Limit(rate ident.Rate) float64 {
	overage := b.Overage
	if overage == 0 {
		overage = 1
	}
	return overage*float64(rate) + b.Tolerance
}

// ColdInterval returns the least interval between two requests that the gate
// with the given rank, from 0, in the order of the gates for a cold server may
// send to it; 0 if it may send none. Whole requests are shared out, so with many
// gates only the first ones send. A gate's part never grows with the number of
// gates or its rank, so gates that know of more gates than others do not exceed
// the bound.
func ColdInterval(rate ident.Rate, bounds ColdBounds, rank, gates int) time.Duration {
	planned := min(float64(rate), bounds.Limit(rate)/coldViews, maxSharing)
	window := coldWindow
	if planned < 1 {
		window = time.Duration(float64(coldWindow) / max(planned, minColdRate))
		planned = 1
	}
	own := (int(planned) - rank + gates - 1) / max(1, gates)
	if own <= 0 {
		return 0
	}
	return window / time.Duration(own)
}

// SlowStartShare returns the share of its usual load that a server is to get at
// the given time after it has become warm. The share rises to 1 over the given
// length; before, the time is negative.
func SlowStartShare(warmFor, length time.Duration) float64 {
	if length <= 0 {
		return 1
	}
	progress := float64(warmFor) / float64(length)
	return minColdLoadShare + (1-minColdLoadShare)*min(1, math.Max(0, progress))
}

// slowStartLoad returns the load of a server relative to the share of it that the
// server is to get.
func (s *DirectCandidate) slowStartLoad() float64 {
	if s.LoadShare <= 0 || s.LoadShare >= 1 {
		return s.Load
	}
	return (s.Load + coldAttemptLoad) / s.LoadShare
}

// slowStartCost makes the load and the queue of a server that becomes warm count
// as many times as its share of the load is smaller than usual, so that it gets
// that share of what the others have. Beyond that it is used before servers
// without a free slot, but after all others.
func (s *DirectCandidate) slowStartCost() float64 {
	if s.LoadShare <= 0 || s.LoadShare >= 1 {
		return 0
	}
	load := s.slowStartLoad()
	cost := s.PendingPromptWork*(1/s.LoadShare-1) + fullBatchCost*(load-s.Load)
	if load >= noFreeSlotLoad {
		cost += noFreeSlotCost / 2
	}
	return cost
}
