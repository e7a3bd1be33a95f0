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

// Guards the safety of the whole under faults in any order and combination:
// no acknowledged command is lost or reordered, terms have one leader, leases
// are held by one member, reads are not stale, and the cluster recovers.
func TestRandomHistories(t *testing.T) {
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		size := 3 + 2*int(seed%2)
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			simulate(t, seed, size, func(_ *testing.T, w *world) { history(w) }, WithSnapshotPolicy(30, 1<<20, 5))
		})
	}
}

func history(w *world) {
	stop := make(chan struct{})
	quiet := sync.OnceFunc(func() { close(stop) })
	defer quiet()
	for c := range 3 {
		go w.client(stop, c)
		go w.reader(stop)
	}
	time.Sleep(time.Second)
	for range 25 {
		w.trouble()
		time.Sleep(time.Duration(w.pick(800)) * time.Millisecond)
	}
	quiet()
	w.heal()
	for _, name := range w.names {
		if w.hosts[name].dead {
			w.start(name, w.hosts[name].disk.Crash(w.rng))
		}
	}
	// Clients, reads and thaws of this history end.
	time.Sleep(3 * time.Second)
	w.fill("end", 3)
	w.converge()
	if len(w.acked) < 10 {
		w.t.Errorf("only %d commands were acknowledged", len(w.acked))
	}
}

// pick draws a number under the lock, since clients draw too.
func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.noise.IntN(n)
}

func (w *world) random() *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[w.names[w.noise.IntN(len(w.names))]]
}

// trouble injects or ends one fault.
func (w *world) trouble() {
	h := w.random()
	switch w.pick(10) {
	case 0, 1:
		w.heal()
	case 2:
		w.isolate(h.name, true)
	case 3:
		w.cut(h.name, w.random().name, true)
	case 4, 5:
		if !h.dead {
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
		w.freeze(h, time.Duration(w.pick(2000))*time.Millisecond)
	case 8:
		w.mu.Lock()
		w.drop, w.twice, w.delay = w.noise.Float64()/4, w.noise.Float64()/4, time.Duration(1+w.noise.IntN(60))*time.Millisecond
		w.mu.Unlock()
	case 9:
		w.renew(h)
	}
}

func (w *world) freeze(h *host, d time.Duration) {
	select {
	case h.node.calls <- func() { time.Sleep(d) }:
	case <-h.ended:
	}
}

// renew replaces a disk by an empty one and repairs the member, or hands
// leadership over if the member leads.
func (w *world) renew(h *host) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if h.node.HoldsLease() {
		_ = h.node.TransferLeadership(ctx)
		return
	}
	w.stop(h.name)
	w.start(h.name, store.NewMemoryFolder())
	w.heal()
	w.replace(h.name)
}

// client proposes commands one after the other, each of them once.
func (w *world) client(stop chan struct{}, id int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(w.pick(40)) * time.Millisecond):
		}
		h := w.random()
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

// reader checks that a read sees every write acknowledged before it.
func (w *world) reader(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(w.pick(50)) * time.Millisecond):
		}
		w.mu.Lock()
		want := w.top
		w.mu.Unlock()
		h := w.random()
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
