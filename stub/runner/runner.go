// Package runner is a stand-in for a backend server of the users' platform. It
// writes its answers byte by byte, so that a test can have it do what a real
// server does only when it is faulty.
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

// Request is a request that the runner has read.
type Request struct {
	*http.Request
	Content []byte
	// ConnIndex numbers the connection, and RequestIndex the request on it, from 0.
	ConnIndex, RequestIndex int
}

// AttemptID returns the id of the request.
func (r *Request) AttemptID() string { return r.Header.Get("Attempt-Id") }

// LastEventID returns the number of the event after which a stream is resumed, 0 for one
// from its start.
func (r *Request) LastEventID() int {
	n, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0 // none or not one of ours
	}
	return n
}

// Reply writes an answer. It returns false to close the connection, and may
// close it itself.
type Reply func(c net.Conn, r *Request) (keep bool)

// Backend is a running stand-in.
type Backend struct {
	ln net.Listener

	mu    sync.Mutex
	reply Reply
	seen  []*Request
	conns map[net.Conn]bool
	count int
	wait  sync.WaitGroup
}

// Start returns a runner on a loopback address.
func Start(reply Reply) (*Backend, error) { return StartAt("127.0.0.1:0", reply) }

// StartAt returns a runner on an address.
func StartAt(addr string, reply Reply) (*Backend, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Backend{ln: ln, reply: reply, conns: map[net.Conn]bool{}}
	r.wait.Go(r.accept)
	return r, nil
}

// Addr returns the address.
func (r *Backend) Addr() string { return r.ln.Addr().String() }

// Close ends the runner and its connections.
func (r *Backend) Close() {
	_ = r.ln.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

// Requests returns the requests that have been read so far.
func (r *Backend) Requests() []*Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Request(nil), r.seen...)
}

// OpenConns returns the number of open connections.
func (r *Backend) OpenConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// SetReply changes what the runner answers.
func (r *Backend) SetReply(reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reply = reply
}

func (r *Backend) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		n := r.count
		r.count++
		r.mu.Unlock()
		r.wait.Go(func() { r.serve(c, n) })
	}
}

func (r *Backend) serve(c net.Conn, n int) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for turn := 0; ; turn++ {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		x := &Request{Request: q, Content: body, ConnIndex: n, RequestIndex: turn}
		r.mu.Lock()
		r.seen = append(r.seen, x)
		reply := r.reply
		r.mu.Unlock()
		if !reply(c, x) {
			return
		}
	}
}

// Signature is the proof of origin that OK answers bear.
func Signature(r *Request) string { return "sig-" + r.AttemptID() }

// ResponseHead returns the start of an answer of the runner's own application.
func ResponseHead(status int, r *Request, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n%s", status, http.StatusText(status), r.AttemptID(), Signature(r), more)
}

// OK answers with a body and a length.
func OK(body string) Reply { return Status(http.StatusOK, body) }

// Status answers with a status, a body and a length.
func Status(status int, body string) Reply {
	return func(c net.Conn, r *Request) bool {
		return write(c, ResponseHead(status, r, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
	}
}

// ReplyNotExecuted refuses: the runner did not run the request.
func ReplyNotExecuted(c net.Conn, _ *Request) bool {
	return write(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

// Events answers with a stream of events from first to last, each with a
// pause before it; more is added to the head.
func Events(first, last int, pause time.Duration, more string) Reply {
	return func(c net.Conn, r *Request) bool {
		if !write(c, ResponseHead(http.StatusOK, r, more+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
			return false
		}
		for i := first; i <= last; i++ {
			time.Sleep(pause)
			if !write(c, Chunk(Event(i))) {
				return false
			}
		}
		return write(c, "0\r\n\r\n")
	}
}

// Event returns one event of a stream.
func Event(i int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i) }

// Chunk returns a part of a body without a length.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// ReplyRawAndClose sends raw bytes and closes the connection.
func ReplyRawAndClose(raw func(r *Request) string) Reply {
	return func(c net.Conn, r *Request) bool {
		write(c, raw(r))
		return false
	}
}

// NeverReply never answers; the connection stays until the other end closes it.
func NeverReply(c net.Conn, _ *Request) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

func write(c net.Conn, s string) bool {
	_, err := io.WriteString(c, s)
	return err == nil
}
