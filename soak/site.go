package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/stub/users"
)

// Ports of all processes of a site; each process has its own address.
const (
	internalPort = 21000
	operatorPort = 21100
	callerPort   = 21200
	readyPort    = 21201
)

const (
	stateCount   = 3
	gateCount    = 3
	backendCount = 4
	stopTimeout  = 8 * time.Second // from SIGTERM to SIGKILL
	keysYAML     = "keys:\n- {name: k, role: process, secret: MDEyMzQ1Njc4OWFiY2RlZg==}\n"
)

// member is one process of the system and the proxy in front of it.
type member struct {
	*program
	ip string
	// frontProxy is the proxy through which others connect to the process:
	// callers to a gate, all other processes to a state process.
	frontProxy *proxy
	// operatorProxy is the proxy in front of the operator API; nil for a gate.
	operatorProxy *proxy
	lifecycleMu   sync.Mutex // held while the process is stopped and restarted
}

// site is a whole system on loopback addresses.
type site struct {
	dir      string
	states   []*member
	gates    []*member
	backends *backends
}

// loopbackAddr returns address n in the block of loopback addresses of this run.
func loopbackAddr(block uint16, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+block>>8&0x7f, block&0xff, n)
}

// newSite starts the proxies and backend servers of a site and prepares its
// processes. bin is the folder with the programs.
func newSite(bin, dir string, rec *recorder) (*site, error) {
	s := &site{dir: dir}
	if err := os.WriteFile(filepath.Join(dir, "keys.yaml"), []byte(keysYAML), 0o600); err != nil {
		return nil, err
	}
	var err error
	if s.backends, err = newBackends(rec); err != nil {
		return nil, err
	}
	for i := range backendCount {
		if err := s.backends.add(zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	block := uint16(rand.Uint32()) // not from the seed: runs of the same seed may overlap
	var seeds []string
	for i := range stateCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", loopbackAddr(block, 20+i), operatorPort))
	}
	for i := range stateCount {
		m := s.newMember(bin, "state", i+1, loopbackAddr(block, 10+i), seeds)
		public := loopbackAddr(block, 20+i)
		m.node.OperatorAddr, m.node.DataDir = hostPort(m.ip, operatorPort), filepath.Join(dir, m.name+"-data")
		m.args = append(m.args, "--advertise", hostPort(public, internalPort))
		if m.frontProxy, err = newProxy(hostPort(public, internalPort), hostPort(m.ip, internalPort)); err != nil {
			return nil, err
		}
		if m.operatorProxy, err = newProxy(hostPort(public, operatorPort), hostPort(m.ip, operatorPort)); err != nil {
			return nil, err
		}
		s.states = append(s.states, m)
	}
	for i := range gateCount {
		m := s.newMember(bin, "gate", i+1, loopbackAddr(block, 30+i), seeds)
		m.node.CallerAddr, m.node.ReadinessAddr = hostPort(m.ip, callerPort), hostPort(m.ip, readyPort)
		if m.frontProxy, err = newProxy(hostPort(loopbackAddr(block, 40+i), callerPort), hostPort(m.ip, callerPort)); err != nil {
			return nil, err
		}
		s.gates = append(s.gates, m)
	}
	return s, nil
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

func (s *site) newMember(bin, role string, n int, ip string, seeds []string) *member {
	p := &program{name: fmt.Sprintf("%s-%d", role, n), path: filepath.Join(bin, role), dir: s.dir}
	p.args = []string{"--keys", filepath.Join(s.dir, "keys.yaml")}
	p.node = users.Node{
		Name: p.name, IP: ip, SeedAddrs: seeds, FirstInternalPort: internalPort, Bootstrap: true, BackendListAddr: s.backends.listListener.Addr().String(),
		MaxLostVMs: 1, StopTimeout: stopTimeout, DrainTimeout: leaveGrace, RetryBudgetRatio: retryBudgetRatio, RetryBudgetSlack: retryBudgetSlack,
	}
	return &member{program: p, ip: ip}
}

// members returns all processes.
func (s *site) members() []*member { return append(append([]*member(nil), s.states...), s.gates...) }

// start starts all processes for the first time; later starts must not bootstrap
// a new cluster.
func (s *site) start() error {
	for _, m := range s.members() {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range s.members() {
		m.node.Bootstrap = false
	}
	return nil
}

// removeData removes the data folder of a state process. The process must be
// down.
func (m *member) removeData() error { return os.RemoveAll(m.node.DataDir) }

// appendTornWrite appends random bytes to the newest log file of a state
// process, as a power loss may leave after a write that was not synced. The
// process must be down.
func (m *member) appendTornWrite(r *rand.Rand) error {
	files, err := filepath.Glob(filepath.Join(m.node.DataDir, "*"))
	if err != nil {
		return err
	}
	var newest string
	var changed time.Time
	for _, f := range files {
		if info, err := os.Stat(f); err == nil && info.Mode().IsRegular() && filepath.Ext(f) == ".log" && info.ModTime().After(changed) {
			newest, changed = f, info.ModTime()
		}
	}
	if newest == "" {
		return eris.New("there is no log file to tear")
	}
	f, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	junk := make([]byte, 1+r.IntN(200))
	for i := range junk {
		junk[i] = byte(r.Uint32())
	}
	_, err = f.Write(junk)
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

// close kills all processes of the run and closes the proxies and backend
// servers.
func (s *site) close() {
	for _, m := range s.members() {
		m.kill()
		m.frontProxy.close()
		if m.operatorProxy != nil {
			m.operatorProxy.close()
		}
	}
	s.backends.close()
}
