// Command state runs one process of the state cluster.
package main

import (
	"context"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
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
	if s.onPlatform {
		defer logs.Start(os.Stdout)()
		debug.SetMemoryLimit(int64(heapShare * float64(s.node.MemoryLimit)))
		if s.dataDir == "" {
			return s.runRedirector(ctx)
		}
	}
	p, err := newProcess(s)
	if err != nil {
		return err
	}
	defer p.close()
	return p.frame.Run(ctx, p)
}

// process is the server.Part of a state process with a data folder.
type process struct {
	settings      *settings
	frame         *server.Server
	store         *store.Store
	transport     *peer.Transport
	raft          *raft.Node
	node          *node.Node
	ln            net.Listener
	link          link.Config
	lastAnnounced time.Time // used by seekMembership only, without a lock
	stopping      atomic.Bool
}

func newProcess(set *settings) (*process, error) {
	keys, err := link.LoadKeys(set.KeyFile)
	if err != nil {
		return nil, err
	}
	p := &process{settings: set, link: link.Config{Name: set.Name, Keys: keys}}
	dir, err := store.OpenFolder(set.dataDir)
	if err != nil {
		return nil, eris.Wrap(err, "cannot use --data; set it to a folder on a disk")
	}
	if p.store, err = store.Open(dir, set.Name); err != nil {
		return nil, err
	}
	if p.ln, err = net.Listen("tcp", set.listenAddr); err != nil {
		p.close()
		return nil, eris.Wrap(err, "cannot listen; set --listen to a free address of this VM")
	}
	cfg := p.link
	p.transport = peer.New(cfg)
	machine := node.NewMachine()
	opts := []raft.Option{
		raft.WithName(set.Name), raft.WithAddress(set.ownAddr()), raft.WithStore(p.store),
		raft.WithTransport(p.transport), raft.WithStateMachine(machine), raft.WithInitialMembers(set.peers...),
	}
	if set.join {
		opts = append(opts, raft.WithJoinOnly())
	}
	if set.onPlatform {
		opts = append(opts, raft.WithTimings(platformTimings))
	}
	if p.raft, err = raft.New(opts...); err != nil {
		p.close()
		return nil, err
	}
	p.frame = server.New(set.Settings, func() any { return p.node.Status() })
	membership := node.WithFixedPeers(p.raft, set.peers...)
	if set.onPlatform {
		membership = node.WithJoiningVoters(p.raft, set.node.voterCount())
	}
	p.node, err = node.New(
		node.WithConsensus(p.raft), node.WithMachine(machine), node.WithLink(cfg),
		node.WithRegistry(p.frame.Registry), node.WithMemberListURL(set.memberListURL), node.WithRolloutJudge(policy.JudgeStep),
		membership,
		node.WithRaftHandler(func(_ context.Context, st *link.Stream) {
			if err := p.transport.Serve(st); err != nil {
				klog.V(1).InfoS("Raft stream of a member ended", "member", st.Peer().Name, "err", err)
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
	if p.settings.onPlatform {
		g.Go("operators", func(ctx context.Context) error { return p.settings.node.serveOperators(ctx, p.node) })
		g.Go("seat", func(ctx context.Context) error { return p.seekMembership(ctx, p.link) })
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
	klog.InfoS("State process started", "name", p.settings.Name, "zone", p.settings.Zone, "listen", p.ln.Addr().String(), "disk", p.store.DiskID())
	return g.Wait()
}

// Drain implements server.Part. It transfers leadership, so that a planned stop
// does not have to wait for an election, and gives up the vote of this process
// where the others bear more losses without it: the process may never return.
func (p *process) Drain(ctx context.Context) []string {
	p.stopping.Store(true)
	if p.raft.HoldsLease() {
		if err := p.raft.TransferLeadership(ctx); err != nil {
			klog.InfoS("Leadership not transferred; the other voters elect a leader", "err", err)
			return nil
		}
	}
	if p.settings.onPlatform {
		p.giveUpVote(ctx)
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
