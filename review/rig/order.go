package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playOrder: servers break off one in 50 of their streams inside an event.
func playOrder(s *site, trouble bool) (verdict, error) {
	const (
		requests = 200
		last     = 12
		spoilt   = 50 // one in so many runs that start at the first event
	)
	var mu sync.Mutex
	started := 0
	serve := func(b *server, w http.ResponseWriter, r *http.Request) {
		b.sign(w)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Weight-Versions", "1")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		breaks := false
		if after == 0 {
			mu.Lock()
			started++
			breaks = trouble && started%spoilt == 0
			mu.Unlock()
		}
		b.begin(r, fmt.Sprintf(" after event %d", after))
		if !breaks {
			_ = sendEvents(w, after+1, last, 5*time.Millisecond)
			return
		}
		_ = sendEvents(w, 1, last/2, 5*time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: ev", last/2+1)
		b.rec.printf("server %s ends %s inside event %d", b.id, r.Header.Get("Attempt-Id"), last/2+1)
	}
	for range 3 {
		if _, err := s.addServer("huvo11a", 128, serve); err != nil {
			return verdict{}, err
		}
	}
	core, err := s.startCore(config(2, streamRoute("/pufi791/", true, 20000, false)))
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	whole, short := 0, 0
	for i := range requests {
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		a := s.send(context.Background(), core[i%3], caller{
			id: id, method: "POST", path: "/pufi791/2f", body: "prompt", timeout: 20 * time.Second,
			header: map[string]string{"Model": "daka510000", "Token-Usage": "1460,80", "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,%08x:660", i)},
		})
		complete := a.err == nil && a.status == http.StatusOK
		end := fmt.Sprintf("id: %d\ndata: event %d\n\n", last, last)
		switch {
		case complete && strings.HasSuffix(a.body, end):
			whole++
		case complete:
			short++
			s.rec.printf("client: %s got a stream that ends as complete with %q", id, a.body[max(0, len(a.body)-40):])
		default:
			s.rec.printf("client: %s: %s", id, a)
		}
	}
	s.rec.printf("of %d requests %d got the whole stream, %d a shorter one that looks complete", requests, whole, short)
	if whole < requests/2 {
		return verdict{}, fmt.Errorf("only %d of %d streams arrived", whole, requests)
	}
	return verdict{short > 0, fmt.Sprintf("ORDER: %d of %d streams ended as complete before their last event", short, requests)}, nil
}
