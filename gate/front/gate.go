package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/intake"
)

const (
	headerReadTimeout = 5 * time.Second
	idleTimeout       = 120 * time.Second
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 32 << 10
	// maxStreams, streamWindow and connWindow limit what one HTTP/2 connection can
	// send before it is read. Package http allows 1 MiB for each.
	maxStreams   = 100
	streamWindow = 64 << 10
	connWindow   = 256 << 10
	// drainLinger is how long a draining gate still answers on open connections.
	drainLinger = time.Second
)

// LeaseHolder is the part of the state cluster's client that a Gate uses.
type LeaseHolder interface {
	// LeaseValidAt reports whether the lease allows new work at the given time.
	LeaseValidAt(now time.Time) bool
}

// Drainer finishes accepted work and returns how many items are left when ctx
// ends.
type Drainer interface {
	Drain(ctx context.Context) int
}

// RequestDrainer is a Drainer that lists the running requests.
type RequestDrainer interface {
	Drainer
	Running() []ident.Request
}

// GateConfig holds the settings and components of a gate.
type GateConfig struct {
	Listen    string
	Cert, Key string // files; empty for plain HTTP
	Handler   http.Handler
	// Tasks run until the gate stops, also while it drains. The task that holds
	// the lease returns it when it ends, which is after the last bill.
	Tasks map[string]func(ctx context.Context) error
	// Router and Book are drained in this order.
	Router RequestDrainer
	Book   Drainer
	State  LeaseHolder
	// Budget is that of the Handler.
	Budget *intake.Budget
}

// Gate is a complete gate; it implements server.Part.
type Gate struct {
	GateConfig
	srv      *http.Server
	draining atomic.Bool

	mu sync.Mutex // guards ln
	ln net.Listener
}

// NewGate returns a gate. It starts to listen in Run.
func NewGate(cfg GateConfig) *Gate {
	p := &Gate{GateConfig: cfg}
	if p.Budget == nil {
		p.Budget = intake.BudgetFor(0)
	}
	p.srv = &http.Server{
		Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connWindow},
	}
	return p
}

// handle closes each connection after its next answer once the gate drains.
func (p *Gate) handle(w http.ResponseWriter, r *http.Request) {
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	p.Handler.ServeHTTP(w, r)
}

// Run implements server.Part.
func (p *Gate) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return eris.Wrap(err, "cannot listen for callers; set --listen to a free address")
	}
	callers := intake.Listen(ln, p.Budget, intake.Limits{Conns: intake.MaxConns(0, intake.FileLimit(0))})
	callers.Attach(p.srv)
	p.mu.Lock()
	p.ln = ln
	p.mu.Unlock()
	klog.InfoS("Listening for callers", "addr", ln.Addr().String(), "tls", p.Cert != "")
	g := group.New(ctx)
	for name, task := range p.Tasks {
		g.Go(name, task)
	}
	g.Go("http", func(context.Context) error { return p.serveCallers(callers) })
	g.Go("ready", func(ctx context.Context) error {
		if p.waitForLease(ctx) {
			ready()
		}
		return nil
	})
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		return p.srv.Close()
	})
	return g.Wait()
}

func (p *Gate) serveCallers(ln net.Listener) error {
	var err error
	if p.Cert != "" {
		err = p.srv.ServeTLS(ln, p.Cert, p.Key)
	} else {
		err = p.srv.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) || p.draining.Load() {
		return nil
	}
	return err
}

// waitForLease waits for the first lease and reports whether there is one before
// ctx ends.
func (p *Gate) waitForLease(ctx context.Context) bool {
	const pollInterval = 20 * time.Millisecond
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !p.State.LeaseValidAt(time.Now()) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Drain implements server.Part: it refuses new requests, finishes the running
// ones and commits their bills.
func (p *Gate) Drain(ctx context.Context) []string {
	p.draining.Store(true)
	p.mu.Lock()
	if p.ln != nil {
		_ = p.ln.Close()
	}
	p.mu.Unlock()
	var cut []string
	if p.Router.Drain(ctx) > 0 {
		for _, id := range p.Router.Running() {
			cut = append(cut, "request "+string(id))
		}
	}
	// A caller whose connection is closed while it sends the next request gets no
	// answer. So connections in use are closed after an answer, and the others
	// only if they stay idle.
	select {
	case <-time.After(drainLinger):
	case <-ctx.Done():
	}
	_ = p.srv.Shutdown(ctx) // requests that it could not finish are in cut
	if n := p.Book.Drain(ctx); n > 0 {
		cut = append(cut, strconv.Itoa(n)+" bills")
	}
	return cut
}
