package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runLog notes which attempts have run where.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]string // runners by attempt
}

func (l *runLog) add(attempt, runner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[attempt] = append(l.runs[attempt], runner)
}

func (l *runLog) of(attempt string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[attempt]
}

// Figures of the case refused.
const (
	refusedRunners = 7 // one of them is less than a share of 0.15
	// hangEvery: of nine requests at the runner in trouble, four hang (0.44 of
	// them).
	hangOf, hangEvery = 4, 9
	hangTime          = 6500 * time.Millisecond
	tokenTime         = 25 * time.Millisecond
	tokensOfEvent     = 7
	eventsOfAnswer    = 3
	streamTimeout     = 3 * time.Second // of the route
	streamDeadline    = 15 * time.Second
	refusedRequests   = 260
	refusedGap        = 25 * time.Millisecond
)

// playRefused sends streams that must not be repeated while one runner hangs in
// the middle of its first event, and checks that no request which has run is
// answered that it has not.
func playRefused(s *site, trouble bool) (bool, error) {
	log := &runLog{runs: map[string][]string{}}
	var mu sync.Mutex
	hanging, taken := false, 0
	work := func(r *runner, q *work) bool {
		r.rec.add(r.id, "begins to run %s", q.attempt())
		log.add(q.attempt(), r.id)
		r.head(q, 200, r.signature(q), "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Weight-Versions: 1", "Confidence: 90")
		hang := false
		mu.Lock()
		if hanging && r.id == "i-0000001" {
			hang = taken%hangEvery%2 == 0 && taken%hangEvery < 2*hangOf
			taken++
		}
		mu.Unlock()
		for n := 1; n <= eventsOfAnswer; n++ {
			for token := range tokensOfEvent {
				if !q.wait(tokenTime) {
					r.rec.add(r.id, "stops %s, which is no longer wanted", q.attempt())
					return false
				}
				text := " word"
				if token == 0 {
					text = fmt.Sprintf("id: %d\ndata: word", n)
				}
				if token == tokensOfEvent-1 {
					text += "\n\n"
				}
				q.chunk(text)
				if hang {
					r.rec.add(r.id, "hangs in the first event of %s", q.attempt())
					<-q.closed.Done()
					return false
				}
			}
		}
		q.chunk("")
		r.rec.add(r.id, "ends %s", q.attempt())
		return true
	}
	var entries []json.RawMessage
	for i := range refusedRunners {
		r := &runner{
			rec: s.rec, id: fmt.Sprintf("i-%07d", i+1), service: "citron-pool", zone: zones[i%3], version: "v1", slots: 48, work: work,
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
	route := map[string]any{
		"name": "r-send", "host": host, "path-prefix": "/pufi791/", "type": "streaming", "timeout-ms": streamTimeout.Milliseconds(),
		"target-latency-ms": 2000, "priority": 1, "service": "citron-pool", "max-attempts": 3, "public": false, "session-affinity": true,
		"stream-resume": false, "target-itl-ms": 1200, "sizes": []string{smallModel},
	}
	if err := s.sendConfig(config(7, []map[string]any{route}, []map[string]any{modelService("citron-pool")})); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	var refusedRan, refusedNotRan, served, twice, others int
	for i := range refusedRequests {
		if i == refusedRequests/10 && trouble {
			s.rec.say("runner i-0000001 begins to hang")
			mu.Lock()
			hanging = true
			mu.Unlock()
			time.AfterFunc(hangTime, func() {
				mu.Lock()
				hanging = false
				mu.Unlock()
				s.rec.add("case", "runner i-0000001 is sound again")
			})
		}
		wg.Go(func() {
			// A client asks once more after a promise that nothing has run, on a
			// new channel, at another machine.
			ran := 0
			end := time.Now().Add(streamDeadline)
			for try := range 2 {
				q := request{
					attempt: newAttempt(), method: http.MethodPost, host: host, path: fmt.Sprintf("/pufi791/%d", i), deadline: time.Until(end),
					headers: []string{
						"Key: " + apiKey, "Model: *", "Token-Usage: 1460,21",
						fmt.Sprintf("Prefix-Hash: 5c1e07a2:800,%08x:660", 0x10000000+i),
					},
					body: fmt.Sprintf("send payment advice %d", i),
				}
				p := s.send(s.machines[(i+try)%len(s.machines)], q)
				where := log.of(q.attempt)
				ran += len(where)
				mu.Lock()
				promise := p.status == 503 || p.status == 429 || p.status == 408 || p.status == 421
				switch {
				case promise && len(where) > 0:
					refusedRan++
					s.rec.add("check", "BROKEN: %s was answered %d %q, and has run at %v", q.attempt, p.status, p.body, where)
				case promise:
					refusedNotRan++
				case p.status == 200 && p.err == nil:
					served++
				default:
					others++
				}
				mu.Unlock()
				if !promise {
					break
				}
				time.Sleep(p.retryAfter())
			}
			if ran > 1 {
				mu.Lock()
				twice++
				mu.Unlock()
				s.rec.add("check", "the work of client request %d was begun %d times", i, ran)
			}
		})
		time.Sleep(refusedGap)
	}
	wg.Wait()
	s.rec.say("served %d; promised that it has not run: %d that have run, %d that have not; other ends %d; client requests whose work was begun twice after such a promise: %d",
		served, refusedRan, refusedNotRan, others, twice)
	if served < refusedRequests/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, refusedRequests)
	}
	return refusedRan > 0, nil
}
