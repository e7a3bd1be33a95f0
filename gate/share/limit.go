package share

import (
	"math"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// maxLimits limits the backend servers whose limits are in one datagram.
const maxLimits = 1000

// Limit is what a backend server has said of the requests that it takes from all
// gates together.
type Limit struct {
	Server uint32 // hash of its ID
	Rate   ident.Rate
	Ended  bool // the server no longer names a limit
	// Epoch grows with each change that a gate sees. What is known of a higher
	// epoch replaces the rest, whenever it arrives.
	Epoch uint32
}

// Gates are the gates that take part in the exchange, as hashes of their
// addresses.
type Gates struct {
	Self   uint64
	Others []uint64
}

// gates returns the gates of a topology.
func (t *topology) gates() (g Gates) {
	for addr, p := range t.places {
		if p == t.self {
			g.Self = hashAddr(addr)
		} else {
			g.Others = append(g.Others, hashAddr(addr))
		}
	}
	return g
}

func putLimits(limits []Limit) (list []*wire.ServerLimit) {
	for _, x := range limits[:min(len(limits), maxLimits)] {
		list = append(list, &wire.ServerLimit{Server: x.Server, Rate: float64(x.Rate), Ended: x.Ended, Epoch: x.Epoch})
	}
	return list
}

func getLimits(list []*wire.ServerLimit) (limits []Limit) {
	for _, x := range list {
		if isAmount(x.GetRate()) {
			limits = append(limits, Limit{x.GetServer(), ident.Rate(x.GetRate()), x.GetEnded(), x.GetEpoch()})
		}
	}
	return limits
}

// getLosses returns the losses on paths, without those that are no numbers of
// datagrams.
func getLosses(list []*wire.PathLoss) (losses []*wire.PathLoss) {
	for _, x := range list {
		if isAmount(float64(x.GetLost())) && isAmount(float64(x.GetReceived())) {
			losses = append(losses, x)
		}
	}
	return losses
}

// isAmount reports whether a number of a message can be calculated with.
func isAmount(n float64) bool { return n >= 0 && n <= math.MaxFloat64 }
