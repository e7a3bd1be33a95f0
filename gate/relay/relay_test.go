package relay_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citronledge.example/core/plan"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/relay"
	"citronledge.example/stub/runner"
)

// What callers get for each way in which an attempt can end. A request that
// must not be repeated is never sent again once any byte of it may have been
// read.
func TestOutcomes(t *testing.T) {
	closed := runner.ReplyRawAndClose(func(*runner.Request) string { return "" })
	failing := runner.Status(http.StatusInternalServerError, "broken")
	for name, x := range map[string]struct {
		target  string
		replies []runner.Reply
		status  int
		maxRuns int
	}{
		"served":                      {"/safe/x", []runner.Reply{runner.OK("ok")}, 200, 1},
		"full, then served":           {"/once/x", []runner.Reply{runner.ReplyNotExecuted, runner.ReplyNotExecuted, runner.OK("ok")}, 200, 3},
		"all full":                    {"/once/x", []runner.Reply{runner.ReplyNotExecuted, runner.ReplyNotExecuted}, 503, 2},
		"safe after a reset":          {"/safe/x", []runner.Reply{closed, runner.OK("ok")}, 200, 2},
		"once after a reset":          {"/once/x", []runner.Reply{closed, closed}, 502, 1},
		"once that may have run, 503": {"/once/x", []runner.Reply{runner.Status(503, "busy")}, 502, 1},
		"once that may have run, 429": {"/once/x", []runner.Reply{runner.Status(429, "busy")}, 502, 1},
		"once that may have run, 408": {"/once/x", []runner.Reply{runner.Status(408, "late")}, 502, 1},
		"safe that may have run, 503": {"/safe/x", []runner.Reply{runner.Status(503, "busy"), runner.Status(503, "busy")}, 502, 2},
		"once that fails":             {"/once/x", []runner.Reply{failing, failing}, 500, 1},
		"safe that fails":             {"/safe/x", []runner.Reply{failing, failing}, 500, 2},
		"safe that fails once":        {"/safe/x", []runner.Reply{failing, runner.OK("ok")}, 200, 2},
		"no signature":                {"/once/x", []runner.Reply{runner.ReplyRawAndClose(unsigned)}, 502, 1},
		"once, silent":                {"/once/x", []runner.Reply{runner.NeverReply}, 504, 1},
		"unknown path":                {"/nowhere/x", []runner.Reply{runner.OK("ok")}, 404, 0},
		"truncated success":           {"/once/x", []runner.Reply{runner.ReplyRawAndClose(short)}, 502, 1},
		"truncated safe success":      {"/safe/x", []runner.Reply{runner.ReplyRawAndClose(short), runner.OK("ok")}, 200, 2},
		"address reassigned":          {"/once/x", []runner.Reply{elsewhere, runner.OK("ok")}, 200, 2},
		"no server can be reached":    {"/once/x", nil, 503, 0},
		"ran at one, full elsewhere":  {"/safe/x", []runner.Reply{closed, runner.ReplyNotExecuted}, 502, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, x.replies...)
			got := r.send(http.MethodPost, x.target, "1", map[string]string{"Deadline-Ms": "400"})
			if got.err != nil || got.status != x.status {
				t.Errorf("got status %d (%v, %q), want %d", got.status, got.err, got.body, x.status)
			}
			if runs := r.runs(); runs > x.maxRuns {
				t.Errorf("got %d runs, want at most %d", runs, x.maxRuns)
			}
			if got.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("a refusal has no Retry-After")
			}
			if sig := got.header.Get("Server-Signature"); got.status == 200 && sig != "sig-1" {
				t.Errorf("got signature %q of a success", sig)
			}
		})
	}
}

func unsigned(r *runner.Request) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.AttemptID() + "\r\nContent-Length: 2\r\n\r\nok"
}

func short(r *runner.Request) string {
	return runner.ResponseHead(200, r, "Content-Length: 9\r\n\r\nok")
}

func elsewhere(c net.Conn, r *runner.Request) bool {
	_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+r.AttemptID()+"\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// A backend server sees the customer's name in place of the key, whatever the
// caller claims, and the instance that the request is meant for.
func TestHeaders(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	got := r.send(http.MethodPost, "/safe/a//b/../c?q=%2f", "1", map[string]string{
		"Tenant": "forged", "Expect-Instance": "forged", "Kv-From": "forged", "Pin-Ms": "9", "Connection": "X-Hop", "X-Hop": "1", "X-Kept": "2",
	})
	if got.status != 200 {
		t.Fatalf("got status %d", got.status)
	}
	q := r.runners[0].Requests()[0]
	if got, want := q.RequestURI, "/safe/a//b/../c?q=%2f"; got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
	for name, want := range map[string]string{
		"Tenant": "acme", "Expect-Instance": "s0", "Key": "", "Kv-From": "", "Pin-Ms": "", "X-Hop": "", "X-Kept": "2", "Attempt-Id": "1",
	} {
		if got := strings.Join(q.Header[name], "|"); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	var left int
	if _, err := fmt.Sscan(q.Header.Get("Deadline-Ms"), &left); err != nil || left <= 0 || left > 2000 {
		t.Errorf("got deadline %q, want at most 2000", q.Header.Get("Deadline-Ms"))
	}
}

// Keys are checked before anything runs.
func TestKeys(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	for name, x := range map[string]struct {
		target, key string
		want        int
	}{
		"known":           {"/safe/x", key, 200},
		"unknown":         {"/safe/x", "other", 401},
		"none":            {"/safe/x", "", 401},
		"public, none":    {"/public/x", "", 200},
		"public, unknown": {"/public/x", "other", 200},
	} {
		if got := r.send(http.MethodGet, x.target, "1", map[string]string{"Key": x.key}).status; got != x.want {
			t.Errorf("%s: got %d, want %d", name, got, x.want)
		}
	}
}

// On a route with several models the smallest is asked first. An answer with
// too low a confidence is dropped for that of a larger model.
func TestEscalation(t *testing.T) {
	for name, x := range map[string]struct {
		sure []string // by model: small, middle, large
		want string
	}{
		"sure":   {[]string{"80", "90", "95"}, "small"},
		"unsure": {[]string{"10", "90", "95"}, "large"},
		"never":  {[]string{"10", "10", "10"}, "large"},
		"silent": {[]string{"", "", ""}, "small"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(c net.Conn, q *runner.Request) bool {
				model := q.Header.Get("Model")
				confidence := x.sure[map[string]int{"small": 0, "middle": 1, "large": 2}[model]]
				more := "X-Model: " + model + "\r\n"
				if confidence != "" {
					more += "Confidence: " + confidence + "\r\n"
				}
				return runner.Events(1, 2, 0, more)(c, q)
			})
			got := r.send(http.MethodPost, "/sized/x", "1", map[string]string{"Model": "*", "Token-Usage": "100,10"})
			if model := got.header.Get("X-Model"); model != x.want || got.body != events(1, 2) {
				t.Errorf("got model %q and body %q, want %q", model, got.body, x.want)
			}
		})
	}
}

// Without a retry budget the answer at hand is kept: dropping it would lose the
// request.
func TestEscalationWithoutBudget(t *testing.T) {
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		return runner.Events(1, 2, 0, "Confidence: 10\r\nX-Model: "+q.Header.Get("Model")+"\r\n")(c, q)
	})
	r.withoutRetryBudget()
	got := r.send(http.MethodPost, "/sized/x", "1", map[string]string{"Model": "*", "Token-Usage": "100,10"})
	if got.status != 200 || got.header.Get("X-Model") != "small" || got.body != events(1, 2) {
		t.Errorf("got %d from model %q with %q, want the small model's whole answer", got.status, got.header.Get("X-Model"), got.body)
	}
}

// TestEscalationRunsOnce guards against a request that may run once at most and
// runs at a small model and again at a larger one.
func TestEscalationRunsOnce(t *testing.T) {
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		return runner.Events(1, 2, 0, "Confidence: 10\r\nX-Model: "+q.Header.Get("Model")+"\r\n")(c, q)
	})
	r.onceStreams()
	for _, target := range []string{"/sized/x", "/sizedonce/x"} {
		before := r.runs()
		got := r.send(http.MethodPost, target, "1", map[string]string{"Model": "*", "Token-Usage": "100,10"})
		if runs := r.runs() - before; runs != 1 || got.status != 200 || got.body != events(1, 2) {
			t.Errorf("%s: got %d runs and status %d with %q, want one run and its whole answer", target, runs, got.status, got.body)
		}
	}
}

// When a caller leaves, its backend server must not go on working.
func TestCallerLeaves(t *testing.T) {
	r := newRig(t, runner.NeverReply)
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nKey: "+key+"\r\nDeadline-Ms: 60000\r\n\r\n")
	r.until("the request reaches the runner", func() bool { return r.runs() == 1 })
	_ = c.Close()
	r.until("the runner's connection ends", func() bool { return r.runners[0].OpenConns() == 0 })
}

// Without a configuration nothing can run: a request is refused as not run, with
// the time after which to retry.
func TestNoPlan(t *testing.T) {
	srv := httptest.NewServer(relay.New(relay.WithFleet(fleet.New("a"))))
	defer srv.Close()
	resp, err := http.Get(srv.URL + "/x/")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %d with Retry-After %q, want 503 with one", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// A configuration that arrives late must not replace a newer one.
func TestPlanNeverGoesBack(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	r.plan(7, nil)
	older := &plan.Config{Version: 1}
	if err := older.Index(); err != nil {
		t.Fatal(err)
	}
	r.relay.SetPlan(older, nil, 5)
	if got := r.send(http.MethodGet, "/safe/x", "1", nil).status; got != 200 {
		t.Errorf("got %d by an older configuration, want 200", got)
	}
}

// A server that falls silent must not hold up a repeatable request until its
// deadline. A request that must not be repeated is never sent again.
func TestSilentServer(t *testing.T) {
	r := newRig(t, runner.OK("ok"), runner.OK("ok"))
	for i := range 30 {
		r.send(http.MethodGet, "/safe/x", fmt.Sprint("a", i), nil)
	}
	r.runners[0].SetReply(runner.NeverReply)
	for i := range 6 {
		start := time.Now()
		if got := r.send(http.MethodGet, "/safe/x", fmt.Sprint("b", i), nil); got.status != 200 || time.Since(start) > time.Second {
			t.Errorf("got %d after %v beside a silent server, want 200 at once", got.status, time.Since(start))
		}
	}
	r.runners[1].SetReply(runner.NeverReply)
	before := r.runs()
	if got := r.send(http.MethodPost, "/once/x", "c", map[string]string{"Deadline-Ms": "300"}); got.status != 504 || r.runs() != before+1 {
		t.Errorf("got %d with %d runs of a request that may run once, want 504 and 1", got.status, r.runs()-before)
	}
}

// Two Content-Length headers that differ would let a caller smuggle in a second
// request.
func TestTwoLengths(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	resp := r.raw("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nContent-Length: 5\r\nKey: " + key + "\r\n\r\nabcde")
	if resp.StatusCode != http.StatusBadRequest || r.runs() != 0 {
		t.Errorf("got %d and %d runs, want 400 and none", resp.StatusCode, r.runs())
	}
}

// A request whose body breaks off must not run.
func TestBodyBreaksOff(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100\r\nKey: "+key+"\r\n\r\nhalf")
	_ = c.(*net.TCPConn).CloseWrite()
	if _, err := io.ReadAll(c); err != nil && !errors.Is(err, net.ErrClosed) && r.runs() > 0 {
		t.Error(err)
	}
	_ = c.Close()
	if got := r.runs(); got != 0 {
		t.Errorf("got %d runs of half a request", got)
	}
}

// A refusal that a server writes once more on a kept connection is not the
// answer to the next request there, which runs.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, x := range map[string]struct {
		refusal func(id string) string
		path    string
	}{
		"without an id, once":       {func(string) string { return refusal }, "/once/x"},
		"without an id, repeatable": {func(string) string { return refusal }, "/safe/x"},
		"with the earlier id, once": {func(id string) string { return strings.Replace(refusal, "\r\n", "\r\nAttempt-Id: "+id+"\r\n", 1) }, "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			refused := ""
			reply := func(c net.Conn, q *runner.Request) bool {
				if refused == "" {
					refused = x.refusal(q.AttemptID())
					return runner.Write(c, refused)
				}
				if !runner.Write(c, refused) {
					return false
				}
				<-time.After(50 * time.Millisecond) // it runs
				return runner.OK("ok")(c, q)
			}
			r := newRig(t, reply)
			r.send(http.MethodPost, x.path, "first", nil)
			if got := r.send(http.MethodPost, x.path, "second", nil); got.status != 200 || got.body != "ok" {
				t.Errorf("got status %d with %q, want the answer of the run", got.status, got.body)
			}
			if got := r.runs(); got != 2 {
				t.Errorf("got %d requests at the server, want 2", got)
			}
			if got := r.runners[0].Requests()[1].ConnIndex; got != 0 {
				t.Errorf("the second request came on connection %d, want the kept one", got)
			}
		})
	}
}

// TestSlowAnswer guards against an answer that is given up for its lateness though
// no other server can be asked: the work of the server is lost and the caller
// gets a failure.
func TestSlowAnswer(t *testing.T) {
	const latency = 900 * time.Millisecond // longer than a stream's head usually takes
	slow := func(c net.Conn, q *runner.Request) bool {
		<-time.After(latency)
		return runner.Events(1, 2, 0, "")(c, q)
	}
	for name, prepare := range map[string]func(r *rig){
		"no retry budget": func(r *rig) { r.withoutRetryBudget() },
		"no other server": func(r *rig) { r.fleet.Update(r.list[:1]) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, slow, slow)
			prepare(r)
			if got := r.send(http.MethodPost, "/stream/x", "1", nil); got.status != 200 || got.body != events(1, 2) {
				t.Errorf("got status %d with %q, want the whole answer", got.status, got.body)
			}
			if got := r.runs(); got != 1 {
				t.Errorf("got %d runs, want 1", got)
			}
		})
	}
}
