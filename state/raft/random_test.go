package raft

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"citronledge.example/state/store"
)

var (
	histories = flag.Int("histories", 24, "number of random histories")
	firstSeed = flag.Uint64("seed", 1, "seed of the first random history")
)

// Guards the safety of the cluster under faults in any order and combination:
// no acknowledged command is lost or reordered, terms have one leader, leases
// are held by one member, reads are not stale, and the cluster recovers.
func TestRandomHistories(t *testing.T) {
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		size := 3 + 2*int(seed%2)
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			simulate(t, seed, size, func(_ *testing.T, w *world) { runHistory(w) }, WithSnapshotPolicy(30, 1<<20, 5))
		})
	}
}

func runHistory(w *world) {
	stop := make(chan struct{})
	stopClients := sync.OnceFunc(func() { close(stop) })
	defer stopClients()
	for c := range 3 {
		go w.runClient(stop, c)
		go w.runReader(stop)
	}
	time.Sleep(time.Second)
	for range 25 {
		w.injectFault()
		time.Sleep(time.Duration(w.randomInt(800)) * time.Millisecond)
	}
	stopClients()
	w.healNetwork()
	for _, name := range w.names {
		if w.hosts[name].stopped {
			w.start(name, w.hosts[name].disk.Crash(w.rng))
		}
	}
	// Wait until the clients, reads and pauses of this history have ended.
	time.Sleep(3 * time.Second)
	w.commitCommands("end", 3)
	w.waitForConvergence()
	if len(w.acked) < 10 {
		w.t.Errorf("only %d commands were acknowledged", len(w.acked))
	}
}

// randomInt draws a number below n. It locks because clients draw
// concurrently.
func (w *world) randomInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sharedRand.IntN(n)
}

func (w *world) randomHost() *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[w.names[w.sharedRand.IntN(len(w.names))]]
}

// injectFault injects a fault or ends all of them.
func (w *world) injectFault() {
	h := w.randomHost()
	switch w.randomInt(10) {
	case 0, 1:
		w.healNetwork()
	case 2:
		w.setIsolated(h.name, true)
	case 3:
		w.setCut(h.name, w.randomHost().name, true)
	case 4, 5:
		if !h.stopped {
			w.restart(h.name)
		}
	case 6:
		// All at once, as when a zone loses power.
		disks := map[string]*store.MemoryFolder{}
		for _, name := range w.names {
			disks[name] = w.crash(name)
		}
		for _, name := range w.names {
			w.start(name, disks[name])
		}
	case 7:
		w.pause(h, time.Duration(w.randomInt(2000))*time.Millisecond)
	case 8:
		w.mu.Lock()
		w.dropRate, w.duplicateRate, w.maxDelay = w.sharedRand.Float64()/4, w.sharedRand.Float64()/4, time.Duration(1+w.sharedRand.IntN(60))*time.Millisecond
		w.mu.Unlock()
	case 9:
		w.replaceDiskOrTransfer(h)
	}
}

func (w *world) pause(h *host, d time.Duration) {
	select {
	case h.node.calls <- func() { time.Sleep(d) }:
	case <-h.done:
	}
}

// replaceDiskOrTransfer replaces the disk of a member by an empty one and
// repairs the member, or transfers leadership if the member is the leader.
func (w *world) replaceDiskOrTransfer(h *host) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if h.node.HoldsLease() {
		_ = h.node.TransferLeadership(ctx)
		return
	}
	w.stop(h.name)
	w.start(h.name, store.NewMemoryFolder())
	w.healNetwork()
	w.replaceMember(h.name)
}

// runClient proposes commands one after the other. If a follower refuses one,
// it is proposed once more, to the leader.
func (w *world) runClient(stop chan struct{}, id int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(w.randomInt(40)) * time.Millisecond):
		}
		h := w.randomHost()
		command := fmt.Sprintf("c%d-%d", id, i)
		err := w.propose(h, command, 500*time.Millisecond)
		var refusal NotLeader
		if errors.As(err, &refusal) && refusal.Leader.Name != "" {
			w.mu.Lock()
			h = w.hosts[refusal.Leader.Name]
			w.mu.Unlock()
			_ = w.propose(h, command, 500*time.Millisecond)
		}
	}
}

// runReader checks that a read sees every write acknowledged before it.
func (w *world) runReader(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(w.randomInt(50)) * time.Millisecond):
		}
		w.mu.Lock()
		want := w.maxAcked
		w.mu.Unlock()
		h := w.randomHost()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if h.node.ReadBarrier(ctx) == nil {
			h.mu.Lock()
			if h.index < want {
				w.t.Errorf("%s read at %d, %d was acknowledged before", h.name, h.index, want)
			}
			h.mu.Unlock()
		}
		cancel()
	}
}
