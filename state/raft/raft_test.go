package raft

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"citronledge.example/state/store"
)

// Guards the ordinary path: election, commit, reads on every member.
func TestCommitAndRead(t *testing.T) {
	for name, size := range map[string]int{"one": 1, "three": 3, "five": 5} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, size, func(t *testing.T, w *world) {
				w.fill("a", 20)
				for _, h := range w.hosts {
					if err := h.node.ReadBarrier(t.Context()); err != nil {
						t.Fatal(err)
					}
					if got, want := len(h.commands()), 20; got != want {
						t.Errorf("%s: got %d commands after Read, want %d", h.name, got, want)
					}
				}
				leader := w.leader()
				for _, h := range w.others(leader) {
					var refusal NotLeader
					if err := w.propose(h, "x", time.Second); !errors.As(err, &refusal) || refusal.Leader.Addr != "addr-"+leader.name {
						t.Errorf("follower answers %v", err)
					}
				}
				w.converge()
			})
		})
	}
}

// Guards against a leader that is cut off and goes on committing, holding its
// lease, or raising terms that disturb the others on its return.
func TestLeaderCutOff(t *testing.T) {
	for name, oneWay := range map[string]bool{"both ways": false, "cannot send": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 2, 3, func(t *testing.T, w *world) {
				w.fill("a", 5)
				old := w.leader()
				w.isolate(old.name, true)
				if oneWay {
					for _, h := range w.others(old) {
						w.cut(h.name, old.name, false)
					}
				}
				// Reads must not trust the clock, so the lease is no help.
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				if err := old.node.ReadBarrier(ctx); err == nil {
					t.Error("a read succeeded without a majority")
				}
				var lost OutcomeUnknown
				if err := w.propose(old, "cut", 20*time.Second); !errors.As(err, &lost) {
					t.Errorf("got %v, want Lost", err)
				}
				if old.node.HoldsLease() || !old.node.ElectedAt().IsZero() {
					t.Error("the leader that is cut off still leads")
				}
				w.fill("b", 5)
				time.Sleep(time.Minute)
				before := w.leader()
				term := before.node.Status().Term
				w.heal()
				time.Sleep(5 * time.Second)
				if got := w.leader().node.Status().Term; got != term {
					t.Errorf("the return raised the term from %d to %d", term, got)
				}
				w.converge()
			})
		})
	}
}

// Guards against counting the vote or the log of a disk that was replaced by
// an empty one under the same name.
func TestEmptyDiskIsNoVoter(t *testing.T) {
	simulate(t, 3, 3, func(t *testing.T, w *world) {
		w.fill("a", 5)
		leader := w.leader()
		rest := w.others(leader)
		empty, last := rest[0].name, rest[1].name
		// The last member misses this command, the one to be emptied has it.
		w.isolate(last, true)
		w.fill("b", 5)
		w.stop(empty)
		w.stop(leader.name)
		w.isolate(last, false)
		w.start(empty, store.NewMemoryFolder())
		time.Sleep(time.Minute)
		for _, name := range []string{empty, last} {
			if s := w.hosts[name].node.Status(); s.Role == Leader || s.AppliedIndex > 0 && s.Role == Candidate {
				t.Errorf("%s is %s with the help of an empty disk", name, s.Role)
			}
		}
		w.start(leader.name, leader.disk.Crash(w.rng))
		w.fill("c", 5)
		for _, m := range w.leader().node.Status().Members {
			if m.Name == empty && (m.MatchIndex != 0 || m.Live || m.ReportedDiskID == m.DiskID) {
				t.Errorf("the empty disk counts: %+v", m)
			}
		}
		old := rest[0].store.DiskID()
		w.replace(empty)
		w.fill("d", 5)
		w.converge()
		// A late answer of the old disk does not count for the new one.
		l := w.leader()
		p := w.hosts[empty].forge(Kind_APPENDED, l)
		p.Source, p.Index = old, 1000
		l.inbox <- p
		time.Sleep(time.Millisecond)
		for _, m := range l.node.Status().Members {
			if m.MatchIndex >= 1000 {
				t.Errorf("an answer of the old disk counts: %+v", m)
			}
		}
	})
}

// Guards against a repair that leaves the cluster without a majority: the
// next member is lost right after the first one was replaced.
func TestSecondLossAfterRepair(t *testing.T) {
	simulate(t, 4, 3, func(_ *testing.T, w *world) {
		w.fill("a", 300)
		first := w.others(w.leader())[0].name
		w.stop(first)
		w.fill("b", 10)
		w.start(first, store.NewMemoryFolder())
		w.replace(first)
		second := w.leader().name
		w.stop(second)
		w.fill("c", 10)
		w.start(second, store.NewMemoryFolder())
		w.replace(second)
		w.fill("d", 10)
		w.converge()
	}, WithSnapshotPolicy(50, 1<<20, 10))
}

// Guards the restart from a snapshot with a log behind it, with the loss of
// unsynced bytes on all members at once.
func TestRestartAll(t *testing.T) {
	simulate(t, 5, 3, func(t *testing.T, w *world) {
		w.fill("a", 430)
		for _, name := range w.names {
			h := w.hosts[name]
			if s := h.node.Status(); s.FirstIndex == 1 {
				t.Errorf("%s did not compact its log: %+v", name, s)
			}
		}
		disks := map[string]*store.MemoryFolder{}
		for _, name := range w.names {
			disks[name] = w.crash(name)
		}
		for name, disk := range disks {
			w.start(name, disk)
		}
		w.fill("b", 10)
		w.converge()
	}, WithSnapshotPolicy(100, 1<<20, 20))
}

// Guards the transfer of snapshots in chunks over a network that loses,
// repeats and reorders packets.
func TestSnapshotOverBadNetwork(t *testing.T) {
	simulate(t, 6, 3, func(_ *testing.T, w *world) {
		late := w.others(w.leader())[0].name
		w.stop(late)
		big := string(make([]byte, 100<<10))
		for i := range 12 {
			w.fill(fmt.Sprintf("%d-%s", i, big), 1)
		}
		w.mu.Lock()
		w.drop, w.twice, w.delay = 0.1, 0.1, 20*time.Millisecond
		w.mu.Unlock()
		w.start(late, w.hosts[late].disk.Crash(w.rng))
		w.wait("snapshot", func() bool { return w.hosts[late].node.Status().AppliedIndex >= 12 })
		w.heal()
		w.converge()
	}, WithSnapshotPolicy(4, 1<<20, 0))
}

// Guards a full disk: refusals are true, accepted commands stay, and the
// member works again after space was freed.
func TestDiskFull(t *testing.T) {
	simulate(t, 7, 3, func(t *testing.T, w *world) {
		w.fill("a", 5)
		leader := w.leader()
		leader.disk.SetFreeSpace(20) // room for a part of a record
		var full DiskFull
		if err := w.propose(leader, "no room", time.Second); !errors.As(err, &full) || full.Member != leader.name {
			t.Fatalf("got %v, want Full of %s", err, leader.name)
		}
		leader.disk.SetFreeSpace(-1)
		w.fill("b", 5)
		for _, h := range w.others(leader) {
			h.disk.SetFreeSpace(20)
		}
		var lost OutcomeUnknown
		if err := w.propose(leader, "unknown", time.Second); !errors.As(err, &lost) {
			t.Errorf("got %v, want Lost", err)
		}
		if err := w.propose(leader, "refused", time.Second); !errors.As(err, &full) || full.Member != "" {
			t.Errorf("got %v, want Full of a majority", err)
		}
		for _, h := range w.others(leader) {
			h.disk.SetFreeSpace(-1)
		}
		w.wait("commit after space is free", func() bool { return w.propose(leader, "c", time.Second) == nil })
		w.converge()
		for _, command := range leader.commands() {
			if command == "no room" || command == "refused" {
				t.Errorf("refused command %q was applied", command)
			}
		}
	})
}

// Guards a planned stop: the transfer is faster than an election timeout and
// the old leader gives up its lease before.
func TestTransfer(t *testing.T) {
	simulate(t, 8, 3, func(t *testing.T, w *world) {
		w.fill("a", 5)
		old := w.leader()
		before := time.Now()
		if err := old.node.TransferLeadership(t.Context()); err != nil {
			t.Fatal(err)
		}
		next := w.leader()
		if next == old || time.Since(before) > 100*time.Millisecond {
			t.Errorf("leader %s after %v", next.name, time.Since(before))
		}
		w.fill("b", 5)
		w.converge()
		// The next leader does not hear of the election that it asks for;
		// the watch of the world sees it if it keeps its lease.
		for _, h := range w.others(next) {
			w.cut(h.name, next.name, true)
		}
		go func() { _ = next.node.TransferLeadership(context.Background()) }()
		time.Sleep(time.Second)
		w.heal()
		w.converge()
	})
}

// Guards against a leader that was frozen and answers from its old state.
func TestFrozenLeader(t *testing.T) {
	simulate(t, 9, 3, func(t *testing.T, w *world) {
		w.fill("a", 5)
		old := w.leader()
		thaw := make(chan struct{})
		old.node.calls <- func() { <-thaw }
		read := make(chan error)
		go func() { read <- old.node.ReadBarrier(context.Background()) }()
		w.wait("lease of the frozen leader to end", func() bool { return !old.node.HoldsLease() })
		w.fill("b", 5)
		close(thaw)
		if err := <-read; err != nil {
			t.Fatal(err)
		}
		if got, want := len(old.commands()), 10; got < want {
			t.Errorf("Read after the thaw saw %d commands, want %d", got, want)
		}
		w.converge()
	})
}

// Guards against a commit by counting an entry of an earlier term, which a
// later leader may still replace.
func TestNoCommitOfEarlierTerm(t *testing.T) {
	disk := store.NewMemoryFolder()
	st, err := store.Open(disk, "m1")
	if err != nil {
		t.Fatal(err)
	}
	roster := []Member{{Name: "m1", Voter: true, DiskID: st.DiskID()}, {Name: "m2", Voter: true, DiskID: "d2"}, {Name: "m3", Voter: true, DiskID: "d3"}}
	h := &host{name: "m1", inbox: make(chan *Packet)}
	n, err := New(WithName("m1"), WithStore(st), WithStateMachine(h), WithTransport(h))
	if err != nil {
		t.Fatal(err)
	}
	n.role, n.term = Leader, 4
	n.rosters = []stage{{roster: roster}}
	if err := st.Append([]store.Entry{{Index: 1, Term: 2}, {Index: 2, Term: 4}}); err != nil {
		t.Fatal(err)
	}
	n.synced = 2
	n.replicas = map[string]*replica{"m2": {match: 1, told: 9, probing: true, asked: true}, "m3": {match: 0, told: 9, probing: true, asked: true}}
	n.advance()
	if got := n.commit; got != 0 {
		t.Errorf("got commit %d of an earlier term, want 0", got)
	}
	n.replicas["m2"].match = 2
	n.advance()
	if got := n.commit; got != 2 {
		t.Errorf("got commit %d, want 2", got)
	}
}

// Guards the lease against a vote that a member gives while a leader which it
// answered may hold the lease, also after it forgot the answer in a restart.
func TestNoVoteWithinLease(t *testing.T) {
	simulate(t, 10, 3, func(t *testing.T, w *world) {
		w.fill("a", 5)
		rest := w.others(w.leader())
		voter, rival := rest[0], rest[1]
		term := voter.node.Status().Term
		ask := func(when string) {
			t.Helper()
			p := rival.forge(Kind_VOTE, voter)
			p.Term, p.Index, p.Mark = term+5, 1000, term
			voter.inbox <- p
			time.Sleep(10 * time.Millisecond)
			if got := voter.node.Status().Term; got != term {
				t.Errorf("%s: the vote raised the term from %d to %d", when, term, got)
			}
		}
		ask("running")
		w.isolate(voter.name, true)
		time.Sleep(5 * time.Millisecond)
		voter = w.restart(voter.name)
		ask("restarted")
	})
}

// Guards the lease against slow answers: it counts from the time at which a
// packet was sent, not from that of its answer.
func TestLeaseCountsFromSending(t *testing.T) {
	simulate(t, 11, 3, func(t *testing.T, w *world) {
		w.fill("a", 5)
		leader := w.leader()
		w.mu.Lock()
		for _, h := range w.others(leader) {
			w.lag[h.name] = 200 * time.Millisecond
		}
		w.mu.Unlock()
		time.Sleep(time.Second)
		if !leader.node.HoldsLease() {
			t.Fatal("no lease with answers after 200 ms")
		}
		for _, h := range w.others(leader) {
			w.cut(leader.name, h.name, true)
		}
		time.Sleep(300 * time.Millisecond)
		if leader.node.HoldsLease() {
			t.Error("the lease holds 300 ms after the last packet that the others got")
		}
	})
}

// Guards against a follower that cannot hear the leader, but the others, and
// ends its term again and again.
func TestDeafFollower(t *testing.T) {
	simulate(t, 12, 3, func(t *testing.T, w *world) {
		w.fill("a", 5)
		leader := w.leader()
		term := leader.node.Status().Term
		w.cut(leader.name, w.others(leader)[0].name, true)
		time.Sleep(10 * time.Second)
		w.heal()
		time.Sleep(time.Second)
		if got := w.leader().node.Status().Term; got != term {
			t.Errorf("the term rose from %d to %d", term, got)
		}
	})
}

// Guards a read against the late answer to a read of the run before a restart.
func TestLateAnswerToRead(t *testing.T) {
	simulate(t, 14, 3, func(t *testing.T, w *world) {
		w.fill("a", 5)
		leader := w.leader()
		h := w.others(leader)[0]
		w.isolate(h.name, true)
		time.AfterFunc(50*time.Millisecond, func() {
			for ticket := range uint64(10) {
				p := leader.forge(Kind_READY, h)
				p.Ticket, p.Index = ticket, 1
				h.inbox <- p
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if err := h.node.ReadBarrier(ctx); err == nil {
			t.Error("a read took the answer to another one")
		}
	})
}

// Guards against two membership changes in flight, whose majorities need not
// have a common member.
func TestOneChangeAtATime(t *testing.T) {
	simulate(t, 13, 5, func(t *testing.T, w *world) {
		w.fill("a", 5)
		leader := w.leader()
		w.isolate(leader.name, true)
		rest := w.others(leader)
		change := func(h *host) error {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			return leader.node.Remove(ctx, h.name)
		}
		var lost OutcomeUnknown
		if err := change(rest[0]); !errors.As(err, &lost) {
			t.Errorf("first change: got %v, want Lost", err)
		}
		var refused Refused
		if err := change(rest[1]); !errors.As(err, &refused) {
			t.Errorf("second change: got %v, want Refused", err)
		}
		w.heal()
		w.fill("b", 1)
	})
}
