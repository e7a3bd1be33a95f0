package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"citronledge.example/stub/runner"
)

// trickle sends the events up to last and text, and text again after each pause
// until the gate closes the connection; without a pause it then falls silent.
func trickle(last int, text string, pause time.Duration) runner.Reply {
	return func(c net.Conn, r *runner.Request) bool {
		head := runner.ResponseHead(http.StatusOK, r, "Transfer-Encoding: chunked\r\n\r\n")
		_, err := io.WriteString(c, head+runner.Chunk(events(1, last)+text))
		if pause == 0 {
			return runner.NeverReply(c, r)
		}
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(c, runner.Chunk(text))
		}
		return false
	}
}

// fromLastEvent continues a stream after the event that the request names.
func fromLastEvent(last int) runner.Reply {
	return func(c net.Conn, r *runner.Request) bool {
		return runner.Events(r.LastEventID()+1, last, 0, "")(c, r)
	}
}

// A stream that makes no progress, or sends bytes that are no event now and
// then, must go on at another server long before the caller's deadline.
func TestStalledStreams(t *testing.T) {
	const deadline, limit = 20 * time.Second, 8 * time.Second
	for name, reply := range map[string]runner.Reply{
		"silent":                    trickle(2, "id: 3\nda", 0),
		"bytes now and then":        trickle(2, "x", 300*time.Millisecond),
		"comments":                  trickle(2, ": still here\n\n", 300*time.Millisecond),
		"silent after the last one": trickle(5, "", 0),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, reply, reply)
			r.longRoutes(deadline)
			time.AfterFunc(time.Second, func() {
				for _, b := range r.runners {
					b.SetReply(fromLastEvent(5))
				}
			})
			start := time.Now()
			got := r.send(http.MethodPost, "/stream/x", "1", map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds())})
			if want := events(1, 5); got.err != nil || strings.ReplaceAll(got.body, ": still here\n\n", "") != want {
				t.Errorf("got %q (%v), want %q", got.body, got.err, want)
			}
			if took := time.Since(start); took > limit {
				t.Errorf("got the end after %v, want it within %v", took, limit)
			}
		})
	}
}

// A slow stream that keeps its pace is never cut, though each of its events comes
// in two parts.
func TestSlowStream(t *testing.T) {
	t.Parallel()
	const pause = 700 * time.Millisecond
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		_, err := io.WriteString(c, runner.ResponseHead(http.StatusOK, q, "Transfer-Encoding: chunked\r\n\r\n"))
		for i := 1; err == nil && i <= 4; i++ {
			e := runner.Event(i)
			_, err = io.WriteString(c, runner.Chunk(e[:5]))
			time.Sleep(pause)
			if err == nil {
				_, err = io.WriteString(c, runner.Chunk(e[5:]))
			}
			time.Sleep(pause)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	r.longRoutes(20 * time.Second)
	got := r.send(http.MethodPost, "/stream/x", "1", map[string]string{"Deadline-Ms": "20000"})
	if want := events(1, 4); got.err != nil || got.body != want || r.runs() != 1 {
		t.Errorf("got %q (%v) from %d runs, want %q from one", got.body, got.err, r.runs(), want)
	}
}

// TestSilentStream guards against a stream that is cut off for its server's
// silence though no other attempt may go on with it.
func TestSilentStream(t *testing.T) {
	const silence = 4 * time.Second // beyond the timeout of a stalled stream
	pausing := func(c net.Conn, q *runner.Request) bool {
		head := runner.ResponseHead(http.StatusOK, q, "Transfer-Encoding: chunked\r\n\r\n")
		if !runner.Write(c, head+runner.Chunk(events(q.LastEventID()+1, 3))) {
			return false
		}
		time.Sleep(silence)
		return runner.Write(c, runner.Chunk(events(4, 5))+"0\r\n\r\n")
	}
	for name, prepare := range map[string]func(r *rig){
		"cannot be resumed": func(r *rig) { r.onceStreams() },
		"no retry budget":   func(r *rig) { r.withoutRetryBudget() },
		"no other server":   func(r *rig) { r.fleet.Update(r.list[:1]) },
		"last run": func(r *rig) {
			var runs atomic.Int32
			for _, b := range r.runners {
				b.SetReply(func(c net.Conn, q *runner.Request) bool {
					if runs.Add(1) == 3 {
						return pausing(c, q)
					}
					head := runner.ResponseHead(http.StatusOK, q, "Transfer-Encoding: chunked\r\n\r\n")
					runner.Write(c, head+runner.Chunk(runner.Event(q.LastEventID()+1)))
					return false // without the last chunk
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, pausing, pausing, pausing)
			prepare(r)
			r.longRoutes(20 * time.Second)
			got := r.send(http.MethodPost, "/stream/x", "1", map[string]string{"Deadline-Ms": "20000"})
			if want := events(1, 5); got.err != nil || got.body != want {
				t.Errorf("got %q (%v), want %q", got.body, got.err, want)
			}
		})
	}
}

// If only the end of the connection delimits a stream, an end in the middle of an
// event shows that it broke off.
func TestEndInEvent(t *testing.T) {
	t.Parallel()
	broken := runner.ReplyRawAndClose(func(r *runner.Request) string {
		return runner.ResponseHead(http.StatusOK, r, "\r\n"+events(1, 2)+"id: 3\nda")
	})
	r := newRig(t, broken, fromLastEvent(4))
	for i := range 4 {
		got := r.send(http.MethodPost, "/stream/x", fmt.Sprint(i), nil)
		if want := events(1, 4); got.err != nil || got.body != want {
			t.Errorf("got %q (%v), want %q", got.body, got.err, want)
		}
	}
	once := newRig(t, broken)
	if got := once.send(http.MethodPost, "/stream/x", "1", nil); got.err == nil {
		t.Errorf("got %q as a whole answer", got.body)
	}
}

// A stream that only the end of its connection ends, before any event, has been
// broken off and must not look complete.
func TestEndBeforeFirstEvent(t *testing.T) {
	empty := runner.ReplyRawAndClose(func(q *runner.Request) string { return runner.ResponseHead(http.StatusOK, q, "\r\n") })
	for name, c := range map[string]struct {
		second runner.Reply
		status int
		body   string
	}{
		"another server is asked":   {runner.Events(1, 3, 0, ""), http.StatusOK, events(1, 3)},
		"no server begins a stream": {empty, http.StatusBadGateway, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, empty, c.second)
			for i := range 4 {
				got := r.send(http.MethodPost, "/stream/x", fmt.Sprint(i), nil)
				if got.status != c.status || c.body != "" && got.body != c.body {
					t.Errorf("got status %d with %q, want %d with %q", got.status, got.body, c.status, c.body)
				}
			}
		})
	}
}

// TestHeadComesWithTimeout guards against a head that comes while the gate gives it up:
// one of the two counts, and no answer that has begun is cut for the timeout (review/9).
func TestHeadComesWithTimeout(t *testing.T) {
	t.Parallel()
	const headTimeout, head, end = 700 * time.Millisecond, 800 * time.Millisecond, time.Second
	r := newRig(t, runner.NeverReply, runner.NeverReply)
	r.withRetries(1)
	r.longRoutes(20 * time.Second)
	late := func(c net.Conn, q *runner.Request) bool {
		time.Sleep(head)
		return runner.Events(1, 5, 100*time.Millisecond, "")(c, q)
	}
	for _, b := range r.runners {
		b.SetReply(late)
	}
	time.AfterFunc(headTimeout-100*time.Millisecond, func() {
		release := r.relay.HoldMutex() // the timer fires now, and can't decide yet
		for _, b := range r.runners {
			b.SetReply(runner.Events(1, 5, 0, ""))
		}
		time.AfterFunc(end-headTimeout+100*time.Millisecond, release)
	})
	got := r.send(http.MethodPost, "/stream/x", "1", map[string]string{"Deadline-Ms": "20000"})
	if want := events(1, 5); got.err != nil || got.body != want {
		t.Errorf("got %q (%v), want %q", got.body, got.err, want)
	}
}
