package front_test

import (
	"sync"
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// A burst over the slots waits and is answered; what cannot meet its deadline
// is refused early and truly.
func TestQueue(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.handle(func(k *task) {
			time.Sleep(time.Second)
			k.serve()
		}, "a", "b")
		w.do(request{body: plain}) // the gate learns the time that a chat takes
		count := func(n int) map[string]int {
			var mu sync.Mutex
			var wg sync.WaitGroup
			got := map[string]int{}
			for range n {
				wg.Go(func() {
					rec, _ := w.do(request{body: plain})
					mu.Lock()
					defer mu.Unlock()
					got[code(rec)]++
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
	inBubble(t, func(t *testing.T, w *world) {
		w.c.put(t, map[string]any{"members/a": nil, "members/b": nil})
		time.Sleep(time.Second)
		rec, _ := w.do(request{body: plain})
		if got := code(rec); got != "503 unavailable ran=no" || rec.Header().Get("Retry-After") == "" {
			t.Errorf("got %s with Retry-After %q", got, rec.Header().Get("Retry-After"))
		}
	})
}

func TestRateLimit(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.c.put(t, map[string]any{"customers/acme": conf.Customer{
			KeyDigests: []string{conf.KeyDigest("k1")}, Models: []string{"small"}, RequestsPerSecond: 1, Burst: 2,
		}})
		for i, want := range []int{200, 200, 429} {
			if rec, _ := w.do(request{body: plain}); rec.Code != want {
				t.Errorf("request %d: got %d, want %d", i+1, rec.Code, want)
			}
		}
	})
}

// Records of a gate that is gone are billed under its own number, once.
func TestAdoptedRecords(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		rec := &wire.Record{Bill: &wire.Bill{
			Incarnation: 1, Sequence: 77, Customer: "acme", Request: "old",
			Usages: []*wire.Usage{{Model: "small", Version: "v1", Output: 9}},
		}}
		// One that the ledger refuses must not hold up the others.
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
		if got := w.sides["a"].billed() + w.sides["b"].billed(); got != 4 {
			t.Errorf("got %d settled records, want both for each side process", got)
		}
		if n := w.book.Uncommitted(); n != 0 {
			t.Errorf("got %d bills open, want 0", n)
		}
	})
}

// A side process may relay only the commands of its operations.
func TestRelayIsLimited(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		res := w.sides["pay"].relay(&wire.Command{Kind: &wire.Command_Change{Change: &wire.Change{Number: 99}}})
		if got := res.GetFault().GetKind(); got != "forbidden" {
			t.Errorf("got %q, want a refusal", got)
		}
	})
}

// Several gates fill the same slots. A side process that is full for a moment
// must not lead to refusals of admitted requests.
func TestFullSideProcess(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		free := time.Now().Add(500 * time.Millisecond)
		w.handle(func(k *task) {
			if time.Now().Before(free) {
				k.send(refused(fault.Busy))
				return
			}
			k.serve()
		}, "a", "b")
		if rec, _ := w.do(request{body: plain}); rec.Code != 200 {
			t.Errorf("got %s, want an answer once a slot is free", code(rec))
		}
	})
}
