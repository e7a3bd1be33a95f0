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

// New returns an empty group under a parent context.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context is cancelled when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a task. Its name is part of the error that it returns. A task
// that returns nil ends alone; one that fails stops the group. A running task
// may start others, also while Wait waits; conc/pool panics there.
func (g *Group) Go(name string, task func(ctx context.Context) error) {
	g.tasks.Go(func() {
		// A panic stops the group too, and Wait panics with it.
		whole := false
		defer func() {
			if !whole {
				g.cancel()
			}
		}()
		err := task(g.ctx)
		whole = true
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

// Stop asks all tasks to end.
func (g *Group) Stop() { g.cancel() }

// Wait returns after all tasks have ended, with the first error of a task
// that failed before the group stopped.
func (g *Group) Wait() error {
	defer g.cancel()
	g.tasks.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
