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

func (w *world) works(ids ...string) []*wire.Work {
	var list []*wire.Work
	for _, id := range ids {
		list = append(list, w.sides[id].got()...)
	}
	return list
}

func (w *world) withdraw(version string) {
	w.c.put(w.t, map[string]any{conf.WithdrawnPrefix + "small/" + version: conf.Withdrawal{Reason: "bad"}})
}

// A refusal may say "not run" only while nothing was handed over (rule 6).
func TestRanIsTrue(t *testing.T) {
	cases := map[string]struct {
		work func(*task)
		want string
	}{
		"side refuses": {func(k *task) { k.send(refused(fault.NoLease)) }, "503 no_lease ran=no"},
		"side is full": {func(k *task) { k.send(refused(fault.Busy)) }, "429 busy ran=no"},
		"busy after a run": {func(k *task) {
			r := refused(fault.Busy)
			r.GetEnd().Ran = true
			k.send(r)
		}, "429 busy ran=unknown"},
		"cut before the head": {func(*task) {}, "502 upstream ran=unknown"},
		"engine fails":        {func(k *task) { k.send(head(k.work, 500, "text/plain"), end(0)) }, "502 upstream ran=unknown"},
		"hangs":               {func(k *task) { <-k.gone }, "504 timeout ran=unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				w.handle(c.work, "a", "b")
				if rec, _ := w.do(request{body: plain}); code(rec) != c.want {
					t.Errorf("got %s, want %s", code(rec), c.want)
				}
				if n := len(w.bills()); n != 1 {
					t.Errorf("got %d bills, want the number closed by one", n)
				}
			})
		})
	}
}

// No attempt may start on a version that was withdrawn after the request was
// accepted (rule 2): not as a retry, not as a hedge, not in a cascade.
func TestWithdrawnGetsNoNewAttempt(t *testing.T) {
	check := func(t *testing.T, w *world, started int) {
		t.Helper()
		n := 0
		for _, work := range w.works("a", "b") {
			if work.GetModel() == "small" && work.GetVersion() == "v2" {
				n++
			}
		}
		if n != started {
			t.Errorf("got %d attempts on the withdrawn version, want the %d from before", n, started)
		}
	}
	t.Run("retry", func(t *testing.T) {
		inBubble(t, func(t *testing.T, w *world) {
			var once sync.Once
			w.handle(func(k *task) {
				cut := false
				once.Do(func() {
					w.withdraw("v2")
					cut = true
				})
				if !cut {
					k.serve()
				}
			}, "a", "b")
			if rec, _ := w.do(request{body: plain}); rec.Code != 200 {
				t.Errorf("got %s, want an answer of the other version", code(rec))
			}
			check(t, w, 1)
		})
	})
	t.Run("resume", func(t *testing.T) {
		inBubble(t, func(t *testing.T, w *world) {
			w.handle(func(k *task) {
				w.withdraw("v2")
				k.send(head(k.work, 200, "text/event-stream"), event(0))
			}, "a", "b")
			rec, _ := w.do(request{body: stream})
			if got := rec.Body.String(); strings.Contains(got, "[DONE]") || !strings.Contains(got, `"error"`) {
				t.Errorf("got %q, want an error event", got)
			}
			check(t, w, 1)
		})
	})
	t.Run("hedge", func(t *testing.T) {
		inBubble(t, func(t *testing.T, w *world) {
			w.learn()
			before := len(w.works("a", "b"))
			w.handle(func(k *task) {
				w.withdraw("v2")
				time.Sleep(5 * time.Second)
				k.serve()
			}, "a", "b")
			if rec, _ := w.do(request{body: plain}); rec.Code != 200 {
				t.Errorf("got %s, want the answer that was under way", code(rec))
			}
			check(t, w, before+1)
		})
	})
	t.Run("cascade", func(t *testing.T) {
		inBubble(t, func(t *testing.T, w *world) {
			w.rater = func(route.RatingRequest) (ident.Quality, time.Duration) { return 0.1, 0 }
			w.handle(func(k *task) {
				w.c.put(w.t, map[string]any{conf.WithdrawnPrefix + "large/v1": conf.Withdrawal{}})
				k.serve()
			}, "a", "b")
			rec, _ := w.do(request{body: `{"model":"auto"}`})
			if works := w.works("a", "b"); rec.Code != 200 || len(works) != 1 || works[0].GetModel() != "small" {
				t.Errorf("got %s and works %v, want the cheap answer and no attempt on the withdrawn strong model", code(rec), works)
			}
		})
	})
}

// A session keeps its version through a roll-out and moves only when it is
// withdrawn, which the answer says (rule 3).
func TestSessionKeepsVersion(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		ask := func() (version, moved string) {
			rec, _ := w.do(request{body: plain, headers: map[string]string{"X-Session-Id": "s1"}})
			if rec.Code != 200 {
				t.Fatalf("got %s", code(rec))
			}
			for _, work := range w.works("a", "b") {
				if work.GetRequest() == rec.Header().Get("X-Request-Id") {
					version = work.GetVersion()
				}
			}
			return version, rec.Header().Get("X-Version-Changed")
		}
		w.c.put(t, map[string]any{"rollouts/small": conf.Rollout{From: "v2", To: "v1", Steps: []ident.Share{0}, Phase: conf.RolloutRunning}})
		if got, moved := ask(); got != "v2" || moved != "" {
			t.Fatalf("got version %s, moved %q, want v2", got, moved)
		}
		w.c.put(t, map[string]any{"rollouts/small": conf.Rollout{From: "v2", To: "v1", Steps: []ident.Share{1}, Phase: conf.RolloutRunning}})
		if got, moved := ask(); got != "v2" || moved != "" {
			t.Errorf("got version %s, moved %q, want v2 kept through the roll-out", got, moved)
		}
		w.withdraw("v2")
		if got, moved := ask(); got != "v1" || moved != "v2->v1" {
			t.Errorf("got version %s, moved %q, want a move to v1", got, moved)
		}
		w.c.put(t, map[string]any{conf.WithdrawnPrefix + "small/v2": nil})
		if got, moved := ask(); got != "v1" || moved != "" {
			t.Errorf("got version %s, moved %q, want v1 kept after the restore", got, moved)
		}
	})
}

// Each of the three sources alone stops new work on a backend server (rule 8).
func TestLeavingGetsNothing(t *testing.T) {
	cases := map[string]func(w *world){
		"own report": func(w *world) { w.sides["a"].set(func() { w.sides["a"].leaving = true }) },
		"silence":    func(w *world) { w.sides["a"].set(func() { w.sides["a"].mute = true }) },
		"platform list": func(w *world) {
			w.c.put(w.t, map[string]any{"members/a": conf.Member{Addr: "a", Zone: "z1", Presence: conf.MemberLeaving}})
		},
		"gone from the list": func(w *world) { w.c.put(w.t, map[string]any{"members/a": nil}) },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				leave(w)
				time.Sleep(ident.ReportTimeout + ident.MinLoadInterval)
				for range 20 {
					if rec, _ := w.do(request{body: plain}); rec.Code != 200 {
						t.Fatalf("got %s", code(rec))
					}
				}
				if n := len(w.sides["a"].got()); n != 0 {
					t.Errorf("got %d works on the leaving backend server, want none", n)
				}
			})
		})
	}
}

// learn lets the gate learn the usual latency.
func (w *world) learn() {
	for range 60 {
		w.do(request{body: plain})
	}
}

// Hedges, cascade steps and callers that go away share one bill (rule 4).
func TestBillOnce(t *testing.T) {
	t.Run("hedge", func(t *testing.T) {
		inBubble(t, func(t *testing.T, w *world) {
			w.learn()
			before := len(w.bills())
			var first atomic.Bool
			w.handle(func(k *task) {
				if first.CompareAndSwap(false, true) {
					k.send(head(k.work, 200, "application/json"))
					<-k.gone
					k.send(end(3))
					return
				}
				k.serve()
			}, "a", "b")
			rec, _ := w.do(request{body: plain})
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
		inBubble(t, func(t *testing.T, w *world) {
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
		inBubble(t, func(t *testing.T, w *world) {
			w.handle(func(k *task) {
				k.send(head(k.work, 200, "text/event-stream"), event(0), event(1), event(2))
				<-k.gone
			}, "a", "b")
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Second, cancel)
			w.do(request{body: stream, ctx: ctx})
			bills := w.bills()
			if len(bills) != 1 || len(bills[0].GetUsages()) != 1 || bills[0].GetUsages()[0].GetOutput() != 3 {
				t.Errorf("got bills %v, want one for the 3 tokens produced", bills)
			}
			if n := len(w.works("a", "b")); n != 1 {
				t.Errorf("got %d attempts, want 1", n)
			}
		})
	})
}

// While the state cluster is away an answer is delivered, and its bill is
// committed later, once.
func TestLateBill(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.c.set(func() { w.c.down = true })
		rec, _ := w.do(request{body: plain})
		if rec.Code != 200 {
			t.Fatalf("got %s, want the answer at the deadline", code(rec))
		}
		if n := len(w.bills()); n != 0 {
			t.Fatalf("got %d bills without a state cluster", n)
		}
		w.c.set(func() { w.c.down = false })
		time.Sleep(2 * time.Second)
		if n := len(w.bills()); n != 1 {
			t.Errorf("got %d bills, want 1", n)
		}
	})
}

// A cheap answer that is good enough is delivered, also to a streaming caller,
// and only after its check.
func TestCascadeKeeps(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		rec, _ := w.do(request{body: `{"model":"auto","stream":true}`})
		if got := rec.Body.String(); strings.Count(got, `"content":"t`) != streamed || !strings.HasSuffix(got, "[DONE]\n\n") {
			t.Errorf("got %q, want the cheap stream", got)
		}
		for _, work := range w.works("a", "b") {
			if work.GetModel() != "small" {
				t.Errorf("got an attempt on %s, want only the cheap model", work.GetModel())
			}
		}
	})
}

// Drain refuses truly and cuts nothing (rule 9).
func TestDrain(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.handle(func(k *task) {
			time.Sleep(10 * time.Second)
			k.serve()
		}, "a", "b")
		var wg sync.WaitGroup
		wg.Go(func() {
			rec, _ := w.do(request{body: stream})
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
		if rec, _ := w.do(request{body: plain}); code(rec) != "503 unavailable ran=no" {
			t.Errorf("got %s, want a true refusal", code(rec))
		}
		wg.Wait()
		if n := len(w.works("a", "b")); n != 1 {
			t.Errorf("got %d attempts, want none for the refused request", n)
		}
		if n := len(w.bills()); n != 1 {
			t.Errorf("got %d bills, want 1", n)
		}
	})
}

// The test of a roll-out sees every answer, streamed ones too, with its
// rating, and nothing twice after the gate got a new number.
func TestTallies(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.c.put(t, map[string]any{"rollouts/small": conf.Rollout{From: "v1", To: "v2", Steps: []ident.Share{1}, Phase: conf.RolloutRunning}})
		asked := make(chan route.RatingRequest, 2)
		w.rater = func(q route.RatingRequest) (ident.Quality, time.Duration) {
			asked <- q
			return 0.5, time.Millisecond
		}
		w.router.Tallies()
		w.do(request{body: stream})
		w.do(request{body: plain})
		time.Sleep(time.Second)
		list := w.router.Tallies()
		if len(list) != 1 || list[0].GetVersion() != "v2" || list[0].GetAnswers() != 2 || list[0].GetRated() != 2 || list[0].GetQuality() != 1 {
			t.Errorf("got tallies %v, want two rated answers of v2", list)
		}
		if q := <-asked; q.Answer != "t0t1t2t3t4" {
			t.Errorf("got the text %q for rating, want the streamed tokens", q.Answer)
		}
		w.c.set(func() { w.c.inc++ })
		if list := w.router.Tallies(); len(list) != 0 {
			t.Errorf("got tallies %v under a new number, want none", list)
		}
	})
}
