// Package relay serves callers of routes whose backend servers the gate
// reaches directly. The bodies of requests and answers stay opaque: model,
// size, deadline and session are in the head.
package relay

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/fleet"
	"citronledge.example/platform"
)

// Settings are the limits that a deployment sets.
type Settings struct {
	// CanaryShare is the share of new sessions that a version on trial gets.
	CanaryShare float64
	// SessionTimeout is the longest pause between two requests of a session.
	SessionTimeout time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the repeats that this
	// gate sends to a service.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// RequireLease refuses new work without a lease on the configuration; otherwise
	// the last known configuration stays in force.
	RequireLease bool
}

// Relay is an http.Handler. It is safe for concurrent use.
type Relay struct {
	fleet   *fleet.Fleet
	rules   Settings
	leased  func() bool
	metrics metrics
	tallies tallies
	begun   time.Time

	state atomic.Pointer[state]
	stop  atomic.Pointer[time.Time] // end of a planned stop under way

	mu       sync.Mutex // guards what follows
	windows  map[ident.Service]*policy.WindowBudget
	sessions sessions
	pace     policy.StreamDurationEstimator
	speeds   map[ident.Service]*policy.FirstTokenEstimator
	usual    map[usualKey]*policy.MedianEstimator
}

// usualKey names a duration of which the usual size is learnt: the time to the
// head of an answer, relative to what its prompt needs, or between two events.
type usualKey struct {
	route ident.Route
	what  string
}

// state is the configuration that a request is served by.
type state struct {
	plan     *plan.Config
	shifts   map[ident.Service]conf.Shift
	revision ident.Revision
	since    time.Time
}

// Option sets up a Relay.
type Option func(*Relay)

// WithFleet sets the backend servers.
func WithFleet(f *fleet.Fleet) Option { return func(r *Relay) { r.fleet = f } }

// WithSettings sets the limits of the deployment.
func WithSettings(rules Settings) Option { return func(r *Relay) { r.rules = rules } }

// WithLease sets what tells whether the lease on the configuration holds.
func WithLease(f func() bool) Option { return func(r *Relay) { r.leased = f } }

// WithRegistry registers the metrics.
func WithRegistry(reg prometheus.Registerer) Option {
	return func(r *Relay) { r.metrics.register(reg) }
}

// New returns a relay without a configuration; it refuses until SetPlan.
func New(opts ...Option) *Relay {
	r := &Relay{
		begun:   time.Now(),
		windows: map[ident.Service]*policy.WindowBudget{}, speeds: map[ident.Service]*policy.FirstTokenEstimator{}, usual: map[usualKey]*policy.MedianEstimator{}, leased: func() bool { return true },
		sessions: sessions{list: map[uint64]seen{}}, metrics: newMetrics(), tallies: newTallies(),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// SetPlan puts a configuration in force. It never goes back to an older one.
func (r *Relay) SetPlan(p *plan.Config, shifts map[ident.Service]conf.Shift, revision ident.Revision) {
	old := r.state.Load()
	if old != nil && revision < old.revision {
		klog.InfoS("Older configuration ignored", "revision", revision, "held", old.revision)
		return
	}
	r.state.Store(&state{plan: p, shifts: shifts, revision: revision, since: time.Now()})
	r.tallies.follow(shifts)
	for service, s := range shifts {
		if s.Stage == conf.Complete {
			r.fleet.SetIncumbent(service, s.Target)
		}
	}
	klog.InfoS("Configuration in force", "version", p.Version, "revision", revision, "routes", len(p.Routes), "customers", len(p.Customers), "rollouts", len(shifts))
}

// Ready tells whether requests can be served.
func (r *Relay) Ready() bool {
	return r.state.Load() != nil && !r.fleet.ListReadAt().IsZero() && r.stop.Load() == nil
}

// Drain makes callers leave: each answer closes its connection, and streams that
// would not end by then are refused.
func (r *Relay) Drain(end time.Time) { r.stop.CompareAndSwap(nil, &end) }

// outlasts tells whether a new stream would probably last longer than a planned
// stop that is under way.
func (r *Relay) outlasts(tokens ident.Tokens, now time.Time) bool {
	end := r.stop.Load()
	if end == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	long := r.pace.UpperBound(int64(tokens))
	// Right after the start nothing is known of the streams. They are served
	// whole elsewhere.
	return long == 0 || now.Add(time.Duration(outlastTimes*float64(long))).After(*end)
}

// outlastTimes allows for streams that get slower while other gates stop too.
const outlastTimes = 1.5

// need returns how long a prompt is expected to take to its first token.
func (r *Relay) need(service ident.Service, p policy.Prompt) time.Duration {
	return r.expect(service, p, p.Tokens(false), r.fleet.LeastQueuedWork(service, time.Now()))
}

// expect returns how long a prompt takes to its first token with the given
// tokens to be read and work before it; 0 if nothing is known.
func (r *Relay) expect(service ident.Service, p policy.Prompt, tokens, before float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.speed(service).Expected(p, tokens, before)
}

// speed returns what is known of a service. The caller holds the lock.
func (r *Relay) speed(service ident.Service) *policy.FirstTokenEstimator {
	s := r.speeds[service]
	if s == nil {
		s = &policy.FirstTokenEstimator{}
		r.speeds[service] = s
	}
	return s
}

// median returns the usual size of a duration; 0 if it is not known yet.
func (r *Relay) median(k usualKey) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.usual[k]; t != nil {
		return t.Median()
	}
	return 0
}

// began notes how long a prompt took to its first token and returns how long
// its reading was expected to take beyond the part that every answer has.
func (r *Relay) began(service ident.Service, p policy.Prompt, tokens, before float64, took time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.speed(service)
	expected := s.Expected(p, tokens, before) - s.Expected(p, 0, 0)
	s.Observe(took, p, tokens, before)
	return expected
}

// slow tells whether a duration is far above the usual one, and learns from it
// if it is of the version in use.
func (r *Relay) slow(k usualKey, d time.Duration, learn bool) bool {
	if d <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.usual[k]
	if t == nil {
		t = &policy.MedianEstimator{}
		r.usual[k] = t
	}
	slow := t.IsSlow(d)
	if learn {
		t.Observe(d)
	}
	return slow
}

// streamed notes how long a whole stream took after its head.
func (r *Relay) streamed(took time.Duration, tokens ident.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace.Observe(took, int64(tokens))
}

// IdleTimeout returns how long a caller's connection may stay without a request; 0
// if that is not known yet.
func (r *Relay) IdleTimeout() time.Duration {
	if s := r.state.Load(); s != nil {
		return s.plan.Limits.IdleTimeout
	}
	return 0
}

// Tallies returns the sums for the judge of roll-outs.
func (r *Relay) Tallies() []*wire.Tally {
	s := r.state.Load()
	if s == nil {
		return nil
	}
	return r.tallies.list(s.shifts)
}

// Sweep forgets what is out of date until ctx ends.
func (r *Relay) Sweep(ctx context.Context) error {
	const every = time.Second
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			r.fleet.CloseExpired(now)
			r.mu.Lock()
			r.sessions.sweep(now, r.keep())
			r.mu.Unlock()
		}
	}
}

// window returns the retry budget of a service.
func (r *Relay) window(service ident.Service) *policy.WindowBudget {
	w := r.windows[service]
	if w == nil {
		w = policy.NewWindowBudget(r.rules.RetryWindow, r.rules.RetryRatio, r.rules.RetrySlack)
		r.windows[service] = w
	}
	return w
}

func (r *Relay) earn(service ident.Service, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).RecordRequest(now)
}

func (r *Relay) spend(service ident.Service, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window(service).TrySpend(now)
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c := &call{r: r, w: w, req: req, start: time.Now(), head: platform.DecodeRequest(req.Header)}
	if r.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c.serve()
}

// path returns the path of a raw request target.
func path(target string) string {
	if i := strings.IndexByte(target, '?'); i >= 0 {
		return target[:i]
	}
	return target
}
