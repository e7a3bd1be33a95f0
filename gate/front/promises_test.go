package front_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/gate/route"
)

func (w *testGate) receivedBy(ids ...string) []*wire.Work {
	var list []*wire.Work
	for _, id := range ids {
		list = append(list, w.sides[id].received()...)
	}
	return list
}

func (w *testGate) withdraw(version string) {
	w.cluster.put(w.t, map[string]any{conf.WithdrawnPrefix + "small/" + version: conf.Withdrawal{Reason: "bad"}})
}

// A refusal that says "not run" must be true: the backend server was not called.
func TestNotRunRefusalIsTrue(t *testing.T) {
	cases := map[string]struct {
		work func(*fakeAttempt)
		want string
	}{
		"side refuses": {func(k *fakeAttempt) { k.send(refused(fault.NoLease)) }, "503 no_lease ran=no"},
		"side is full": {func(k *fakeAttempt) { k.send(refused(fault.Busy)) }, "429 busy ran=no"},
		"busy after a run": {func(k *fakeAttempt) {
			r := refused(fault.Busy)
			r.GetEnd().Ran = true
			k.send(r)
		}, "429 busy ran=unknown"},
		"cut before the head": {func(*fakeAttempt) {}, "502 upstream ran=unknown"},
		"engine fails":        {func(k *fakeAttempt) { k.send(head(k.work, 500, "text/plain"), end(0)) }, "502 upstream ran=unknown"},
		"hangs":               {func(k *fakeAttempt) { <-k.closed }, "504 timeout ran=unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, w *testGate) {
				w.setHandler(c.work, "a", "b")
				if rec, _ := w.do(request{body: chatBody}); errorSummary(rec) != c.want {
					t.Errorf("got %s, want %s", errorSummary(rec), c.want)
				}
				if n := len(w.bills()); n != 1 {
					t.Errorf("got %d bills, want one for the billing number", n)
				}
			})
		})
	}
}

// A withdrawn version gets no new chat or report, not even for a request accepted
// before the withdrawal: no retry, resume, hedge or cascade step starts on it.
func TestWithdrawnGetsNoNewAttempt(t *testing.T) {
	check := func(t *testing.T, w *testGate, started int) {
		t.Helper()
		n := 0
		for _, work := range w.receivedBy("a", "b") {
			if work.GetModel() == "small" && work.GetVersion() == "v2" {
				n++
			}
		}
		if n != started {
			t.Errorf("got %d attempts on the withdrawn version, want the %d from before", n, started)
		}
	}
	t.Run("retry", func(t *testing.T) {
		runInBubble(t, func(t *testing.T, w *testGate) {
			var once sync.Once
			w.setHandler(func(k *fakeAttempt) {
				cut := false
				once.Do(func() {
					w.withdraw("v2")
					cut = true
				})
				if !cut {
					k.answer()
				}
			}, "a", "b")
			if rec, _ := w.do(request{body: chatBody}); rec.Code != 200 {
				t.Errorf("got %s, want an answer of the other version", errorSummary(rec))
			}
			check(t, w, 1)
		})
	})
	t.Run("resume", func(t *testing.T) {
		runInBubble(t, func(t *testing.T, w *testGate) {
			w.setHandler(func(k *fakeAttempt) {
				w.withdraw("v2")
				k.send(head(k.work, 200, "text/event-stream"), event(0))
			}, "a", "b")
			rec, _ := w.do(request{body: streamBody})
			if got := rec.Body.String(); strings.Contains(got, "[DONE]") || !strings.Contains(got, `"error"`) {
				t.Errorf("got %q, want an error event", got)
			}
			check(t, w, 1)
		})
	})
	t.Run("hedge", func(t *testing.T) {
		runInBubble(t, func(t *testing.T, w *testGate) {
			w.warmUp()
			before := len(w.receivedBy("a", "b"))
			w.setHandler(func(k *fakeAttempt) {
				w.withdraw("v2")
				time.Sleep(5 * time.Second)
				k.answer()
			}, "a", "b")
			if rec, _ := w.do(request{body: chatBody}); rec.Code != 200 {
				t.Errorf("got %s, want the answer that was under way", errorSummary(rec))
			}
			check(t, w, before+1)
		})
	})
	t.Run("cascade", func(t *testing.T) {
		runInBubble(t, func(t *testing.T, w *testGate) {
			w.rater = func(route.RatingRequest) (ident.Quality, time.Duration) { return 0.1, 0 }
			w.setHandler(func(k *fakeAttempt) {
				w.cluster.put(w.t, map[string]any{conf.WithdrawnPrefix + "large/v1": conf.Withdrawal{}})
				k.answer()
			}, "a", "b")
			rec, _ := w.do(request{body: `{"model":"auto"}`})
			if works := w.receivedBy("a", "b"); rec.Code != 200 || len(works) != 1 || works[0].GetModel() != "small" {
				t.Errorf("got %s and works %v, want the cheap answer and no attempt on the withdrawn strong model", errorSummary(rec), works)
			}
		})
	})
}

// A session keeps its version during a rollout. Only a withdrawal moves it, and
// the answer says so.
func TestSessionKeepsVersion(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		ask := func() (version, moved string) {
			rec, _ := w.do(request{body: chatBody, headers: map[string]string{"X-Session-Id": "s1"}})
			if rec.Code != 200 {
				t.Fatalf("got %s", errorSummary(rec))
			}
			for _, work := range w.receivedBy("a", "b") {
				if work.GetRequest() == rec.Header().Get("X-Request-Id") {
					version = work.GetVersion()
				}
			}
			return version, rec.Header().Get("X-Version-Changed")
		}
		w.cluster.put(t, map[string]any{"rollouts/small": conf.Rollout{From: "v2", To: "v1", Steps: []ident.Share{0}, Phase: conf.RolloutRunning}})
		if got, moved := ask(); got != "v2" || moved != "" {
			t.Fatalf("got version %s, moved %q, want v2", got, moved)
		}
		w.cluster.put(t, map[string]any{"rollouts/small": conf.Rollout{From: "v2", To: "v1", Steps: []ident.Share{1}, Phase: conf.RolloutRunning}})
		if got, moved := ask(); got != "v2" || moved != "" {
			t.Errorf("got version %s, moved %q, want v2 kept during the rollout", got, moved)
		}
		w.withdraw("v2")
		if got, moved := ask(); got != "v1" || moved != "v2->v1" {
			t.Errorf("got version %s, moved %q, want a move to v1", got, moved)
		}
		w.cluster.put(t, map[string]any{conf.WithdrawnPrefix + "small/v2": nil})
		if got, moved := ask(); got != "v1" || moved != "" {
			t.Errorf("got version %s, moved %q, want v1 kept after the restore", got, moved)
		}
	})
}

// A leaving backend server gets no new work after 3 s: its own report, missing
// reports and the platform's list each stop it alone.
func TestLeavingGetsNothing(t *testing.T) {
	cases := map[string]func(w *testGate){
		"own report": func(w *testGate) { w.sides["a"].set(func() { w.sides["a"].leaving = true }) },
		"silence":    func(w *testGate) { w.sides["a"].set(func() { w.sides["a"].silent = true }) },
		"platform list": func(w *testGate) {
			w.cluster.put(w.t, map[string]any{"members/a": conf.Member{Addr: "a", Zone: "z1", Presence: conf.MemberLeaving}})
		},
		"gone from the list": func(w *testGate) { w.cluster.put(w.t, map[string]any{"members/a": nil}) },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, w *testGate) {
				leave(w)
				time.Sleep(ident.ReportTimeout + ident.MinLoadInterval)
				for range 20 {
					if rec, _ := w.do(request{body: chatBody}); rec.Code != 200 {
						t.Fatalf("got %s", errorSummary(rec))
					}
				}
				if n := len(w.sides["a"].received()); n != 0 {
					t.Errorf("got %d works on the leaving backend server, want none", n)
				}
			})
		})
	}
}

// warmUp lets the gate measure the usual latency.
func (w *testGate) warmUp() {
	for range 60 {
		w.do(request{body: chatBody})
	}
}

// A request is billed once, with a hedge, with cascade steps, and if its caller
// disconnects.
func TestBillOnce(t *testing.T) {
	t.Run("hedge", func(t *testing.T) {
		runInBubble(t, func(t *testing.T, w *testGate) {
			w.warmUp()
			before := len(w.bills())
			var first atomic.Bool
			w.setHandler(func(k *fakeAttempt) {
				if first.CompareAndSwap(false, true) {
					k.send(head(k.work, 200, "application/json"))
					<-k.closed
					k.send(end(3))
					return
				}
				k.answer()
			}, "a", "b")
			rec, _ := w.do(request{body: chatBody})
			bills := w.bills()[before:]
			if rec.Code != 200 || len(bills) != 1 || len(bills[0].GetUsages()) != 2 {
				t.Fatalf("got %d and bills %v, want one bill with both usages", rec.Code, bills)
			}
			if got := bills[0].GetUsages()[0].GetOutput() + bills[0].GetUsages()[1].GetOutput(); got != 10 {
				t.Errorf("got %d tokens, want 3 of the loser and 7 of the winner", got)
			}
		})
	})
	t.Run("cascade", func(t *testing.T) {
		runInBubble(t, func(t *testing.T, w *testGate) {
			w.rater = func(route.RatingRequest) (ident.Quality, time.Duration) { return 0.1, time.Millisecond }
			rec, _ := w.do(request{body: `{"model":"auto"}`})
			bills := w.bills()
			if rec.Code != 200 || len(bills) != 1 || len(bills[0].GetUsages()) != 2 {
				t.Fatalf("got %d and bills %v, want one bill with both steps", rec.Code, bills)
			}
			if u := bills[0].GetUsages(); u[0].GetModel() != "small" || u[1].GetModel() != "large" || u[1].GetCost() != 80 {
				t.Errorf("got usages %v, want small, then large with its price", u)
			}
		})
	})
	t.Run("caller goes away", func(t *testing.T) {
		runInBubble(t, func(t *testing.T, w *testGate) {
			w.setHandler(func(k *fakeAttempt) {
				k.send(head(k.work, 200, "text/event-stream"), event(0), event(1), event(2))
				<-k.closed
			}, "a", "b")
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Second, cancel)
			w.do(request{body: streamBody, ctx: ctx})
			bills := w.bills()
			if len(bills) != 1 || len(bills[0].GetUsages()) != 1 || bills[0].GetUsages()[0].GetOutput() != 3 {
				t.Errorf("got bills %v, want one for the 3 tokens produced", bills)
			}
			if n := len(w.receivedBy("a", "b")); n != 1 {
				t.Errorf("got %d attempts, want 1", n)
			}
		})
	})
}

// While the state cluster is unavailable, answers are delivered, and each bill is
// committed once later.
func TestLateBill(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.cluster.set(func() { w.cluster.down = true })
		rec, _ := w.do(request{body: chatBody})
		if rec.Code != 200 {
			t.Fatalf("got %s, want the answer at the deadline", errorSummary(rec))
		}
		if n := len(w.bills()); n != 0 {
			t.Fatalf("got %d bills without a state cluster", n)
		}
		w.cluster.set(func() { w.cluster.down = false })
		time.Sleep(2 * time.Second)
		if n := len(w.bills()); n != 1 {
			t.Errorf("got %d bills, want 1", n)
		}
	})
}

// A good answer of the cheap model is delivered without escalation, also to a
// streaming caller, and only after its rating.
func TestCascadeKeepsCheapAnswer(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		rec, _ := w.do(request{body: `{"model":"auto","stream":true}`})
		if got := rec.Body.String(); strings.Count(got, `"content":"t`) != streamTokens || !strings.HasSuffix(got, "[DONE]\n\n") {
			t.Errorf("got %q, want the cheap stream", got)
		}
		for _, work := range w.receivedBy("a", "b") {
			if work.GetModel() != "small" {
				t.Errorf("got an attempt on %s, want only the cheap model", work.GetModel())
			}
		}
	})
}

// A planned stop interrupts no request, and its refusals that say "not run" are
// true.
func TestDrain(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.setHandler(func(k *fakeAttempt) {
			time.Sleep(10 * time.Second)
			k.answer()
		}, "a", "b")
		var wg sync.WaitGroup
		wg.Go(func() {
			rec, _ := w.do(request{body: streamBody})
			if got := rec.Body.String(); !strings.HasSuffix(got, "[DONE]\n\n") {
				t.Errorf("got %q, want the running stream to finish", got)
			}
		})
		time.Sleep(time.Second)
		wg.Go(func() {
			if n := w.router.Drain(context.Background()); n != 0 {
				t.Errorf("got %d requests cut, want 0", n)
			}
			if n := w.book.Drain(context.Background()); n != 0 {
				t.Errorf("got %d bills left, want 0", n)
			}
		})
		synctest.Wait()
		if rec, _ := w.do(request{body: chatBody}); errorSummary(rec) != "503 unavailable ran=no" {
			t.Errorf("got %s, want a true refusal", errorSummary(rec))
		}
		wg.Wait()
		if n := len(w.receivedBy("a", "b")); n != 1 {
			t.Errorf("got %d attempts, want none for the refused request", n)
		}
		if n := len(w.bills()); n != 1 {
			t.Errorf("got %d bills, want 1", n)
		}
	})
}

// The statistics of a rollout count every answer with its rating, streamed ones
// too. Nothing is counted again after the gate got a new incarnation.
func TestTallies(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *testGate) {
		w.cluster.put(t, map[string]any{"rollouts/small": conf.Rollout{From: "v1", To: "v2", Steps: []ident.Share{1}, Phase: conf.RolloutRunning}})
		asked := make(chan route.RatingRequest, 2)
		w.rater = func(q route.RatingRequest) (ident.Quality, time.Duration) {
			asked <- q
			return 0.5, time.Millisecond
		}
		w.router.Tallies()
		w.do(request{body: streamBody})
		w.do(request{body: chatBody})
		time.Sleep(time.Second)
		list := w.router.Tallies()
		if len(list) != 1 || list[0].GetVersion() != "v2" || list[0].GetAnswers() != 2 || list[0].GetRated() != 2 || list[0].GetQuality() != 1 {
			t.Errorf("got tallies %v, want two rated answers of v2", list)
		}
		if q := <-asked; q.Answer != "t0t1t2t3t4" {
			t.Errorf("got the text %q for rating, want the streamed tokens", q.Answer)
		}
		w.cluster.set(func() { w.cluster.inc++ })
		if list := w.router.Tallies(); len(list) != 0 {
			t.Errorf("got tallies %v under a new incarnation, want none", list)
		}
	})
}
