// Package group runs tasks that start and stop together.
package group

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Group runs tasks until one fails, the parent context ends or Stop is
// called; then the context of all tasks is cancelled.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	mu  sync.Mutex
	err error
}

// New returns an empty group whose context derives from parent.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context is cancelled when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a task. An error that it returns is wrapped with its name. A task
// that returns nil does not affect the others; one that fails stops the group.
// A running task may start others even while Wait is blocked, where conc/pool
// panics.
func (g *Group) Go(name string, task func(ctx context.Context) error) {
	g.tasks.Go(func() {
		// A panic must stop the group too; Wait then panics with the same
		// value.
		returned := false
		defer func() {
			if !returned {
				g.cancel()
			}
		}()
		err := task(g.ctx)
		returned = true
		if err != nil {
			g.fail(eris.Wrap(err, name))
		}
	})
}

func (g *Group) fail(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil && g.ctx.Err() == nil {
		g.err = err
		g.cancel()
	}
}

// Stop cancels the context of all tasks.
func (g *Group) Stop() { g.cancel() }

// Wait waits until all tasks have ended and returns the error of the first task
// that failed before the group stopped.
func (g *Group) Wait() error {
	defer g.cancel()
	g.tasks.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
