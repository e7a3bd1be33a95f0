package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"citronledge.example/core/policy"
)

const (
	// holdCheckInterval is the interval at which a starting gate checks whether
	// it can serve and which held requests are due.
	holdCheckInterval = 5 * time.Millisecond
	// holdEndedInterval is the interval after the time in which requests are
	// held, for the readiness and the metrics of a late start.
	holdEndedInterval = 50 * time.Millisecond
	// holdReadBytes is the size of the parts in which bodies are read. It is
	// within policy.HoldOverhead.
	holdReadBytes = 2 << 10
	// minHeldRequests and maxHeldRequests bound the number of held requests,
	// whatever the memory limit.
	minHeldRequests = 64
	maxHeldRequests = 2000
)

// Hold configures a gate that holds requests until it can serve for the first
// time.
type Hold struct {
	// Expected is the usual time from the start until the gate can serve; 0 if
	// it is not known.
	Expected time.Duration
	// MaxBytes limits the memory for held requests.
	MaxBytes int64
	// OnStart is called once with the time that the start took.
	OnStart func(took time.Duration)
}

// WithHold makes the gate hold requests that arrive before it can serve, as long
// as RunHold runs.
func WithHold(h Hold) Option {
	return func(r *Relay) {
		n := min(max(h.MaxBytes/policy.HoldOverhead, minHeldRequests), maxHeldRequests)
		r.hold = &holder{
			onStart: h.OnStart, waiting: map[policy.HoldID]*heldCall{}, metrics: &r.holdMetrics,
			queue: policy.NewHoldQueue(policy.HoldConfig{Expected: h.Expected, MaxRequests: int(n), MaxBytes: h.MaxBytes}, r.started),
		}
	}
}

// holder holds the requests of a gate that cannot serve yet.
type holder struct {
	onStart func(time.Duration)
	metrics *holdMetrics
	served  atomic.Bool // the gate could serve once
	ended   atomic.Bool // nothing is held any more

	mu      sync.Mutex // guards the fields below
	queue   *policy.HoldQueue
	waiting map[policy.HoldID]*heldCall
	counts  holdCounts
}

// holdCounts are numbers of requests since the start of the gate. refused includes
// those refused on arrival.
type holdCounts struct{ held, refused, left int }

// heldCall is a request that waits for its turn.
type heldCall struct {
	turn      chan holdOutcome // buffered
	interrupt func()           // ends the reading of the body; nil once it has been read
}

// holdOutcome tells a held request to run, or how to refuse it.
type holdOutcome struct {
	run   bool
	retry time.Duration
	why   string
}

// canServe reports whether the gate has all that it needs to serve a request.
func (r *Relay) canServe() bool {
	return r.config.Load() != nil && !r.fleet.ListReadAt().IsZero() && (!r.settings.RequireLease || r.hasLease())
}

// RunHold releases and refuses held requests until the gate can serve and none is
// left.
func (r *Relay) RunHold(ctx context.Context) error {
	h := r.hold
	if h == nil {
		return nil
	}
	tick := time.NewTicker(holdCheckInterval)
	defer tick.Stop()
	steps := startSteps{r: r}
	for {
		now := time.Now()
		steps.observe(now)
		if !h.served.Load() && r.canServe() {
			took := now.Sub(r.started)
			klog.InfoS("Gate can serve", "sinceStart", took, "configuration", steps.config, "list", steps.list, "lease", steps.lease, "held", h.len())
			h.setReady(now, took)
		}
		if r.stopEnd.Load() != nil {
			h.stop()
			return nil
		}
		if h.advance(now) {
			if h.served.Load() && steps.done() {
				return nil
			}
			tick.Reset(holdEndedInterval)
		}
		select {
		case <-ctx.Done():
			h.stop()
			return nil
		case <-tick.C:
		}
	}
}

// startSteps observes when the gate gets what it needs to serve, as times since
// its start; 0 means not yet.
type startSteps struct {
	r                   *Relay
	config, list, lease time.Duration
}

func (s *startSteps) observe(now time.Time) {
	since := now.Sub(s.r.started)
	for _, x := range []struct {
		name string
		at   *time.Duration
		has  func() bool
	}{
		{"configuration", &s.config, func() bool { return s.r.config.Load() != nil }},
		{"list", &s.list, func() bool { return !s.r.fleet.ListReadAt().IsZero() }},
		{"lease", &s.lease, s.r.hasLease},
	} {
		if *x.at == 0 && x.has() {
			*x.at = since
			s.r.hold.metrics.startSeconds.WithLabelValues(x.name).Set(since.Seconds())
		}
	}
}

func (s *startSteps) done() bool { return s.config > 0 && s.list > 0 && s.lease > 0 }

func (h *holder) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queue.Len()
}

func (h *holder) setReady(now time.Time, took time.Duration) {
	h.metrics.startSeconds.WithLabelValues("ready").Set(took.Seconds())
	h.markReady(now)
	h.served.Store(true)
	if h.onStart != nil {
		go h.onStart(took) // it writes to a disk, which may be slow
	}
}

func (h *holder) markReady(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queue.SetReady(now)
}

// advance releases and refuses the requests that are due. It reports whether
// nothing is held any more and nothing will be.
func (h *holder) advance(now time.Time) bool {
	served := h.served.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	run, refused := h.queue.Next(now)
	h.resolve(run, holdOutcome{run: true})
	why := policy.ReasonStartLate
	if !served && !now.Before(h.queue.End()) {
		why = policy.ReasonStartOver
	}
	h.resolve(refused, holdOutcome{retry: h.queue.RetryAfter(now), why: string(why)})
	h.metrics.held.Set(float64(h.queue.Len()))
	h.metrics.heldBytes.Set(float64(h.queue.Bytes()))
	if h.queue.Len() > 0 || !served && now.Before(h.queue.End()) {
		return false
	}
	if h.ended.CompareAndSwap(false, true) {
		klog.InfoS("Starting gate holds no requests any more", "held", h.counts.held, "refused", h.counts.refused, "left", h.counts.left, "ready", served)
	}
	return true
}

// resolve ends the wait of held requests. It must be called with mu held.
func (h *holder) resolve(ids []policy.HoldID, o holdOutcome) {
	for _, id := range ids {
		w := h.waiting[id]
		if w == nil {
			continue
		}
		delete(h.waiting, id)
		w.turn <- o
		if !o.run && w.interrupt != nil {
			w.interrupt()
		}
	}
}

// stop refuses all held requests because the gate stops, and holds no more.
func (h *holder) stop() {
	const why = "this gate stops"
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended.Store(true)
	if n := h.queue.Len(); n > 0 {
		klog.InfoS("Held requests refused", "why", why, "requests", n)
	}
	h.resolve(h.queue.Clear(), holdOutcome{retry: stoppingRetryAfter, why: why})
	h.metrics.held.Set(0)
	h.metrics.heldBytes.Set(0)
}

// offer asks whether a request is held, and registers it if it is.
func (h *holder) offer(c *call, interrupt func()) (policy.HoldID, *heldCall, policy.Admission) {
	var deadline time.Time
	if c.head.Deadline > 0 {
		deadline = c.start.Add(c.head.Deadline)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended.Load() {
		return 0, nil, policy.Admission{Action: policy.Run}
	}
	id, a := h.queue.Offer(time.Now(), deadline, max(0, c.req.ContentLength))
	switch a.Action {
	case policy.Wait:
		if h.counts.held == 0 {
			klog.InfoS("Gate holds requests until it can serve", "until", h.queue.End().Sub(h.queue.Started()))
		}
		h.counts.held++
		w := &heldCall{turn: make(chan holdOutcome, 1), interrupt: interrupt}
		h.waiting[id] = w
		return id, w, a
	case policy.Refuse:
		h.counts.refused++
		h.metrics.requests.WithLabelValues("refused on arrival").Inc()
	}
	return 0, nil, a
}

func (h *holder) drop(id policy.HoldID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, id)
	h.queue.Drop(id)
}

func (h *holder) grow(id policy.HoldID, n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queue.Grow(id, int64(n))
}

func (h *holder) complete(id policy.HoldID, w *heldCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.interrupt = nil
	h.queue.Complete(id)
}

// count counts a held request by its end, in the metric and in n.
func (h *holder) count(end string, n *int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*n++
	h.metrics.requests.WithLabelValues(end).Inc()
}

// holdUntilStarted holds the request if the gate cannot serve yet. It reports
// whether the request goes on; otherwise it has been answered.
func (c *call) holdUntilStarted() bool {
	h := c.r.hold
	if h == nil || h.ended.Load() || c.r.stopEnd.Load() != nil {
		return true
	}
	control := http.NewResponseController(c.w)
	// A writer without deadlines, as in tests, has no body that blocks.
	interrupt := func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
	id, w, a := h.offer(c, interrupt)
	switch a.Action {
	case policy.Run:
		return true
	case policy.Refuse:
		c.refuse(http.StatusServiceUnavailable, a.RetryAfter, string(a.Reason))
		return false
	}
	defer h.drop(id)
	whole, err := c.readHeldBody(id, w)
	if whole {
		h.complete(id, w)
	}
	switch {
	case errors.Is(err, errHoldFull):
		h.count("refused", &h.counts.refused)
		c.refuseHeld(holdOutcome{retry: h.retryAfter(), why: string(policy.ReasonStartFull)}, whole)
		return false
	case err != nil && len(w.turn) == 0:
		c.leaveHeld()
	}
	var o holdOutcome
	select {
	case o = <-w.turn:
	case <-c.req.Context().Done():
		// The interruption of a read may end the context too.
		select {
		case o = <-w.turn:
		default:
			c.leaveHeld()
		}
	}
	switch {
	case !o.run:
		h.count("refused", &h.counts.refused)
		c.refuseHeld(o, whole)
		return false
	case err != nil:
		c.leaveHeld()
	}
	h.metrics.requests.WithLabelValues("released").Inc()
	return true
}

func (h *holder) retryAfter() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queue.RetryAfter(time.Now())
}

// leaveHeld ends a held request whose caller has left.
func (c *call) leaveHeld() {
	c.r.hold.count("left", &c.r.hold.counts.left)
	c.reason = "the caller left a starting gate"
	c.recordEnd("caller left", 0)
	panic(http.ErrAbortHandler)
}

// refuseHeld refuses a held request. The connection is closed unless the whole
// body has been read.
func (c *call) refuseHeld(o holdOutcome, whole bool) {
	if !whole {
		c.w.Header().Set("Connection", "close")
	}
	c.refuse(http.StatusServiceUnavailable, o.retry, o.why)
}

var errHoldFull = errors.New("the memory for held requests is used up")

// readHeldBody reads the body within the memory for held requests, until it is
// whole or the request has its turn, and puts what it has read in front of the
// rest. The server notices that a caller leaves only once its whole body has been
// read.
func (c *call) readHeldBody(id policy.HoldID, w *heldCall) (whole bool, err error) {
	if c.req.ContentLength == 0 || c.req.Body == nil {
		return true, nil
	}
	var held bytes.Buffer
	part := make([]byte, holdReadBytes)
	rest := c.req.Body
	for len(w.turn) == 0 {
		n, err := rest.Read(part)
		before := held.Cap()
		held.Write(part[:n])
		if !c.r.hold.grow(id, held.Cap()-before) {
			return false, errHoldFull
		}
		if err == io.EOF {
			c.req.Body = io.NopCloser(&held)
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	c.req.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(&held, rest), rest}
	return false, nil
}

// holdMetrics are the metrics of a gate's start.
type holdMetrics struct {
	requests        *prometheus.CounterVec
	held, heldBytes prometheus.Gauge
	startSeconds    *prometheus.GaugeVec
}

func newHoldMetrics() holdMetrics {
	return holdMetrics{
		requests:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "relay_held_requests_total", Help: "Requests that arrived before the gate could serve, by end: released, refused, refused on arrival, left."}, []string{"end"}),
		held:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "relay_held_requests", Help: "Requests held until the gate can serve."}),
		heldBytes:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "relay_held_bytes", Help: "Bytes charged for held requests."}),
		startSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "relay_start_seconds", Help: "Time from the start of the gate to the first configuration, list, lease, and until it could serve."}, []string{"step"}),
	}
}

func (m *holdMetrics) register(reg prometheus.Registerer) {
	reg.MustRegister(m.requests, m.held, m.heldBytes, m.startSeconds)
}
