// Package client connects gates and ctl to the state cluster: it finds the
// leader, proposes commands, sends queries and maintains the configuration
// lease.
package client

import (
	"context"
	"math/rand/v2"
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
	// dialTimeout bounds one connection attempt. A lost VM does not answer at
	// all, and the lease does not outlast two longer attempts.
	dialTimeout = 500 * time.Millisecond
	// requestTimeout bounds one attempt of a command or query. A commit takes
	// milliseconds and an election up to 0.6 s.
	requestTimeout = time.Second
	// renewalTimeout is the time without an answer to a renewal after which the
	// leader is considered lost. It leaves enough time to find the new leader
	// before the lease expires.
	renewalTimeout = 800 * time.Millisecond

	minBackoff        = 20 * time.Millisecond
	defaultMaxBackoff = 500 * time.Millisecond
)

// Dialer opens a session to a state process.
type Dialer func(ctx context.Context, addr string) (*link.Session, error)

// Option configures a client.
type Option func(*Client)

// WithAddresses sets the addresses of the state processes.
func WithAddresses(addrs ...string) Option {
	return func(c *Client) { c.addrs = newAddressBook(addrs) }
}

// WithLink sets the name of this process and its session keys.
func WithLink(cfg link.Config) Option { return func(c *Client) { c.linkConfig = cfg } }

// WithZone sets the availability zone of this process.
func WithZone(zone ident.Zone) Option { return func(c *Client) { c.zone = zone } }

// WithExchange sets the address at which this process receives the datagrams of
// other gates, the rate of its link in kB per second (0 if it is not known),
// and the function to call when the list of gates changes; this process is in
// the list.
func WithExchange(addr string, linkRate uint32, onGates func([]*wire.Gate)) Option {
	return func(c *Client) { c.exchangeAddr, c.linkRate, c.onGates = addr, linkRate, onGates }
}

// WithTallies sets the source of the tallies that are sent with each renewal.
// They are cumulative over the current incarnation.
func WithTallies(f func() []*wire.Tally) Option { return func(c *Client) { c.tallies = f } }

// Subleases are the subleases that this process grants on the basis of its own
// lease. Their holders may use an older view than this process.
type Subleases interface {
	// AcknowledgedRevision returns the newest revision, at most view, that
	// every holder of a sublease has, and the expiry of the next sublease under
	// an older revision, or the zero time. The channel is closed when a holder
	// has advanced to a newer revision.
	AcknowledgedRevision(view ident.Revision) (acked ident.Revision, next time.Time, moved <-chan struct{})
	// LastExpiry returns when the last sublease expires. Without a lease no new
	// ones are granted.
	LastExpiry() time.Time
}

// WithSubleases makes the client acknowledge a revision only when no sublease
// under an older one is left, and give its lease back only when all subleases
// have expired.
func WithSubleases(s Subleases) Option { return func(c *Client) { c.subleases = s } }

// noSubleases implements Subleases for a process that grants none.
type noSubleases struct{}

func (noSubleases) AcknowledgedRevision(view ident.Revision) (ident.Revision, time.Time, <-chan struct{}) {
	return view, time.Time{}, nil
}

func (noSubleases) LastExpiry() time.Time { return time.Time{} }

// WithLastSequence sets a function that returns the highest sequence number
// used under an incarnation. The client reports it to the ledger when it stops.
func WithLastSequence(f func(ident.Incarnation) ident.Sequence) Option {
	return func(c *Client) { c.lastSequence = f }
}

// WithMaxBackoff sets the upper limit of the delay between two attempts; the
// default is 0.5 s. Small systems can afford a shorter one and find a new
// leader sooner.
func WithMaxBackoff(limit time.Duration) Option { return func(c *Client) { c.maxBackoff = limit } }

// WithDialer replaces the dialer, for tests.
func WithDialer(d Dialer) Option { return func(c *Client) { c.dial = d } }

// Client finds the leader of the state cluster, talks to it and holds the
// lease. It is safe for concurrent use.
type Client struct {
	linkConfig   link.Config
	zone         ident.Zone
	tallies      func() []*wire.Tally
	lastSequence func(ident.Incarnation) ident.Sequence
	dial         Dialer
	subleases    Subleases
	maxBackoff   time.Duration // between two attempts

	exchangeAddr string
	linkRate     uint32 // kB per second
	onGates      func([]*wire.Gate)
	gatesDigest  atomic.Uint64 // of the last list of gates

	mu         sync.Mutex // guards the fields below; held while dialling
	addrs      addressBook
	session    *session
	leaderHint string // address of the leader, as reported by a follower

	view          atomic.Pointer[conf.View]
	needFullDelta atomic.Bool // a delta could not be applied: request a full one
	incarnation   atomic.Uint64

	leaseMu    sync.Mutex
	leaseUntil time.Time
	// suspendedAtRenewal is how long the VM had been suspended since boot when
	// the renewal was sent that leaseUntil counts from.
	suspendedAtRenewal time.Duration
	suspendedTime      func() time.Duration
	lastGrant          time.Time // when the last grant arrived

	viewChangedMu sync.Mutex
	viewChanged   chan struct{} // closed at the next change of the view
}

// session is a link session with its idle streams.
type session struct {
	*link.Session
	addr string
	mu   sync.Mutex
	idle map[wire.Kind][]*link.Stream
}

// New returns a client. It connects on first use.
func New(opts ...Option) (*Client, error) {
	c := &Client{viewChanged: make(chan struct{}), subleases: noSubleases{}, maxBackoff: defaultMaxBackoff, suspendedTime: suspendedSinceBoot}
	c.dial = func(ctx context.Context, addr string) (*link.Session, error) {
		return link.Dial(ctx, addr, c.linkConfig)
	}
	c.tallies = func() []*wire.Tally { return nil }
	c.lastSequence = func(ident.Incarnation) ident.Sequence { return 0 }
	for _, o := range opts {
		o(c)
	}
	if len(c.addrs.list) == 0 || c.linkConfig.Name == "" {
		return nil, eris.New("the client needs a name and at least one address of a state process")
	}
	c.view.Store(conf.EmptyView())
	return c, nil
}

// Close closes the connection. Running calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil {
		return nil
	}
	err := c.session.Close()
	c.session = nil
	return err
}

// connect returns the session with the process that is assumed to be the
// leader.
func (c *Client) connect(ctx context.Context) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		select {
		case <-c.session.Done():
			c.session = nil
		default:
			return c.session, nil
		}
	}
	addr := c.leaderHint
	c.leaderHint = ""
	if addr == "" {
		addr = c.addrs.next()
	}
	raw, err := c.dialWithTimeout(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.session = &session{Session: raw, addr: addr, idle: map[wire.Kind][]*link.Stream{}}
	return c.session, nil
}

// AddAddress names the address of a state process, as the settings or the process
// itself give it. Addresses that were named longest ago are given up for new ones.
func (c *Client) AddAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addAddress(addr)
}

// SetMembers names the addresses of the state processes that are members of the
// cluster, as one of them gives them.
func (c *Client) SetMembers(peers []*wire.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addrs []string
	for _, p := range peers {
		c.addAddress(p.GetAddr())
		addrs = append(addrs, p.GetAddr())
	}
	c.addrs.setMembers(addrs)
}

func (c *Client) addAddress(addr string) {
	if added, replaced := c.addrs.add(addr); added {
		klog.InfoS("State process added to the known addresses", "addr", addr, "replaced", replaced)
	}
}

// dialWithTimeout dials with a timeout that also covers the handshake.
func (c *Client) dialWithTimeout(ctx context.Context, addr string) (*link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
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
		go func() { // the handshake has a timeout of its own
			if r := <-done; r.sess != nil {
				_ = r.sess.Close()
			}
		}()
		return nil, eris.Wrapf(ctx.Err(), "no answer from %s", addr)
	}
}

// dropSession closes a session and makes the client connect to the leader's
// address next if that is known.
func (c *Client) dropSession(s *session, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != s {
		return // another goroutine has replaced the session already
	}
	if leader == s.addr {
		return // the process has become leader in the meantime
	}
	c.session, c.leaderHint = nil, leader
	c.addrs.markTried(s.addr) // an unresponsive process would cost another dialTimeout
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

// release makes a stream without an outstanding answer available for reuse.
func (s *session) release(st *link.Stream) {
	const maxIdle = 16 // idle streams of each kind
	_ = st.SetDeadline(time.Time{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[st.Kind()]) >= maxIdle {
		_ = st.Close()
		return
	}
	s.idle[st.Kind()] = append(s.idle[st.Kind()], st)
}

// backoff is an exponential delay with random jitter, so that the clients of a
// lost process do not all reconnect at once.
type backoff struct{ delay, limit time.Duration }

func (b *backoff) wait(ctx context.Context) error {
	b.delay = min(max(2*b.delay, minBackoff), b.limit)
	t := time.NewTimer(b.delay/2 + rand.N(b.delay))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
