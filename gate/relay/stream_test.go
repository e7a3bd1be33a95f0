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
