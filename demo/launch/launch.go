// Package launch starts the whole system as processes on loopback addresses, for
// the demo, for measurements and for tests.
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
	"citronledge.example/core/reply"
	"citronledge.example/stub/roster"
)

const (
	stopTimeout  = 20 * time.Second // for the shutdown of one process
	startTimeout = 40 * time.Second // until the whole system serves
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Option configures a system.
type Option func(*System)

// WithBinDir sets the folder of the programs.
func WithBinDir(dir string) Option { return func(s *System) { s.bin = dir } }

// WithDataDir sets the folder for data, keys and logs.
func WithDataDir(dir string) Option { return func(s *System) { s.dir = dir } }

// WithSettings sets the settings folders; they are merged into one.
func WithSettings(dirs ...string) Option { return func(s *System) { s.settingsDirs = dirs } }

// WithModels sets the targets, MODEL/VERSION,..., that every engine serves.
func WithModels(models string) Option { return func(s *System) { s.models = models } }

// WithTokenTime sets the time that an engine needs for one token.
func WithTokenTime(d time.Duration) Option { return func(s *System) { s.tokenTime = d } }

// WithEngineArgs adds arguments for each engine.
func WithEngineArgs(args ...string) Option { return func(s *System) { s.engineArgs = args } }

// WithServices sets the names of the plain services.
func WithServices(names ...string) Option { return func(s *System) { s.serviceNames = names } }

// WithProcessCounts sets the numbers of state processes, gates and engines.
func WithProcessCounts(states, gates, engines int) Option {
	return func(s *System) { s.counts = [3]int{states, gates, engines} }
}

// System holds the processes of the whole system.
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

	bin, dir string
	// keyFile has the keys of processes and operators.
	keyFile, operatorKeyFile   string
	settingsDirs, serviceNames []string
	models                     string
	tokenTime                  time.Duration
	engineArgs                 []string
	counts                     [3]int // of state processes, gates and engines

	all        []*Proc
	usedAddrs  map[string]bool
	prepareErr error
}

// New prepares a system; Start starts it.
func New(opts ...Option) (*System, error) {
	s := &System{bin: "bin", usedAddrs: map[string]bool{}, counts: [3]int{3, 2, 3}, tokenTime: 5 * time.Millisecond}
	for _, o := range opts {
		o(s)
	}
	s.keyFile = filepath.Join(s.dir, "keys.yaml")
	s.operatorKeyFile = filepath.Join(s.dir, "operator.yaml")
	err := errors.Join(writeKeys(s.keyFile, "process", "operator"), writeKeys(s.operatorKeyFile, "operator"))
	if err != nil {
		return nil, eris.Wrap(err, "cannot write the key files")
	}
	s.prepare()
	keys, err := link.LoadKeys(s.operatorKeyFile)
	if err := errors.Join(err, s.prepareErr); err != nil {
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
	s.Ratings = s.prepareStub("ratings")
	s.Members = s.prepareStub("members")
	s.prepareStates()
	for i := range s.counts[1] {
		s.Gates = append(s.Gates, s.prepareServer(fmt.Sprintf("gate-%d", i+1), "gate", zones[i%len(zones)], s.freeAddr(),
			"--state", strings.Join(addresses(s.States), ","), "--ratings", "http://"+s.Ratings.Addr+"/"))
	}
	for i := range s.counts[2] {
		e := s.prepareStub(fmt.Sprintf("engine-%d", i+1), append([]string{"--models", s.models, "--token", s.tokenTime.String()}, s.engineArgs...)...)
		s.Engines = append(s.Engines, e)
		s.Sides = append(s.Sides, s.prepareServer(fmt.Sprintf("runner-%d", i+1), "side", zones[i%len(zones)], s.freeAddr(),
			"--engine", "http://"+e.Addr))
	}
	for i, name := range s.serviceNames {
		p := s.prepareStub("service-" + name)
		s.Services = append(s.Services, p)
		s.ServiceSides = append(s.ServiceSides, s.prepareServer(name+"-1", "side", zones[i%len(zones)], s.freeAddr(),
			"--service", name+"=http://"+p.Addr, "--slots", "8"))
	}
}

func (s *System) prepareStates() {
	var addrs, peers []string
	for i := range s.counts[0] {
		addrs = append(addrs, s.freeAddr())
		peers = append(peers, fmt.Sprintf("state-%d=%s", i+1, addrs[i]))
	}
	for i, addr := range addrs {
		name := fmt.Sprintf("state-%d", i+1)
		s.States = append(s.States, s.prepareServer(name, "state", zones[i%len(zones)], addr,
			"--data", filepath.Join(s.dir, name), "--peers", strings.Join(peers, ","), "--members", "http://"+s.Members.Addr+"/"))
	}
}

// prepareStub prepares a stub process. The part of the name before the first dash
// is the kind of stub.
func (s *System) prepareStub(name string, args ...string) *Proc {
	kind, _, _ := strings.Cut(name, "-")
	addr := s.freeAddr()
	return s.prepareProc(name, "stub", addr, append([]string{kind, "--listen", addr}, args...)...)
}

// Start starts all processes, applies the settings and waits until the system
// serves requests.
func (s *System) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, p := range s.all {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range s.all {
		if err := p.waitReady(ctx); err != nil {
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
	return s.waitForSides(ctx, revision)
}

// SetMemberStates replaces the platform's member list by all side processes, each
// in the given state.
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
		add(p, i, s.serviceNames[i])
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.Members.Addr+"/", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := reply.DefaultClient.Do(req)
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

// waitForSides waits until every side process is linked to every gate and has
// the revision in force.
func (s *System) waitForSides(ctx context.Context, revision uint64) error {
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

// Stop stops all processes with SIGTERM. Side processes stop first, because they
// wait until the gates have billed their work; then the gates, the state processes
// and the stubs.
func (s *System) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*stopTimeout)
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
		case <-p.Done(): // already ended
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

// Kill kills all processes that still run.
func (s *System) Kill() {
	for _, p := range s.all {
		if p.Done() != nil {
			_ = p.Kill()
		}
	}
	_ = s.Client.Close()
}

// mergeSettings copies the settings folders into one and returns its path. The
// files keep the order of their names.
func (s *System) mergeSettings() (string, error) {
	dir := filepath.Join(s.dir, "settings")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	for _, from := range s.settingsDirs {
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
