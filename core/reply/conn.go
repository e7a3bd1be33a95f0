// Package reply makes connections to HTTP servers on which a broken answer does
// not look like a sound one.
package reply

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection to a server. The operating system reports a reset once,
// to a read or to a write, and then lets reads end as if the server had closed
// the connection in order. A read of Conn does not return io.EOF after a reset
// that a write was told of.
//
// Conn is safe for a read and a write at the same time.
type Conn struct {
	net.Conn

	mu   sync.Mutex // held during a write
	lost error      // reset or timeout that ended a write; nil without one
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection that c uses.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.noteLoss(err)
	return n, err
}

// WriteBuffers writes several buffers, in one system call if the connection
// allows it.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.noteLoss(err)
	return err
}

// noteLoss records the error of a write if the connection failed. EPIPE shows
// that the server had closed its side in order before: the answer up to there is
// whole.
func (c *Conn) noteLoss(err error) {
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.lost = err
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if lost := c.endWrite(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// endWrite ends a write that is under way, since a server that sends nothing more
// cannot answer it, and returns the loss of the connection that a write was told
// of.
func (c *Conn) endWrite() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose writes have ended
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}
