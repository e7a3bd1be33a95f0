package relay

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/gate/fleet"
)

// decision is what to do after an attempt.
type decision interface{ isDecision() }

type (
	// answered: the caller has the whole answer.
	answered struct{}
	// retry: another attempt may serve the request.
	retry struct {
		reason string
		paid   bool // the retry budget has paid for the next attempt
	}
	// escalate: the answer was dropped for that of a larger model, whose run
	// the retry budget has paid for.
	escalate struct{ modelIndex int }
	// giveUp: no further attempt is made.
	giveUp struct{ reason string }
)

func (answered) isDecision() {}
func (retry) isDecision()    {}
func (escalate) isDecision() {}
func (giveUp) isDecision()   {}

// runAttempts makes attempts until the request is answered or no more are
// allowed.
func (c *call) runAttempts(ctx context.Context) {
	c.lastEventID = ""
	paid := true // from the retry budget; the first attempt is not a retry
	for {
		if !paid && !c.r.spendRetry(c.service, time.Now()) {
			c.reason += "; no retry budget"
			c.finishUnserved()
			return
		}
		c.attempts++
		paid = false
		switch x := c.tryServer(ctx).(type) {
		case answered:
			c.whole = true
			return
		case escalate:
			c.modelIndex, paid = x.modelIndex, true
		case retry:
			c.reason, paid = x.reason, x.paid
			if ctx.Err() != nil || c.attempts >= maxAttempts || c.runsLeft() == 0 || c.crashes >= maxRequestCrashes {
				c.finishUnserved()
				return
			}
			if _, blocked := c.quarantined(); blocked {
				c.finishUnserved()
				return
			}
		case giveUp:
			c.reason = x.reason
			c.finishUnserved()
			return
		}
	}
}

// runsLeft returns how many more times the request may run.
func (c *call) runsLeft() int {
	if !c.route.Repeatable() {
		return max(0, 1-c.runs.N())
	}
	return max(0, c.route.MaxRuns-c.runs.N())
}

// tryServer makes one attempt at a backend server.
func (c *call) tryServer(ctx context.Context) decision {
	model := c.nextModel()
	version, required := c.chooseVersion(c.service)
	now := time.Now()
	criteria := fleet.Criteria{
		Service: c.service, AffinityKey: c.affinityKey(model), Prompt: c.promptWork(model), Cached: c.cachedPrompt(model), Exclude: c.excluded, TieBreak: uint64(now.UnixNano()),
		AllowsVersion: func(v ident.Version) bool { return v == version },
	}
	if _, ok := c.r.fleet.UntilOpen(criteria, now); !ok && !required {
		criteria.AllowsVersion = nil
	}
	assignment := c.r.fleet.Pick(criteria, now)
	if assignment == nil {
		return c.noServer(criteria, now)
	}
	c.recordSession(assignment.Version, now)
	c.r.tallies.countAttempt(tallyKey{c.service, c.route.Name, assignment.Version})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &attempt{call: c, assignment: assignment, model: model, attemptStart: now, cached: criteria.Cached}
	next, outcome := x.exchange(ctx)
	if outcome == fleet.Broke && (x.quarantinedOff.Load() || errors.Is(context.Cause(ctx), errStopping)) {
		outcome = fleet.Neutral // the server is not to blame
	}
	x.recordEndOfServer(ctx)
	end := time.Now()
	if x.cutOff || x.brokenOff {
		assignment.RecordCutOff(end)
	}
	assignment.Release(outcome, end)
	x.recordOutcome(outcome)
	c.r.metrics.attempts.WithLabelValues(c.route.Type.String(), outcome.String()).Inc()
	if outcome != fleet.Good && outcome != fleet.Neutral {
		c.excluded = append(c.excluded, assignment.ID)
	}
	klog.InfoS("Attempt", "id", c.head.AttemptID, "try", c.attempts, "backend", assignment.ID, "version", assignment.Version, "session", c.head.Session, "model", model, "input", c.head.Input, "output", c.head.MaxOutput, "chosen", assignment.Reason,
		"load", assignment.Load, "waiting", assignment.QueuedWork, "loss", assignment.PacketLoss, "work", criteria.Prompt.Work, "held", assignment.Prefix.Held, "basis", assignment.Prefix.Basis, "prefix", x.prefixVerdict, "outcome", outcome, "why", x.detail, "mayHaveRun", x.run.MayHaveRun(), "opinion", x.confidence, "status", x.status, "head", x.headLatency, "expected", x.expectedPrefill, "events", x.eventsSent, "pause", x.longestPause, "took", end.Sub(now))
	return next
}

// noServer decides what follows when no server may take the attempt.
func (c *call) noServer(criteria fleet.Criteria, now time.Time) decision {
	wait, ok := c.r.fleet.UntilOpen(criteria, now)
	if !ok && c.r.fleet.HasEvacuated(c.service) {
		return giveUp{"no backend server outside the zones that are being evacuated"}
	}
	if !ok {
		return giveUp{"no backend server"}
	}
	// Another gate may send at once what this one may not.
	c.retryAfter = min(retryAfter, wait)
	c.r.metrics.limited.Inc()
	return giveUp{"all backend servers limit their requests or pause"}
}
