// Package guard is the last check before a backend server is called.
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

// revisionWait bounds the wait for the configuration that a gate decided by.
// Deltas take milliseconds; a gate retries elsewhere after that.
const revisionWait = 500 * time.Millisecond

// leaseWait bounds the wait for a sub-lease. A round to the gate takes a few
// milliseconds; a gate tries elsewhere after that.
const leaseWait = 300 * time.Millisecond

// Guard admits work. It is safe for concurrent use.
type Guard struct {
	// Config is the configuration in force.
	Config *ConfigStore
	// Subleases are the sub-leases from the gates.
	Subleases *Subleases

	report func() LoadReport

	mu       sync.Mutex
	running  map[*Admission]struct{}
	taken    int // slots; a work may have freed its slot and still run
	draining bool
	notice   Notifier

	orders sync.Mutex // held while an order is sent
	fence  ident.Fence
}

// New returns a guard of a backend server that a function reports on.
func New(report func() LoadReport) *Guard {
	return &Guard{Config: NewConfigStore(), Subleases: &Subleases{}, report: report, running: map[*Admission]struct{}{}}
}

// Admission is the permission to call the backend server for one work.
type Admission struct {
	guard *Guard
	work  *wire.Work
	freed bool // guarded by the mutex of the guard
	// Timeout of the work.
	Timeout time.Duration
}

// Admit waits for the configuration of the work if it is newer, and checks
// the work. The work runs until Release of the pass.
func (g *Guard) Admit(ctx context.Context, w *wire.Work) (*Admission, *fault.Fault) {
	g.Subleases.await(ctx, leaseWait)
	g.Config.WaitForRevision(ctx, ident.Revision(w.GetRevision()), revisionWait)
	if ctx.Err() != nil {
		return nil, fault.New(fault.Unavailable, "the gate gave the work up before it ran")
	}
	report := g.report()
	g.mu.Lock()
	defer g.mu.Unlock()
	// Everything is read under the lock, after the wait, so that a drain or a
	// withdrawal that came meanwhile counts.
	view, leased := g.leased()
	f := Check(w, CheckInput{
		View: view, HasSublease: leased, Draining: g.draining, SlotsInUse: g.taken, Report: report,
	})
	if f != nil {
		return nil, f
	}
	p := &Admission{guard: g, work: w, Timeout: Timeout(w, view)}
	g.running[p] = struct{}{}
	g.taken++
	return p, nil
}

// leased returns the view and whether a lease held while it was the newest. A
// process that is suspended between the two looks must not judge by the view
// of before and the lease of after.
func (g *Guard) leased() (*conf.View, bool) {
	for {
		view := g.Config.View()
		leased := g.Subleases.Valid(time.Now())
		if g.Config.View() == view {
			return view, leased
		}
	}
}

// FreeSlot gives the slot back. Call it before the gate is told of the end: the
// gate may send the next work as soon as it knows.
func (p *Admission) FreeSlot() {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	p.free()
}

func (p *Admission) free() {
	if !p.freed {
		p.freed = true
		p.guard.taken--
	}
}

// Release ends the work, after the gate was told. A drain waits for it.
func (p *Admission) Release() {
	p.guard.mu.Lock()
	p.free()
	delete(p.guard.running, p)
	p.guard.mu.Unlock()
	p.guard.notice.Notify()
}

// RunningCount counts the admitted works.
func (g *Guard) RunningCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// RequestIDs lists the request ids of the admitted works.
func (g *Guard) RequestIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]string, 0, len(g.running))
	for p := range g.running {
		list = append(list, p.work.GetRequest())
	}
	return list
}

// StartDraining refuses all further work.
func (g *Guard) StartDraining() {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
	g.notice.Notify()
}

// IsDraining tells whether Drain was called.
func (g *Guard) IsDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// WaitIdle waits until no work runs.
func (g *Guard) WaitIdle(ctx context.Context) error {
	for {
		changed := g.notice.Changed()
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

// RunOrder checks a command to the engine and then runs it. The side process is
// the only one that sends commands to its engine, so that one which does not
// check fences itself is safe too: orders are sent one at a time, under a
// valid lease, with a fence that is not older than the last one.
func (g *Guard) RunOrder(fence ident.Fence, send func() error) error {
	g.orders.Lock()
	defer g.orders.Unlock()
	if !g.Subleases.Valid(time.Now()) {
		g.Subleases.wanted.Notify()
		g.Subleases.await(context.Background(), leaseWait)
	}
	switch {
	case fence == 0:
		return fault.New(fault.Invalid, "the order has no fence; take one from the ledger")
	case !g.Subleases.Valid(time.Now()):
		return fault.New(fault.NoLease, "the side process holds no configuration lease; retry").WithRetryAfter(leaseRetry)
	case fence < g.fence:
		return fault.New(fault.Stale, "the fence of the order is older than one already used; take a new one")
	}
	g.fence = fence
	return send()
}
