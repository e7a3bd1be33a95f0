package raft

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"citronledge.example/state/store"
)

// Guards the path without faults: election, commit, reads on every member.
func TestCommitAndRead(t *testing.T) {
	for name, size := range map[string]int{"one": 1, "three": 3, "five": 5} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, size, func(t *testing.T, w *world) {
				w.commitCommands("a", 20)
				for _, h := range w.hosts {
					if err := h.node.ReadBarrier(t.Context()); err != nil {
						t.Fatal(err)
					}
					if got, want := len(h.commands()), 20; got != want {
						t.Errorf("%s: got %d commands after ReadBarrier, want %d", h.name, got, want)
					}
				}
				leader := w.waitForLeader()
				for _, h := range w.others(leader) {
					var refusal NotLeader
					if err := w.propose(h, "x", time.Second); !errors.As(err, &refusal) || refusal.Leader.Addr != "addr-"+leader.name {
						t.Errorf("follower returns %v", err)
					}
				}
				w.waitForConvergence()
			})
		})
	}
}

// Guards against a partitioned leader that goes on committing or keeps its
// lease, or that raises the term and so disrupts the others when it returns.
func TestLeaderCutOff(t *testing.T) {
	for name, oneWay := range map[string]bool{"both ways": false, "cannot send": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 2, 3, func(t *testing.T, w *world) {
				w.commitCommands("a", 5)
				old := w.waitForLeader()
				w.setIsolated(old.name, true)
				if oneWay {
					for _, h := range w.others(old) {
						w.setCut(h.name, old.name, false)
					}
				}
				// Reads must not rely on the clock, so holding the lease is
				// not enough.
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				if err := old.node.ReadBarrier(ctx); err == nil {
					t.Error("a read succeeded without a majority")
				}
				var unknown OutcomeUnknown
				if err := w.propose(old, "cut", 20*time.Second); !errors.As(err, &unknown) {
					t.Errorf("got %v, want OutcomeUnknown", err)
				}
				if old.node.HoldsLease() || !old.node.ElectedAt().IsZero() {
					t.Error("the partitioned leader still leads")
				}
				w.commitCommands("b", 5)
				time.Sleep(time.Minute)
				before := w.waitForLeader()
				term := before.node.Status().Term
				w.healNetwork()
				time.Sleep(5 * time.Second)
				if got := w.waitForLeader().node.Status().Term; got != term {
					t.Errorf("the return raised the term from %d to %d", term, got)
				}
				w.waitForConvergence()
			})
		})
	}
}

// Guards against a leader that has ended its proposals but still counts as the
// leader for those who wait for them.
func TestStepDownIsSeenAtOnce(t *testing.T) {
	simulate(t, 4, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 1)
		leader := w.waitForLeader().node
		err := leader.runInLoop(t.Context(), func() {
			leader.becomeFollower(leader.term, "")
			if leader.HoldsLease() || !leader.ElectedAt().IsZero() {
				t.Error("the node counts as the leader after its proposals have ended")
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against counting the vote or the log of a disk that was replaced by
// an empty one under the same name.
func TestEmptyDiskIsNoVoter(t *testing.T) {
	simulate(t, 3, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		leader := w.waitForLeader()
		rest := w.others(leader)
		empty, last := rest[0].name, rest[1].name
		// The last member misses these commands; the one whose disk is
		// replaced has them.
		w.setIsolated(last, true)
		w.commitCommands("b", 5)
		w.stop(empty)
		w.stop(leader.name)
		w.setIsolated(last, false)
		w.start(empty, store.NewMemoryFolder())
		time.Sleep(time.Minute)
		for _, name := range []string{empty, last} {
			if s := w.hosts[name].node.Status(); s.Role == Leader || s.AppliedIndex > 0 && s.Role == Candidate {
				t.Errorf("%s is %s with the help of an empty disk", name, s.Role)
			}
		}
		w.start(leader.name, leader.disk.Crash(w.rng))
		w.commitCommands("c", 5)
		for _, m := range w.waitForLeader().node.Status().Members {
			if m.Name == empty && (m.MatchIndex != 0 || m.Live || m.ReportedDiskID == m.DiskID) {
				t.Errorf("the empty disk counts: %+v", m)
			}
		}
		old := rest[0].store.DiskID()
		w.replaceMember(empty)
		w.commitCommands("d", 5)
		w.waitForConvergence()
		// A late answer of the old disk does not count for the new one.
		l := w.waitForLeader()
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

// Guards against a repair that leaves the cluster without a majority: the next
// member is lost right after the first one was replaced.
func TestSecondLossAfterRepair(t *testing.T) {
	simulate(t, 4, 3, func(_ *testing.T, w *world) {
		w.commitCommands("a", 300)
		first := w.others(w.waitForLeader())[0].name
		w.stop(first)
		w.commitCommands("b", 10)
		w.start(first, store.NewMemoryFolder())
		w.replaceMember(first)
		second := w.waitForLeader().name
		w.stop(second)
		w.commitCommands("c", 10)
		w.start(second, store.NewMemoryFolder())
		w.replaceMember(second)
		w.commitCommands("d", 10)
		w.waitForConvergence()
	}, WithSnapshotPolicy(50, 1<<20, 10))
}

// Guards the restart from a snapshot and the log after it, when all members
// lose unsynced bytes at once.
func TestRestartAll(t *testing.T) {
	simulate(t, 5, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 430)
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
		w.commitCommands("b", 10)
		w.waitForConvergence()
	}, WithSnapshotPolicy(100, 1<<20, 20))
}

// Guards the transfer of snapshots in chunks over a network that loses,
// duplicates and reorders packets.
func TestSnapshotOverBadNetwork(t *testing.T) {
	simulate(t, 6, 3, func(_ *testing.T, w *world) {
		late := w.others(w.waitForLeader())[0].name
		w.stop(late)
		big := string(make([]byte, 100<<10))
		for i := range 12 {
			w.commitCommands(fmt.Sprintf("%d-%s", i, big), 1)
		}
		w.mu.Lock()
		w.dropRate, w.duplicateRate, w.maxDelay = 0.1, 0.1, 20*time.Millisecond
		w.mu.Unlock()
		w.start(late, w.hosts[late].disk.Crash(w.rng))
		w.waitFor("snapshot", func() bool { return w.hosts[late].node.Status().AppliedIndex >= 12 })
		w.healNetwork()
		w.waitForConvergence()
	}, WithSnapshotPolicy(4, 1<<20, 0))
}

// Guards the behavior on a full disk: a refused command is never applied, an
// accepted one is not lost, and the member works again once space was freed.
func TestDiskFull(t *testing.T) {
	simulate(t, 7, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		leader := w.waitForLeader()
		leader.disk.SetFreeSpace(20) // room for a part of a record
		var full DiskFull
		if err := w.propose(leader, "no room", time.Second); !errors.As(err, &full) || full.Member != leader.name {
			t.Fatalf("got %v, want DiskFull of %s", err, leader.name)
		}
		leader.disk.SetFreeSpace(-1)
		w.commitCommands("b", 5)
		for _, h := range w.others(leader) {
			h.disk.SetFreeSpace(20)
		}
		var unknown OutcomeUnknown
		if err := w.propose(leader, "unknown", time.Second); !errors.As(err, &unknown) {
			t.Errorf("got %v, want OutcomeUnknown", err)
		}
		if err := w.propose(leader, "refused", time.Second); !errors.As(err, &full) || full.Member != "" {
			t.Errorf("got %v, want DiskFull of a majority", err)
		}
		for _, h := range w.others(leader) {
			h.disk.SetFreeSpace(-1)
		}
		w.waitFor("commit after space is free", func() bool { return w.propose(leader, "c", time.Second) == nil })
		w.waitForConvergence()
		for _, command := range leader.commands() {
			if command == "no room" || command == "refused" {
				t.Errorf("refused command %q was applied", command)
			}
		}
	})
}

// Guards a planned stop: the transfer of leadership is faster than an election
// timeout, and the old leader gives up its lease before it.
func TestTransfer(t *testing.T) {
	simulate(t, 8, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		old := w.waitForLeader()
		before := time.Now()
		if err := old.node.TransferLeadership(t.Context()); err != nil {
			t.Fatal(err)
		}
		next := w.waitForLeader()
		if next == old || time.Since(before) > 100*time.Millisecond {
			t.Errorf("leader %s after %v", next.name, time.Since(before))
		}
		w.commitCommands("b", 5)
		w.waitForConvergence()
		// The next leader receives no packets of the election that it asks
		// for. If it kept its lease, watchLeases would fail the test.
		for _, h := range w.others(next) {
			w.setCut(h.name, next.name, true)
		}
		go func() { _ = next.node.TransferLeadership(context.Background()) }()
		time.Sleep(time.Second)
		w.healNetwork()
		w.waitForConvergence()
	})
}

// Guards against a leader that was paused and answers from its old state.
func TestPausedLeader(t *testing.T) {
	simulate(t, 9, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		old := w.waitForLeader()
		resume := make(chan struct{})
		old.node.calls <- func() { <-resume }
		read := make(chan error)
		go func() { read <- old.node.ReadBarrier(context.Background()) }()
		w.waitFor("lease of the paused leader to end", func() bool { return !old.node.HoldsLease() })
		w.commitCommands("b", 5)
		close(resume)
		if err := <-read; err != nil {
			t.Fatal(err)
		}
		if got, want := len(old.commands()), 10; got < want {
			t.Errorf("ReadBarrier after the pause saw %d commands, want %d", got, want)
		}
		w.waitForConvergence()
	})
}

// Guards against committing an entry of an earlier term by counting replicas:
// a later leader may still replace it.
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
	n.rosters = []rosterAtIndex{{roster: roster}}
	if err := st.Append([]store.Entry{{Index: 1, Term: 2}, {Index: 2, Term: 4}}); err != nil {
		t.Fatal(err)
	}
	n.syncedIndex = 2
	n.replicas = map[string]*replica{"m2": {matchIndex: 1, sentCommit: 9, probing: true, probeSent: true}, "m3": {matchIndex: 0, sentCommit: 9, probing: true, probeSent: true}}
	n.advanceCommit()
	if got := n.commitIndex; got != 0 {
		t.Errorf("got commit %d of an earlier term, want 0", got)
	}
	n.replicas["m2"].matchIndex = 2
	n.advanceCommit()
	if got := n.commitIndex; got != 2 {
		t.Errorf("got commit %d, want 2", got)
	}
}

// Guards the lease against a vote that a member casts while a leader that it
// answered may hold the lease, also after a restart, in which the member loses
// the time of that answer.
func TestNoVoteWithinLease(t *testing.T) {
	simulate(t, 10, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		rest := w.others(w.waitForLeader())
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
		w.setIsolated(voter.name, true)
		time.Sleep(5 * time.Millisecond)
		voter = w.restart(voter.name)
		ask("restarted")
	})
}

// Guards the lease against slow answers: it starts at the time at which a
// packet was sent, not at that of its answer.
func TestLeaseCountsFromSending(t *testing.T) {
	simulate(t, 11, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		leader := w.waitForLeader()
		w.mu.Lock()
		for _, h := range w.others(leader) {
			w.senderDelay[h.name] = 200 * time.Millisecond
		}
		w.mu.Unlock()
		time.Sleep(time.Second)
		if !leader.node.HoldsLease() {
			t.Fatal("no lease with answers after 200 ms")
		}
		for _, h := range w.others(leader) {
			w.setCut(leader.name, h.name, true)
		}
		time.Sleep(300 * time.Millisecond)
		if leader.node.HoldsLease() {
			t.Error("the lease holds 300 ms after the last packet that the others got")
		}
	})
}

// TestLatePacketOfEarlierRun guards against a leader that takes the answer to a
// packet of its run before a restart for a recent one: its lease would hold for
// as long as that run had lasted, also beside the next leader's.
func TestLatePacketOfEarlierRun(t *testing.T) {
	simulate(t, 15, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		time.Sleep(time.Minute) // the length of the earlier run
		leader := w.waitForLeader()
		follower, other := w.others(leader)[0], w.others(leader)[1]
		late := leader.forge(Kind_APPEND, follower)
		w.setIsolated(other.name, true)
		leader = w.restart(leader.name)
		if h := w.waitForLeader(); h != leader {
			if err := h.node.TransferLeadership(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		w.waitFor("the restarted member leads", leader.node.HoldsLease)
		follower.inbox <- late
		time.Sleep(100 * time.Millisecond)
		w.healNetwork()
		w.setIsolated(leader.name, true)
		time.Sleep(2 * time.Second)
		if leader.node.HoldsLease() {
			t.Error("the leader holds its lease 2 s after it was cut off")
		}
	})
}

// Guards against a follower that receives packets from the other members but
// not from the leader, and ends the leader's term again and again.
func TestFollowerCutOffFromLeader(t *testing.T) {
	simulate(t, 12, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		leader := w.waitForLeader()
		term := leader.node.Status().Term
		w.setCut(leader.name, w.others(leader)[0].name, true)
		time.Sleep(10 * time.Second)
		w.healNetwork()
		time.Sleep(time.Second)
		if got := w.waitForLeader().node.Status().Term; got != term {
			t.Errorf("the term rose from %d to %d", term, got)
		}
	})
}

// Guards a read against a late answer to a read of the run before a restart.
func TestLateAnswerToRead(t *testing.T) {
	simulate(t, 14, 3, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		leader := w.waitForLeader()
		h := w.others(leader)[0]
		w.setIsolated(h.name, true)
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
			t.Error("a read accepted the answer to another read")
		}
	})
}

// Guards against two membership changes in flight, whose majorities need not
// have a common member.
func TestOneChangeAtATime(t *testing.T) {
	simulate(t, 13, 5, func(t *testing.T, w *world) {
		w.commitCommands("a", 5)
		leader := w.waitForLeader()
		w.setIsolated(leader.name, true)
		rest := w.others(leader)
		change := func(h *host) error {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			return leader.node.Remove(ctx, h.name)
		}
		var unknown OutcomeUnknown
		if err := change(rest[0]); !errors.As(err, &unknown) {
			t.Errorf("first change: got %v, want OutcomeUnknown", err)
		}
		var refused Refused
		if err := change(rest[1]); !errors.As(err, &refused) {
			t.Errorf("second change: got %v, want Refused", err)
		}
		w.healNetwork()
		w.commitCommands("b", 1)
	})
}
