// Package rater is a stand-in for a service that rates answers late, sparsely
// or not at all.
package rater

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/stub/engine"
)

// Settings describe one rating service.
type Settings struct {
	Delay   time.Duration
	Loss    float64 // share of ratings that fail with status 503
	Quality map[ident.Target]float64
	Default float64 // quality of other targets
	Seed    uint64
}

const (
	noise  = 0.05 // half the width of the spread of ratings
	spoilt = 0.2  // factor on the rating of a flawed answer
)

// Question is the body of a request for a rating.
type Question struct {
	Request ident.Request `json:"request"`
	Kind    string        `json:"kind"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version"`
	Answer  string        `json:"answer"`
}

// Rater is an http.Handler.
type Rater struct {
	set Settings

	mu  sync.Mutex
	rnd *rand.Rand
}

// New returns a rating service whose ratings depend on the seed alone.
func New(set Settings) *Rater {
	return &Rater{set: set, rnd: rand.New(rand.NewPCG(set.Seed, 1))}
}

// ServeHTTP implements http.Handler.
func (r *Rater) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var q Question
	if err := json.NewDecoder(req.Body).Decode(&q); err != nil {
		http.Error(w, "question is not valid JSON", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	lost := r.rnd.Float64() < r.set.Loss
	spread := (2*r.rnd.Float64() - 1) * noise
	r.mu.Unlock()
	select {
	case <-time.After(r.set.Delay):
	case <-req.Context().Done():
		return
	}
	if lost {
		http.Error(w, "no rating", http.StatusServiceUnavailable)
		return
	}
	quality, ok := r.set.Quality[ident.Target{Model: q.Model, Version: q.Version}]
	if !ok {
		quality = r.set.Default
	}
	if strings.Contains(q.Answer, engine.Flaw) {
		quality *= spoilt
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]float64{"rating": max(0, min(1, quality+spread))})
}
