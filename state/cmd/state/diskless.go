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

// diskless is the part that the frame runs on VMs without a disk.
type diskless struct {
	set   *settings
	redir *redir.Redirector
}

// redirect runs a process that stores nothing and names the leader to its callers.
func (s *settings) redirect(ctx context.Context) error {
	keys, err := link.LoadKeys(s.KeyFile)
	if err != nil {
		return err
	}
	d := &diskless{set: s}
	d.redir, err = redir.New(link.Config{Name: s.Name, Keys: keys}, s.places)
	if err != nil {
		return err
	}
	defer func() { _ = d.redir.Close() }()
	frame := server.New(s.Settings, func() any { return map[string]any{"leader": d.redir.Leader().Name} })
	return frame.Run(ctx, d)
}

// places returns the addresses to look for the cluster at. A process that is
// the only seed waits at its own address for members to announce themselves.
func (s *settings) places() []string {
	if addrs := s.others(); len(addrs) > 0 {
		return addrs
	}
	return []string{s.reach}
}

// Run implements server.Part.
func (d *diskless) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", d.set.listen)
	if err != nil {
		return eris.Wrap(err, "cannot listen")
	}
	g := group.New(ctx)
	g.Go("sessions", func(ctx context.Context) error { return d.redir.Run(ctx, ln) })
	g.Go("operators", func(ctx context.Context) error { return d.set.site.operators(ctx, d.redir) })
	klog.InfoS("State process without a disk started", "name", d.set.Name, "zone", d.set.Zone, "listen", d.set.listen)
	ready()
	return g.Wait()
}

// Drain implements server.Part. There is no work that lasts.
func (d *diskless) Drain(context.Context) []string { return nil }
