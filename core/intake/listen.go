package intake

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// headShare is the part of each request head that is always available.
	headShare Bytes = 8 << 10
	// lineCost is how many bytes a line of a head occupies beyond its own.
	lineCost = 64
	// readAhead is how many bytes of a body http.Server may read with the head.
	readAhead = 4 << 10
	// connCost is how many bytes a connection occupies with its shares: about
	// 16 kB of stacks and buffers, and headShare.
	connCost = 24 << 10
	// connShare is the share of a process's memory for connections, and
	// budgetShare that for its Budget. The rest is for the process's own state,
	// and for memory that is no longer used but not collected yet.
	connShare   = 0.3
	budgetShare = 0.2
	// minBudget allows a single body of 8 MiB, for which a buffer of the half size
	// is held at the same time.
	minBudget Bytes = 13 << 20
	// fileShare is the share of the descriptors for connections of clients; the
	// rest is for backend servers, other processes and files.
	fileShare = 0.5
	// sweepInterval is the interval at which Sweep looks for connections that
	// exceed their times.
	sweepInterval = 500 * time.Millisecond
	// evictedDivisor divides the limit of connections to get how many more are
	// accepted while evicted ones end.
	evictedDivisor = 8
)

// BudgetFor returns the budget of a process with a memory limit; 0 means that of
// the Go runtime.
func BudgetFor(memory int64) *Budget {
	return NewBudget(max(minBudget, Bytes(budgetShare*float64(memoryLimit(memory)))))
}

// defaultMemory is assumed if no memory limit is set.
const defaultMemory = 1 << 30

func memoryLimit(set int64) int64 {
	if set > 0 {
		return set
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	return defaultMemory
}

// FileLimit returns the smaller of the descriptor limit of this process and a
// limit that the deployment sets; 0 means none for both.
func FileLimit(set int) int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > maxFiles {
		return set
	}
	if set <= 0 {
		return int(r.Cur)
	}
	return min(set, int(r.Cur))
}

// maxFiles is the greatest descriptor limit that is taken for one.
const maxFiles = 1 << 30

// MaxConns returns the greatest number of connections of clients to a process
// with a memory limit, 0 for that of the Go runtime, and a descriptor limit, 0
// for none.
func MaxConns(memory int64, files int) int {
	n := int(connShare * float64(memoryLimit(memory)) / connCost)
	if files > 0 {
		n = min(n, int(fileShare*float64(files)))
	}
	return max(1, n)
}

// Limits are the limits of a Listener. Its functions are called for each use; nil
// or a result of 0 means no limit.
type Limits struct {
	// Conns is the greatest number of connections.
	Conns int
	// HeadBytes is the greatest size of a request head.
	HeadBytes func() int
	// HeadTimeout is how long a head may take from its first byte.
	HeadTimeout func() time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout func() time.Duration
}

// Listener bounds the connections of an http.Server. When there are too many, it
// closes the one that has waited longest without a request.
type Listener struct {
	net.Listener
	budget *Budget
	limits Limits

	mu    sync.Mutex
	count int
	fresh list.List // of *conn before their first request, oldest first
	idle  list.List // of *conn between two requests, oldest first
}

// Listen returns a listener that takes its connections from ln. Attach must be
// called before the server starts. HeadTimeout and IdleTimeout need Sweep beside it.
func Listen(ln net.Listener, b *Budget, l Limits) *Listener {
	return &Listener{Listener: ln, budget: b, limits: l}
}

// Attach sets the hook by which the server reports the state of connections.
func (l *Listener) Attach(srv *http.Server) { srv.ConnState = l.trackState }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			c := &conn{Conn: raw, listener: l}
			c.inHead.Store(true)
			l.addWaiting(c, &l.fresh)
			return c, nil
		}
		refuse(raw, "503 Service Unavailable\r\nRetry-After: 1")
		_ = raw.Close() // the client is not served
	}
}

// refuse writes a whole answer without waiting for the client.
func refuse(c net.Conn, status string) {
	_ = c.SetWriteDeadline(time.Now().Add(time.Millisecond))
	// An error means that the client does not read or is gone.
	_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

// admit reports whether a new connection is accepted, and counts it if so. At the
// limit it closes a connection or evicts a request for it.
func (l *Listener) admit() bool {
	l.mu.Lock()
	if l.limits.Conns <= 0 || l.count < l.limits.Conns {
		l.count++
		l.mu.Unlock()
		return true
	}
	longer := &l.fresh
	if l.idle.Len() > l.fresh.Len() {
		longer = &l.idle
	}
	var oldest *conn
	if e := longer.Front(); e != nil {
		oldest = e.Value.(*conn)
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // its server reads an error and ends
	} else if !l.budget.EvictOldest() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count >= l.limits.Conns+max(1, l.limits.Conns/evictedDivisor) {
		return false
	}
	l.count++
	return true
}

// addWaiting puts a connection without a request into a list.
func (l *Listener) addWaiting(c *conn, to *list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.leave()
	if !c.closed {
		c.since, c.in = time.Now(), to
		c.position = to.PushBack(c)
	}
}

// trackState implements the hook ConnState of http.Server.
func (l *Listener) trackState(nc net.Conn, state http.ConnState) {
	if t, ok := nc.(interface{ NetConn() net.Conn }); ok { // TLS
		nc = t.NetConn()
	}
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive: // the head has arrived
		c.inHead.Store(false)
		if c.hold != nil {
			c.hold.Seal() // if it was evicted, the body cannot be read
		}
		l.mu.Lock()
		c.leave()
		l.mu.Unlock()
	case http.StateIdle:
		c.hold.Close()
		c.hold, c.headBytes = nil, 0
		c.headStart.Store(0)
		c.inHead.Store(true)
		l.addWaiting(c, &l.idle)
	case http.StateClosed, http.StateHijacked:
		c.hold.Close()
	}
}

// Sweep closes connections that exceed their times, until ctx ends.
func (l *Listener) Sweep(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			for _, c := range l.expired(now) {
				_ = c.Close() // its server reads an error and ends
			}
		}
	}
}

func (l *Listener) expired(now time.Time) (found []*conn) {
	var head, idle time.Duration
	if l.limits.HeadTimeout != nil {
		head = l.limits.HeadTimeout()
	}
	if l.limits.IdleTimeout != nil {
		idle = l.limits.IdleTimeout()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, from := range []*list.List{&l.fresh, &l.idle} {
		for e := from.Front(); e != nil; e = e.Next() {
			c := e.Value.(*conn)
			switch start := c.headStart.Load(); {
			case start != 0 && head > 0 && now.UnixNano()-start > int64(head):
				found = append(found, c)
			case start == 0 && from == &l.idle && idle > 0 && now.Sub(c.since) > idle:
				found = append(found, c)
			}
		}
	}
	return found
}

// conn counts the bytes of request heads.
type conn struct {
	net.Conn
	listener  *Listener
	inHead    atomic.Bool  // a head is expected or arriving
	refused   atomic.Bool  // the head is refused
	headStart atomic.Int64 // when its first byte arrived, as Unix time in ns; 0 before

	// Used only by the goroutine that reads heads.
	hold      *Hold
	headBytes int

	// Guarded by the mutex of the listener.
	closed   bool
	since    time.Time
	in       *list.List
	position *list.Element
}

// leave removes the connection from its list. The listener's mutex must be held.
func (c *conn) leave() {
	if c.position != nil {
		c.in.Remove(c.position)
		c.position = nil
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	if c.hold == nil {
		c.headStart.Store(time.Now().UnixNano())
		c.hold = c.listener.budget.Open(headShare, c.interrupt)
	}
	c.headBytes += n
	if f := c.listener.limits.HeadBytes; f != nil {
		if limit := f(); limit > 0 && c.headBytes > limit+readAhead {
			refuse(c.Conn, "431 Request Header Fields Too Large")
			return 0, io.EOF
		}
	}
	if !c.hold.Grow(Bytes(n + lineCost*bytes.Count(p[:n], []byte{'\n'}))) {
		refuse(c.Conn, "503 Service Unavailable\r\nRetry-After: 1")
		return 0, io.EOF
	}
	return n, err
}

// interrupt ends the read of a head.
func (c *conn) interrupt() {
	c.refused.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn. It cannot extend the time of a head that
// is refused.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.refused.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// CloseWrite lets http.Server end a refused connection without a reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger lets Abort reset the connection.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	if !c.closed {
		c.closed = true
		c.leave()
		l.count--
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
