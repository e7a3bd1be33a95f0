// Package pool maintains the links from a gate to the side processes beside
// the backend servers: it dials them, grants them subleases on the
// configuration, tracks their load, runs attempts on them and relays their
// commands to the state cluster.
package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"citronledge.example/core/conf"
	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

// State is the part of the state cluster's client that a pool uses.
type State interface {
	// View returns the configuration in force at this gate.
	View() *conf.View
	// ViewChanged returns a channel that receives or is closed at the next change
	// of the view.
	ViewChanged() <-chan struct{}
	// LeaseExpiry returns the time until which the gate may start new work.
	LeaseExpiry() time.Time
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Dialer connects to the side process at an address.
type Dialer func(ctx context.Context, addr string) (*link.Session, error)

// Pool is the set of links of one gate. It is safe for concurrent use.
type Pool struct {
	name          string
	zone          ident.Zone
	state         State
	dial          Dialer
	commitRecords func(ctx context.Context, records []*wire.Record) error
	subleases     *Subleases
	linkCount     int // for each model version or service
	metrics       metrics

	index atomic.Pointer[index]

	mu         sync.Mutex // guards the fields below
	backends   map[ident.Backend]*backend
	subsetView *conf.View // for which subset was chosen
	subset     map[ident.Backend]conf.Member

	detectorsMu sync.Mutex // guards detectors
	detectors   map[comparisonClass]*policy.OutlierDetector

	deltaMu   sync.Mutex // guards lastDelta; may be acquired with backend.mu held
	lastDelta *viewDelta // newest delta, shared by all links
}

// viewDelta is the delta between two views.
type viewDelta struct {
	from, to *conf.View
	delta    *wire.Delta
}

type metrics struct {
	links             prometheus.GaugeFunc
	mismatchedReplies prometheus.Counter
	truncatedReplies  prometheus.Counter
}

// Option configures a Pool.
type Option func(*Pool)

// WithName sets the name and the availability zone of the gate.
func WithName(name string, zone ident.Zone) Option {
	return func(p *Pool) { p.name, p.zone = name, zone }
}

// WithClient sets the client of the state cluster.
func WithClient(s State) Option { return func(p *Pool) { p.state = s } }

// WithDialer sets how links are established.
func WithDialer(d Dialer) Option { return func(p *Pool) { p.dial = d } }

// WithLinkConfig establishes links over TCP with the given session
// configuration.
func WithLinkConfig(cfg link.Config) Option {
	cfg.KeepAlive = ident.LinkTimeout
	return WithDialer(func(ctx context.Context, addr string) (*link.Session, error) {
		return link.Dial(ctx, addr, cfg)
	})
}

// WithRecordCommitter sets the function that commits the usage records that a
// side process kept for a gate that no longer runs.
func WithRecordCommitter(f func(ctx context.Context, records []*wire.Record) error) Option {
	return func(p *Pool) { p.commitRecords = f }
}

// WithSubleases sets where the subleases are tracked. The client of the state
// cluster must use the same set, otherwise it acknowledges revisions too early.
func WithSubleases(s *Subleases) Option { return func(p *Pool) { p.subleases = s } }

// WithLinkCount sets the number of links for each model version or service.
func WithLinkCount(n int) Option { return func(p *Pool) { p.linkCount = n } }

// WithMetrics registers the metrics of the pool.
func WithMetrics(r prometheus.Registerer) Option {
	return func(p *Pool) {
		r.MustRegister(p.metrics.links, p.metrics.mismatchedReplies, p.metrics.truncatedReplies)
	}
}

// New returns a pool without links; Run establishes them.
func New(opts ...Option) *Pool {
	p := &Pool{backends: map[ident.Backend]*backend{}, detectors: map[comparisonClass]*policy.OutlierDetector{}, subleases: NewSubleases(), linkCount: DefaultLinkCount}
	p.metrics.links = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gate_links", Help: "Links to side processes that are up.",
	}, func() float64 { return float64(p.linksUp()) })
	p.metrics.mismatchedReplies = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_crossed_replies_total", Help: "Replies for another request or attempt, which were dropped.",
	})
	p.metrics.truncatedReplies = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_cut_replies_total", Help: "Replies that ended without an end message.",
	})
	for _, opt := range opts {
		opt(p)
	}
	p.index.Store(newIndex(nil))
	return p
}

// Run maintains the links until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("members", func(ctx context.Context) error {
		// Links come and go, but a group accepts no new task while Wait runs.
		links := conc.NewWaitGroup()
		defer links.Wait()
		tick := time.NewTicker(reconcileInterval)
		defer tick.Stop()
		for {
			changed := p.state.ViewChanged()
			p.reconcile(ctx, links)
			p.pushViewToAll()
			select {
			case <-changed:
			case <-tick.C:
			case <-ctx.Done():
				return nil
			}
		}
	})
	return g.Wait()
}

// reconcileInterval bounds how long an idle link to a member outside the subset
// stays open.
const reconcileInterval = time.Second

// reconcile starts links to new members of the subset and closes the links to
// members that left it, once no attempt runs on them.
func (p *Pool) reconcile(ctx context.Context, links *conc.WaitGroup) {
	view := p.state.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.subsetView != view {
		// The choice takes milliseconds for thousands of members, too long to
		// repeat in every round of an idle gate.
		p.subsetView, p.subset = view, chooseSubset(p.name, p.zone, view, p.linkCount)
	}
	want := p.subset
	for id, b := range p.backends {
		m, ok := view.Members[id]
		_, wanted := want[id]
		stays := ok && wanted && m.Addr == b.addr
		b.listed.Store(stays && m.Presence != conf.MemberLeaving)
		if !stays && b.running.Load() == 0 {
			b.cancel()
			delete(p.backends, id)
			p.removeFromDetectors(id)
		}
	}
	for id, m := range want {
		if _, ok := p.backends[id]; ok {
			continue
		}
		b := newBackend(p, id, m)
		p.backends[id] = b
		var lctx context.Context
		lctx, b.cancel = context.WithCancel(ctx)
		links.Go(func() { b.keepLinked(lctx) })
	}
	p.reindex()
}

// reindex rebuilds the index. It must be called with mu held.
func (p *Pool) reindex() {
	p.index.Store(newIndex(slices.SortedFunc(maps.Values(p.backends), func(a, b *backend) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})))
}

func (p *Pool) refreshIndex() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reindex()
}

func (p *Pool) find(id ident.Backend) *backend {
	return p.index.Load().byID[id]
}

func (p *Pool) linksUp() int {
	n := 0
	for _, b := range p.index.Load().byID {
		if b.session() != nil {
			n++
		}
	}
	return n
}

// NotifySettled notifies a side process that the bills of its records are
// committed. A notice that cannot be delivered is dropped: the side process
// then sends its record to another gate, and the second commit changes nothing.
func (p *Pool) NotifySettled(id ident.Backend, billings []*wire.Billing) {
	if b := p.find(id); b != nil {
		b.addSettled(billings)
	}
}

// LinkStatus describes one link for the status page.
type LinkStatus struct {
	Backend ident.Backend
	Up      bool
	Usable  bool
	Running int64
}

// Status returns the status of all links, sorted by backend server.
func (p *Pool) Status() []LinkStatus {
	now := time.Now()
	all := p.index.Load().byID
	list := make([]LinkStatus, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		b := all[id]
		list = append(list, LinkStatus{Backend: id, Up: b.session() != nil, Usable: b.isUsable(now), Running: b.running.Load()})
	}
	return list
}
