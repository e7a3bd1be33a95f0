package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/intake"
	"citronledge.example/gate/front"
)

// The basic path: the answer arrives completely, is billed once, and the side
// process is notified.
func TestChatPlainAndStreamed(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		rec, _ := w.do(request{body: chatBody})
		id := rec.Header().Get("X-Request-Id")
		if rec.Code != 200 || id == "" || !strings.Contains(rec.Body.String(), id) {
			t.Fatalf("got %d %q for request %q, want its own answer", rec.Code, rec.Body, id)
		}
		rec, _ = w.do(request{body: streamBody})
		if got := rec.Body.String(); strings.Count(got, `"content":"t`) != streamTokens || !strings.HasSuffix(got, "data: [DONE]\n\n") {
			t.Errorf("got %q, want %d tokens and [DONE]", got, streamTokens)
		}
		bills := w.bills()
		if len(bills) != 2 || bills[0].GetUsages()[0].GetOutput() != 7 || bills[1].GetUsages()[0].GetOutput() != streamTokens {
			t.Errorf("got bills %v, want one for each request", bills)
		}
		if got := w.sides["a"].settledCount() + w.sides["b"].settledCount(); got != 2 {
			t.Errorf("got %d settled records at the side processes, want 2", got)
		}
	})
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		q    request
		want string
	}{
		"unknown key":         {request{body: chatBody, key: "nope"}, "401 unauthorized ran=no"},
		"model not allowed":   {request{body: `{"model":"large"}`, key: "k2"}, "403 forbidden ran=no"},
		"version not allowed": {request{body: `{"model":"small/v2"}`, key: "k2"}, "403 forbidden ran=no"},
		"unknown model":       {request{body: `{"model":"huge"}`}, "404 missing ran=no"},
		"unknown path":        {request{path: "/nothing"}, "404 missing ran=no"},
		"path with dots":      {request{method: "GET", path: "/look/../pay"}, "400 invalid ran=no"},
		"malformed JSON":      {request{body: `{"model":`}, "400 invalid ran=no"},
		"oversized body":      {request{body: `{"model":"` + strings.Repeat("x", 5000) + `"}`}, "413 too_large ran=no"},
		"route not allowed":   {request{method: "GET", path: "/look", key: "k2"}, "403 forbidden ran=no"},
		"call without key":    {request{path: "/pay", body: `{}`}, "400 invalid ran=no"},
		"no business field": {
			request{path: "/pay", body: `{"home":"h"}`, headers: map[string]string{"Idempotency-Key": "x"}}, "400 invalid ran=no",
		},
	}
	runInBubble(t, func(t *testing.T, w *testGate) {
		for name, c := range cases {
			rec, _ := w.do(c.q)
			if got := errorSummary(rec); got != c.want {
				t.Errorf("%s: got %s (%s), want %s", name, got, rec.Body, c.want)
			}
		}
		for id, s := range w.sides {
			if n := len(s.received()); n != 0 {
				t.Errorf("side %s got %d works of refused requests", id, n)
			}
		}
	})
}

// A refusal for lack of memory must be truthful, and small bodies must still be
// served then.
func TestBodyWithoutRoom(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.cluster.put(t, map[string]any{"limits": conf.Limits{MaxBodyBytes: 1 << 20}})
		w.front = front.New(front.WithClient(w.cluster), front.WithRouter(w.router), front.WithBudget(intake.NewBudget(1)))
		rec, _ := w.do(request{body: chatBody + strings.Repeat(" ", 100_000)})
		if got, want := errorSummary(rec), "503 unavailable ran=no"; got != want || rec.Header().Get("Retry-After") == "" {
			t.Errorf("got %s with headers %v, want %s with Retry-After", got, rec.Header(), want)
		}
		if rec, _ = w.do(request{body: chatBody}); rec.Code != http.StatusOK {
			t.Errorf("small body: got %d %s, want 200", rec.Code, rec.Body)
		}
	})
}

func TestModels(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		rec, _ := w.do(request{method: http.MethodGet, path: "/v1/models", key: "k2"})
		got := rec.Body.String()
		if !strings.Contains(got, `"small/v1"`) || strings.Contains(got, "v2") || strings.Contains(got, "large") {
			t.Errorf("got %s, want only what the customer may use", got)
		}
	})
}

// A caller gets the whole answer to its own request: a reply for another request
// must never reach it.
func TestCrossedReply(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		crossed := func(k *fakeAttempt) {
			h := head(k.work, 200, "application/json")
			h.GetHead().Request = "another"
			k.send(h, chunk("stolen"), end(1))
		}
		w.setHandler(crossed, "a", "b")
		rec, _ := w.do(request{body: chatBody})
		if got := errorSummary(rec); got != "502 upstream ran=unknown" || strings.Contains(rec.Body.String(), "stolen") {
			t.Errorf("got %s %s, want an upstream fault", got, rec.Body)
		}
		w.setHandler((*fakeAttempt).answer, "a", "b")
		w.warmUp() // requests fill the budget for the next retry
		w.setHandler(crossed, "a")
		rec, _ = w.do(request{body: chatBody})
		if rec.Code != 200 || !strings.Contains(rec.Body.String(), rec.Header().Get("X-Request-Id")) {
			t.Errorf("got %d %s, want the request's own answer after a retry", rec.Code, rec.Body)
		}
	})
}

// A truncated stream must not look complete.
func TestCutStream(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		cut := func(k *fakeAttempt) {
			k.send(head(k.work, 200, "text/event-stream"))
			if k.work.GetResume() == 0 {
				k.send(event(0), chunk("data: {\"choices\":[{\"delta\":{\"content\":\"ha"))
			}
		}
		w.setHandler(cut, "a", "b")
		rec, _ := w.do(request{body: streamBody})
		got := rec.Body.String()
		if strings.Contains(got, "[DONE]") || !strings.Contains(got, `"error"`) || strings.Contains(got, "ha") {
			t.Errorf("got %q, want an error event, no [DONE] and no half event", got)
		}
		rec, _ = w.do(request{body: chatBody})
		if got := errorSummary(rec); got != "502 upstream ran=unknown" {
			t.Errorf("got %s for a cut plain answer", got)
		}
		if n := len(w.bills()); n != 2 {
			t.Errorf("got %d bills, want 2", n)
		}
	})
}

// After the first token an attempt may only be resumed, and no token may be lost
// or sent twice.
func TestResume(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.setHandler(func(k *fakeAttempt) {
			if k.work.GetResume() > 0 {
				k.answer()
				return
			}
			k.send(head(k.work, 200, "text/event-stream"), event(0), event(1))
		}, "a", "b")
		rec, _ := w.do(request{body: streamBody})
		got := rec.Body.String()
		for i := range streamTokens {
			if n := strings.Count(got, `"t`+string(rune('0'+i))+`"`); n != 1 {
				t.Errorf("token %d came %d times in %q, want once", i, n, got)
			}
		}
		if !strings.HasSuffix(got, "data: [DONE]\n\n") {
			t.Errorf("got %q, want [DONE] at the end", got)
		}
		works := append(w.sides["a"].received(), w.sides["b"].received()...)
		if len(works) != 2 || works[0].GetVersion() != works[1].GetVersion() || len(w.sides["a"].received()) != 1 {
			t.Errorf("got works %v, want a second one on the other side with the same version", works)
		}
	})
}

func TestNoLease(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.cluster.set(func() { w.cluster.leased = false })
		for name, q := range map[string]request{
			"chat":   {body: chatBody},
			"report": {body: chatBody, headers: map[string]string{"X-Work-Kind": "report"}},
			"call":   {method: "GET", path: "/look"},
		} {
			if rec, _ := w.do(q); errorSummary(rec) != "503 no_lease ran=no" {
				t.Errorf("%s: got %s, want a refusal for lack of a lease", name, errorSummary(rec))
			}
		}
		time.Sleep(time.Second)
		if g := w.sides["a"].grant(); g.GetTtl() != 0 || g.GetFault() == nil {
			t.Errorf("got grant %v, want none without the gate's own lease", g)
		}
	})
}

// Guards against a further attempt after the lease ended between two attempts.
func TestLeaseEndsBeforeRetry(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.setHandler(func(*fakeAttempt) { w.cluster.set(func() { w.cluster.leased = false }) }, "a", "b")
		rec, _ := w.do(request{body: chatBody})
		if got, n := errorSummary(rec), len(w.sides["a"].received())+len(w.sides["b"].received()); rec.Code == 200 || n != 1 {
			t.Errorf("got %s after %d attempts, want no attempt without a lease", got, n)
		}
	})
}
