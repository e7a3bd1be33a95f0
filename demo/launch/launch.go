// Package launch starts the whole system on loopback addresses, for the demo
// and for tests with real processes.
package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/client"
	"citronledge.example/core/link"
	"citronledge.example/stub/roster"
)

const (
	// stopTime is the deadline of the shutdown of one process.
	stopTime  = 20 * time.Second
	readyTime = 40 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Option configures a system.
type Option func(*System)

// WithBinDir sets the folder of the programs.
func WithBinDir(dir string) Option { return func(s *System) { s.bin = dir } }

// WithDataDir sets the folder for data, keys and logs.
func WithDataDir(dir string) Option { return func(s *System) { s.dir = dir } }

// WithSettings sets the settings folders; they are merged into one.
func WithSettings(dirs ...string) Option { return func(s *System) { s.folders = dirs } }

// WithModels sets the targets, MODEL/VERSION,..., that every engine serves.
func WithModels(models string) Option { return func(s *System) { s.models = models } }

// WithTokenTime sets the time that an engine needs for one token.
func WithTokenTime(d time.Duration) Option { return func(s *System) { s.token = d } }

// WithEngineArgs adds arguments for each engine.
func WithEngineArgs(args ...string) Option { return func(s *System) { s.engine = args } }

// WithServices sets the names of the plain services.
func WithServices(names ...string) Option { return func(s *System) { s.names = names } }

// WithProcessCounts sets the numbers of state processes, gates and engines.
func WithProcessCounts(states, gates, engines int) Option {
	return func(s *System) { s.sizes = [3]int{states, gates, engines} }
}

// System is the whole of the processes.
type System struct {
	States  []*Proc
	Gates   []*Proc
	Sides   []*Proc // of the engines
	Engines []*Proc
	// Services and their side processes have the order of WithServices.
	Services     []*Proc
	ServiceSides []*Proc
	Ratings      *Proc
	Members      *Proc
	// Client talks to the state cluster as an operator.
	Client *client.Client

	bin, dir        string
	keys, operators string // key files
	folders, names  []string
	models          string
	token           time.Duration
	engine          []string
	sizes           [3]int

	all   []*Proc
	ports map[string]bool
	err   error // of the preparation
}

// New prepares a system; Start starts it.
func New(opts ...Option) (*System, error) {
	s := &System{bin: "bin", ports: map[string]bool{}, sizes: [3]int{3, 2, 3}, token: 5 * time.Millisecond}
	for _, o := range opts {
		o(s)
	}
	s.keys = filepath.Join(s.dir, "keys.yaml")
	s.operators = filepath.Join(s.dir, "operator.yaml")
	err := errors.Join(writeKeys(s.keys, "process", "operator"), writeKeys(s.operators, "operator"))
	if err != nil {
		return nil, eris.Wrap(err, "cannot write the key files")
	}
	s.prepare()
	keys, err := link.LoadKeys(s.operators)
	if err := errors.Join(err, s.err); err != nil {
		return nil, err
	}
	s.Client, err = client.New(client.WithAddresses(addresses(s.States)...), client.WithLink(link.Config{Name: "operator", Keys: keys}))
	return s, err
}

func addresses(list []*Proc) []string {
	var addrs []string
	for _, p := range list {
		addrs = append(addrs, p.Addr)
	}
	return addrs
}

func (s *System) prepare() {
	s.Ratings = s.stub("ratings")
	s.Members = s.stub("members")
	s.prepareStates()
	for i := range s.sizes[1] {
		s.Gates = append(s.Gates, s.framed(fmt.Sprintf("gate-%d", i+1), "gate", zones[i%len(zones)], s.port(),
			"--state", strings.Join(addresses(s.States), ","), "--ratings", "http://"+s.Ratings.Addr+"/"))
	}
	for i := range s.sizes[2] {
		e := s.stub(fmt.Sprintf("engine-%d", i+1), append([]string{"--models", s.models, "--token", s.token.String()}, s.engine...)...)
		s.Engines = append(s.Engines, e)
		s.Sides = append(s.Sides, s.framed(fmt.Sprintf("runner-%d", i+1), "side", zones[i%len(zones)], s.port(),
			"--engine", "http://"+e.Addr))
	}
	for i, name := range s.names {
		p := s.stub("service-" + name)
		s.Services = append(s.Services, p)
		s.ServiceSides = append(s.ServiceSides, s.framed(name+"-1", "side", zones[i%len(zones)], s.port(),
			"--service", name+"=http://"+p.Addr, "--slots", "8"))
	}
}

func (s *System) prepareStates() {
	var addrs, peers []string
	for i := range s.sizes[0] {
		addrs = append(addrs, s.port())
		peers = append(peers, fmt.Sprintf("state-%d=%s", i+1, addrs[i]))
	}
	for i, addr := range addrs {
		name := fmt.Sprintf("state-%d", i+1)
		s.States = append(s.States, s.framed(name, "state", zones[i%len(zones)], addr,
			"--data", filepath.Join(s.dir, name), "--peers", strings.Join(peers, ","), "--members", "http://"+s.Members.Addr+"/"))
	}
}

// stub prepares a stand-in; the part of the name before the first dash is its
// kind.
func (s *System) stub(name string, args ...string) *Proc {
	kind, _, _ := strings.Cut(name, "-")
	addr := s.port()
	return s.proc(name, "stub", addr, append([]string{kind, "--listen", addr}, args...)...)
}

// Start starts everything, applies the settings and waits until the system
// serves.
func (s *System) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, p := range s.all {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range s.all {
		if err := p.ready(ctx); err != nil {
			return err
		}
	}
	if err := s.SetMemberStates(ctx, "live"); err != nil {
		return err
	}
	revision, err := s.Apply(ctx)
	if err != nil {
		return err
	}
	return s.awaitSides(ctx, revision)
}

// SetMemberStates puts all side processes on the platform's list in a state.
func (s *System) SetMemberStates(ctx context.Context, state string) error {
	var list []roster.Member
	add := func(p *Proc, i int, service string) {
		m := roster.Member{Name: p.Name, Addr: p.Addr, Zone: zones[i%len(zones)], State: state, Service: service}
		for target := range strings.SplitSeq(s.models, ",") {
			if model, _, _ := strings.Cut(target, "/"); service == "" {
				m.Models = append(m.Models, model)
			}
		}
		list = append(list, m)
	}
	for i, p := range s.Sides {
		add(p, i, "")
	}
	for i, p := range s.ServiceSides {
		add(p, i, s.names[i])
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.Members.Addr+"/", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// sideStatus is the part of the status page of a side process used here.
type sideStatus struct {
	Detail struct {
		Revision uint64   `json:"revision"`
		Leased   bool     `json:"leased"`
		Gates    []string `json:"gates"`
	} `json:"detail"`
}

// awaitSides waits until every side process is linked to every gate and has
// the revision in force.
func (s *System) awaitSides(ctx context.Context, revision uint64) error {
	for _, p := range append(append([]*Proc{}, s.Sides...), s.ServiceSides...) {
		err := p.poll(ctx, "linked to all gates", func() bool {
			var page sideStatus
			err := get(ctx, "http://"+p.AdminAddr+"/status", func(r *http.Response) error { return json.NewDecoder(r.Body).Decode(&page) })
			d := page.Detail
			return err == nil && d.Leased && d.Revision >= revision && len(d.Gates) >= len(s.Gates)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Stop stops everything with SIGTERM. Side processes go first, because they
// wait for the gates to bill what ran; the state processes go last.
func (s *System) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*stopTime)
	defer cancel()
	var errs []error
	for _, list := range [][]*Proc{append(append([]*Proc{}, s.Sides...), s.ServiceSides...), s.Gates, s.States, s.all} {
		errs = append(errs, stopAll(ctx, list))
	}
	_ = s.Client.Close()
	return errors.Join(errs...)
}

func stopAll(ctx context.Context, list []*Proc) error {
	var errs []error
	var running []*Proc
	for _, p := range list {
		select {
		case <-p.Done(): // before
		default:
			errs = append(errs, p.Signal(syscall.SIGTERM))
			running = append(running, p)
		}
	}
	for _, p := range running {
		errs = append(errs, p.Wait(ctx))
	}
	return errors.Join(errs...)
}

// Kill ends everything that still runs, at once.
func (s *System) Kill() {
	for _, p := range s.all {
		if p.Done() != nil {
			_ = p.Kill()
		}
	}
	_ = s.Client.Close()
}

// folder copies the settings folders into one and returns its path. Files
// keep the order of their names.
func (s *System) folder() (string, error) {
	dir := filepath.Join(s.dir, "settings")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	for _, from := range s.folders {
		names, err := filepath.Glob(filepath.Join(from, "*.yaml"))
		if err != nil {
			return "", err
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if err != nil {
				return "", err
			}
			base := strings.TrimSuffix(filepath.Base(name), ".yaml")
			to := filepath.Join(dir, base+"-"+filepath.Base(from)+".yaml")
			if err := os.WriteFile(to, data, 0o600); err != nil {
				return "", err
			}
		}
	}
	return dir, nil
}
