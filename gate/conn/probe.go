package conn

import (
	"context"
	"net"
	"time"

	"citronledge.example/core/crash"
)

// probeMemory is how long the result of a probe holds. Many requests end together
// when their server does.
const probeMemory = 20 * time.Millisecond

// Probe opens a connection to the server, without a request, to learn whether its
// process runs.
func (p *Pool) Probe(ctx context.Context) crash.Probe {
	p.probeMu.Lock()
	defer p.probeMu.Unlock()
	if p.probedAt.IsZero() || time.Since(p.probedAt) > probeMemory {
		p.probed = crash.Dial(ctx, func(ctx context.Context) (net.Conn, error) { return p.dial(ctx, p.addr) })
		p.probedAt = time.Now()
	}
	return p.probed
}
