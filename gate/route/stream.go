package route

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
)

// maxEfforts bounds the attempts for a stream that breaks again and again.
const maxEfforts = 8

const doneEvent = "data: [DONE]\n\n"

var (
	eventEnd = []byte("\n\n")
	dataLine = []byte("data:")
	doneMark = []byte("[DONE]")
	content  = []byte(`"content"`)
	finish   = []byte(`"finish_reason"`)
	usage    = []byte(`"usage"`)
)

// live passes the events of a streamed reply on to the caller, each only when
// it is complete. A reply that is no stream of events is collected instead.
type live struct {
	answer

	x     *run
	claim func() bool
	won   bool
	// part is the start of an event whose end has not come yet.
	part []byte
	// keep collects the events for the rating service.
	keep bool
}

// keepSize bounds the part of a stream that is kept for its rating.
const keepSize = 64 << 10 // bytes

// Chunk implements pool.Sink.
func (s *live) Chunk(data []byte) error {
	if !isEvents(s.head) {
		return s.answer.Chunk(data)
	}
	if !s.won {
		if !s.claim() {
			return errLost
		}
		s.won = true
		if !s.x.headed {
			s.x.r.tools.answered(s.x.req.Kind, streamOf(s.target.Model), time.Since(s.x.begun))
			if err := s.x.head(s.head); err != nil {
				return err
			}
		}
	}
	return s.feed(data)
}

func (s *live) end() error {
	if isEvents(s.head) {
		return nil // an unfinished event at the end is dropped
	}
	return s.answer.end()
}

// feed splits off the complete events and passes them on.
func (s *live) feed(data []byte) error {
	if len(s.part) > 0 {
		data = append(s.part, data...)
		s.part = nil
	}
	for {
		i := bytes.Index(data, eventEnd)
		if i < 0 {
			break
		}
		if err := s.event(data[:i+len(eventEnd)]); err != nil {
			return err
		}
		data = data[i+len(eventEnd):]
	}
	if len(data) > 0 {
		s.part = append([]byte(nil), data...)
	}
	return nil
}

// event passes on one event. The end of the stream is told by the router,
// after the bill. A resumed stream repeats no event without a token.
func (s *live) event(e []byte) error {
	if rest, ok := bytes.CutPrefix(e, dataLine); ok && bytes.Equal(bytes.TrimSpace(rest), doneMark) {
		return nil
	}
	token := filled(e, content)
	if !token && s.x.resumed && !filled(e, finish) && !filled(e, usage) {
		return nil
	}
	if err := s.x.write(e); err != nil {
		return err
	}
	if s.keep && len(s.body) < keepSize {
		s.body = append(s.body, e...)
	}
	if token {
		s.x.sent++
		s.x.first()
	}
	return nil
}

// filled tells whether an event has the quoted field with a value other than
// null or "". Engines send one token in each event with content, which is what
// Work.resume counts. The events are not decoded, since there are millions of
// them; inside a text the quotes of a name would be escaped.
func filled(e, field []byte) bool {
	for {
		i := bytes.Index(e, field)
		if i < 0 {
			return false
		}
		e = e[i+len(field):]
		value, ok := bytes.CutPrefix(bytes.TrimLeft(e, " "), []byte(":"))
		value = bytes.TrimLeft(value, " ")
		if ok && !bytes.HasPrefix(value, []byte("null")) && !bytes.HasPrefix(value, []byte(`""`)) {
			return true
		}
	}
}

// first notes the time to the first token.
func (x *run) first() {
	if x.sent == 1 && !x.resumed {
		x.rec.TimeToFirstToken = time.Since(x.start)
	}
}

// stream passes a streamed answer on as it comes. Before the first event it is
// retried like a whole answer. After that it goes on on another backend server
// at the token where it broke off, on the same version only.
func (x *run) stream(ctx context.Context, model ident.Model) error {
	var avoid ident.Backend
	var target ident.Target
	x.tries, x.begun = 0, time.Time{}
	for had := 0; ; had = x.sent {
		if !x.headed {
			t, reason, err := x.target(ctx, model)
			if err != nil {
				return err
			}
			x.rec.version(reason)
			target = t
			x.starts()
		}
		e := effort{need: x.need(target), avoid: avoid, stream: true, live: true, resume: x.sent}
		keep := !x.headed && x.r.wanted(x, target)
		l := x.raced(ctx, e, func(claim func() bool) contender {
			return &live{x: x, claim: claim, keep: keep, answer: answer{target: target}}
		})
		if l.err == nil {
			s, _ := l.sink.(*live)
			err := x.finish(ctx, s)
			if err == nil && s.keep && isEvents(s.head) {
				x.r.ask(x, &s.answer, ratingsLater)
			}
			return err
		}
		// An effort that brought tokens was no waste: going on repeats none of
		// them, so it counts neither as a try nor as extra work.
		if x.sent > had && x.rec.attempts() < maxEfforts && ctx.Err() == nil && x.leased() == nil {
			x.tries = 0
		} else if !x.again(ctx, l) {
			return x.breakOff(ctx, l.err)
		}
		avoid = l.id
		if x.headed {
			x.resumed = true
			x.r.metrics.resumes.Inc()
		}
	}
}

// finish ends a stream that came to its end: first the bill, then the event
// that tells the caller that the answer is complete.
func (x *run) finish(ctx context.Context, s *live) error {
	if !isEvents(s.head) {
		if x.headed {
			return x.breakOff(ctx, fault.New(fault.Upstream, "the answer broke off and could not go on; send the request again"))
		}
		return x.deliver(ctx, &s.answer)
	}
	x.bill(ctx)
	if !x.headed { // an empty stream
		if err := x.head(s.head); err != nil {
			return err
		}
	}
	return x.write([]byte(doneEvent))
}

// breakOff ends a stream that failed. A caller that has a part of it gets an
// error event and no [DONE].
func (x *run) breakOff(ctx context.Context, err error) error {
	if !x.headed || ctx.Err() == context.Canceled {
		return err
	}
	f := fault.From(err)
	if f == errMoved {
		f = fault.New(fault.Upstream, "the answer broke off and its version was withdrawn meanwhile; send the request again")
	}
	x.broken = true
	x.rec.note("broken off: " + string(f.Kind))
	object := f.Object()
	object.Error.Ran = "unknown"
	data, merr := json.Marshal(object)
	if merr != nil {
		return merr
	}
	x.bill(ctx)
	return x.write(append(append([]byte("data: "), data...), eventEnd...))
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
	for event := range bytes.SplitSeq(a.body, eventEnd) {
		r = reply{}
		if json.Unmarshal(bytes.TrimPrefix(event, dataLine), &r) == nil && len(r.Choices) > 0 {
			text.WriteString(r.Choices[0].Delta.Content)
		}
	}
	return text.String()
}
