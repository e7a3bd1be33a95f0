package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that are idle for longer than the
// configuration allows. The idle timeout of http.Server can't change while the
// server runs.
type idleCloser struct {
	limit func() time.Duration

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, idleSince: map[net.Conn]time.Time{}}
}

// trackState is the ConnState hook of http.Server.
func (i *idleCloser) trackState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

func (i *idleCloser) run(ctx context.Context) error {
	const every = time.Second
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			i.closeIdle(now)
		}
	}
}

func (i *idleCloser) closeIdle(now time.Time) {
	limit := time.Duration(idleTimeFactor * float64(i.limit()))
	if limit <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.idleSince {
		if now.Sub(since) > limit {
			delete(i.idleSince, c)
			_ = c.Close()
		}
	}
}
