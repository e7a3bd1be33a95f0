package policy

import (
	"slices"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
)

// AssignVersion returns the version for a new session among the versions that the
// customer may use, the preferred one last; it returns "" if there is none.
// The flag running tells that the model has a roll-out entry, in whatever
// phase: a halted or reverted one has share 0, a finished one share 1.
//
// The same seed gets the version To at every larger share too, so a growing
// roll-out moves no session back. The seed should not be used for other
// decisions of the same request, since it would correlate them.
func AssignVersion(seed uint64, versions []ident.Version, r conf.Rollout, running bool) (ident.Version, Reason) {
	if len(versions) == 0 {
		return "", ReasonNone
	}
	last := versions[len(versions)-1]
	if !running {
		return last, ReasonPreferred
	}
	if unit(seed) < float64(r.Share()) && slices.Contains(versions, r.To) {
		return r.To, ReasonInRollout
	}
	if slices.Contains(versions, r.From) {
		return r.From, ReasonOutsideRollout
	}
	// The customer may not use From: any version but the one under trial.
	for _, v := range slices.Backward(versions) {
		if v != r.To {
			return v, ReasonOtherVersion
		}
	}
	return last, ReasonOtherVersion
}
