// Package conn sends requests to backend servers over HTTP/1.1 on connections
// of its own. It never sends a request twice and tells exactly what is known
// of a failed one.
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
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"citronledge.example/core/link"
)

const (
	// DialTimeout bounds the opening of a connection; a lost VM does not answer.
	DialTimeout = 250 * time.Millisecond
	// silentTime is how long sent bytes may stay unacknowledged.
	silentTime = 1500 * time.Millisecond
	// bufferSize of a connection's reader, in bytes; long heads and bodies
	// pass through it in parts.
	bufferSize = 4 << 10
	// alone is the size of a request in bytes up to which it is written
	// before the answer is read. A longer one may be answered before it is
	// read in full.
	alone = 8 << 10
	// idleTime is how long an idle connection is kept if the backend server
	// does not say how long it keeps it.
	idleTime = 800 * time.Millisecond
	// idleMargin is taken off the time that the backend server states: it
	// counts from an earlier moment than this end.
	idleMargin = 700 * time.Millisecond
	// mostForeign bounds the answers to other requests that are skipped.
	mostForeign = 2
	// mostSkipped bounds the body of such an answer, in bytes.
	mostSkipped = 1 << 20
)

// Header is one line of a head.
type Header struct{ Name, Value string }

// Request is a request as it is sent.
type Request struct {
	Method string
	// Target is the path and query as the caller sent it.
	Target  string
	Host    string
	Headers []Header
	Body    []byte
	// Matches tells whether an answer with a head is for this request. Others are
	// skipped.
	Matches func(status int, h http.Header) bool
	// MaxIdle is the longest time that a reused connection may have been idle; 0
	// means that any kept connection will do.
	MaxIdle time.Duration
}

// NotSentError says that no byte of the request was sent.
type NotSentError struct{ Cause error }

// Error implements error.
func (e NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e NotSentError) Unwrap() error { return e.Cause }

// UnansweredError says that the request was sent, at least in part, and its own answer
// did not come: it may have run.
type UnansweredError struct{ Cause error }

// Error implements error.
func (e UnansweredError) Error() string { return "sent without an answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e UnansweredError) Unwrap() error { return e.Cause }

var errForeign = errors.New("the connection carries answers to other requests")

// Pool keeps idle connections to one backend server.
type Pool struct {
	addr string
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   []*socket
	closed bool
}

// socket is one connection.
type socket struct {
	net.Conn
	r     *bufio.Reader
	since time.Time // when it became idle
	until time.Time // when it may no longer be used
	used  bool
}

// Option sets up a Pool.
type Option func(*Pool)

// WithDialer replaces the dialer, for tests.
func WithDialer(f func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = f }
}

// New returns a pool for an address.
func New(addr string, opts ...Option) *Pool {
	p := &Pool{addr: addr, dial: dial}
	for _, o := range opts {
		o(p)
	}
	return p
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, Control: link.LimitSilence(silentTime), KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// Close closes the idle connections; those in use are closed after use.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		_ = l.Close()
	}
	p.idle = nil
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := p.idle[:0]
	for _, l := range p.idle {
		if now.After(l.until) {
			_ = l.Close()
			continue
		}
		keep = append(keep, l)
	}
	clear(p.idle[len(keep):])
	p.idle = keep
}

// take returns the connection that was used last, if it is still sound.
func (p *Pool) take(fresh time.Duration) *socket {
	now := time.Now()
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		l := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.After(l.until) || fresh > 0 && now.Sub(l.since) > fresh || !l.quiet() {
			_ = l.Close()
			continue
		}
		return l
	}
}

// quiet tells whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (l *socket) quiet() bool {
	if l.r.Buffered() > 0 {
		return false
	}
	sc, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
	})
	return err == nil && quiet
}

func (p *Pool) put(l *socket, keep time.Duration) {
	l.since = time.Now()
	l.until = l.since.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || keep <= 0 {
		_ = l.Close()
		return
	}
	p.idle = append(p.idle, l)
}

// Do sends a request and returns its answer, whose Close must be called. The
// end of ctx closes the connection. It returns NotSent or Broken.
func (p *Pool) Do(ctx context.Context, q *Request) (*Answer, error) {
	l := p.take(q.MaxIdle)
	reused := l != nil
	if l == nil {
		c, err := p.dial(ctx, p.addr)
		if err != nil {
			return nil, NotSentError{err}
		}
		l = &socket{Conn: c, r: bufio.NewReaderSize(c, bufferSize)}
	}
	a := &Answer{pool: p, link: l, Reused: reused}
	a.stop = context.AfterFunc(ctx, func() { _ = l.Close() })
	if err := a.exchange(q); err != nil {
		a.stop()
		_ = l.Close()
		return nil, err
	}
	return a, nil
}

// Answer is the answer to a request. Its body is read by Read.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body in bytes, or -1 if it is not known.
	Length int64
	// Reused tells whether the connection had carried a request before.
	Reused bool

	pool  *Pool
	link  *socket
	resp  *http.Response
	stop  func() bool
	wrote chan error // result of a write in the background
	spoil bool       // the connection must not be used again
	ended bool       // the body was read to its end
}

func (a *Answer) exchange(q *Request) error {
	buf := head(q)
	if len(buf)+len(q.Body) <= alone {
		buf = append(buf, q.Body...)
		if n, err := a.link.Write(buf); err != nil {
			if n == 0 && !a.Reused {
				return NotSentError{err}
			}
			return UnansweredError{err}
		}
	} else {
		a.wrote = make(chan error, 1)
		go func() {
			buffers := net.Buffers{buf, q.Body}
			_, err := buffers.WriteTo(a.link.Conn)
			a.wrote <- err
		}()
	}
	for range mostForeign + 1 {
		resp, err := readHead(a.link.r, q.Method)
		if err != nil {
			return UnansweredError{err}
		}
		if q.Matches == nil || q.Matches(resp.StatusCode, resp.Header) {
			a.resp, a.Status, a.Header, a.Length = resp, resp.StatusCode, resp.Header, resp.ContentLength
			return nil
		}
		a.spoil = true
		if err := skip(resp); err != nil {
			return UnansweredError{errForeign}
		}
	}
	return UnansweredError{errForeign}
}

// readHead reads the head of the next final answer.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// skip reads the body of an answer to another request.
func skip(resp *http.Response) error {
	var b [1 << 10]byte
	for n := 0; n < mostSkipped; {
		m, err := resp.Body.Read(b[:])
		n += m
		if err != nil {
			if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
				return errForeign // it ended with the connection
			}
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
	return errForeign
}

// Read reads the body; io.EOF says that it is complete.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Close gives the connection back if the exchange is complete and nothing
// about it was out of order, and closes it otherwise. It may be called twice.
func (a *Answer) Close() {
	if a.link == nil {
		return
	}
	l := a.link
	a.link = nil
	alive := a.stop()
	keep := a.keep()
	if a.wrote != nil {
		select {
		case err := <-a.wrote:
			alive = alive && err == nil
		default:
			alive = false // answered early; the rest of the request is still due
		}
	}
	if !alive || a.spoil || !a.ended || a.resp.Close || l.r.Buffered() > 0 || keep <= 0 {
		_ = l.Close()
		return
	}
	a.pool.put(l, keep)
}

// keep returns how long the connection may stay idle.
func (a *Answer) keep() time.Duration {
	if a.Length < 0 && len(a.resp.TransferEncoding) == 0 {
		return 0 // the body ended with the connection
	}
	for part := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); name == "timeout" && err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return idleTime
}

// head encodes the request line and the headers.
func head(q *Request) []byte {
	b := make([]byte, 0, 1<<10+min(len(q.Body), alone))
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
