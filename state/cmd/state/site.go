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
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/platform"
	"citronledge.example/state/node"
	"citronledge.example/state/raft"
	"citronledge.example/state/store"
)

const (
	// memoryPart of the limit of a process is left to the heap; the rest is
	// for stacks, the runtime and bytes in sockets.
	memoryPart = 0.6
	// stopPart of the time before SIGKILL is used for a planned stop.
	stopPart = 0.85
	// operatorTime bounds reading one call of the operator.
	operatorTime = 10 * time.Second
	// announceEvery is the interval at which a seed without a disk is told of
	// the members, and announceTime bounds one attempt.
	announceEvery = time.Second
	announceTime  = 300 * time.Millisecond
)

// siteTimings allow for VMs with a part of a core: a follower that waits for
// its turn or its disk must not take its leader for lost.
var siteTimings = raft.Timings{HeartbeatInterval: 75 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond}

// site is the place of this process on the users' platform.
type site struct{ platform.Node }

// apply takes the settings that the platform gives.
func (s *settings) apply() error {
	n, err := platform.ReadNode()
	if err != nil {
		return err
	}
	if n.OperatorAddr == "" {
		return eris.New("the platform gives this process no address for operators; let state serve control")
	}
	s.site = &site{Node: n}
	s.Zone, s.data, s.GracePeriod, s.DrainTimeout = string(n.Zone), n.DataDir, 0, time.Duration(stopPart*float64(n.Bounds.StopTimeout))
	s.listen = s.site.internal(n.IP)
	s.reach = cmp.Or(s.advertise, s.listen)
	if _, port, err := net.SplitHostPort(s.AdminAddr); err == nil {
		s.AdminAddr = net.JoinHostPort(n.IP, port)
	}
	if n.DataDir == "" {
		s.Name = s.reach
		return nil
	}
	return s.seat()
}

func (n *site) internal(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(n.FirstPort))
}

// seat decides the name of this member and who founds the cluster. A member is
// named by its address if it is a founder, and by address and a random part
// otherwise: an empty disk never comes back under the name of a lost one.
func (s *settings) seat() error {
	dir, err := store.OpenFolder(s.data)
	if err != nil {
		return eris.Wrap(err, "cannot use the data folder")
	}
	if s.Name, err = store.MemberName(dir); err != nil {
		return err
	}
	switch {
	case s.Name != "":
	case s.site.Bootstrap:
		s.Name = s.reach
	default:
		s.Name = s.reach + "/" + rand.Text()[:8]
	}
	s.join = true
	if s.Name == s.reach {
		for _, seed := range s.site.SeedHosts {
			addr := s.site.internal(seed)
			s.peers = append(s.peers, raft.Member{Name: addr, Addr: addr, Voter: true})
			s.join = s.join && addr != s.reach
		}
	}
	if s.join {
		s.peers = nil // the cluster is founded without this process
	}
	return nil
}

// voters returns the number of voters of which the platform may lose some.
func (n *site) voters() int { return 2*max(1, n.MaxLostVMs) + 1 }

// seek asks for a seat in the cluster for as long as this process knows no
// leader or is no voter.
func (p *process) seek(ctx context.Context, cfg link.Config) error {
	addrs := p.set.others()
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
		if p.seated() {
			if !joined {
				klog.InfoS("Voter of the state cluster", "member", p.set.Name)
			}
			joined = true
			p.announce(ctx, cfg)
			continue
		}
		joined = false
		ask, cancel := context.WithTimeout(ctx, 2*time.Second)
		a, err := c.Query(ask, &wire.Query{Kind: &wire.Query_Join{Join: &wire.Join{
			Name: p.set.Name, Addr: p.set.reach, Disk: p.store.DiskID(),
		}}})
		cancel()
		if err != nil {
			klog.InfoS("No seat in the state cluster yet; looking for others in the settings file", "member", p.set.Name, "err", err)
			for _, addr := range p.set.others() {
				c.AddAddress(addr)
			}
			continue
		}
		for _, m := range a.GetStatus().GetPeers() {
			c.AddAddress(m.GetAddr())
		}
	}
}

// announce tells the seeds that are no members, since they have no disk, that
// there is a member here. After a restart of all processes they may be all that
// the others are given to find the cluster.
func (p *process) announce(ctx context.Context, cfg link.Config) {
	if time.Since(p.announced) < announceEvery {
		return
	}
	p.announced = time.Now()
	members := map[string]bool{}
	for _, m := range p.raft.Status().Members {
		members[m.Addr] = true
	}
	for _, addr := range p.set.others() {
		if members[addr] {
			continue
		}
		if err := tell(ctx, addr, cfg, &wire.Join{Name: p.set.Name, Addr: p.set.reach, Disk: p.store.DiskID()}); err != nil {
			klog.InfoS("Seed without a disk does not answer", "addr", addr, "err", err)
		}
	}
}

// tell sends an announcement to one process.
func tell(ctx context.Context, addr string, cfg link.Config, j *wire.Join) error {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	s, err := link.Dial(ctx, addr, cfg)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	st, err := s.Open(wire.Kind_QUERY)
	if err != nil {
		return err
	}
	_ = st.SetDeadline(time.Now().Add(announceTime))
	if err := st.Send(&wire.Query{Kind: &wire.Query_Join{Join: j}}); err != nil {
		return err
	}
	return st.Recv(&wire.Answer{})
}

// others returns the addresses of the state processes on the seeds but for this
// one, from the settings file as it is now.
func (s *settings) others() []string {
	seeds := s.site.SeedHosts
	if n, err := platform.ReadNode(); err != nil {
		klog.ErrorS(err, "Settings file not read; the last settings stay")
	} else {
		seeds = n.SeedHosts
	}
	var addrs []string
	for _, seed := range seeds {
		if addr := s.site.internal(seed); addr != s.reach {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// seated tells whether a leader of a cluster in which this process votes is
// known to it.
func (p *process) seated() bool {
	if _, ok := p.raft.Leader(); !ok {
		return false
	}
	for _, m := range p.raft.Status().Members {
		if m.Name == p.set.Name {
			return m.Voter
		}
	}
	return false
}

// orders are what an operator asks of a state process; node.Node and
// redir.Redirector take them.
type orders interface {
	ReplaceDocument(ctx context.Context, version uint64, body []byte) error
	Document(ctx context.Context) (conf.Document, error)
	StartServiceRollout(ctx context.Context, service ident.Service, target ident.Version, length time.Duration) error
	ServiceRollout(ctx context.Context, service ident.Service) (conf.ServiceRollout, bool, error)
}

// operators serves the operator's calls.
func (n *site) operators(ctx context.Context, o orders) error {
	ln, err := net.Listen("tcp", n.OperatorAddr)
	if err != nil {
		return eris.Wrap(err, "cannot listen for operators")
	}
	srv := &http.Server{Handler: platform.NewOperatorAPI(operator{o, n.OperatorPort}), ReadTimeout: operatorTime, WriteTimeout: operatorTime}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "the operators' interface ended")
	}
	return nil
}

// operator implements platform.Operator.
type operator struct {
	to   orders
	port int // of the operators' interface, the same on all VMs
}

func (o operator) ReplaceConfig(ctx context.Context, version uint64, body []byte) error {
	err := o.to.ReplaceDocument(ctx, version, body)
	klog.InfoS("Configuration sent", "version", version, "bytes", len(body), "err", err)
	return o.translate(err)
}

func (o operator) Document(ctx context.Context) (conf.Document, error) {
	d, err := o.to.Document(ctx)
	klog.InfoS("Configuration read", "version", d.Version, "err", err)
	return d, o.translate(err)
}

func (o operator) OrderRollout(ctx context.Context, service ident.Service, target ident.Version, length time.Duration) error {
	err := o.to.StartServiceRollout(ctx, service, target, length)
	klog.InfoS("Roll-out ordered", "service", service, "target", target, "length", length, "err", err)
	return o.translate(err)
}

func (o operator) Rollout(ctx context.Context, service ident.Service) (conf.ServiceRollout, bool, error) {
	s, known, err := o.to.ServiceRollout(ctx, service)
	return s, known, o.translate(err)
}

// translate turns "not the leader" into the address to ask, and an outcome
// that is not known into a fault that promises nothing.
func (o operator) translate(err error) error {
	var not raft.NotLeader
	var f *fault.Fault
	switch {
	case err == nil:
		return nil
	case errors.As(err, &not) && not.Leader.Addr != "":
		host, _, e := net.SplitHostPort(not.Leader.Addr)
		if e == nil {
			return platform.RedirectError{Address: net.JoinHostPort(host, strconv.Itoa(o.port))}
		}
	case errors.As(err, &f):
		return f
	}
	return fault.New(fault.Unavailable, fmt.Sprintf("no answer of the state cluster: %v", err))
}
