// Command side is the process in the slot beside each backend server.
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
	part, err := newPart(*s)
	if err != nil {
		return err
	}
	frame := server.New(s.Settings, part.Status)
	part.Server = serve.New(part.settings(frame))
	return frame.Run(ctx, part)
}

// Register implements server.Program.
func (s *settings) Register(fs *flag.FlagSet) {
	s.Settings.Register(fs)
	// No load balancer stands before a side process, and its gates are told
	// at once, so readiness need not fail for a while first.
	grace := fs.Lookup("grace")
	grace.DefValue = "0s"
	_ = grace.Value.Set(grace.DefValue) // a valid duration
	fs.StringVar(&s.listen, "listen", "", "address for the sessions of the gates")
	fs.StringVar(&s.engine, "engine", "", "base URL of the model engine, http://HOST:PORT")
	fs.StringVar(&s.service, "service", "", "plain service instead of an engine, NAME=URL")
	fs.IntVar(&s.slots, "slots", 0, "requests that may run at once; 0 takes the engine's report, or 32 if it has none")
	fs.BoolVar(&s.fencing, "fencing", false, "the engine refuses orders with an old fence")
	fs.IntVar(&s.records, "records", 0, "bound on the usage records kept; 0 means 50000")
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
		errs = append(errs, errors.New("--fencing is about an engine; remove it beside a service"))
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

// part is the side process inside the frame.
type part struct {
	*serve.Server
	set  settings
	keys *link.Keys
}

func newPart(set settings) (*part, error) {
	keys, err := link.LoadKeys(set.KeyFile)
	return &part{set: set, keys: keys}, err
}

// Status waits for nothing: the frame asks only while it runs.
func (p *part) Status() any { return p.Server.Status() }

func (p *part) settings(frame *server.Server) serve.Settings {
	out := serve.Settings{
		Name: ident.Backend(p.set.Name), Zone: ident.Zone(p.set.Zone), Keys: p.keys,
		Slots: p.set.slots, Fencing: p.set.fencing, MaxRecords: p.set.records, Registry: frame.Registry,
	}
	if p.set.engine != "" {
		out.Engine = engine.New(strings.TrimSuffix(p.set.engine, "/"), nil)
		return out
	}
	name, base, _ := p.set.parseService() // validated before
	out.Service = caller.New(name, base, p.set.slots, nil)
	return out
}

// Run implements server.Part.
func (p *part) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", p.set.listen)
	if err != nil {
		return eris.Wrap(err, "cannot listen for gates; set --listen to a free address")
	}
	klog.InfoS("Side process listens for gates", "addr", ln.Addr().String(), "backend", p.set.Name, "zone", p.set.Zone)
	return p.Server.Run(ctx, ln, ready)
}
