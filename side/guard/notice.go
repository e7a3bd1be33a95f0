package guard

import "sync"

// Notice wakes all that wait for a change.
type Notice struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns a channel that is closed by the next Post. Take it before
// reading the state, or a change between the two is missed.
func (n *Notice) Wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// Post wakes all waiters.
func (n *Notice) Post() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
