package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// playTwice: a change of the configuration adds a streaming route with sizes.
// With the disruption, that route has no stream-resume, so that a request of it
// may run once at most.
func playTwice(s *site, trouble bool) (verdict, error) {
	serve := func(b *server, w http.ResponseWriter, r *http.Request) {
		model := r.Header.Get("Model")
		b.sign(w)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Weight-Versions", "1")
		confidence := "30" // the smallest model is unsure
		if model != "daka510000" {
			confidence = "90"
		}
		w.Header().Set("Confidence", confidence)
		b.begin(r, " with model "+model+", confidence "+confidence)
		_ = sendEvents(w, 1, 8, 25*time.Millisecond)
	}
	var servers []*server
	for range 3 {
		b, err := s.addServer("huvo11a", 128, serve)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, b)
	}
	core, err := s.startCore(config(2, streamRoute("/pufi791/", true, 20000, true)))
	if err != nil {
		return verdict{}, err
	}
	added := streamRoute("/lohu930/", !trouble, 25000, true)
	added["name"] = "r-yhvz3pf"
	if !s.replaceConfig(core, config(7, streamRoute("/pufi791/", true, 20000, true), added), 4*time.Second) {
		return verdict{}, fmt.Errorf("the change was not confirmed")
	}
	time.Sleep(contact + configApply)
	const requests = 20
	twice, whole := 0, 0
	for i := range requests {
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		a := s.send(context.Background(), core[i%3], caller{
			id: id, method: "POST", path: "/lohu930/2f", body: "prompt", timeout: 20 * time.Second,
			header: map[string]string{"Model": "*", "Token-Usage": "1460,80", "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,%08x:660", i)},
		})
		runs := 0
		for _, b := range servers {
			runs += b.runs(id)
		}
		s.rec.printf("client: %s sent to %s, %s; runs: %d", id, core[i%3].name, a, runs)
		if a.err == nil && a.status == http.StatusOK {
			whole++
		}
		if runs > 1 {
			twice++
		}
	}
	if whole < requests/2 {
		return verdict{}, fmt.Errorf("only %d of %d requests were answered", whole, requests)
	}
	if !trouble {
		return verdict{false, fmt.Sprintf("the route may be resumed, so its requests may run again; %d of %d did", twice, requests)}, nil
	}
	return verdict{twice > 0, fmt.Sprintf("TWICE: %d of %d requests of a route without stream-resume ran more than once", twice, requests)}, nil
}
