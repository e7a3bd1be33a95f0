// Command side is the process that runs beside each backend server and checks
// the work that gates send to it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/server"
	"citronledge.example/side/caller"
	"citronledge.example/side/engine"
	"citronledge.example/side/serve"
)

type settings struct {
	server.Settings
	listen  string
	engine  string
	service string
	slots   int
	fencing bool
	records int
}

func main() { os.Exit(server.Main("side", os.Args[1:], &settings{})) }

// Serve implements server.Program.
func (s *settings) Serve(ctx context.Context) error {
	process, err := newSideProcess(*s)
	if err != nil {
		return err
	}
	srv := server.New(s.Settings, process.Status)
	process.Server = serve.New(process.serveSettings(srv))
	return srv.Run(ctx, process)
}

// Register implements server.Program.
func (s *settings) Register(fs *flag.FlagSet) {
	s.Settings.Register(fs)
	// A side process has no load balancer in front of it, and it informs its
	// gates at once, so it needs no period in which readiness fails before the
	// drain.
	grace := fs.Lookup("grace")
	grace.DefValue = "0s"
	_ = grace.Value.Set(grace.DefValue) // a valid duration
	fs.StringVar(&s.listen, "listen", "", "address for the sessions of the gates")
	fs.StringVar(&s.engine, "engine", "", "base URL of the model engine, http://HOST:PORT")
	fs.StringVar(&s.service, "service", "", "plain service instead of an engine, NAME=URL")
	fs.IntVar(&s.slots, "slots", 0, "requests that may run at once; 0 takes the engine's report, or 32 if it has none")
	fs.BoolVar(&s.fencing, "fencing", false, "the engine refuses orders with an old fence")
	fs.IntVar(&s.records, "records", 0, "limit on the usage records kept; 0 means 50000")
}

// Validate implements server.Program.
func (s *settings) Validate() error {
	errs := []error{s.Settings.Validate(), server.CheckAddr("listen", s.listen)}
	switch {
	case s.engine == "" && s.service == "":
		errs = append(errs, errors.New("--engine and --service are empty; set one of them"))
	case s.engine != "" && s.service != "":
		errs = append(errs, errors.New("--engine and --service are both set; keep one of them"))
	case s.engine != "":
		_, err := parseURL("engine", s.engine)
		errs = append(errs, err)
	default:
		_, _, err := s.parseService()
		errs = append(errs, err)
	}
	if s.fencing && s.service != "" {
		errs = append(errs, errors.New("--fencing applies to an engine only; remove it for a plain service"))
	}
	if s.slots < 0 || s.records < 0 {
		errs = append(errs, errors.New("--slots and --records must not be negative"))
	}
	return errors.Join(errs...)
}

func parseURL(name, s string) (*url.URL, error) {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
		return nil, fmt.Errorf("--%s: %q is not a base URL; use http://HOST:PORT", name, s)
	}
	return u, nil
}

func (s *settings) parseService() (ident.Service, *url.URL, error) {
	name, base, found := strings.Cut(s.service, "=")
	if !found || name == "" {
		return "", nil, fmt.Errorf("--service: %q has no name; use NAME=URL", s.service)
	}
	u, err := parseURL("service", base)
	return ident.Service(name), u, err
}

// sideProcess is the server.Workload that core/server runs.
type sideProcess struct {
	*serve.Server
	settings settings
	keys     *link.Keys
}

func newSideProcess(set settings) (*sideProcess, error) {
	keys, err := link.LoadKeys(set.KeyFile)
	return &sideProcess{settings: set, keys: keys}, err
}

// Status is bound before Server is set. It is called only while Run is running.
func (p *sideProcess) Status() any { return p.Server.Status() }

func (p *sideProcess) serveSettings(srv *server.Server) serve.Settings {
	out := serve.Settings{
		Name: ident.Backend(p.settings.Name), Zone: ident.Zone(p.settings.Zone), Keys: p.keys,
		Slots: p.settings.slots, Fencing: p.settings.fencing, MaxRecords: p.settings.records, Registry: srv.Registry,
	}
	if p.settings.engine != "" {
		out.Engine = engine.New(strings.TrimSuffix(p.settings.engine, "/"), nil)
		return out
	}
	name, base, _ := p.settings.parseService() // checked by Validate
	out.Service = caller.New(name, base, p.settings.slots, nil)
	return out
}

// Run implements server.Workload.
func (p *sideProcess) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", p.settings.listen)
	if err != nil {
		return eris.Wrap(err, "cannot listen for gates; set --listen to a free address")
	}
	klog.InfoS("Listening for gates", "addr", ln.Addr().String(), "backend", p.settings.Name, "zone", p.settings.Zone)
	return p.Server.Run(ctx, ln, ready)
}
