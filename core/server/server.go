// Package server is the frame that all long-running programs share: settings,
// logs, health pages, metrics, signals and graceful shutdown.
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
)

//go:embed chart.yaml
var chartFile []byte

var life = chart.MustParse(chartFile)

const headerTime = 5 * time.Second // limit for reading the header of a request

// Server is the frame of one program.
type Server struct {
	// Registry takes the metrics of the program and puts "citronledge_"
	// before their names.
	Registry prometheus.Registerer

	metrics *prometheus.Registry

	set    Settings
	status func() any
	pages  map[string]http.Handler
	needs  map[string]func() bool
	reload func()
	notice func()

	mu    sync.Mutex
	state chart.State
}

// New returns the frame of a program that has read its settings. The status
// function gives the content of the status page; it may be nil.
func New(set Settings, status func() any) *Server {
	metrics := prometheus.NewRegistry()
	s := &Server{
		Registry: prometheus.WrapRegistererWithPrefix("citronledge_", metrics),
		metrics:  metrics,
		set:      set,
		status:   status,
		pages:    map[string]http.Handler{},
		needs:    map[string]func() bool{},
		state:    life.StartState(),
	}
	metrics.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return s
}

// AddPage adds a page to the admin address; call it before Run. The path may have
// parameters as in httprouter, for example /decisions/:id.
func (s *Server) AddPage(path string, h http.Handler) { s.pages[path] = h }

// OnReload sets what a SIGHUP calls: the settings outside this process may have
// changed. Without it the signal has no effect. Call it before Run.
func (s *Server) OnReload(f func()) { s.reload = f }

// OnShutdown sets what is called when a planned stop begins, before the grace time.
// Call it before Run.
func (s *Server) OnShutdown(f func()) { s.notice = f }

// Workload is what a program runs inside the frame.
type Workload interface {
	// Run works until ctx ends. It calls ready once it can serve.
	Run(ctx context.Context, ready func()) error
	// Drain stops accepting new work and returns when all accepted work has
	// ended, or when ctx ends; then it returns the list of what was cut.
	Drain(ctx context.Context) (cut []string)
}

// Run runs the program until a signal or a failure. After the first SIGTERM
// or SIGINT readiness fails, the grace time passes so that load balancers
// notice, and the part drains. A second signal or the deadline ends the
// drain. It returns an error if work was cut.
func (s *Server) Run(ctx context.Context, part Workload) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	// The handler stays until the process ends: without one the signal would
	// kill it in the last moments of a planned stop.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	passOn(signals, hangups)

	admin, err := s.admin()
	if err != nil {
		return err
	}
	defer func() { _ = admin.Close() }()

	failed := make(chan error, 1)
	go func() { failed <- part.Run(ctx, func() { s.move("up") }) }()
	go s.hangup(ctx, hangups)
	select {
	case err := <-failed:
		return err
	case sig := <-signals:
		klog.InfoS("Graceful shutdown started", "signal", sig.String(), "grace", s.set.GracePeriod, "deadline", s.set.DrainTimeout)
	case <-ctx.Done():
	}
	s.move("signal")
	if s.notice != nil {
		s.notice()
	}
	cut := s.drain(ctx, part, signals)
	cancel()
	if err := <-failed; err != nil {
		return err
	}
	if len(cut) > 0 {
		klog.ErrorS(nil, "Shutdown cut running work", "cut", cut)
		return eris.Errorf("shutdown cut %d items; raise --deadline to let them finish", len(cut))
	}
	klog.InfoS("Shutdown complete")
	klog.Flush()
	return nil
}

// early are the signals that came before Run. Reading settings and opening a disk
// takes long enough for one to come.
var early = make(chan os.Signal, 4)

// catch keeps signals from ending a process that has not come to Run yet.
func catch() { signal.Notify(early, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP) }

// passOn hands the signals that came before Run to their channels. One of a kind
// is enough: a second one would end the drain.
func passOn(signals, hangups chan os.Signal) {
	signal.Stop(early)
	for {
		select {
		case sig := <-early:
			to := signals
			if sig == syscall.SIGHUP {
				to = hangups
			}
			if len(to) == 0 {
				to <- sig
			}
		default:
			return
		}
	}
}

// hangup reloads at each SIGHUP until ctx ends.
func (s *Server) hangup(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			klog.InfoS("Reload", "signal", "hangup", "supported", s.reload != nil)
			if s.reload != nil {
				s.reload()
			}
		}
	}
}

func (s *Server) drain(ctx context.Context, part Workload, signals <-chan os.Signal) []string {
	ctx, cancel := context.WithTimeout(ctx, s.set.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			s.move("signal")
			cancel()
		case <-ctx.Done():
		}
	}()
	select {
	case <-time.After(s.set.GracePeriod):
	case <-ctx.Done():
	}
	cut := part.Drain(ctx)
	if ctx.Err() == nil {
		s.move("idle")
	} else {
		s.move("deadline")
	}
	return cut
}

func (s *Server) move(e chart.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next, ok := life.Next(s.state, e); ok {
		s.state = next
	}
}

// AddReadinessCheck makes readiness depend on a condition as well. Its name is what
// /readyz answers while it does not hold. Call it before Run.
func (s *Server) AddReadinessCheck(name string, holds func() bool) { s.needs[name] = holds }

// readiness returns the state, or the names of the conditions that do not hold.
func (s *Server) readiness() string {
	state := s.State()
	if state != "ready" {
		return state
	}
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(s.needs)) {
		if !s.needs[name]() {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		return "without " + strings.Join(missing, ", ")
	}
	return state
}

// State returns the state of the program: starting, ready, draining, cut or stopped.
func (s *Server) State() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.state)
}

// admin serves /livez, /readyz, /status, /metrics and the profiles of
// net/http/pprof on the admin address.
func (s *Server) admin() (*http.Server, error) {
	ln, err := net.Listen("tcp", s.set.AdminAddr)
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
	srv := &http.Server{Handler: r, ReadHeaderTimeout: headerTime}
	go func() { _ = srv.Serve(ln) }()
	return srv, nil
}

func (s *Server) writeStatus(w http.ResponseWriter) {
	page := map[string]any{"name": s.set.Name, "zone": s.set.Zone, "state": s.State()}
	if s.status != nil {
		page["detail"] = s.status()
	}
	w.Header().Set("Content-Type", "application/json")
	// The reader may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(page)
}
