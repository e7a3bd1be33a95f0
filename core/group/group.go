// Package group runs tasks that start and stop together.
package group

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
)

// Group runs tasks until one fails, the parent context ends or Stop is
// called; then the context of all tasks is cancelled.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	pool   *pool.ContextPool
}

// New returns an empty group under a parent context.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{
		ctx:    ctx,
		cancel: cancel,
		pool:   pool.New().WithContext(ctx).WithCancelOnError().WithFirstError(),
	}
}

// Context is cancelled when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a task. Its name is part of the error that it returns. A task
// that returns nil ends alone; one that fails stops the group.
func (g *Group) Go(name string, task func(ctx context.Context) error) {
	g.pool.Go(func(ctx context.Context) error {
		err := task(ctx)
		if err != nil && ctx.Err() == nil {
			g.cancel()
			return eris.Wrap(err, name)
		}
		return nil
	})
}

// Stop asks all tasks to end.
func (g *Group) Stop() { g.cancel() }

// Wait returns after all tasks have ended, with the first error of a task
// that failed before the group stopped.
func (g *Group) Wait() error {
	defer g.cancel()
	return g.pool.Wait()
}
