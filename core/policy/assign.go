package policy

import (
	"slices"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
)

// AssignVersion returns the version for a new session among the versions that
// the customer may use, listed with the preferred one last; it returns "" if
// there is none. hasRollout reports whether the model has a rollout entry, in
// any phase: a halted or reverted rollout has share 0, a finished one share 1.
//
// A seed that gets the version To also gets it at every larger share, so a
// growing rollout moves no session back. The seed must not be used for other
// decisions about the same request, since these would correlate with the
// version.
func AssignVersion(seed uint64, versions []ident.Version, rollout conf.Rollout, hasRollout bool) (ident.Version, Reason) {
	if len(versions) == 0 {
		return "", ReasonNone
	}
	preferred := versions[len(versions)-1]
	if !hasRollout {
		return preferred, ReasonPreferred
	}
	if unitInterval(seed) < float64(rollout.Share()) && slices.Contains(versions, rollout.To) {
		return rollout.To, ReasonInRollout
	}
	if slices.Contains(versions, rollout.From) {
		return rollout.From, ReasonOutsideRollout
	}
	// The customer may not use From: any version but the one under trial.
	for _, v := range slices.Backward(versions) {
		if v != rollout.To {
			return v, ReasonOtherVersion
		}
	}
	return preferred, ReasonOtherVersion
}
