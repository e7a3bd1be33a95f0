package front_test

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// loseOutcome acts as a side process whose service breaks off the call: it sends
// Hand, then Finish with an unknown outcome.
func (k *fakeAttempt) loseOutcome() {
	op, fence, name := k.work.GetOperation(), k.work.GetFence(), k.load.GetBackend()
	k.relay(&wire.Command{Kind: &wire.Command_Hand{Hand: &wire.Hand{Operation: op, Fence: fence, Backend: name, Nonce: 1}}})
	k.relay(&wire.Command{Kind: &wire.Command_Finish{Finish: &wire.Finish{Operation: op, Fence: fence, Unknown: true}}})
	k.send(&wire.Reply{Kind: &wire.Reply_End{End: &wire.End{Ran: true, Fault: wire.NewFault(fault.New(fault.Unknown, "lost"))}}})
}

// answerWith returns a handler that answers a look-up with a status and a body.
func answerWith(status uint32, body string) func(*fakeAttempt) {
	return func(k *fakeAttempt) { k.send(head(k.work, status, "text/plain"), chunk(body), end(0)) }
}

// lookupTimes records the times of the look-ups at the side processes.
type lookupTimes struct {
	mu sync.Mutex
	at []time.Time
}

func (s *lookupTimes) first() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.at) == 0 {
		return time.Time{}
	}
	return s.at[0]
}

func (s *lookupTimes) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.at)
}

// answerLookups makes side processes lose the outcome of the first call, run the
// next ones, and answer look-ups.
func (w *testGate) answerLookups(answer func(*fakeAttempt), ids ...string) (*lookupTimes, *atomic.Int64) {
	w.cluster.put(w.t, map[string]any{"routes/pay": conf.Route{
		PathPrefix: "/pay", Methods: []string{"POST"}, Service: "pay", BusinessKeyFields: []string{"home", "day"}, LookupPath: "/by-key/",
	}})
	time.Sleep(time.Second) // the route is in force
	s, calls := &lookupTimes{}, &atomic.Int64{}
	w.setHandler(func(k *fakeAttempt) {
		switch {
		case k.work.GetKind() == ident.Lookup:
			s.mu.Lock()
			s.at = append(s.at, time.Now())
			s.mu.Unlock()
			answer(k)
		case calls.Add(1) == 1:
			k.loseOutcome()
		default:
			k.runOperation(&atomic.Int64{})
			k.send(head(k.work, 201, "text/plain"), chunk("paid"), end(0))
		}
	}, ids...)
	return s, calls
}

// notRunBody is the body of a 404 that states that a call did not run.
const notRunBody = `{"ran": false}`

// A look-up settles an operation with an unknown outcome, but only by a clear
// answer in time: a false "not run" would let a payout run twice.
func TestLookup(t *testing.T) {
	cases := map[string]struct {
		answer       func(*fakeAttempt)
		first, again string
		calls        int64
	}{
		"answer lost after running": {answerWith(200, "paid"), "200  ran=", "200  ran=", 1},
		"call never arrived":        {answerWith(404, notRunBody), "503 unavailable ran=no", "201  ran=", 2},
		"path does not exist":       {answerWith(404, "404 page not found"), "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"look-up fails":             {answerWith(500, "error"), "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"in progress":               {answerWith(202, "wait"), "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"look-up is cut":            {func(*fakeAttempt) {}, "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"side refuses":              {func(k *fakeAttempt) { k.send(refused(fault.Busy)) }, "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"late and false answer": {func(k *fakeAttempt) {
			time.Sleep(2500 * time.Millisecond)
			answerWith(404, notRunBody)(k)
		}, "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, w *testGate) {
				asked, calls := w.answerLookups(c.answer, "pay")
				start := time.Now()
				for i, want := range []string{c.first, c.again} {
					rec, _ := w.do(paymentRequest("key", "h1"))
					if got := errorSummary(rec); got != want {
						t.Errorf("call %d: got %s (%s), want %s", i+1, got, rec.Body, want)
					}
				}
				time.Sleep(5 * time.Second) // until side processes that answer late have ended
				if calls.Load() != c.calls {
					t.Errorf("got %d calls, want %d", calls.Load(), c.calls)
				}
				// A call may start up to 2 s after its Hand and then wait at the service.
				if d := asked.first().Sub(start); d < 7*time.Second {
					t.Errorf("got a look-up after %s, too early to trust a 404", d)
				}
				audits := w.cluster.ledger.Audits(0, 1000)
				settled := slices.ContainsFunc(audits, func(a *wire.Audit) bool { return a.GetAction() == "settle" && a.GetActor() == "gate-1" })
				if want := c.first[:3] != "504"; settled != want {
					t.Errorf("got settled by the gate in the audit trail %v, want %v", settled, want)
				}
			})
		})
	}
}

// Without a look-up path there is no look-up, and the outcome stays unknown.
func TestNoLookup(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		asked, _ := w.answerLookups(answerWith(404, notRunBody), "pay")
		w.cluster.put(t, map[string]any{"routes/pay": conf.Route{PathPrefix: "/pay", Methods: []string{"POST"}, Service: "pay"}})
		time.Sleep(time.Second)
		for range 2 {
			if rec, _ := w.do(paymentRequest("key", "h1")); errorSummary(rec) != "504 unknown ran=unknown" {
				t.Errorf("got %s", errorSummary(rec))
			}
		}
		time.Sleep(30 * time.Second)
		if asked.count() != 0 {
			t.Errorf("got %d look-ups", asked.count())
		}
	})
}

// An instance that did not get the call cannot tell that the call did not run: it
// may still wait at the stalled instance that got it. But the instance may know
// that the call ran.
func TestLookupElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*fakeAttempt)
		want   string
	}{
		"not run": {answerWith(404, notRunBody), "504 unknown ran=unknown"},
		"ran":     {answerWith(200, "paid"), "200  ran="},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, w *testGate) {
				_, _ = w.answerLookups(c.answer, "pay")
				time.AfterFunc(time.Second, func() {
					w.sides["pay"].set(func() { w.sides["pay"].silent = true }) // stalled
					w.add("pay2", &wire.Load{Service: "pay", Slots: 4, Healthy: true})
					w.setHandler(c.answer, "pay2")
				})
				if rec, _ := w.do(paymentRequest("key", "h1")); errorSummary(rec) != c.want {
					t.Errorf("got %s (%s), want %s", errorSummary(rec), rec.Body, c.want)
				}
			})
		})
	}
}

// Callers that wait for the same outcome share one look-up. If another gate
// settles the operation first and the call begins again, the look-up's answer
// about the first run must not settle the second.
func TestLookupsAtOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		const id = "acme/pay/key"
		asked, calls := w.answerLookups(func(k *fakeAttempt) {
			_, err := w.cluster.Propose(t.Context(), &wire.Command{Actor: "gate-2", Kind: &wire.Command_Settle{Settle: &wire.Settle{
				Operation: id, Fence: k.work.GetFence(),
			}}})
			if err != nil {
				t.Error(err)
			}
			begin := &wire.Begin{Customer: "acme", Route: "pay", Key: "key", Digest: "d", Incarnation: uint64(w.cluster.Incarnation()), Request: "other"}
			res, err := w.cluster.Propose(t.Context(), &wire.Command{Kind: &wire.Command_Begin{Begin: begin}})
			if err != nil {
				t.Error(err)
			}
			fence := res.GetOperation().GetFence()
			for _, cmd := range []*wire.Command{
				{Kind: &wire.Command_Hand{Hand: &wire.Hand{Operation: id, Fence: fence, Backend: "pay", Nonce: 9}}},
				{Kind: &wire.Command_Finish{Finish: &wire.Finish{Operation: id, Fence: fence, Unknown: true}}},
			} {
				if _, err := w.cluster.Propose(t.Context(), cmd); err != nil {
					t.Error(err)
				}
			}
			answerWith(404, notRunBody)(k)
		}, "pay")
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if rec, _ := w.do(paymentRequest("key", "h1")); errorSummary(rec) != "504 unknown ran=unknown" && rec.Code != http.StatusTooManyRequests {
					t.Errorf("got %s for a call that may run again", errorSummary(rec))
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		if asked.count() != 1 || calls.Load() != 1 {
			t.Errorf("got %d look-ups and %d calls, want 1 and 1", asked.count(), calls.Load())
		}
		if op := w.cluster.ledger.Operations(id, "")[0]; op.GetPhase() != "unknown" || op.GetFence() == 1 {
			t.Errorf("got %v, want the second run unknown", op)
		}
	})
}
