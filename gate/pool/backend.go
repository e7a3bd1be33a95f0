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
	redialMinDelay = 100 * time.Millisecond
	redialMaxDelay = 2 * time.Second
	// outboxSize limits the messages queued for one control stream.
	outboxSize = 64
	// peakWindow is how far back the peaks of the gate's own attempts count, and
	// peakReports the number of load reports in that time.
	peakWindow  = 2 * time.Second
	peakReports = int(peakWindow / ident.MinLoadInterval)
	// settleInterval is how long billings are collected for one message to a
	// side process.
	settleInterval = 50 * time.Millisecond
)

// backend is the link to one side process.
type backend struct {
	pool *Pool
	id   ident.Backend
	addr string
	zone ident.Zone
	hash uint64

	listed             atomic.Bool // in the platform's list and the gate's subset, not leaving
	running            atomic.Int64
	peakRunning        atomic.Int64 // maximum of running since the last load report
	longRunning        atomic.Int64
	settleSignal       chan struct{}             // signals that settledBillings may have entries
	reportAwaitedSince atomic.Pointer[time.Time] // first work that no load report has followed; nil if none
	cancel             context.CancelFunc

	mu              sync.Mutex // guards the fields below
	sess            *link.Session
	outbox          chan *wire.Control // messages for the control stream
	settledBillings []*wire.Billing    // for the next settlement message
	load            *wire.Load
	reportedAt      time.Time         // time of the last load report
	reportDue       time.Duration     // announced time until the next load report
	healthySince    time.Time         // time of the first load report, or of the first healthy one after a failure
	sentView        *conf.View        // newest view sent on the control stream; nil if unknown
	sublease        *sublease         // of this session
	peaks           [peakReports]peak // before each of the last load reports
	peakNext        int
}

// peak is the maximum number of this gate's attempts that ran at the same time
// between two load reports.
type peak struct {
	running int64
	at      time.Time
}

func newBackend(p *Pool, id ident.Backend, m conf.Member) *backend {
	b := &backend{pool: p, id: id, addr: m.Addr, zone: m.Zone, hash: xxhash.Sum64String(string(id)), settleSignal: make(chan struct{}, 1)}
	b.listed.Store(m.Presence != conf.MemberLeaving)
	return b
}

// isUsable reports whether the backend server may get new work.
func (b *backend) isUsable(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isUsableLocked(now)
}

// isUsableLocked is isUsable with mu held. Each of the platform's list, the side
// process's own report and a lack of reports is enough to stop new work.
func (b *backend) isUsableLocked(now time.Time) bool {
	return b.listed.Load() && b.sess != nil && b.load != nil && b.load.GetHealthy() && !b.load.GetLeaving() &&
		!b.isSilent(now)
}

// isSilent reports whether load reports are overdue. It must be called with mu
// held. New work makes an idle side process report at once, so silence after it
// counts from the time of that work.
func (b *backend) isSilent(now time.Time) bool {
	if since := b.reportAwaitedSince.Load(); since != nil && now.Sub(*since) >= ident.ReportTimeout {
		return true
	}
	return now.Sub(b.reportedAt) >= max(ident.MaxMissedReports*b.reportDue, ident.ReportTimeout)
}

// awaitReport records that new work was sent, which makes a load report due.
func (b *backend) awaitReport(now time.Time) { b.reportAwaitedSince.CompareAndSwap(nil, &now) }

func (b *backend) session() *link.Session {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sess
}

// keepLinked maintains the link until ctx ends, redialling with a growing delay.
func (b *backend) keepLinked(ctx context.Context) {
	wait := redialMinDelay
	for ctx.Err() == nil {
		sess, err := b.pool.dial(ctx, b.addr)
		if err == nil {
			wait = redialMinDelay
			err = b.serve(ctx, sess)
		}
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("Link to side process is down", "backend", b.id, "addr", b.addr, "err", err)
		select {
		case <-time.After(wait + rand.N(wait)): // jitter, so that not all gates dial a recovered zone at once
		case <-ctx.Done():
		}
		wait = min(2*wait, redialMaxDelay)
	}
}

// serve runs one session until it ends.
func (b *backend) serve(ctx context.Context, sess *link.Session) error {
	defer func() { _ = sess.Close() }()
	control, err := sess.Open(wire.Kind_CONTROL)
	if err != nil {
		return err
	}
	out := b.attach(sess)
	defer b.detach()
	g := group.New(ctx)
	g.Go("control", func(ctx context.Context) error { return b.handleControl(ctx, control) })
	g.Go("mailbox", func(ctx context.Context) error { return b.sendOutbox(ctx, control, out) })
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
	out := make(chan *wire.Control, outboxSize)
	b.mu.Lock()
	b.sess, b.outbox, b.load, b.sentView, b.settledBillings = sess, out, nil, nil, nil
	b.healthySince, b.sublease = time.Time{}, &sublease{}
	b.reportAwaitedSince.Store(nil)
	b.mu.Unlock()
	return out
}

func (b *backend) detach() {
	b.mu.Lock()
	b.sess, b.outbox, b.load, b.settledBillings = nil, nil, nil, nil
	b.mu.Unlock()
	b.pool.refreshIndex()
}

// handleControl handles the messages of the side process on the control stream.
func (b *backend) handleControl(ctx context.Context, control *link.Stream) error {
	for {
		_ = control.SetDeadline(time.Now().Add(ident.LinkTimeout))
		var m wire.Control
		if err := control.Recv(&m); err != nil {
			return err
		}
		switch k := m.GetKind().(type) {
		case *wire.Control_Renew:
			if l := k.Renew.GetLoad(); l != nil {
				b.recordLoad(l, time.Duration(k.Renew.GetDue())*time.Millisecond)
			}
			b.answerRenewal(k.Renew)
		case *wire.Control_Load:
			b.recordLoad(k.Load, 0)
		case *wire.Control_Records:
			b.commitRecords(ctx, k.Records.GetRecords())
		case *wire.Control_Grant, *wire.Control_Settled, nil:
			klog.V(1).InfoS("Unexpected message on a control stream", "backend", b.id)
		}
	}
}

// answerRenewal sends the grant for a renewal. The sublease ends before the
// gate's own lease even if the clock of the side process runs slow.
func (b *backend) answerRenewal(r *wire.Renew) {
	b.mu.Lock()
	defer b.mu.Unlock()
	view, g := b.pool.subleases.grant(b.sublease, b.pool.state, r)
	// A side process that is ahead got a newer configuration from another gate.
	// One that is behind a view already sent has not received it yet; it would
	// renew at revision 0 if it could not apply the delta.
	reported := ident.Revision(r.GetRevision())
	if reported < view.Revision && (b.sentView != view || reported == 0) {
		g.Delta = b.pool.deltaSince(b.sentView, view, reported)
	}
	b.sentView = view
	b.enqueue(&wire.Control{Kind: &wire.Control_Grant{Grant: g}})
}

// pushView sends the change to view unless it was already sent.
func (b *backend) pushView(view *conf.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.sentView
	if sent == nil || sent.Revision == view.Revision {
		return // the first renewal brings the first view
	}
	b.sentView = view
	g := &wire.Grant{Revision: uint64(view.Revision), Delta: b.pool.pushDelta(sent, view)}
	b.enqueue(&wire.Control{Kind: &wire.Control_Grant{Grant: g}})
}

func (p *Pool) pushViewToAll() {
	view := p.state.View()
	for _, b := range p.index.Load().byID {
		b.pushView(view)
	}
}

// deltaSince returns the delta to view for a side process that renews at
// revision at, where sent is the last view sent on its stream. Messages on a
// stream arrive in order, so a view is not sent again if a renewal crossed with
// it. A side process that could not apply a delta renews at revision 0.
func (p *Pool) deltaSince(sent, view *conf.View, at ident.Revision) *wire.Delta {
	if sent != nil && at != 0 && sent.Revision == view.Revision {
		return nil // already sent
	}
	if sent != nil && at != 0 {
		at = sent.Revision
	}
	if d, ok := view.DeltaSince(at); ok {
		return d
	}
	return view.FullDelta()
}

// pushDelta returns the delta between two views. The last one is cached, since
// all links need the same one.
func (p *Pool) pushDelta(sent, view *conf.View) *wire.Delta {
	p.deltaMu.Lock()
	defer p.deltaMu.Unlock()
	if p.lastDelta == nil || p.lastDelta.from != sent || p.lastDelta.to != view {
		p.lastDelta = &viewDelta{from: sent, to: view, delta: p.deltaSince(sent, view, sent.Revision)}
	}
	return p.lastDelta.delta
}

// recordLoad stores a load report and the time until the next one; 0 means the
// interval of a link with work.
func (b *backend) recordLoad(l *wire.Load, due time.Duration) {
	if b.storeLoad(l, due, time.Now()) {
		b.pool.refreshIndex()
	}
}

// storeLoad stores a load report, and reports whether the backend server serves
// something else than before.
func (b *backend) storeLoad(l *wire.Load, due time.Duration, now time.Time) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Fill(b.load)
	b.reportDue = due
	if due <= ident.RenewInterval || b.running.Load() == 0 {
		b.reportAwaitedSince.Store(nil) // the report of an idle link may have crossed with the work
	}
	changed = b.load == nil || b.load.GetService() != l.GetService() || !sameServed(b.load.GetServed(), l.GetServed())
	if b.healthySince.IsZero() || (b.load != nil && !b.load.GetHealthy() && l.GetHealthy()) {
		b.healthySince = now
	}
	b.load, b.reportedAt = l, now
	b.peaks[b.peakNext] = peak{b.peakRunning.Swap(b.running.Load()), now}
	b.peakNext = (b.peakNext + 1) % peakReports
	return changed
}

// foreignLoad returns the load that other gates put on the backend server, as
// far as the load report shows it. It must be called with mu held. A report is
// out of date: it may still count attempts of this gate that have ended. So the
// gate's own peak of the last peakWindow is subtracted; otherwise ended attempts
// would look like foreign load and hold back queued requests.
func (b *backend) foreignLoad() int {
	own := max(b.running.Load(), b.peakRunning.Load())
	for _, p := range b.peaks {
		if b.reportedAt.Sub(p.at) <= peakWindow {
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

// commitRecords commits the usage records that the side process kept for a gate
// that no longer runs. The side process is notified only after the commit.
func (b *backend) commitRecords(ctx context.Context, records []*wire.Record) {
	if b.pool.commitRecords == nil || len(records) == 0 {
		return
	}
	// Handling of the control stream must not wait for the state cluster, or the
	// load reports after the records would be handled too late.
	go func() {
		if err := b.pool.commitRecords(ctx, records); err != nil {
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

// enqueue adds a message to the outbox. It must be called with mu held, so that
// views are sent in order. If the side process doesn't read and the outbox is
// full, the message is dropped, and the next grant carries the whole
// configuration.
func (b *backend) enqueue(m *wire.Control) {
	if b.outbox == nil {
		return
	}
	select {
	case b.outbox <- m:
	default:
		b.sentView = nil
		klog.V(1).InfoS("Control stream is stalled; a message was dropped", "backend", b.id)
	}
}

// sendOutbox sends the messages of the outbox, so that only this task blocks on
// a stalled side process.
func (b *backend) sendOutbox(ctx context.Context, control *link.Stream, out <-chan *wire.Control) error {
	var tick <-chan time.Time // nil while there is nothing to settle
	for {
		var m *wire.Control
		select {
		case m = <-out:
		case <-b.settleSignal:
			if tick == nil {
				tick = time.After(settleInterval)
			}
		case <-tick:
			tick = nil
			m = b.takeSettlement()
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

func (b *backend) takeSettlement() *wire.Control {
	b.mu.Lock()
	list := b.settledBillings
	b.settledBillings = nil
	b.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	return &wire.Control{Kind: &wire.Control_Settled{Settled: &wire.Settled{Billings: list}}}
}

// addSettled adds billings to the next settlement message.
func (b *backend) addSettled(list []*wire.Billing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.outbox != nil {
		b.settledBillings = append(b.settledBillings, list...)
		select {
		case b.settleSignal <- struct{}{}:
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
		if res == nil { // a refusal by the ledger comes with a result
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
