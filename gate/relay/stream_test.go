package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"citronledge.example/stub/runner"
)

// A stream whose backend server breaks off is resumed at another one, without a
// missing or repeated event, under the head of its first run.
func TestResume(t *testing.T) {
	r := newRig(t, brokenStream(3), brokenStream(3))
	r.resume(3)
	got := r.send(http.MethodPost, "/stream/x", "1", nil)
	if want := events(1, 9); got.err != nil || got.body != want {
		t.Errorf("got %q (%v), want %q", got.body, got.err, want)
	}
	if got := got.header.Values("Server-Signature"); len(got) != 1 {
		t.Errorf("got signatures %q, want the one of the first run", got)
	}
}

// resume makes each runner serve the rest of a stream that another one began.
func (r *rig) resume(last int) {
	for _, x := range r.runners {
		x.SetReply(func(c net.Conn, q *runner.Request) bool {
			if q.Header.Get("Last-Event-Id") == fmt.Sprint(last) {
				return runner.Events(last+1, 9, 0, "")(c, q)
			}
			return brokenStream(last)(c, q)
		})
	}
}

// The head of a run that broke off before its first event must not remain in the
// answer, which would carry the signatures of two runs.
func TestHeadOfLostRun(t *testing.T) {
	lost := runner.ReplyRawAndClose(func(r *runner.Request) string {
		return runner.ResponseHead(200, r, "X-Run: lost\r\nTransfer-Encoding: chunked\r\n\r\n")
	})
	r := newRig(t, lost, lost)
	for i := range 4 { // whichever server is asked first
		r.runners[i%2].SetReply(lost)
		r.runners[1-i%2].SetReply(runner.Events(1, 3, 0, "X-Run: whole\r\n"))
		got := r.send(http.MethodPost, "/stream/x", fmt.Sprint(i), nil)
		if got.status != 200 || got.body != events(1, 3) {
			t.Fatalf("got %d %q (%v)", got.status, got.body, got.err)
		}
		if got, want := strings.Join(got.header["X-Run"], "|"), "whole"; got != want {
			t.Errorf("got runs %q in the head, want %q", got, want)
		}
	}
}

// TestFramedEndInEvent guards against a stream that ends inside an event in a
// proper frame, as by a proxy whose server has failed: callers got a part of an
// event as the end of a complete answer.
func TestFramedEndInEvent(t *testing.T) {
	chunks := func(body string) string {
		if body != "" {
			body = runner.Chunk(body)
		}
		return "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n"
	}
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	const eventType = "Content-Type: text/event-stream\r\n"
	crlf := strings.ReplaceAll(events(1, 2), "\n", "\r\n")
	whole := events(1, 4)
	for name, x := range map[string]struct {
		answer string // of the first run: its head from the content type on, and its body
		want   string // what the caller gets
	}{
		"in chunks":              {eventType + chunks(events(1, 2)+"id: 3\ndata: ev"), whole},
		"with a length":          {eventType + length(events(1, 2)+"id: 3\ndata: ev"), whole},
		"without a type":         {chunks(events(1, 2) + "id: 3"), whole},
		"within the first event": {eventType + chunks("id: 1\nda"), whole},
		"before the blank line":  {eventType + chunks(strings.TrimSuffix(events(1, 3), "\n")), whole},
		"in a comment":           {eventType + chunks(events(1, 2)+": still"), whole},
		"CR LF, in an event":     {eventType + chunks(crlf+"id: 3\r\ndata: ev"), crlf + events(3, 4)},
		"after a comment":        {eventType + chunks(events(1, 4)+": end\n"), events(1, 4) + ": end\n"},
		"after a further line":   {eventType + chunks(events(1, 4)+"\n"), events(1, 4) + "\n"},
		"lines end with CR LF":   {eventType + chunks(crlf), crlf},
		"lines end with CR":      {eventType + chunks("id: 1\rdata: a\r\r"), "id: 1\rdata: a\r\r"},
		"another type":           {"Content-Type: application/json\r\n" + chunks("{}"), "{}"},
		"no event in a frame":    {eventType + chunks(""), ""},
	} {
		t.Run(name, func(t *testing.T) {
			var begun atomic.Bool
			reply := func(c net.Conn, q *runner.Request) bool {
				if begun.Swap(true) {
					return fromLastEvent(4)(c, q)
				}
				return runner.Write(c, runner.ResponseHead(http.StatusOK, q, x.answer))
			}
			r := newRig(t, reply, reply)
			if got := r.send(http.MethodPost, "/stream/x", "1", nil); got.err != nil || got.body != x.want {
				t.Errorf("got %q (%v), want %q", got.body, got.err, x.want)
			}
		})
	}
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		return runner.Write(c, runner.ResponseHead(http.StatusOK, q, eventType+chunks(events(1, 2)+"id: 3\ndata: ev")))
	})
	r.onceStreams()
	if got := r.send(http.MethodPost, "/stream/x", "1", nil); got.err == nil || got.body != events(1, 2) {
		t.Errorf("a stream that cannot be resumed: got %q (%v), want its whole events and an error", got.body, got.err)
	}
}

// A stream that cannot be resumed must not look complete.
func TestCutStream(t *testing.T) {
	r := newRig(t, brokenStream(2))
	got := r.send(http.MethodPost, "/stream/x", "1", nil)
	if got.err == nil {
		t.Errorf("got a complete stream %q", got.body)
	}
	if got.body != events(1, 2) {
		t.Errorf("got %q, want the whole events %q", got.body, events(1, 2))
	}
}

// An unsuccessful answer of the next server must not become a part of a stream
// that has begun, nor end it as if it were complete.
func TestErrorWithinStream(t *testing.T) {
	answer := func(status int, more, body string) runner.Reply {
		return func(c net.Conn, q *runner.Request) bool {
			runner.Write(c, runner.ResponseHead(status, q, more+"\r\n"+body))
			return false
		}
	}
	for name, next := range map[string]runner.Reply{
		"404":                   answer(404, "Content-Length: 7\r\n", "unknown"),
		"409 of events":         answer(409, "Content-Length: 12\r\n", "data: no\n\n\n\n"),
		"400 in chunks":         answer(400, "Transfer-Encoding: chunked\r\n", "2\r\nno\r\n0\r\n\r\n"),
		"410 until the end":     answer(410, "", "gone"),
		"302":                   answer(302, "Content-Length: 0\r\nLocation: /\r\n", ""),
		"500":                   answer(500, "Content-Length: 6\r\n", "broken"),
		"429 with Not-Executed": answer(429, "Not-Executed: 1\r\nContent-Length: 4\r\n", "full"),
		"204":                   answer(204, "", ""),
		"a page":                answer(200, "Content-Type: text/html\r\nContent-Length: 9\r\n", "<p>busy\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			broken := brokenStream(3)
			var begun atomic.Bool
			reply := func(c net.Conn, q *runner.Request) bool {
				if begun.CompareAndSwap(false, true) {
					return broken(c, q)
				}
				return next(c, q)
			}
			r := newRig(t, reply)
			r.list = append(r.list, r.list[0], r.list[0])
			r.list[1].ID, r.list[2].ID = "s1", "s2" // the same runner under other names
			r.fleet.Update(r.list)
			got := r.send(http.MethodPost, "/stream/x", "1", nil)
			if got.status != 200 || got.body != events(1, 3) || got.err == nil {
				t.Errorf("got status %d with %q (%v), want the three events and an incomplete body", got.status, got.body, got.err)
			}
		})
	}
}
