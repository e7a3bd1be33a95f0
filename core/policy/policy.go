// Package policy holds the decisions of a gate: which version and backend
// server serves a request, whether it waits or is refused, whether a cheap
// answer is good enough, and when to retry or hedge.
//
// Nothing here does I/O or reads a clock: the current time is an argument, so
// that each decision can be tested and measured by itself. Types with methods
// that change them are not safe for concurrent use unless they say so.
package policy

import (
	"time"

	"citronledge.example/core/ident"
)

// Reason tells in one word why a decision was made; it goes to the decision
// record and to metrics.
type Reason string

// Candidate is one backend server that can serve a target, as one gate sees it.
type Candidate struct {
	Backend ident.Backend
	// Local is set if it is in the gate's own availability zone.
	Local bool
	// Affine is set if it is known or expected to hold the request's prefix.
	Affine bool
	// Ejected is set while it is out of use by comparison with its peers.
	Ejected bool
	// InFlight and Long count the gate's own running attempts, and the long
	// ones among them.
	InFlight, Long int
	// Reported is the load of the last report (running and queued), made Age ago.
	Reported int
	Age      time.Duration
	// Slots is how many requests the backend server runs at once.
	Slots int
	// Latency is the recent latency seen by the gate; 0 if none was seen.
	Latency time.Duration
	// Uptime is the time since it joined or came back.
	Uptime time.Duration
}

// Ask is what the choice of a backend server needs to know of an attempt.
type Ask struct {
	Kind ident.Kind
	// Seed makes the random part of the choice repeatable.
	Seed uint64
	// Long is the largest share of a backend server's slots for long work.
	Long float64
	// Avoid is a backend server that an earlier attempt used, or empty.
	Avoid ident.Backend
}
