// Package server provides what all long-running programs share: settings, logs,
// health pages, metrics, signal handling and graceful shutdown.
package server

import (
	"context"
	_ "embed" // for the state chart
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/chart"
	"citronledge.example/core/intake"
)

//go:embed chart.yaml
var chartFile []byte

var lifecycle = chart.MustParse(chartFile)

// Limits at the admin address, which has a few clients. A write must allow for a
// profile of the default length, 30 s.
const (
	readHeaderTimeout              = 5 * time.Second
	idleTimeout                    = time.Minute
	writeTimeout                   = 2 * time.Minute
	maxConns                       = 64
	maxHeaderBytes                 = 8 << 10
	maxHeldBytes      intake.Bytes = 1 << 20 // for headers of all connections
)

// Server runs one program's workload and its admin pages.
type Server struct {
	// Registry registers the metrics of the program with the prefix
	// "citronledge_".
	Registry prometheus.Registerer

	metrics *prometheus.Registry

	settings        Settings
	status          func() any
	pages           map[string]http.Handler
	readinessChecks map[string]func() bool
	onReload        func()
	onShutdown      func()

	mu    sync.Mutex
	state chart.State
}

// New returns a server for a program with the given settings. status returns
// the content of the status page; it may be nil.
func New(set Settings, status func() any) *Server {
	metrics := prometheus.NewRegistry()
	s := &Server{
		Registry:        prometheus.WrapRegistererWithPrefix("citronledge_", metrics),
		metrics:         metrics,
		settings:        set,
		status:          status,
		pages:           map[string]http.Handler{},
		readinessChecks: map[string]func() bool{},
		state:           lifecycle.StartState(),
	}
	metrics.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return s
}

// AddPage adds a page at the admin address. The path may have parameters as in
// httprouter, for example /decisions/:id. It must be called before Run.
func (s *Server) AddPage(path string, h http.Handler) { s.pages[path] = h }

// OnReload sets the function to call at each SIGHUP, when settings outside this
// process may have changed. Without it, the signal has no effect. It must be
// called before Run.
func (s *Server) OnReload(f func()) { s.onReload = f }

// OnShutdown sets the function to call when a planned stop begins, before the
// grace period. It must be called before Run.
func (s *Server) OnShutdown(f func()) { s.onShutdown = f }

// Workload is the work of a program that a Server runs.
type Workload interface {
	// Run serves until ctx ends. It calls ready once it can serve.
	Run(ctx context.Context, ready func()) error
	// Drain stops accepting new work and returns when all accepted work has
	// completed or ctx ends. In the latter case it returns a list of the
	// interrupted work.
	Drain(ctx context.Context) (cut []string)
}

// Run runs the workload until a signal or a failure. After the first SIGTERM or
// SIGINT, readiness fails, the grace period passes so that load balancers
// notice, and the workload drains. A second signal or the drain timeout ends
// the drain. Run returns an error if work was interrupted.
func (s *Server) Run(ctx context.Context, workload Workload) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	// The handler for SIGHUP remains installed until the process ends. Without
	// it, a SIGHUP during the last moments of a planned stop would kill the
	// process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	forwardEarlySignals(signals, hangups)

	admin, err := s.serveAdmin()
	if err != nil {
		return err
	}
	defer func() { _ = admin.Close() }()

	failed := make(chan error, 1)
	go func() { failed <- workload.Run(ctx, func() { s.transition("up") }) }()
	go s.reloadOnHangup(ctx, hangups)
	select {
	case err := <-failed:
		return err
	case sig := <-signals:
		klog.InfoS("Graceful shutdown started", "signal", sig.String(), "grace", s.settings.GracePeriod, "deadline", s.settings.DrainTimeout)
	case <-ctx.Done():
	}
	s.transition("signal")
	if s.onShutdown != nil {
		s.onShutdown()
	}
	cut := s.drain(ctx, workload, signals)
	cancel()
	if err := <-failed; err != nil {
		return err
	}
	if len(cut) > 0 {
		klog.ErrorS(nil, "Shutdown interrupted running work", "cut", cut)
		return eris.Errorf("shutdown interrupted %d items of work; raise --deadline to let them finish", len(cut))
	}
	klog.InfoS("Shutdown complete")
	klog.Flush()
	return nil
}

// earlySignals receives the signals that arrive before Run. Reading settings
// and opening a disk take long enough for that to happen.
var earlySignals = make(chan os.Signal, 4)

// catchEarlySignals keeps signals from terminating a process that has not
// reached Run yet.
func catchEarlySignals() { signal.Notify(earlySignals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP) }

// forwardEarlySignals sends the signals that arrived before Run to their
// channels, one of each kind at most: a second stop signal would end the drain.
func forwardEarlySignals(signals, hangups chan os.Signal) {
	signal.Stop(earlySignals)
	for {
		select {
		case sig := <-earlySignals:
			target := signals
			if sig == syscall.SIGHUP {
				target = hangups
			}
			if len(target) == 0 {
				target <- sig
			}
		default:
			return
		}
	}
}

// reloadOnHangup calls the reload function at each SIGHUP until ctx ends.
func (s *Server) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			klog.InfoS("Reload requested", "signal", "hangup", "supported", s.onReload != nil)
			if s.onReload != nil {
				s.onReload()
			}
		}
	}
}

func (s *Server) drain(ctx context.Context, workload Workload, signals <-chan os.Signal) []string {
	ctx, cancel := context.WithTimeout(ctx, s.settings.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			s.transition("signal")
			cancel()
		case <-ctx.Done():
		}
	}()
	select {
	case <-time.After(s.settings.GracePeriod):
	case <-ctx.Done():
	}
	cut := workload.Drain(ctx)
	if ctx.Err() == nil {
		s.transition("idle")
	} else {
		s.transition("deadline")
	}
	return cut
}

func (s *Server) transition(e chart.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next, ok := lifecycle.Next(s.state, e); ok {
		s.state = next
	}
}

// AddReadinessCheck makes readiness depend on a condition. While the condition
// does not hold, /readyz returns its name. It must be called before Run.
func (s *Server) AddReadinessCheck(name string, holds func() bool) { s.readinessChecks[name] = holds }

// readiness returns the state, or the names of the conditions that do not hold.
func (s *Server) readiness() string {
	state := s.State()
	if state != "ready" {
		return state
	}
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(s.readinessChecks)) {
		if !s.readinessChecks[name]() {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		return "without " + strings.Join(missing, ", ")
	}
	return state
}

// State returns the state of the program: starting, ready, draining, cut or
// stopped.
func (s *Server) State() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.state)
}

// serveAdmin serves /livez, /readyz, /status, /metrics and the profiles of
// net/http/pprof on the admin address.
func (s *Server) serveAdmin() (*http.Server, error) {
	ln, err := net.Listen("tcp", s.settings.AdminAddr)
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen on the admin address; set --admin to a free one")
	}
	r := httprouter.New()
	r.GET("/livez", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write([]byte("ok\n"))
	})
	r.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		state := s.readiness()
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(state + "\n"))
	})
	r.GET("/status", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { s.writeStatus(w) })
	r.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(s.metrics, promhttp.HandlerOpts{}))
	r.HandlerFunc(http.MethodGet, "/debug/pprof/profile", pprof.Profile)
	r.HandlerFunc(http.MethodGet, "/debug/pprof/symbol", pprof.Symbol)
	for _, name := range []string{"allocs", "block", "goroutine", "heap", "mutex"} {
		r.Handler(http.MethodGet, "/debug/pprof/"+name, pprof.Handler(name))
	}
	for path, h := range s.pages {
		r.Handler(http.MethodGet, path, h)
	}
	srv := &http.Server{
		Handler: intake.WithoutBody(r), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	admin := intake.Listen(ln, intake.NewBudget(maxHeldBytes), intake.Limits{Conns: maxConns})
	admin.Attach(srv)
	go func() { _ = srv.Serve(admin) }()
	return srv, nil
}

func (s *Server) writeStatus(w http.ResponseWriter) {
	page := map[string]any{"name": s.settings.Name, "zone": s.settings.Zone, "state": s.State()}
	if s.status != nil {
		page["detail"] = s.status()
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client is gone and cannot be informed.
	_ = json.NewEncoder(w).Encode(page)
}
