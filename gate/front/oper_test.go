package front_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// runOperation acts as a side process with an operation: it sends Hand, runs the
// call and sends Finish.
func (k *fakeAttempt) runOperation(runs *atomic.Int64) {
	res := k.relay(&wire.Command{Kind: &wire.Command_Hand{Hand: &wire.Hand{
		Operation: k.work.GetOperation(), Fence: k.work.GetFence(), Backend: "pay", Nonce: 1,
	}}})
	if !res.GetOperation().GetGranted() {
		k.send(refused(fault.Stale))
		return
	}
	runs.Add(1)
	k.relay(&wire.Command{Kind: &wire.Command_Finish{Finish: &wire.Finish{
		Operation: k.work.GetOperation(), Fence: k.work.GetFence(), Status: 201, Body: []byte("paid"),
	}}})
}

func paymentRequest(key, home string) request {
	return request{path: "/pay", body: `{"home":"` + home + `","day":7}`, headers: map[string]string{"Idempotency-Key": key}}
}

// A call that must not be repeated runs at most once, whatever is sent again or
// lost.
func TestOperation(t *testing.T) {
	cases := map[string]struct {
		work func(k *fakeAttempt, runs *atomic.Int64)
		// first is the answer to the call, again that to the same call sent again.
		first, again string
		runs         int64
	}{
		"answered": {func(k *fakeAttempt, runs *atomic.Int64) {
			k.runOperation(runs)
			k.send(head(k.work, 201, "text/plain"), chunk("paid"), end(0))
		}, "201  ran=", "201  ran=", 1},
		"answer lost after the commit": {func(k *fakeAttempt, runs *atomic.Int64) {
			k.runOperation(runs)
		}, "201  ran=", "201  ran=", 1},
		"cut after the hand-off": {func(k *fakeAttempt, runs *atomic.Int64) {
			k.relay(&wire.Command{Kind: &wire.Command_Hand{Hand: &wire.Hand{
				Operation: k.work.GetOperation(), Fence: k.work.GetFence(), Backend: "pay", Nonce: 1,
			}}})
			runs.Add(1)
		}, "504 unknown ran=unknown", "429 busy ran=unknown", 1},
		"cut before the hand-off": {func(*fakeAttempt, *atomic.Int64) {}, "503 unavailable ran=no", "503 unavailable ran=no", 0},
		"refused by the side":     {func(k *fakeAttempt, _ *atomic.Int64) { k.send(refused(fault.NoLease)) }, "503 no_lease ran=no", "503 no_lease ran=no", 0},
		"hand-off after the abort": {func(k *fakeAttempt, runs *atomic.Int64) {
			go func() {
				time.Sleep(time.Second)
				k.runOperation(runs)
			}()
		}, "503 unavailable ran=no", "503 unavailable ran=no", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, w *testGate) {
				var runs atomic.Int64
				w.setHandler(func(k *fakeAttempt) { c.work(k, &runs) }, "pay")
				for i, want := range []string{c.first, c.again} {
					rec, _ := w.do(paymentRequest("key", "h1"))
					if got := errorSummary(rec); got != want {
						t.Errorf("call %d: got %s (%s), want %s", i+1, got, rec.Body, want)
					}
				}
				time.Sleep(10 * time.Second)
				if runs.Load() != c.runs {
					t.Errorf("got %d runs, want %d", runs.Load(), c.runs)
				}
			})
		})
	}
}

func TestOperationConflicts(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		var runs atomic.Int64
		w.setHandler(func(k *fakeAttempt) {
			k.runOperation(&runs)
			k.send(head(k.work, 201, "text/plain"), chunk("paid"), end(0))
		}, "pay")
		w.do(paymentRequest("k", "h1"))
		send := func(key, body string) request {
			return request{path: "/pay", body: body, headers: map[string]string{"Idempotency-Key": key}}
		}
		// "ran=no" would tell the caller that it may safely make the payout by
		// other means, although it ran under the first key.
		for name, c := range map[string]struct {
			q    request
			want string
		}{
			"same key, another body":                       {paymentRequest("k", "h2"), "409 conflict ran=no"},
			"same key, another body for one business key":  {send("k", `{"day":7,"home":"h1","sum":5}`), "409 conflict ran=unknown"},
			"another key, same business key":               {send("k2", `{"day":7.0,"home":"h1"}`), "409 conflict ran=unknown"},
			"another key, same business key, another body": {send("k2", `{"day":7,"home":"h1","sum":5}`), "409 conflict ran=unknown"},
		} {
			if rec, _ := w.do(c.q); errorSummary(rec) != c.want {
				t.Errorf("%s: got %s, want %s", name, errorSummary(rec), c.want)
			}
		}
		if runs.Load() != 1 {
			t.Errorf("got %d runs, want 1", runs.Load())
		}
	})
}

// The operation of a caller that disconnects finishes, and the next try gets its
// answer.
func TestOperationOutlivesCaller(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		var runs atomic.Int64
		w.setHandler(func(k *fakeAttempt) {
			time.Sleep(2 * time.Second)
			k.runOperation(&runs)
			k.send(head(k.work, 201, "text/plain"), chunk("paid"), end(0))
		}, "pay")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		q := paymentRequest("k", "h1")
		q.ctx = ctx
		w.do(q)
		rec, _ := w.do(paymentRequest("k", "h1"))
		if n := len(w.receivedBy("pay")); rec.Code != 201 || rec.Body.String() != "paid" || n != 1 {
			t.Errorf("got %d %q after %d attempts, want the stored answer of the only one", rec.Code, rec.Body, n)
		}
	})
}

// A call with an idempotency key may have run in an earlier request. A refusal
// that says "not run" must be true, so a gate that couldn't ask the state cluster
// must not say it; otherwise the caller could make the call run twice. A stored
// answer needs no backend server.
func TestRefusedAfterRun(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		var runs atomic.Int64
		w.setHandler(func(k *fakeAttempt) {
			k.runOperation(&runs)
			k.send(head(k.work, 201, "text/plain"), chunk("paid"), end(0))
		}, "pay")
		w.do(paymentRequest("k", "h1"))
		w.sides["pay"].set(func() { w.sides["pay"].leaving = true })
		time.Sleep(time.Second)
		if rec, _ := w.do(paymentRequest("k", "h1")); rec.Code != 201 {
			t.Errorf("got %s without a backend server, want the stored answer", errorSummary(rec))
		}
		if rec, _ := w.do(paymentRequest("k2", "h2")); errorSummary(rec) != "503 unavailable ran=no" {
			t.Errorf("got %s for a new call without a backend server", errorSummary(rec))
		}
		for name, c := range map[string]struct {
			f    func()
			want string
		}{
			"no state cluster": {func() { w.cluster.down = true }, "504 unknown ran=unknown"},
			"no lease":         {func() { w.cluster.leased = false }, "503 no_lease ran=unknown"},
		} {
			w.cluster.set(func() { w.cluster.down, w.cluster.leased = false, true })
			w.cluster.set(c.f)
			if rec, _ := w.do(paymentRequest("k", "h1")); errorSummary(rec) != c.want {
				t.Errorf("%s: got %s, want %s", name, errorSummary(rec), c.want)
			}
		}
	})
}
