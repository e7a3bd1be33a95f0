package node

import (
	"context"
	"slices"
	"testing"
	"time"

	"citronledge.example/core/client"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

var withdrawnTarget = ident.Target{Model: "small", Version: "v1"}

// mayServe reports whether a gate would still start work on the withdrawn
// version.
func mayServe(c *client.Client) bool {
	_, gone := c.View().Withdrawn[withdrawnTarget]
	return c.LeaseValidAt(time.Now()) && !gone
}

// TestWithdrawalInForce guards the promises that a withdrawn version gets no
// new work and that a configuration is in force everywhere within 3 s: when a
// withdrawal is declared in force, which takes less than 3 s, no gate serves
// the version, whatever part of its connection fails.
func TestWithdrawalInForce(t *testing.T) {
	tests := map[string]struct {
		up, down bool
		limit    time.Duration
		expired  []string
	}{
		"connected":       {true, true, 100 * time.Millisecond, nil},
		"cut off":         {false, false, 3 * time.Second, []string{"gate"}},
		"renewals arrive": {true, false, 3 * time.Second, []string{"gate"}},
		"grants arrive":   {false, true, 3 * time.Second, []string{"gate"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *testRig) {
				c, p, _ := r.holdLease()
				time.Sleep(1234 * time.Millisecond)
				p.setOpen(tt.up, tt.down)
				start := time.Now()
				revision := r.commit(changeCommand(1, "withdrawn/small/v1", "{}"))
				w := r.waitInForce(revision)
				if mayServe(c) {
					t.Error("the version is withdrawn in force and still served")
				}
				if took := time.Since(start); took >= tt.limit {
					t.Errorf("got in force after %s, want under %s", took, tt.limit)
				}
				if !slices.Equal(w.GetExpired(), tt.expired) {
					t.Errorf("got expired %v, want %v", w.GetExpired(), tt.expired)
				}
			})
		})
	}
}

// TestLeaseEndsBeforeServerExpiry guards the margin for clock errors: a gate
// whose clock runs up to 1 % slower or faster than the leader's stops using its
// lease before the leader counts it as expired.
func TestLeaseEndsBeforeServerExpiry(t *testing.T) {
	bubble(t, func(r *testRig) {
		c, p, _ := r.holdLease()
		time.Sleep(5 * time.Second)
		p.setOpen(false, false)
		for len(r.node.Status().GetHolders()) > 0 {
			time.Sleep(time.Millisecond)
		}
		expired := time.Now()
		sent := c.LeaseExpiry().Add(-ident.LeaseDuration)
		for _, slow := range []float64{1 - ident.MaxClockRateError, 1, 1 + ident.MaxClockRateError} {
			stop := sent.Add(time.Duration(float64(ident.LeaseDuration) * slow))
			if !stop.Before(expired) {
				t.Errorf("clock slower by factor %v: the gate stops at %s, %s after the leader counts it as expired", slow, stop, stop.Sub(expired))
			}
		}
		// The lease counts from the renewal: the answer arrived two latencies
		// later.
		if limit := expired.Add(-ident.GuardedLeaseDuration - latency); sent.After(limit.Add(10 * time.Millisecond)) {
			t.Errorf("lease counted from %s, want from the sending of the renewal, before %s", sent, limit)
		}
	})
}

// TestReturnAfterCut guards against a gate that reconnects after a change came
// into force without it and serves by its old view for a moment.
func TestReturnAfterCut(t *testing.T) {
	bubble(t, func(r *testRig) {
		c, p, _ := r.holdLease()
		p.setOpen(false, false)
		r.waitInForce(r.commit(changeCommand(1, "withdrawn/small/v1", "{}")))
		p.setOpen(true, true)
		for range 3000 {
			time.Sleep(time.Millisecond)
			if mayServe(c) {
				t.Fatal("a returning gate has a lease on a view without the withdrawal")
			}
		}
		if !c.LeaseValidAt(time.Now()) {
			t.Error("the gate got no lease after its return")
		}
	})
}

// TestStaleRenewalIsNotGranted guards against the same fault at the leader,
// whatever the client does: a renewal at a revision below the one in force gets
// no lease time.
func TestStaleRenewalIsNotGranted(t *testing.T) {
	bubble(t, func(r *testRig) {
		r.commit(&wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Name: "gate"}}})
		r.waitInForce(r.commit(changeCommand(1, "limits", "{}")))
		e, err := r.node.currentEpoch(r.ctx)
		if err != nil {
			t.Fatal(err)
		}
		for revision, want := range map[uint64]uint32{0: 0, 1: uint32(ident.LeaseDuration / time.Millisecond)} {
			if got := r.node.renewLease(e, &wire.Renew{Incarnation: 1, Revision: revision}).GetTtl(); got != want {
				t.Errorf("renewal at revision %d: got %d ms, want %d", revision, got, want)
			}
		}
		// The next leader cannot know what its predecessor declared in force.
		r.consensus.setElected(time.Now())
		if e, err = r.node.currentEpoch(r.ctx); err != nil {
			t.Fatal(err)
		}
		if got := r.node.renewLease(e, &wire.Renew{Incarnation: 1}).GetTtl(); got != 0 {
			t.Errorf("stale renewal with a new leader: got %d ms, want 0", got)
		}
	})
}

// TestNoAcknowledgement guards against a gate that delays a change forever: it
// renews its lease and does not apply the delta.
func TestNoAcknowledgement(t *testing.T) {
	bubble(t, func(r *testRig) {
		r.commit(&wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Name: "gate"}}})
		ctx, cancel := context.WithCancel(r.ctx)
		defer cancel()
		e, err := r.node.currentEpoch(ctx)
		if err != nil {
			t.Fatal(err)
		}
		r.wg.Go(func() {
			for ctx.Err() == nil {
				r.node.renewLease(e, &wire.Renew{Name: "gate", Incarnation: 1})
				time.Sleep(ident.RenewInterval)
			}
		})
		time.Sleep(2 * time.Second)
		start := time.Now()
		r.waitInForce(r.commit(changeCommand(1, "limits", "{}")))
		if took := time.Since(start); took >= 3*time.Second {
			t.Errorf("got in force after %s, want under 3 s", took)
		}
	})
}

// TestNewLeaderWaits guards against a new leader that declares a change in
// force while a gate that has not contacted it still holds a lease from the
// predecessor.
func TestNewLeaderWaits(t *testing.T) {
	bubble(t, func(r *testRig) {
		c, p, _ := r.holdLease()
		time.Sleep(2 * time.Second)
		p.setOpen(false, false)
		elected := time.Now()
		r.consensus.setElected(elected)
		w := r.waitInForce(r.commit(changeCommand(1, "withdrawn/small/v1", "{}")))
		if mayServe(c) {
			t.Error("the version is withdrawn in force and still served")
		}
		if got := time.Since(elected); got < ident.GuardedLeaseDuration || got >= 2500*time.Millisecond {
			t.Errorf("got in force %s after the election, want %s", got, ident.GuardedLeaseDuration)
		}
		if !slices.Equal(w.GetExpired(), []string{"gate"}) {
			t.Errorf("got expired %v, want the gate named", w.GetExpired())
		}
	})
}

// TestDeposedLeader guards against grants and decisions by a process whose
// leader lease ended.
func TestDeposedLeader(t *testing.T) {
	bubble(t, func(r *testRig) {
		c, _, _ := r.holdLease()
		r.consensus.setElected(time.Time{})
		time.Sleep(ident.GuardedLeaseDuration)
		if c.LeaseValidAt(time.Now()) {
			t.Error("the gate has a lease from a deposed leader")
		}
		if _, err := r.node.waitInForce(r.ctx, &wire.WaitQuery{Timeout: 100}); err == nil {
			t.Error("a deposed leader declared a revision in force")
		}
		r.consensus.setElected(time.Now())
		time.Sleep(2 * time.Second)
		if !c.LeaseValidAt(time.Now()) {
			t.Error("the gate got no lease from the next leader")
		}
	})
}

// TestSecondElection guards against grants by the state of an earlier epoch,
// after which another process may have led and put a change in force.
func TestSecondElection(t *testing.T) {
	bubble(t, func(r *testRig) {
		r.commit(&wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Name: "gate"}}})
		before, err := r.node.currentEpoch(r.ctx)
		if err != nil {
			t.Fatal(err)
		}
		r.consensus.setElected(time.Now())
		if got := r.node.renewLease(before, &wire.Renew{Incarnation: 1}); got.GetTtl() != 0 {
			t.Errorf("got a grant of %d ms, want none", got.GetTtl())
		}
	})
}

// TestLeaving guards against changes that wait for a gate that has stopped.
func TestLeaving(t *testing.T) {
	bubble(t, func(r *testRig) {
		c, _, stop := r.holdLease(client.WithLastSequence(func(ident.Incarnation) ident.Sequence { return 7 }))
		stop()
		time.Sleep(200 * time.Millisecond)
		if c.LeaseValidAt(time.Now()) || len(r.node.Status().GetHolders()) > 0 {
			t.Error("the lease outlives its holder")
		}
		if got := r.node.ledger.UnbilledSequences(); len(got) != 1 || got[0].GetLast() != 7 {
			t.Errorf("got open %v, want the numbers up to 7", got)
		}
	})
}

// TestRetired guards against a gate that continues under an incarnation whose
// operations others may have taken over.
func TestRetired(t *testing.T) {
	bubble(t, func(r *testRig) {
		c, p, _ := r.holdLease()
		first := c.Incarnation()
		p.setOpen(false, false)
		time.Sleep(retireAfter + 4*time.Second)
		p.setOpen(true, true)
		time.Sleep(2 * time.Second)
		if got := c.Incarnation(); got == first || got == 0 || !c.LeaseValidAt(time.Now()) {
			t.Errorf("got incarnation %d after %d, valid %v; want a new one with a lease", got, first, c.LeaseValidAt(time.Now()))
		}
	})
}

// TestResend guards the promises that a request is billed once and that a call
// that must not be repeated runs at most once, when answers are lost: resent
// commands get the first answer, and an enrolment is not resent.
func TestResend(t *testing.T) {
	bubble(t, func(r *testRig) {
		c, _ := r.client()
		ctx, cancel := context.WithTimeout(r.ctx, 10*time.Second)
		defer cancel()
		defer func() { _ = c.Close() }()
		enroll := &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Name: "gate"}}}
		if _, err := c.Propose(ctx, enroll); err != nil {
			t.Fatal(err)
		}
		r.consensus.loseResults(1)
		if _, err := c.Propose(ctx, enroll); err == nil {
			t.Error("got no error for an enrolment whose answer was lost")
		}
		steps := []*wire.Command{
			changeCommand(1, "limits", "{}"),
			{Kind: &wire.Command_Begin{Begin: &wire.Begin{Customer: "a", Route: "r", Key: "k", Incarnation: 1, Request: "q"}}},
			{Kind: &wire.Command_Hand{Hand: &wire.Hand{Operation: "a/r/k", Fence: 1, Backend: "b", Nonce: 5}}},
			{Kind: &wire.Command_Finish{Finish: &wire.Finish{Operation: "a/r/k", Fence: 1, Status: 200}}},
			{Kind: &wire.Command_Bills{Bills: &wire.Bills{Bills: []*wire.Bill{{Incarnation: 1, Sequence: 1, Customer: "a"}}}}},
			{Kind: &wire.Command_Pin{Pin: &wire.Pin{Customer: "a", Session: "s", Model: "m", Version: "v"}}},
		}
		for _, s := range steps {
			r.consensus.loseResults(2)
			res, err := c.Propose(ctx, s)
			if err != nil || res.GetFault() != nil {
				t.Errorf("%s: got %v, %v", commandKind(s), res, err)
			}
			if hand := s.GetHand(); hand != nil && !res.GetOperation().GetGranted() {
				t.Error("the resent hand-over is not granted")
			}
		}
		if got := r.node.ledger.Totals()[0].GetRequests(); got != 1 {
			t.Errorf("got %d bills, want 1", got)
		}
	})
}

// suspendedSublease is a sublease whose holder is suspended at a revision.
type suspendedSublease struct {
	revision ident.Revision
	until    time.Time
}

func (f *suspendedSublease) AcknowledgedRevision(view ident.Revision) (ident.Revision, time.Time, <-chan struct{}) {
	if view <= f.revision || !time.Now().Before(f.until) {
		return view, time.Time{}, nil
	}
	return f.revision, f.until, nil
}

func (f *suspendedSublease) LastExpiry() time.Time { return f.until }

// TestSuspendedSide guards against a withdrawal that comes into force while a
// suspended side process still has a sublease on an older view, and against one
// that costs its gate the lease or is delayed longer than that. The same must
// hold after an election.
func TestSuspendedSide(t *testing.T) {
	const sublease = ident.MaxSublease + ident.MaxSublease/100
	tests := map[string]struct {
		elect bool
		limit time.Duration
	}{
		"same leader": {false, sublease + 100*time.Millisecond},
		"new leader":  {true, ident.GuardedLeaseDuration + 100*time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *testRig) {
				f := &suspendedSublease{}
				c, _, _ := r.holdLease(client.WithSubleases(f))
				time.Sleep(time.Second)
				start := time.Now()
				f.until = start.Add(sublease)
				revision := r.commit(changeCommand(1, "withdrawn/small/v1", "{}"))
				if tt.elect {
					r.consensus.setElected(time.Now())
				}
				lost := false
				done := make(chan struct{})
				go func() {
					defer close(done)
					for time.Since(start) < 2*ident.LeaseDuration {
						lost = lost || !c.LeaseValidAt(time.Now())
						time.Sleep(time.Millisecond)
					}
				}()
				w := r.waitInForce(revision)
				if took := time.Since(start); took < sublease || took > tt.limit {
					t.Errorf("got in force after %s, want from %s to %s", took, sublease, tt.limit)
				}
				if len(w.GetExpired()) > 0 {
					t.Errorf("got %v expired, want none", w.GetExpired())
				}
				<-done
				if lost {
					t.Error("the gate lost its lease")
				}
			})
		})
	}
}

// TestLeavingWithSublease guards against a leader that drops the lease of a
// leaving gate while a side process still works on its sublease.
func TestLeavingWithSublease(t *testing.T) {
	bubble(t, func(r *testRig) {
		f := &suspendedSublease{}
		_, _, stop := r.holdLease(client.WithSubleases(f))
		f.until = time.Now().Add(ident.MaxSublease)
		stop()
		r.waitInForce(r.commit(changeCommand(1, "withdrawn/small/v1", "{}")))
		if time.Now().Before(f.until) {
			t.Error("the change is in force before the sub-lease has ended")
		}
		if late := time.Since(f.until); late > 200*time.Millisecond {
			t.Errorf("got in force %s after the sub-lease, want at once", late)
		}
	})
}
