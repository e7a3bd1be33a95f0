package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playStale: machines that serve control are replaced one after the other, as
// in a long life of the system, while the gate of one machine goes on.
func playStale(s *site, trouble bool) (verdict, error) {
	serve := func(b *server, w http.ResponseWriter, r *http.Request) {
		b.sign(w)
		b.begin(r, " "+r.URL.Path)
		_, _ = w.Write([]byte("done\n"))
	}
	for range 3 {
		if _, err := s.addServer("wuno96b", 6, serve); err != nil {
			return verdict{}, err
		}
	}
	core, err := s.startCore(config(2, plainRoute("r-old", "/old/", "safe")))
	if err != nil {
		return verdict{}, err
	}
	edge := s.addMachine(false) // a machine without a disk, which only carries traffic
	if err := edge.start("gate", false); err != nil {
		return verdict{}, err
	}
	if !waitReady(edge, 10*time.Second) {
		return verdict{}, fmt.Errorf("%s does not become ready", edge.name)
	}
	if trouble {
		if core, err = s.turnOver(core, edge); err != nil {
			return verdict{}, err
		}
	}
	return s.checkStale(core, edge)
}

const (
	turnovers   = 11
	turnoverGap = 2500 * time.Millisecond
)

// turnOver replaces the machines without a disk that serve control, which the
// settings name as seeds, and then the machines of the core, one at a time.
func (s *site) turnOver(core []*machine, edge *machine) ([]*machine, error) {
	var control []*machine
	for i := range turnovers {
		old := control
		control = nil
		for range 3 {
			m := s.addMachine(false)
			if i == 0 {
				s.setSeeds(core)
			} else {
				s.setSeeds(old)
			}
			if err := m.start("state", false); err != nil {
				return nil, err
			}
			control = append(control, m)
		}
		time.Sleep(turnoverGap)
		s.setSeeds(control)
		s.rec.printf("the settings name other seeds: %s; SIGHUP", names(control))
		edge.writeSettings("gate", false)
		_ = edge.gate.cmd.Process.Signal(syscall.SIGHUP)
		for _, m := range core {
			m.writeSettings("state", false)
			_ = m.state.cmd.Process.Signal(syscall.SIGHUP)
		}
		for _, m := range old {
			m.state.stop(syscall.SIGTERM)
		}
	}
	for i := range core {
		next := s.addMachine(true)
		s.rec.printf("core machine %s is gone for good; %s comes", core[i].name, next.name)
		core[i].gate.stop(syscall.SIGKILL)
		core[i].state.stop(syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := next.start("state", false); err != nil {
			return nil, err
		}
		if err := next.start("gate", false); err != nil {
			return nil, err
		}
		core[i] = next
		time.Sleep(catchUp + 2*time.Second)
	}
	return core, nil
}

// checkStale restarts the processes of the core one after the other, then sends
// a change and looks whether the gate of the edge machine follows it.
func (s *site) checkStale(core []*machine, edge *machine) (verdict, error) {
	for _, m := range core {
		s.rec.printf("state process of %s is killed and starts again", m.name)
		m.state.stop(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		if err := m.start("state", false); err != nil {
			return verdict{}, err
		}
		time.Sleep(catchUp)
	}
	time.Sleep(contact)
	if !s.replaceConfig(core, config(7, plainRoute("r-new", "/new/", "safe")), 4*time.Second) {
		return verdict{}, fmt.Errorf("the change was not confirmed")
	}
	time.Sleep(configApply + time.Second)
	stale := 0
	const requests = 10
	for i := range requests {
		oldAnswer := s.probe(edge, fmt.Sprintf("0c41d07be2a3%04x", i), "/old/")
		newAnswer := s.probe(edge, fmt.Sprintf("1c41d07be2a3%04x", i), "/new/")
		if oldAnswer.status == http.StatusOK || newAnswer.status == http.StatusNotFound {
			stale++
		}
		time.Sleep(300 * time.Millisecond)
	}
	if !edge.gate.alive() {
		return verdict{}, fmt.Errorf("the gate has ended")
	}
	fresh := s.probe(core[0], "2c41d07be2a30000", "/new/")
	if fresh.status != http.StatusOK {
		return verdict{}, fmt.Errorf("the gate of %s does not serve the new route either: %s", core[0].name, fresh)
	}
	return verdict{stale > 0, fmt.Sprintf("CONFIG: %d of %d times %s handled requests as only version 2 allows, over %v after version 7 was confirmed", stale, requests, edge.name, configApply+time.Second)}, nil
}

func (s *site) probe(to *machine, id, path string) answer {
	a := s.send(context.Background(), to, caller{id: id, method: "GET", path: path + "x", timeout: time.Second})
	s.rec.printf("client: %s %s sent to %s: %s", id, path, to.name, a)
	return a
}
