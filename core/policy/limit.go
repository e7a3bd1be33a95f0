package policy

import (
	"math"
	"time"

	"citronledge.example/core/ident"
)

const (
	// gatesPerLimit is how many gates share a server's limit for each request per
	// second of it. Each of them may send a request at the same moment.
	gatesPerLimit = 0.75
	maxSharing    = 1 << 20 // gates
	// limitBurst is the time whose share of the limit may be sent at once, and
	// minLimitBurst the least number of requests: the requests of one gate come at
	// uneven intervals.
	limitBurst    = time.Second
	minLimitBurst = 2
	maxBurst      = 1 << 30
	// MinLimitRate is the rate at which a server is tried whatever its limit:
	// only its answers show that the limit has ended.
	MinLimitRate ident.Rate = 0.25
)

// LimitShare is the part of a server's limit that one gate may use. The zero
// value allows no requests.
type LimitShare struct {
	Rate  ident.Rate
	Burst int // requests that may be sent at once
}

// ShareLimit returns the part of a server's limit that the gate with the given
// rank has, from 0, in the order in which the gates rank for the server. Gates
// send without asking each other, so only as many share a limit as do not exceed
// it together, in equal parts; the others leave the server to them.
func ShareLimit(limit ident.Rate, rank, gates int) LimitShare {
	sharing := max(1, min(gates, int(min(maxSharing, gatesPerLimit*limit))))
	if rank >= sharing {
		return LimitShare{}
	}
	own := max(limit/ident.Rate(sharing), MinLimitRate)
	return LimitShare{own, max(minLimitBurst, int(math.Round(min(maxBurst, float64(own)*limitBurst.Seconds()))))}
}
