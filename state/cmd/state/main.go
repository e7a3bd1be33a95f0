// Command state runs one process of the state cluster.
package main

import (
	"context"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/group"
	"citronledge.example/core/link"
	"citronledge.example/core/logs"
	"citronledge.example/core/policy"
	"citronledge.example/core/server"
	"citronledge.example/state/node"
	"citronledge.example/state/peer"
	"citronledge.example/state/raft"
	"citronledge.example/state/store"
)

func main() { os.Exit(server.Main("state", os.Args[1:], &settings{})) }

// Serve implements server.Program.
func (s *settings) Serve(ctx context.Context) error {
	if s.hosted {
		defer logs.Start(os.Stdout)()
		debug.SetMemoryLimit(int64(memoryPart * float64(s.site.MemoryLimit)))
		if s.data == "" {
			return s.redirect(ctx)
		}
	}
	p, err := newProcess(s)
	if err != nil {
		return err
	}
	defer p.close()
	return p.frame.Run(ctx, p)
}

// process is the part that the frame runs.
type process struct {
	set       *settings
	frame     *server.Server
	store     *store.Store
	transport *peer.Transport
	raft      *raft.Node
	node      *node.Node
	ln        net.Listener
	link      link.Config
	announced time.Time // last time; used by seek only
}

func newProcess(set *settings) (*process, error) {
	keys, err := link.LoadKeys(set.KeyFile)
	if err != nil {
		return nil, err
	}
	p := &process{set: set, link: link.Config{Name: set.Name, Keys: keys}}
	dir, err := store.OpenFolder(set.data)
	if err != nil {
		return nil, eris.Wrap(err, "cannot use --data; set it to a folder on a disk")
	}
	if p.store, err = store.Open(dir, set.Name); err != nil {
		return nil, err
	}
	if p.ln, err = net.Listen("tcp", set.listen); err != nil {
		p.close()
		return nil, eris.Wrap(err, "cannot listen; set --listen to a free address of this VM")
	}
	cfg := p.link
	p.transport = peer.New(cfg)
	machine := node.NewMachine()
	opts := []raft.Option{
		raft.WithName(set.Name), raft.WithAddress(set.address()), raft.WithStore(p.store),
		raft.WithTransport(p.transport), raft.WithStateMachine(machine), raft.WithInitialMembers(set.peers...),
	}
	if set.join {
		opts = append(opts, raft.WithJoinOnly())
	}
	if set.hosted {
		opts = append(opts, raft.WithTimings(siteTimings))
	}
	if p.raft, err = raft.New(opts...); err != nil {
		p.close()
		return nil, err
	}
	p.frame = server.New(set.Settings, func() any { return p.node.Status() })
	roster := node.WithFixedPeers(p.raft, set.peers...)
	if set.hosted {
		roster = node.WithJoiningVoters(p.raft, set.site.voters())
	}
	p.node, err = node.New(
		node.WithConsensus(p.raft), node.WithMachine(machine), node.WithLink(cfg),
		node.WithRegistry(p.frame.Registry), node.WithMemberListURL(set.members), node.WithRolloutJudge(policy.JudgeStep),
		roster,
		node.WithRaftHandler(func(_ context.Context, st *link.Stream) {
			if err := p.transport.Serve(st); err != nil {
				klog.V(1).InfoS("Stream of a member ended", "member", st.Peer().Name, "err", err)
			}
		}),
	)
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// Run implements server.Part. It is ready once a leader is known.
func (p *process) Run(ctx context.Context, ready func()) error {
	g := group.New(ctx)
	g.Go("consensus", p.raft.Run)
	g.Go("node", func(ctx context.Context) error { return p.node.Run(ctx, p.ln) })
	if p.set.hosted {
		g.Go("operators", func(ctx context.Context) error { return p.set.site.operators(ctx, p.node) })
		g.Go("seat", func(ctx context.Context) error { return p.seek(ctx, p.link) })
	}
	g.Go("readiness", func(ctx context.Context) error {
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			if _, ok := p.raft.Leader(); ok {
				ready()
				return nil
			}
			select {
			case <-tick.C:
			case <-ctx.Done():
				return nil
			}
		}
	})
	klog.InfoS("State process started", "name", p.set.Name, "zone", p.set.Zone, "listen", p.ln.Addr().String(), "disk", p.store.DiskID())
	return g.Wait()
}

// Drain implements server.Part. It hands leadership over, so that a planned
// stop costs no election.
func (p *process) Drain(ctx context.Context) []string {
	if !p.raft.HoldsLease() {
		return nil
	}
	if err := p.raft.TransferLeadership(ctx); err != nil {
		klog.InfoS("Leadership not handed over; the others elect a leader", "err", err)
	}
	return nil
}

func (p *process) close() {
	if p.transport != nil {
		p.transport.Close()
	}
	if p.ln != nil {
		_ = p.ln.Close()
	}
	if err := p.store.Close(); err != nil {
		klog.ErrorS(err, "Data folder not closed")
	}
}
