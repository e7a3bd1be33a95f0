package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of all machines; each machine has a loopback address of its own.
const (
	callerPort    = 8227
	readinessPort = 8220
	operatorPort  = 8229
	internalPort  = 7340
	runnerPort    = 8080
	listPort      = 8223
)

// zones of the deployment.
var zones = []string{"kolkata-a", "howrah-b", "salt-lake-c"}

// machine is an edge machine that runs a state process and a gate.
type machine struct {
	name, ip, zone string
	index          int
	memoryMB       int
	state, gate    *process
}

// site is a small deployment on loopback addresses: edge machines with a disk,
// the infrastructure's list of runners, and runners.
type site struct {
	rec      *record
	root     string // of the repository
	dir      string // temporary
	block    string // first three bytes of all addresses
	machines []*machine
	list     *runnerList
	// env is added to the environment of the processes.
	env []string
}

// newSite prepares a deployment of three edge machines with a disk.
func newSite(rec *record, root string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, root: root, dir: dir}
	// A block of loopback addresses that no other run is likely to use.
	s.block = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range 3 {
		s.machines = append(s.machines, &machine{
			name: fmt.Sprintf("edge-%s-1", zones[i]), ip: s.addr(i + 1), zone: zones[i], index: i, memoryMB: 134,
		})
	}
	if s.list, err = serveList(s.addr(250) + fmt.Sprintf(":%d", listPort)); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *site) addr(n int) string { return fmt.Sprintf("%s.%d", s.block, n) }

// settings returns the settings file of one role on a machine, as the
// infrastructure writes it.
func (s *site) settings(m *machine, role string, bootstrap bool) []byte {
	hostPort := func(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	var seeds []string
	for _, x := range s.machines {
		seeds = append(seeds, hostPort(x.ip, operatorPort))
	}
	listen, serves := map[string]string{"control-plane": hostPort(m.ip, operatorPort)}, []string{"control"}
	if role == "gate" {
		listen, serves = map[string]string{"frontend": hostPort(m.ip, callerPort), "readiness": hostPort(m.ip, readinessPort)}, []string{"edge"}
	}
	text, _ := json.MarshalIndent(map[string]any{
		"node-name": m.name, "role": role, "machine-class": "edge", "serves": serves, "ip": m.ip, "zone": m.zone, "region": "bangla-east",
		"zones":  map[string]string{zones[0]: "bangla-east", zones[1]: "bangla-east", zones[2]: "bangla-east"},
		"listen": listen, "internal-port-range": []int{internalPort, internalPort + 15}, "seed-nodes": seeds, "bootstrap": bootstrap, "counts-as-loss": true,
		"limits":   map[string]any{"cpu-share": 0.72, "cpu-cores": 1, "memory-mb": m.memoryMB, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 64},
		"data-dir": filepath.Join(s.dir, m.name, role), "discovery": "cloud_api", "entry": "vip", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "rollout"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-timeout-ms": 3000, "grace-period-s": 8,
			"loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000, "strict-revocation": false, "revocation-ms": 5000,
			"retry-budget-ratio": 0.9, "retry-window-s": 10, "budget-slack": 64, "canary-share": 0.15, "canary-tolerance": 30, "rollback-ms": 5000,
			"recovery-s": 12, "max-delivery-ms": 120, "reuse-window-s": 7.8, "session-s": 5,
		},
		"config-mode": "highest", "cloud-api": map[string]any{"address": s.list.addr, "rate-per-s": 47.0, "duties": []string{}, "max-lag-ms": 800},
	}, "", "  ")
	return text
}

// process is one process of the system.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// startProcess starts the program of a role with the command of the deploy file.
// It must be called from the main goroutine, whose thread must not end before the
// process: the process is killed with it.
func (s *site) startProcess(m *machine, role string, bootstrap bool) (*process, error) {
	folder := filepath.Join(s.dir, m.name, role)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	file := filepath.Join(s.dir, m.name, role+".json")
	if err := os.WriteFile(file, s.settings(m, role, bootstrap), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, m.name, role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("target/"+role, "--platform", "--config", "deploy/"+role+".yaml")
	cmd.Dir = s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONLEDGE_NODE_FILE=" + file}
	cmd.Env = append(cmd.Env, s.env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: m.name + "/" + role, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		s.rec.add(m.name, "%s process ended: %s", role, cmd.ProcessState)
		close(p.exited)
	}()
	s.rec.add(m.name, "%s process started, pid %d", role, cmd.Process.Pid)
	return p, nil
}

func (p *process) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// start starts all processes.
func (s *site) start() error { return s.startMachines(s.machines) }

// startMachines starts the processes of machines for the first time.
func (s *site) startMachines(list []*machine) error {
	for _, m := range list {
		for _, role := range []string{"state", "gate"} {
			p, err := s.startProcess(m, role, true)
			if err != nil {
				return err
			}
			if role == "state" {
				m.state = p
			} else {
				m.gate = p
			}
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, m := range s.machines {
		for _, p := range []*process{m.gate, m.state} {
			if p != nil && !p.hasEnded() {
				_ = p.cmd.Process.Kill()
				<-p.exited
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// operate sends an operator's call, and follows redirects, to one machine after
// the other until it is accepted.
func (s *site) operate(method, path string, body []byte, limit time.Duration) ([]byte, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	var last error
	for i := 0; time.Now().Before(end); i++ {
		m := s.machines[i%len(s.machines)]
		req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, operatorPort, path), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return text, nil
			}
			err = fmt.Errorf("%s from %s: %s", resp.Status, m.name, strings.TrimSpace(string(text)))
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("no confirmation of %s %s: %w", method, path, last)
}

// sendConfig sends a config until it is confirmed.
func (s *site) sendConfig(config map[string]any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if _, err = s.operate(http.MethodPost, "/api/configuration/replace", body, 10*time.Second); err == nil {
		s.rec.add("operator", "config version %v confirmed", config["version"])
	}
	return err
}

// ready reports whether a machine answers the infrastructure's question.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", m.ip, readinessPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (s *site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range s.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
