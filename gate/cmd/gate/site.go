package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/client"
	"citronledge.example/core/group"
	"citronledge.example/core/link"
	"citronledge.example/core/logs"
	"citronledge.example/core/server"
	"citronledge.example/core/wire"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/relay"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

const (
	// memoryPart of the limit of a process is left to the heap; the rest is
	// for stacks, the runtime and bytes in sockets.
	memoryPart = 0.6
	// noticeTime is how long the load balancer takes to see that a VM is not
	// ready: two questions a second apart, and some time for the answers.
	noticeTime = 2500 * time.Millisecond
	// stopMargin before SIGKILL a planned stop ends; streams that last longer
	// are broken off.
	stopMargin = 150 * time.Millisecond
	// listEvery is the interval between two readings of the list of backend
	// servers by the first gate, and listPause how much longer each next one
	// waits for it. A server that leaves must be known within a few seconds.
	listEvery = time.Second
	listPause = 350 * time.Millisecond
	// listRetry is the pause after a reading that failed.
	listRetry = 400 * time.Millisecond
	// listTime bounds one reading of the list.
	listTime = 800 * time.Millisecond
	// peersEvery is the interval at which the addresses of the state processes
	// are asked for.
	peersEvery = 2 * time.Second
	// findPause bounds the pause between two tries to find the leader.
	findPause = 120 * time.Millisecond
	// retryPart of the deployment's retry budget is used: the gates count
	// apart from each other.
	retryPart = 0.85
	// retrySlack is this gate's part of the repeats that need no requests.
	retrySlack = 3
	// canaryPart of the allowed exposure is the share of a version on trial;
	// the rest is for the time in which all traffic moves to it.
	canaryPart = 0.58
	// headTime bounds reading the head of a request, and mostHead its size in
	// bytes, until the configuration is known.
	headTime = 10 * time.Second
	mostHead = 64 << 10
	// idleMargin is added to the idle time of the configuration: callers may
	// use a connection until the end of it.
	idleMargin = 1.5
)

// site is the place of this process on the users' platform.
type site struct{ platform.Node }

// apply takes the settings that the platform gives.
func (s *settings) apply() error {
	n, err := platform.ReadNode()
	if err != nil {
		return err
	}
	if n.CallerAddr == "" || n.ReadinessAddr == "" {
		return eris.New("the platform gives this process no address for callers or readiness; run gate on VMs that serve callers")
	}
	s.site = &site{n}
	s.Name, s.Zone, s.listen = n.Name, string(n.Zone), n.CallerAddr
	s.GracePeriod, s.DrainTimeout = noticeTime, n.Bounds.StopTimeout-stopMargin
	if _, port, err := net.SplitHostPort(s.AdminAddr); err == nil {
		s.AdminAddr = net.JoinHostPort(n.IP, port)
	}
	return nil
}

// host runs the gate on the users' platform.
func (s *settings) host(ctx context.Context) error {
	defer logs.Start(os.Stdout)()
	debug.SetMemoryLimit(int64(memoryPart * float64(s.site.MemoryLimit)))
	keys, err := link.LoadKeys(s.KeyFile)
	if err != nil {
		return err
	}
	h := &hosted{set: s, fleet: fleet.New(s.site.Zone), list: platform.NewListReader(s.site.ListAddr, listTime)}
	h.frame = server.New(s.Settings, h.status)
	addrs := s.site.seeds()
	h.frame.OnReload(h.reload)
	h.frame.OnShutdown(func() { h.relay.Drain(time.Now().Add(s.DrainTimeout)) })
	bounds := s.site.Bounds
	exchange := net.JoinHostPort(s.site.IP, strconv.Itoa(s.site.FirstPort+1))
	h.client, err = client.New(
		client.WithMaxBackoff(findPause), client.WithLoadExchange(exchange, func(others []string) { h.share.SetPeers(others) }),
		client.WithAddresses(addrs...), client.WithLink(link.Config{Name: s.Name, Keys: keys}), client.WithZone(s.site.Zone),
		client.WithTallies(func() []*wire.Tally { return h.relay.Tallies() }),
	)
	if err != nil {
		return err
	}
	defer func() { _ = h.client.Close() }()
	h.relay = relay.New(
		relay.WithFleet(h.fleet), relay.WithRegistry(h.frame.Registry),
		relay.WithLease(func() bool { return h.client.LeaseValidAt(time.Now()) }),
		relay.WithSettings(relay.Settings{
			CanaryShare: canaryPart * bounds.MaxCanaryShare, SessionTimeout: bounds.MaxSessionPause, RequireLease: bounds.StrictRevocation,
			RetryRatio: retryPart * bounds.RetryRatio, RetrySlack: min(retrySlack, bounds.RetrySlack), RetryWindow: bounds.RetryWindow,
		}),
	)
	h.share = share.New(s.Name, s.site.Zone, exchange, keys, h.fleet, h.relay, h.fleet)
	return h.frame.Run(ctx, h)
}

// seeds returns the addresses of the state processes on the seeds.
func (s *site) seeds() []string {
	var addrs []string
	for _, seed := range s.SeedHosts {
		addrs = append(addrs, net.JoinHostPort(seed, strconv.Itoa(s.FirstPort)))
	}
	return addrs
}

// reload takes the seeds of a settings file that may have changed; all else in
// it is fixed for the life of a process.
func (h *hosted) reload() {
	n, err := platform.ReadNode()
	if err != nil {
		klog.ErrorS(err, "Settings file not read; the last settings stay")
		return
	}
	for _, addr := range (&site{n}).seeds() {
		h.client.AddAddress(addr)
	}
}

// hosted is the part that the frame runs on the users' platform.
type hosted struct {
	set    *settings
	frame  *server.Server
	client *client.Client
	relay  *relay.Relay
	fleet  *fleet.Fleet
	share  *share.Exchange
	list   *platform.ListReader
	srv    *http.Server
}

// Run implements server.Part.
func (h *hosted) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", h.set.listen)
	if err != nil {
		return eris.Wrap(err, "cannot listen for callers")
	}
	sweeper := newIdle(h.relay.IdleTimeout)
	h.srv = &http.Server{
		Handler: h.relay, ReadHeaderTimeout: headTime, MaxHeaderBytes: mostHead, ConnState: sweeper.note,
		ErrorLog: klog.NewStandardLogger("INFO"),
	}
	g := group.New(ctx)
	g.Go("callers", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = h.srv.Close() })
		defer stop()
		if err := h.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "the callers' interface ended")
		}
		return nil
	})
	g.Go("readiness", h.answerReady)
	g.Go("lease", h.client.HoldLease)
	g.Go("configuration", h.follow)
	g.Go("backend servers", h.watchList)
	g.Go("state processes", h.watchPeers)
	g.Go("loads", h.share.Run)
	g.Go("idle connections", sweeper.run)
	g.Go("sweep", h.relay.Sweep)
	klog.InfoS("Gate started", "name", h.set.Name, "zone", h.set.Zone, "listen", h.set.listen)
	ready()
	return g.Wait()
}

// Drain implements server.Part.
func (h *hosted) Drain(ctx context.Context) []string {
	if err := h.srv.Shutdown(ctx); err != nil {
		return []string{"requests that took longer than the time for a planned stop"}
	}
	return nil
}

// answerReady serves the platform's question whether this VM takes callers. A
// signal to stop turns it off at once.
func (h *hosted) answerReady(ctx context.Context) error {
	ln, err := net.Listen("tcp", h.set.site.ReadinessAddr)
	if err != nil {
		return eris.Wrap(err, "cannot listen for the readiness question")
	}
	srv := &http.Server{ReadHeaderTimeout: headTime, Handler: platform.NewReadinessHandler(h.relay.Ready)}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "the readiness interface ended")
	}
	return nil
}

// follow puts each new configuration in force.
func (h *hosted) follow(ctx context.Context) error {
	for {
		changed := h.client.ViewChanged()
		if v := h.client.View(); v.Document.Version > 0 {
			p, err := platform.ParseConfig(v.Document.Body)
			if err != nil {
				// It was checked before it was accepted, so this is a defect.
				klog.ErrorS(err, "Configuration cannot be used; the last one stays", "version", v.Document.Version)
			} else {
				h.relay.SetPlan(p, v.ServiceRollouts, v.Revision)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// watchList reads the list of backend servers, unless another gate does.
func (h *hosted) watchList(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lost := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if wait := time.Until(h.fleet.NextListRead(h.share.Rank(), listEvery, listPause)); wait > 0 {
			timer.Reset(min(wait, listPause))
			continue
		}
		list, broken, err := h.list.Read(ctx)
		if err != nil {
			if !lost {
				klog.InfoS("List of backend servers lost; the last one stays", "err", err, "age", time.Since(h.fleet.ListReadAt()))
			}
			lost = true
			timer.Reset(listRetry)
			continue
		}
		if lost || broken > 0 {
			klog.InfoS("List of backend servers read", "entries", len(list), "broken", broken)
		}
		lost = false
		h.fleet.SetList(list, time.Now())
		timer.Reset(0)
	}
}

// watchPeers learns the addresses of the state processes.
func (h *hosted) watchPeers(ctx context.Context) error {
	tick := time.NewTicker(peersEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		ask, cancel := context.WithTimeout(ctx, peersEvery)
		a, err := h.client.Query(ask, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
		cancel()
		if err != nil {
			klog.InfoS("State processes do not answer; looking for others in the settings file", "err", err)
			h.reload()
			continue
		}
		for _, m := range a.GetStatus().GetPeers() {
			h.client.AddAddress(m.GetAddr())
		}
	}
}

func (h *hosted) status() any {
	return map[string]any{
		"revision": h.client.View().Revision, "lease": h.client.LeaseExpiry(), "ready": h.relay.Ready(), "list": h.fleet.ListReadAt(),
	}
}
