package main

import (
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
)

// siteTimings allow for VMs with a part of a core: a follower that waits for
// its turn or its disk must not take its leader for lost.
var siteTimings = raft.Timings{Heartbeat: 75 * time.Millisecond, Election: 400 * time.Millisecond}

// site is the place of this process on the users' platform.
type site struct {
	platform.Node
	self raft.Member
}

// apply takes the settings that the platform gives.
func (s *settings) apply() error {
	n, err := platform.ReadNode()
	if err != nil {
		return err
	}
	if n.Data == "" || n.Operators == "" {
		return eris.New("the platform gives this process no disk or no address for operators; run state on VMs with a disk, serving control")
	}
	s.site = &site{Node: n}
	s.Zone, s.data, s.Grace, s.Deadline = string(n.Zone), n.Data, 0, time.Duration(stopPart*float64(n.Bounds.Stop))
	s.listen = s.site.internal(n.IP)
	if _, port, err := net.SplitHostPort(s.Admin); err == nil {
		s.Admin = net.JoinHostPort(n.IP, port)
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
	dir, err := store.Dir(s.data)
	if err != nil {
		return eris.Wrap(err, "cannot use the data folder")
	}
	if s.Name, err = store.Member(dir); err != nil {
		return err
	}
	switch {
	case s.Name != "":
	case s.site.Found:
		s.Name = s.listen
	default:
		s.Name = s.listen + "/" + rand.Text()[:8]
	}
	s.join = true
	if s.Name == s.listen {
		for _, seed := range s.site.Seeds {
			addr := s.site.internal(seed)
			s.peers = append(s.peers, raft.Member{Name: addr, Addr: addr, Voter: true})
			s.join = s.join && addr != s.listen
		}
	}
	if s.join {
		s.peers = nil // the cluster is founded without this process
	}
	s.site.self = raft.Member{Name: s.Name, Addr: s.listen}
	return nil
}

// voters returns the number of voters of which the platform may lose some.
func (n *site) voters() int { return 2*max(1, n.Losses) + 1 }

// seek asks for a seat in the cluster for as long as this process knows no
// leader or is no voter.
func (p *process) seek(ctx context.Context, cfg link.Config) error {
	addrs := p.others(p.set.site.Seeds)
	if len(addrs) == 0 {
		return nil // a cluster of one
	}
	c, err := client.New(client.WithAddresses(addrs...), client.WithLink(cfg))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	tick := time.NewTicker(node.JoinEvery)
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
			continue
		}
		joined = false
		ask, cancel := context.WithTimeout(ctx, 2*time.Second)
		a, err := c.Query(ask, &wire.Query{Kind: &wire.Query_Join{Join: &wire.Join{
			Name: p.set.Name, Addr: p.set.listen, Disk: p.store.Disk(),
		}}})
		cancel()
		if err != nil {
			klog.InfoS("No seat in the state cluster yet; looking for others in the settings file", "member", p.set.Name, "err", err)
			if n, err := platform.ReadNode(); err != nil {
				klog.ErrorS(err, "Settings file not read; the last settings stay")
			} else {
				for _, addr := range p.others(n.Seeds) {
					c.Learn(addr)
				}
			}
			continue
		}
		for _, m := range a.GetStatus().GetPeers() {
			c.Learn(m.GetAddr())
		}
	}
}

// others returns the addresses of the state processes on the seeds but for this
// one.
func (p *process) others(seeds []string) []string {
	var addrs []string
	for _, seed := range seeds {
		if addr := p.set.site.internal(seed); addr != p.set.listen {
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

// operators serves the operator's calls.
func (p *process) operators(ctx context.Context) error {
	ln, err := net.Listen("tcp", p.set.site.Operators)
	if err != nil {
		return eris.Wrap(err, "cannot listen for operators")
	}
	srv := &http.Server{Handler: platform.NewOperatorAPI(operator{p}), ReadTimeout: operatorTime, WriteTimeout: operatorTime}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "the operators' interface ended")
	}
	return nil
}

// operator implements platform.Operator on the node.
type operator struct{ p *process }

func (o operator) Replace(ctx context.Context, version uint64, body []byte) error {
	err := o.p.node.Replace(ctx, version, body)
	klog.InfoS("Configuration sent", "version", version, "bytes", len(body), "err", err)
	return o.translate(err)
}

func (o operator) Document(ctx context.Context) (conf.Document, error) {
	d, err := o.p.node.Document(ctx)
	klog.InfoS("Configuration read", "version", d.Version, "err", err)
	return d, o.translate(err)
}

func (o operator) Order(ctx context.Context, service ident.Service, target ident.Version, length time.Duration) error {
	err := o.p.node.Order(ctx, service, target, length)
	klog.InfoS("Roll-out ordered", "service", service, "target", target, "length", length, "err", err)
	return o.translate(err)
}

func (o operator) Shift(ctx context.Context, service ident.Service) (conf.Shift, bool, error) {
	s, known, err := o.p.node.Shift(ctx, service)
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
			return platform.Elsewhere{Address: net.JoinHostPort(host, strconv.Itoa(o.p.set.site.OperatorPort))}
		}
	case errors.As(err, &f):
		return f
	}
	return fault.New(fault.Unavailable, fmt.Sprintf("no answer of the state cluster: %v", err))
}
