// Package runs keeps whether backend servers may have run a request. That is one
// fact of the request: whatever ends it reads the fact here, so that no refusal
// says "not run" of a request that has run.
package runs

import "sync/atomic"

// Count is the number of attempts of one request that backend servers may have
// run. The zero value is ready to use. It is safe for concurrent use.
type Count struct{ n atomic.Int64 }

// Begin counts an attempt. It must be called before the first byte of the attempt
// goes out.
func (c *Count) Begin() *Attempt {
	c.n.Add(1)
	return &Attempt{count: c}
}

// N returns the number of attempts that may have run.
func (c *Count) N() int { return int(c.n.Load()) }

// MayHaveRun reports whether any attempt may have run.
func (c *Count) MayHaveRun() bool { return c.n.Load() > 0 }

// Attempt is one attempt that has begun.
type Attempt struct {
	count  *Count
	notRun atomic.Bool
}

// SetNotRun takes the attempt back. There are two proofs of that: the backend
// server has said that it has not run the attempt and never will, or not one byte
// of it has gone out. Silence, errors and broken answers are none.
func (a *Attempt) SetNotRun() {
	if a.notRun.CompareAndSwap(false, true) {
		a.count.n.Add(-1)
	}
}

// MayHaveRun reports whether the attempt may have run.
func (a *Attempt) MayHaveRun() bool { return !a.notRun.Load() }
