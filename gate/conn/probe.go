package conn

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// ProbeResult is what a new connection says of a server.
type ProbeResult uint8

// Results of a probe.
const (
	// Unknown: the server did not answer in time.
	Unknown ProbeResult = iota
	// Refused: no process listens.
	Refused
	// Ended: the server took the connection and ended it at once.
	Ended
	// Open: the server keeps the connection.
	Open
)

const (
	// probeTimeout limits the opening of a probe's connection.
	probeTimeout = 60 * time.Millisecond
	// probeQuietTime is how long a server that has reached its limit of
	// connections may take to end one.
	probeQuietTime = 5 * time.Millisecond
	// probeMemory is how long the result of a probe holds. Many requests end
	// together when their server does.
	probeMemory = 20 * time.Millisecond
)

// String returns the name used in logs.
func (r ProbeResult) String() string {
	switch r {
	case Refused:
		return "refused"
	case Ended:
		return "ended"
	case Open:
		return "open"
	case Unknown:
	}
	return "unknown"
}

// Probe opens a connection to the server, without a request, to learn whether its
// process runs.
func (p *Pool) Probe(ctx context.Context) ProbeResult {
	p.probeMu.Lock()
	defer p.probeMu.Unlock()
	if p.probedAt.IsZero() || time.Since(p.probedAt) > probeMemory {
		p.probed = p.probe(ctx)
		p.probedAt = time.Now()
	}
	return p.probed
}

func (p *Pool) probe(ctx context.Context) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.dial(ctx, p.addr)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			return Refused
		}
		return Unknown
	}
	defer func() { _ = c.Close() }()
	if err := c.SetReadDeadline(time.Now().Add(probeQuietTime)); err != nil {
		return Unknown
	}
	var b [1]byte
	if _, err := c.Read(b[:]); isTimeout(err) {
		return Open
	}
	return Ended
}

func isTimeout(err error) bool {
	var e interface{ Timeout() bool }
	return errors.As(err, &e) && e.Timeout()
}
