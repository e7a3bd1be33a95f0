package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/client"
	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/intake"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/platform"
	"citronledge.example/state/node"
	"citronledge.example/state/raft"
	"citronledge.example/state/store"
)

const (
	// heapShare is the share of the process's memory limit for the heap; the
	// rest is for stacks, the runtime and socket buffers.
	heapShare = 0.6
	// stopShare is the share of the time between SIGTERM and SIGKILL that a
	// planned stop may take.
	stopShare = 0.85
	// operatorTimeout bounds reading the header of an operator's request, the time
	// until the next one, and carrying out a request and writing its answer.
	operatorTimeout = 10 * time.Second
	// operatorWriteTimeout also covers the time in which a body may arrive.
	operatorWriteTimeout = 2 * operatorTimeout
	// maxOperatorConns limits the connections of operators, who have up to eight
	// requests in progress; the rest is for connections without a request.
	maxOperatorConns = 64
	// maxOperatorHeaderBytes limits the header of an operator's request.
	maxOperatorHeaderBytes = 16 << 10
	// announceInterval is the interval at which a member announces itself to the
	// seeds without a disk, and announceTimeout bounds one attempt.
	announceInterval = time.Second
	announceTimeout  = 300 * time.Millisecond
)

// platformTimings allow for VMs with a fraction of a core: a follower that
// waits for CPU time or its disk must not conclude that the leader is lost.
var platformTimings = raft.Timings{HeartbeatInterval: 75 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond}

// platformNode holds the settings of this process from the users' platform.
type platformNode struct{ platform.Node }

// applyPlatform fills the settings from the platform's settings file.
func (s *settings) applyPlatform() error {
	n, err := platform.ReadNode()
	if err != nil {
		return err
	}
	if n.OperatorAddr == "" {
		return eris.New("the platform's settings give this process no address for operators; set listen.control-plane for state processes")
	}
	s.node = &platformNode{Node: n}
	s.Zone, s.dataDir, s.GracePeriod, s.DrainTimeout = string(n.Zone), n.DataDir, 0, time.Duration(stopShare*float64(n.Bounds.StopTimeout))
	s.listenAddr = s.node.internalAddr(n.IP)
	s.reachAddr = cmp.Or(s.advertiseAddr, s.listenAddr)
	if _, port, err := net.SplitHostPort(s.AdminAddr); err == nil {
		s.AdminAddr = net.JoinHostPort(n.IP, port)
	}
	if n.DataDir == "" {
		s.Name = s.reachAddr
		return nil
	}
	return s.chooseMembership()
}

func (n *platformNode) internalAddr(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(n.FirstPort))
}

// chooseMembership decides the name of this member and whether it bootstraps
// the cluster. A bootstrapping member is named by its address, any other by its
// address and a random suffix, so that a process with an empty disk never
// reuses the name of a member whose disk was lost.
func (s *settings) chooseMembership() error {
	dir, err := store.OpenFolder(s.dataDir)
	if err != nil {
		return eris.Wrap(err, "cannot use the data folder")
	}
	if s.Name, err = store.MemberName(dir); err != nil {
		return err
	}
	switch {
	case s.Name != "":
	case s.node.Bootstrap:
		s.Name = s.reachAddr
	default:
		s.Name = s.reachAddr + "/" + rand.Text()[:8]
	}
	s.join = true
	if s.Name == s.reachAddr {
		for _, seed := range s.node.SeedHosts {
			addr := s.node.internalAddr(seed)
			s.peers = append(s.peers, raft.Member{Name: addr, Addr: addr, Voter: true})
			s.join = s.join && addr != s.reachAddr
		}
	}
	if s.join {
		s.peers = nil // other processes bootstrap the cluster
	}
	return nil
}

// voterCount returns the number of voters that tolerates the loss of MaxLostVMs
// of them, and of one at least.
func (n *platformNode) voterCount() int { return 2*max(1, n.MaxLostVMs) + 1 }

// seekMembership asks to join the cluster whenever this process has no known
// leader or is not a voter. While it is a voter, it announces itself to seeds
// without a disk.
func (p *process) seekMembership(ctx context.Context, cfg link.Config) error {
	addrs := p.settings.otherSeedAddrs()
	if len(addrs) == 0 {
		return nil // a cluster of one
	}
	c, err := client.New(client.WithAddresses(addrs...), client.WithLink(cfg))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	tick := time.NewTicker(node.JoinInterval)
	defer tick.Stop()
	joined := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if p.stopping.Load() {
			continue
		}
		if p.isVoter() {
			if !joined {
				klog.InfoS("Voter of the state cluster", "member", p.settings.Name)
			}
			joined = true
			p.announce(ctx, cfg)
			continue
		}
		joined = false
		queryCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		a, err := c.Query(queryCtx, &wire.Query{Kind: &wire.Query_Join{Join: &wire.Join{
			Name: p.settings.Name, Addr: p.settings.reachAddr, Disk: p.store.DiskID(),
		}}})
		cancel()
		if err != nil {
			klog.InfoS("Not a voter of the state cluster yet; reading the seeds from the settings file again", "member", p.settings.Name, "err", err)
			for _, addr := range p.settings.otherSeedAddrs() {
				c.AddAddress(addr)
			}
			continue
		}
		c.SetMembers(a.GetStatus().GetPeers())
	}
}

// announce sends this member's name and address to the seeds that are not
// members because they have no disk. After a restart of all processes these
// seeds may be the only addresses that the others have for finding the cluster.
func (p *process) announce(ctx context.Context, cfg link.Config) {
	if time.Since(p.lastAnnounced) < announceInterval {
		return
	}
	p.lastAnnounced = time.Now()
	members := map[string]bool{}
	for _, m := range p.raft.Status().Members {
		members[m.Addr] = true
	}
	for _, addr := range p.settings.otherSeedAddrs() {
		if members[addr] {
			continue
		}
		if err := sendAnnouncement(ctx, addr, cfg, &wire.Join{Name: p.settings.Name, Addr: p.settings.reachAddr, Disk: p.store.DiskID()}); err != nil {
			klog.InfoS("Seed without a disk does not answer", "addr", addr, "err", err)
		}
	}
}

// sendAnnouncement announces a member to one process, which refuses to add it
// but learns its address.
func sendAnnouncement(ctx context.Context, addr string, cfg link.Config, j *wire.Join) error {
	_, err := ask(ctx, addr, cfg, &wire.Query{Kind: &wire.Query_Join{Join: j}}, announceTimeout)
	return err
}

// ask sends a query to one process and returns its answer.
func ask(ctx context.Context, addr string, cfg link.Config, q *wire.Query, timeout time.Duration) (*wire.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := link.Dial(ctx, addr, cfg)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	st, err := s.Open(wire.Kind_QUERY)
	if err != nil {
		return nil, err
	}
	_ = st.SetDeadline(time.Now().Add(timeout))
	if err := st.Send(q); err != nil {
		return nil, err
	}
	a := &wire.Answer{}
	return a, st.Recv(a)
}

// otherSeedAddrs returns the addresses of the state processes on the seeds
// except this one, from the current contents of the settings file.
func (s *settings) otherSeedAddrs() []string {
	seeds := s.node.SeedHosts
	if n, err := platform.ReadNode(); err != nil {
		klog.ErrorS(err, "Cannot read the settings file; keeping the seeds read at the start")
	} else {
		seeds = n.SeedHosts
	}
	var addrs []string
	for _, seed := range seeds {
		if addr := s.node.internalAddr(seed); addr != s.reachAddr {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// isVoter reports whether this process is a voter of a cluster whose leader it
// knows.
func (p *process) isVoter() bool {
	if _, ok := p.raft.Leader(); !ok {
		return false
	}
	for _, m := range p.raft.Status().Members {
		if m.Name == p.settings.Name {
			return m.Voter && m.Settled
		}
	}
	return false
}

// operatorTarget carries out an operator's calls to a state process. node.Node
// and redir.Redirector implement it.
type operatorTarget interface {
	ReplaceDocument(ctx context.Context, version uint64, body []byte) error
	Document(ctx context.Context) (conf.Document, error)
	StartServiceRollout(ctx context.Context, service ident.Service, target ident.Version, length time.Duration) error
	ServiceRollout(ctx context.Context, service ident.Service) (conf.ServiceRollout, bool, error)
	Evacuate(ctx context.Context, zone ident.Zone, end bool) error
}

// serveOperators serves the operator API until ctx ends.
func (n *platformNode) serveOperators(ctx context.Context, o operatorTarget) error {
	ln, err := net.Listen("tcp", n.OperatorAddr)
	if err != nil {
		return eris.Wrap(err, "cannot listen for operators")
	}
	budget := intake.BudgetFor(n.MemoryLimit)
	operators := intake.Listen(ln, budget, intake.Limits{Conns: min(maxOperatorConns, intake.MaxConns(n.MemoryLimit, intake.FileLimit(n.MaxFiles)))})
	srv := &http.Server{
		Handler: platform.NewOperatorAPI(operator{o, n.OperatorPort}, budget), ReadHeaderTimeout: operatorTimeout, WriteTimeout: operatorWriteTimeout,
		IdleTimeout: operatorTimeout, MaxHeaderBytes: maxOperatorHeaderBytes,
	}
	operators.Attach(srv)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(operators); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "cannot serve the operator API")
	}
	return nil
}

// operator implements platform.OperatorCommands.
type operator struct {
	target operatorTarget
	port   int // of the operator API; the same on all VMs
}

func (o operator) ReplaceConfig(ctx context.Context, version uint64, body []byte) error {
	err := o.target.ReplaceDocument(ctx, version, body)
	klog.InfoS("Configuration replacement requested", "version", version, "bytes", len(body), "err", err)
	return o.operatorError(err)
}

func (o operator) Document(ctx context.Context) (conf.Document, error) {
	d, err := o.target.Document(ctx)
	klog.InfoS("Configuration requested", "version", d.Version, "err", err)
	return d, o.operatorError(err)
}

func (o operator) OrderRollout(ctx context.Context, service ident.Service, target ident.Version, length time.Duration) error {
	err := o.target.StartServiceRollout(ctx, service, target, length)
	klog.InfoS("Service rollout requested", "service", service, "target", target, "length", length, "err", err)
	return o.operatorError(err)
}

func (o operator) Rollout(ctx context.Context, service ident.Service) (conf.ServiceRollout, bool, error) {
	s, known, err := o.target.ServiceRollout(ctx, service)
	return s, known, o.operatorError(err)
}

func (o operator) BeginEvacuation(ctx context.Context, zone ident.Zone) error {
	err := o.target.Evacuate(ctx, zone, false)
	klog.InfoS("Evacuation of a zone requested", "zone", zone, "err", err)
	return o.operatorError(err)
}

func (o operator) FinishEvacuation(ctx context.Context, zone ident.Zone) error {
	err := o.target.Evacuate(ctx, zone, true)
	klog.InfoS("End of the evacuation of a zone requested", "zone", zone, "err", err)
	return o.operatorError(err)
}

// operatorError turns raft.NotLeader into a redirect to the leader's address, and
// every error that is not a fault into fault.Unavailable, which leaves open
// whether the call took effect.
func (o operator) operatorError(err error) error {
	var notLeader raft.NotLeader
	var f *fault.Fault
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader) && notLeader.Leader.Addr != "":
		host, _, e := net.SplitHostPort(notLeader.Leader.Addr)
		if e == nil {
			return platform.RedirectError{Address: net.JoinHostPort(host, strconv.Itoa(o.port))}
		}
	case errors.As(err, &f):
		return f
	}
	return fault.New(fault.Unavailable, fmt.Sprintf("no answer of the state cluster: %v", err))
}
