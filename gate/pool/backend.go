package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

const (
	redialFirst = 100 * time.Millisecond
	redialMax   = 2 * time.Second
	// mailbox bounds the messages that wait for one control stream.
	mailbox = 64
	// peakTime is how far the gate's own attempts are looked back at, and
	// peakReports the number of load reports in it.
	peakTime    = 2 * time.Second
	peakReports = int(peakTime / ident.MinLoadInterval)
	// settleEvery gathers billings into one message for each side process.
	settleEvery = 50 * time.Millisecond
)

// backend is the link to one side process.
type backend struct {
	pool *Pool
	id   ident.Backend
	addr string
	zone ident.Zone
	hash uint64

	member  atomic.Bool // in the platform's list and the gate's subset, not leaving
	running atomic.Int64
	high    atomic.Int64 // most running since the last report
	long    atomic.Int64
	bills   chan struct{}             // has something while settle may have
	asked   atomic.Pointer[time.Time] // first work that no report has followed
	cancel  context.CancelFunc

	mu     sync.Mutex // guards the fields below
	sess   *link.Session
	out    chan *wire.Control // mailbox of the control stream
	settle []*wire.Billing    // to be sent with the next tick
	load   *wire.Load
	heard  time.Time         // time of the last load report
	due    time.Duration     // until the next one
	since  time.Time         // time of the first report after the link came up
	sent   *conf.View        // newest view that was sent on the control stream
	sublet *sublet           // of this session
	peaks  [peakReports]peak // before each of the last reports
	peakAt int
}

// peak is the most attempts of this gate that ran between two load reports.
type peak struct {
	running int64
	at      time.Time
}

func newBackend(p *Pool, id ident.Backend, m conf.Member) *backend {
	b := &backend{pool: p, id: id, addr: m.Addr, zone: m.Zone, hash: xxhash.Sum64String(string(id)), bills: make(chan struct{}, 1)}
	b.member.Store(m.Presence != conf.MemberLeaving)
	return b
}

// usable tells whether the backend server may get new work.
func (b *backend) usable(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fit(now)
}

// fit is usable for a caller that holds mu. Any one of the platform's list,
// the side process's own report, and silence stops new work.
func (b *backend) fit(now time.Time) bool {
	return b.member.Load() && b.sess != nil && b.load != nil && b.load.GetHealthy() && !b.load.GetLeaving() &&
		!b.silent(now)
}

// silent tells whether reports are missing; the caller holds mu. Work makes
// the side process report at once, so one without work has to answer to that.
func (b *backend) silent(now time.Time) bool {
	if asked := b.asked.Load(); asked != nil && now.Sub(*asked) >= ident.ReportTimeout {
		return true
	}
	return now.Sub(b.heard) >= max(ident.MaxMissedReports*b.due, ident.ReportTimeout)
}

// ask notes that a report is due at once.
func (b *backend) ask(now time.Time) { b.asked.CompareAndSwap(nil, &now) }

func (b *backend) session() *link.Session {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sess
}

// keep dials the side process again and again until ctx ends.
func (b *backend) keep(ctx context.Context) {
	wait := redialFirst
	for ctx.Err() == nil {
		sess, err := b.pool.dial(ctx, b.addr)
		if err == nil {
			wait = redialFirst
			err = b.serve(ctx, sess)
		}
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("Link to side process is down", "backend", b.id, "addr", b.addr, "err", err)
		select {
		case <-time.After(wait + rand.N(wait)): // jitter, so that a returning zone is not dialled by all gates at once
		case <-ctx.Done():
		}
		wait = min(2*wait, redialMax)
	}
}

// serve works on one session until it ends.
func (b *backend) serve(ctx context.Context, sess *link.Session) error {
	defer func() { _ = sess.Close() }()
	control, err := sess.Open(wire.Kind_CONTROL)
	if err != nil {
		return err
	}
	out := b.attach(sess)
	defer b.detach()
	g := group.New(ctx)
	g.Go("control", func(ctx context.Context) error { return b.controls(ctx, control) })
	g.Go("mailbox", func(ctx context.Context) error { return b.post(ctx, control, out) })
	g.Go("accept", func(ctx context.Context) error { return b.accept(ctx, sess) })
	g.Go("close", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-sess.Done():
		}
		_ = sess.Close() // unblocks the other tasks
		g.Stop()
		return nil
	})
	return g.Wait()
}

func (b *backend) attach(sess *link.Session) <-chan *wire.Control {
	out := make(chan *wire.Control, mailbox)
	b.mu.Lock()
	b.sess, b.out, b.load, b.sent, b.settle = sess, out, nil, nil, nil
	b.since, b.sublet = time.Time{}, &sublet{}
	b.asked.Store(nil)
	b.mu.Unlock()
	return out
}

func (b *backend) detach() {
	b.mu.Lock()
	b.sess, b.out, b.load, b.settle = nil, nil, nil, nil
	b.mu.Unlock()
	b.pool.refresh()
}

// controls answers the messages of the side process on the control stream.
func (b *backend) controls(ctx context.Context, control *link.Stream) error {
	for {
		_ = control.SetDeadline(time.Now().Add(ident.LinkTimeout))
		var m wire.Control
		if err := control.Recv(&m); err != nil {
			return err
		}
		switch k := m.GetKind().(type) {
		case *wire.Control_Renew:
			if l := k.Renew.GetLoad(); l != nil {
				b.report(l, time.Duration(k.Renew.GetDue())*time.Millisecond)
			}
			b.grant(k.Renew)
		case *wire.Control_Load:
			b.report(k.Load, 0)
		case *wire.Control_Records:
			b.adopt(ctx, k.Records.GetRecords())
		case *wire.Control_Grant, *wire.Control_Settled, nil:
			klog.V(1).InfoS("Unexpected message on a control stream", "backend", b.id)
		}
	}
}

// grant answers a renewal. The sub-lease ends before the gate's own lease,
// also when the clock of the side process runs slow.
func (b *backend) grant(r *wire.Renew) {
	b.mu.Lock()
	defer b.mu.Unlock()
	view, g := b.pool.sublets.renew(b.sublet, b.pool.state, r)
	// A side process that is ahead has a newer configuration from another gate.
	// One that is behind a view already sent has not read it yet; it would say
	// revision 0 if it could not apply the delta.
	told := ident.Revision(r.GetRevision())
	if told < view.Revision && (b.sent != view || told == 0) {
		g.Delta = b.pool.delta(b.sent, view, told)
	}
	b.sent = view
	b.put(&wire.Control{Kind: &wire.Control_Grant{Grant: g}})
}

// push sends the newest view if the side process has an older one.
func (b *backend) push(view *conf.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.sent
	if sent == nil || sent.Revision == view.Revision {
		return // the first renewal brings the first view
	}
	b.sent = view
	g := &wire.Grant{Revision: uint64(view.Revision), Delta: b.pool.step(sent, view)}
	b.put(&wire.Control{Kind: &wire.Control_Grant{Grant: g}})
}

func (p *Pool) pushAll() {
	view := p.state.View()
	for _, b := range p.index.Load().all {
		b.push(view)
	}
}

// delta returns what a side process lacks that renews at a revision, when
// sent was the last view on its stream. Messages on a stream arrive in order,
// so what was sent is not sent again because a renewal crossed with it. A side
// process that could not apply a difference renews at revision 0.
func (p *Pool) delta(sent, view *conf.View, at ident.Revision) *wire.Delta {
	if sent != nil && at != 0 && sent.Revision == view.Revision {
		return nil // on its way
	}
	if sent != nil && at != 0 {
		at = sent.Revision
	}
	if d, ok := view.DeltaSince(at); ok {
		return d
	}
	return view.FullDelta()
}

// step returns the difference between two views.
func (p *Pool) step(sent, view *conf.View) *wire.Delta {
	p.steps.Lock()
	defer p.steps.Unlock()
	if p.last == nil || p.last.from != sent || p.last.to != view {
		p.last = &step{from: sent, to: view, delta: p.delta(sent, view, sent.Revision)}
	}
	return p.last.delta
}

// report notes a load report and when the next is due; 0 stands for the
// interval of a link with work.
func (b *backend) report(l *wire.Load, due time.Duration) {
	now := time.Now()
	b.mu.Lock()
	l.Fill(b.load)
	b.due = due
	if due <= ident.RenewInterval || b.running.Load() == 0 {
		b.asked.Store(nil) // the report of a link without work may have crossed the work
	}
	changed := b.load == nil || b.load.GetService() != l.GetService() || !sameServed(b.load.GetServed(), l.GetServed())
	if b.since.IsZero() || (b.load != nil && !b.load.GetHealthy() && l.GetHealthy()) {
		b.since = now
	}
	b.load, b.heard = l, now
	b.peaks[b.peakAt] = peak{b.high.Swap(b.running.Load()), now}
	b.peakAt = (b.peakAt + 1) % peakReports
	b.mu.Unlock()
	if changed {
		b.pool.refresh()
	}
}

// foreign is the load that others put on the backend server, as far as the
// report shows it; the caller holds mu. A report is late: it may still count
// attempts of this gate that have ended, and with them subtracted only once
// they would look like the load of others and hold back waiting requests.
func (b *backend) foreign() int {
	own := max(b.running.Load(), b.high.Load())
	for _, p := range b.peaks {
		if b.heard.Sub(p.at) <= peakTime {
			own = max(own, p.running)
		}
	}
	return max(0, int(b.load.GetRunning()+b.load.GetQueued())-int(own))
}

func sameServed(a, b []*wire.Served) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Served) bool {
		return x.GetModel() == y.GetModel() && x.GetVersion() == y.GetVersion()
	})
}

// adopt commits the records that the side process kept for a gate that is
// gone. It is told that they are settled only after the commit.
func (b *backend) adopt(ctx context.Context, records []*wire.Record) {
	if b.pool.adopt == nil || len(records) == 0 {
		return
	}
	// The control stream must not wait for the state cluster, or the load
	// reports behind the records would come too late.
	go func() {
		if err := b.pool.adopt(ctx, records); err != nil {
			klog.V(1).InfoS("Records were not committed; the side process will send them again", "backend", b.id, "err", err)
			return
		}
		list := make([]*wire.Billing, len(records))
		for i, r := range records {
			seq := r.GetBill().GetSequence()
			list[i] = &wire.Billing{Incarnation: r.GetBill().GetIncarnation(), First: seq, Last: seq}
		}
		b.pool.NotifySettled(b.id, list)
	}()
}

// put puts a message in the mailbox; the caller holds mu, so that views are
// sent in their order. A full mailbox means that the side process does not
// read; then the message is dropped, and the next grant carries the whole
// configuration.
func (b *backend) put(m *wire.Control) {
	if b.out == nil {
		return
	}
	select {
	case b.out <- m:
	default:
		b.sent = nil
		klog.V(1).InfoS("Control stream is stalled; a message was dropped", "backend", b.id)
	}
}

// post sends the mailbox, so that a stalled side process holds up nobody.
func (b *backend) post(ctx context.Context, control *link.Stream, out <-chan *wire.Control) error {
	var tick <-chan time.Time // runs only while there is something to settle
	for {
		var m *wire.Control
		select {
		case m = <-out:
		case <-b.bills:
			if tick == nil {
				tick = time.After(settleEvery)
			}
		case <-tick:
			tick = nil
			m = b.settlement()
		case <-ctx.Done():
			return nil
		}
		if m == nil {
			continue
		}
		if err := control.Send(m); err != nil {
			return err
		}
	}
}

func (b *backend) settlement() *wire.Control {
	b.mu.Lock()
	list := b.settle
	b.settle = nil
	b.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	return &wire.Control{Kind: &wire.Control_Settled{Settled: &wire.Settled{Billings: list}}}
}

// settled notes billings for the next settlement message.
func (b *backend) settled(list []*wire.Billing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out != nil {
		b.settle = append(b.settle, list...)
		select {
		case b.bills <- struct{}{}:
		default:
		}
	}
}

// accept serves the streams that the side process opens.
func (b *backend) accept(ctx context.Context, sess *link.Session) error {
	relays := conc.NewWaitGroup()
	defer relays.Wait()
	for {
		st, err := sess.Accept()
		if err != nil {
			return err
		}
		if st.Kind() != wire.Kind_RELAY {
			_ = st.Close()
			continue
		}
		relays.Go(func() { b.relay(ctx, st) })
	}
}

// relay forwards the commands of a side process to the state cluster.
func (b *backend) relay(ctx context.Context, st *link.Stream) {
	defer func() { _ = st.Close() }()
	for {
		var cmd wire.Command
		if err := st.Recv(&cmd); err != nil {
			return
		}
		res, err := b.forward(ctx, &cmd)
		if res == nil { // a refusal by the ledger has a result
			res = &wire.Result{Fault: wire.NewFault(fault.From(err))}
		}
		if err := st.Send(res); err != nil {
			return
		}
	}
}

func (b *backend) forward(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	switch cmd.GetKind().(type) {
	case *wire.Command_Hand, *wire.Command_Finish, *wire.Command_Abort:
		return b.pool.state.Propose(ctx, cmd)
	}
	return nil, fault.New(fault.Forbidden, "a side process may send only hand, finish and abort; use ctl for other commands")
}
