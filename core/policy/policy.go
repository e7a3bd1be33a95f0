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
	// ReasonNone: nothing fits.
	ReasonNone Reason = "none"
	// ReasonLeastCost: the lower load and latency of two random candidates.
	ReasonLeastCost Reason = "least"
	// ReasonPrefix: the candidate holds the prefix of the request.
	ReasonPrefix Reason = "prefix"
	// ReasonAllEjected: every candidate is ejected, so ejection is ignored.
	ReasonAllEjected Reason = "floor"

	// ReasonPreferred: no roll-out, the preferred version.
	ReasonPreferred Reason = "preferred"
	// ReasonInRollout: in the share of the roll-out.
	ReasonInRollout Reason = "rollout"
	// ReasonOutsideRollout: outside the share of the roll-out.
	ReasonOutsideRollout Reason = "previous"
	// ReasonOtherVersion: the roll-out's versions are not allowed to the customer.
	ReasonOtherVersion Reason = "other"

	// ReasonFreeSlot: a slot is free.
	ReasonFreeSlot Reason = "free"
	// ReasonQueued: waits, and is expected to meet its deadline.
	ReasonQueued Reason = "queued"
	// ReasonLate: would miss its deadline.
	ReasonLate Reason = "late"
	// ReasonQueueFull: the queue is full and the customer uses its share of it.
	ReasonQueueFull Reason = "full"
	// ReasonDuplicate: the ticket's id is already known.
	ReasonDuplicate Reason = "duplicate"

	// ReasonSure: the estimate is at the target even at its lower bound.
	ReasonSure Reason = "sure"
	// ReasonLikely: the estimate is at the target, its lower bound is not.
	ReasonLikely Reason = "likely"
	// ReasonCheaperStep: trying and checking first costs less on average.
	ReasonCheaperStep Reason = "cheaper"
	// ReasonStrongerStep: starting with a stronger model costs less on average.
	ReasonStrongerStep Reason = "stronger"
	// ReasonLastStep: no step reaches the target; the strongest is used.
	ReasonLastStep Reason = "last"
	// ReasonProbe: a small share of requests tries a cheaper step for its ratings.
	ReasonProbe Reason = "probe"
	// ReasonRated: the rating came in time and decided.
	ReasonRated Reason = "rated"
	// ReasonBelowTarget: the estimate is below the target.
	ReasonBelowTarget Reason = "below"

	// ReasonFailures, Slowness and Ratings: the measure that halts a roll-out, or
	// that is not yet certain enough to go on.
	ReasonFailures Reason = "failures"
	ReasonSlowness Reason = "slowness"
	ReasonRatings  Reason = "ratings"
	// ReasonSafe: no measure is worse by more than its tolerance.
	ReasonSafe Reason = "safe"
)

// Candidate is one backend server that can serve a target, as one gate sees it.
type Candidate struct {
	Backend ident.Backend
	// SameZone is set if it is in the gate's own availability zone.
	SameZone bool
	// HoldsPrefix is set if it is known or expected to hold the request's prefix.
	HoldsPrefix bool
	// Ejected is set while it is out of use by comparison with its peers.
	Ejected bool
	// InFlight and LongInFlight count the gate's own running attempts, and the long
	// ones among them.
	InFlight, LongInFlight int
	// ReportedLoad is the load of the last report (running and queued), made Age ago.
	ReportedLoad int
	ReportAge    time.Duration
	// Slots is how many requests the backend server runs at once.
	Slots int
	// Latency is the recent latency seen by the gate; 0 if none was seen.
	Latency time.Duration
	// Uptime is the time since it joined or came back.
	Uptime time.Duration
}

// Attempt is what the choice of a backend server needs to know of an attempt.
type Attempt struct {
	Kind ident.Kind
	// Seed makes the random part of the choice repeatable.
	Seed uint64
	// MaxLongShare is the largest share of a backend server's slots for long work.
	MaxLongShare float64
	// Exclude is a backend server that an earlier attempt used, or empty.
	Exclude ident.Backend
}
