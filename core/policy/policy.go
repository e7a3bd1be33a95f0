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

// Reasons of all decisions.
const (
	// None: nothing fits.
	None Reason = "none"
	// Least: the lower load and latency of two random candidates.
	Least Reason = "least"
	// Prefix: the candidate holds the prefix of the request.
	Prefix Reason = "prefix"
	// Floor: every candidate is ejected, so ejection is ignored.
	Floor Reason = "floor"

	// Preferred: no roll-out, the preferred version.
	Preferred Reason = "preferred"
	// Rolled: in the share of the roll-out.
	Rolled Reason = "rollout"
	// Kept: outside the share of the roll-out.
	Kept Reason = "previous"
	// Other: the roll-out's versions are not allowed to the customer.
	Other Reason = "other"

	// Free: a slot is free.
	Free Reason = "free"
	// Queued: waits, and is expected to meet its deadline.
	Queued Reason = "queued"
	// Late: would miss its deadline.
	Late Reason = "late"
	// Full: the queue is full and the customer uses its share of it.
	Full Reason = "full"
	// Duplicate: the ticket's id is already known.
	Duplicate Reason = "duplicate"

	// Sure: the estimate is at the target even at its lower bound.
	Sure Reason = "sure"
	// Likely: the estimate is at the target, its lower bound is not.
	Likely Reason = "likely"
	// Cheaper: trying and checking first costs less on average.
	Cheaper Reason = "cheaper"
	// Stronger: starting with a stronger model costs less on average.
	Stronger Reason = "stronger"
	// Last: no step reaches the target; the strongest is used.
	Last Reason = "last"
	// Probe: a small share of requests tries a cheaper step for its ratings.
	Probe Reason = "probe"
	// Rated: the rating came in time and decided.
	Rated Reason = "rated"
	// Below: the estimate is below the target.
	Below Reason = "below"

	// Failures, Slowness and Ratings: the measure that halts a roll-out, or
	// that is not yet certain enough to go on.
	Failures Reason = "failures"
	Slowness Reason = "slowness"
	Ratings  Reason = "ratings"
	// Safe: no measure is worse by more than its tolerance.
	Safe Reason = "safe"
)

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
