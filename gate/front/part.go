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
)

const (
	headerTime = 5 * time.Second
	idleTime   = 120 * time.Second
	// linger is how long a draining gate answers on connections kept open.
	linger = time.Second
)

// LeaseHolder is what the part needs of the client of the state cluster.
type LeaseHolder interface {
	// LeaseValidAt tells whether the lease allows new work now.
	LeaseValidAt(now time.Time) bool
}

// Drainer ends accepted work and returns how much of it is left.
type Drainer interface {
	Drain(ctx context.Context) int
}

// RequestDrainer is a Drainer that names the requests that are running.
type RequestDrainer interface {
	Drainer
	Running() []ident.Request
}

// GateConfig are what a gate consists of.
type GateConfig struct {
	Listen    string
	Cert, Key string // files; empty for plain HTTP
	Handler   http.Handler
	// Tasks run until the gate stops, also while it drains. The one that holds
	// the lease gives it back at its end, which is after the last bill.
	Tasks map[string]func(ctx context.Context) error
	// Router and Book are drained in this order.
	Router RequestDrainer
	Book   Drainer
	State  LeaseHolder
}

// Gate is a whole gate inside the program frame; it implements server.Gate.
type Gate struct {
	GateConfig
	srv     *http.Server
	closing atomic.Bool

	mu sync.Mutex // guards ln
	ln net.Listener
}

// NewGate returns a gate that does not listen yet.
func NewGate(parts GateConfig) *Gate {
	p := &Gate{GateConfig: parts}
	p.srv = &http.Server{Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	return p
}

// handle ends connections with their next answer once the gate drains.
func (p *Gate) handle(w http.ResponseWriter, r *http.Request) {
	if p.closing.Load() {
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
	p.mu.Lock()
	p.ln = ln
	p.mu.Unlock()
	klog.InfoS("Listening for callers", "addr", ln.Addr().String(), "tls", p.Cert != "")
	g := group.New(ctx)
	for name, task := range p.Tasks {
		g.Go(name, task)
	}
	g.Go("http", func(context.Context) error { return p.listen(ln) })
	g.Go("ready", func(ctx context.Context) error {
		if p.leased(ctx) {
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

func (p *Gate) listen(ln net.Listener) error {
	var err error
	if p.Cert != "" {
		err = p.srv.ServeTLS(ln, p.Cert, p.Key)
	} else {
		err = p.srv.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) || p.closing.Load() {
		return nil
	}
	return err
}

// leased waits for the first lease.
func (p *Gate) leased(ctx context.Context) bool {
	const every = 20 * time.Millisecond
	tick := time.NewTicker(every)
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
	p.closing.Store(true)
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
	// A connection that is closed while its caller sends the next request
	// leaves the caller without an answer. So connections in use are ended by
	// an answer, and only those that stay idle are closed.
	select {
	case <-time.After(linger):
	case <-ctx.Done():
	}
	_ = p.srv.Shutdown(ctx) // what it could not finish is in the list
	if n := p.Book.Drain(ctx); n > 0 {
		cut = append(cut, strconv.Itoa(n)+" bills")
	}
	return cut
}
