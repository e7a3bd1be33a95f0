package front_test

import (
	"sync"
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// A burst beyond the slots is queued and answered; requests that cannot meet
// their deadline are refused early, and a "not run" is true.
func TestQueue(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.setHandler(func(k *fakeAttempt) {
			time.Sleep(time.Second)
			k.answer()
		}, "a", "b")
		w.do(request{body: chatBody}) // the gate measures how long a chat takes
		count := func(n int) map[string]int {
			var mu sync.Mutex
			var wg sync.WaitGroup
			got := map[string]int{}
			for range n {
				wg.Go(func() {
					rec, _ := w.do(request{body: chatBody})
					mu.Lock()
					defer mu.Unlock()
					got[errorSummary(rec)]++
				})
			}
			wg.Wait()
			return got
		}
		if got := count(16); got["200  ran="] != 16 {
			t.Errorf("got %v for a burst of twice the slots, want all answered", got)
		}
		start := time.Now()
		got := count(400)
		if got["200  ran="] < 150 || got["429 busy ran=no"] < 100 || len(got) != 2 {
			t.Errorf("got %v, want answers and true refusals only", got)
		}
		if d := time.Since(start); d > 31*time.Second {
			t.Errorf("got the last answer after %s, over the deadline", d)
		}
	})
}

func TestNoBackendServer(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.cluster.put(t, map[string]any{"members/a": nil, "members/b": nil})
		time.Sleep(time.Second)
		rec, _ := w.do(request{body: chatBody})
		if got := errorSummary(rec); got != "503 unavailable ran=no" || rec.Header().Get("Retry-After") == "" {
			t.Errorf("got %s with Retry-After %q", got, rec.Header().Get("Retry-After"))
		}
	})
}

func TestRateLimit(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.cluster.put(t, map[string]any{"customers/acme": conf.Customer{
			KeyDigests: []string{conf.KeyDigest("k1")}, Models: []string{"small"}, RequestsPerSecond: 1, Burst: 2,
		}})
		for i, want := range []int{200, 200, 429} {
			if rec, _ := w.do(request{body: chatBody}); rec.Code != want {
				t.Errorf("request %d: got %d, want %d", i+1, rec.Code, want)
			}
		}
	})
}

// The usage records of a gate that no longer runs are billed once, under that
// gate's incarnation.
func TestAdoptedRecords(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		rec := &wire.Record{Bill: &wire.Bill{
			Incarnation: 1, Sequence: 77, Customer: "acme", Request: "old",
			Usages: []*wire.Usage{{Model: "small", Version: "v1", Output: 9}},
		}}
		// A record that the ledger refuses must not block the others.
		lost := &wire.Record{Bill: &wire.Bill{Incarnation: 99, Sequence: 1, Customer: "acme"}}
		for _, id := range []string{"a", "b"} {
			s := w.sides[id]
			s.mu.Lock()
			st := s.ctl
			s.mu.Unlock()
			_ = st.Send(&wire.Control{Kind: &wire.Control_Records{Records: &wire.Records{Records: []*wire.Record{lost, rec}}}})
		}
		bills := w.bills()
		if len(bills) != 1 || bills[0].GetSequence() != 77 || bills[0].GetUsages()[0].GetOutput() != 9 {
			t.Errorf("got bills %v, want one under the old number", bills)
		}
		if got := w.sides["a"].settledCount() + w.sides["b"].settledCount(); got != 4 {
			t.Errorf("got %d settled records, want both for each side process", got)
		}
		if n := w.book.Uncommitted(); n != 0 {
			t.Errorf("got %d bills open, want 0", n)
		}
	})
}

// A side process may relay only commands for its operations.
func TestRelayIsLimited(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		res := w.sides["pay"].relay(&wire.Command{Kind: &wire.Command_Change{Change: &wire.Change{Number: 99}}})
		if got := res.GetFault().GetKind(); got != "forbidden" {
			t.Errorf("got %q, want a refusal", got)
		}
	})
}

// Several gates share the same slots. If a side process is briefly full,
// admitted requests must not be refused.
func TestFullSideProcess(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		free := time.Now().Add(500 * time.Millisecond)
		w.setHandler(func(k *fakeAttempt) {
			if time.Now().Before(free) {
				k.send(refused(fault.Busy))
				return
			}
			k.answer()
		}, "a", "b")
		if rec, _ := w.do(request{body: chatBody}); rec.Code != 200 {
			t.Errorf("got %s, want an answer once a slot is free", errorSummary(rec))
		}
	})
}
