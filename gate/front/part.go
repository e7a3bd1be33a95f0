package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/group"
	"citronledge.example/core/ident"
)

const (
	headerTime = 5 * time.Second
	idleTime   = 120 * time.Second
)

// Task is a part of the gate that works until its context ends.
type Task interface {
	Run(ctx context.Context) error
}

// Drainer ends accepted work and returns how much of it is left.
type Drainer interface {
	Drain(ctx context.Context) int
}

// Lister names the requests that are running.
type Lister interface {
	Drainer
	Running() []ident.Request
}

// Part is a whole gate inside the program frame; it implements server.Part.
type Part struct {
	Listen    string
	Cert, Key string // files; empty for plain HTTP
	Handler   http.Handler
	// Tasks run as long as the gate does.
	Tasks map[string]Task
	// Router and Book are drained in this order.
	Router Lister
	Book   Drainer
	// Ready returns when the gate has its first lease and configuration.
	Ready func(ctx context.Context) error
	// Release gives the lease back after the last bill.
	Release func(ctx context.Context) error

	srv *http.Server
}

// NewServer returns the HTTP server of a gate.
func (p *Part) newServer() *http.Server {
	return &http.Server{Handler: p.Handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
}

// Init prepares the part; call it before server.Run.
func (p *Part) Init() { p.srv = p.newServer() }

// Run implements server.Part.
func (p *Part) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return eris.Wrap(err, "cannot listen for callers; set --listen to a free address")
	}
	klog.InfoS("Listening for callers", "addr", ln.Addr().String(), "tls", p.Cert != "")
	g := group.New(ctx)
	for name, t := range p.Tasks {
		g.Go(name, t.Run)
	}
	g.Go("http", func(context.Context) error {
		var err error
		if p.Cert != "" {
			err = p.srv.ServeTLS(ln, p.Cert, p.Key)
		} else {
			err = p.srv.Serve(ln)
		}
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	g.Go("ready", func(ctx context.Context) error {
		if err := p.Ready(ctx); err != nil {
			return err
		}
		ready()
		return nil
	})
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		return p.srv.Close()
	})
	return g.Wait()
}

// Drain implements server.Part: it refuses new requests, finishes the running
// ones, commits their bills and gives the lease back.
func (p *Part) Drain(ctx context.Context) []string {
	var cut []string
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = p.srv.Shutdown(ctx) // what it could not close is listed below
	}()
	if p.Router.Drain(ctx) > 0 {
		for _, id := range p.Router.Running() {
			cut = append(cut, "request "+string(id))
		}
	}
	<-closed
	if n := p.Book.Drain(ctx); n > 0 {
		cut = append(cut, strconv.Itoa(n)+" bills")
	}
	if p.Release != nil {
		if err := p.Release(ctx); err != nil {
			klog.ErrorS(err, "Lease was not given back; it runs out by itself")
		}
	}
	return cut
}
