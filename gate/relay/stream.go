package relay

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"citronledge.example/core/crash"
	"citronledge.example/core/plan"
	"citronledge.example/gate/conn"
	"citronledge.example/gate/fleet"
	"citronledge.example/platform"
)

const (
	// initialBufferBytes is the first size of a stream's buffer. An event is
	// about 100 bytes.
	initialBufferBytes = 4 << 10
	// maxEventBytes limits one event.
	maxEventBytes = 256 << 10
	// eventStreamType is the content type of streams.
	eventStreamType = "text/event-stream"
)

// isEventStream reports whether an answer consists of events. Servers may leave
// out the content type.
func isEventStream(a *conn.Answer) bool {
	contentType, _, err := mime.ParseMediaType(a.Header.Get("Content-Type"))
	return a.Status == http.StatusOK && (err != nil || contentType == eventStreamType)
}

// isWhole reports whether an answer that has ended is complete, given what
// followed its last whole event and whether the caller has or gets events. Its
// framing doesn't tell: a proxy in front of a server that has failed may end the
// last chunk properly.
func isWhole(a *conn.Answer, rest []byte, begun bool) bool {
	switch {
	case isEventStream(a) && endsInEvent(rest):
		return false
	case a.EndsWithConnection():
		return len(rest) == 0 && begun
	}
	return true
}

// relayStream passes on whole events as they arrive. If the backend server
// breaks off, an incomplete event is dropped: the next run sends it again.
func (x *attempt) relayStream(a *conn.Answer) (decision, fleet.Outcome) {
	control := http.NewResponseController(x.w)
	stall := x.watchStall(a)
	defer stall.Stop()
	buf := make([]byte, 0, initialBufferBytes)
	lastRead := time.Now()
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxEventBytes {
				x.detail = "an event is too long"
				return retry{reason: x.detail}, fleet.Broke
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := a.Read(buf[len(buf):cap(buf)])
		now := time.Now()
		x.longestPause, lastRead = max(x.longestPause, now.Sub(lastRead)), now
		buf = buf[:len(buf)+n]
		complete := wholeEvents(buf)
		if errors.Is(err, io.EOF) {
			if isWhole(a, buf[complete:], complete > 0 || x.headSent) {
				complete = len(buf)
			} else {
				err = io.ErrUnexpectedEOF
			}
		}
		if isProgress(buf[:complete]) {
			stall.Heard()
		}
		if complete > 0 || errors.Is(err, io.EOF) && !x.headSent {
			switch e := x.writeEvents(control, a, buf[:complete]); {
			case errors.Is(e, errStopping):
				x.detail = e.Error()
				return giveUp{x.detail}, fleet.Neutral
			case e != nil:
				x.detail = "caller: " + e.Error()
				return giveUp{errCallerLeft.Error()}, fleet.Neutral
			}
			buf = buf[:copy(buf, buf[complete:])]
		}
		switch {
		case errors.Is(err, io.EOF):
			a.Close()
			x.recordSound()
			x.recordEnd("served", a.Status)
			return answered{}, fleet.Good
		case err != nil && stall.Stop():
			x.detail = "no event for " + x.stallTimeout.String()
			return x.streamBroken(errStalled)
		case err != nil:
			x.breakOff(err)
			return x.streamBroken(err)
		}
	}
}

// writeEvents passes whole events on to the caller.
func (x *attempt) writeEvents(control *http.ResponseController, a *conn.Answer, events []byte) error {
	if !x.headSent {
		// The head is sent only with the first events, since an earlier run may
		// have broken off before them. The length is left out, as another run
		// may resume the stream.
		if !x.beginAnswer() {
			return errStopping
		}
		platform.CopyAnswerHeaders(a.Header, x.w.Header())
		x.w.WriteHeader(a.Status)
		x.streamTimer.firstEvent()
	}
	if x.eventsSent == 0 {
		x.answerBegun()
	}
	x.recordProgress()
	if id := lastEventIDOf(events); id != "" {
		x.lastEventID = id
	}
	x.eventsSent += countEvents(events)
	if x.eventsSent >= speedCheckEvents {
		x.recordSpeed()
	}
	x.r.metrics.streamReads.Inc()
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return control.Flush()
}

// breakOff records that the answer ended with err in the middle.
func (x *attempt) breakOff(err error) {
	x.detail = "broke off: " + err.Error()
	if x.req.Context().Err() != nil {
		return
	}
	x.brokenOff = true
	progress := crash.Part
	if x.route.Type == plan.RouteStream && x.eventsSent == 0 {
		progress = crash.Head
	}
	x.serverEnded(err, progress)
}

// streamBroken decides what follows a stream that its backend server did not
// end.
func (x *attempt) streamBroken(err error) (decision, fleet.Outcome) {
	switch {
	case x.req.Context().Err() != nil:
		return giveUp{errCallerLeft.Error()}, fleet.Neutral
	case !time.Now().Before(x.deadline):
		return giveUp{"the time is over"}, fleet.Neutral
	case x.headSent && x.route.Type == plan.RouteStream && !x.route.Resumable:
		return giveUp{"the stream broke off and cannot be resumed"}, fleet.Broke
	case errors.Is(err, errStalled):
		return retry{reason: errStalled.Error(), paid: true}, fleet.Broke
	}
	return retry{reason: "the stream broke off"}, fleet.Broke
}
