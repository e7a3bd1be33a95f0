// Package intake bounds what untrusted clients can hold of a process: bytes,
// connections, and the time that a request may take to arrive.
package intake

import (
	"container/list"
	"sync"
)

// Bytes is a number of bytes held for clients.
type Bytes int64

// Budget bounds the bytes that a process holds for its clients. Each Hold has a
// share that is always available to it, and only what exceeds it is charged. If
// the budget is used up, the oldest hold whose request is still arriving is
// evicted. It is safe for concurrent use.
type Budget struct {
	limit Bytes

	mu       sync.Mutex
	released sync.Cond
	used     Bytes
	evicting Bytes     // charged to evicted holds that are not closed yet
	arriving list.List // of *Hold, oldest first
}

// NewBudget returns a budget.
func NewBudget(limit Bytes) *Budget {
	b := &Budget{limit: limit}
	b.released.L = &b.mu
	return b
}

// Limit returns the number of bytes that the budget allows beyond the shares.
func (b *Budget) Limit() Bytes { return b.limit }

// Used returns the number of bytes charged.
func (b *Budget) Used() Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold is what is held for one request.
type Hold struct {
	budget    *Budget
	share     Bytes
	interrupt func()

	// The fields below are guarded by the mutex of the budget.
	held, charged Bytes
	position      *list.Element // in arriving; nil otherwise
	evicted       bool
	closed        bool
}

// Open returns a hold for a request that arrives. interrupt must make its reader
// return without delay; it is called at most once, if the hold is evicted, and
// must not call the budget. The caller must call Close.
func (b *Budget) Open(share Bytes, interrupt func()) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Hold{budget: b, share: share, interrupt: interrupt}
	h.position = b.arriving.PushBack(h)
	return h
}

// Grow adds n bytes. It waits until evicted holds are closed, and returns false
// if there is no room or the hold has been evicted itself.
func (h *Hold) Grow(n Bytes) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	need := max(0, h.held+n-h.share) - h.charged
	for !h.evicted {
		if b.used+need <= b.limit {
			h.held += n
			h.charged += need
			b.used += need
			return true
		}
		if b.used-b.evicting+need > b.limit {
			if h.charged+need > b.limit || !b.evictBefore(h) {
				return false
			}
			continue
		}
		b.released.Wait()
	}
	return false
}

// evictBefore evicts the oldest charged hold and returns true, unless that is h
// or younger than h. It must be called with mu held.
func (b *Budget) evictBefore(h *Hold) bool {
	for e := b.arriving.Front(); e != nil; e = e.Next() {
		switch old := e.Value.(*Hold); {
		case old == h:
			return false
		case old.charged > 0:
			b.evict(old)
			return true
		}
	}
	return false
}

// evict removes a hold from those that arrive and interrupts its reader. It must be
// called with mu held.
func (b *Budget) evict(h *Hold) {
	b.arriving.Remove(h.position)
	h.position, h.evicted = nil, true
	b.evicting += h.charged
	h.interrupt()
	b.released.Broadcast() // the hold may be waiting in Grow
}

// EvictOldest evicts the oldest request that is still arriving, and reports
// whether there was one.
func (b *Budget) EvictOldest() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.arriving.Front()
	if e == nil {
		return false
	}
	b.evict(e.Value.(*Hold))
	return true
}

// Shrink removes n bytes.
func (h *Hold) Shrink(n Bytes) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.held -= n
	freed := h.charged - max(0, h.held-h.share)
	h.charged -= freed
	b.used -= freed
	if h.evicted {
		b.evicting -= freed
	}
	b.released.Broadcast()
}

// Evicted reports whether the hold has been evicted.
func (h *Hold) Evicted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Seal records that the request has arrived, so that its hold can no longer be
// evicted. It returns false if it has been.
func (h *Hold) Seal() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.position != nil {
		b.arriving.Remove(h.position)
		h.position = nil
	}
	return !h.evicted
}

// Close releases everything. Further calls have no effect.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	if h.position != nil {
		b.arriving.Remove(h.position)
		h.position = nil
	}
	if h.evicted {
		b.evicting -= h.charged
	}
	b.used -= h.charged
	h.held, h.charged = 0, 0
	b.released.Broadcast()
}
