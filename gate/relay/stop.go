package relay

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/plan"
)

// stopAnswerTime is how long before the end of a planned stop requests without
// an answer get one, so that it reaches their callers.
const stopAnswerTime = 100 * time.Millisecond

// errStopping ends requests that have no answer at the end of a planned stop.
var errStopping = errors.New("the gate stops")

// outlastFactor allows for requests that become slower while other gates stop
// too.
const outlastFactor = 1.5

// Drain begins a planned stop that lasts until end. Each answer then closes its
// connection, and requests that would not end by then are refused. Those that
// have no answer just before the end are answered that there is none: a
// connection that is cut tells callers nothing.
func (r *Relay) Drain(end time.Time) {
	if !r.stopEnd.CompareAndSwap(nil, &end) {
		return
	}
	time.AfterFunc(time.Until(end)-stopAnswerTime, func() {
		klog.InfoS("Planned stop ends; requests without an answer are given up")
		r.endRequests(errStopping)
	})
}

// mayOutlastStop reports whether a new request would probably last longer than
// the planned stop under way, if there is one. Other gates can serve it.
func (c *call) mayOutlastStop(now time.Time) bool {
	stop := c.r.stopEnd.Load()
	if stop == nil {
		return false
	}
	end := *stop
	var bound, observed time.Duration
	if c.route.Type == plan.RouteStream {
		bound, observed = c.r.streamUpperBound(c.head.MaxOutput, c.readingTime(), now)
	} else {
		end = end.Add(-stopAnswerTime)
		bound, observed = c.r.answerUpperBound(c.route.Name, now)
	}
	needed := time.Duration(outlastFactor * float64(bound))
	switch {
	case c.route.Type != plan.RouteStream && !c.deadline.After(end):
		return false
	case now.Add(needed).After(end):
		return true
	case bound == 0 || needed > observed:
		// Soon after the start it is not known how long requests take: only short
		// ones have ended. Those that may be sent again are worth the risk.
		return c.route.Type != plan.RouteSafe
	}
	return false
}
