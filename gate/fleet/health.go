package fleet

import (
	"math"
	"time"

	"k8s.io/klog/v2"
)

const (
	// fadeTime is the time in which what was seen of a server counts half.
	fadeTime = 3 * time.Second
	// leastSeen is the weight of outcomes from which a failure share counts.
	leastSeen = 3
	// failShare of the outcomes takes a server out.
	failShare = 0.3
	// firstOut is how long a server is out the first time; it doubles up to
	// mostOut while it goes on to fail.
	firstOut = 700 * time.Millisecond
	mostOut  = 6 * time.Second
)

// health is what was seen of a server's answers.
type health struct {
	at        time.Time // of the sums
	good, bad float64   // outcomes, fading with time
	goods     uint32    // own good and bad outcomes
	bads      uint32
	until     time.Time     // out until then
	pause     time.Duration // of the last time out
	trying    bool          // one attempt tests whether it is back
}

func (h *health) fade(now time.Time) {
	if !h.at.IsZero() {
		f := math.Exp2(-float64(now.Sub(h.at)) / float64(fadeTime))
		h.good, h.bad = h.good*f, h.bad*f
	}
	h.at = now
}

// out tells whether the server takes no attempts now.
func (h *health) out(now time.Time) bool { return now.Before(h.until) || h.trying }

// probing tells whether the next attempt is the test after a time out.
func (h *health) probing(now time.Time) bool { return h.pause > 0 && !h.out(now) }

func (h *health) probe() { h.trying = true }

// failing returns the recent share of failures.
func (h *health) failing(now time.Time) float64 {
	h.fade(now)
	return h.bad / (h.good + h.bad + leastSeen)
}

func (h *health) note(s *Server, o Outcome, now time.Time) {
	h.fade(now)
	tried := h.trying
	h.trying = false
	switch o {
	case Good:
		h.good++
		h.goods++
		if h.pause > 0 && tried {
			klog.InfoS("Backend server back in use", "backend", s.ID, "after", h.pause)
			h.pause, h.bad = 0, 0
		}
		return
	case Failed, Broke:
		h.bad++
		h.bads++
		if tried || h.bad >= leastSeen && h.bad/(h.good+h.bad) >= failShare {
			h.eject(s, o, now)
		}
	case Unreached, Moved:
		h.bad++
		h.eject(s, o, now)
	case Declined, Neutral:
	}
}

// heard adds the outcomes that another gate has seen.
func (h *health) heard(s *Server, good, bad float64, now time.Time) {
	if good == 0 && bad == 0 {
		return
	}
	h.fade(now)
	h.good += good
	h.bad += bad
	if bad > 0 && !h.out(now) && h.bad >= leastSeen && h.bad/(h.good+h.bad) >= failShare {
		h.eject(s, Failed, now)
	}
}

func (h *health) eject(s *Server, o Outcome, now time.Time) {
	h.pause = min(max(2*h.pause, firstOut), mostOut)
	h.until = now.Add(h.pause)
	klog.InfoS("Backend server out of use", "backend", s.ID, "outcome", o, "good", h.good, "bad", h.bad, "pause", h.pause)
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
