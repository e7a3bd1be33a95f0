package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	lastEvent = 20
	usualGap  = 25 * time.Millisecond
	// A stream that is under way at the stop lasts about 5 s: with a pause in its
	// middle, or without one and a longer gap between all events.
	pause    = 4500 * time.Millisecond
	slowGap  = 250 * time.Millisecond
	longHint = "1"
)

// playLost: a machine is stopped as planned work while streams are under way.
// With the disruption, their server is silent for a while.
func playLost(s *site, trouble bool) (verdict, error) {
	serve := func(b *server, w http.ResponseWriter, r *http.Request) {
		b.sign(w)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Weight-Versions", "1")
		b.begin(r, "")
		gap := usualGap
		if long := r.Header.Get("Length-Hint") == longHint; long && !trouble {
			gap = slowGap
		}
		err := sendEvents(w, 1, lastEvent/2, gap)
		if err == nil && trouble && r.Header.Get("Length-Hint") == longHint {
			b.rec.printf("server %s: %s is preempted for %v", b.id, r.Header.Get("Attempt-Id"), pause)
			time.Sleep(pause)
		}
		if err == nil {
			err = sendEvents(w, lastEvent/2+1, lastEvent, gap)
		}
		if err == nil {
			err = r.Context().Err()
		}
		b.rec.printf("server %s: %s has ended, err %v", b.id, r.Header.Get("Attempt-Id"), err)
	}
	for range 3 {
		if _, err := s.addServer("huvo11a", 128, serve); err != nil {
			return verdict{}, err
		}
	}
	core, err := s.startCore(config(2, streamRoute("/pufi791/", false, 20000, false)))
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contact)
	request := func(id, hint string) answer {
		s.rec.printf("client: sends %s to %s", id, core[0].name)
		a := s.send(context.Background(), core[0], caller{
			id: id, method: "POST", path: "/pufi791/2f", body: "prompt", timeout: 20 * time.Second,
			header: map[string]string{"Model": "daka510000", "Token-Usage": "1460,80", "Prefix-Hash": "5c1e07a2:800," + id[8:] + ":660", "Length-Hint": hint},
		})
		s.rec.printf("client: %s: %s", id, a)
		return a
	}
	for i := range 20 { // the usual pace becomes known
		if a := request(fmt.Sprintf("1c41d07b%08x", i), "8"); a.err != nil || a.status != http.StatusOK {
			return verdict{}, fmt.Errorf("a request before the stop failed: %s", a)
		}
	}
	answers := make(chan answer, 5)
	for i := range 5 {
		go func() { answers <- request(fmt.Sprintf("9c41d07b%08x", i), longHint) }()
	}
	time.Sleep(300 * time.Millisecond)
	s.rec.printf("SIGTERM to the gate of %s", core[0].name)
	stopped := time.Now()
	_ = core[0].gate.cmd.Process.Signal(syscall.SIGTERM)
	lost := 0
	for range 5 {
		if a := <-answers; a.err != nil || a.status != http.StatusOK {
			lost++
		}
	}
	took := time.Since(stopped)
	s.rec.printf("the last of the answers ended %.3f s after SIGTERM", took.Seconds())
	core[0].gate.stop(syscall.SIGTERM)
	return verdict{lost > 0, fmt.Sprintf("LOST: %d of 5 streams ended without a complete answer, %.1f s after the SIGTERM of their machine", lost, took.Seconds())}, nil
}
