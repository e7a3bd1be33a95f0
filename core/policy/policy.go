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

// Reason says in one word why a decision was made. It is written to the
// decision record and to metrics.
type Reason string

// Reasons of all decisions.
const (
	// ReasonNone: there is nothing to choose from.
	ReasonNone Reason = "none"
	// ReasonLeastCost: the candidate costs least, for ChooseBackend by load and
	// latency of two random ones.
	ReasonLeastCost Reason = "least"
	// ReasonPrefix: the candidate holds the prefix of the request.
	ReasonPrefix Reason = "prefix"
	// ReasonAllEjected: every candidate is ejected, so ejection is ignored.
	ReasonAllEjected Reason = "floor"

	// ReasonPreferred: the preferred version, since there is no rollout.
	ReasonPreferred Reason = "preferred"
	// ReasonInRollout: the session is in the share of the rollout.
	ReasonInRollout Reason = "rollout"
	// ReasonOutsideRollout: the session is outside the share of the rollout.
	ReasonOutsideRollout Reason = "previous"
	// ReasonOtherVersion: the customer may not use the version that the rollout
	// would give.
	ReasonOtherVersion Reason = "other"

	// ReasonFreeSlot: a slot is free.
	ReasonFreeSlot Reason = "free"
	// ReasonQueued: waits, and is expected to meet its deadline.
	ReasonQueued Reason = "queued"
	// ReasonLate: the request would miss its deadline, or a larger model cannot
	// answer in time.
	ReasonLate Reason = "late"
	// ReasonQueueFull: the queue is full and the customer uses its share of it.
	ReasonQueueFull Reason = "full"
	// ReasonDuplicate: a ticket with the same id is waiting or running.
	ReasonDuplicate Reason = "duplicate"

	// ReasonSure: the estimate is at the target even at its lower bound, or the
	// model is confident enough of its answer.
	ReasonSure Reason = "sure"
	// ReasonLikely: the estimate is at the target, its lower bound is not.
	ReasonLikely Reason = "likely"
	// ReasonCheaperStep: trying and checking a cheaper model first costs less on
	// average.
	ReasonCheaperStep Reason = "cheaper"
	// ReasonStrongerStep: starting with a stronger model costs less on average.
	ReasonStrongerStep Reason = "stronger"
	// ReasonLastStep: there is no larger model, or no step reaches the target
	// and the strongest is used.
	ReasonLastStep Reason = "last"
	// ReasonProbe: a small share of requests tries a cheaper step for its
	// ratings.
	ReasonProbe Reason = "probe"
	// ReasonRated: the rating came in time and decided.
	ReasonRated Reason = "rated"
	// ReasonBelowTarget: the estimate is below the target, or the model is not
	// confident enough of its answer.
	ReasonBelowTarget Reason = "below"

	// ReasonFailures, ReasonSlowness and ReasonRatings name the measure that
	// halts a rollout, or that is not yet certain enough to go on.
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
	// HoldsPrefix is set if it is known or expected to hold the request's
	// prefix.
	HoldsPrefix bool
	// Ejected is set while it is out of use by comparison with its peers.
	Ejected bool
	// InFlight and LongInFlight count the gate's own running attempts, and the
	// long ones among them.
	InFlight, LongInFlight int
	// ReportedLoad is the number of running and queued requests in its last load
	// report, which is ReportAge old.
	ReportedLoad int
	ReportAge    time.Duration
	// Slots is how many requests the backend server runs at once.
	Slots int
	// Latency is the recent latency seen by the gate; 0 if none was seen.
	Latency time.Duration
	// Uptime is the time since it joined or came back.
	Uptime time.Duration
}

// Attempt is what the choice of a backend server depends on besides the
// candidates.
type Attempt struct {
	Kind ident.Kind
	// Seed makes the random part of the choice repeatable.
	Seed uint64
	// MaxLongShare is the largest share of a backend server's slots for long
	// work.
	MaxLongShare float64
	// Exclude is a backend server that an earlier attempt used, or empty.
	Exclude ident.Backend
}
