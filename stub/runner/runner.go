// Package runner is a stand-in for a backend server of the users' platform. It
// writes raw bytes to its connections, so that a test can have it misbehave like
// a faulty server.
package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request is a request that the backend server has read.
type Request struct {
	*http.Request
	Content []byte // body; not read if the backend server answers early
	// ConnIndex numbers the connection, and RequestIndex the request on it,
	// from 0.
	ConnIndex, RequestIndex int
}

// AttemptID returns the request id from the header Attempt-Id.
func (r *Request) AttemptID() string { return r.Header.Get("Attempt-Id") }

// LastEventID returns the number of the event after which a stream is resumed,
// or 0 for a stream from its start.
func (r *Request) LastEventID() int {
	n, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0 // no such header, or not an id of this package
	}
	return n
}

// Reply writes an answer to a connection. It may close the connection; if it
// returns false, the backend server closes it.
type Reply func(c net.Conn, r *Request) (keep bool)

// earlyReadBuffer is the size of the receive buffer, in bytes, of a backend server
// that answers early.
const earlyReadBuffer = 64 << 10

// Backend is a running stand-in for a backend server.
type Backend struct {
	addr  string
	early bool          // answers before it reads the body of a request
	done  chan struct{} // closed by Close

	mu       sync.Mutex // guards the fields below
	ln       net.Listener
	crashed  bool // and not yet back
	closed   bool
	reply    Reply
	requests []*Request
	conns    map[net.Conn]bool
	accepted int // connections accepted so far
	wait     sync.WaitGroup
}

// Start starts a backend server on a free port of the loopback address.
func Start(reply Reply) (*Backend, error) { return StartAt("127.0.0.1:0", reply) }

// StartEarly starts a backend server that answers as soon as it has read the head
// of a request. It reads and discards the body after its answer, or resets the
// connection if reply returns false before the body has arrived. Its receive buffer
// is small, so that a long request is still being sent meanwhile.
func StartEarly(reply Reply) (*Backend, error) { return start("127.0.0.1:0", reply, true) }

// StartAt starts a backend server on an address.
func StartAt(addr string, reply Reply) (*Backend, error) { return start(addr, reply, false) }

func start(addr string, reply Reply, early bool) (*Backend, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Backend{addr: ln.Addr().String(), ln: ln, early: early, reply: reply, conns: map[net.Conn]bool{}, done: make(chan struct{})}
	r.wait.Go(func() { r.accept(ln) })
	return r, nil
}

// Addr returns the address at which the backend server listens.
func (b *Backend) Addr() string { return b.addr }

// Close closes the listener and all connections, and waits until they are done.
func (b *Backend) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.done)
	}
	_ = b.ln.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	b.wait.Wait()
}

// Crash ends the listener and all connections, as the end of a process does, and
// starts again on the same address after a while.
func (b *Backend) Crash(down time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashed || b.closed {
		return
	}
	b.crashed = true
	_ = b.ln.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	b.wait.Go(func() {
		select {
		case <-time.After(down):
		case <-b.done:
			return
		}
		ln, err := net.Listen("tcp", b.addr)
		if err != nil {
			return // the address was taken; the server stays down
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.closed {
			_ = ln.Close()
			return
		}
		b.ln, b.crashed = ln, false
		b.wait.Go(func() { b.accept(ln) })
	})
}

// Requests returns the requests that have been read so far.
func (b *Backend) Requests() []*Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Request(nil), b.requests...)
}

// OpenConns returns the number of open connections.
func (b *Backend) OpenConns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// SetReply changes the reply to requests that are read from now on.
func (b *Backend) SetReply(reply Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reply = reply
}

func (b *Backend) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if b.early {
			_ = c.(*net.TCPConn).SetReadBuffer(earlyReadBuffer)
		}
		b.mu.Lock()
		b.conns[c] = true
		n := b.accepted
		b.accepted++
		b.mu.Unlock()
		b.wait.Go(func() { b.serve(c, n) })
	}
}

func (b *Backend) serve(c net.Conn, n int) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for turn := 0; ; turn++ {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var body []byte
		if !b.early {
			if body, err = io.ReadAll(q.Body); err != nil {
				return
			}
		}
		req := &Request{Request: q, Content: body, ConnIndex: n, RequestIndex: turn}
		b.mu.Lock()
		b.requests = append(b.requests, req)
		reply := b.reply
		b.mu.Unlock()
		if !reply(c, req) {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
	}
}

// Signature returns the Server-Signature of answers to a request: the proof that
// they come from the backend server.
func Signature(r *Request) string { return "sig-" + r.AttemptID() }

// ResponseHead returns the status line and the first headers of an answer by the
// backend server's application, followed by more.
func ResponseHead(status int, r *Request, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n%s", status, http.StatusText(status), r.AttemptID(), Signature(r), more)
}

// OK answers with status 200 and a body with Content-Length.
func OK(body string) Reply { return Status(http.StatusOK, body) }

// Status answers with a status and a body with Content-Length.
func Status(status int, body string) Reply {
	return func(c net.Conn, r *Request) bool {
		return Write(c, ResponseHead(status, r, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
	}
}

// ReplyNotExecuted refuses a request with the header Not-Executed, which says
// that the request has not been run.
func ReplyNotExecuted(c net.Conn, r *Request) bool {
	return Write(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: "+r.AttemptID()+"\r\nContent-Length: 0\r\n\r\n")
}

// Events answers with a stream of the events from first to last, with a pause
// before each; more is added to the headers.
func Events(first, last int, pause time.Duration, more string) Reply {
	return func(c net.Conn, r *Request) bool {
		if !Write(c, ResponseHead(http.StatusOK, r, more+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
			return false
		}
		for i := first; i <= last; i++ {
			time.Sleep(pause)
			if !Write(c, Chunk(Event(i))) {
				return false
			}
		}
		return Write(c, "0\r\n\r\n")
	}
}

// Event returns event i of a stream.
func Event(i int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i) }

// Chunk returns s as one chunk of a body with chunked encoding.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// ReplyRawAndClose answers with raw bytes and closes the connection.
func ReplyRawAndClose(raw func(r *Request) string) Reply {
	return func(c net.Conn, r *Request) bool {
		Write(c, raw(r))
		return false
	}
}

// NeverReply never answers; the connection stays open until the peer closes it.
func NeverReply(c net.Conn, _ *Request) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// Write writes bytes to a connection and reports whether it could.
func Write(c net.Conn, s string) bool {
	_, err := io.WriteString(c, s)
	return err == nil
}
