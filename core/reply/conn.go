// Package reply makes connections to HTTP servers on which a broken answer does
// not look like a sound one.
package reply

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a connection to a server that carries one request at a time. Its user
// says when the write of a request begins and when it has ended.
//
// The end of the connection may be all that ends an answer, and a server that
// fails may cause it too. While a request is still being written, the operating
// system may report a reset to the write only, and the end of the connection to
// the read. So a read returns io.EOF within an answer only after the whole request
// has been written; it returns the error of a write that failed. It returns a
// HeadError if the head of an answer is none that HTTP allows.
type Conn struct {
	net.Conn

	closing sync.Once
	closed  chan struct{}

	wrote atomic.Bool // a byte of the request may have gone out

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed; guarded by writing

	mu       sync.Mutex    // guards the fields below
	sent     chan struct{} // closed when the request has been written; nil before the first one
	answered bool          // a part of the answer has been read
	head     headScanner
	broken   error // of the head
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, closed: make(chan struct{})} }

// NetConn returns the connection that c uses.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// BeginRequest is called before a request is written. The bytes that are read next
// are the head of its answer.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote.Store(false)
	c.sent, c.answered = make(chan struct{}), false
	c.head.expect()
}

// ExpectHead is called before another answer to the same request is read. buffered
// has been read from the connection already.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.expect()
	_, c.broken = c.head.scan(buffered)
	return c.broken
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
	before := c.wrote.Swap(true)
	n, err := c.Conn.Write(b)
	c.wrote.Store(before || n > 0)
	c.noteWrite(err)
	return n, err
}

// WriteBuffers writes several buffers, in one system call if the connection
// allows it, and returns how many bytes it has written.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	before := c.wrote.Swap(true)
	n, err := buffers.WriteTo(c.Conn)
	c.wrote.Store(before || n > 0)
	c.noteWrite(err)
	return n, err
}

func (c *Conn) noteWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	n, sent, broken := c.check(b[:n])
	if broken != nil {
		return n, broken
	}
	if errors.Is(err, io.EOF) && sent != nil {
		if e := c.awaitSent(sent); e != nil {
			return n, e
		}
	}
	return n, err
}

// check checks what has been read. It returns how much of it is sound, and the
// channel to await before the answer may end, if one has begun.
func (c *Conn) check(b []byte) (n int, sent chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return 0, nil, c.broken
	}
	if c.answered = c.answered || len(b) > 0; c.answered {
		sent = c.sent
	}
	n, c.broken = c.head.scan(b)
	return n, sent, c.broken
}

// HeadError returns the HeadError that reads have returned, or nil. A parser may
// replace it by an error of its own.
func (c *Conn) HeadError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// awaitSent waits until the request has been written, and returns the error of a
// write. It need not wait for long: a server that has ended its side of the
// connection reads on, or the connection is reset. Close ends the wait.
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
