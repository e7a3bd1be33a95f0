package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// Figures of the case first.
const (
	// startSpread is how much later than the others the last machine starts.
	startSpread  = 250 * time.Millisecond
	lossAfter    = 0 * time.Millisecond // from the start of that machine
	darkTime     = 3500 * time.Millisecond
	firstWait    = 40 * time.Second // in which the operator resends the first config
	readTime     = 6 * time.Second  // in which it asks for the config, twice contact-ms
	firstLookups = 60
)

// playFirst loses one core machine with its disk as it starts for the first time,
// and checks that the config comes when it is read at the end.
func playFirst(s *site, trouble bool) (bool, error) {
	after := lossAfter
	if text := os.Getenv("AFTER"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return false, err
		}
		after = d
	}
	work := func(r *runner, q *work) bool {
		r.rec.add(r.id, "runs %s", q.attempt())
		if !q.wait(15 * time.Millisecond) {
			return false
		}
		r.head(q, 200, r.signature(q), "Content-Type: text/plain", "Content-Length: 5")
		_, _ = q.conn.Write([]byte("done\n"))
		return true
	}
	var entries []json.RawMessage
	for i := range 3 {
		r := &runner{
			rec: s.rec, id: fmt.Sprintf("i-%07d", i+1), service: "refund-desk", zone: zones[i], version: "v1", slots: 6, work: work,
			addr: fmt.Sprintf("%s:%d", s.addr(101+i), runnerPort),
		}
		if err := r.start(); err != nil {
			return false, err
		}
		entries = append(entries, r.entry())
	}
	s.list.set(entries...)
	if err := s.startMachines(s.machines[:2]); err != nil {
		return false, err
	}
	time.Sleep(startSpread)
	if err := s.startMachines(s.machines[2:]); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(after)
		if err := s.losePower(s.machines[2]); err != nil {
			return false, err
		}
		time.Sleep(darkTime)
		if err := s.restartEmpty(s.machines[2]); err != nil {
			return false, err
		}
	}
	route := map[string]any{
		"name": "r-status", "host": host, "path-prefix": "/lohu930/", "type": "safe", "timeout-ms": 600, "target-latency-ms": 100, "priority": 2,
		"service": "refund-desk", "max-attempts": 2, "public": false,
	}
	body, err := json.Marshal(config(7, []map[string]any{route}, []map[string]any{plainService("refund-desk")}))
	if err != nil {
		return false, err
	}
	_, err = s.operate(http.MethodPost, "/api/configuration/replace", body, firstWait)
	s.rec.say("the first config: confirmed %v, error %v", err == nil, err)
	time.Sleep(2 * time.Second)
	served := 0
	for n := range firstLookups {
		q := request{
			attempt: newAttempt(), method: http.MethodGet, host: host, path: fmt.Sprintf("/lohu930/%d", n), deadline: 600 * time.Millisecond,
			headers: []string{"Key: " + apiKey},
		}
		if p := s.send(s.machines[n%3], q); p.status == 200 && p.err == nil {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	text, err := s.operate(http.MethodGet, "/api/configuration/read", nil, readTime)
	same := err == nil && strings.TrimSpace(string(text)) == string(body)
	s.rec.say("requests served: %d of %d; the config read at the end: came %v, as sent %v, error %v", served, firstLookups, err == nil, same, err)
	return !same, nil
}

// losePower ends all processes of a machine at once; its disk is lost.
func (s *site) losePower(m *machine) error {
	s.rec.say("%s loses power and its disk", m.name)
	for _, p := range []*process{m.gate, m.state} {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	return os.RemoveAll(s.dir + "/" + m.name)
}

// restartEmpty starts a machine again at its old address with an empty disk.
func (s *site) restartEmpty(m *machine) (err error) {
	s.rec.say("%s is back with an empty disk", m.name)
	if m.state, err = s.startProcess(m, "state", false); err != nil {
		return err
	}
	m.gate, err = s.startProcess(m, "gate", false)
	return err
}
