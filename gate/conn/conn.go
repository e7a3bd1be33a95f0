// Package conn sends HTTP/1.1 requests to backend servers over connections that
// it pools itself. It never sends a request twice, and its errors say whether a
// failed request may have reached the server.
package conn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"citronledge.example/core/crash"
	"citronledge.example/core/link"
	"citronledge.example/core/reply"
)

const (
	// DialTimeout limits the opening of a connection; a VM that is gone does
	// not answer.
	DialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is reset.
	unackedTimeout = 1500 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer; longer heads
	// and bodies pass through it in parts.
	readBufferBytes = 4 << 10
	// maxSyncWriteBytes is the size up to which a request is written in full
	// before its answer is read. A longer one is written in the background,
	// since it may be answered before it has been read in full.
	maxSyncWriteBytes = 8 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the backend
	// server states no keep-alive timeout.
	defaultIdleTimeout = 800 * time.Millisecond
	// keepAliveMargin is subtracted from the keep-alive timeout that the
	// backend server states, which starts earlier there than at this end.
	keepAliveMargin = 700 * time.Millisecond
)

// Header is one header line of a request.
type Header struct{ Name, Value string }

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target  string
	Host    string
	Headers []Header
	Body    []byte
	// Matches reports whether an answer with this status and header belongs to
	// this request; other answers are skipped. If it is nil, every answer does.
	// first is set for the first answer on a connection: nothing that was sent to
	// an earlier request can come there.
	Matches func(status int, h http.Header, first bool) bool
	// MaxIdle is how long a reused connection may have been idle; 0 means that
	// any pooled connection will do.
	MaxIdle time.Duration
	// Head, which may be nil, ends the wait for the head of the answer. It is stopped
	// when the head has come.
	Head *Silence
}

// NotSentError reports that no byte of the request was sent.
type NotSentError struct{ Cause error }

// Error implements error.
func (e NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e NotSentError) Unwrap() error { return e.Cause }

// UnansweredError reports that the request was sent, at least in part, and its
// answer did not arrive: it may have run.
type UnansweredError struct {
	Cause error
	// Reused reports whether the connection had carried a request before.
	Reused bool
}

// Error implements error.
func (e UnansweredError) Error() string { return "sent without an answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e UnansweredError) Unwrap() error { return e.Cause }

// Closed reports whether the server closed the connection.
func (e UnansweredError) Closed() bool {
	return errors.Is(e.Cause, io.EOF) || errors.Is(e.Cause, io.ErrUnexpectedEOF)
}

// Reset reports whether the server reset the connection.
func (e UnansweredError) Reset() bool {
	return errors.Is(e.Cause, syscall.ECONNRESET) || errors.Is(e.Cause, syscall.EPIPE)
}

var errForeign = errors.New("the connection carries answers to other requests")

// Pool keeps idle connections to one backend server.
type Pool struct {
	addr string
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   []*pooledConn
	closed bool

	probeMu  sync.Mutex // held during a probe
	probedAt time.Time
	probed   crash.Probe
}

// pooledConn is a connection that the pool may reuse.
type pooledConn struct {
	*reply.Conn
	addr        string
	limiter     *limiter
	r           *bufio.Reader // reads from limiter
	idleSince   time.Time
	usableUntil time.Time
}

func newPooledConn(c net.Conn, addr string) *pooledConn {
	checked := reply.NewConn(c)
	l := &limiter{Reader: checked}
	return &pooledConn{Conn: checked, addr: addr, limiter: l, r: bufio.NewReaderSize(l, readBufferBytes)}
}

// Option configures a Pool.
type Option func(*Pool)

// WithDialer replaces the dialer, for tests.
func WithDialer(f func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = f }
}

// New returns a pool of connections to addr, HOST:PORT.
func New(addr string, opts ...Option) *Pool {
	p := &Pool{addr: addr, dial: dial}
	for _, o := range opts {
		o(p)
	}
	return p
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, Control: link.UserTimeoutControl(unackedTimeout), KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// Close closes the idle connections; those in use are closed after use.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pc := range p.idle {
		_ = pc.Close()
	}
	p.idle = nil
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, pc := range p.idle {
		if now.After(pc.usableUntil) {
			_ = pc.Close()
			continue
		}
		kept = append(kept, pc)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// takeIdle removes and returns the connection that was used last, or nil if
// there is none. It closes those that have expired, have been idle for longer
// than maxIdle (0 sets no limit) or are no longer quiet.
func (p *Pool) takeIdle(maxIdle time.Duration) *pooledConn {
	now := time.Now()
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		pc := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.After(pc.usableUntil) || maxIdle > 0 && now.Sub(pc.idleSince) > maxIdle || !pc.isQuiet() {
			_ = pc.Close()
			continue
		}
		return pc
	}
}

// isQuiet reports whether nothing has arrived on an idle connection: neither
// its end nor bytes that belong to no request.
func (pc *pooledConn) isQuiet() bool {
	if pc.r.Buffered() > 0 {
		return false
	}
	_, err := pc.peek()
	return errors.Is(err, unix.EAGAIN)
}

// putIdle returns a connection to the pool, to be reused within timeout.
func (p *Pool) putIdle(pc *pooledConn, timeout time.Duration) {
	pc.idleSince = time.Now()
	pc.usableUntil = pc.idleSince.Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || timeout <= 0 {
		_ = pc.Close()
		return
	}
	p.idle = append(p.idle, pc)
}

// Do sends a request and returns its answer, which the caller must close. The
// end of ctx closes the connection. The error is a NotSentError or an
// UnansweredError.
func (p *Pool) Do(ctx context.Context, q *Request) (*Answer, error) {
	pc := p.takeIdle(q.MaxIdle)
	reused := pc != nil
	if pc == nil {
		c, err := p.dial(ctx, p.addr)
		if err != nil {
			return nil, NotSentError{err}
		}
		pc = newPooledConn(c, p.addr)
	}
	q.Head.watch(pc.hasUnread)
	a := &Answer{pool: p, conn: pc, Reused: reused}
	a.stop = context.AfterFunc(ctx, func() { _ = pc.Close() })
	if err := a.exchange(q); err != nil {
		a.stop()
		_ = pc.Close()
		if a.writeDone != nil {
			if w := <-a.writeDone; w.err != nil && w.n == 0 {
				return nil, NotSentError{w.err}
			}
		}
		return nil, err
	}
	return a, nil
}

// writeResult is what a write in the background has sent, in bytes.
type writeResult struct {
	n   int64
	err error
}

// Answer is the answer to a request. Read reads its body.
type Answer struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, or -1 if it is not known.
	Length int64
	// Reused reports whether the connection had carried a request before.
	Reused bool

	pool         *Pool
	conn         *pooledConn
	resp         *http.Response
	stop         func() bool
	writeDone    chan writeResult // of a write in the background; nil without one
	notReusable  bool             // the connection has carried an answer to another request
	bodyComplete bool             // the body was read to its end
	reading      atomic.Bool      // Read waits for the server
}

func (a *Answer) exchange(q *Request) error {
	buf := encodeHead(q)
	a.conn.BeginRequest()
	if len(buf)+len(q.Body) <= maxSyncWriteBytes {
		buf = append(buf, q.Body...)
		n, err := a.conn.Write(buf)
		a.conn.EndRequest()
		if err != nil {
			if n == 0 {
				return NotSentError{err}
			}
			return UnansweredError{err, a.Reused}
		}
	} else {
		pc, done := a.conn, make(chan writeResult, 1)
		a.writeDone = done
		go func() {
			n, err := pc.WriteBuffers(net.Buffers{buf, q.Body})
			pc.EndRequest()
			done <- writeResult{n, err}
		}()
	}
	for skipped := range maxForeignAnswers + 1 {
		resp, err := a.conn.readHead(q.Method)
		if err != nil {
			return UnansweredError{err, a.Reused}
		}
		if q.Matches == nil || q.Matches(resp.StatusCode, resp.Header, !a.Reused && skipped == 0) {
			if q.Head.Stop() {
				return UnansweredError{errSilent, a.Reused}
			}
			a.resp, a.Status, a.Header, a.Length = resp, resp.StatusCode, resp.Header, resp.ContentLength
			return nil
		}
		a.notReusable = true
		if err := a.conn.skipBody(resp); err != nil {
			return UnansweredError{err, a.Reused}
		}
		buffered, _ := a.conn.r.Peek(a.conn.r.Buffered())
		if err := a.conn.ExpectHead(buffered); err != nil {
			return UnansweredError{err, a.Reused}
		}
	}
	return UnansweredError{errForeign, a.Reused}
}

// Read reads the body; io.EOF means that it is complete.
func (a *Answer) Read(b []byte) (int, error) {
	a.reading.Store(true)
	defer a.reading.Store(false)
	n, err := a.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.bodyComplete = true
	}
	return n, err
}

// Close returns the connection to the pool if the exchange is complete and
// nothing irregular was seen, and closes it otherwise. It may be called more
// than once.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	pc := a.conn
	a.conn = nil
	alive := a.stop()
	timeout := a.idleTimeout()
	if a.writeDone != nil {
		select {
		case w := <-a.writeDone:
			alive = alive && w.err == nil
		default:
			alive = false // answered early; the rest of the request is still being sent
		}
	}
	if !alive || a.notReusable || !a.bodyComplete || a.resp.Close || pc.r.Buffered() > 0 || timeout <= 0 {
		_ = pc.Close()
		return
	}
	a.pool.putIdle(pc, timeout)
}

// EndsWithConnection reports whether only the end of the connection shows where
// the body ends.
func (a *Answer) EndsWithConnection() bool {
	return a.Length < 0 && len(a.resp.TransferEncoding) == 0
}

// idleTimeout returns how long the connection may stay idle in the pool; 0 or
// less means that it cannot be reused.
func (a *Answer) idleTimeout() time.Duration {
	if a.EndsWithConnection() {
		return 0 // the end of the connection delimits the body
	}
	for part := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); name == "timeout" && err == nil {
			return time.Duration(n)*time.Second - keepAliveMargin
		}
	}
	return defaultIdleTimeout
}

// encodeHead encodes the request line and the headers.
func encodeHead(q *Request) []byte {
	b := make([]byte, 0, 1<<10+min(len(q.Body), maxSyncWriteBytes))
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for _, h := range q.Headers {
		b = append(b, h.Name...)
		b = append(b, ": "...)
		b = append(b, h.Value...)
		b = append(b, "\r\n"...)
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(q.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
