package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/core/policy"
	"citronledge.example/gate/conn"
	"citronledge.example/gate/fleet"
	"citronledge.example/platform"
)

const (
	// wayBack is taken off the time that a backend server gets, for its answer.
	wayBack = 10 * time.Millisecond
	// mostTries bounds the attempts of one request, also those that did not
	// run anywhere.
	mostTries = 8
	// freshOnce is how long a connection may have been idle that carries a
	// request that may not be repeated: the other end may close an older one
	// at the same moment.
	freshOnce = 400 * time.Millisecond
	// wholeAnswer is the size in bytes up to which an answer is read in full
	// before any of it is passed on, so that another attempt is possible.
	wholeAnswer = 64 << 10
)

// result tells what to do after an attempt.
type result interface{ isResult() }

type (
	// done: the caller has the whole answer.
	done struct{}
	// again: another attempt may serve the request.
	again struct {
		why string
		// ran is set if the backend server may have run the attempt.
		ran bool
	}
	// climb: the answer was dropped for that of a larger model, whose run the
	// budget for repeats has paid.
	climb struct{ step int }
	// stop: no further attempt.
	stop struct{ why string }
)

func (done) isResult()  {}
func (again) isResult() {}
func (climb) isResult() {}
func (stop) isResult()  {}

// run makes attempts until the request is answered or no more are allowed.
func (c *call) run(ctx context.Context) {
	c.last = ""
	paid := true // by the budget for repeats; the first attempt is no repeat
	for {
		if !paid && !c.r.spend(c.service, time.Now()) {
			c.reason += "; no retry budget"
			c.finish(ctx)
			return
		}
		c.tries++
		paid = false
		switch x := c.attempt(ctx).(type) {
		case done:
			return
		case climb:
			// The dropped run is a run: from here on no refusal is true.
			c.attempts++
			c.unknown = true
			c.step, paid = x.step, true
		case again:
			c.reason = x.why
			if x.ran {
				c.attempts++
				c.unknown = true
			}
			if ctx.Err() != nil || c.tries >= mostTries || c.attempts >= c.route.MaxRuns || x.ran && !c.route.Repeatable() {
				c.finish(ctx)
				return
			}
		case stop:
			c.reason = x.why
			c.finish(ctx)
			return
		}
	}
}

// attempt hands the request to one backend server.
func (c *call) attempt(ctx context.Context) result {
	model := c.model()
	want, only := c.version(c.service)
	now := time.Now()
	ask := fleet.Criteria{
		Service: c.service, AffinityKey: c.affinity(model), Prompt: c.prompt(model), Exclude: c.avoid, TieBreak: uint64(now.UnixNano()),
		AllowsVersion: func(v ident.Version) bool { return v == want },
	}
	grip := c.r.fleet.Pick(ask, now)
	if grip == nil && !only {
		ask.AllowsVersion = nil
		grip = c.r.fleet.Pick(ask, now)
	}
	if grip == nil {
		return stop{"no backend server"}
	}
	c.served(grip.Version, now)
	c.r.tallies.send(tallyKey{c.service, c.route.Name, grip.Version})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &attempt{call: c, grip: grip, model: model, began: now}
	res, outcome := x.do(ctx)
	end := time.Now()
	grip.Release(outcome, end)
	x.judge(outcome)
	c.r.metrics.attempts.WithLabelValues(c.route.Type.String(), outcome.String()).Inc()
	if outcome != fleet.Good && outcome != fleet.Neutral {
		c.avoid = append(c.avoid, grip.ID)
	}
	klog.InfoS("Attempt", "id", c.head.Attempt, "try", c.tries, "backend", grip.ID, "version", grip.Version, "session", c.head.Session, "model", model, "input", c.head.Input, "output", c.head.Output, "chosen", grip.Reason,
		"load", grip.Load, "waiting", grip.QueuedWork, "loss", grip.PacketLoss, "work", ask.Prompt.Work, "outcome", outcome, "why", x.why, "opinion", x.opinion, "status", x.status, "head", x.latency, "expected", x.expected, "events", x.events, "pause", x.pause, "took", end.Sub(now))
	return res
}

// judgeEvents is the number of events after which a stream is judged. Waiting
// for its end would show the slow ones last.
const judgeEvents = 8

// judge counts the attempt for the roll-out of its version.
func (x *attempt) judge(o fleet.Outcome) {
	failed := o == fleet.Failed || o == fleet.Broke
	if failed || o == fleet.Good {
		x.pace()
		x.served(x.grip.Version, time.Now())
	}
	if failed {
		x.r.tallies.failed(x.tallyKey())
	}
}

func (x *attempt) tallyKey() tallyKey { return tallyKey{x.service, x.route.Name, x.grip.Version} }

// pace counts the attempt, once, and tells whether it is slow.
func (x *attempt) pace() {
	if x.judged {
		return
	}
	x.judged = true
	base := x.grip.Version == x.r.fleet.Incumbent(x.service)
	slow := x.r.slow(usualKey{x.route.Name, "head"}, x.latency-x.expected, base)
	if x.events > 1 {
		slow = x.r.slow(usualKey{x.route.Name, "event"}, time.Since(x.began.Add(x.latency))/time.Duration(x.events-1), base) || slow
	}
	x.r.tallies.answered(x.tallyKey(), slow)
}

// attempt is one try at one backend server.
type attempt struct {
	*call
	grip    *fleet.Assignment
	model   ident.Model
	began   time.Time
	latency time.Duration // to the head of the answer; 0 if none came
	// expected is the part of the latency that the prompts explain.
	expected time.Duration
	events   int // passed on
	// pause is the longest one between two parts of a stream.
	pause   time.Duration
	judged  bool // counted for the roll-out of its version
	why     string
	status  int
	opinion int
}

const (
	// leastPatience is the shortest wait for the head of an answer, and
	// leastReading that of a stream.
	leastPatience = 40 * time.Millisecond
	leastReading  = 700 * time.Millisecond
	// patienceTimes is how many times the usual wait a silent server gets.
	patienceTimes = 5
)

// patience returns how long to wait for the head of an answer before another
// server is asked; 0 means until the deadline. A server may be gone without a
// word, and only the silence shows it.
func (x *attempt) patience() time.Duration {
	if !x.route.Repeatable() || x.attempts+1 >= x.route.MaxRuns {
		return 0
	}
	var limit time.Duration
	if x.route.Type == plan.RouteStream {
		p := x.prompt(x.model)
		limit = max(leastReading, patienceTimes*x.r.expect(x.service, p, p.Tokens(false), x.grip.QueuedWork))
	} else {
		usual := x.r.median(usualKey{x.route.Name, "head"})
		if usual == 0 {
			return 0
		}
		limit = max(leastPatience, patienceTimes*usual)
	}
	if limit > time.Until(x.deadline)/2 {
		return 0 // too little would be left for another server
	}
	return limit
}

func (x *attempt) do(ctx context.Context) (result, fleet.Outcome) {
	q := x.request(x.grip.ID, x.model)
	x.opinion = -1
	var verdict platform.Verdict
	q.Matches = func(status int, h http.Header) bool {
		verdict = platform.DecodeAnswer(x.head.Attempt, status, h)
		return verdict.Own
	}
	if !x.route.Repeatable() {
		q.MaxIdle = freshOnce
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	var timer *time.Timer
	if limit := x.patience(); limit > 0 {
		timer = time.AfterFunc(limit, cancel)
	}
	a, err := x.grip.Conns().Do(waiting, q)
	late := timer != nil && !timer.Stop()
	if err != nil {
		if late && ctx.Err() == nil {
			x.why = "no answer for far longer than usual"
			return again{why: x.why, ran: true}, fleet.Broke
		}
		return x.failed(ctx, err)
	}
	defer a.Close()
	x.grip.AnswerStarted(time.Now())
	x.latency, x.status, x.opinion = time.Since(x.began), a.Status, verdict.Opinion
	x.r.metrics.first.WithLabelValues(x.route.Type.String()).Observe(x.latency.Seconds())
	if p := x.prompt(x.model); p.Work > 0 && !verdict.NotRun {
		x.expected = x.r.began(x.service, p, p.Tokens(x.grip.Reason == policy.ReasonPrefix), x.grip.QueuedWork, x.latency)
	}
	if l := verdict.Load; l.Known {
		x.grip.RecordLoad(l.Running, l.Waiting, l.Slots, time.Now())
	}
	switch {
	case verdict.Elsewhere:
		x.drop(a)
		return again{why: "another backend server has the address"}, fleet.Moved
	case verdict.NotRun:
		x.drop(a)
		if a.Status == http.StatusBadRequest {
			x.why = "refused the request"
			return stop{"the backend server cannot read the request"}, fleet.Neutral
		}
		x.why = "full"
		return again{why: "backend servers are full"}, fleet.Declined
	case a.Status >= http.StatusInternalServerError || a.Status >= 300 && !verdict.Signed:
		return x.failure(a)
	case a.Status < 300 && !verdict.Signed:
		x.why = "success without a signature"
		return again{why: x.why, ran: true}, fleet.Broke
	}
	if !x.started && x.head.AnyModel && len(x.route.Models) > 0 {
		next, reason := policy.Escalation{
			Confidence: verdict.Opinion, Step: x.step, StepCount: len(x.route.Models), RunsLeft: x.route.MaxRuns - x.attempts - 1,
			UntilDeadline: time.Until(x.deadline), UntilTarget: time.Until(x.start.Add(x.route.TargetLatency)),
			TimeToFirstToken: func(step int) time.Duration { return x.r.need(x.service, x.prompt(x.route.Models[step])) },
		}.NextStep()
		x.why = string(reason)
		if next != x.step {
			if x.r.spend(x.service, time.Now()) {
				return climb{next}, fleet.Good
			}
			x.why = "kept: no budget for a larger model"
		}
	}
	if x.route.Type == plan.RouteStream {
		return x.stream(a)
	}
	return x.whole(a)
}

// failed judges an attempt without an answer.
func (x *attempt) failed(ctx context.Context, err error) (result, fleet.Outcome) {
	x.why = err.Error()
	var not conn.NotSentError
	switch {
	case x.req.Context().Err() != nil && x.route.Repeatable():
		return stop{errAbandoned.Error()}, fleet.Neutral
	case errors.As(err, &not) && ctx.Err() != nil:
		return again{why: "no connection in time"}, fleet.Neutral
	case errors.As(err, &not):
		return again{why: "no connection"}, fleet.Unreached
	}
	return again{why: "no answer", ran: true}, fleet.Broke
}

// drop reads the rest of a short answer, so that its connection can be used
// again.
func (x *attempt) drop(a *conn.Answer) {
	if a.Length < 0 || a.Length > wholeAnswer {
		return
	}
	// A fault here only costs the connection.
	_, _ = io.Copy(io.Discard, a)
}

// failure keeps an answer that is no success, to be passed on unless another
// attempt succeeds.
func (x *attempt) failure(a *conn.Answer) (result, fleet.Outcome) {
	body, err := io.ReadAll(io.LimitReader(a, wholeAnswer+1))
	x.why = http.StatusText(a.Status)
	outcome := fleet.Failed
	if a.Status == http.StatusGatewayTimeout {
		outcome = fleet.Neutral // its time was over
	}
	if err == nil && len(body) <= wholeAnswer && !x.started {
		x.call.failure = &failure{a.Status, a.Header, body}
	}
	return again{why: "the backend server failed", ran: true}, outcome
}

// whole passes on an answer that is no stream.
func (x *attempt) whole(a *conn.Answer) (result, fleet.Outcome) {
	if a.Length > wholeAnswer {
		return x.long(a)
	}
	body, err := io.ReadAll(io.LimitReader(a, wholeAnswer))
	if err != nil {
		x.why = "broke off: " + err.Error()
		return again{why: "the answer broke off", ran: true}, fleet.Broke
	}
	if len(body) == wholeAnswer {
		x.why = "an answer without a length is too long"
		return again{why: x.why, ran: true}, fleet.Broke
	}
	a.Close()
	platform.CopyAnswer(a.Header, x.w.Header())
	x.answer(a.Status, body)
	return done{}, fleet.Good
}

// long passes on a long answer as it arrives.
func (x *attempt) long(a *conn.Answer) (result, fleet.Outcome) {
	platform.CopyAnswer(a.Header, x.w.Header())
	x.w.Header()["Content-Length"] = a.Header["Content-Length"]
	x.w.WriteHeader(a.Status)
	x.started = true
	n, err := io.Copy(x.w, a)
	if err != nil || n != a.Length {
		x.why = "broke off"
		return stop{"the answer broke off"}, fleet.Broke
	}
	x.end("served", a.Status)
	return done{}, fleet.Good
}
