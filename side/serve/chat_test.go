package serve

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	stubengine "citronledge.example/stub/engine"
)

// Guards against an answer that is not the request's own, or not whole.
func TestStreamIsWhole(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		g := w.link("gate-1", nil, 2000, 0)
		work := chat(1, 6, true)
		work.Resume = 2
		got := g.run(work)
		if got.end.GetFault() != nil || !got.end.GetRan() || got.head.GetRequest() != "r1" || got.head.GetAttempt() != 1 {
			t.Fatalf("got head %v, end %v", got.head, got.end)
		}
		var tokens []string
		for _, c := range got.chunks {
			if _, rest, ok := strings.Cut(c, `"content":"`); ok {
				token, _, _ := strings.Cut(rest, `"`)
				tokens = append(tokens, strings.Fields(token)...)
			}
		}
		want := stubengine.AnswerTokens("r1", "how is claim 7\n", 6, false)[2:]
		if fmt.Sprint(tokens) != fmt.Sprint(want) {
			t.Errorf("got tokens %v, want %v after a resume", tokens, want)
		}
		if last := got.chunks[len(got.chunks)-1]; last != "data: [DONE]\n\n" {
			t.Errorf("got last chunk %q, want [DONE]", last)
		}
		if strings.Contains(got.text(), "usage") {
			t.Error("got the usage, which the caller had not asked for")
		}
		if u := got.end.GetUsage(); u.GetInput() != 4 || u.GetOutput() != 4 || u.GetCost() != 12 {
			t.Errorf("got usage %v, want input 4, output 4, cost 12", u)
		}
	})
}

// Guards against work outside of what the configuration allows, and against
// a "not run" that is not true.
func TestRefusedWorkDoesNotRun(t *testing.T) {
	tests := map[string]struct {
		change func(*wire.Work)
		want   fault.Kind
	}{
		"model of another customer": {func(w *wire.Work) { w.Model = "big" }, fault.Forbidden},
		"unknown customer":          {func(w *wire.Work) { w.Customer = "nobody" }, fault.Forbidden},
		"withdrawn version":         {func(w *wire.Work) { w.Version = "v2" }, fault.Forbidden},
		"no version":                {func(w *wire.Work) { w.Version = "" }, fault.Forbidden},
		"newer configuration":       {func(w *wire.Work) { w.Revision = 11 }, fault.Stale},
		"call to an engine":         {func(w *wire.Work) { w.Kind, w.Route = "call", "pay" }, fault.Unavailable},
		"unknown kind":              {func(w *wire.Work) { w.Kind = "train" }, fault.Invalid},
		"body is no object":         {func(w *wire.Work) { w.Body = []byte("[") }, fault.Invalid},
	}
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		g := w.link("gate-1", nil, 2000, 0)
		for name, test := range tests {
			work := chat(1, 4, false)
			test.change(work)
			got := g.run(work)
			if got.kind() != test.want || got.end.GetRan() {
				t.Errorf("%s: got %q ran %v, want %q not run", name, got.kind(), got.end.GetRan(), test.want)
			}
		}
		if runs := w.engine.RunsByRequest(); len(runs) != 0 {
			t.Errorf("got runs %v, want none", runs)
		}
	})
}

// Guards against work under a configuration that may be out of date: the
// lease ran out, or the grant came so late (the process was suspended, the
// gate slow) that it covers nothing any more.
func TestNoLeaseNoWork(t *testing.T) {
	tests := map[string]struct {
		ttl   uint32
		delay time.Duration
		want  fault.Kind
	}{
		"valid":                        {2000, 0, ""},
		"slow grant":                   {2000, 1200 * time.Millisecond, ""},
		"grant later than its time":    {2000, 2100 * time.Millisecond, fault.NoLease},
		"gate without a lease":         {0, 0, fault.NoLease},
		"gate with little of it left":  {100, 150 * time.Millisecond, fault.NoLease},
		"every grant of ten ms, later": {10, 11 * time.Millisecond, fault.NoLease},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newWorld(t, false)
				g := w.link("gate-1", nil, test.ttl, test.delay)
				time.Sleep(5*time.Second + test.delay)
				synctest.Wait()
				got := g.run(chat(1, 4, false))
				if got.kind() != test.want || got.end.GetRan() != (test.want == "") {
					t.Errorf("got %q ran %v, want %q", got.kind(), got.end.GetRan(), test.want)
				}
			})
		})
	}
}

// Guards against a lease that outlives the silence of its gate, and against
// cutting what runs when it ends.
func TestLeaseEndsWithoutGrants(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		g := w.link("gate-1", nil, 2000, 0)
		long := g.open(chat(1, 80, true)) // 4 s
		g.mu.Lock()
		g.delay = time.Hour // no more grants
		g.mu.Unlock()
		time.Sleep(1900 * time.Millisecond)
		if got := g.run(chat(2, 1, false)); got.end.GetFault() != nil {
			t.Errorf("got %v before the lease ended, want an answer", got.end)
		}
		time.Sleep(100 * time.Millisecond)
		if got := g.run(chat(3, 1, false)); got.kind() != fault.NoLease || got.end.GetRan() {
			t.Errorf("got %v after the lease ended, want no_lease", got.end)
		}
		if got := collect(long); got.end == nil || got.end.GetFault() != nil {
			t.Errorf("got %v for the work that ran, want it whole", got.end)
		}
	})
}

// Guards against a refusal of work whose configuration is just on its way.
func TestWaitsForConfiguration(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		g := w.link("gate-1", nil, 2000, 0)
		work := chat(1, 1, false)
		work.Revision = 11
		st := g.open(work)
		time.Sleep(300 * time.Millisecond)
		delta := &wire.Delta{From: 10, Revision: 11, Entries: []*wire.Entry{{Key: "withdrawn/small/v1", Value: []byte("{}")}}}
		_ = g.ctl.Send(&wire.Control{Kind: &wire.Control_Grant{Grant: &wire.Grant{Revision: 11, Delta: delta}}})
		if got := collect(st); got.kind() != fault.Forbidden {
			t.Errorf("got %v, want the refusal by the awaited configuration", got.end)
		}
		gap := &wire.Delta{From: 12, Revision: 13}
		g.mu.Lock()
		g.config, g.renews = config(13), nil
		g.mu.Unlock()
		_ = g.ctl.Send(&wire.Control{Kind: &wire.Control_Grant{Grant: &wire.Grant{Revision: 13, Delta: gap}}})
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if got := w.server.guard.Config.View().Revision; got != 13 {
			t.Errorf("got revision %d after a gap, want 13 from a full delta", got)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if last := g.renews[len(g.renews)-1]; last.GetRevision() != 13 {
			t.Errorf("got %v, want the revision told at once", last)
		}
	})
}

// Guards against a cut answer that looks whole.
func TestTruncatedIsNotClean(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "whole": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newWorld(t, false)
				g := w.link("gate-1", nil, 2000, 0)
				w.engine.SetFaults(stubengine.Faults{BreakAfterTokens: 3})
				got := g.run(chat(1, 8, stream))
				if got.kind() != fault.Upstream || !got.end.GetRan() {
					t.Errorf("got end %v, want upstream, ran", got.end)
				}
				if strings.Contains(got.text(), "[DONE]") || (!stream && got.head != nil) {
					t.Errorf("got a clean end: %q", got.text())
				}
				if stream && got.end.GetUsage().GetOutput() != 3 {
					t.Errorf("got %v, want the 3 tokens that came", got.end.GetUsage())
				}
			})
		})
	}
}

// Guards against an engine that works on for nobody.
func TestCancelReachesEngine(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		g := w.link("gate-1", nil, 2000, 0)
		st := g.open(chat(1, 100, true))
		time.Sleep(time.Second)
		_ = st.Close()
		synctest.Wait()
		if got := w.engine.LoadReport().Running; got != 0 || w.server.guard.RunningCount() != 0 {
			t.Errorf("got %d running in the engine after the gate gave up, want 0", got)
		}
		if got := w.server.book.Len(); got != 1 {
			t.Errorf("got %d usage records of the cancelled work, want 1", got)
		}
	})
}

// Guards against work that is never billed, or billed twice, when its gate
// is lost.
func TestUsageSurvivesGate(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		a, b := w.link("gate-1", nil, 2000, 0), w.link("gate-2", nil, 2000, 0)
		a.run(chat(1, 4, true))
		a.run(chat(2, 4, true))
		a.settle(3, 1)
		running := a.open(chat(3, 100, true))
		time.Sleep(time.Second)
		_ = a.sess.Close()
		_ = running.Close()
		time.Sleep(1900 * time.Millisecond)
		if got := b.billed(2); got != 0 {
			t.Errorf("got records before a gate that was cut off has stopped")
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if b.billed(1) != 0 || b.billed(2) < 2 || b.billed(3) < 2 {
			t.Errorf("got records 1: %d, 2: %d, 3: %d; want none of 1, 2 and 3 repeated", b.billed(1), b.billed(2), b.billed(3))
		}
		if u := b.records[len(b.records)-1].GetBill().GetUsages(); len(u) != 1 || u[0].GetOutput() == 0 {
			t.Errorf("got usages %v, want one with output", u)
		}
		b.settle(3, 2)
		b.settle(3, 3)
		synctest.Wait()
		before := b.billed(2)
		time.Sleep(5 * time.Second)
		if got := w.server.book.Len(); got != 0 || b.billed(2) != before {
			t.Errorf("got %d records and more copies after they were settled", got)
		}
	})
}

// Guards against a planned stop that cuts a stream, takes new work or loses
// usage.
func TestDrainCutsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		g := w.link("gate-1", nil, 2000, 0)
		st := g.open(chat(1, 100, true))
		time.Sleep(time.Second)
		done := make(chan []string, 1)
		go func() { done <- w.server.Drain(context.Background()) }()
		synctest.Wait()
		g.mu.Lock()
		if last := g.loads[len(g.loads)-1]; !last.GetLeaving() {
			t.Error("the gate was not told at once that the backend server leaves")
		}
		g.mu.Unlock()
		if got := g.run(chat(2, 1, false)); got.kind() != fault.Unavailable || got.end.GetRan() {
			t.Errorf("got %v for new work, want unavailable, not run", got.end)
		}
		if got := collect(st); got.end == nil || got.end.GetFault() != nil || !strings.Contains(got.text(), "[DONE]") {
			t.Errorf("got %v, want the whole stream", got.end)
		}
		synctest.Wait()
		if len(done) != 0 {
			t.Error("drain ended before the usage was settled")
		}
		g.settle(3, 1)
		if cut := <-done; cut != nil {
			t.Errorf("got cut %v, want none", cut)
		}
	})
}

// Guards against a drain that hides what it cut.
func TestDrainListsWhatIsCut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		g := w.link("gate-1", nil, 2000, 0)
		st := g.open(chat(1, 100, true))
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if cut := w.server.Drain(ctx); len(cut) != 1 || cut[0] != "request r1" {
			t.Errorf("got cut %v, want request r1", cut)
		}
		_ = st.Close()
	})
}

// Guards against a defect in one work that ends the works of others.
func TestPanicEndsOneWork(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		g := w.link("gate-1", nil, 2000, 0)
		other := g.open(chat(1, 20, true))
		time.Sleep(300 * time.Millisecond)
		w.defect.Store(true)
		if got := g.run(chat(2, 1, false)); got.kind() != fault.Internal || !got.end.GetRan() {
			t.Errorf("got %v, want internal, ran", got.end)
		}
		w.defect.Store(false)
		if got := collect(other); got.end == nil || got.end.GetFault() != nil {
			t.Errorf("got %v for the other work, want it whole", got.end)
		}
		synctest.Wait()
		if got := w.server.guard.RunningCount(); got != 0 {
			t.Errorf("got %d running, want 0", got)
		}
	})
}

// Guards against a gate that is told of the end of a work and refused the
// next one for lack of its slot.
func TestSlotIsFreeAtTheEnd(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		w.server.set.Slots = 1
		g := w.link("gate-1", nil, 2000, 0)
		for i := range 200 {
			if got := g.run(chat(uint64(i+1), 1, i%2 == 0)); got.end.GetFault() != nil {
				t.Fatalf("got %v for work %d, want an answer", got.end, i)
			}
		}
		running := g.open(chat(300, 20, true))
		time.Sleep(100 * time.Millisecond)
		if got := g.run(chat(301, 1, false)); got.kind() != fault.Busy || got.end.GetRan() {
			t.Errorf("got %v while the slot is taken, want busy", got.end)
		}
		collect(running)
	})
}

// Guards rule 2 against a side process that was suspended while a version was
// withdrawn. Once its sub-lease has ended the change may be in force, so the
// grants that waited for it must not bring the sub-lease back.
func TestThawedSideRefusesWithdrawn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, false)
		g := w.link("gate-1", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
		if got := g.run(chat(1, 1, false)); got.end.GetFault() != nil {
			t.Fatalf("got %v with a sub-lease", got.end.GetFault())
		}
		g.mu.Lock()
		g.delay = ident.MaxSublease + ident.MaxSublease/100 // the reads wait, as in a process that is suspended
		g.mu.Unlock()
		time.Sleep(5 * ident.MaxSublease)
		if got := g.run(chat(2, 1, false)); got.kind() != fault.NoLease || got.end.GetRan() {
			t.Errorf("got %v, ran %v after the sub-lease; want no_lease", got.end.GetFault(), got.end.GetRan())
		}
		g.mu.Lock()
		g.delay, g.config = 0, config(11)
		g.config.Entries = append(g.config.Entries, &wire.Entry{Key: "withdrawn/small/v1", Value: []byte("{}")})
		g.mu.Unlock()
		time.Sleep(4 * ident.MaxSublease)
		if got := g.run(chat(3, 1, false)); got.kind() != fault.Forbidden || got.end.GetRan() {
			t.Errorf("got %v, ran %v after the withdrawal; want forbidden", got.end.GetFault(), got.end.GetRan())
		}
	})
}
