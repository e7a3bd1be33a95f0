// Package relay serves callers of routes whose backend servers the gate reaches
// directly. It reads model, size, deadline and session from the headers of a
// request; the bodies of requests and answers stay opaque.
package relay

import (
	"context"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/intake"
	"citronledge.example/core/plan"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/fleet"
	"citronledge.example/platform"
)

// Settings are the limits that a deployment sets.
type Settings struct {
	// CanaryShare is the share of new sessions that a version in its canary
	// stage gets.
	CanaryShare float64
	// SessionTimeout is the longest pause between two requests of a session.
	SessionTimeout time.Duration
	// RetryRatio, RetrySlack and RetryWindow define the budget of retries that
	// all gates together may send to a service.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// RequireLease refuses new work without a lease on the configuration;
	// otherwise the last known configuration stays in force.
	RequireLease bool
}

// Relay is an http.Handler that passes requests on to backend servers. It is
// safe for concurrent use.
type Relay struct {
	fleet       *fleet.Fleet
	settings    Settings
	hasLease    func() bool
	budget      *intake.Budget
	metrics     metrics
	tallies     tallies
	started     time.Time
	holdMetrics holdMetrics
	hold        *holder // nil if the gate holds no requests

	swept   atomic.Pointer[time.Time] // last sweep; nil before the first
	config  atomic.Pointer[activeConfig]
	stopEnd atomic.Pointer[time.Time] // end of the planned stop under way; nil without one

	stopping    context.Context // ends just before the end of a planned stop
	endRequests context.CancelCauseFunc

	evacuationsMu       sync.Mutex // guards the next two fields
	evacuationsRevision ident.Revision
	evacuatedZones      []ident.Zone // sorted

	mu                   sync.Mutex // guards the fields below
	retryBudgets         map[ident.Service]*policy.WindowBudget
	gates                int // that share the slack of the retry budgets
	sessions             sessions
	quarantine           *policy.Quarantine
	unanswered           map[*attempt]bool // with parts in their prompts, before the first event
	streamTimes          streamTimes
	answerTimes          map[ident.Route]*policy.DurationEstimator // of requests that are no streams
	firstTokenEstimators map[ident.Service]*policy.FirstTokenEstimator
	baselines            map[baselineKey]*policy.PaceEstimator
}

// baselineKey names a duration whose usual value is learnt: the time to the
// head of an answer, beyond what its prompt needs, or the time between two
// events.
type baselineKey struct {
	route   ident.Route
	measure string
}

// activeConfig is the configuration that a request is served by.
type activeConfig struct {
	plan     *plan.Config
	rollouts map[ident.Service]conf.ServiceRollout
	revision ident.Revision
}

// Option configures a Relay.
type Option func(*Relay)

// WithFleet sets the backend servers.
func WithFleet(f *fleet.Fleet) Option { return func(r *Relay) { r.fleet = f } }

// WithSettings sets the limits of the deployment.
func WithSettings(s Settings) Option { return func(r *Relay) { r.settings = s } }

// WithLease sets the function that reports whether the lease on the
// configuration is valid.
func WithLease(f func() bool) Option { return func(r *Relay) { r.hasLease = f } }

// WithBudget sets the budget of the bytes held for callers.
func WithBudget(b *intake.Budget) Option { return func(r *Relay) { r.budget = b } }

// WithRegistry registers the metrics.
func WithRegistry(reg prometheus.Registerer) Option {
	return func(r *Relay) {
		r.metrics.register(reg)
		r.holdMetrics.register(reg)
	}
}

// New returns a relay without a configuration; it refuses requests until
// SetPlan is called.
func New(opts ...Option) *Relay {
	r := &Relay{
		started:              time.Now(),
		hasLease:             func() bool { return true },
		budget:               intake.BudgetFor(0),
		metrics:              newMetrics(),
		holdMetrics:          newHoldMetrics(),
		tallies:              newTallies(),
		retryBudgets:         map[ident.Service]*policy.WindowBudget{},
		sessions:             sessions{byHash: map[uint32]sessionEntry{}},
		quarantine:           policy.NewQuarantine(),
		unanswered:           map[*attempt]bool{},
		answerTimes:          map[ident.Route]*policy.DurationEstimator{},
		firstTokenEstimators: map[ident.Service]*policy.FirstTokenEstimator{},
		baselines:            map[baselineKey]*policy.PaceEstimator{},
	}
	r.stopping, r.endRequests = context.WithCancelCause(context.Background())
	for _, o := range opts {
		o(r)
	}
	return r
}

// SetPlan puts a configuration in force, unless a newer one is in force
// already.
func (r *Relay) SetPlan(p *plan.Config, rollouts map[ident.Service]conf.ServiceRollout, revision ident.Revision) {
	old := r.config.Load()
	if old != nil && revision < old.revision {
		klog.InfoS("Older configuration ignored", "revision", revision, "held", old.revision)
		return
	}
	r.config.Store(&activeConfig{plan: p, rollouts: rollouts, revision: revision})
	r.fleet.SetColdRules(p.Services)
	r.tallies.resetForRollouts(rollouts)
	for service, s := range rollouts {
		if s.Stage == conf.StageComplete {
			r.fleet.SetIncumbent(service, s.Target)
		}
	}
	klog.InfoS("Configuration in force", "version", p.Version, "revision", revision, "routes", len(p.Routes), "customers", len(p.Customers), "rollouts", len(rollouts))
}

// Ready reports whether requests can be served.
func (r *Relay) Ready() bool {
	return r.answers() && r.config.Load() != nil && !r.fleet.ListReadAt().IsZero() && r.stopEnd.Load() == nil && (r.hold == nil || r.hold.served.Load())
}

const (
	sweepInterval = time.Second
	// maxSweepPause is how long a gate may take from one sweep to the next until it
	// says that it is not ready.
	maxSweepPause = 4 * sweepInterval
)

// answers reports whether the last sweep, which takes the mutexes that all requests
// take, is not too long ago. A gate in which one of them is never free again hangs,
// though its process runs.
func (r *Relay) answers() bool {
	last := r.swept.Load()
	return last == nil || time.Since(*last) < maxSweepPause
}

// leastFirstTokenTime returns the expected time to the first token of a prompt
// at the server with the least queued work.
func (r *Relay) leastFirstTokenTime(service ident.Service, p policy.Prompt) time.Duration {
	return r.firstTokenTime(service, p, p.Tokens(0), r.fleet.LeastQueuedWork(service, time.Now()))
}

// firstTokenTime returns the expected time to the first token when the given
// tokens of a prompt have to be read after other work; 0 if it is not known
// yet.
func (r *Relay) firstTokenTime(service ident.Service, p policy.Prompt, tokens, queuedWork float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstTokenEstimator(service).Expected(p, tokens, queuedWork)
}

// firstTokenEstimator returns the estimator of a service. It must be called
// with mu held.
func (r *Relay) firstTokenEstimator(service ident.Service) *policy.FirstTokenEstimator {
	s := r.firstTokenEstimators[service]
	if s == nil {
		s = &policy.FirstTokenEstimator{}
		r.firstTokenEstimators[service] = s
	}
	return s
}

// baseline returns the usual value of a duration; 0 if it is not known yet.
func (r *Relay) baseline(k baselineKey) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.baselines[k]; t != nil {
		return t.Median()
	}
	return 0
}

// stallTimeout returns how long a stream of a route may go without a whole
// event.
func (r *Relay) stallTimeout(route *plan.Route, model ident.Model, load float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual := time.Duration(0)
	if t := r.baselines[baselineKey{route.Name, "event"}]; t != nil {
		usual = t.Expected(model, load)
	}
	return policy.StallTimeout(usual, route.MaxEventGap)
}

// checkSlow reports whether a duration is far above its usual value for the
// model and the load of the server, and learns from the duration if it belongs
// to the version in use.
func (r *Relay) checkSlow(k baselineKey, model ident.Model, load float64, d time.Duration, learn bool) bool {
	if d <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.baselines[k]
	if t == nil {
		t = &policy.PaceEstimator{}
		r.baselines[k] = t
	}
	slow := t.IsSlow(model, load, d)
	if learn {
		t.Observe(model, load, d)
	}
	return slow
}

// IdleTimeout returns how long a caller's connection may stay without a
// request; 0 if that is not known yet.
func (r *Relay) IdleTimeout() time.Duration {
	if s := r.config.Load(); s != nil {
		return s.plan.Limits.IdleTimeout
	}
	return 0
}

// MaxHeaderBytes returns the greatest size of a request's header; 0 if that is
// not known yet.
func (r *Relay) MaxHeaderBytes() int {
	if s := r.config.Load(); s != nil {
		return s.plan.Limits.MaxHeaderBytes
	}
	return 0
}

// HeaderTimeout returns how long the header of a request may take to arrive; 0
// if that is not known yet.
func (r *Relay) HeaderTimeout() time.Duration {
	if s := r.config.Load(); s != nil {
		return s.plan.Limits.HeaderTimeout
	}
	return 0
}

// Tallies returns the sums by which running rollouts are judged.
func (r *Relay) Tallies() []*wire.Tally {
	s := r.config.Load()
	if s == nil {
		return nil
	}
	return r.tallies.running(s.rollouts)
}

// Sweep removes expired sessions and connections until ctx ends.
func (r *Relay) Sweep(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			r.fleet.CloseExpired(now)
			r.forget(now)
			r.swept.Store(&now)
		}
	}
}

// forget removes what is too old of sessions and of the quarantine.
func (r *Relay) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions.expire(now, r.sessionTTL())
	r.quarantine.Expire(now)
}

// retryBudget returns the retry budget of a service. It must be called with mu
// held.
func (r *Relay) retryBudget(service ident.Service) *policy.WindowBudget {
	w := r.retryBudgets[service]
	if w == nil {
		w = policy.NewWindowBudget(r.settings.RetryWindow, r.settings.RetryRatio, policy.GateSlack(r.settings.RetrySlack, r.gates))
		r.retryBudgets[service] = w
	}
	return w
}

// SetGates sets the number of gates, this one included, among which the slack of
// the retry budgets is shared.
func (r *Relay) SetGates(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gates = n
	for _, w := range r.retryBudgets {
		w.SetSlack(policy.GateSlack(r.settings.RetrySlack, n))
	}
}

func (r *Relay) recordRequest(service ident.Service, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service).RecordRequest(now)
}

func (r *Relay) spendRetry(service ident.Service, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(service).TrySpend(now)
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c := &call{r: r, w: w, req: req, start: time.Now(), head: platform.DecodeRequest(req.Header)}
	if r.stopEnd.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	defer c.recoverPanic()
	c.serve()
}

// recoverPanic ends a request in which the gate has panicked. It may have run, so it
// gets no answer.
func (c *call) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	c.r.metrics.panics.Inc()
	klog.ErrorS(nil, "Request panicked; report this defect", "id", c.head.AttemptID, "panic", p, "stack", string(debug.Stack()))
	intake.Abort(c.w, c.req)
}

// path returns the path of a raw request target.
func path(target string) string {
	if i := strings.IndexByte(target, '?'); i >= 0 {
		return target[:i]
	}
	return target
}
