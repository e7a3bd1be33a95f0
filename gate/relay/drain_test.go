package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/stub/runner"
)

// While the gate stops, answers close their connections, and streams that would
// outlast the stop are refused. Other requests are still served.
func TestDrain(t *testing.T) {
	r := newRig(t, runner.Events(1, 3, 5*time.Millisecond, ""))
	for i := range 25 { // the gate learns how long streams take
		r.send(http.MethodPost, "/stream/x", fmt.Sprint(i), map[string]string{"Token-Usage": "10,10"})
	}
	r.relay.Drain(time.Now().Add(time.Second))
	if r.relay.Ready() {
		t.Error("a gate that stops is ready")
	}
	for name, x := range map[string]struct {
		tokens string
		want   int
	}{"short": {"10,10", 200}, "long": {"10,100000", 503}} {
		got := r.send(http.MethodPost, "/stream/x", "d"+name, map[string]string{"Token-Usage": x.tokens})
		if got.status != x.want {
			t.Errorf("%s: got %d, want %d", name, got.status, x.want)
		}
	}
	if got := r.raw("GET /stream/x HTTP/1.1\r\nHost: h.example\r\nKey: " + key + "\r\nAttempt-Id: z\r\n\r\n"); !got.Close {
		t.Error("an answer of a gate that stops keeps its connection")
	}
}

// A stream may need most of its time before its first event: it waits for its
// server, or an answer is dropped for that of a larger model. A gate that stops
// must count this, or it cuts the stream that it accepted.
func TestDrainCountsFirstEvent(t *testing.T) {
	const wait = 40 * time.Millisecond
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		time.Sleep(wait)
		return runner.Events(1, 3, 0, "")(c, q)
	})
	for i := range 25 {
		r.send(http.MethodPost, "/stream/x", fmt.Sprint(i), map[string]string{"Token-Usage": "10,10"})
	}
	r.relay.Drain(time.Now().Add(wait))
	if got := r.send(http.MethodPost, "/stream/x", "d", map[string]string{"Token-Usage": "10,10"}); got.status != 503 {
		t.Errorf("got %d for a stream that needs longer than the stop to begin, want 503", got.status)
	}
}

// The wait for the first event grows with the prompt. A gate that stops must not
// accept a long prompt by what short ones took.
func TestDrainCountsPrompt(t *testing.T) {
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		var tokens int
		_, _ = fmt.Sscanf(q.Header.Get("Token-Usage"), "%d", &tokens)
		time.Sleep(time.Duration(tokens) * 10 * time.Microsecond) // the time to read the prompt
		return runner.Events(1, 3, 0, "")(c, q)
	})
	r.engine = &plan.Engine{Slots: 8, KVCapacity: 1e6, CostPer1000Tokens: map[ident.Model]float64{"small": 1}}
	r.longRoutes(20 * time.Second)
	send := func(id, tokens string) int {
		return r.send(http.MethodPost, "/stream/x", id, map[string]string{"Model": "small", "Token-Usage": tokens, "Deadline-Ms": "9000"}).status
	}
	for i := range 25 {
		send(fmt.Sprint(i), "3000,10")
	}
	r.relay.Drain(time.Now().Add(3 * time.Second))
	if got := send("long", "600000,10"); got != 503 {
		t.Errorf("got %d for a prompt that takes 6 s to read, with 3 s left, want 503", got)
	}
	if got := send("short", "3000,10"); got != 200 {
		t.Errorf("got %d for a prompt that takes 30 ms to read, with 3 s left, want 200", got)
	}
}

// A gate that stops soon after its start does not know how long streams take.
// It must not begin a stream that the end of the stop would cut.
func TestDrainAfterStart(t *testing.T) {
	r := newRig(t, runner.Events(1, 3, 5*time.Millisecond, ""))
	r.relay.Drain(time.Now().Add(time.Second))
	if got := r.send(http.MethodPost, "/stream/x", "s", map[string]string{"Token-Usage": "10,10"}); got.status != 503 || r.runs() != 0 {
		t.Errorf("got %d and %d runs for a stream of unknown length, want 503 and none", got.status, r.runs())
	}
	if got := r.send(http.MethodGet, "/safe/x", "u", nil).status; got != 200 {
		t.Errorf("got %d for a request that is no stream, want 200", got)
	}
}

// TestDrainOfYoungGate guards against a gate that stops soon after its start and
// takes long streams by what the first short ones took: the end of the stop cuts
// those that are slower.
func TestDrainOfYoungGate(t *testing.T) {
	r := newRig(t, runner.Events(1, 3, 5*time.Millisecond, ""))
	r.longRoutes(20 * time.Second)
	for i := range 25 {
		r.send(http.MethodPost, "/stream/x", fmt.Sprint(i), map[string]string{"Token-Usage": "10,10"})
	}
	r.relay.Drain(time.Now().Add(20 * time.Second))
	for tokens, want := range map[string]int{"10,10": 200, "10,2000": 503} {
		if got := r.send(http.MethodPost, "/stream/x", "d"+tokens, map[string]string{"Token-Usage": tokens}); got.status != want {
			t.Errorf("%s: got %d, want %d", tokens, got.status, want)
		}
	}
}

// TestLateRequestInStop guards against requests that a gate takes late in a
// planned stop and cuts off at its end, among them some that may run once only.
func TestLateRequestInStop(t *testing.T) {
	slow := func(wait time.Duration) runner.Reply {
		return func(c net.Conn, q *runner.Request) bool {
			time.Sleep(wait)
			return runner.OK("ok")(c, q)
		}
	}
	for name, x := range map[string]struct {
		wait     time.Duration // of the server
		learn    int           // requests before the stop
		left     time.Duration // of the stop
		target   string
		deadline string // ms
		want     int
		wantRuns int
	}{
		"once, ends in time":       {5 * time.Millisecond, 25, time.Second, "/once/x", "2000", 200, 1},
		"once, known to be slow":   {60 * time.Millisecond, 25, 60 * time.Millisecond, "/once/x", "2000", 503, 0},
		"once, duration unknown":   {time.Millisecond, 0, time.Second, "/once/x", "2000", 503, 0},
		"once, deadline before it": {time.Millisecond, 0, time.Second, "/once/x", "500", 200, 1},
		"safe, known to be slow":   {60 * time.Millisecond, 25, 60 * time.Millisecond, "/safe/x", "2000", 503, 0},
		"safe, duration unknown":   {time.Millisecond, 0, time.Second, "/safe/x", "2000", 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, slow(x.wait))
			for i := range x.learn {
				r.send(http.MethodPost, x.target, fmt.Sprint(i), nil)
			}
			before := r.runs()
			r.relay.Drain(time.Now().Add(x.left))
			got := r.send(http.MethodPost, x.target, "late", map[string]string{"Deadline-Ms": x.deadline})
			if runs := r.runs() - before; got.status != x.want || runs != x.wantRuns {
				t.Errorf("got %d and %d runs, want %d and %d", got.status, runs, x.want, x.wantRuns)
			}
			if got.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("a refusal has no Retry-After")
			}
		})
	}
}

// A young gate does not know how long requests take at most, but those that it
// has seen may be enough to know that there is no time left for another.
func TestSlowRequestsOfYoungGate(t *testing.T) {
	const wait = 300 * time.Millisecond
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		time.Sleep(wait)
		return runner.OK("ok")(c, q)
	})
	var wg sync.WaitGroup
	for i := range 25 {
		wg.Go(func() { r.send(http.MethodGet, "/safe/x", fmt.Sprint(i), nil) })
	}
	wg.Wait()
	r.relay.Drain(time.Now().Add(wait))
	if got := r.send(http.MethodGet, "/safe/x", "late", nil).status; got != 503 {
		t.Errorf("got %d for a request that needs as long as is left, want 503", got)
	}
}

// TestAnswerAtEndOfStop guards against connections that are cut without an
// answer at the end of a planned stop, while their requests wait for a server.
func TestAnswerAtEndOfStop(t *testing.T) {
	const left, deadline = 400 * time.Millisecond, 9 * time.Second
	for _, target := range []string{"/safe/x", "/once/x", "/stream/x"} {
		t.Run(target, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, runner.NeverReply)
			r.longRoutes(20 * time.Second)
			start := time.Now()
			time.AfterFunc(50*time.Millisecond, func() { r.relay.Drain(start.Add(left)) })
			got := r.send(http.MethodPost, target, "1", map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds())})
			if took := time.Since(start); got.err != nil || got.status != 504 || took > deadline/2 {
				t.Errorf("got %d (%v) after %v, want 504 at the end of the stop after %v", got.status, got.err, took, left)
			}
		})
	}
}

// TestStreamAtEndOfStop guards against an answer that has begun and is cut
// before the end of a planned stop.
func TestStreamAtEndOfStop(t *testing.T) {
	const left = 600 * time.Millisecond
	r := newRig(t, runner.Events(1, 8, left/9, "")) // within the last 100 ms
	start := time.Now()
	time.AfterFunc(100*time.Millisecond, func() { r.relay.Drain(start.Add(left)) })
	if got := r.send(http.MethodPost, "/stream/x", "1", nil); got.err != nil || got.body != events(1, 8) {
		t.Errorf("got %q (%v), want the whole stream", got.body, got.err)
	}
}
