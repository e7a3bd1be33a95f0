package policy

import "time"

// Seat is a backend server as a gate that reaches it directly sees it.
type Seat struct {
	// Local is set if it is in the gate's own availability zone.
	Local bool
	// Out is set while it takes no attempts.
	Out bool
	// Load is the estimated number of requests there relative to its slots.
	Load float64
	// Latency is the recent time to the head of an answer; 0 if none was seen.
	Latency time.Duration
	// Failing is the recent share of failures.
	Failing float64
	// Rank orders the servers for one affinity key; the highest is preferred.
	Rank uint64
}

const (
	// roomyLoad is the load up to which a server takes all requests of its
	// affinity keys: batches that are half full slow nothing down.
	roomyLoad = 0.5
	// remotePart is added to the load of a server in another zone.
	remotePart = 0.02
	// failPart turns a share of failures into load.
	failPart = 2.0
)

// Seats returns the index of the server for an attempt, or -1 if there is
// none. With affinity, the highest rank with room wins; without, or when no
// server has room, the least cost does. Servers that are out are used only if
// all are.
func Seats(list []Seat, affine bool) (int, Reason) {
	best, reason := -1, None
	if affine {
		for i := range list {
			s := &list[i]
			if s.Out || s.Load >= roomyLoad || s.Failing >= roomyLoad/2 {
				continue
			}
			if best < 0 || s.Rank > list[best].Rank {
				best, reason = i, Prefix
			}
		}
		if best >= 0 {
			return best, reason
		}
	}
	for _, out := range []bool{false, true} {
		for i := range list {
			if list[i].Out != out {
				continue
			}
			if best < 0 || list[i].cost() < list[best].cost() || list[i].cost() == list[best].cost() && list[i].Rank > list[best].Rank {
				best, reason = i, Least
			}
		}
		if best >= 0 {
			if out {
				reason = Floor
			}
			return best, reason
		}
	}
	return -1, None
}

// cost compares servers without regard to affinity.
func (s *Seat) cost() float64 {
	cost := s.Load + failPart*s.Failing
	if !s.Local {
		cost += remotePart
	}
	return cost
}
