// Package reply makes connections to HTTP servers on which a broken answer does
// not look like a sound one.
package reply

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Conn is a connection to a server that carries one request at a time. Its user
// says when the write of a request begins and when it has ended.
//
// The end of the connection may be all that ends an answer, and a server that
// fails may cause it too. While a request is still being written, the operating
// system may report a reset to the write only, and the end of the connection to
// the read. So a read returns io.EOF within an answer only after the whole request
// has been written; it returns the error of a write that failed.
type Conn struct {
	net.Conn

	closing sync.Once
	closed  chan struct{}

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed; guarded by writing

	mu       sync.Mutex    // guards the fields below
	sent     chan struct{} // closed when the request has been written; nil before the first one
	answered bool          // a part of the answer has been read
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, closed: make(chan struct{})} }

// NetConn returns the connection that c uses.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// BeginRequest is called before a request is written.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent, c.answered = make(chan struct{}), false
}

// EndRequest is called when the write of the request has ended, also if it failed.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.sent:
	default:
		close(c.sent)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.noteWrite(err)
	return n, err
}

// WriteBuffers writes several buffers, in one system call if the connection
// allows it.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.noteWrite(err)
	return err
}

func (c *Conn) noteWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.answered = c.answered || n > 0
	sent, answered := c.sent, c.answered
	c.mu.Unlock()
	if errors.Is(err, io.EOF) && sent != nil && answered {
		if e := c.awaitSent(sent); e != nil {
			return n, e
		}
	}
	return n, err
}

// awaitSent waits until the request has been written, and returns the error of a
// write. It need not wait for long: a server that has ended its side of the
// connection either reads on or has the connection reset.
func (c *Conn) awaitSent(sent chan struct{}) error {
	select {
	case <-sent:
	case <-c.closed:
		return net.ErrClosed
	}
	c.writing.Lock() // net/http writes the last of its buffer after it has reported the end of a request
	defer c.writing.Unlock()
	return c.writeErr
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
