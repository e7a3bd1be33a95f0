package conn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"citronledge.example/gate/conn"
	"citronledge.example/stub/runner"
)

// One of the head and the timeout counts, and nothing is decided after it.
func TestSilence(t *testing.T) {
	const limit = 50 * time.Millisecond
	for name, x := range map[string]struct {
		head      time.Duration // when the server answers
		deciding  time.Duration // that giveUp takes
		givesUp   bool
		calls     int
		unwatched bool
		ends      bool
	}{
		"head first":           {0, 0, true, 0, false, false},
		"silence":              {10 * limit, 0, true, 1, false, true},
		"silence is borne":     {4 * limit, 0, false, 1, false, false},
		"head comes meanwhile": {2 * limit, 4 * limit, true, 1, false, true},
		"and counts":           {2 * limit, 4 * limit, false, 1, false, false},
		"no limit":             {4 * limit, 0, true, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, p := start(t, func(c net.Conn, q *runner.Request) bool {
				time.Sleep(x.head)
				return runner.OK("fine")(c, q)
			})
			q, calls, abandoned := request("1"), 0, make(chan bool, 1)
			giveUp := func() bool { calls++; time.Sleep(x.deciding); return x.givesUp }
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if !x.unwatched {
				q.Head = conn.NewSilence(limit, giveUp, func() { abandoned <- true; cancel() })
			}
			a, err := p.Do(ctx, q)
			gaveUp := q.Head.Stop()
			if (err != nil) != x.ends || gaveUp != x.ends {
				t.Fatalf("got %v, given up %v; want given up %v", err, gaveUp, x.ends)
			}
			if err == nil {
				if body, err := io.ReadAll(a); string(body) != "fine" || err != nil {
					t.Errorf("got %q (%v), want the whole answer", body, err)
				}
				a.Close()
			}
			time.Sleep(2 * limit)
			if ended := len(abandoned) > 0; ended != x.ends || calls != x.calls {
				t.Errorf("ended %v after %d decisions, want %v after %d", ended, calls, x.ends, x.calls)
			}
		})
	}
}

// Bytes that have arrived and are not read yet are no silence of the server: a gate that
// is busy, or whose caller is slow, reads late.
func TestUnreadIsNoSilence(t *testing.T) {
	const limit = 50 * time.Millisecond
	sent := make(chan bool)
	_, p := start(t, func(c net.Conn, q *runner.Request) bool {
		_, _ = io.WriteString(c, runner.ResponseHead(http.StatusOK, q, "Transfer-Encoding: chunked\r\n\r\n"))
		_, _ = io.WriteString(c, runner.Chunk("late"))
		close(sent)
		return runner.NeverReply(c, q)
	})
	a, err := p.Do(t.Context(), request("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	<-sent
	time.Sleep(limit / 2)
	decided := make(chan bool, 1)
	w := a.WatchSilence(limit, func() bool { decided <- true; return true }, func() {})
	time.Sleep(4 * limit)
	if len(decided) > 0 {
		t.Error("given up while bytes waited to be read")
	}
	b := make([]byte, 4)
	if _, err := io.ReadFull(a, b); err != nil {
		t.Fatal(err)
	}
	w.Heard()
	go func() { _, _ = a.Read(b) }()
	select {
	case <-decided:
	case <-time.After(20 * limit):
		t.Error("not given up after the last byte was read")
	}
	if !w.Stop() {
		t.Error("got false from Stop, want that it was given up")
	}
}
