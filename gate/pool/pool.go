// Package pool holds the links from a gate to the side processes beside the
// backend servers: it dials them, leases them the configuration, follows
// their load, runs attempts on them and relays their commands.
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

// State is what a pool needs of the client of the state cluster.
type State interface {
	// View returns the configuration in force at this gate.
	View() *conf.View
	// ViewChanged returns a channel that delivers or closes at the next change of
	// the view.
	ViewChanged() <-chan struct{}
	// LeaseExpiry returns the time until when the gate may start new work.
	LeaseExpiry() time.Time
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Dialer connects to the side process at an address.
type Dialer func(ctx context.Context, addr string) (*link.Session, error)

// Pool is the set of links of one gate. It is safe for concurrent use.
type Pool struct {
	name    string
	zone    ident.Zone
	state   State
	dial    Dialer
	adopt   func(ctx context.Context, records []*wire.Record) error
	sublets *Subleases
	links   int // for each model version or service
	metrics metrics

	index atomic.Pointer[index]

	mu       sync.Mutex // guards the fields below
	backends map[ident.Backend]*backend
	planned  *conf.View // for which want was chosen
	want     map[ident.Backend]conf.Member

	seen  sync.Mutex // guards peers
	peers map[class]*policy.OutlierDetector

	steps sync.Mutex // guards last; taken under the lock of a backend
	last  *step      // newest delta, shared by all links
}

// step is the delta between two views.
type step struct {
	from, to *conf.View
	delta    *wire.Delta
}

type metrics struct {
	links   prometheus.GaugeFunc
	crossed prometheus.Counter
	cut     prometheus.Counter
}

// Option sets up a Pool.
type Option func(*Pool)

// WithName sets the name and the availability zone of the gate.
func WithName(name string, zone ident.Zone) Option {
	return func(p *Pool) { p.name, p.zone = name, zone }
}

// WithClient sets the client of the state cluster.
func WithClient(s State) Option { return func(p *Pool) { p.state = s } }

// WithDialer replaces how links are made.
func WithDialer(d Dialer) Option { return func(p *Pool) { p.dial = d } }

// WithLinkConfig makes links over TCP with a session configuration.
func WithLinkConfig(cfg link.Config) Option {
	cfg.KeepAlive = ident.LinkTimeout
	return WithDialer(func(ctx context.Context, addr string) (*link.Session, error) {
		return link.Dial(ctx, addr, cfg)
	})
}

// WithRecordCommitter sets what commits the records that a side process kept for a gate
// that is gone.
func WithRecordCommitter(f func(ctx context.Context, records []*wire.Record) error) Option {
	return func(p *Pool) { p.adopt = f }
}

// WithSubleases sets where the sub-leases are kept. The client of the state cluster
// needs the same set, or it acknowledges revisions too early.
func WithSubleases(s *Subleases) Option { return func(p *Pool) { p.sublets = s } }

// WithLinkCount sets the number of links for each model version or service.
func WithLinkCount(n int) Option { return func(p *Pool) { p.links = n } }

// WithMetrics registers the metrics of the pool.
func WithMetrics(r prometheus.Registerer) Option {
	return func(p *Pool) { r.MustRegister(p.metrics.links, p.metrics.crossed, p.metrics.cut) }
}

// New returns a pool without links; Run makes them.
func New(opts ...Option) *Pool {
	p := &Pool{backends: map[ident.Backend]*backend{}, peers: map[class]*policy.OutlierDetector{}, sublets: NewSubleases(), links: DefaultLinkCount}
	p.metrics.links = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gate_links", Help: "Links to side processes that are up.",
	}, func() float64 { return float64(p.up()) })
	p.metrics.crossed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_crossed_replies_total", Help: "Replies for another request or attempt, which were dropped.",
	})
	p.metrics.cut = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gate_cut_replies_total", Help: "Replies that ended without an end message.",
	})
	for _, opt := range opts {
		opt(p)
	}
	p.index.Store(newIndex(nil))
	return p
}

// Run keeps the links until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("members", func(ctx context.Context) error {
		// Links come and go, and a group takes no task while it is waited for.
		links := conc.NewWaitGroup()
		defer links.Wait()
		tick := time.NewTicker(reconcileEvery)
		defer tick.Stop()
		for {
			changed := p.state.ViewChanged()
			p.reconcile(ctx, links)
			p.pushAll()
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

// reconcileEvery bounds how long an idle link to a member outside the subset
// stays open.
const reconcileEvery = time.Second

// reconcile starts links to new members of the subset and ends those to
// members that left, once nothing runs on them.
func (p *Pool) reconcile(ctx context.Context, links *conc.WaitGroup) {
	view := p.state.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planned != view {
		// It takes milliseconds for thousands of members, too long for each
		// round of an idle gate.
		p.planned, p.want = view, subset(p.name, p.zone, view, p.links)
	}
	want := p.want
	for id, b := range p.backends {
		m, ok := view.Members[id]
		_, wanted := want[id]
		stays := ok && wanted && m.Addr == b.addr
		b.member.Store(stays && m.Presence != conf.MemberLeaving)
		if !stays && b.running.Load() == 0 {
			b.cancel()
			delete(p.backends, id)
			p.forget(id)
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
		links.Go(func() { b.keep(lctx) })
	}
	p.reindex()
}

// reindex rebuilds the lookup by target; the caller holds mu.
func (p *Pool) reindex() {
	p.index.Store(newIndex(slices.SortedFunc(maps.Values(p.backends), func(a, b *backend) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})))
}

func (p *Pool) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reindex()
}

func (p *Pool) find(id ident.Backend) *backend {
	return p.index.Load().all[id]
}

func (p *Pool) up() int {
	n := 0
	for _, b := range p.index.Load().all {
		if b.session() != nil {
			n++
		}
	}
	return n
}

// NotifySettled tells side processes that the bills of their records are committed.
// What cannot be delivered is not kept: the side process hands its record to
// another gate, and the second commit changes nothing.
func (p *Pool) NotifySettled(id ident.Backend, billings []*wire.Billing) {
	if b := p.find(id); b != nil {
		b.settled(billings)
	}
}

// LinkStatus describes one link for the status page.
type LinkStatus struct {
	Backend ident.Backend
	Up      bool
	Usable  bool
	Running int64
}

// Status returns the state of all links in the order of their names.
func (p *Pool) Status() []LinkStatus {
	now := time.Now()
	all := p.index.Load().all
	list := make([]LinkStatus, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		b := all[id]
		list = append(list, LinkStatus{Backend: id, Up: b.session() != nil, Usable: b.usable(now), Running: b.running.Load()})
	}
	return list
}
