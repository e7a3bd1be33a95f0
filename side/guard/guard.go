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
	// Views is the configuration in force.
	Views *Views
	// Leases are the sub-leases from the gates.
	Leases *Leases

	report func() Report

	mu       sync.Mutex
	running  map[*Pass]struct{}
	taken    int // slots; a work may have freed its slot and still run
	draining bool
	notice   Notice

	orders sync.Mutex // held while an order is sent
	fence  ident.Fence
}

// New returns a guard of a backend server that a function reports on.
func New(report func() Report) *Guard {
	return &Guard{Views: NewViews(), Leases: &Leases{}, report: report, running: map[*Pass]struct{}{}}
}

// Pass is the permission to call the backend server for one work.
type Pass struct {
	guard *Guard
	work  *wire.Work
	freed bool // guarded by the mutex of the guard
	// Timeout of the work.
	Timeout time.Duration
}

// Admit waits for the configuration of the work if it is newer, and checks
// the work. The work runs until Release of the pass.
func (g *Guard) Admit(ctx context.Context, w *wire.Work) (*Pass, *fault.Fault) {
	g.Leases.await(ctx, leaseWait)
	g.Views.Await(ctx, ident.Revision(w.GetRevision()), revisionWait)
	if ctx.Err() != nil {
		return nil, fault.New(fault.Unavailable, "the gate gave the work up before it ran")
	}
	report := g.report()
	g.mu.Lock()
	defer g.mu.Unlock()
	// Everything is read under the lock, after the wait, so that a drain or a
	// withdrawal that came meanwhile counts.
	view, leased := g.leased()
	f := Check(w, Facts{
		View: view, Leased: leased, Draining: g.draining, Running: g.taken, Report: report,
	})
	if f != nil {
		return nil, f
	}
	p := &Pass{guard: g, work: w, Timeout: Timeout(w, view)}
	g.running[p] = struct{}{}
	g.taken++
	return p, nil
}

// leased returns the view and whether a lease held while it was the newest. A
// process that is suspended between the two looks must not judge by the view
// of before and the lease of after.
func (g *Guard) leased() (*conf.View, bool) {
	for {
		view := g.Views.View()
		leased := g.Leases.Valid(time.Now())
		if g.Views.View() == view {
			return view, leased
		}
	}
}

// Free gives the slot back. Call it before the gate is told of the end: the
// gate may send the next work as soon as it knows.
func (p *Pass) Free() {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	p.free()
}

func (p *Pass) free() {
	if !p.freed {
		p.freed = true
		p.guard.taken--
	}
}

// Release ends the work, after the gate was told. A drain waits for it.
func (p *Pass) Release() {
	p.guard.mu.Lock()
	p.free()
	delete(p.guard.running, p)
	p.guard.mu.Unlock()
	p.guard.notice.Post()
}

// Running counts the admitted works.
func (g *Guard) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// Requests lists the request ids of the admitted works.
func (g *Guard) Requests() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]string, 0, len(g.running))
	for p := range g.running {
		list = append(list, p.work.GetRequest())
	}
	return list
}

// Drain refuses all further work.
func (g *Guard) Drain() {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
	g.notice.Post()
}

// Draining tells whether Drain was called.
func (g *Guard) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Idle waits until no work runs.
func (g *Guard) Idle(ctx context.Context) error {
	for {
		changed := g.notice.Wait()
		if g.Running() == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Order checks a command to the engine and then runs it. The side process is
// the only one that sends commands to its engine, so that one which does not
// check fences itself is safe too: orders are sent one at a time, under a
// valid lease, with a fence that is not older than the last one.
func (g *Guard) Order(fence ident.Fence, send func() error) error {
	g.orders.Lock()
	defer g.orders.Unlock()
	if !g.Leases.Valid(time.Now()) {
		g.Leases.wanted.Post()
		g.Leases.await(context.Background(), leaseWait)
	}
	switch {
	case fence == 0:
		return fault.New(fault.Invalid, "the order has no fence; take one from the ledger")
	case !g.Leases.Valid(time.Now()):
		return fault.New(fault.NoLease, "the side process holds no configuration lease; retry").WithRetryAfter(leaseRetry)
	case fence < g.fence:
		return fault.New(fault.Stale, "the fence of the order is older than one already used; take a new one")
	}
	g.fence = fence
	return send()
}
