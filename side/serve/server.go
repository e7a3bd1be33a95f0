// Package serve is the side process: sessions with gates, their control and
// work streams, operations and drain.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/side/caller"
	"citronledge.example/side/engine"
	"citronledge.example/side/guard"
	"citronledge.example/side/usage"
)

// Settings describe a side process. Exactly one of Engine and Service is set.
type Settings struct {
	Name       ident.Backend
	Zone       ident.Zone
	Keys       *link.Keys
	Slots      int  // bound on the works that run at once; 0 takes the engine's, or 32
	Fencing    bool // the engine checks fences
	Engine     *engine.Client
	Service    *caller.Client
	MaxRecords int // bound on the usage records; 0 means usage.DefaultLimit
	// Registry takes the metrics; nil means a private one.
	Registry prometheus.Registerer
}

type backend interface {
	LoadReport() guard.LoadReport
	Changed() <-chan struct{}
	Watch(ctx context.Context) error
}

// Server is one side process. It implements server.Part except for Run.
type Server struct {
	set     Settings
	backend backend
	guard   *guard.Guard
	book    *usage.Store
	metrics *metrics
	notice  guard.Notifier // drain started

	ctx    context.Context // of work that outlives its session
	cancel context.CancelFunc

	mu      sync.Mutex
	gates   []*gate
	turn    int // rotates unsettled records over the gates
	claimed map[claim]time.Time
	commits map[string]struct{} // operations whose end is not committed yet
	settled guard.Notifier      // commits became fewer
}

// gate is one session with a gate.
type gate struct {
	sess  *link.Session
	lease *guard.Sublease
	mail  chan *wire.Records
	gap   chan struct{} // a full delta is needed
	lack  atomic.Uint64 // newest revision that a delta did not lead to
	wake  chan struct{} // work has come

	mu    sync.Mutex // guards the fields below
	works int
	last  time.Time // when the link came up or a work ended
}

// begin notes a work of the gate, and end its end.
func (g *gate) begin() {
	g.mu.Lock()
	g.works++
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *gate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.works--
	g.last = time.Now()
}

// busy tells whether the gate has work here or had some lately.
func (g *gate) busy(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.works > 0 || now.Sub(g.last) < ident.LinkIdleAfter
}

func (g *gate) name() string { return g.sess.Peer().Name }

// New returns a side process that has no sessions yet.
func New(set Settings) *Server {
	if set.Registry == nil {
		set.Registry = prometheus.NewRegistry()
	}
	s := &Server{set: set, claimed: map[claim]time.Time{}, commits: map[string]struct{}{}}
	s.backend = set.Engine
	if set.Service != nil {
		s.backend = set.Service
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.guard = guard.New(s.report)
	s.book = usage.New(set.MaxRecords, set.Registry)
	s.metrics = newMetrics(set.Registry, s)
	return s
}

// Guard gives access to the checks, for orders to the engine.
func (s *Server) Guard() *guard.Guard { return s.guard }

// report is the report of the backend server with the bound of the settings.
func (s *Server) report() guard.LoadReport {
	r := s.backend.LoadReport()
	if s.set.Slots > 0 {
		r.Slots = s.set.Slots
	}
	if r.Slots <= 0 {
		r.Slots = defaultSlots
	}
	if r.Service != "" {
		r.Running = s.guard.RunningCount()
	}
	return r
}

// Run watches the backend server and serves the gates that connect to ln,
// until ctx ends. It calls ready after the first good report.
func (s *Server) Run(ctx context.Context, ln net.Listener, ready func()) error {
	defer s.cancel()
	grp := group.New(ctx)
	defer context.AfterFunc(grp.Context(), func() { _ = ln.Close() })()
	grp.Go("backend server", s.backend.Watch)
	grp.Go("usage records", s.handOver)
	grp.Go("ready", func(ctx context.Context) error { return s.awaitBackend(ctx, ready) })
	grp.Go("listener", func(ctx context.Context) error { return s.accept(ctx, ln) })
	return grp.Wait()
}

func (s *Server) awaitBackend(ctx context.Context, ready func()) error {
	for {
		changed := s.backend.Changed()
		if s.report().Healthy {
			ready()
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) accept(ctx context.Context, ln net.Listener) error {
	grp := group.New(ctx)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				klog.ErrorS(err, "Cannot accept a session; check the limit on open files")
				select {
				case <-time.After(acceptPause):
					continue
				case <-ctx.Done():
				}
			}
			grp.Stop()
			return grp.Wait()
		}
		grp.Go("session", func(ctx context.Context) error {
			s.greet(ctx, conn)
			return nil
		})
	}
}

const acceptPause = 100 * time.Millisecond

func (s *Server) greet(ctx context.Context, conn net.Conn) {
	sess, err := link.Server(conn, link.Config{Name: string(s.set.Name), Keys: s.set.Keys, KeepAlive: ident.LinkTimeout})
	if err != nil {
		klog.ErrorS(err, "Session refused", "remote", conn.RemoteAddr().String())
		return
	}
	s.ServeSession(ctx, sess)
}

// ServeSession serves one session until it or ctx ends. Chats and reports end with
// the session, operations do not.
func (s *Server) ServeSession(ctx context.Context, sess *link.Session) {
	g := &gate{
		sess: sess, lease: s.guard.Subleases.Add(), last: time.Now(),
		mail: make(chan *wire.Records, 1), gap: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
	s.join(g)
	klog.InfoS("Gate linked", "gate", g.name())
	grp := group.New(ctx)
	stop := context.AfterFunc(grp.Context(), func() { _ = sess.Close() })
	defer stop()
	for {
		st, err := sess.Accept()
		if err != nil {
			break
		}
		switch st.Kind() {
		case wire.Kind_CONTROL:
			grp.Go("control", func(ctx context.Context) error {
				// Without its control stream a gate neither renews nor settles.
				defer func() { _ = sess.Close() }()
				s.control(ctx, g, st)
				return nil
			})
		case wire.Kind_WORK:
			grp.Go("work", func(ctx context.Context) error {
				s.work(ctx, g, st)
				return nil
			})
		default:
			_ = st.Close()
		}
	}
	// The records become due before the cancelled works end, so that the
	// usage of those is added to records without a gate.
	s.leave(g)
	grp.Stop()
	_ = grp.Wait() // tasks report their own errors
	_ = sess.Close()
	klog.InfoS("Gate unlinked", "gate", g.name())
}

func (s *Server) join(g *gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gates = append(s.gates, g)
}

func (s *Server) leave(g *gate) {
	s.mu.Lock()
	for i, other := range s.gates {
		if other == g {
			s.gates = append(s.gates[:i:i], s.gates[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	s.guard.Subleases.EndSession(g.lease)
	if !s.linked(g.name()) {
		s.book.MarkOrphaned(g.name())
	}
}

func (s *Server) linked(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gates {
		if g.name() == name {
			return true
		}
	}
	return false
}

// others returns the linked gates, g first if it is still linked.
func (s *Server) others(g *gate) []*gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*gate
	for _, other := range s.gates {
		if other == g {
			list = append([]*gate{g}, list...)
		} else {
			list = append(list, other)
		}
	}
	return list
}

// Drain tells all gates that the backend server leaves, refuses new work and
// waits until all work has ended and all usage is settled. It returns what
// was not done when ctx ended.
func (s *Server) Drain(ctx context.Context) (cut []string) {
	s.guard.StartDraining()
	s.notice.Notify()
	err := errors.Join(s.guard.WaitIdle(ctx), s.committed(ctx), s.book.WaitEmpty(ctx))
	if err == nil {
		return nil
	}
	for _, id := range s.guard.RequestIDs() {
		cut = append(cut, "request "+id)
	}
	for _, id := range s.pending() {
		cut = append(cut, "operation "+id)
	}
	if n := s.book.Len(); n > 0 {
		cut = append(cut, fmt.Sprintf("%d usage records; their gates bill them unless they stop too", n))
	}
	return cut
}

// Status is the content of the status page.
func (s *Server) Status() any {
	r := s.report()
	s.mu.Lock()
	var names []string
	for _, g := range s.gates {
		names = append(names, g.name())
	}
	s.mu.Unlock()
	var served []string
	for _, t := range r.Served {
		served = append(served, t.String())
	}
	return map[string]any{
		"revision": s.guard.Config.View().Revision, "leased": s.guard.Subleases.Valid(time.Now()),
		"running": s.guard.RunningCount(), "records": s.book.Len(), "gates": names, "served": served,
		"service": r.Service, "healthy": r.Healthy, "leaving": s.guard.IsDraining(),
	}
}

// defaultSlots holds when neither the settings nor the engine tell. Gates
// send no work to a backend server that reports no slots.
const defaultSlots = 32

var errNoGate = eris.New("no gate is linked")
