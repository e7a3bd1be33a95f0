package relay

import (
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// streamTimes learns how long requests for streams take. The wait for the first
// event includes retries and dropped answers and does not depend on the length
// of the stream; the rest does. Relay.mu guards it.
type streamTimes struct {
	waits policy.DurationEstimator // of one token each
	rest  policy.DurationEstimator
}

// upperBound returns a time that hardly any request for a stream exceeds; 0 if
// too few were observed. Its first event comes no sooner than after reading.
func (t *streamTimes) upperBound(tokens ident.Tokens, reading time.Duration, now time.Time) time.Duration {
	wait, rest := t.waits.UpperBound(1, now), t.rest.UpperBound(int64(tokens), now)
	if wait == 0 || rest == 0 {
		return 0
	}
	return max(wait, reading) + rest
}

// streamTimer counts one request for a stream from its acceptance to its end.
type streamTimer struct {
	r       *Relay
	tokens  ident.Tokens
	waiting *policy.Running // until the first event
	running *policy.Running // from then on; nil before
}

func (r *Relay) startStreamTimer(tokens ident.Tokens, start time.Time) *streamTimer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &streamTimer{r: r, tokens: tokens, waiting: r.streamTimes.waits.Begin(1, start)}
}

// firstEvent records that the first event has been passed on.
func (t *streamTimer) firstEvent() {
	now := time.Now()
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	t.r.streamTimes.waits.End(t.waiting, true, now)
	t.running = t.r.streamTimes.rest.Begin(int64(t.tokens), now)
}

// end records the end of the stream, which is learnt from if it is whole.
func (t *streamTimer) end(whole bool) {
	now := time.Now()
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	if t.running == nil {
		t.r.streamTimes.waits.End(t.waiting, false, now)
		return
	}
	t.r.streamTimes.rest.End(t.running, whole, now)
}

// streamUpperBound returns a time that hardly any request for a stream exceeds;
// 0 if it is not known. reading is the time that its prompt needs, at all models
// that may be asked one after the other. observed is how long streams have been
// observed.
func (r *Relay) streamUpperBound(tokens ident.Tokens, reading time.Duration, now time.Time) (bound, observed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streamTimes.upperBound(tokens, reading, now), r.streamTimes.rest.ObservedFor(now)
}

// answerUpperBound returns the same for a route that is no stream.
func (r *Relay) answerUpperBound(route ident.Route, now time.Time) (bound, observed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.answerTimes[route]; e != nil {
		return e.UpperBound(1, now), e.ObservedFor(now)
	}
	return 0, 0
}

// timeAnswer counts a request that is no stream from its acceptance until the
// returned function is called, which says whether the caller has a whole answer.
func (r *Relay) timeAnswer(route ident.Route, start time.Time) (end func(whole bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.answerTimes[route]
	if e == nil {
		e = &policy.DurationEstimator{}
		r.answerTimes[route] = e
	}
	running := e.Begin(1, start)
	return func(whole bool) {
		now := time.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		e.End(running, whole, now)
	}
}
