package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/gate/front"
)

// drained stands in for a router and a book that take a while to drain.
type drained struct{ hold chan struct{} }

func (d drained) Drain(context.Context) int {
	<-d.hold
	return 0
}

func (d drained) Running() []ident.Request { return nil }

type held struct{}

func (held) LeaseValidAt(time.Time) bool { return true }

// A planned stop must not close a connection while its caller sends the next
// request: the connection ends with an answer (rule 9).
func TestDrainAnswersKeptConnections(t *testing.T) {
	hold := make(chan struct{})
	addr := free(t)
	p := front.NewGate(front.GateConfig{
		Listen: addr, Router: drained{hold}, Book: drained{hold}, State: held{},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- p.Run(ctx, func() { close(ready) }) }()
	<-ready
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	ask := func() *http.Response {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: gate\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("got no answer: %v", err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		return res
	}
	if res := ask(); res.Close {
		t.Error("got a closed connection before the drain")
	}
	cut := make(chan []string, 1)
	go func() { cut <- p.Drain(ctx) }()
	for dialled := true; dialled; { // until the listener is closed
		var c net.Conn
		if c, err = net.Dial("tcp", addr); err == nil {
			_ = c.Close()
		}
		dialled = err == nil
	}
	if res := ask(); !res.Close {
		t.Error("got an open connection during the drain, want it ended with the answer")
	}
	close(hold)
	if got := <-cut; len(got) != 0 {
		t.Errorf("got %v cut, want none", got)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("got %v at the end", err)
	}
}

func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// Both contenders of a hedged stream may send; the caller gets the tokens of
// one only.
func TestHedgedStream(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		for range 60 {
			w.do(request{body: stream})
		}
		before := len(w.works("a", "b"))
		w.handle(func(k *task) {
			k.send(head(k.work, 200, "text/event-stream"))
			time.Sleep(time.Second) // both send their first token at nearly the same time
			k.events()
		}, "a", "b")
		rec, _ := w.do(request{body: stream})
		got := rec.Body.String()
		if n := len(w.works("a", "b")) - before; n != 2 {
			t.Fatalf("got %d attempts, want a hedge", n)
		}
		if strings.Count(got, `"content":"t`) != streamed || !strings.HasSuffix(got, "[DONE]\n\n") {
			t.Errorf("got %q, want the tokens of one attempt", got)
		}
	})
}
