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

// tell puts the sums of one gate: so many answers and failures of both versions.
func (r *rig) tell(base, baseFailed, next, nextFailed int64) {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	r.node.epoch.tallies[1] = []*wire.Tally{
		{Model: "pool r1", Version: "v1", Answers: base, Failures: baseFailed, Order: 1},
		{Model: "pool r1", Version: "v2", Answers: next, Failures: nextFailed, Order: 1},
		{Model: "pool r1", Version: "v2", Answers: 1000, Failures: 1000}, // of an earlier order
		{Model: "other r1", Version: "v2", Answers: 1000, Failures: 1000, Order: 1},
	}
}

func (r *rig) stage() conf.ServiceRolloutStage { return r.node.ledger.ServiceRollouts()["pool"].Stage }

func (r *rig) shifting(f func()) {
	if err := r.node.StartServiceRollout(r.ctx, "pool", "v2", 12*time.Second); err != nil {
		r.t.Fatal(err)
	}
	r.wg.Go(func() { _ = r.node.watchShifts(r.ctx) })
	time.Sleep(2 * shiftEvery)
	f()
}

// A good version is completed just before its deadline, and gets all traffic only
// shortly before that.
func TestShiftCompletes(t *testing.T) {
	bubble(t, func(r *rig) {
		r.tell(100, 1, 0, 0)
		r.shifting(func() {
			r.tell(400, 4, 40, 0)
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

// A bad version is withdrawn at the next look, also when it turns bad while all
// traffic moves to it; sums of an earlier order do not count.
func TestShiftWithdraws(t *testing.T) {
	for name, x := range map[string]time.Duration{"at once": time.Second, "late": 9900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				r.tell(0, 0, 0, 0)
				r.shifting(func() {
					r.tell(300, 3, 40, 0)
					time.Sleep(x)
					if got := r.stage(); got == conf.StageWithdrawn {
						t.Fatal("a good version was withdrawn")
					}
					r.tell(400, 4, 80, 30)
					time.Sleep(2 * shiftEvery)
					if got := r.stage(); got != conf.StageWithdrawn {
						t.Errorf("got %q, want withdrew", got)
					}
				})
			})
		})
	}
}

// Without answers of the version nothing is known of it: it is not completed.
func TestShiftWithoutAnswers(t *testing.T) {
	bubble(t, func(r *rig) {
		r.tell(400, 4, 0, 0)
		r.shifting(func() {
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

// The administration calls: what is refused for good, what another process takes,
// and what stays open must be told apart.
func TestAdmin(t *testing.T) {
	bubble(t, func(r *rig) {
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
		r.cons.loseNext(1)
		var lost raft.OutcomeUnknown
		if err := r.node.ReplaceDocument(r.ctx, 4, []byte(`{"version":4}`)); !errors.As(err, &lost) {
			t.Errorf("got %v for an order without an outcome, want lost", err)
		}
		if _, known, err := r.node.ServiceRollout(r.ctx, "pool"); known || err != nil {
			t.Errorf("got a roll-out that was never ordered (%v)", err)
		}
		r.cons.elect(time.Time{})
		var not raft.NotLeader
		if err := r.node.ReplaceDocument(r.ctx, 5, []byte(`{}`)); !errors.As(err, &not) {
			t.Errorf("got %v at a follower, want not leader", err)
		}
	})
}

// A state process that starts while a roll-out runs, as after the death of all of
// them, must keep to its deadline.
func TestShiftAfterRestart(t *testing.T) {
	bubble(t, func(r *rig) {
		if err := r.node.StartServiceRollout(r.ctx, "pool", "v2", 12*time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		r.wg.Go(func() { _ = r.node.watchShifts(r.ctx) })
		r.tell(400, 4, 40, 0)
		time.Sleep(6 * time.Second)
		if got := r.stage(); got != conf.StageComplete {
			t.Errorf("got %q 1 s before the deadline, want complete", got)
		}
	})
}
