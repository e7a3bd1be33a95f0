package crash

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Probe is what a new connection says of a server.
type Probe uint8

// Results of a probe.
const (
	// Unknown: the server did not answer in time.
	Unknown Probe = iota
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
)

// String returns the name used in logs.
func (p Probe) String() string {
	switch p {
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

// Dialer opens a connection to a server.
type Dialer func(ctx context.Context) (net.Conn, error)

// Dial opens a connection, without a request, to learn whether a process listens.
func Dial(ctx context.Context, dial Dialer) Probe {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := dial(ctx)
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
