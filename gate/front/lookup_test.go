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

// lose does what a side process does whose service breaks off: hand, finish
// with an unknown outcome.
func (k *task) lose() {
	op, fence, name := k.work.GetOperation(), k.work.GetFence(), k.load.GetBackend()
	k.relay(&wire.Command{Kind: &wire.Command_Hand{Hand: &wire.Hand{Operation: op, Fence: fence, Backend: name, Nonce: 1}}})
	k.relay(&wire.Command{Kind: &wire.Command_Finish{Finish: &wire.Finish{Operation: op, Fence: fence, Unknown: true}}})
	k.send(&wire.Reply{Kind: &wire.Reply_End{End: &wire.End{Ran: true, Fault: wire.NewFault(fault.New(fault.Unknown, "lost"))}}})
}

// says returns what a service answers to a look-up.
func says(status uint32, body string) func(*task) {
	return func(k *task) { k.send(head(k.work, status, "text/plain"), chunk(body), end(0)) }
}

// seen notes the look-ups at the sides.
type seen struct {
	mu sync.Mutex
	at []time.Time
}

func (s *seen) first() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.at) == 0 {
		return time.Time{}
	}
	return s.at[0]
}

func (s *seen) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.at)
}

// lookups makes sides lose the first call, run the next ones, and answer
// look-ups.
func (w *world) lookups(answer func(*task), ids ...string) (*seen, *atomic.Int64) {
	w.c.put(w.t, map[string]any{"routes/pay": conf.Route{
		PathPrefix: "/pay", Methods: []string{"POST"}, Service: "pay", BusinessKeyFields: []string{"home", "day"}, LookupPath: "/by-key/",
	}})
	time.Sleep(time.Second) // the route is in force
	s, calls := &seen{}, &atomic.Int64{}
	w.handle(func(k *task) {
		switch {
		case k.work.GetKind() == ident.Lookup:
			s.mu.Lock()
			s.at = append(s.at, time.Now())
			s.mu.Unlock()
			answer(k)
		case calls.Add(1) == 1:
			k.lose()
		default:
			k.pay(&atomic.Int64{})
			k.send(head(k.work, 201, "text/plain"), chunk("paid"), end(0))
		}
	}, ids...)
	return s, calls
}

// notRun is the body of a 404 that says that a call did not run.
const notRun = `{"ran": false}`

// A look-up settles an operation of unknown outcome, but only by a clear
// answer in time: a wrong "not run" would let a payout run twice.
func TestLookup(t *testing.T) {
	cases := map[string]struct {
		answer       func(*task)
		first, again string
		calls        int64
	}{
		"answer lost after running": {says(200, "paid"), "200  ran=", "200  ran=", 1},
		"call never arrived":        {says(404, notRun), "503 unavailable ran=no", "201  ran=", 2},
		"path does not exist":       {says(404, "404 page not found"), "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"look-up fails":             {says(500, "error"), "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"in progress":               {says(202, "wait"), "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"look-up is cut":            {func(*task) {}, "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"side refuses":              {func(k *task) { k.send(refused(fault.Busy)) }, "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
		"lies late": {func(k *task) {
			time.Sleep(2500 * time.Millisecond)
			says(404, notRun)(k)
		}, "504 unknown ran=unknown", "504 unknown ran=unknown", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				asked, calls := w.lookups(c.answer, "pay")
				start := time.Now()
				for i, want := range []string{c.first, c.again} {
					rec, _ := w.do(payment("key", "h1"))
					if got := code(rec); got != want {
						t.Errorf("call %d: got %s (%s), want %s", i+1, got, rec.Body, want)
					}
				}
				time.Sleep(5 * time.Second) // sides that answer late have ended
				if calls.Load() != c.calls {
					t.Errorf("got %d calls, want %d", calls.Load(), c.calls)
				}
				// A call may start 2 s after its Hand and then wait at the service.
				if d := asked.first().Sub(start); d < 7*time.Second {
					t.Errorf("asked after %s, too early to believe a 404", d)
				}
				audits := w.c.ledger.Audits(0, 1000)
				settled := slices.ContainsFunc(audits, func(a *wire.Audit) bool { return a.GetAction() == "settle" && a.GetActor() == "gate-1" })
				if want := c.first[:3] != "504"; settled != want {
					t.Errorf("got settled by the gate in the audit trail %v, want %v", settled, want)
				}
			})
		})
	}
}

// Without a look-up path nobody asks, and the outcome stays unknown.
func TestNoLookup(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		asked, _ := w.lookups(says(404, notRun), "pay")
		w.c.put(t, map[string]any{"routes/pay": conf.Route{PathPrefix: "/pay", Methods: []string{"POST"}, Service: "pay"}})
		time.Sleep(time.Second)
		for range 2 {
			if rec, _ := w.do(payment("key", "h1")); code(rec) != "504 unknown ran=unknown" {
				t.Errorf("got %s", code(rec))
			}
		}
		time.Sleep(30 * time.Second)
		if asked.count() != 0 {
			t.Errorf("got %d look-ups", asked.count())
		}
	})
}

// An instance that did not get the call cannot know that it does not wait at
// the one that did, which may be stalled. It may know that the call ran.
func TestLookupElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*task)
		want   string
	}{
		"not run": {says(404, notRun), "504 unknown ran=unknown"},
		"ran":     {says(200, "paid"), "200  ran="},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				_, _ = w.lookups(c.answer, "pay")
				time.AfterFunc(time.Second, func() {
					w.sides["pay"].set(func() { w.sides["pay"].mute = true }) // stalled
					w.add("pay2", &wire.Load{Service: "pay", Slots: 4, Healthy: true})
					w.handle(c.answer, "pay2")
				})
				if rec, _ := w.do(payment("key", "h1")); code(rec) != c.want {
					t.Errorf("got %s (%s), want %s", code(rec), rec.Body, c.want)
				}
			})
		})
	}
}

// Callers that wait for the same outcome share one look-up. When another gate
// settles first and the call begins again, the word on the first run must not
// settle the second.
func TestLookupsAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		const id = "acme/pay/key"
		asked, calls := w.lookups(func(k *task) {
			_, err := w.c.Propose(t.Context(), &wire.Command{Actor: "gate-2", Kind: &wire.Command_Settle{Settle: &wire.Settle{
				Operation: id, Fence: k.work.GetFence(),
			}}})
			if err != nil {
				t.Error(err)
			}
			begin := &wire.Begin{Customer: "acme", Route: "pay", Key: "key", Digest: "d", Incarnation: uint64(w.c.Incarnation()), Request: "other"}
			res, err := w.c.Propose(t.Context(), &wire.Command{Kind: &wire.Command_Begin{Begin: begin}})
			if err != nil {
				t.Error(err)
			}
			fence := res.GetOperation().GetFence()
			for _, cmd := range []*wire.Command{
				{Kind: &wire.Command_Hand{Hand: &wire.Hand{Operation: id, Fence: fence, Backend: "pay", Nonce: 9}}},
				{Kind: &wire.Command_Finish{Finish: &wire.Finish{Operation: id, Fence: fence, Unknown: true}}},
			} {
				if _, err := w.c.Propose(t.Context(), cmd); err != nil {
					t.Error(err)
				}
			}
			says(404, notRun)(k)
		}, "pay")
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if rec, _ := w.do(payment("key", "h1")); code(rec) != "504 unknown ran=unknown" && rec.Code != http.StatusTooManyRequests {
					t.Errorf("got %s for a call that may run again", code(rec))
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		if asked.count() != 1 || calls.Load() != 1 {
			t.Errorf("got %d look-ups and %d calls, want 1 and 1", asked.count(), calls.Load())
		}
		if op := w.c.ledger.Operations(id, "")[0]; op.GetPhase() != "unknown" || op.GetFence() == 1 {
			t.Errorf("got %v, want the second run unknown", op)
		}
	})
}
