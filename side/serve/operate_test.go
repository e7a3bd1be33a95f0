package serve

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
	"citronledge.example/stub/plain"
)

// The answer of an operation must be in the ledger before the caller gets it,
// and the bearer key of the caller must not reach the service.
func TestOperationIsRecorded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env, ledger := newTestEnv(t, true), newFakeLedger()
		g := env.connectGate("gate-1", ledger, 2000, 0)
		got := g.run(payoutWork("k1"))
		if got.end.GetFault() != nil || got.head.GetStatus() != 200 || !strings.Contains(got.text(), `"run":1`) {
			t.Fatalf("got %v %v %q", got.head, got.end, got.text())
		}
		if len(ledger.finishes) != 1 || string(ledger.finishes[0].GetBody()) != got.text() {
			t.Errorf("got finish %v, want the answer %q", ledger.finishes, got.text())
		}
		again := g.run(payoutWork("k1"))
		if env.service.RunCount(serviceKey) != 1 || again.faultKind() != fault.Unknown || !again.end.GetRan() {
			t.Errorf("got %d runs and %v for the same assignment, want 1 and unknown", env.service.RunCount(serviceKey), again.end)
		}
		if ledger.phase() != "done" {
			t.Errorf("got phase %s, want done", ledger.phase())
		}
	})
}

// Each case takes away the right to make the call. The service must not be
// called, and the operation must not stay assigned to this process.
func TestServiceIsNotCalled(t *testing.T) {
	tests := map[string]struct {
		work   func(*wire.Work)
		ledger func(*fakeLedger)
		env    func(*testEnv)
		want   fault.Kind
		phase  string
	}{
		"stale fence": {ledger: func(b *fakeLedger) {
			b.commit(&wire.Command{Kind: &wire.Command_Abort{Abort: &wire.Abort{Operation: operation, Fence: 1}}})
			b.begin()
		}, want: fault.Stale, phase: "begun"},
		"assigned elsewhere": {ledger: func(b *fakeLedger) { b.handElsewhere() }, want: fault.Stale, phase: "handed"},
		"already done": {ledger: func(b *fakeLedger) {
			b.handElsewhere()
			b.commit(&wire.Command{Kind: &wire.Command_Finish{Finish: &wire.Finish{Operation: operation, Fence: 1, Status: 200}}})
		}, want: fault.Stale, phase: "done"},
		"Hand committed late": {ledger: func(b *fakeLedger) { b.handDelay = 2100 * time.Millisecond }, want: fault.Unavailable, phase: "aborted"},
		"slow connection after Hand": {
			ledger: func(b *fakeLedger) { b.handDelay = 1500 * time.Millisecond },
			env:    func(env *testEnv) { env.dialDelay = 600 * time.Millisecond },
			want:   fault.Unavailable, phase: "aborted",
		},
		"service is down":   {env: func(env *testEnv) { _ = env.backendListener.Close() }, want: fault.Unavailable, phase: "aborted"},
		"no operation":      {work: func(w *wire.Work) { w.Operation = "" }, want: fault.Invalid, phase: "begun"},
		"route not allowed": {work: func(w *wire.Work) { w.Customer = "other" }, want: fault.Forbidden, phase: "begun"},
		"path leaves route": {
			work: func(w *wire.Work) { w.Path = "/payouts/%2e%2e/admin" }, want: fault.Invalid, phase: "begun",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env, ledger, work := newTestEnv(t, true), newFakeLedger(), payoutWork("k1")
				g := env.connectGate("gate-1", ledger, 2000, 0)
				if test.work != nil {
					test.work(work)
				}
				if test.ledger != nil {
					test.ledger(ledger)
				}
				if test.env != nil {
					test.env(env)
				}
				got := g.run(work)
				if got.faultKind() != test.want || got.end.GetRan() {
					t.Errorf("got %v, want %s, not run", got.end, test.want)
				}
				if n := env.service.RunCount(serviceKey); n != 0 {
					t.Errorf("got %d runs, want 0", n)
				}
				if got := ledger.phase(); got != test.phase {
					t.Errorf("got phase %s, want %s", got, test.phase)
				}
			})
		})
	}
}

// When the gate fails during the call, the operation must be finished through
// another gate, without a second call.
func TestOperationOutlivesGate(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env, ledger := newTestEnv(t, true), newFakeLedger()
		a, b := env.connectGate("gate-1", ledger, 2000, 0), env.connectGate("gate-2", ledger, 2000, 0)
		env.service.SetFaults(plain.Faults{DelayMillis: 3000})
		st := a.sendWork(payoutWork("k1"))
		time.Sleep(time.Second)
		_ = a.sess.Close()
		_ = st.Close()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if ledger.phase() != "done" || ledger.finishes[0].GetUnknown() || env.service.RunCount(serviceKey) != 1 {
			t.Errorf("got phase %s, %d runs; want done through the other gate, 1 run", ledger.phase(), env.service.RunCount(serviceKey))
		}
		time.Sleep(5 * time.Second)
		if b.recordCount(9) == 0 {
			t.Error("got no usage record of the operation at the other gate")
		}
	})
}

// A call whose answer is lost may have run: it must not count as not run, and
// the HTTP client must not resend it.
func TestLostAnswerIsUnknown(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env, ledger := newTestEnv(t, true), newFakeLedger()
		g := env.connectGate("gate-1", ledger, 2000, 0)
		env.service.SetFaults(plain.Faults{DropAfterRun: true})
		got := g.run(payoutWork("k1"))
		if got.faultKind() != fault.Unknown || !got.end.GetRan() || env.service.RunCount(serviceKey) != 1 {
			t.Errorf("got %v and %d runs, want unknown and 1", got.end, env.service.RunCount(serviceKey))
		}
		if len(ledger.finishes) != 1 || !ledger.finishes[0].GetUnknown() {
			t.Errorf("got finish %v, want unknown", ledger.finishes)
		}
	})
}

// If the result of Hand is lost, it is unknown whether it was committed, so the
// service must not be called.
func TestUnansweredHandIsNotCalled(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env, ledger := newTestEnv(t, true), newFakeLedger()
		g := env.connectGate("gate-1", ledger, 2000, 0)
		ledger.dropResults = true
		got := g.run(payoutWork("k1"))
		if got.faultKind() != fault.Unavailable || got.end.GetRan() || env.service.RunCount(serviceKey) != 0 {
			t.Errorf("got %v and %d runs, want not run", got.end, env.service.RunCount(serviceKey))
		}
		if len(env.server.uncommittedOperations()) != 1 {
			t.Error("Abort is not retried")
		}
		ledger.mu.Lock()
		ledger.dropResults = false
		ledger.mu.Unlock()
		time.Sleep(3 * time.Second)
		if ledger.phase() != "aborted" || len(env.server.uncommittedOperations()) != 0 {
			t.Errorf("got phase %s, want aborted", ledger.phase())
		}
	})
}

// The answer of a repeatable call must be complete, and a service must report
// slots.
func TestRepeatableCallIsWhole(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, true)
		g := env.connectGate("gate-1", newFakeLedger(), 2000, 0)
		work := payoutWork("")
		work.Route, work.Method, work.Path, work.Operation, work.Fence = "state", "GET", "/state/7?full=1", "", 0
		got := g.run(work)
		if got.end.GetFault() != nil || got.head.GetStatus() != 200 || !strings.Contains(got.text(), `"path":"/state/7"`) {
			t.Errorf("got %v %v %q", got.head, got.end, got.text())
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if l := g.loads[len(g.loads)-1]; l.GetService() != "payouts" || l.GetSlots() == 0 || !l.GetHealthy() {
			t.Errorf("got load %v; gates send no work without slots", l)
		}
	})
}

// A look-up must use the path of the route only, must not count as a run, and
// must be refused on a route without a look-up path.
func TestLookup(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env, ledger := newTestEnv(t, true), newFakeLedger()
		g := env.connectGate("gate-1", ledger, 2000, 0)
		lookupWork := payoutWork("k1")
		lookupWork.Kind, lookupWork.Method, lookupWork.Path, lookupWork.Body, lookupWork.Sequence = "lookup", "DELETE", "/admin", nil, 0
		if got := g.run(lookupWork); got.head.GetStatus() != 404 {
			t.Errorf("got %v before the call, want 404", got.head)
		}
		paid := g.run(payoutWork("k1"))
		got := g.run(lookupWork)
		if got.head.GetStatus() != 200 || got.text() != paid.text() || env.service.RunCount(serviceKey) != 1 || g.recordCount(0) != 0 {
			t.Errorf("got %v %q after the call, want %q and one run", got.head, got.text(), paid.text())
		}
		lookupWork.Route = "state"
		if got := g.run(lookupWork); got.faultKind() != fault.Invalid || got.end.GetRan() {
			t.Errorf("got %v on a repeatable route, want a refusal", got.end)
		}
	})
}
