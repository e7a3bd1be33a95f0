// Package client talks to the state cluster for gates and the ctl: it finds
// the leader, proposes commands, asks queries, and holds the lease on the
// configuration.
package client

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

const (
	// dialTime bounds one connection attempt. A lost VM does not answer at
	// all, and the lease does not last through two longer attempts.
	dialTime = 500 * time.Millisecond
	// tryTime bounds one try of a command or query; a commit takes
	// milliseconds and an election up to 0.6 s.
	tryTime = time.Second
	// silentAfter is the time without an answer to a renewal after which the
	// leader counts as lost. It leaves time to find the next one before the
	// lease ends.
	silentAfter = 800 * time.Millisecond

	leastPause = 20 * time.Millisecond
	mostPause  = 500 * time.Millisecond
)

// Dialer opens a session to a state process.
type Dialer func(ctx context.Context, addr string) (*link.Session, error)

// Option configures a client.
type Option func(*Client)

// WithAddresses sets the addresses of the state processes.
func WithAddresses(addrs ...string) Option { return func(c *Client) { c.addrs = addrs } }

// WithLink sets the name of this process and its session keys.
func WithLink(cfg link.Config) Option { return func(c *Client) { c.link = cfg } }

// WithZone sets the availability zone of this process.
func WithZone(zone ident.Zone) Option { return func(c *Client) { c.zone = zone } }

// WithLoadExchange sets the address at which this process takes the loads of other
// gates, and what is called with the addresses of the others.
func WithLoadExchange(addr string, others func([]string)) Option {
	return func(c *Client) { c.exchange, c.others = addr, others }
}

// WithTallies sets the source of the tallies that go with each renewal. They
// are cumulative over the current incarnation.
func WithTallies(f func() []*wire.Tally) Option { return func(c *Client) { c.tallies = f } }

// Subleases are sub-leases that this process gives out on its own lease. Their
// holders may work by an older view than this process.
type Subleases interface {
	// AcknowledgedRevision returns the revision, at most that of view, that every holder of a
	// sub-lease has, and when the next sub-lease ends that holds it back, or
	// the zero time. The channel is closed when a holder has moved on.
	AcknowledgedRevision(view ident.Revision) (acked ident.Revision, next time.Time, moved <-chan struct{})
	// LastExpiry returns when the last sub-lease ends. Without a lease none is given.
	LastExpiry() time.Time
}

// WithSubleases makes the client acknowledge a revision only when no sub-lease
// is left under an older one, and give its lease back only when all have ended.
func WithSubleases(s Subleases) Option { return func(c *Client) { c.sublets = s } }

// noSublets is a process that gives out no sub-leases.
type noSublets struct{}

func (noSublets) AcknowledgedRevision(view ident.Revision) (ident.Revision, time.Time, <-chan struct{}) {
	return view, time.Time{}, nil
}

func (noSublets) LastExpiry() time.Time { return time.Time{} }

// WithLastSequence sets a function that returns the highest sequence number that was
// given out under an incarnation. It is told to the ledger at the stop.
func WithLastSequence(f func(ident.Incarnation) ident.Sequence) Option {
	return func(c *Client) { c.last = f }
}

// WithMaxBackoff bounds the pause between two tries; without it it is 0.5 s. Small
// systems can afford a shorter one and find a new leader sooner.
func WithMaxBackoff(most time.Duration) Option { return func(c *Client) { c.pause = most } }

// WithDialer replaces the dialer, for tests.
func WithDialer(d Dialer) Option { return func(c *Client) { c.dial = d } }

// Client is safe for concurrent use.
type Client struct {
	addrs   []string
	link    link.Config
	zone    ident.Zone
	tallies func() []*wire.Tally
	last    func(ident.Incarnation) ident.Sequence
	dial    Dialer
	sublets Subleases
	pause   time.Duration // longest between two tries

	exchange string
	others   func([]string)

	mu   sync.Mutex // guards the fields below and addrs; held while dialling
	sess *session
	next int    // index of the address to try next
	hint string // address of the leader as told by a follower
	left string // address that was given up last

	view        atomic.Pointer[conf.View]
	full        atomic.Bool // a delta could not be applied: ask for a full one
	incarnation atomic.Uint64

	leaseMu sync.Mutex
	until   time.Time
	// before is the time of suspensions up to the renewal that until counts
	// from.
	before    time.Duration
	suspended func() time.Duration
	heard     time.Time // last grant by the leader

	watchMu sync.Mutex
	watch   chan struct{} // closed at the next change of the view
}

// session is a link session with its idle streams.
type session struct {
	*link.Session
	addr string
	mu   sync.Mutex
	idle map[wire.Kind][]*link.Stream
}

// New returns a client. It connects when it is first used.
func New(opts ...Option) (*Client, error) {
	c := &Client{watch: make(chan struct{}), sublets: noSublets{}, pause: mostPause, suspended: suspended}
	c.dial = func(ctx context.Context, addr string) (*link.Session, error) { return link.Dial(ctx, addr, c.link) }
	c.tallies = func() []*wire.Tally { return nil }
	c.last = func(ident.Incarnation) ident.Sequence { return 0 }
	for _, o := range opts {
		o(c)
	}
	if len(c.addrs) == 0 || c.link.Name == "" {
		return nil, eris.New("the client needs a name and at least one address of a state process")
	}
	c.view.Store(conf.EmptyView())
	return c, nil
}

// Close ends the connection. Running calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sess == nil {
		return nil
	}
	err := c.sess.Close()
	c.sess = nil
	return err
}

// connect returns the session with the process that is taken for the leader.
func (c *Client) connect(ctx context.Context) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sess != nil {
		select {
		case <-c.sess.Done():
			c.sess = nil
		default:
			return c.sess, nil
		}
	}
	addr := c.hint
	c.hint = ""
	if addr == "" {
		addr = c.pick()
	}
	raw, err := c.open(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.sess = &session{Session: raw, addr: addr, idle: map[wire.Kind][]*link.Stream{}}
	return c.sess, nil
}

// mostAddresses bounds the addresses that a client knows.
const mostAddresses = 32

// AddAddress adds the address of a state process to those that are tried. The ones
// from the start stay: they may be the only ones that are left later.
func (c *Client) AddAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == "" || len(c.addrs) >= mostAddresses || slices.Contains(c.addrs, addr) {
		return
	}
	c.addrs = append(slices.Clone(c.addrs), addr)
	klog.InfoS("Learnt of a state process", "addr", addr)
}

// pick returns the next address in turn, but not the one that was given up
// last: a silent process would cost another dialTime.
func (c *Client) pick() string {
	addr := c.addrs[c.next%len(c.addrs)]
	c.next++
	if addr == c.left {
		addr = c.addrs[c.next%len(c.addrs)]
		c.next++
	}
	c.left = ""
	return addr
}

// open dials with a time limit that also covers the handshake.
func (c *Client) open(ctx context.Context, addr string) (*link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	type result struct {
		sess *link.Session
		err  error
	}
	done := make(chan result, 1)
	go func() {
		sess, err := c.dial(ctx, addr)
		done <- result{sess, err}
	}()
	select {
	case r := <-done:
		return r.sess, r.err
	case <-ctx.Done():
		go func() { // the handshake has a limit of its own
			if r := <-done; r.sess != nil {
				_ = r.sess.Close()
			}
		}()
		return nil, eris.Wrapf(ctx.Err(), "no answer from %s", addr)
	}
}

// leave gives up a session, in favour of the leader at addr if that is known.
func (c *Client) leave(s *session, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sess != s {
		return // somebody else has moved on already
	}
	if leader == s.addr {
		return // it has become leader in the meantime
	}
	c.sess, c.hint, c.left = nil, leader, s.addr
	_ = s.Close()
}

// stream returns an idle stream of the kind, or a new one.
func (s *session) stream(kind wire.Kind) (*link.Stream, error) {
	s.mu.Lock()
	list := s.idle[kind]
	if n := len(list); n > 0 {
		st := list[n-1]
		s.idle[kind] = list[:n-1]
		s.mu.Unlock()
		return st, nil
	}
	s.mu.Unlock()
	return s.Open(kind)
}

// release keeps a stream on which no answer is outstanding.
func (s *session) release(st *link.Stream) {
	const most = 16 // idle streams of a kind
	_ = st.SetDeadline(time.Time{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[st.Kind()]) >= most {
		_ = st.Close()
		return
	}
	s.idle[st.Kind()] = append(s.idle[st.Kind()], st)
}

// backoff grows with each pause and is drawn at random, so that the clients
// of a lost process don't come back all at once.
type backoff struct{ d, most time.Duration }

func (b *backoff) pause(ctx context.Context) error {
	b.d = min(max(2*b.d, leastPause), b.most)
	t := time.NewTimer(b.d/2 + rand.N(b.d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
