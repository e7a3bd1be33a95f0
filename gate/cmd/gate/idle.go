package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idle closes callers' connections that stay without a request for longer than
// the configuration allows. The limit of http.Server cannot change while it
// runs.
type idle struct {
	limit func() time.Duration

	mu    sync.Mutex
	conns map[net.Conn]time.Time
}

func newIdle(limit func() time.Duration) *idle {
	return &idle{limit: limit, conns: map[net.Conn]time.Time{}}
}

// note implements http.Server.ConnState.
func (i *idle) note(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.conns[c] = time.Now()
		return
	}
	delete(i.conns, c)
}

func (i *idle) run(ctx context.Context) error {
	const every = time.Second
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			i.sweep(now)
		}
	}
}

func (i *idle) sweep(now time.Time) {
	limit := time.Duration(idleMargin * float64(i.limit()))
	if limit <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.conns {
		if now.Sub(since) > limit {
			delete(i.conns, c)
			_ = c.Close()
		}
	}
}
