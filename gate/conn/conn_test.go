package conn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"citronledge.example/gate/conn"
	"citronledge.example/stub/runner"
)

func start(t *testing.T, reply runner.Reply) (*runner.Backend, *conn.Pool) {
	t.Helper()
	r, err := runner.Start(reply)
	if err != nil {
		t.Fatal(err)
	}
	p := conn.New(r.Addr())
	t.Cleanup(func() { p.Close(); r.Close() })
	return r, p
}

func request(id string) *conn.Request {
	return &conn.Request{
		Method: http.MethodPost, Target: "/a//b/../c?x=%2F", Host: "h.example", Body: []byte("body"),
		Headers: []conn.Header{{Name: "Attempt-Id", Value: id}},
		Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("Attempt-Id") == id },
	}
}

func do(t *testing.T, p *conn.Pool, q *conn.Request) (string, bool) {
	t.Helper()
	a, err := p.Do(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	if err != nil {
		t.Fatal(err)
	}
	return string(body), a.Reused
}

// The request must arrive byte for byte as the caller sent it: a normalized
// path would make it another request.
func TestUnchanged(t *testing.T) {
	r, p := start(t, runner.OK("fine"))
	if got, _ := do(t, p, request("1")); got != "fine" {
		t.Fatalf("got body %q", got)
	}
	q := r.Requests()[0]
	if got, want := q.RequestURI, "/a//b/../c?x=%2F"; got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
	if got, want := q.Host+" "+string(q.Content), "h.example body"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A connection with bytes that belong to no request must never carry another
// request: its answer would be read from them.
func TestReuse(t *testing.T) {
	length := "Content-Length: 2\r\n"
	for name, x := range map[string]struct {
		reply  runner.Reply
		reused bool
		open   int // connections left open at the runner
	}{
		"whole":               {runner.OK("ok"), true, 1},
		"close":               {raw(length + "Connection: close\r\n\r\nok"), false, 0},
		"extra":               {raw(length + "\r\nokHTTP/1.1 200 OK\r\n\r\n"), false, 0},
		"no keep-alive time":  {raw(length + "Keep-Alive: timeout=0\r\n\r\nok"), false, 0},
		"long keep-alive":     {raw(length + "Keep-Alive: timeout=5\r\n\r\nok"), true, 1},
		"no body length":      {runner.ReplyRawAndClose(func(r *runner.Request) string { return runner.ResponseHead(200, r, "\r\nok") }), false, 0},
		"closed after answer": {runner.ReplyRawAndClose(func(r *runner.Request) string { return runner.ResponseHead(200, r, length+"\r\nok") }), false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := start(t, x.reply)
			do(t, p, request("1"))
			if !x.reused {
				waitClosed(t, r, x.open)
			}
			if body, got := do(t, p, request("2")); got != x.reused || body != "ok" {
				t.Errorf("got reused %v and body %q, want %v and ok", got, body, x.reused)
			}
		})
	}
}

// waitClosed waits until the runner has no more than the given number of open
// connections.
func waitClosed(t *testing.T, r *runner.Backend, open int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); r.OpenConns() > open; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections stay open, want %d", r.OpenConns(), open)
		}
	}
}

func raw(rest string) runner.Reply {
	return func(c net.Conn, r *runner.Request) bool {
		_, err := io.WriteString(c, runner.ResponseHead(200, r, rest))
		return err == nil
	}
}

// An answer to another request that arrives first is skipped, and the
// connection is not used again.
func TestForeign(t *testing.T) {
	_, p := start(t, func(c net.Conn, r *runner.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 5\r\n\r\nother"+
			runner.ResponseHead(200, r, "Content-Length: 3\r\n\r\nown"))
		return err == nil
	})
	if got, _ := do(t, p, request("1")); got != "own" {
		t.Errorf("got %q, want own", got)
	}
	if _, reused := do(t, p, request("2")); reused {
		t.Error("the connection was used again after an answer to another request")
	}
}

// The error says whether the request was sent, which decides whether it may be
// sent again.
func TestFailures(t *testing.T) {
	for name, x := range map[string]struct {
		reply runner.Reply
		sent  bool
	}{
		"closed":     {runner.ReplyRawAndClose(func(*runner.Request) string { return "" }), true},
		"not HTTP":   {runner.ReplyRawAndClose(func(*runner.Request) string { return "garbage\r\n\r\n" }), true},
		"foreign":    {runner.ReplyRawAndClose(func(*runner.Request) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }), true},
		"short head": {runner.ReplyRawAndClose(func(r *runner.Request) string { return runner.ResponseHead(200, r, "") }), true},
	} {
		t.Run(name, func(t *testing.T) {
			_, p := start(t, x.reply)
			_, err := p.Do(t.Context(), request("1"))
			var unanswered conn.UnansweredError
			if got := errors.As(err, &unanswered); got != x.sent {
				t.Errorf("got %v, want sent %v", err, x.sent)
			}
		})
	}
	t.Run("no listener", func(t *testing.T) {
		r, p := start(t, runner.OK(""))
		r.Close()
		_, err := p.Do(t.Context(), request("1"))
		var notSent conn.NotSentError
		if !errors.As(err, &notSent) {
			t.Errorf("got %v, want a NotSentError", err)
		}
	})
}

// An answer that is shorter than its head states must not look complete.
func TestTruncated(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length: 9\r\n\r\nshort",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, p := start(t, runner.ReplyRawAndClose(func(r *runner.Request) string { return runner.ResponseHead(200, r, rest) }))
			a, err := p.Do(t.Context(), request("1"))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			if _, err := io.ReadAll(a); err == nil {
				t.Error("got no error for a truncated answer")
			}
		})
	}
}

// When a request is answered before it has been read in full, the rest of it is
// still due on the connection, which must not be reused.
func TestEarlyAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
			_, _ = io.ReadFull(c, make([]byte, 100))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	p := conn.New(ln.Addr().String())
	defer p.Close()
	q := request("1")
	q.Body = []byte(strings.Repeat("x", 32<<20))
	for range 2 {
		if _, reused := do(t, p, q); reused {
			t.Error("reused a connection on which the rest of a request was still due")
		}
	}
	for range 2 {
		_ = (<-conns).Close()
	}
}

// The end of the context closes the connection at once, so that the backend
// server notices that nobody waits any more.
func TestCancel(t *testing.T) {
	_, p := start(t, runner.NeverReply)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if _, err := p.Do(ctx, request("1")); err == nil {
		t.Error("got an answer of a silent server")
	}
}
