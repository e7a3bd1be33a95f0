// Package route takes a request through the gate: admission, the choice of
// version and backend server, retries, hedges, cascades, at-most-once calls and
// billing.
package route

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
	"citronledge.example/gate/runs"
)

// State is what a Router needs of the client of the state cluster.
type State interface {
	// View returns the configuration in force at this gate.
	View() *conf.View
	// LeaseValidAt reports whether the lease allows new work at the time now.
	LeaseValidAt(now time.Time) bool
	// Propose commits a command and returns its result. A refused command
	// returns both a result and a fault. If the result is nil, a fault of kind
	// Unavailable means that the command was not committed; any other kind
	// means that it may have been.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Runner runs attempts; it is a *pool.Pool outside tests.
type Runner interface {
	Candidates(now time.Time, need pool.Requirements, list []policy.Candidate) []policy.Candidate
	Slots(now time.Time, model ident.Model, service ident.Service) int
	Do(ctx context.Context, a pool.Attempt, sink pool.ReplySink) (pool.Outcome, error)
}

// Biller numbers requests and commits their bills; it is a *bill.Book outside
// tests.
type Biller interface {
	Incarnation() ident.Incarnation
	NextBilling() (ident.BillKey, bool)
	Commit(ctx context.Context, bill *wire.Bill, backends []ident.Backend) error
}

// Request is a request of a caller.
type Request struct {
	ID       ident.Request
	Customer ident.Customer
	Kind     ident.Kind
	// Target is the model and version of a chat or report. The version is empty
	// unless the caller named one; the model may be conf.AutoModel.
	Target  ident.Target
	Session ident.Session
	Stream  bool
	// Route is the route of a call.
	Route ident.Route
	// Key is the idempotency key of a call.
	Key     string
	Method  string
	Path    string // including the raw query
	Headers []*wire.Header
	Body    []byte
}

// Caller receives the answer. Head is called once, before any Write. Neither is
// called while the router may still retry from the start.
type Caller interface {
	Head(status int, headers []*wire.Header) error
	Write(data []byte) error
}

// Failure is a fault together with whether any work may have run. The kind of
// the fault alone does not say so: a refusal for lack of capacity may follow an
// attempt that was sent to a backend server.
type Failure struct {
	*fault.Fault
	// MayHaveRun is true unless it is certain that nothing ran.
	MayHaveRun bool
}

// Unwrap returns the fault.
func (f *Failure) Unwrap() error { return f.Fault }

// ErrTruncated is returned when an answer ended early after a part of it was
// written and only closing the connection can signal that to the caller.
var ErrTruncated = errors.New("answer ended before it was complete")

// Router serves requests. It is safe for concurrent use.
type Router struct {
	actor     string
	state     State
	pool      Runner
	book      Biller
	records   *recordRing
	pins      *pinCache
	adaptive  *adaptivePolicies
	admission *admission
	rater     Rater
	lookups   lookups
	metrics   metrics

	quarantineMu sync.Mutex
	quarantine   *policy.Quarantine // of requests, by their content

	mu       sync.Mutex // guards draining and running
	draining bool
	running  map[ident.Request]struct{}

	ratingCalls      atomic.Int64    // calls to the rating service in flight
	backgroundCalls  conc.WaitGroup  // rating calls and look-ups
	background       context.Context // of backgroundCalls; canceled when Run returns
	cancelBackground context.CancelFunc
}

// Option sets up a Router.
type Option func(*Router)

// Actor sets the name of the gate in the audit trail.
func Actor(name string) Option { return func(r *Router) { r.actor = name } }

// Client sets the client of the state cluster.
func Client(s State) Option { return func(r *Router) { r.state = s } }

// Pool sets the Runner of attempts.
func Pool(p Runner) Option { return func(r *Router) { r.pool = p } }

// Book sets the Biller of requests.
func Book(b Biller) Option { return func(r *Router) { r.book = b } }

// RatingService sets the rating service. Without it, cascades decide by the
// configured quality of the models.
func RatingService(rater Rater) Option { return func(r *Router) { r.rater = rater } }

// Metrics registers the metrics of the router.
func Metrics(reg prometheus.Registerer) Option {
	return func(r *Router) { r.metrics.register(reg) }
}

// New returns a router. Its queues advance only while Run is running.
func New(opts ...Option) *Router {
	r := &Router{records: newRecordRing(), pins: newPinCache(), adaptive: newAdaptivePolicies(), admission: newAdmission(), running: map[ident.Request]struct{}{}, quarantine: policy.NewQuarantine()}
	r.lookups.running = map[lookupKey]*lookup{}
	r.background, r.cancelBackground = context.WithCancel(context.Background())
	r.metrics = newMetrics(r)
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Serve answers a request. It returns nil if the caller received the complete
// answer or an error event, a *Failure if nothing was written, and ErrTruncated
// if the connection to the caller must be closed. It returns context.Canceled if
// the caller disconnected.
func (r *Router) Serve(ctx context.Context, req *Request, caller Caller) error {
	accepted := r.accept(req.ID)
	defer r.remove(req.ID)
	x := &execution{r: r, req: req, caller: caller, start: time.Now(), content: req.contentHash()}
	x.record = newRecord(req, x.start)
	x.atMostOnce = req.Kind == ident.Call && !r.state.View().Routes[req.Route].Repeatable
	err := error(nil)
	if accepted {
		err = x.serve(ctx)
	} else {
		err = fault.New(fault.Unavailable, "this gate is shutting down; send the request again to reach another").WithRetryAfter(time.Second)
	}
	return x.close(err)
}

// accept registers a running request. It returns false while the router drains;
// the lock ensures that Drain sees every request accepted before.
func (r *Router) accept(id ident.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.running[id] = struct{}{}
	return true
}

func (r *Router) remove(id ident.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
}

// Running returns the ids of the running requests.
func (r *Router) Running() []ident.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.running))
}

// Drain refuses new requests from now on and waits until none is running or
// ctx is done. It returns the number of requests still running.
func (r *Router) Drain(ctx context.Context) int {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		n := len(r.Running())
		if n == 0 {
			return 0
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return n
		}
	}
}

const drainPollInterval = 10 * time.Millisecond

// FindRecord returns the decision record of a request, if it is still kept.
func (r *Router) FindRecord(id ident.Request) (Record, bool) { return r.records.find(id) }

// RecentRecords returns the newest n decision records, the newest first.
func (r *Router) RecentRecords(n int) []Record { return r.records.recent(n) }

// execution is the state of one request while it is served.
type execution struct {
	r        *Router
	req      *Request
	content  uint64 // hash of what its repeats have in common
	caller   Caller
	start    time.Time
	deadline time.Time
	record   *Record
	draft    billDraft
	runs     runs.Count // attempts that a backend server may have run
	// versionChange holds the old and the new version of a session that had to
	// move to another version.
	versionChange [2]ident.Version
	// atMostOnce is set for a call that may run at most once, and keyResolved
	// once the state cluster has returned the state of its idempotency key.
	atMostOnce, keyResolved bool
	// headWritten is set once the head was written to the caller.
	headWritten bool
	// tokensSent counts the tokens of a stream written to the caller; resumed is
	// set once the stream continued on another backend server.
	tokensSent int
	resumed    bool
	// failedTries counts the failed tries of one model, except for those that
	// found no free slot. A try is an attempt with at most one hedge.
	failedTries  int
	fullSince    time.Time // when a side process first had no slot for the request
	firstAttempt time.Time // start of the first attempt on the model
	// failedBackends are the backend servers of the failed tries. It changes
	// only while no attempt is in flight.
	failedBackends []ident.Backend
	// incomplete is set once the caller received an error event or a broken
	// connection in place of the rest of the answer.
	incomplete bool
	// answerErr is why an admitted request has no answer. The predictions of the
	// queue ignore such a request unless it timed out.
	answerErr error
}

func (x *execution) serve(ctx context.Context) error {
	if err := x.checkLease(); err != nil {
		return err
	}
	if err := x.checkModelAccess(); err != nil {
		return err
	}
	timeout := x.timeout()
	x.deadline = x.start.Add(timeout)
	limited, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if err := x.checkRateLimit(); err != nil {
		return err
	}
	if x.atMostOnce {
		return x.callAtMostOnce(limited)
	}
	release, err := x.admit(limited)
	if err != nil {
		return err
	}
	defer release()
	if x.req.Kind == ident.Call {
		x.answerErr = x.call(limited)
	} else {
		x.answerErr = x.chat(limited)
	}
	return x.answerErr
}

func (x *execution) timeout() time.Duration {
	view := x.r.state.View()
	if x.req.Kind == ident.Call {
		if ms := view.Routes[x.req.Route].TimeoutMillis; ms > 0 {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return view.Limits.Timeout(x.req.Kind)
}

// checkModelAccess refuses a model that the customer may not use, before the
// request is queued.
func (x *execution) checkModelAccess() error {
	view := x.r.state.View()
	t := x.req.Target
	if x.req.Kind != ident.Call && t.Model != conf.AutoModel && len(view.AllowedVersions(x.req.Customer, t.Model)) == 0 {
		return x.forbiddenFault(view, t)
	}
	return nil
}

func (x *execution) checkLease() error {
	if x.r.state.LeaseValidAt(time.Now()) {
		return nil
	}
	return fault.New(fault.NoLease, "this gate has lost contact with the state cluster; send the request again to reach another gate").WithRetryAfter(time.Second)
}

// close bills what was not billed yet, completes the record and converts the
// error into the one that the front reports to the caller.
func (x *execution) close(err error) error {
	x.settleBill() // bills attempts whose answer was not delivered
	x.record.finish(x, err)
	x.r.records.add(x.record)
	x.r.metrics.countRequest(x, err)
	if err == nil || errors.Is(err, ErrTruncated) {
		return err
	}
	if errors.Is(err, context.Canceled) {
		return context.Canceled
	}
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	// A call refused before the state cluster returned the state of its
	// idempotency key may have run in an earlier request with that key.
	f := fault.From(err)
	return &Failure{Fault: f, MayHaveRun: x.runs.MayHaveRun() || !f.Kind.GuaranteesNotRun() || (x.atMostOnce && !x.keyResolved)}
}
