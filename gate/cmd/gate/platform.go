package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/client"
	"citronledge.example/core/group"
	"citronledge.example/core/intake"
	"citronledge.example/core/link"
	"citronledge.example/core/logs"
	"citronledge.example/core/policy"
	"citronledge.example/core/server"
	"citronledge.example/core/wire"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/relay"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

const (
	// heapShare is the share of the process's memory limit for the heap; the rest
	// is for stacks, the runtime and bytes in sockets.
	heapShare = 0.6
	// holdShare is the part of the heap's share for requests that are held until
	// the gate can serve.
	holdShare = 0.125
	// balancerNoticeTime is how long the load balancer takes to detect that a VM
	// is not ready: two probes a second apart, and some time for the answers.
	balancerNoticeTime = 2500 * time.Millisecond
	// stopMargin is how long before SIGKILL a planned stop ends; streams that
	// last longer are cut off.
	stopMargin = 150 * time.Millisecond
	// listInterval is how often the first gate in the order of reading reads the
	// list of backend servers. A leaving backend server must be noticed within a
	// few seconds.
	listInterval = time.Second
	// listCheckInterval is how often a gate checks whether it has to read the
	// list itself.
	listCheckInterval = 350 * time.Millisecond
	// listMargin is the part of a backend server's drain timeout that is kept for
	// reading the list and for requests on their way, and minListSlack the least
	// delay of gates that wait for the news of others.
	listMargin   = 600 * time.Millisecond
	minListSlack = 400 * time.Millisecond
	// listRetryDelay is the delay after a failed read of the list.
	listRetryDelay = 400 * time.Millisecond
	// listTimeout limits one read of the list.
	listTimeout = 800 * time.Millisecond
	// peersInterval is how often the addresses of the state processes are queried.
	peersInterval = 2 * time.Second
	// maxFindPause limits the pause between two attempts to find the leader.
	maxFindPause = 120 * time.Millisecond
	// retryBudgetShare is the share of the deployment's retry budget that is used,
	// since each gate counts its retries on its own.
	retryBudgetShare = 0.85
	// canaryExposureShare is the part of the allowed canary share that a new
	// version gets; the rest is for the time in which all traffic moves to it.
	canaryExposureShare = 0.58
	// headerReadTimeout and maxHeaderBytes limit the time to read the header of a
	// request and its size, beside the limits of the configuration.
	headerReadTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// idleTimeFactor multiplies the configured idle timeout, since callers may use
	// a connection right up to that timeout.
	idleTimeFactor = 1.5
	// answerWriteTimeout limits writing an answer unless the request sets another
	// limit.
	answerWriteTimeout = 10 * time.Second
	// maxProbeConns limits the connections to the readiness interface, which has a
	// few clients.
	maxProbeConns = 64
	// maxProbeHeaderBytes limits the header of a readiness probe.
	maxProbeHeaderBytes = 8 << 10
	// probeIdleTimeout limits the time between two probes on a connection.
	probeIdleTimeout = time.Minute
)

// platformNode describes this process's node on the users' platform.
type platformNode struct{ platform.Node }

// applyNode applies the settings that the platform provides.
func (s *settings) applyNode() error {
	n, err := platform.ReadNode()
	if err != nil {
		return err
	}
	if n.CallerAddr == "" || n.ReadinessAddr == "" {
		return eris.New("the platform gives this process no address for callers or readiness; run gate on VMs that serve callers")
	}
	s.node = &platformNode{n}
	s.Name, s.Zone, s.listen = n.Name, string(n.Zone), n.CallerAddr
	s.GracePeriod, s.DrainTimeout = balancerNoticeTime, n.Bounds.StopTimeout-stopMargin
	if _, port, err := net.SplitHostPort(s.AdminAddr); err == nil {
		s.AdminAddr = net.JoinHostPort(n.IP, port)
	}
	return nil
}

// serveOnPlatform runs the gate with the settings of the users' platform.
func (s *settings) serveOnPlatform(ctx context.Context) error {
	defer logs.Start(os.Stdout)()
	debug.SetMemoryLimit(int64(heapShare * float64(s.node.MemoryLimit)))
	keys, err := link.LoadKeys(s.KeyFile)
	if err != nil {
		return err
	}
	h := &platformGate{settings: s, fleet: fleet.New(s.node.Zone), list: platform.NewListReader(s.node.ListAddr, listTimeout)}
	h.fleet.SetColdBounds(policy.ColdBounds{Overage: s.node.Bounds.ColdOverage, Tolerance: s.node.Bounds.ColdTolerance})
	h.frame = server.New(s.Settings, h.status)
	h.fleet.Register(h.frame.Registry)
	addrs := s.node.seeds()
	h.frame.OnReload(h.reloadSeeds)
	h.frame.OnShutdown(func() { h.relay.Drain(time.Now().Add(s.DrainTimeout)) })
	bounds := s.node.Bounds
	exchange := net.JoinHostPort(s.node.IP, strconv.Itoa(s.node.FirstPort+1))
	exchangeAddr, err := netip.ParseAddrPort(exchange)
	if err != nil {
		return eris.Wrap(err, "the platform's address of this VM is not valid")
	}
	h.client, err = client.New(
		client.WithMaxBackoff(maxFindPause), client.WithExchange(exchange, s.node.LinkRate, h.setGates),
		client.WithAddresses(addrs...), client.WithLink(link.Config{Name: s.Name, Keys: keys}), client.WithZone(s.node.Zone),
		client.WithTallies(func() []*wire.Tally { return h.relay.Tallies() }),
	)
	if err != nil {
		return err
	}
	defer func() { _ = h.client.Close() }()
	h.budget = intake.BudgetFor(s.node.MemoryLimit)
	h.relay = relay.New(
		relay.WithFleet(h.fleet), relay.WithBudget(h.budget), relay.WithRegistry(h.frame.Registry),
		relay.WithLease(func() bool { return h.client.LeaseValidAt(time.Now()) }),
		relay.WithSettings(relay.Settings{
			CanaryShare: canaryExposureShare * bounds.MaxCanaryShare, SessionTimeout: bounds.MaxSessionPause, RequireLease: bounds.StrictRevocation,
			RetryRatio: retryBudgetShare * bounds.RetryRatio, RetrySlack: retryBudgetShare * bounds.RetrySlack, RetryWindow: bounds.RetryWindow,
		}),
		s.node.holdOption(),
	)
	h.share = share.New(share.Config{
		Name: s.Name, Self: share.Member{Addr: exchangeAddr, Zone: s.node.Zone, LinkRate: s.node.LinkRate},
		ReadSlack: max(minListSlack, bounds.DrainTimeout-listInterval-listMargin), Loads: h.fleet, Sessions: h.relay, Parts: h.relay, Lists: h.fleet, Colds: h.fleet,
	}, keys)
	return h.frame.Run(ctx, h)
}

// seeds returns the addresses of the state processes on the seed nodes.
func (s *platformNode) seeds() []string {
	var addrs []string
	for _, seed := range s.SeedHosts {
		addrs = append(addrs, net.JoinHostPort(seed, strconv.Itoa(s.FirstPort)))
	}
	return addrs
}

// reloadSeeds reads the seed nodes from the settings file, which may have
// changed; all other settings are fixed for the life of a process.
func (h *platformGate) reloadSeeds() {
	n, err := platform.ReadNode()
	if err != nil {
		klog.ErrorS(err, "Failed to read the settings file; keeping the previous settings")
		return
	}
	for _, addr := range (&platformNode{n}).seeds() {
		h.client.AddAddress(addr)
	}
}

// setGates sets the gates that take part in the exchange, this one included.
func (h *platformGate) setGates(gates []*wire.Gate) {
	h.share.SetGates(gates)
	h.relay.SetGates(len(gates))
}

// platformGate is the gate on the users' platform; it implements server.Part.
type platformGate struct {
	settings *settings
	frame    *server.Server
	client   *client.Client
	relay    *relay.Relay
	fleet    *fleet.Fleet
	share    *share.Exchange
	list     *platform.ListReader
	budget   *intake.Budget // of the bytes held for callers
	srv      *http.Server
}

// Run implements server.Part.
func (h *platformGate) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", h.settings.listen)
	if err != nil {
		return eris.Wrap(err, "cannot listen for callers")
	}
	callers := intake.Listen(ln, h.budget, intake.Limits{
		Conns: intake.MaxConns(h.settings.node.MemoryLimit, intake.FileLimit(h.settings.node.MaxFiles)), HeadBytes: h.relay.MaxHeaderBytes, HeadTimeout: h.relay.HeaderTimeout,
		IdleTimeout: func() time.Duration { return time.Duration(idleTimeFactor * float64(h.relay.IdleTimeout())) },
	})
	h.srv = &http.Server{
		Handler: h.relay, ReadHeaderTimeout: headerReadTimeout, WriteTimeout: answerWriteTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: klog.NewStandardLogger("INFO"),
	}
	callers.Attach(h.srv)
	g := group.New(ctx)
	g.Go("callers", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = h.srv.Close() })
		defer stop()
		if err := h.srv.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "the callers' interface ended")
		}
		return nil
	})
	g.Go("held requests", h.relay.RunHold)
	g.Go("readiness", h.serveReadiness)
	g.Go("lease", h.client.HoldLease)
	g.Go("configuration", h.applyConfigurations)
	g.Go("backend servers", h.watchList)
	g.Go("state processes", h.learnStateProcesses)
	g.Go("loads", h.share.Run)
	g.Go("caller connections", callers.Sweep)
	g.Go("sweep", h.relay.Sweep)
	klog.InfoS("Gate started", "name", h.settings.Name, "zone", h.settings.Zone, "listen", h.settings.listen)
	ready()
	return g.Wait()
}

// Drain implements server.Part.
func (h *platformGate) Drain(ctx context.Context) []string {
	if err := h.srv.Shutdown(ctx); err != nil {
		return []string{"requests that took longer than the time for a planned stop"}
	}
	return nil
}

// serveReadiness answers the platform's readiness probes. After a stop signal the
// VM is no longer ready.
func (h *platformGate) serveReadiness(ctx context.Context) error {
	ln, err := net.Listen("tcp", h.settings.node.ReadinessAddr)
	if err != nil {
		return eris.Wrap(err, "cannot listen for the readiness question")
	}
	srv := &http.Server{
		ReadHeaderTimeout: headerReadTimeout, WriteTimeout: answerWriteTimeout, IdleTimeout: probeIdleTimeout, MaxHeaderBytes: maxProbeHeaderBytes,
		Handler: intake.WithoutBody(platform.NewReadinessHandler(h.relay.Ready)),
	}
	probes := intake.Listen(ln, h.budget, intake.Limits{Conns: maxProbeConns})
	probes.Attach(srv)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(probes); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "the readiness interface ended")
	}
	return nil
}

// applyConfigurations applies each new configuration.
func (h *platformGate) applyConfigurations(ctx context.Context) error {
	for {
		changed := h.client.ViewChanged()
		v := h.client.View()
		// Before the document, so that it is never used with the evacuations of an
		// older revision.
		h.relay.SetEvacuations(v.Evacuations, v.Revision)
		if v.Document.Version > 0 {
			p, err := platform.ParseConfig(v.Document.Body)
			if err != nil {
				// It was validated before it was accepted, so this is a bug.
				klog.ErrorS(err, "Configuration is unusable; keeping the previous one", "version", v.Document.Version)
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

// watchList reads the list of backend servers, unless another gate has done so
// recently.
func (h *platformGate) watchList(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	readFailed := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if wait := time.Until(h.fleet.NextListRead(listInterval, h.share.ReadDelay())); wait > 0 {
			timer.Reset(min(wait, listCheckInterval))
			continue
		}
		list, broken, err := h.list.Read(ctx)
		if err != nil {
			if !readFailed {
				klog.InfoS("Failed to read the list of backend servers; keeping the previous one", "err", err, "age", time.Since(h.fleet.ListReadAt()))
			}
			readFailed = true
			timer.Reset(listRetryDelay)
			continue
		}
		if readFailed || broken > 0 {
			klog.InfoS("List of backend servers read", "entries", len(list), "broken", broken)
		}
		readFailed = false
		h.fleet.SetList(list, time.Now())
		timer.Reset(0)
	}
}

// learnStateProcesses keeps the addresses of the state processes up to date.
func (h *platformGate) learnStateProcesses(ctx context.Context) error {
	tick := time.NewTicker(peersInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		ask, cancel := context.WithTimeout(ctx, peersInterval)
		a, err := h.client.Query(ask, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
		cancel()
		if err != nil {
			klog.InfoS("State processes do not answer; reloading the seed nodes from the settings file", "err", err)
			h.reloadSeeds()
			continue
		}
		h.client.SetMembers(a.GetStatus().GetPeers())
	}
}

func (h *platformGate) status() any {
	return map[string]any{
		"revision": h.client.View().Revision, "lease": h.client.LeaseExpiry(), "ready": h.relay.Ready(), "list": h.fleet.ListReadAt(), "evacuated": h.relay.EvacuatedZones(),
	}
}
