package fleet

import (
	"math"
	"time"

	"k8s.io/klog/v2"
)

const (
	// outcomeHalfLife is the time after which the outcomes of a server count
	// half.
	outcomeHalfLife = 3 * time.Second
	// minOutcomes is the decayed number of failures below which the failure
	// share does not eject a server. It also dampens the failure share that the
	// choice sees.
	minOutcomes = 3
	// ejectFailureShare is the share of failures from which a server is
	// ejected.
	ejectFailureShare = 0.3
	// minEjection is how long the first ejection lasts. The time doubles up to
	// maxEjection while the server goes on to fail.
	minEjection = 700 * time.Millisecond
	maxEjection = 6 * time.Second
)

// health sums up the outcomes of the attempts at a server.
type health struct {
	decayedAt     time.Time // when good and bad were last decayed
	good, bad     float64   // outcomes here and at other gates, decaying
	goodCount     uint32    // own good outcomes, as reported to other gates
	badCount      uint32    // own bad ones
	ejectedUntil  time.Time
	ejection      time.Duration // length of the last ejection; 0 if none, or if the server is back
	probeInFlight bool          // an attempt tests whether the server is back
}

func (h *health) decay(now time.Time) {
	if !h.decayedAt.IsZero() {
		f := math.Exp2(-float64(now.Sub(h.decayedAt)) / float64(outcomeHalfLife))
		h.good, h.bad = h.good*f, h.bad*f
	}
	h.decayedAt = now
}

// isEjected reports whether the server gets no attempts now.
func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) || h.probeInFlight }

// isProbeDue reports whether the next attempt is the test after an ejection.
func (h *health) isProbeDue(now time.Time) bool { return h.ejection > 0 && !h.isEjected(now) }

func (h *health) startProbe() { h.probeInFlight = true }

// failureShare returns the recent share of failures.
func (h *health) failureShare(now time.Time) float64 {
	h.decay(now)
	return h.bad / (h.good + h.bad + minOutcomes)
}

// record counts the outcome of an own attempt.
func (h *health) record(s *Server, o Outcome, now time.Time) {
	h.decay(now)
	probed := h.probeInFlight
	h.probeInFlight = false
	switch o {
	case Good:
		h.good++
		h.goodCount++
		if h.ejection > 0 && probed {
			klog.InfoS("Backend server back in use", "backend", s.ID, "after", h.ejection)
			h.ejection, h.bad = 0, 0
		}
		return
	case Failed, Broke:
		h.bad++
		h.badCount++
		if probed || h.bad >= minOutcomes && h.bad/(h.good+h.bad) >= ejectFailureShare {
			h.eject(s, o, now)
		}
	case Unreached, Moved:
		h.bad++
		h.eject(s, o, now)
	case Declined, Neutral:
	}
}

// mergePeer adds the outcomes that another gate has reported.
func (h *health) mergePeer(s *Server, good, bad float64, now time.Time) {
	if good == 0 && bad == 0 {
		return
	}
	h.decay(now)
	h.good += good
	h.bad += bad
	if bad > 0 && !h.isEjected(now) && h.bad >= minOutcomes && h.bad/(h.good+h.bad) >= ejectFailureShare {
		h.eject(s, Failed, now)
	}
}

func (h *health) eject(s *Server, o Outcome, now time.Time) {
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
	s.forgetPrefix() // it may have restarted, also as seen by other gates
	klog.InfoS("Backend server out of use", "backend", s.ID, "outcome", o, "good", h.good, "bad", h.bad, "pause", h.ejection)
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Good:
		return "good"
	case Failed:
		return "failed"
	case Broke:
		return "broke"
	case Unreached:
		return "unreached"
	case Declined:
		return "declined"
	case Neutral:
		return "neutral"
	case Moved:
		return "moved"
	}
	return "unknown"
}
