package relay_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"citronledge.example/stub/runner"
)

// A server whose answers say that it leaves gets no more requests, though the
// list of backend servers still calls it ready.
func TestServerThatSaysItLeaves(t *testing.T) {
	leaving := func(c net.Conn, q *runner.Request) bool {
		return runner.Write(c, runner.ResponseHead(200, q, "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
	}
	r := newRig(t, leaving, runner.OK("ok"))
	r.fleet.Update(r.list[:1])
	r.send("GET", "/safe/x", "first", nil)
	r.fleet.Update(r.list)
	const requests = 20
	for i := range requests {
		if got := r.send("GET", "/safe/x", fmt.Sprint("r", i), nil); got.status != 200 {
			t.Fatalf("request %d: got status %d, want 200", i, got.status)
		}
	}
	if got := len(r.runners[0].Requests()); got != 1 {
		t.Errorf("the leaving server got %d requests, want only the first", got)
	}
}

// A server that refuses with a Retry-After gets no requests of this gate before
// that time, and then some again.
func TestServerThatAsksForPause(t *testing.T) {
	const pause = 300 * time.Millisecond
	refusal := func(c net.Conn, q *runner.Request) bool {
		return runner.Write(c, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nRetry-After: %v\r\nContent-Length: 0\r\n\r\n", q.AttemptID(), pause.Seconds()))
	}
	r := newRig(t, refusal)
	start := time.Now()
	for i := 0; time.Since(start) < pause/2; i++ {
		got := r.send("POST", "/once/x", fmt.Sprint("r", i), nil)
		if got.status != 503 || got.header.Get("Retry-After") == "" {
			t.Fatalf("got status %d with Retry-After %q, want 503 with one", got.status, got.header.Get("Retry-After"))
		}
	}
	if got := r.runs(); got != 1 {
		t.Errorf("the server got %d requests during its pause, want only the first", got)
	}
	r.runners[0].SetReply(runner.OK("ok"))
	r.until("the pause ends", func() bool { return r.send("POST", "/once/x", "last", nil).status == 200 })
	if took := time.Since(start); took < pause {
		t.Errorf("the server got a request after %v, want a pause of %v", took, pause)
	}
}
