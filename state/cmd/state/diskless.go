package main

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/group"
	"citronledge.example/core/link"
	"citronledge.example/core/server"
	"citronledge.example/state/redir"
)

// diskless is the server.Part of a state process on a VM without a disk.
type diskless struct {
	settings *settings
	redir    *redir.Redirector
}

// runRedirector runs a process that stores nothing and redirects its callers to
// the leader.
func (s *settings) runRedirector(ctx context.Context) error {
	keys, err := link.LoadKeys(s.KeyFile)
	if err != nil {
		return err
	}
	d := &diskless{settings: s}
	d.redir, err = redir.New(link.Config{Name: s.Name, Keys: keys}, s.clusterAddrs)
	if err != nil {
		return err
	}
	defer func() { _ = d.redir.Close() }()
	frame := server.New(s.Settings, func() any { return map[string]any{"leader": d.redir.Leader().Name} })
	return frame.Run(ctx, d)
}

// clusterAddrs returns the addresses at which to look for the cluster. A
// process that is the only seed returns its own address and waits there for
// members to announce themselves.
func (s *settings) clusterAddrs() []string {
	if addrs := s.otherSeedAddrs(); len(addrs) > 0 {
		return addrs
	}
	return []string{s.reachAddr}
}

// Run implements server.Part.
func (d *diskless) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", d.settings.listenAddr)
	if err != nil {
		return eris.Wrap(err, "cannot listen")
	}
	g := group.New(ctx)
	g.Go("sessions", func(ctx context.Context) error { return d.redir.Run(ctx, ln) })
	g.Go("operators", func(ctx context.Context) error { return d.settings.node.serveOperators(ctx, d.redir) })
	klog.InfoS("State process without a disk started", "name", d.settings.Name, "zone", d.settings.Zone, "listen", d.settings.listenAddr)
	ready()
	return g.Wait()
}

// Drain implements server.Part. It returns at once: there is no long-running
// work.
func (d *diskless) Drain(context.Context) []string { return nil }
