package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"citronledge.example/core/crash"
	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/core/policy"
	"citronledge.example/gate/conn"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/runs"
	"citronledge.example/platform"
)

const (
	// returnLatency is subtracted from the time that a backend server gets, so
	// that its answer arrives before the deadline.
	returnLatency = 10 * time.Millisecond
	// maxAttempts limits the attempts of one request, including those that did
	// not run anywhere.
	maxAttempts = 8
	// onceMaxIdle is how long a connection may have been idle that carries a
	// request that must not be repeated: the other end may close an older one
	// at the same moment.
	onceMaxIdle = 400 * time.Millisecond
)

// speedCheckEvents is the number of events after which the speed of a stream is
// recorded. If it were recorded at the end of the stream, slow streams would
// show last.
const speedCheckEvents = 8

// recordOutcome counts the attempt for the rollout of its version.
func (x *attempt) recordOutcome(o fleet.Outcome) {
	failed := o == fleet.Failed || o == fleet.Broke
	if failed || o == fleet.Good {
		x.recordSpeed()
		x.recordSession(x.assignment.Version, time.Now())
	}
	if failed {
		x.r.tallies.countFailure(x.tallyKey())
	}
}

func (x *attempt) tallyKey() tallyKey { return tallyKey{x.service, x.route.Name, x.assignment.Version} }

// recordSpeed counts the attempt, once, and whether it is slow.
func (x *attempt) recordSpeed() {
	if x.speedRecorded {
		return
	}
	x.speedRecorded = true
	incumbent := x.assignment.Version == x.r.fleet.Incumbent(x.service)
	load := x.assignment.Load
	slow := x.r.checkSlow(baselineKey{x.route.Name, "head"}, x.model, load, x.headLatency-x.expectedPrefill, incumbent)
	if x.eventsSent > 1 {
		pace := time.Since(x.attemptStart.Add(x.headLatency)) / time.Duration(x.eventsSent-1)
		slow = x.r.checkSlow(baselineKey{x.route.Name, "event"}, x.model, load, pace, incumbent) || slow
	}
	x.r.tallies.countAnswer(x.tallyKey(), slow)
}

// attempt is one try at one backend server.
type attempt struct {
	*call
	assignment   *fleet.Assignment
	model        ident.Model
	attemptStart time.Time
	run          *runs.Attempt // whether the server may have run it
	abandon      func()        // closes the connection to the server
	headLatency  time.Duration // time to the head of the answer; 0 if none arrived
	// expectedPrefill is the part of headLatency that the prompts explain.
	expectedPrefill time.Duration
	// cached describes the prompt, and prefixVerdict says whether the server
	// held what was expected of it.
	cached        fleet.CachedPrompt
	prefixVerdict policy.PrefixVerdict
	eventsSent    int // passed on to the caller
	// longestPause is the longest time between two reads of a stream.
	longestPause  time.Duration
	stallTimeout  time.Duration
	speedRecorded bool       // counted for the rollout of its version
	reused        bool       // the connection had carried a request before
	brokenOff     bool       // the answer ended in the middle
	end           *crash.End // how the server ended the connection before the end of the answer; nil if it didn't
	cutOff        bool       // the server's process ended
	sound         bool       // the answer has shown that the request crashes no servers
	// quarantinedOff is set when the gate ends the attempt because of its prompt.
	quarantinedOff atomic.Bool
	detail         string
	status         int
	confidence     int
}

const (
	// minHeadTimeout is the shortest timeout for the head of an answer, and
	// minStreamHeadTimeout that for the head of a stream.
	minHeadTimeout       = 40 * time.Millisecond
	minStreamHeadTimeout = 700 * time.Millisecond
	// headTimeoutFactor is the multiple of the usual time that a silent server
	// gets.
	headTimeoutFactor = 5
)

// headTimeout returns how long to wait for the head of an answer before another
// server is asked; 0 means until the deadline. A server may disappear without
// closing its connections; then only its silence shows it.
func (x *attempt) headTimeout() time.Duration {
	if x.runsLeft() == 0 {
		return 0
	}
	var limit time.Duration
	if x.route.Type == plan.RouteStream {
		p := x.promptWork(x.model)
		limit = max(minStreamHeadTimeout, headTimeoutFactor*x.r.firstTokenTime(x.service, p, p.Tokens(0), x.assignment.QueuedWork))
	} else {
		usual := x.r.baseline(baselineKey{x.route.Name, "head"})
		if usual == 0 {
			return 0
		}
		limit = max(minHeadTimeout, headTimeoutFactor*usual)
	}
	if limit > time.Until(x.deadline)/2 {
		return 0 // too little would be left for another server
	}
	return limit
}

// payForOtherServer reports whether another server is open for the request and
// the retry budget pays for its attempt. Without one, a late answer is better
// than none.
func (x *attempt) payForOtherServer() bool {
	now := time.Now()
	others := fleet.Criteria{Service: x.service, Exclude: append(slices.Clone(x.excluded), x.assignment.ID)}
	wait, ok := x.r.fleet.UntilOpen(others, now)
	return ok && wait <= 0 && x.r.spendRetry(x.service, now)
}

// watchHead returns what ends the wait for the head of the answer if another server
// may take the request; nil if the attempt waits until the deadline.
func (x *attempt) watchHead() *conn.Silence {
	limit := x.headTimeout()
	if limit == 0 {
		return nil
	}
	return conn.NewSilence(limit, x.payForOtherServer, x.abandon)
}

// exchange sends the request to the assigned server and passes on the answer.
func (x *attempt) exchange(ctx context.Context) (decision, fleet.Outcome) {
	x.run = x.runs.Begin()
	q := x.encodeAttempt(x.assignment.ID, x.model)
	x.confidence = -1
	var verdict platform.AnswerHead
	q.Matches = func(status int, h http.Header, first bool) bool {
		verdict = platform.DecodeAnswerHead(x.head.AttemptID, status, h, first)
		return verdict.MatchesAttempt
	}
	if !x.route.Repeatable() {
		q.MaxIdle = onceMaxIdle
	}
	exchangeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.abandon = cancel
	x.awaitFirstEvent()
	defer x.answerBegun()
	q.Head = x.watchHead()
	a, err := x.assignment.Conns().Do(exchangeCtx, q)
	timedOut := q.Head.Stop()
	var notSent conn.NotSentError
	if errors.As(err, &notSent) || err == nil && verdict.NotRun {
		x.run.SetNotRun()
	}
	if err != nil {
		if timedOut && ctx.Err() == nil {
			x.detail = "no answer for far longer than usual"
			return retry{reason: x.detail, paid: true}, fleet.Broke
		}
		return x.noAnswer(ctx, err)
	}
	defer a.Close()
	x.assignment.AnswerStarted(time.Now())
	x.reused = a.Reused
	x.headLatency, x.status, x.confidence = time.Since(x.attemptStart), a.Status, verdict.Confidence
	x.r.metrics.headLatency.WithLabelValues(x.route.Type.String()).Observe(x.headLatency.Seconds())
	if !verdict.NotRun {
		x.recordPrompt(x.cached, time.Now())
	}
	if !verdict.Misdirected {
		x.recordState(verdict, time.Now())
	}
	return x.useAnswer(a, verdict)
}

// useAnswer passes on an answer, or decides what follows one that is not passed
// on.
func (x *attempt) useAnswer(a *conn.Answer, verdict platform.AnswerHead) (decision, fleet.Outcome) {
	switch {
	case verdict.Misdirected:
		x.discard(a)
		return retry{reason: "another backend server has the address"}, fleet.Moved
	case verdict.NotRun:
		x.discard(a)
		if a.Status == http.StatusBadRequest {
			x.detail = "refused the request"
			return giveUp{"the backend server cannot read the request"}, fleet.Neutral
		}
		x.detail = "full"
		return retry{reason: "backend servers are full"}, fleet.Declined
	case a.Status >= http.StatusInternalServerError || a.Status >= 300 && !verdict.Signed || platform.PromisesNotRun(a.Status):
		return x.errorAnswer(a)
	case x.headSent && !isEventStream(a):
		x.detail = "the answer does not continue the stream: " + http.StatusText(a.Status)
		return retry{reason: x.detail}, fleet.Failed
	case a.Status < 300 && !verdict.Signed:
		x.detail = "success without a signature"
		return retry{reason: x.detail}, fleet.Broke
	}
	if next, ok := x.largerModel(verdict.Confidence); ok {
		return next, fleet.Good
	}
	if x.route.Type == plan.RouteStream {
		return x.relayStream(a)
	}
	return x.relayBody(a)
}

// largerModel reports whether the answer is to be dropped for that of a larger
// model, and pays for its run.
func (x *attempt) largerModel(confidence int) (escalate, bool) {
	if x.headSent || !x.head.AnyModel || len(x.route.Models) == 0 {
		return escalate{}, false
	}
	next, reason := policy.Escalation{
		Confidence: confidence, Step: x.modelIndex, StepCount: len(x.route.Models), RunsLeft: x.runsLeft(),
		UntilDeadline: time.Until(x.deadline), UntilTarget: time.Until(x.start.Add(x.route.TargetLatency)),
		TimeToFirstToken: func(step int) time.Duration {
			return x.r.leastFirstTokenTime(x.service, x.promptWork(x.route.Models[step]))
		},
	}.NextStep()
	x.detail = string(reason)
	if next == x.modelIndex {
		return escalate{}, false
	}
	if !x.r.spendRetry(x.service, time.Now()) {
		x.detail = "kept: no budget for a larger model"
		return escalate{}, false
	}
	return escalate{next}, true
}

// recordState records what the head of an answer says of its server.
func (x *attempt) recordState(head platform.AnswerHead, now time.Time) {
	if l := head.Load; l.Known {
		x.assignment.RecordLoad(l.Running, l.Queued, l.Slots, now)
	}
	x.assignment.RecordCold(head.Cold, now)
	if head.Leaving {
		x.assignment.RecordLeaving(now)
	}
	if head.Pause > 0 {
		x.assignment.RecordPause(now.Add(head.Pause))
	}
	if head.Limit.Named || head.Signed {
		x.assignment.RecordLimit(head.Limit, now)
	}
}

// noAnswer decides what follows an attempt without an answer.
func (x *attempt) noAnswer(ctx context.Context, err error) (decision, fleet.Outcome) {
	x.detail = err.Error()
	var notSent conn.NotSentError
	switch {
	case x.req.Context().Err() != nil && x.route.Repeatable():
		return giveUp{errCallerLeft.Error()}, fleet.Neutral
	case errors.As(err, &notSent) && ctx.Err() != nil:
		return retry{reason: "no connection in time"}, fleet.Neutral
	case errors.As(err, &notSent):
		x.recordUnreached(err)
		return retry{reason: "no connection"}, fleet.Unreached
	}
	var unanswered conn.UnansweredError
	if ctx.Err() == nil && errors.As(err, &unanswered) {
		x.reused = unanswered.Reused
		x.serverEnded(err, crash.None)
	}
	return retry{reason: "no answer"}, fleet.Broke
}

// recordUnreached records why no connection to the server could be opened. Errors
// of this gate's own system, such as a lack of file descriptors, are not
// evidence against the server.
func (x *attempt) recordUnreached(err error) {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		x.assignment.RecordRefused(time.Now())
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		x.assignment.RecordUnreached(time.Now())
	}
}
