package guard

import "sync"

// Notifier wakes all goroutines that wait for a change.
type Notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Changed returns a channel that is closed by the next Notify. Callers must get
// it before they read the state, or they miss a change in between.
func (n *Notifier) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// Notify wakes all waiters.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
