package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

const (
	// silentTime ends a control stream whose holder neither renews nor reads.
	silentTime = 2 * ident.LeaseDuration
	// proposeTime bounds a proposal; its outcome is unknown afterwards.
	proposeTime = 5 * time.Second
	// fullRetry is the suggested wait while a disk is full.
	fullRetry = 5 * time.Second
)

// control serves one stream of renewals and pushes deltas on it.
func (n *Node) control(ctx context.Context, st *link.Stream) {
	_ = st.SetDeadline(time.Now().Add(silentTime))
	var r wire.Renew
	if err := st.Recv(&r); err != nil {
		return
	}
	e, err := n.leading(ctx)
	if err != nil {
		_ = st.Send(&wire.Grant{Seq: r.GetSeq(), Fault: faultOf(err)})
		return
	}
	p := &pusher{n: n, st: st, sent: applied(&r)}
	if err := p.push(n.renew(e, &r)); err != nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { p.run(ctx) })
	for {
		if err := st.Recv(&r); err != nil {
			return
		}
		_ = st.SetDeadline(time.Now().Add(silentTime))
		grant := n.renew(e, &r)
		if err := st.Send(grant); err != nil || grant.GetFault() != nil {
			return
		}
	}
}

// pusher sends the deltas of one control stream in order.
type pusher struct {
	n    *Node
	st   *link.Stream
	sent uint64 // revision that the receiver has or that is on its way to it
}

// push adds what the receiver lacks to a grant and sends it.
func (p *pusher) push(g *wire.Grant) error {
	if d := p.n.deltas.get(p.sent); g.GetFault() == nil && (d.GetFull() || d.GetRevision() > p.sent) {
		g.Delta, g.Revision, p.sent = d, d.GetRevision(), d.GetRevision()
	}
	return p.st.Send(g)
}

func (p *pusher) run(ctx context.Context) {
	for {
		changed := p.n.machine.Changed()
		if p.n.ledger.Revision() > p.sent {
			if err := p.push(&wire.Grant{}); err != nil {
				_ = p.st.Close()
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// commands serves one stream of commands, one after the other.
func (n *Node) commands(ctx context.Context, st *link.Stream) {
	for {
		var c wire.Command
		if err := st.Recv(&c); err != nil {
			return
		}
		r, err := n.command(ctx, st.Peer(), &c)
		if err != nil {
			f := faultOf(err)
			if f == nil {
				return // the outcome is unknown: the end of the stream says so
			}
			r = &wire.Result{Fault: f}
		}
		if err := st.Send(r); err != nil {
			return
		}
	}
}

// command checks the role of the sender and has a command committed.
func (n *Node) command(ctx context.Context, peer link.Peer, c *wire.Command) (*wire.Result, error) {
	switch {
	case peer.Role == link.RoleOperator:
		c.Actor = peer.KeyName // the audit trail names who proved to hold the key
	case c.GetActor() == "":
		c.Actor = peer.Name
	}
	switch c.GetKind().(type) {
	case *wire.Command_Change, *wire.Command_Settle:
	case *wire.Command_Batch, *wire.Command_Members:
		return nil, fault.New(fault.Forbidden, "batches and members are proposed by the leader only; send the commands one by one")
	default:
		if peer.Role != link.RoleProcess {
			return nil, fault.New(fault.Forbidden, "the key "+peer.KeyName+" is an operator's; it may propose changes and settlements only")
		}
	}
	switch c.GetKind().(type) {
	case *wire.Command_Bills, *wire.Command_Pin:
		return n.batch.do(ctx, c)
	}
	return n.propose(ctx, c)
}

// propose stamps a command with the leader's time and has it committed.
func (n *Node) propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	e, err := n.leading(ctx)
	if err != nil {
		return nil, err
	}
	if _, ok := c.GetKind().(*wire.Command_Settle); ok {
		// Times of the predecessor came from another clock. After this wait
		// no side process can still act on a hand-over of its time.
		if wait := time.Until(e.elected.Add(ident.GuardedHandTimeout)); wait > 0 {
			return nil, fault.New(fault.Busy, "the leader is new; settle again after the suggested time").WithRetryAfter(wait)
		}
	}
	c.Time = e.time()
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the command cannot be encoded; check its strings")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()
	start := time.Now()
	result, err := n.cons.Propose(ctx, data)
	n.metrics.proposed(c, err, time.Since(start))
	if err != nil {
		return nil, err
	}
	var r wire.Result
	return &r, proto.Unmarshal(result, &r)
}

// faultOf returns the fault to answer with, or nil if the outcome of the
// command is unknown. Unavailable says that the command was not accepted here
// and may be sent elsewhere.
func faultOf(err error) *wire.Fault {
	var (
		not  raft.NotLeader
		full raft.DiskFull
		stop raft.Stopped
		f    *fault.Fault
	)
	switch {
	case errors.As(err, &f):
		return wire.NewFault(f)
	case errors.As(err, &not):
		w := wire.NewFault(fault.New(fault.Unavailable, not.Error()))
		w.Leader = not.Leader.Addr
		return w
	case errors.As(err, &full):
		return wire.NewFault(fault.New(fault.Busy, full.Error()).WithRetryAfter(fullRetry))
	case errors.As(err, &stop):
		return wire.NewFault(fault.New(fault.Unavailable, stop.Error()))
	}
	klog.V(1).InfoS("Outcome of a command is unknown", "err", err)
	return nil
}

// batcher joins the bills and pins that arrive while a proposal is on its way
// into the next one.
type batcher struct {
	propose func(context.Context, *wire.Command) (*wire.Result, error)

	mu      sync.Mutex
	waiting []*ask
	running bool
}

type ask struct {
	c    *wire.Command
	done chan struct{}
	r    *wire.Result
	err  error
}

// mostBatch bounds the commands in one log record, so that one record does
// not hold up the others for long.
const mostBatch = 256

func (b *batcher) do(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	a := &ask{c: c, done: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, a)
	start := !b.running
	b.running = true
	b.mu.Unlock()
	if start {
		// The batch belongs to several senders, so it outlives this one.
		go b.run(context.WithoutCancel(ctx))
	}
	select {
	case <-a.done:
		return a.r, a.err
	case <-ctx.Done():
		return nil, raft.OutcomeUnknown{Cause: ctx.Err()}
	}
}

func (b *batcher) run(ctx context.Context) {
	for {
		b.mu.Lock()
		n := min(len(b.waiting), mostBatch)
		list := b.waiting[:n:n]
		b.waiting = b.waiting[n:]
		b.running = n > 0
		b.mu.Unlock()
		if n == 0 {
			return
		}
		b.send(ctx, list)
	}
}

func (b *batcher) send(ctx context.Context, list []*ask) {
	if len(list) == 1 {
		list[0].r, list[0].err = b.propose(ctx, list[0].c)
		close(list[0].done)
		return
	}
	batch := &wire.Batch{}
	for _, a := range list {
		batch.Commands = append(batch.Commands, a.c)
	}
	r, err := b.propose(ctx, &wire.Command{Kind: &wire.Command_Batch{Batch: batch}})
	results := r.GetResults().GetResults()
	if err == nil && len(results) != len(list) {
		err = fault.New(fault.Internal, "a batch was answered in part; upgrade all state processes")
	}
	for i, a := range list {
		if a.err = err; err == nil {
			a.r = results[i]
		}
		close(a.done)
	}
}
