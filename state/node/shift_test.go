package node

import (
	"errors"
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

// setTallies sets the sums of one gate: the answers and failures of both
// versions.
func (r *testRig) setTallies(base, baseFailed, next, nextFailed int64) {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	r.node.epoch.tallies[1] = []*wire.Tally{
		{Model: "pool r1", Version: "v1", Answers: base, Failures: baseFailed, Order: 1},
		{Model: "pool r1", Version: "v2", Answers: next, Failures: nextFailed, Order: 1},
		{Model: "pool r1", Version: "v2", Answers: 1000, Failures: 1000}, // of an earlier order
		{Model: "other r1", Version: "v2", Answers: 1000, Failures: 1000, Order: 1},
	}
}

func (r *testRig) stage() conf.ServiceRolloutStage {
	return r.node.ledger.ServiceRollouts()["pool"].Stage
}

// runServiceRollout starts a rollout of 12 s and runs f once it is watched.
func (r *testRig) runServiceRollout(f func()) {
	if err := r.node.StartServiceRollout(r.ctx, "pool", "v2", 12*time.Second); err != nil {
		r.t.Fatal(err)
	}
	r.wg.Go(func() { _ = r.node.watchServiceRollouts(r.ctx) })
	time.Sleep(2 * serviceRolloutInterval)
	f()
}

// TestServiceRolloutCompletes guards against a good version that is not
// completed before its deadline, or that gets all traffic earlier than shortly
// before it.
func TestServiceRolloutCompletes(t *testing.T) {
	bubble(t, func(r *testRig) {
		r.setTallies(100, 1, 0, 0)
		r.runServiceRollout(func() {
			r.setTallies(400, 4, 40, 0)
			time.Sleep(8100 * time.Millisecond)
			if got := r.stage(); got != conf.StageCanary {
				t.Errorf("got %q long before the deadline, want canary", got)
			}
			time.Sleep(2 * time.Second)
			if got := r.stage(); got != conf.StageMoving {
				t.Errorf("got %q just before the deadline, want moving", got)
			}
			time.Sleep(time.Second)
			if got := r.stage(); got != conf.StageComplete {
				t.Errorf("got %q at the deadline, want complete", got)
			}
		})
	})
}

// TestServiceRolloutWithdraws guards against a bad version that is not
// withdrawn at the next check, also when it turns bad while all traffic moves
// to it. Sums of an earlier order must not count.
func TestServiceRolloutWithdraws(t *testing.T) {
	for name, x := range map[string]time.Duration{"at once": time.Second, "late": 9900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *testRig) {
				r.setTallies(0, 0, 0, 0)
				r.runServiceRollout(func() {
					r.setTallies(300, 3, 40, 0)
					time.Sleep(x)
					if got := r.stage(); got == conf.StageWithdrawn {
						t.Fatal("a good version was withdrawn")
					}
					r.setTallies(400, 4, 80, 30)
					time.Sleep(2 * serviceRolloutInterval)
					if got := r.stage(); got != conf.StageWithdrawn {
						t.Errorf("got %q, want withdrew", got)
					}
				})
			})
		})
	}
}

// TestServiceRolloutWithoutAnswers guards against the completion of a version
// without answers, since nothing is known about it.
func TestServiceRolloutWithoutAnswers(t *testing.T) {
	bubble(t, func(r *testRig) {
		r.setTallies(400, 4, 0, 0)
		r.runServiceRollout(func() {
			time.Sleep(14 * time.Second)
			if got := r.stage(); got != conf.StageCanary {
				t.Errorf("got %q without any answers, want canary", got)
			}
			time.Sleep(12 * time.Second)
			if got := r.stage(); got != conf.StageWithdrawn {
				t.Errorf("got %q long after the deadline, want withdrew", got)
			}
		})
	})
}

// TestAdmin guards the errors of the administration calls: a final refusal, a
// call that another process can accept, and an unknown outcome must differ.
func TestAdmin(t *testing.T) {
	bubble(t, func(r *testRig) {
		if err := r.node.ReplaceDocument(r.ctx, 3, []byte(`{"version":3}`)); err != nil {
			t.Fatal(err)
		}
		if err := r.node.ReplaceDocument(r.ctx, 3, []byte(`{"version":3}`)); err != nil {
			t.Errorf("got %v for the same order again, want an acknowledgement", err)
		}
		if err := r.node.ReplaceDocument(r.ctx, 3, []byte(`{"other":3}`)); fault.From(err).Kind != fault.Conflict {
			t.Errorf("got %v for other content under the held version, want conflict", err)
		}
		if d, err := r.node.Document(r.ctx); err != nil || d.Version != 3 {
			t.Errorf("got version %d (%v), want 3", d.Version, err)
		}
		r.consensus.loseResults(1)
		var unknown raft.OutcomeUnknown
		if err := r.node.ReplaceDocument(r.ctx, 4, []byte(`{"version":4}`)); !errors.As(err, &unknown) {
			t.Errorf("got %v for an order without an outcome, want an unknown outcome", err)
		}
		if _, known, err := r.node.ServiceRollout(r.ctx, "pool"); known || err != nil {
			t.Errorf("got a rollout that was never ordered (%v)", err)
		}
		for _, end := range []bool{true, false, false, true, true} {
			if err := r.node.Evacuate(r.ctx, "zone-b", end); err != nil {
				t.Errorf("got %v for an evacuation (end %t), want an acknowledgement", err, end)
			}
		}
		if err := r.node.Evacuate(r.ctx, "zone/b", false); fault.From(err).Kind != fault.Invalid {
			t.Errorf("got %v for an invalid zone, want invalid", err)
		}
		r.consensus.loseResults(1)
		if err := r.node.Evacuate(r.ctx, "zone-b", false); !errors.As(err, &unknown) {
			t.Errorf("got %v for an evacuation without an outcome, want an unknown outcome", err)
		}
		r.consensus.setElected(time.Time{})
		var notLeader raft.NotLeader
		if err := r.node.Evacuate(r.ctx, "zone-b", false); !errors.As(err, &notLeader) {
			t.Errorf("got %v at a follower, want not leader", err)
		}
		if err := r.node.ReplaceDocument(r.ctx, 5, []byte(`{}`)); !errors.As(err, &notLeader) {
			t.Errorf("got %v at a follower, want not leader", err)
		}
	})
}

// TestServiceRolloutAfterRestart guards against a state process that misses the
// deadline of a rollout because it started during it, as after a crash of all
// state processes.
func TestServiceRolloutAfterRestart(t *testing.T) {
	bubble(t, func(r *testRig) {
		if err := r.node.StartServiceRollout(r.ctx, "pool", "v2", 12*time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		r.wg.Go(func() { _ = r.node.watchServiceRollouts(r.ctx) })
		r.setTallies(400, 4, 40, 0)
		time.Sleep(6 * time.Second)
		if got := r.stage(); got != conf.StageComplete {
			t.Errorf("got %q 1 s before the deadline, want complete", got)
		}
	})
}
