package relay_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citronledge.example/stub/runner"
)

// endless answers with a head and then with a block of bytes again and again,
// until the gate closes the connection.
func endless(head func(r *runner.Request) string, block string) runner.Reply {
	return func(c net.Conn, r *runner.Request) bool {
		_, err := io.WriteString(c, head(r))
		for err == nil {
			_, err = io.WriteString(c, block)
		}
		return false
	}
}

// A server that sends bytes without end costs its caller neither the time until
// the deadline nor, where the route allows it, the answer of another server.
func TestEndless(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	block := strings.Repeat("x", 4<<10)
	status := func(*runner.Request) string { return "HTTP/1.1 200 OK\r\n" }
	chunked := func(r *runner.Request) string {
		return runner.ResponseHead(200, r, "Transfer-Encoding: chunked\r\n\r\n")
	}
	replies := map[string]runner.Reply{
		"header line":     endless(status, block),
		"header lines":    endless(status, strings.Repeat("A: x\r\n", 500)),
		"interim answers": endless(func(*runner.Request) string { return "" }, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 200)),
	}
	stream := map[string]runner.Reply{
		"line":  endless(chunked, runner.Chunk(block)),
		"lines": endless(chunked, runner.Chunk(strings.Repeat("data: x\n", 500))),
	}
	for name, reply := range replies {
		stream[name] = reply
		t.Run("safe "+name, func(t *testing.T) {
			t.Parallel()
			testEndless(t, newRig(t, reply, runner.OK("ok")), "/safe/x", deadline, 200, "ok")
		})
		t.Run("once "+name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, reply)
			testEndless(t, r, "/once/x", deadline, 502, "")
			if got := r.runs(); got != 3 {
				t.Errorf("got %d runs of 3 requests that may run once", got)
			}
		})
	}
	for name, reply := range stream {
		t.Run("stream "+name, func(t *testing.T) {
			t.Parallel()
			testEndless(t, newRig(t, reply, runner.Events(1, 3, 0, "")), "/stream/x", deadline, 200, events(1, 3))
		})
	}
}

// testEndless sends three requests, so that at least one meets the endless
// server first, and checks their answers.
func testEndless(t *testing.T, r *rig, target string, deadline time.Duration, status int, body string) {
	t.Helper()
	for _, id := range []string{"1", "2", "3"} {
		start := time.Now()
		got := r.send(http.MethodPost, target, id, map[string]string{"Deadline-Ms": "1500"})
		if got.err != nil || got.status != status || body != "" && got.body != body {
			t.Errorf("got %d %q (%v), want %d %q", got.status, got.body, got.err, status, body)
		}
		if took := time.Since(start); took > deadline {
			t.Errorf("got the answer after %v, want it before the deadline", took)
		}
	}
}

// Answers of every length must arrive whole, also those without a stated length
// and those at the limit of what is buffered.
func TestLengths(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "at the limit": 64 << 10, "over the limit": 64<<10 + 1, "long": 1 << 20} {
		body := strings.Repeat("x", size)
		for framing, reply := range map[string]runner.Reply{
			"length": runner.OK(body),
			"chunks": func(c net.Conn, r *runner.Request) bool {
				chunks := ""
				if size > 0 {
					chunks = runner.Chunk(body)
				}
				_, err := io.WriteString(c, runner.ResponseHead(200, r, "Transfer-Encoding: chunked\r\n\r\n"+chunks+"0\r\n\r\n"))
				return err == nil
			},
			"end of connection": runner.ReplyRawAndClose(func(r *runner.Request) string { return runner.ResponseHead(200, r, "\r\n"+body) }),
		} {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				got := newRig(t, reply).send(http.MethodGet, "/safe/x", "1", nil)
				if got.err != nil || got.status != 200 || got.body != body {
					t.Errorf("got %d with %d bytes (%v), want 200 with %d", got.status, len(got.body), got.err, size)
				}
			})
		}
	}
}

// A body without a length that never ends must not look complete.
func TestEndlessBody(t *testing.T) {
	r := newRig(t, endless(func(r *runner.Request) string { return runner.ResponseHead(200, r, "\r\n") }, strings.Repeat("x", 64<<10)))
	if got := r.send(http.MethodGet, "/safe/x", "1", nil); got.err == nil {
		t.Errorf("got %d with %d bytes and no error", got.status, len(got.body))
	}
}

// A caller that stops reading must not hold its request, and the memory that
// goes with it, beyond the deadline.
func TestCallerStopsReading(t *testing.T) {
	const limit = 10 * time.Second // far beyond the deadline
	r := newRig(t, runner.OK(strings.Repeat("x", 64<<20)))
	done := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer func() { done <- struct{}{} }()
		r.relay.ServeHTTP(w, req)
	}))
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 200\r\nKey: "+key+"\r\n\r\n")
	select {
	case <-done:
	case <-time.After(limit):
		t.Error("the request of a caller that does not read is still held")
	}
}
