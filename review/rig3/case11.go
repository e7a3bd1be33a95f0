package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// catchUp is the bound catch-up-s.
	catchUp = 4 * time.Second
	// successorAge is how long the successor runs before the old machine goes; it is
	// more than catchUp.
	successorAge = 10 * time.Second
	// wipeDelay is the time from the end of the old machine to the loss of a disk.
	wipeDelay = time.Second
	// termDelay is the time from the loss of the disk to SIGTERM with REMOVE=term, a
	// second variant of the case.
	termDelay = 300 * time.Millisecond
	// downTime is how long the machine that loses its disk is down.
	downTime = 2 * time.Second
	// recoveryTime is the bound recovery-s, after which reads begin.
	recoveryTime = 12 * time.Second
	// readTime is how long the operator reads at the end; contact-ms is 3 s.
	readTime = 20 * time.Second
)

// coreConfig returns a small valid configuration.
func coreConfig(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-a","host":"desk.example","path-prefix":"/pay/","type":"unsafe","timeout-ms":600,"target-latency-ms":100,"priority":1,"service":"refund","max-attempts":1,"public":true}],"services":[{"name":"refund","health-path":"/healthz","max-connections":130,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"t1","api-keys":["k1k1k1k1k1"],"priority":1}]}`, version)
}

// lostCore replaces a machine of the core: the successor starts first and has its time
// to catch up, then the old machine is removed for good without SIGTERM. A second
// later the machine that has just acknowledged a configuration loses its disk. One
// loss has to be borne.
func lostCore(r *rig) (bool, error) {
	a, b, c := r.newMachine(1, "kolkata-a"), r.newMachine(2, "howrah-b"), r.newMachine(3, "salt-lake-c")
	d := r.newMachine(4, "kolkata-a")
	first := []*machine{a, b, c}
	state := map[*machine]*process{}
	cloud := fmt.Sprintf("%s200:%d", r.prefix, r.base+portCloud)
	for _, m := range first {
		if err := m.writeSettings(true, first, cloud); err != nil {
			return false, err
		}
		p, err := m.startRole("state")
		if err != nil {
			return false, err
		}
		state[m] = p
	}
	o := r.newOperator(first...)
	if _, err := o.sendConfig(1, coreConfig(1), 15*time.Second); err != nil {
		return false, err
	}

	// The successor: a new machine, a new address, an empty disk.
	if err := d.writeSettings(false, first, cloud); err != nil {
		return false, err
	}
	p, err := d.startRole("state")
	if err != nil {
		return false, err
	}
	state[d] = p
	time.Sleep(successorAge)
	if _, err := o.sendConfig(2, coreConfig(2), 8*time.Second); err != nil {
		return false, err
	}

	// The old machine leaves for good. It is one that does not lead.
	leader, err := o.order(http.MethodPost, "/api/configuration/replace", coreConfig(2), 8*time.Second)
	if err != nil {
		return false, err
	}
	old := a
	if leader.from == a.addr(portControl) {
		old = b
	}
	var left []*machine
	for _, m := range []*machine{a, b, c, d} {
		if m != old {
			left = append(left, m)
		}
	}
	stopsLate := os.Getenv("REMOVE") == "term"
	if r.trouble && !stopsLate {
		r.note("%s is removed for good, without SIGTERM; its successor %s has run for %v (catch-up-s is %v)", old.name, d.name, successorAge, catchUp)
		state[old].kill()
	}
	o.setNodes(left...)
	time.Sleep(wipeDelay)
	ack, err := o.sendConfig(3, coreConfig(3), 8*time.Second)
	if err != nil {
		return false, err
	}
	if r.trouble {
		for _, m := range left {
			if m.addr(portControl) != ack.from {
				continue
			}
			r.note("%s, which acknowledged configuration 3, loses its disk", m.name)
			state[m].kill()
			if err := os.RemoveAll(m.dir); err != nil {
				return false, err
			}
			if stopsLate {
				time.Sleep(termDelay)
				r.note("SIGTERM to %s, which is removed for good; its successor %s has run for %v", old.name, d.name, successorAge)
				state[old].signal(syscall.SIGTERM)
			}
			time.Sleep(downTime)
			if err := m.writeSettings(false, left, cloud); err != nil {
				return false, err
			}
			if state[m], err = m.startRole("state"); err != nil {
				return false, err
			}
		}
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(recoveryTime)

	// The end of the day: the operator reads back what was acknowledged.
	reads, good := 0, 0
	end := time.Now().Add(readTime)
	last := ""
	for time.Now().Before(end) {
		m := o.pick()
		reads++
		got, err := o.call(m, http.MethodGet, "/api/configuration/read", nil)
		switch {
		case err != nil:
			last = fmt.Sprintf("%s: %v", m.name, err)
		case got.status != http.StatusOK:
			last = fmt.Sprintf("%s: %d %s", m.name, got.status, got.body)
		case versionOf(got.body) == 3:
			good++
		default:
			last = fmt.Sprintf("%s: version %d", m.name, versionOf(got.body))
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.note("reads at the end: %d, configuration 3 came %d times; the last other answer: %s", reads, good, last)
	_, err = o.sendConfig(4, coreConfig(4), 8*time.Second)
	r.note("configuration 4 at the end: error %v", err)
	for _, p := range r.started() {
		for _, line := range p.logLines("Membership change", "Became leader", "Vote not given up") {
			r.note("log of %s: %s", p.m.name, line)
		}
	}
	return good == 0 || err != nil, nil
}
