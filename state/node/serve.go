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
	// controlIdleTimeout ends a control stream whose holder neither renews nor
	// reads.
	controlIdleTimeout = 2 * ident.LeaseDuration
	// proposeTimeout limits a proposal; its outcome is unknown afterwards.
	proposeTimeout = 5 * time.Second
	// diskFullRetryAfter is the suggested delay of a retry while a disk is
	// full.
	diskFullRetryAfter = 5 * time.Second
)

// serveControl serves the renewals of one control stream and pushes deltas on
// it.
func (n *Node) serveControl(ctx context.Context, st *link.Stream) {
	_ = st.SetDeadline(time.Now().Add(controlIdleTimeout))
	var r wire.Renew
	if err := st.Recv(&r); err != nil {
		return
	}
	e, err := n.currentEpoch(ctx)
	if err != nil {
		_ = st.Send(&wire.Grant{Seq: r.GetSeq(), Fault: faultOf(err)})
		return
	}
	p := &pusher{n: n, st: st, sentRevision: appliedRevision(&r), packs: r.GetUnpacks()}
	if err := p.push(n.renewLease(e, &r)); err != nil {
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
		_ = st.SetDeadline(time.Now().Add(controlIdleTimeout))
		grant := n.renewLease(e, &r)
		if err := st.Send(grant); err != nil || grant.GetFault() != nil {
			return
		}
	}
}

// pusher pushes deltas on one control stream in order.
type pusher struct {
	n            *Node
	st           *link.Stream
	sentRevision uint64 // revision that the receiver has or that was sent to it
	packs        bool   // the receiver accepts packed deltas
}

// push adds the delta that the receiver lacks to a grant and sends the grant.
func (p *pusher) push(g *wire.Grant) error {
	if d := p.n.deltas.get(p.sentRevision, p.packs); g.GetFault() == nil && (d.GetFull() || d.GetRevision() > p.sentRevision) {
		g.Delta, g.Revision, p.sentRevision = d, d.GetRevision(), d.GetRevision()
	}
	return p.st.Send(g)
}

// run pushes each new revision until ctx is done or sending fails.
func (p *pusher) run(ctx context.Context) {
	for {
		changed := p.n.machine.Changed()
		if p.n.ledger.Revision() > p.sentRevision {
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

// serveCommands serves the commands of one stream, one after the other.
func (n *Node) serveCommands(ctx context.Context, st *link.Stream) {
	for {
		var c wire.Command
		if err := st.Recv(&c); err != nil {
			return
		}
		r, err := n.handleCommand(ctx, st.Peer(), &c)
		if err != nil {
			f := faultOf(err)
			if f == nil {
				return // the end of the stream signals an unknown outcome
			}
			r = &wire.Result{Fault: f}
		}
		if err := st.Send(r); err != nil {
			return
		}
	}
}

// handleCommand checks that the role of the sender allows a command and has it
// committed.
func (n *Node) handleCommand(ctx context.Context, peer link.Peer, c *wire.Command) (*wire.Result, error) {
	switch {
	case peer.Role == link.RoleOperator:
		c.Actor = peer.KeyName // the audit trail names the key that was proven in the handshake
	case c.GetActor() == "":
		c.Actor = peer.Name
	}
	switch c.GetKind().(type) {
	case *wire.Command_Change, *wire.Command_Settle, *wire.Command_Evacuate:
	case *wire.Command_Batch, *wire.Command_Members:
		return nil, fault.New(fault.Forbidden, "batches and members are proposed by the leader only; send the commands one by one")
	default:
		if peer.Role != link.RoleProcess {
			return nil, fault.New(fault.Forbidden, "the key "+peer.KeyName+" is an operator's; it may propose changes, settlements and evacuations only")
		}
	}
	switch c.GetKind().(type) {
	case *wire.Command_Bills, *wire.Command_Pin:
		return n.batcher.submit(ctx, c)
	}
	return n.propose(ctx, c)
}

// propose stamps a command with the leader's time and has it committed.
func (n *Node) propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	e, err := n.currentEpoch(ctx)
	if err != nil {
		return nil, err
	}
	if _, ok := c.GetKind().(*wire.Command_Settle); ok {
		// The predecessor set times by another clock. After this wait no side
		// process can still act on a hand-over from that time.
		if wait := time.Until(e.elected.Add(ident.GuardedHandTimeout)); wait > 0 {
			return nil, fault.New(fault.Busy, "the leader is new; settle again after the suggested time").WithRetryAfter(wait)
		}
	}
	c.Time = e.commandTime()
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the command cannot be encoded; check its strings")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := time.Now()
	result, err := n.consensus.Propose(ctx, data)
	n.metrics.observeProposal(c, err, time.Since(start))
	if err != nil {
		return nil, err
	}
	var r wire.Result
	return &r, proto.Unmarshal(result, &r)
}

// faultOf returns the fault to answer with, or nil if the outcome of the
// command is unknown. Unavailable means that the command was not accepted here
// and may be sent to another process.
func faultOf(err error) *wire.Fault {
	var (
		notLeader raft.NotLeader
		full      raft.DiskFull
		stopped   raft.Stopped
		f         *fault.Fault
	)
	switch {
	case errors.As(err, &f):
		return wire.NewFault(f)
	case errors.As(err, &notLeader):
		w := wire.NewFault(fault.New(fault.Unavailable, notLeader.Error()))
		w.Leader = notLeader.Leader.Addr
		return w
	case errors.As(err, &full):
		return wire.NewFault(fault.New(fault.Busy, full.Error()).WithRetryAfter(diskFullRetryAfter))
	case errors.As(err, &stopped):
		return wire.NewFault(fault.New(fault.Unavailable, stopped.Error()))
	}
	klog.V(1).InfoS("Outcome of a command is unknown", "err", err)
	return nil
}

// batcher collects the bills and pins that arrive during a proposal and
// proposes them in one batch.
type batcher struct {
	propose func(context.Context, *wire.Command) (*wire.Result, error)

	mu      sync.Mutex
	queued  []*batchedCommand
	running bool
}

// batchedCommand is a command with its result, which is set when done is
// closed.
type batchedCommand struct {
	command *wire.Command
	done    chan struct{}
	result  *wire.Result
	err     error
}

// maxBatchCommands limits the commands in one log record, so that one record
// does not delay the others for long.
const maxBatchCommands = 256

// submit adds a command to the next batch and waits for its result.
func (b *batcher) submit(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	bc := &batchedCommand{command: c, done: make(chan struct{})}
	b.mu.Lock()
	b.queued = append(b.queued, bc)
	start := !b.running
	b.running = true
	b.mu.Unlock()
	if start {
		// The batch belongs to several senders, so it must not end with the
		// context of this one.
		go b.run(context.WithoutCancel(ctx))
	}
	select {
	case <-bc.done:
		return bc.result, bc.err
	case <-ctx.Done():
		return nil, raft.OutcomeUnknown{Cause: ctx.Err()}
	}
}

func (b *batcher) run(ctx context.Context) {
	for {
		b.mu.Lock()
		n := min(len(b.queued), maxBatchCommands)
		list := b.queued[:n:n]
		b.queued = b.queued[n:]
		b.running = n > 0
		b.mu.Unlock()
		if n == 0 {
			return
		}
		b.send(ctx, list)
	}
}

func (b *batcher) send(ctx context.Context, list []*batchedCommand) {
	if len(list) == 1 {
		list[0].result, list[0].err = b.propose(ctx, list[0].command)
		close(list[0].done)
		return
	}
	batch := &wire.Batch{}
	for _, bc := range list {
		batch.Commands = append(batch.Commands, bc.command)
	}
	r, err := b.propose(ctx, &wire.Command{Kind: &wire.Command_Batch{Batch: batch}})
	results := r.GetResults().GetResults()
	if err == nil && len(results) != len(list) {
		err = fault.New(fault.Internal, "a batch was answered in part; upgrade all state processes")
	}
	for i, bc := range list {
		if bc.err = err; err == nil {
			bc.result = results[i]
		}
		close(bc.done)
	}
}
