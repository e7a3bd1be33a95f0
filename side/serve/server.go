// Package serve implements the side process: the sessions with gates, their
// control and work streams, operations and the drain.
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
	Slots      int  // limit on the works that run at once; 0 means the limit that the engine reports, or 32
	Fencing    bool // whether the engine checks fences
	Engine     *engine.Client
	Service    *caller.Client
	MaxRecords int // limit on the usage records; 0 means usage.DefaultMaxRecords
	// Registry is where the metrics are registered; nil means a private
	// registry.
	Registry prometheus.Registerer
}

type backendClient interface {
	LoadReport() guard.LoadReport
	Changed() <-chan struct{}
	Watch(ctx context.Context) error
}

// Server is one side process. It implements server.Workload except for Run.
type Server struct {
	settings      Settings
	backend       backendClient
	guard         *guard.Guard
	usageStore    *usage.Store
	metrics       *metrics
	drainNotifier guard.Notifier // notified when the drain starts

	operationCtx     context.Context // of operations, which outlive their session
	cancelOperations context.CancelFunc

	mu                sync.Mutex
	gates             []*gateSession
	nextGate          int // round robin of gates that are sent unsettled records
	claims            map[operationClaim]time.Time
	uncommitted       map[string]struct{} // operations whose end is not committed yet
	committedNotifier guard.Notifier      // notified when an operation is removed from uncommitted
}

// gateSession is one session with a gate.
type gateSession struct {
	sess            *link.Session
	sublease        *guard.Sublease
	outgoingRecords chan *wire.Records
	fullDeltaNeeded chan struct{} // signals the control writer that a full delta is needed
	missingRevision atomic.Uint64 // newest revision that the view could not reach with the deltas received
	workArrived     chan struct{} // signals the control writer that a work has started

	mu           sync.Mutex // guards the fields below
	runningWorks int
	lastActive   time.Time // start of the session or end of the last work
}

// startWork counts a work of the gate and signals the control writer.
func (g *gateSession) startWork() {
	g.mu.Lock()
	g.runningWorks++
	g.mu.Unlock()
	select {
	case g.workArrived <- struct{}{}:
	default:
	}
}

// endWork counts the work as ended.
func (g *gateSession) endWork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runningWorks--
	g.lastActive = time.Now()
}

// isActive reports whether the gate has work here, or had some within the last
// ident.LinkIdleAfter.
func (g *gateSession) isActive(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runningWorks > 0 || now.Sub(g.lastActive) < ident.LinkIdleAfter
}

func (g *gateSession) name() string { return g.sess.Peer().Name }

// New returns a side process that has no sessions yet.
func New(set Settings) *Server {
	if set.Registry == nil {
		set.Registry = prometheus.NewRegistry()
	}
	s := &Server{settings: set, claims: map[operationClaim]time.Time{}, uncommitted: map[string]struct{}{}}
	s.backend = set.Engine
	if set.Service != nil {
		s.backend = set.Service
	}
	s.operationCtx, s.cancelOperations = context.WithCancel(context.Background())
	s.guard = guard.New(s.loadReport)
	s.usageStore = usage.New(set.MaxRecords, set.Registry)
	s.metrics = newMetrics(set.Registry, s)
	return s
}

// Guard returns the guard, through which orders to the engine are sent.
func (s *Server) Guard() *guard.Guard { return s.guard }

// loadReport returns the report of the backend server with the number of slots
// that applies here. It fills in the running works of a service, which reports
// none.
func (s *Server) loadReport() guard.LoadReport {
	r := s.backend.LoadReport()
	if s.settings.Slots > 0 {
		r.Slots = s.settings.Slots
	}
	if r.Slots <= 0 {
		r.Slots = defaultSlots
	}
	if r.Service != "" {
		r.Running = s.guard.RunningCount()
	}
	return r
}

// Run watches the backend server and serves the gates that connect to ln, until
// ctx ends. It calls ready once the backend server is healthy.
func (s *Server) Run(ctx context.Context, ln net.Listener, ready func()) error {
	defer s.cancelOperations()
	grp := group.New(ctx)
	defer context.AfterFunc(grp.Context(), func() { _ = ln.Close() })()
	grp.Go("backend server", s.backend.Watch)
	grp.Go("usage records", s.sendUnsettledRecords)
	grp.Go("ready", func(ctx context.Context) error { return s.waitUntilHealthy(ctx, ready) })
	grp.Go("listener", func(ctx context.Context) error { return s.accept(ctx, ln) })
	return grp.Wait()
}

func (s *Server) waitUntilHealthy(ctx context.Context, ready func()) error {
	for {
		changed := s.backend.Changed()
		if s.loadReport().Healthy {
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
				case <-time.After(acceptRetryDelay):
					continue
				case <-ctx.Done():
				}
			}
			grp.Stop()
			return grp.Wait()
		}
		grp.Go("session", func(ctx context.Context) error {
			s.serveConn(ctx, conn)
			return nil
		})
	}
}

const acceptRetryDelay = 100 * time.Millisecond

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	sess, err := link.Server(conn, link.Config{Name: string(s.settings.Name), Keys: s.settings.Keys, KeepAlive: ident.LinkTimeout})
	if err != nil {
		klog.ErrorS(err, "Session refused", "remote", conn.RemoteAddr().String())
		return
	}
	s.ServeSession(ctx, sess)
}

// ServeSession serves one session until it or ctx ends. Chats and reports end
// with the session, operations do not.
func (s *Server) ServeSession(ctx context.Context, sess *link.Session) {
	g := &gateSession{
		sess: sess, sublease: s.guard.Subleases.Add(), lastActive: time.Now(),
		outgoingRecords: make(chan *wire.Records, 1), fullDeltaNeeded: make(chan struct{}, 1), workArrived: make(chan struct{}, 1),
	}
	s.addGate(g)
	klog.InfoS("Gate connected", "gate", g.name())
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
				s.serveControl(ctx, g, st)
				return nil
			})
		case wire.Kind_WORK:
			grp.Go("work", func(ctx context.Context) error {
				s.serveWork(ctx, g, st)
				return nil
			})
		default:
			_ = st.Close()
		}
	}
	// The gate is removed before the cancelled works end, so that their usage
	// is recorded as that of a gate without a session and becomes due early.
	s.removeGate(g)
	grp.Stop()
	_ = grp.Wait() // tasks report their own errors
	_ = sess.Close()
	klog.InfoS("Gate disconnected", "gate", g.name())
}

func (s *Server) addGate(g *gateSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gates = append(s.gates, g)
}

func (s *Server) removeGate(g *gateSession) {
	s.mu.Lock()
	for i, other := range s.gates {
		if other == g {
			s.gates = append(s.gates[:i:i], s.gates[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	s.guard.Subleases.EndSession(g.sublease)
	if !s.isConnected(g.name()) {
		s.usageStore.MarkOrphaned(g.name())
	}
}

func (s *Server) isConnected(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gates {
		if g.name() == name {
			return true
		}
	}
	return false
}

// connectedGates returns the sessions of all connected gates, g first if it is
// still connected.
func (s *Server) connectedGates(g *gateSession) []*gateSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*gateSession
	for _, other := range s.gates {
		if other == g {
			list = append([]*gateSession{g}, list...)
		} else {
			list = append(list, other)
		}
	}
	return list
}

// Drain announces to all gates that the backend server is leaving, refuses new
// work and waits until all work has ended and all usage is settled. It returns
// a list of what was unfinished when ctx ended.
func (s *Server) Drain(ctx context.Context) (unfinished []string) {
	s.guard.StartDraining()
	s.drainNotifier.Notify()
	err := errors.Join(s.guard.WaitIdle(ctx), s.waitCommitted(ctx), s.usageStore.WaitEmpty(ctx))
	if err == nil {
		return nil
	}
	for _, id := range s.guard.RequestIDs() {
		unfinished = append(unfinished, "request "+id)
	}
	for _, id := range s.uncommittedOperations() {
		unfinished = append(unfinished, "operation "+id)
	}
	if n := s.usageStore.Len(); n > 0 {
		unfinished = append(unfinished, fmt.Sprintf("%d usage records; their gates bill them unless they stop too", n))
	}
	return unfinished
}

// Status returns the content of the status page.
func (s *Server) Status() any {
	r := s.loadReport()
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
		"running": s.guard.RunningCount(), "records": s.usageStore.Len(), "gates": names, "served": served,
		"service": r.Service, "healthy": r.Healthy, "leaving": s.guard.IsDraining(),
	}
}

// defaultSlots applies if neither the settings nor the backend server give a
// number of slots. Gates send no work to a backend server that reports no
// slots.
const defaultSlots = 32

var errNoGate = eris.New("no gate is linked")
