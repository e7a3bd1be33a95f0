// Package route is the path of a request through the gate: admission, the
// choice of version and backend server, retries, hedges, cascades, operations
// and the bill.
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
)

// State is what a Router needs of the client of the state cluster.
type State interface {
	// View returns the configuration in force at this gate.
	View() *conf.View
	// Valid tells whether the lease allows new work now.
	Valid(now time.Time) bool
	// Propose commits a command and returns its result. A refusal gives the
	// result and its fault; without a result, a fault of kind Unavailable says
	// that the command was not committed, and any other that it may have been.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Runner runs attempts; it is a *pool.Pool outside tests.
type Runner interface {
	Candidates(now time.Time, need pool.Need, list []policy.Candidate) []policy.Candidate
	Slots(now time.Time, model ident.Model, service ident.Service) int
	Do(ctx context.Context, a pool.Attempt, sink pool.Sink) (pool.Outcome, error)
}

// Biller numbers and bills requests; it is a *bill.Book outside tests.
type Biller interface {
	Incarnation() ident.Incarnation
	NextBilling() (ident.Billing, bool)
	Commit(ctx context.Context, bill *wire.Bill, backends []ident.Backend) error
}

// Request is what a caller asks for.
type Request struct {
	ID       ident.Request
	Customer ident.Customer
	Kind     ident.Kind
	// Target of a chat or report. The version is empty unless the caller
	// named one; the model may be conf.Auto.
	Target  ident.Target
	Session ident.Session
	Stream  bool
	// Route of a call.
	Route ident.Route
	// Key is the idempotency key of a call.
	Key     string
	Method  string
	Path    string // with the raw query
	Headers []*wire.Header
	Body    []byte
}

// Caller takes the answer. Head comes first and once. Nothing is written
// before the router is sure that it will not start over.
type Caller interface {
	Head(status int, headers []*wire.Header) error
	Write(data []byte) error
}

// Failure is a fault with the fact whether anything can have run. The kind of
// the fault alone cannot tell: a refusal for lack of capacity may follow an
// attempt that was handed over.
type Failure struct {
	*fault.Fault
	// MayHaveRun is set unless it is certain that nothing ran.
	MayHaveRun bool
}

// Unwrap returns the fault.
func (f *Failure) Unwrap() error { return f.Fault }

// ErrTruncated is returned when an answer broke off after a part of it was written
// and the protocol has no way to say so but to break the connection.
var ErrTruncated = errors.New("answer was cut")

// Router serves requests. It is safe for concurrent use.
type Router struct {
	actor   string
	state   State
	pool    Runner
	book    Biller
	records *ring
	pins    *pins
	tools   *tools
	lanes   *lanes
	rater   Rater
	lookups lookups
	metrics metrics

	mu       sync.Mutex // guards draining and running
	draining bool
	running  map[ident.Request]struct{}

	asking atomic.Int64    // calls to the rating service under way
	asks   conc.WaitGroup  // of those calls and of look-ups
	life   context.Context // of both; ends with Run
	end    context.CancelFunc
}

// Option sets up a Router.
type Option func(*Router)

// Actor sets the name of the gate in the audit trail.
func Actor(name string) Option { return func(r *Router) { r.actor = name } }

// Client sets the client of the state cluster.
func Client(s State) Option { return func(r *Router) { r.state = s } }

// Pool sets what runs attempts.
func Pool(p Runner) Option { return func(r *Router) { r.pool = p } }

// Book sets what bills requests.
func Book(b Biller) Option { return func(r *Router) { r.book = b } }

// RatingService sets the rating service; without it cascades decide by what the
// settings say of the models.
func RatingService(rater Rater) Option { return func(r *Router) { r.rater = rater } }

// Metrics registers the metrics of the router.
func Metrics(reg prometheus.Registerer) Option {
	return func(r *Router) { r.metrics.register(reg) }
}

// New returns a router; Run keeps its queues.
func New(opts ...Option) *Router {
	r := &Router{records: newRing(), pins: newPins(), tools: newTools(), lanes: newLanes(), running: map[ident.Request]struct{}{}}
	r.lookups.list = map[lookupKey]*lookup{}
	r.life, r.end = context.WithCancel(context.Background())
	r.metrics = newMetrics(r)
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Serve answers a request. It returns nil when the caller has the complete
// answer or an error event, a *Failure when nothing was written, and ErrCut
// when the caller must see a broken connection.
func (r *Router) Serve(ctx context.Context, req *Request, caller Caller) error {
	accepted := r.enter(req.ID)
	defer r.leave(req.ID)
	x := &run{r: r, req: req, caller: caller, start: time.Now()}
	x.rec = newRecord(req, x.start)
	x.once = req.Kind == ident.Call && !r.state.View().Routes[req.Route].Repeatable
	err := error(nil)
	if accepted {
		err = x.serve(ctx)
	} else {
		err = fault.New(fault.Unavailable, "this gate is shutting down; send the request again to reach another").After(time.Second)
	}
	return x.close(err)
}

// enter notes a running request. It returns false while the router drains;
// the lock makes sure that Drain sees every request accepted before.
func (r *Router) enter(id ident.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.running[id] = struct{}{}
	return true
}

func (r *Router) leave(id ident.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
}

// Running names the running requests.
func (r *Router) Running() []ident.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.running))
}

// Drain refuses new requests from now on and waits until none is running or
// ctx ends; it returns how many are left.
func (r *Router) Drain(ctx context.Context) int {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	tick := time.NewTicker(drainEvery)
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

const drainEvery = 10 * time.Millisecond

// FindRecord returns the decision record of a request among the newest.
func (r *Router) FindRecord(id ident.Request) (Record, bool) { return r.records.find(id) }

// RecentRecords returns the newest n decision records, the newest first.
func (r *Router) RecentRecords(n int) []Record { return r.records.recent(n) }

// run is one request on its way.
type run struct {
	r      *Router
	req    *Request
	caller Caller
	start  time.Time
	until  time.Time
	rec    *Record
	ledger ledger
	// moved is the old and the new version of a session that had to move.
	moved [2]ident.Version
	// once is set for a call that may run at most once, and judged after the
	// state cluster has told what became of its idempotency key.
	once, judged bool
	// headed is set once the head was written to the caller.
	headed bool
	// sent counts the tokens of a stream that the caller has; resumed is set
	// once the stream went on on another backend server.
	sent    int
	resumed bool
	// tries counts the efforts for one model that failed; full is when a side
	// process first had no slot for the request.
	tries int
	full  time.Time
	begun time.Time // of the first attempt on the model
	// failed are the backend servers of those efforts. It changes only while
	// no attempt is under way.
	failed []ident.Backend
	// broken is set if the caller was told by an error event that the answer
	// is not complete.
	broken bool
	// fault is why an admitted request has no answer; the queue does not
	// learn from such requests.
	fault error
}

func (x *run) serve(ctx context.Context) error {
	if err := x.leased(); err != nil {
		return err
	}
	if err := x.known(); err != nil {
		return err
	}
	timeout := x.timeout()
	x.until = x.start.Add(timeout)
	limited, cancel := context.WithDeadline(ctx, x.until)
	defer cancel()
	if err := x.rate(); err != nil {
		return err
	}
	if x.once {
		return x.operate(limited)
	}
	release, err := x.admit(limited)
	if err != nil {
		return err
	}
	defer release()
	if x.req.Kind == ident.Call {
		x.fault = x.call(limited)
	} else {
		x.fault = x.chat(limited)
	}
	return x.fault
}

func (x *run) timeout() time.Duration {
	view := x.r.state.View()
	if x.req.Kind == ident.Call {
		if ms := view.Routes[x.req.Route].TimeoutMillis; ms > 0 {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return view.Limits.Timeout(x.req.Kind)
}

// known refuses models that the customer may not use before they queue.
func (x *run) known() error {
	view := x.r.state.View()
	t := x.req.Target
	if x.req.Kind != ident.Call && t.Model != conf.AutoModel && len(view.AllowedVersions(x.req.Customer, t.Model)) == 0 {
		return x.forbidden(view, t)
	}
	return nil
}

func (x *run) leased() error {
	if x.r.state.Valid(time.Now()) {
		return nil
	}
	return fault.New(fault.NoLease, "this gate has lost contact with the state cluster; send the request again to reach another gate").After(time.Second)
}

// close settles what the request left open, completes its record and turns
// its error into what the front tells the caller.
func (x *run) close(err error) error {
	x.settle() // bills attempts whose answer was not delivered
	x.rec.finish(x, err)
	x.r.records.add(x.rec)
	x.r.metrics.count(x, err)
	if err == nil || errors.Is(err, ErrTruncated) {
		return err
	}
	if errors.Is(err, context.Canceled) {
		return context.Canceled
	}
	var known *Failure
	if errors.As(err, &known) {
		return known
	}
	// A call refused before the state cluster has judged its idempotency key
	// may have run by an earlier request with that key.
	f := fault.From(err)
	return &Failure{Fault: f, MayHaveRun: x.ledger.ran() || !f.Kind.NotRun() || (x.once && !x.judged)}
}
