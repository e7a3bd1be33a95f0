package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the case cut. Those of machines, runners and configs are those of
// aten-citron.
const (
	cutMemoryMB  = 284
	cutRunners   = 9
	cutSlots     = 128
	cutShared    = 40               // parts of prompts that requests share
	cutCalm      = 12 * time.Second // before the configs and after them
	cutGap       = 12 * time.Millisecond
	cutTimeout   = 20 * time.Second // of the route
	cutEvents    = 12
	cutEventTime = 30 * time.Millisecond
	// The runners are under load: an answer begins after cutFirstMin to
	// cutFirstMax.
	cutFirstMin = 500 * time.Millisecond
	cutFirstMax = 1100 * time.Millisecond
	// addedRoutes is how many routes a config of big_config adds.
	addedRoutes = 350
	bigConfigs  = 30
	bigGap      = 500 * time.Millisecond
	stormLength = 4 * time.Second
	stormGap    = 330 * time.Millisecond
	storms      = 3
	stormPause  = 2 * time.Second
	// plannedSpan is how long after its confirmation a config counts as planned
	// work: config-apply-ms and 1 s.
	plannedSpan = 3 * time.Second
)

// span is a time in which planned work is done.
type span struct{ from, to time.Time }

// spans are the times of planned work.
type spans struct {
	mu   sync.Mutex
	list []span
}

func (s *spans) add(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, span{from, to})
}

// covers reports whether planned work was done from one time to the other.
func (s *spans) covers(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.list {
		if !from.Before(x.from) && !to.After(x.to) {
			return true
		}
	}
	return false
}

// cutEnd is how a stream ended at its client.
type cutEnd struct {
	attempt   string
	machine   int
	sent, end time.Time
	cut       bool
}

// playCut sends streams, and configs with many routes beside them, and checks that
// gates don't cut streams that sound runners serve.
func playCut(s *site, trouble bool) (bool, error) {
	// A machine of the deployment reports one core to its processes.
	s.env = []string{"GOMAXPROCS=1"}
	for _, m := range s.machines {
		m.memoryMB = cutMemoryMB
	}
	work := func(r *runner, q *work) bool {
		first := cutFirstMin + rand.N(cutFirstMax-cutFirstMin)
		if !q.wait(first) {
			r.rec.add(r.id, "stops %s before its answer: no longer wanted", q.attempt())
			return false
		}
		r.rec.add(r.id, "begins to answer %s after %d ms", q.attempt(), first.Milliseconds())
		r.head(q, 200, r.signature(q), "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Weight-Versions: 1", "Confidence: 90")
		for n := 1; n <= cutEvents; n++ {
			q.chunk(fmt.Sprintf("id: %d\ndata: word word word\n\n", n))
			if !q.wait(cutEventTime) {
				r.rec.add(r.id, "stops %s after event %d: no longer wanted", q.attempt(), n)
				return false
			}
		}
		q.chunk("")
		return true
	}
	var entries []json.RawMessage
	for i := range cutRunners {
		r := &runner{
			rec: s.rec, id: fmt.Sprintf("i-%07d", i+1), service: "citron-pool", zone: zones[i%3], version: "v1", slots: cutSlots, work: work,
			addr: fmt.Sprintf("%s:%d", s.addr(101+i), runnerPort),
		}
		if err := r.start(); err != nil {
			return false, err
		}
		entries = append(entries, r.entry())
	}
	s.list.set(entries...)
	if err := s.start(); err != nil {
		return false, err
	}
	version, routes := 7, []map[string]any{cutRoute("r-chat", "/pufi791/")}
	next := func() map[string]any {
		version++
		service := modelService("citron-pool")
		e := engine()
		e["slots"], e["kv-capacity-tokens"], e["stride"], service["max-connections"], service["engine"] = cutSlots, 919280, 5, 650, e
		return config(version, routes, []map[string]any{service})
	}
	if err := s.sendConfig(next()); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var planned spans
	var mu sync.Mutex
	var ends []cutEnd
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(cutGap):
			}
			wg.Go(func() {
				m := i % len(s.machines)
				q := request{
					attempt: newAttempt(), method: http.MethodPost, host: host, path: fmt.Sprintf("/pufi791/%d", i), deadline: cutTimeout,
					headers: []string{"Key: " + apiKey, "Model: *", "Token-Usage: 10,60", fmt.Sprintf("Prefix-Hash: %08x:7,%08x:3", 0x5c1e0000+i%cutShared, 0x10000000+i)},
					body:    fmt.Sprintf("chat %d", i),
				}
				sent := time.Now()
				p := s.send(s.machines[m], q)
				e := cutEnd{q.attempt, m, sent, time.Now(), p.status == 200 && p.err != nil}
				if p.status != 200 {
					s.rec.add("check", "%s ended with status %d: %v", q.attempt, p.status, p.err)
				}
				mu.Lock()
				defer mu.Unlock()
				ends = append(ends, e)
			})
		}
	})
	send := func() error {
		from := time.Now()
		if err := s.sendConfig(next()); err != nil {
			return err
		}
		planned.add(from, time.Now().Add(plannedSpan))
		return nil
	}
	time.Sleep(cutCalm)
	var err error
	if trouble {
		for i := range bigConfigs {
			for j := range addedRoutes {
				routes = append(routes, cutRoute(fmt.Sprintf("r-%d-%d", i, j), fmt.Sprintf("/b%d/%d/", i, j)))
			}
			begun := time.Now()
			if err = send(); err != nil {
				break
			}
			time.Sleep(bigGap - time.Since(begun))
		}
		for range storms {
			for end := time.Now().Add(stormLength); time.Now().Before(end) && err == nil; {
				begun := time.Now()
				err = send()
				time.Sleep(stormGap - time.Since(begun))
			}
			time.Sleep(stormPause)
		}
	} else {
		time.Sleep(bigConfigs*bigGap + storms*(stormLength+stormPause))
	}
	time.Sleep(cutCalm)
	close(stop)
	wg.Wait()
	if err != nil {
		return false, err
	}
	return s.judgeCuts(ends, &planned), nil
}

// judgeCuts reports whether a machine cut streams beside configs over three times
// as often as at other times.
func (s *site) judgeCuts(ends []cutEnd, planned *spans) bool {
	broken := false
	for i, m := range s.machines {
		var in, out, cutIn, cutOut int
		for _, e := range ends {
			if e.machine != i {
				continue
			}
			inside := planned.covers(e.sent, e.end)
			cut := e.cut && e.end.Sub(e.sent) < cutTimeout*7/10
			switch {
			case inside && cut:
				in, cutIn = in+1, cutIn+1
				s.rec.add("check", "%s was cut at %s beside a config, though its runner was at work", e.attempt, m.name)
			case inside:
				in++
			case cut:
				out, cutOut = out+1, cutOut+1
				s.rec.add("check", "%s was cut at %s with no config beside it", e.attempt, m.name)
			default:
				out++
			}
		}
		s.rec.say("%s: beside configs %d of %d streams cut, at other times %d of %d", m.name, cutIn, in, cutOut, out)
		if cutIn > 0 && cutIn*out > 3*cutOut*in {
			broken = true
		}
	}
	return broken
}

func cutRoute(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "type": "streaming", "timeout-ms": cutTimeout.Milliseconds(),
		"target-latency-ms": 3000, "priority": 1, "service": "citron-pool", "max-attempts": 3, "public": false, "session-affinity": true,
		"stream-resume": true, "target-itl-ms": 1200, "sizes": []string{smallModel},
	}
}
