package raft

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"citronledge.example/state/store"
)

// Guards the rule of quorums itself: whatever the order in which disks are lost,
// and whatever the voters know of it, two quorums have a voter in common.
func TestQuorumsMeet(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 7))
	halves := 0
	for range 3000 {
		n := &Node{outlived: map[string][]string{}}
		roster := make([]Member, 1+rng.IntN(7))
		for i := range roster {
			name := fmt.Sprint(i)
			roster[i] = Member{Name: name, DiskID: name, Voter: true}
		}
		// The disks are lost in the order of lostAt; some never are.
		lostAt := rng.Perm(len(roster))
		lost := rng.IntN(len(roster) + 1)
		for i := range roster {
			for j := range roster {
				if lostAt[j] < lost && lostAt[j] < lostAt[i] && rng.IntN(3) > 0 {
					n.outlived[roster[i].DiskID] = append(n.outlived[roster[i].DiskID], roster[j].DiskID)
				}
			}
		}
		for set := range 1 << len(roster) {
			if !n.isQuorum(roster, func(m Member) bool { return set>>slices.Index(roster, m)&1 == 1 }) {
				continue
			}
			if !isMajority(roster, func(m Member) bool { return set>>slices.Index(roster, m)&1 == 1 }) {
				halves++
			}
			if n.isQuorum(roster, func(m Member) bool { return set>>slices.Index(roster, m)&1 == 0 }) {
				t.Fatalf("%b of %d voters and the others are both quorums; known: %v", set, len(roster), n.outlived)
			}
		}
	}
	if halves == 0 {
		t.Error("no half of the voters was a quorum")
	}
}

// Guards against a cluster that stops for good when one disk is lost while a voter
// that was removed still counts beside its successor: two of four voters are left.
func TestDiskLostBesideRemovedVoter(t *testing.T) {
	for name, x := range map[string]struct {
		gap        time.Duration // from the removal to the loss; negative if the loss comes first
		lostLeads  bool          // the leader loses its disk
		losesNew   bool          // the successor loses its disk
		powerFails bool          // the others lose power with the loss
	}{
		"at once":               {},
		"after 1 s":             {gap: time.Second},
		"after 6 s":             {gap: 6 * time.Second},
		"leader, after 0.3 s":   {gap: 300 * time.Millisecond, lostLeads: true},
		"leader, before":        {gap: -300 * time.Millisecond, lostLeads: true},
		"successor, after 1 s":  {gap: time.Second, losesNew: true},
		"successor, before":     {gap: -time.Second, losesNew: true},
		"power fails, at once":  {powerFails: true},
		"power fails, after 3s": {gap: 3 * time.Second, lostLeads: true, powerFails: true},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 21, 3, func(_ *testing.T, w *world) {
				w.commitCommands("a", 5)
				w.requireJoin()
				w.addVoter("m4")
				w.commitCommands("b", 5)
				if x.losesNew == (w.waitForLeader().name == "m4") {
					w.transferLeadership() // the roles below need m4 to follow, or to lead
				}
				lost := w.waitForLeader()
				if !x.lostLeads && !x.losesNew {
					lost = w.others(lost)[0]
				}
				if x.losesNew {
					lost = w.hosts["m4"]
				}
				removed := w.others(lost)[0].name
				if x.gap < 0 {
					w.stop(lost.name)
					time.Sleep(-x.gap)
					w.stop(removed)
				} else {
					w.stop(removed)
					time.Sleep(x.gap)
					w.stop(lost.name)
				}
				if x.powerFails {
					for _, h := range w.others(lost) {
						if h.name != removed {
							w.restart(h.name)
						}
					}
				}
				time.Sleep(2 * time.Second)
				w.start(lost.name, store.NewMemoryFolder())
				w.commitCommands("c", 5)
				w.forget(removed)
				w.replaceMember(lost.name)
				w.commitCommands("d", 5)
				w.waitForConvergence()
			}, WithSnapshotPolicy(30, 1<<20, 5))
		})
	}
}

// Guards against a membership that commits by its own quorum alone, beside a half of
// the one before: the half that misses the change goes on without what was
// acknowledged after it.
func TestLossBesideUncommittedMember(t *testing.T) {
	for seed := range uint64(12) {
		simulate(t, 300+seed, 3, func(t *testing.T, w *world) {
			w.commitCommands("a", 5)
			w.requireJoin()
			w.addVoter("m4")
			w.start("m5", store.NewMemoryFolder())
			w.mu.Lock()
			w.names = append(slices.Clone(w.names), "m5")
			w.mu.Unlock()
			leader := w.waitForLeader()
			w.waitFor("m5 learns", func() bool {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				return leader.node.AddLearner(ctx, member("m5")) == nil
			})
			w.waitForConvergence()
			rest := slices.DeleteFunc(w.others(leader), func(h *host) bool { return h.name == "m5" })
			lost, half := rest[0], rest[1:]
			for _, h := range half {
				w.setCut(leader.name, h.name, true)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_ = leader.node.Promote(ctx, "m5")
			_ = w.propose(leader, "beside", 50*time.Millisecond)
			w.stop(leader.name)
			w.stop(lost.name)
			w.healNetwork()
			w.start(lost.name, store.NewMemoryFolder())
			w.commitCommands("b", 3)
			w.forget(leader.name)
			w.replaceMember(lost.name)
			w.waitForConvergence()
		})
	}
}

// Guards against a voter that counts as one while its membership still depends on the
// one before: when the leader is lost at that moment, no other member leads.
func TestLeaderLostAsVoterCounts(t *testing.T) {
	for seed := range uint64(24) {
		simulate(t, 500+seed, 3, func(_ *testing.T, w *world) {
			w.commitCommands("a", 3)
			leader := w.waitForLeader()
			name := w.others(leader)[0].name
			w.stop(name)
			disk := w.start(name, store.NewMemoryFolder()).store.DiskID()
			stop, counts := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(counts)
				isVoter := func(m MemberStatus) bool {
					return m.DiskID == disk && m.Voter && m.Settled
				}
				for !slices.ContainsFunc(leader.node.Status().Members, isVoter) {
					select {
					case <-time.After(100 * time.Microsecond):
					case <-stop:
						return
					}
				}
				w.setIsolated(leader.name, true)
			}()
			w.replaceMember(name)
			close(stop)
			<-counts
			w.stop(leader.name)
			w.healNetwork()
			w.commitCommands("b", 3)
			w.restart(leader.name)
			w.waitForConvergence()
		})
	}
}

// requireJoin makes processes that start from now on join the cluster, even if all
// of them have empty disks.
func (w *world) requireJoin() { w.options = append(slices.Clip(w.options), WithJoinOnly()) }

// addVoter starts a process with an empty disk and makes it a voter.
func (w *world) addVoter(name string) {
	w.t.Helper()
	w.start(name, store.NewMemoryFolder())
	w.mu.Lock()
	w.names = append(slices.Clone(w.names), name)
	w.mu.Unlock()
	w.replaceMember(name)
}

// forget removes a process that never comes back from the cluster.
func (w *world) forget(name string) {
	w.t.Helper()
	w.waitFor("remove "+name, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return w.waitForLeader().node.Remove(ctx, name) == nil
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.names = slices.DeleteFunc(slices.Clone(w.names), func(other string) bool { return other == name })
	delete(w.hosts, name)
}

func (w *world) transferLeadership() {
	w.t.Helper()
	if err := w.waitForLeader().node.TransferLeadership(w.t.Context()); err != nil {
		w.t.Fatal(err)
	}
}

// Guards the safety of memberships that change while disks are lost, in any order
// and beside any other fault: whatever is left of the cluster, it may stop, but it
// loses nothing that was acknowledged, has one leader in a term, one holder of the
// lease, and no stale read.
func TestRandomLosses(t *testing.T) {
	alive := 0
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			simulate(t, seed, 2+int(seed%4), func(_ *testing.T, w *world) {
				if runLosses(w) {
					alive++
				}
			}, WithSnapshotPolicy(30, 1<<20, 5))
		})
	}
	t.Logf("%d of %d clusters go on", alive, *histories)
}

// runLosses plays a history and reports whether the cluster goes on.
func runLosses(w *world) bool {
	stop := make(chan struct{})
	stopClients := sync.OnceFunc(func() { close(stop) })
	defer stopClients()
	for c := range 3 {
		go w.runClient(stop, c)
		go w.runReader(stop)
	}
	time.Sleep(time.Second)
	w.requireJoin()
	for range 40 {
		if w.randomInt(2) == 0 {
			w.injectNetworkFault()
		} else {
			w.changeOrLose()
		}
		time.Sleep(time.Duration(w.randomInt(900)) * time.Millisecond)
	}
	stopClients()
	w.healNetwork()
	time.Sleep(15 * time.Second)
	for _, h := range w.hosts {
		if !h.node.HoldsLease() || w.propose(h, "end", time.Second) != nil {
			continue
		}
		got := h.commands()
		for command := range w.acked {
			if !slices.Contains(got, command) {
				w.t.Errorf("acknowledged command %s is lost", command)
			}
		}
		return true
	}
	return false
}

func (w *world) injectNetworkFault() {
	h := w.randomHost()
	switch w.randomInt(6) {
	case 0, 1:
		w.healNetwork()
	case 2:
		w.setIsolated(h.name, true)
	case 3:
		w.setCut(h.name, w.randomHost().name, true)
	case 4:
		w.mu.Lock()
		w.dropRate, w.duplicateRate, w.maxDelay = w.sharedRand.Float64()/4, w.sharedRand.Float64()/4, time.Duration(1+w.sharedRand.IntN(60))*time.Millisecond
		w.mu.Unlock()
	case 5: // packets of one process arrive late, also after its disk was lost
		w.mu.Lock()
		w.senderDelay[h.name] = time.Duration(w.sharedRand.IntN(3000)) * time.Millisecond
		w.mu.Unlock()
	}
}

// changeOrLose changes the membership, or ends a process with or without its disk.
func (w *world) changeOrLose() {
	h := w.randomHost()
	change := func(f func(ctx context.Context, n *Node) error) {
		for _, l := range w.hosts {
			if l.node.HoldsLease() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(w.randomInt(300))*time.Millisecond)
				_ = f(ctx, l.node)
				cancel()
			}
		}
	}
	switch w.randomInt(10) {
	case 0, 1:
		w.stop(h.name)
		w.start(h.name, store.NewMemoryFolder())
	case 2:
		w.restart(h.name)
	case 3:
		disks := map[string]*store.MemoryFolder{}
		for _, name := range w.names {
			disks[name] = w.crash(name)
		}
		for _, name := range w.names {
			w.start(name, disks[name])
		}
	case 4, 5:
		change(func(ctx context.Context, n *Node) error { return n.Remove(ctx, h.name) })
	case 6, 7:
		change(func(ctx context.Context, n *Node) error { return n.AddLearner(ctx, member(h.name)) })
	default:
		change(func(ctx context.Context, n *Node) error { return n.Promote(ctx, h.name) })
	}
}
