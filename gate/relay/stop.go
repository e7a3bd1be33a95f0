package relay

import (
	"time"

	"citronledge.example/core/plan"
)

// outlastFactor allows for requests that become slower while other gates stop
// too.
const outlastFactor = 1.5

// Drain begins a planned stop that lasts until end. Each answer then closes its
// connection, and requests that would not end by then are refused.
func (r *Relay) Drain(end time.Time) { r.stopEnd.CompareAndSwap(nil, &end) }

// mayOutlastStop reports whether a new request would probably last longer than
// the planned stop under way, if there is one. Other gates can serve it.
func (c *call) mayOutlastStop(now time.Time) bool {
	end := c.r.stopEnd.Load()
	if end == nil {
		return false
	}
	var bound time.Duration
	if c.route.Type == plan.RouteStream {
		bound = c.r.streamUpperBound(c.head.MaxOutput, c.readingTime(), now)
	} else if !c.deadline.After(*end) {
		return false
	} else {
		bound = c.r.answerUpperBound(c.route.Name, now)
	}
	if bound == 0 {
		// Right after the start it is not known how long requests take. Only those
		// that may be sent again are worth the risk.
		return c.route.Type != plan.RouteSafe
	}
	return now.Add(time.Duration(outlastFactor * float64(bound))).After(*end)
}
