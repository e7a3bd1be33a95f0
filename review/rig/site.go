package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines. Each machine has a loopback address of
// its own; newSite moves the ports until they are free there.
var (
	portCallers   = 8227
	portReadiness = 8220
	portOperator  = 8229
	portList      = 8223
	portFirst     = 7340
	portLast      = 7355
)

const portStep = 20 // by which newSite moves the ports

// portsFree reports whether the ports can be used at an address.
func portsFree(ip string) bool {
	for _, port := range []int{portCallers, portReadiness, portOperator, portFirst, portFirst + 1} {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func movePorts() {
	for _, port := range []*int{&portCallers, &portReadiness, &portOperator, &portList, &portFirst, &portLast} {
		*port += portStep
	}
}

// Bounds of the deployment aten-citron, as its sheet gives them.
const (
	contact     = 3 * time.Second
	catchUp     = 4 * time.Second
	grace       = 8 * time.Second
	configApply = 2 * time.Second
	lossSlack   = 200 * time.Millisecond
)

// site is a small deployment on loopback addresses: machines of the system, the
// infrastructure's list and the servers. It owns every process that it starts.
type site struct {
	dir    string // temporary folder
	subnet string // the first three bytes of every address
	rec    *record
	list   *list
	seeds  []string

	mu       sync.Mutex
	machines []*machine
	lastHost int
}

// machine is one edge machine.
type machine struct {
	site     *site
	name, ip string
	zone     string
	disk     bool
	gate     *process
	state    *process
}

// process is one process of the system.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// newSite finds a free range of loopback addresses.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	for n := range 200 {
		b := (os.Getpid() + n*37) % 60000
		subnet := fmt.Sprintf("127.%d.%d.", 16+b/250%200, 1+b%250)
		ln, err := net.Listen("tcp", net.JoinHostPort(subnet+"1", fmt.Sprint(portList)))
		if err != nil || !portsFree(subnet+"1") {
			if err == nil {
				_ = ln.Close()
			}
			movePorts()
			continue
		}
		s := &site{dir: dir, subnet: subnet, rec: rec, lastHost: 10}
		s.list = newList(ln)
		return s, nil
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

var zones = []string{"tunis-a", "tunis-b", "tunis-c"}

// addMachine adds a machine that does not run yet.
func (s *site) addMachine(disk bool) *machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHost++
	zone := zones[len(s.machines)%len(zones)]
	m := &machine{site: s, name: fmt.Sprintf("edge-%s-%d", zone, s.lastHost), ip: s.subnet + fmt.Sprint(s.lastHost), zone: zone, disk: disk}
	s.machines = append(s.machines, m)
	return m
}

func (m *machine) addr(port int) string { return net.JoinHostPort(m.ip, fmt.Sprint(port)) }

// writeSettings writes the settings file of a role and returns its path.
func (m *machine) writeSettings(role string, bootstrap bool) string {
	dataDir := any(nil)
	listen := map[string]string{"frontend": m.addr(portCallers), "readiness": m.addr(portReadiness)}
	serves := []string{"edge"}
	if role == "state" {
		listen, serves = map[string]string{"control-plane": m.addr(portOperator)}, []string{"control"}
		if m.disk {
			dataDir = filepath.Join(m.site.dir, m.name, "data")
		}
	}
	settings := map[string]any{
		"node-name": m.name, "role": role, "machine-class": "edge", "serves": serves, "ip": m.ip, "zone": m.zone, "region": "tunis",
		"zones":               map[string]string{"tunis-a": "tunis", "tunis-b": "tunis", "tunis-c": "tunis"},
		"listen":              listen,
		"internal-port-range": []int{portFirst, portLast},
		"seed-nodes":          m.site.seeds, "bootstrap": bootstrap, "counts-as-loss": m.disk,
		"limits":   map[string]any{"cpu-share": 0.72, "cpu-cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 64},
		"data-dir": dataDir, "discovery": "cloud_api", "entry": "vip", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "rollout"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-timeout-ms": 3000,
			"grace-period-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000,
			"strict-revocation": false, "revocation-ms": 5000, "retry-budget-ratio": 0.9, "retry-window-s": 10, "budget-slack": 64,
			"canary-share": 0.15, "canary-tolerance": 30, "rollback-ms": 5000, "recovery-s": 12, "max-delivery-ms": 120, "reuse-window-s": 10, "session-s": 5,
		},
		"config-mode": "highest",
		"cloud-api":   map[string]any{"address": m.site.list.addr, "rate-per-s": 47.0, "duties": []string{}, "max-lag-ms": 800},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	dir := filepath.Join(m.site.dir, m.name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
		panic(err)
	}
	path := filepath.Join(dir, role+".json")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		panic(err)
	}
	return path
}

// start starts a role with the command of the deploy file.
func (m *machine) start(role string, bootstrap bool) error {
	settings := m.writeSettings(role, bootstrap)
	out, err := os.OpenFile(filepath.Join(m.site.dir, m.name, role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join("target", role), "--platform", "--config", filepath.Join("deploy", role+".yaml"))
	cmd.Dir = root
	cmd.Env = []string{"CITRONLEDGE_NODE_FILE=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	if role == "gate" {
		m.gate = p
	} else {
		m.state = p
	}
	return nil
}

// stop sends a signal and waits for the end of the process.
func (p *process) stop(sig syscall.Signal) {
	if p == nil {
		return
	}
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.done:
	case <-time.After(grace):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the temporary folder. If KEEP is set, the
// logs of the processes stay.
func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		for _, p := range []*process{m.gate, m.state} {
			if p != nil {
				_ = p.cmd.Process.Kill()
				<-p.done
			}
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// startCore starts three machines with a disk, each with both roles, and puts
// the first configuration in force.
func (s *site) startCore(config map[string]any) ([]*machine, error) {
	var core []*machine
	for range 3 {
		core = append(core, s.addMachine(true))
	}
	s.setSeeds(core)
	for _, m := range core {
		if err := m.start("state", true); err != nil {
			return nil, err
		}
		if err := m.start("gate", true); err != nil {
			return nil, err
		}
	}
	if !s.replaceConfig(core, config, 10*time.Second) {
		return nil, fmt.Errorf("the first configuration was not confirmed")
	}
	for _, m := range core {
		if !waitReady(m, 10*time.Second) {
			return nil, fmt.Errorf("%s does not become ready", m.name)
		}
	}
	return core, nil
}

// setSeeds sets the seeds that settings files name from now on.
func (s *site) setSeeds(list []*machine) {
	s.seeds = nil
	for _, m := range list {
		s.seeds = append(s.seeds, m.addr(portOperator))
	}
}

func names(list []*machine) string {
	var n []string
	for _, m := range list {
		n = append(n, m.name)
	}
	return strings.Join(n, " ")
}
