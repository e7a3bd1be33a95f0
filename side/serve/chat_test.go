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

// A stream must be complete and must be the answer to its own request, also
// when it resumes an earlier one.
func TestStreamIsWhole(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		g := env.connectGate("gate-1", nil, 2000, 0)
		work := chatWork(1, 6, true)
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

// Work that the configuration does not allow must be refused, and a refusal
// that says "not run" must be true.
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
		"body is not an object":     {func(w *wire.Work) { w.Body = []byte("[") }, fault.Invalid},
	}
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		g := env.connectGate("gate-1", nil, 2000, 0)
		for name, test := range tests {
			work := chatWork(1, 4, false)
			test.change(work)
			got := g.run(work)
			if got.faultKind() != test.want || got.end.GetRan() {
				t.Errorf("%s: got %q ran %v, want %q not run", name, got.faultKind(), got.end.GetRan(), test.want)
			}
		}
		if runs := env.engine.RunsByRequest(); len(runs) != 0 {
			t.Errorf("got runs %v, want none", runs)
		}
	})
}

// Without a valid sublease the configuration may be out of date, so no work may
// run. A grant that arrives after its time, because the process was suspended
// or the gate is slow, must not make the sublease valid.
func TestWorkNeedsSublease(t *testing.T) {
	tests := map[string]struct {
		ttl   uint32
		delay time.Duration
		want  fault.Kind
	}{
		"valid sublease":                   {2000, 0, ""},
		"slow grant":                       {2000, 1200 * time.Millisecond, ""},
		"grant after it expired":           {2000, 2100 * time.Millisecond, fault.NoLease},
		"gate without a lease":             {0, 0, fault.NoLease},
		"gate whose lease is about to end": {100, 150 * time.Millisecond, fault.NoLease},
		"every 10 ms grant after 11 ms":    {10, 11 * time.Millisecond, fault.NoLease},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newTestEnv(t, false)
				g := env.connectGate("gate-1", nil, test.ttl, test.delay)
				time.Sleep(5*time.Second + test.delay)
				synctest.Wait()
				got := g.run(chatWork(1, 4, false))
				if got.faultKind() != test.want || got.end.GetRan() != (test.want == "") {
					t.Errorf("got %q ran %v, want %q", got.faultKind(), got.end.GetRan(), test.want)
				}
			})
		})
	}
}

// A sublease must expire when its gate sends no more grants, and the works that
// run then must not be cancelled.
func TestSubleaseExpiresWithoutGrants(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		g := env.connectGate("gate-1", nil, 2000, 0)
		long := g.sendWork(chatWork(1, 80, true)) // 4 s
		g.mu.Lock()
		g.delay = time.Hour // grants arrive no more
		g.mu.Unlock()
		time.Sleep(1900 * time.Millisecond)
		if got := g.run(chatWork(2, 1, false)); got.end.GetFault() != nil {
			t.Errorf("got %v before the sublease expired, want an answer", got.end)
		}
		time.Sleep(100 * time.Millisecond)
		if got := g.run(chatWork(3, 1, false)); got.faultKind() != fault.NoLease || got.end.GetRan() {
			t.Errorf("got %v after the sublease expired, want no_lease", got.end)
		}
		if got := collectReply(long); got.end == nil || got.end.GetFault() != nil {
			t.Errorf("got %v for the work that ran, want it whole", got.end)
		}
	})
}

// Work must not be refused if the configuration revision that it needs is about
// to arrive, and a gap in the deltas must lead to a full delta.
func TestWaitsForConfiguration(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		g := env.connectGate("gate-1", nil, 2000, 0)
		work := chatWork(1, 1, false)
		work.Revision = 11
		st := g.sendWork(work)
		time.Sleep(300 * time.Millisecond)
		delta := &wire.Delta{From: 10, Revision: 11, Entries: []*wire.Entry{{Key: "withdrawn/small/v1", Value: []byte("{}")}}}
		_ = g.control.Send(&wire.Control{Kind: &wire.Control_Grant{Grant: &wire.Grant{Revision: 11, Delta: delta}}})
		if got := collectReply(st); got.faultKind() != fault.Forbidden {
			t.Errorf("got %v, want the refusal by the awaited configuration", got.end)
		}
		gap := &wire.Delta{From: 12, Revision: 13}
		g.mu.Lock()
		g.config, g.renews = fullConfig(13), nil
		g.mu.Unlock()
		_ = g.control.Send(&wire.Control{Kind: &wire.Control_Grant{Grant: &wire.Grant{Revision: 13, Delta: gap}}})
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if got := env.server.guard.Config.View().Revision; got != 13 {
			t.Errorf("got revision %d after a gap, want 13 from a full delta", got)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if last := g.renews[len(g.renews)-1]; last.GetRevision() != 13 {
			t.Errorf("got %v, want the revision acknowledged at once", last)
		}
	})
}

// A truncated answer must end with a fault, not like a whole one.
func TestTruncatedAnswerIsFault(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "whole": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newTestEnv(t, false)
				g := env.connectGate("gate-1", nil, 2000, 0)
				env.engine.SetFaults(stubengine.Faults{BreakAfterTokens: 3})
				got := g.run(chatWork(1, 8, stream))
				if got.faultKind() != fault.Upstream || !got.end.GetRan() {
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

// When the gate cancels a work, the engine must stop it too, and its usage must
// be recorded.
func TestCancelReachesEngine(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		g := env.connectGate("gate-1", nil, 2000, 0)
		st := g.sendWork(chatWork(1, 100, true))
		time.Sleep(time.Second)
		_ = st.Close()
		synctest.Wait()
		if got := env.engine.LoadReport().Running; got != 0 || env.server.guard.RunningCount() != 0 {
			t.Errorf("got %d running in the engine after the gate closed the stream, want 0", got)
		}
		if got := env.server.usageStore.Len(); got != 1 {
			t.Errorf("got %d usage records of the cancelled work, want 1", got)
		}
	})
}

// When a gate fails, the usage of its requests must be billed exactly once,
// through another gate. Only records that nobody settled are sent to that gate.
func TestUsageSurvivesGate(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		a, b := env.connectGate("gate-1", nil, 2000, 0), env.connectGate("gate-2", nil, 2000, 0)
		a.run(chatWork(1, 4, true))
		a.run(chatWork(2, 4, true))
		a.settle(3, 1)
		running := a.sendWork(chatWork(3, 100, true))
		time.Sleep(time.Second)
		_ = a.sess.Close()
		_ = running.Close()
		time.Sleep(1900 * time.Millisecond)
		if got := b.recordCount(2); got != 0 {
			t.Errorf("got records before a gate that was cut off has stopped")
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if b.recordCount(1) != 0 || b.recordCount(2) < 2 || b.recordCount(3) < 2 {
			t.Errorf("got records 1: %d, 2: %d, 3: %d; want none of 1, 2 and 3 repeated", b.recordCount(1), b.recordCount(2), b.recordCount(3))
		}
		if u := b.records[len(b.records)-1].GetBill().GetUsages(); len(u) != 1 || u[0].GetOutput() == 0 {
			t.Errorf("got usages %v, want one with output", u)
		}
		b.settle(3, 2)
		b.settle(3, 3)
		synctest.Wait()
		before := b.recordCount(2)
		time.Sleep(5 * time.Second)
		if got := env.server.usageStore.Len(); got != 0 || b.recordCount(2) != before {
			t.Errorf("got %d records and more copies after they were settled", got)
		}
	})
}

// A planned stop must not cut a stream, accept new work or lose usage.
func TestDrainCutsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		g := env.connectGate("gate-1", nil, 2000, 0)
		st := g.sendWork(chatWork(1, 100, true))
		time.Sleep(time.Second)
		done := make(chan []string, 1)
		go func() { done <- env.server.Drain(context.Background()) }()
		synctest.Wait()
		g.mu.Lock()
		if last := g.loads[len(g.loads)-1]; !last.GetLeaving() {
			t.Error("the gate was not informed at once that the backend server is leaving")
		}
		g.mu.Unlock()
		if got := g.run(chatWork(2, 1, false)); got.faultKind() != fault.Unavailable || got.end.GetRan() {
			t.Errorf("got %v for new work, want unavailable, not run", got.end)
		}
		if got := collectReply(st); got.end == nil || got.end.GetFault() != nil || !strings.Contains(got.text(), "[DONE]") {
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

// A drain that runs out of time must list what was unfinished.
func TestDrainListsUnfinishedWork(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		g := env.connectGate("gate-1", nil, 2000, 0)
		st := g.sendWork(chatWork(1, 100, true))
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if cut := env.server.Drain(ctx); len(cut) != 1 || cut[0] != "request r1" {
			t.Errorf("got cut %v, want request r1", cut)
		}
		_ = st.Close()
	})
}

// A panic in one work must not end the others.
func TestPanicEndsOneWork(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		g := env.connectGate("gate-1", nil, 2000, 0)
		other := g.sendWork(chatWork(1, 20, true))
		time.Sleep(300 * time.Millisecond)
		env.engineDefect.Store(true)
		if got := g.run(chatWork(2, 1, false)); got.faultKind() != fault.Internal || !got.end.GetRan() {
			t.Errorf("got %v, want internal, ran", got.end)
		}
		env.engineDefect.Store(false)
		if got := collectReply(other); got.end == nil || got.end.GetFault() != nil {
			t.Errorf("got %v for the other work, want it whole", got.end)
		}
		synctest.Wait()
		if got := env.server.guard.RunningCount(); got != 0 {
			t.Errorf("got %d running, want 0", got)
		}
	})
}

// The slot must be free when the gate receives the end of a work, or the next
// work of the gate is refused.
func TestSlotIsFreedBeforeEnd(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		env.server.settings.Slots = 1
		g := env.connectGate("gate-1", nil, 2000, 0)
		for i := range 200 {
			if got := g.run(chatWork(uint64(i+1), 1, i%2 == 0)); got.end.GetFault() != nil {
				t.Fatalf("got %v for work %d, want an answer", got.end, i)
			}
		}
		running := g.sendWork(chatWork(300, 20, true))
		time.Sleep(100 * time.Millisecond)
		if got := g.run(chatWork(301, 1, false)); got.faultKind() != fault.Busy || got.end.GetRan() {
			t.Errorf("got %v while the slot is taken, want busy", got.end)
		}
		collectReply(running)
	})
}

// A withdrawn version must get no new chat, also from a side process that was
// suspended while the version was withdrawn. Once its sublease has expired the
// withdrawal may be in force, so the grants that arrived meanwhile must not
// restore the sublease.
func TestResumedProcessRefusesWithdrawn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		env := newTestEnv(t, false)
		g := env.connectGate("gate-1", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
		if got := g.run(chatWork(1, 1, false)); got.end.GetFault() != nil {
			t.Fatalf("got %v with a sublease", got.end.GetFault())
		}
		g.mu.Lock()
		g.delay = ident.MaxSublease + ident.MaxSublease/100 // grants are late, as in a process that is suspended
		g.mu.Unlock()
		time.Sleep(5 * ident.MaxSublease)
		if got := g.run(chatWork(2, 1, false)); got.faultKind() != fault.NoLease || got.end.GetRan() {
			t.Errorf("got %v, ran %v after the sublease expired; want no_lease", got.end.GetFault(), got.end.GetRan())
		}
		g.mu.Lock()
		g.delay, g.config = 0, fullConfig(11)
		g.config.Entries = append(g.config.Entries, &wire.Entry{Key: "withdrawn/small/v1", Value: []byte("{}")})
		g.mu.Unlock()
		time.Sleep(4 * ident.MaxSublease)
		if got := g.run(chatWork(3, 1, false)); got.faultKind() != fault.Forbidden || got.end.GetRan() {
			t.Errorf("got %v, ran %v after the withdrawal; want forbidden", got.end.GetFault(), got.end.GetRan())
		}
	})
}
