package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case listed.
const (
	listedTime = 10 * time.Second // in which requests are sent
	listedGap  = 40 * time.Millisecond
)

// playListed lists an entry of another writer, which lacks fields and names the
// runner of another service, and checks that no request runs at a service to which
// the config doesn't let it go.
func playListed(s *site, trouble bool) (bool, error) {
	var mu sync.Mutex
	wrong, right, lookups := 0, 0, 0
	// The path says for which service a request is.
	services := map[string]string{"/puxa403/": "refund-desk", "/lohu930/": "status-board"}
	work := func(r *runner, q *work) bool {
		r.rec.add(r.id, "of %s runs %s %s for tenant %q", r.service, q.attempt(), q.URL.Path, q.Header.Get("Tenant"))
		want := ""
		for prefix, service := range services {
			if strings.HasPrefix(q.URL.Path, prefix) {
				want = service
			}
		}
		mu.Lock()
		switch {
		case want != r.service:
			wrong++
			r.rec.add("check", "BROKEN: %s, a runner of %s, ran %s, which the config sends to %s alone", r.id, r.service, q.URL.Path, want)
		case want == "refund-desk":
			right++
		default:
			lookups++
		}
		mu.Unlock()
		if !q.wait(15 * time.Millisecond) {
			return false
		}
		r.head(q, 200, r.signature(q), "Content-Type: text/plain", "Content-Length: 5")
		_, _ = q.conn.Write([]byte("done\n"))
		return true
	}
	var runners []*runner
	for i, service := range []string{"refund-desk", "refund-desk", "refund-desk", "status-board", "status-board", "status-board"} {
		r := &runner{
			rec: s.rec, id: fmt.Sprintf("i-%07d", i+1), service: service, zone: zones[i%3], version: "v1", slots: 6, work: work,
			addr: fmt.Sprintf("%s:%d", s.addr(101+i), runnerPort),
		}
		if err := r.start(); err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	var entries []json.RawMessage
	if trouble {
		// As from when the machine worked for the other service: no zone, no
		// version, no slots, no time until it is warm.
		x, _ := json.Marshal(map[string]any{"id": runners[3].id, "service": "refund-desk", "address": runners[3].addr, "state": "ready"})
		entries = append(entries, x)
		s.rec.say("the list has the entry of another writer: %s", x)
	}
	for _, r := range runners {
		entries = append(entries, r.entry())
	}
	s.list.set(entries...)
	if err := s.start(); err != nil {
		return false, err
	}
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "type": kind, "timeout-ms": 600, "target-latency-ms": 100, "priority": 2,
			"service": service, "max-attempts": 2, "public": false,
		}
	}
	if err := s.sendConfig(config(7, []map[string]any{
		route("r-payout", "/puxa403/", "unsafe", "refund-desk"), route("r-status", "/lohu930/", "safe", "status-board"),
	}, []map[string]any{plainService("refund-desk"), plainService("status-board")})); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	served := 0
	start := time.Now()
	for n := 0; time.Since(start) < listedTime; n++ {
		wg.Go(func() {
			q := request{
				attempt: newAttempt(), method: http.MethodPost, host: host, path: fmt.Sprintf("/puxa403/%d", n), deadline: 600 * time.Millisecond,
				headers: []string{"Key: " + apiKey}, body: fmt.Sprintf("pay %d", n),
			}
			if n%4 == 3 {
				q.method, q.path, q.body = http.MethodGet, fmt.Sprintf("/lohu930/%d", n), ""
			}
			p := s.send(s.machines[n%3], q)
			mu.Lock()
			defer mu.Unlock()
			if p.status == 200 && p.err == nil {
				served++
			}
		})
		time.Sleep(listedGap)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.rec.say("served %d; payouts run at refund-desk: %d; lookups run at status-board: %d; requests run at a service that the config doesn't name for them: %d", served, right, lookups, wrong)
	if served < 100 {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	return wrong > 0, nil
}
