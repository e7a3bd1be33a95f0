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

// Ports are the same for all processes of a site; each process has an address
// of its own.
const (
	internalPort = 21000
	operatorPort = 21100
	callerPort   = 21200
	readyPort    = 21201
)

const (
	states   = 3
	gates    = 3
	servers  = 4
	stopTime = 8 * time.Second // from SIGTERM to SIGKILL
	keys     = "keys:\n- {name: k, role: process, secret: MDEyMzQ1Njc4OWFiY2RlZg==}\n"
)

// member is one process of the system and the proxy in front of it.
type member struct {
	*program
	ip string
	// front is where others connect to the process: callers to a gate, all
	// other processes to a state process.
	front *proxy
	// operators is the proxy in front of a state process's operators' interface.
	operators *proxy
	busy      sync.Mutex // while it is stopped and started
}

// site is a whole system on loopback addresses.
type site struct {
	dir      string
	states   []*member
	gates    []*member
	backends *backends
}

// address is in the block of loopback addresses of this run.
func address(block uint16, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+block>>8&0x7f, block&0xff, n)
}

// newSite starts everything but the processes. bin holds the programs.
func newSite(bin, dir string, b *recorder) (*site, error) {
	s := &site{dir: dir}
	if err := os.WriteFile(filepath.Join(dir, "keys.yaml"), []byte(keys), 0o600); err != nil {
		return nil, err
	}
	var err error
	if s.backends, err = newBackends(b); err != nil {
		return nil, err
	}
	for range servers {
		if err := s.backends.add(); err != nil {
			return nil, err
		}
	}
	block := uint16(rand.Uint32()) // not by the seed: runs of one seed may overlap
	var seeds []string
	for i := range states {
		seeds = append(seeds, fmt.Sprintf("%s:%d", address(block, 20+i), operatorPort))
	}
	for i := range states {
		m := s.member(bin, "state", i+1, address(block, 10+i), seeds)
		public := address(block, 20+i)
		m.node.OperatorAddr, m.node.DataDir = at(m.ip, operatorPort), filepath.Join(dir, m.name+"-data")
		m.args = append(m.args, "--advertise", at(public, internalPort))
		if m.front, err = newProxy(at(public, internalPort), at(m.ip, internalPort)); err != nil {
			return nil, err
		}
		if m.operators, err = newProxy(at(public, operatorPort), at(m.ip, operatorPort)); err != nil {
			return nil, err
		}
		s.states = append(s.states, m)
	}
	for i := range gates {
		m := s.member(bin, "gate", i+1, address(block, 30+i), seeds)
		m.node.CallerAddr, m.node.ReadinessAddr = at(m.ip, callerPort), at(m.ip, readyPort)
		if m.front, err = newProxy(at(address(block, 40+i), callerPort), at(m.ip, callerPort)); err != nil {
			return nil, err
		}
		s.gates = append(s.gates, m)
	}
	return s, nil
}

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

func (s *site) member(bin, role string, n int, ip string, seeds []string) *member {
	p := &program{name: fmt.Sprintf("%s-%d", role, n), path: filepath.Join(bin, role), dir: s.dir}
	p.args = []string{"--keys", filepath.Join(s.dir, "keys.yaml")}
	p.node = users.Node{
		Name: p.name, IP: ip, SeedAddrs: seeds, FirstInternalPort: internalPort, Bootstrap: true, BackendListAddr: s.backends.list.Addr().String(),
		ToleratedLosses: 1, StopTimeout: stopTime, DrainTimeout: leftBy, RetryBudgetRatio: retryRatio, RetryBudgetSlack: retrySlack,
	}
	return &member{program: p, ip: ip}
}

// all returns all processes.
func (s *site) all() []*member { return append(append([]*member(nil), s.states...), s.gates...) }

// start runs all processes for the first time.
func (s *site) start() error {
	for _, m := range s.all() {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range s.all() {
		m.node.Bootstrap = false
	}
	return nil
}

// wipe removes the data folder of a state process that is down.
func (m *member) wipe() error { return os.RemoveAll(m.node.DataDir) }

// tear appends bytes that no sync covered to the newest file of a state process
// that is down, as a loss of power may leave them.
func (m *member) tear(r *rand.Rand) error {
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

// close ends all processes that this run has started.
func (s *site) close() {
	for _, m := range s.all() {
		m.kill()
		m.front.close()
		if m.operators != nil {
			m.operators.close()
		}
	}
	s.backends.close()
}
