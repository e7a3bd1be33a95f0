package route

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
)

// maxStreamAttempts bounds the attempts for a stream that breaks off repeatedly.
const maxStreamAttempts = 8

const doneEvent = "data: [DONE]\n\n"

var (
	eventSeparator    = []byte("\n\n")
	dataPrefix        = []byte("data:")
	doneMarker        = []byte("[DONE]")
	contentField      = []byte(`"content"`)
	finishReasonField = []byte(`"finish_reason"`)
	usageField        = []byte(`"usage"`)
)

// streamSink writes the events of a streamed reply to the caller, each once it is
// complete. It collects a reply that is not an event stream.
type streamSink struct {
	answer

	x       *execution
	claim   func() bool
	wonRace bool
	// partialEvent is the start of an event that is not complete yet.
	partialEvent []byte
	// keepForRating makes the sink collect the events for the rating service.
	keepForRating bool
}

// maxRatedBytes bounds the part of a stream that is kept for its rating.
const maxRatedBytes = 64 << 10

// Chunk implements pool.ReplySink.
func (s *streamSink) Chunk(data []byte) error {
	if !isEvents(s.head) {
		return s.answer.Chunk(data)
	}
	if !s.wonRace {
		if !s.claim() {
			return errRaceLost
		}
		s.wonRace = true
		if !s.x.headWritten {
			s.x.r.adaptive.observeLatency(s.x.req.Kind, streamLatencyKey(s.target.Model), time.Since(s.x.firstAttempt))
			if err := s.x.writeHead(s.head); err != nil {
				return err
			}
		}
	}
	return s.passEvents(data)
}

func (s *streamSink) checkReply() error {
	if isEvents(s.head) {
		return nil // an unfinished event at the end is dropped
	}
	return s.answer.checkReply()
}

// passEvents writes the complete events in data to the caller.
func (s *streamSink) passEvents(data []byte) error {
	if len(s.partialEvent) > 0 {
		data = append(s.partialEvent, data...)
		s.partialEvent = nil
	}
	for {
		i := bytes.Index(data, eventSeparator)
		if i < 0 {
			break
		}
		if err := s.passEvent(data[:i+len(eventSeparator)]); err != nil {
			return err
		}
		data = data[i+len(eventSeparator):]
	}
	if len(data) > 0 {
		s.partialEvent = append([]byte(nil), data...)
	}
	return nil
}

// passEvent writes one event to the caller. It drops the [DONE] event, which the
// router writes after the bill is committed. A resumed stream does not repeat
// events without a token, except those with a finish reason or the usage.
func (s *streamSink) passEvent(event []byte) error {
	if rest, ok := bytes.CutPrefix(event, dataPrefix); ok && bytes.Equal(bytes.TrimSpace(rest), doneMarker) {
		return nil
	}
	hasToken := hasValue(event, contentField)
	if !hasToken && s.x.resumed && !hasValue(event, finishReasonField) && !hasValue(event, usageField) {
		return nil
	}
	if err := s.x.writeBody(event); err != nil {
		return err
	}
	if s.keepForRating && len(s.body) < maxRatedBytes {
		s.body = append(s.body, event...)
	}
	if hasToken {
		s.x.tokensSent++
		s.x.recordFirstToken()
	}
	return nil
}

// hasValue reports whether an event has the quoted field with a value other than
// null or "". Engines send one token in each event with content, and Work.resume
// counts these tokens. The events are not decoded, since there are millions of
// them. A field name inside a text does not match, because its quotes are escaped.
func hasValue(event, field []byte) bool {
	for {
		i := bytes.Index(event, field)
		if i < 0 {
			return false
		}
		event = event[i+len(field):]
		value, ok := bytes.CutPrefix(bytes.TrimLeft(event, " "), []byte(":"))
		value = bytes.TrimLeft(value, " ")
		if ok && !bytes.HasPrefix(value, []byte("null")) && !bytes.HasPrefix(value, []byte(`""`)) {
			return true
		}
	}
}

// recordFirstToken records the time to the first token.
func (x *execution) recordFirstToken() {
	if x.tokensSent == 1 && !x.resumed {
		x.record.TimeToFirstToken = time.Since(x.start)
	}
}

// streamAnswer writes a streamed answer to the caller as it arrives. Before the
// first event a failed attempt is retried like that of a whole answer. After it,
// the stream resumes on another backend server with the same version, at the token
// where it broke off.
func (x *execution) streamAnswer(ctx context.Context, model ident.Model) error {
	var avoid ident.Backend
	var target ident.Target
	x.failedTries, x.firstAttempt = 0, time.Time{}
	for sentBefore := 0; ; sentBefore = x.tokensSent {
		if !x.headWritten {
			t, reason, err := x.chooseTarget(ctx, model)
			if err != nil {
				return err
			}
			x.record.setVersionReason(reason)
			target = t
			x.markFirstAttempt()
		}
		spec := attemptSpec{need: x.need(target), avoid: avoid, stream: true, passThrough: true, resumeTokens: x.tokensSent}
		keep := !x.headWritten && x.r.wantsRating(x, target)
		res := x.tryWithHedge(ctx, spec, func(claim func() bool) replySink {
			return &streamSink{x: x, claim: claim, keepForRating: keep, answer: answer{target: target}}
		})
		if res.err == nil {
			s, _ := res.sink.(*streamSink)
			err := x.finishStream(ctx, s)
			if err == nil && s.keepForRating && isEvents(s.head) {
				x.r.requestRating(x, &s.answer, maxBackgroundRatingCalls)
			}
			return err
		}
		// A try that delivered tokens is neither counted as failed nor charged as
		// extra work, since the resumed stream does not generate them again.
		if x.tokensSent > sentBefore && x.record.attemptCount() < maxStreamAttempts && ctx.Err() == nil && x.checkLease() == nil {
			x.failedTries = 0
		} else if !x.shouldRetry(ctx, res) {
			return x.failStream(ctx, res.err)
		}
		avoid = res.backend
		if x.headWritten {
			x.resumed = true
			x.r.metrics.resumes.Inc()
		}
	}
}

// finishStream completes a stream: it commits the bill and then writes the [DONE]
// event, which tells the caller that the answer is complete. A reply that is not an
// event stream is delivered as a whole answer.
func (x *execution) finishStream(ctx context.Context, s *streamSink) error {
	if !isEvents(s.head) {
		if x.headWritten {
			return x.failStream(ctx, fault.New(fault.Upstream, "the answer broke off and could not go on; send the request again"))
		}
		return x.deliver(ctx, &s.answer)
	}
	x.commitBill(ctx)
	if !x.headWritten { // an empty stream
		if err := x.writeHead(s.head); err != nil {
			return err
		}
	}
	return x.writeBody([]byte(doneEvent))
}

// failStream ends a stream that failed. A caller that has received a part of it
// gets an error event and no [DONE].
func (x *execution) failStream(ctx context.Context, err error) error {
	if !x.headWritten || ctx.Err() == context.Canceled {
		return err
	}
	f := fault.From(err)
	if f == errVersionWithdrawn {
		f = fault.New(fault.Upstream, "the answer broke off and its version was withdrawn meanwhile; send the request again")
	}
	x.incomplete = true
	x.record.addNote("broken off: " + string(f.Kind))
	object := f.Object()
	object.Error.Ran = "unknown"
	data, merr := json.Marshal(object)
	if merr != nil {
		return merr
	}
	x.commitBill(ctx)
	return x.writeBody(append(append([]byte("data: "), data...), eventSeparator...))
}

// text returns the text of an answer for the rating service.
func (a *answer) text() string {
	type message struct {
		Content string `json:"content"`
	}
	type reply struct {
		Choices []struct {
			Message message `json:"message"`
			Delta   message `json:"delta"`
		} `json:"choices"`
	}
	var r reply
	if !isEvents(a.head) {
		if json.Unmarshal(a.body, &r) != nil || len(r.Choices) == 0 {
			return string(a.body)
		}
		return r.Choices[0].Message.Content
	}
	var text bytes.Buffer
	for event := range bytes.SplitSeq(a.body, eventSeparator) {
		r = reply{}
		if json.Unmarshal(bytes.TrimPrefix(event, dataPrefix), &r) == nil && len(r.Choices) > 0 {
			text.WriteString(r.Choices[0].Delta.Content)
		}
	}
	return text.String()
}
