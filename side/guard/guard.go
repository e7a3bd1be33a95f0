// Package guard makes the last checks before a backend server is called.
package guard

import (
	"context"
	"sync"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// maxRevisionWait limits the wait for the revision on which the gate based its
// decision. Deltas arrive within milliseconds; after the limit the gate retries
// on another backend server.
const maxRevisionWait = 500 * time.Millisecond

// maxSubleaseWait limits the wait for a sublease. A round trip to the gate
// takes a few milliseconds; after the limit the gate retries on another backend
// server.
const maxSubleaseWait = 300 * time.Millisecond

// Guard admits work. It is safe for concurrent use.
type Guard struct {
	// Config holds the configuration in force.
	Config *ConfigStore
	// Subleases are the subleases granted by the gates.
	Subleases *Subleases

	loadReport func() LoadReport

	mu         sync.Mutex
	admitted   map[*Admission]struct{}
	slotsInUse int // a work may free its slot before it is released
	draining   bool
	notifier   Notifier

	orderMu   sync.Mutex // held while an order is checked and sent; guards lastFence
	lastFence ident.Fence
}

// New returns a guard of the backend server whose state loadReport returns.
func New(loadReport func() LoadReport) *Guard {
	return &Guard{Config: NewConfigStore(), Subleases: &Subleases{}, loadReport: loadReport, admitted: map[*Admission]struct{}{}}
}

// Admission is the permission to call the backend server for one work.
type Admission struct {
	guard     *Guard
	work      *wire.Work
	slotFreed bool // guarded by guard.mu
	// Timeout limits how long the work may run.
	Timeout time.Duration
}

// Admit checks the work, after waiting a short time for a valid sublease and
// for the configuration revision that the work names. The work counts as
// running until Release is called on the returned Admission.
func (g *Guard) Admit(ctx context.Context, w *wire.Work) (*Admission, *fault.Fault) {
	g.Subleases.waitUntilValid(ctx, maxSubleaseWait)
	g.Config.WaitForRevision(ctx, ident.Revision(w.GetRevision()), maxRevisionWait)
	if ctx.Err() != nil {
		return nil, fault.New(fault.Unavailable, "the gate gave the work up before it ran")
	}
	report := g.loadReport()
	g.mu.Lock()
	defer g.mu.Unlock()
	// The drain, the view and the sublease are read with mu held, after the
	// waits, so that a drain or a withdrawal that arrived meanwhile takes
	// effect.
	view, hasSublease := g.viewAndSublease()
	f := Check(w, CheckInput{
		View: view, HasSublease: hasSublease, Draining: g.draining, SlotsInUse: g.slotsInUse, Report: report,
	})
	if f != nil {
		return nil, f
	}
	p := &Admission{guard: g, work: w, Timeout: Timeout(w, view)}
	g.admitted[p] = struct{}{}
	g.slotsInUse++
	return p, nil
}

// viewAndSublease returns the newest view and whether a sublease was valid
// while that view was the newest. It retries when the view changes in between:
// a process that is suspended between the two reads must not combine an old
// view with a new sublease.
func (g *Guard) viewAndSublease() (*conf.View, bool) {
	for {
		view := g.Config.View()
		hasSublease := g.Subleases.Valid(time.Now())
		if g.Config.View() == view {
			return view, hasSublease
		}
	}
}

// FreeSlot frees the slot. It must be called before the end is sent to the
// gate, because the gate may send the next work as soon as it receives the end.
func (a *Admission) FreeSlot() {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.freeSlotLocked()
}

// freeSlotLocked must be called with guard.mu held.
func (a *Admission) freeSlotLocked() {
	if !a.slotFreed {
		a.slotFreed = true
		a.guard.slotsInUse--
	}
}

// Release marks the work as ended. It must be called after the end was sent to
// the gate; a drain waits for it.
func (a *Admission) Release() {
	a.guard.mu.Lock()
	a.freeSlotLocked()
	delete(a.guard.admitted, a)
	a.guard.mu.Unlock()
	a.guard.notifier.Notify()
}

// RunningCount returns the number of admitted works that have not been
// released.
func (g *Guard) RunningCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.admitted)
}

// RequestIDs returns the request ids of the admitted works.
func (g *Guard) RequestIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]string, 0, len(g.admitted))
	for p := range g.admitted {
		list = append(list, p.work.GetRequest())
	}
	return list
}

// StartDraining makes the guard refuse all further work.
func (g *Guard) StartDraining() {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
	g.notifier.Notify()
}

// IsDraining reports whether StartDraining was called.
func (g *Guard) IsDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// WaitIdle waits until no work is running or ctx ends.
func (g *Guard) WaitIdle(ctx context.Context) error {
	for {
		changed := g.notifier.Changed()
		if g.RunningCount() == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// RunOrder checks an order to the engine and then calls send. Only the side
// process sends orders to its engine, so an engine that doesn't check fences is
// safe too: orders are sent one at a time, under a valid sublease, and with a
// fence that is not older than the previous one.
func (g *Guard) RunOrder(fence ident.Fence, send func() error) error {
	g.orderMu.Lock()
	defer g.orderMu.Unlock()
	if !g.Subleases.Valid(time.Now()) {
		g.Subleases.renewalNotifier.Notify()
		g.Subleases.waitUntilValid(context.Background(), maxSubleaseWait)
	}
	switch {
	case fence == 0:
		return fault.New(fault.Invalid, "the order has no fence; take one from the ledger")
	case !g.Subleases.Valid(time.Now()):
		return fault.New(fault.NoLease, "the side process holds no configuration lease; retry").WithRetryAfter(leaseRetryAfter)
	case fence < g.lastFence:
		return fault.New(fault.Stale, "the fence of the order is older than one already used; take a new one")
	}
	g.lastFence = fence
	return send()
}
