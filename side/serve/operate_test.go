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

// Guards against an operation whose answer is not on record before the
// caller has it, and against a bearer key that reaches the service.
func TestOperationIsRecorded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, book := newWorld(t, true), newBook()
		g := w.link("gate-1", book, 2000, 0)
		got := g.run(payout("k1"))
		if got.end.GetFault() != nil || got.head.GetStatus() != 200 || !strings.Contains(got.text(), `"run":1`) {
			t.Fatalf("got %v %v %q", got.head, got.end, got.text())
		}
		if len(book.finish) != 1 || string(book.finish[0].GetBody()) != got.text() {
			t.Errorf("got finish %v, want the answer %q", book.finish, got.text())
		}
		again := g.run(payout("k1"))
		if w.service.RunCount(serviceKey) != 1 || again.kind() != fault.Unknown || !again.end.GetRan() {
			t.Errorf("got %d runs and %v for the same hand-over, want 1 and unknown", w.service.RunCount(serviceKey), again.end)
		}
		if book.state() != "done" {
			t.Errorf("got phase %s, want done", book.state())
		}
	})
}

// Guards against a call whose right to run is gone: every case must leave
// the service uncalled and the operation not handed over.
func TestOperationIsNotCalled(t *testing.T) {
	tests := map[string]struct {
		work  func(*wire.Work)
		book  func(*book)
		world func(*world)
		want  fault.Kind
		phase string
	}{
		"stale fence": {book: func(b *book) {
			b.commit(&wire.Command{Kind: &wire.Command_Abort{Abort: &wire.Abort{Operation: operation, Fence: 1}}})
			b.begin()
		}, want: fault.Stale, phase: "begun"},
		"handed elsewhere": {book: func(b *book) { b.hand() }, want: fault.Stale, phase: "handed"},
		"already done": {book: func(b *book) {
			b.hand()
			b.commit(&wire.Command{Kind: &wire.Command_Finish{Finish: &wire.Finish{Operation: operation, Fence: 1, Status: 200}}})
		}, want: fault.Stale, phase: "done"},
		"hand committed late": {book: func(b *book) { b.delay = 2100 * time.Millisecond }, want: fault.Unavailable, phase: "aborted"},
		"slow connection after hand": {
			book:  func(b *book) { b.delay = 1500 * time.Millisecond },
			world: func(w *world) { w.dialing = 600 * time.Millisecond },
			want:  fault.Unavailable, phase: "aborted",
		},
		"service is down": {world: func(w *world) { _ = w.back.Close() }, want: fault.Unavailable, phase: "aborted"},
		"no operation":    {work: func(w *wire.Work) { w.Operation = "" }, want: fault.Invalid, phase: "begun"},
		"route of others": {work: func(w *wire.Work) { w.Customer = "other" }, want: fault.Forbidden, phase: "begun"},
		"path leaves route": {
			work: func(w *wire.Work) { w.Path = "/payouts/%2e%2e/admin" }, want: fault.Invalid, phase: "begun",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w, book, work := newWorld(t, true), newBook(), payout("k1")
				g := w.link("gate-1", book, 2000, 0)
				if test.work != nil {
					test.work(work)
				}
				if test.book != nil {
					test.book(book)
				}
				if test.world != nil {
					test.world(w)
				}
				got := g.run(work)
				if got.kind() != test.want || got.end.GetRan() {
					t.Errorf("got %v, want %s, not run", got.end, test.want)
				}
				if n := w.service.RunCount(serviceKey); n != 0 {
					t.Errorf("got %d runs, want 0", n)
				}
				if got := book.state(); got != test.phase {
					t.Errorf("got phase %s, want %s", got, test.phase)
				}
			})
		})
	}
}

// Guards against an operation that stays handed over when its gate dies
// during the call, and against a second call.
func TestOperationOutlivesGate(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, book := newWorld(t, true), newBook()
		a, b := w.link("gate-1", book, 2000, 0), w.link("gate-2", book, 2000, 0)
		w.service.SetFaults(plain.Faults{DelayMillis: 3000})
		st := a.open(payout("k1"))
		time.Sleep(time.Second)
		_ = a.sess.Close()
		_ = st.Close()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if book.state() != "done" || book.finish[0].GetUnknown() || w.service.RunCount(serviceKey) != 1 {
			t.Errorf("got phase %s, %d runs; want done through the other gate, 1 run", book.state(), w.service.RunCount(serviceKey))
		}
		time.Sleep(5 * time.Second)
		if b.billed(9) == 0 {
			t.Error("got no usage record of the operation at the other gate")
		}
	})
}

// Guards against "not run" for a call that may have run, and against a
// client library that resends it.
func TestLostAnswerIsUnknown(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, book := newWorld(t, true), newBook()
		g := w.link("gate-1", book, 2000, 0)
		w.service.SetFaults(plain.Faults{DropAfterRun: true})
		got := g.run(payout("k1"))
		if got.kind() != fault.Unknown || !got.end.GetRan() || w.service.RunCount(serviceKey) != 1 {
			t.Errorf("got %v and %d runs, want unknown and 1", got.end, w.service.RunCount(serviceKey))
		}
		if len(book.finish) != 1 || !book.finish[0].GetUnknown() {
			t.Errorf("got finish %v, want unknown", book.finish)
		}
	})
}

// Guards against a result that is lost on the way: whether Hand was committed
// is not known, so the service must not be called.
func TestUnansweredHandIsNotCalled(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, book := newWorld(t, true), newBook()
		g := w.link("gate-1", book, 2000, 0)
		book.mute = true
		got := g.run(payout("k1"))
		if got.kind() != fault.Unavailable || got.end.GetRan() || w.service.RunCount(serviceKey) != 0 {
			t.Errorf("got %v and %d runs, want not run", got.end, w.service.RunCount(serviceKey))
		}
		if len(w.server.pending()) != 1 {
			t.Error("Abort is not retried")
		}
		book.mu.Lock()
		book.mute = false
		book.mu.Unlock()
		time.Sleep(3 * time.Second)
		if book.state() != "aborted" || len(w.server.pending()) != 0 {
			t.Errorf("got phase %s, want aborted", book.state())
		}
	})
}

// Guards against a repeatable call that loses parts of its answer.
func TestRepeatableCallPasses(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, true)
		g := w.link("gate-1", newBook(), 2000, 0)
		work := payout("")
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

// Guards against a look-up that leads elsewhere or counts as a run, and
// against one on a route without a path for it.
func TestLookup(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, book := newWorld(t, true), newBook()
		g := w.link("gate-1", book, 2000, 0)
		look := payout("k1")
		look.Kind, look.Method, look.Path, look.Body, look.Sequence = "lookup", "DELETE", "/admin", nil, 0
		if got := g.run(look); got.head.GetStatus() != 404 {
			t.Errorf("got %v before the call, want 404", got.head)
		}
		paid := g.run(payout("k1"))
		got := g.run(look)
		if got.head.GetStatus() != 200 || got.text() != paid.text() || w.service.RunCount(serviceKey) != 1 || g.billed(0) != 0 {
			t.Errorf("got %v %q after the call, want %q and one run", got.head, got.text(), paid.text())
		}
		look.Route = "state"
		if got := g.run(look); got.kind() != fault.Invalid || got.end.GetRan() {
			t.Errorf("got %v on a repeatable route, want a refusal", got.end)
		}
	})
}
