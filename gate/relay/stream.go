package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"citronledge.example/core/plan"
	"citronledge.example/gate/conn"
	"citronledge.example/gate/fleet"
	"citronledge.example/platform"
)

const (
	// readSize is the size of the buffer of a stream, in bytes. An event is
	// about 100 bytes.
	readSize = 4 << 10
	// mostEvent bounds one event, in bytes.
	mostEvent = 256 << 10
	// writeMargin after the deadline a write to the caller fails.
	writeMargin = time.Second
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream passes on whole events as they arrive. What is left of an event when
// the backend server breaks off is dropped: the next run sends it again.
func (x *attempt) stream(a *conn.Answer) (result, fleet.Outcome) {
	control := http.NewResponseController(x.w)
	// A writer without deadlines, as in tests, is bounded by the request. The
	// deadline must not stay for the next request of the connection.
	_ = control.SetWriteDeadline(x.deadline.Add(writeMargin))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	buf := make([]byte, 0, readSize)
	last := time.Now()
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= mostEvent {
				x.why = "an event is too long"
				return again{why: x.why, ran: true}, fleet.Broke
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := a.Read(buf[len(buf):cap(buf)])
		now := time.Now()
		x.pause, last = max(x.pause, now.Sub(last)), now
		buf = buf[:len(buf)+n]
		whole := bytes.LastIndex(buf, eventEnd)
		if whole >= 0 {
			whole += len(eventEnd)
		} else {
			whole = 0
		}
		if errors.Is(err, io.EOF) {
			whole = len(buf)
		}
		if whole > 0 || errors.Is(err, io.EOF) && !x.started {
			if e := x.pass(control, a, buf[:whole]); e != nil {
				x.why = "caller: " + e.Error()
				return stop{errAbandoned.Error()}, fleet.Neutral
			}
			buf = buf[:copy(buf, buf[whole:])]
		}
		switch {
		case errors.Is(err, io.EOF):
			a.Close()
			x.r.streamed(time.Since(x.began)-x.latency, x.head.Output)
			x.end("served", a.Status)
			return done{}, fleet.Good
		case err != nil:
			return x.broken(err)
		}
	}
}

// pass writes whole events to the caller.
func (x *attempt) pass(control *http.ResponseController, a *conn.Answer, events []byte) error {
	if !x.started {
		// Only now: an earlier run may have broken off before its first event.
		// The length is left out, as the stream may go on in another run.
		platform.CopyAnswer(a.Header, x.w.Header())
		x.w.WriteHeader(a.Status)
		x.started = true
	}
	if id := lastID(events); id != "" {
		x.last = id
	}
	x.events += bytes.Count(events, eventEnd)
	if x.events >= judgeEvents {
		x.pace()
	}
	x.r.metrics.events.Inc()
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return control.Flush()
}

// broken judges a stream that its backend server did not end.
func (x *attempt) broken(err error) (result, fleet.Outcome) {
	x.why = "broke off: " + err.Error()
	switch {
	case x.req.Context().Err() != nil:
		return stop{errAbandoned.Error()}, fleet.Neutral
	case !time.Now().Before(x.deadline):
		return stop{"the time is over"}, fleet.Neutral
	case x.started && x.route.Type == plan.RouteStream && !x.route.Resumable:
		return stop{"the stream broke off and cannot be resumed"}, fleet.Broke
	}
	return again{why: "the stream broke off", ran: true}, fleet.Broke
}

// lastID returns the id of the last event.
func lastID(events []byte) string {
	i := bytes.LastIndex(events, idField)
	for i > 0 && events[i-1] != '\n' {
		i = bytes.LastIndex(events[:i], idField)
	}
	if i < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(events[i+len(idField):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
