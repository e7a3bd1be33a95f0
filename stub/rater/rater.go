// Package rater is a stand-in for a service that rates answers, with a delay and
// a share of ratings that fail.
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
	Delay          time.Duration
	FailureShare   float64 // share of ratings that fail with status 503
	Quality        map[ident.Target]float64
	DefaultQuality float64 // quality of other targets
	Seed           uint64
}

const (
	maxDeviation = 0.05 // of a rating from the quality, either way
	flawedFactor = 0.2  // factor on the rating of a flawed answer
)

// RatingRequest is the body of a request for the rating of an answer.
type RatingRequest struct {
	Request ident.Request `json:"request"`
	Kind    string        `json:"kind"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version"`
	Answer  string        `json:"answer"`
}

// Rater is an http.Handler that answers a RatingRequest with a rating from 0 to
// 1.
type Rater struct {
	settings Settings

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a rating service. Its random deviations and failures follow from
// the seed and the order of the requests.
func New(settings Settings) *Rater {
	return &Rater{settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 1))}
}

// ServeHTTP implements http.Handler.
func (r *Rater) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var q RatingRequest
	if err := json.NewDecoder(req.Body).Decode(&q); err != nil {
		http.Error(w, "question is not valid JSON", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	fails := r.rng.Float64() < r.settings.FailureShare
	deviation := (2*r.rng.Float64() - 1) * maxDeviation
	r.mu.Unlock()
	select {
	case <-time.After(r.settings.Delay):
	case <-req.Context().Done():
		return
	}
	if fails {
		http.Error(w, "no rating", http.StatusServiceUnavailable)
		return
	}
	quality, ok := r.settings.Quality[ident.Target{Model: q.Model, Version: q.Version}]
	if !ok {
		quality = r.settings.DefaultQuality
	}
	if strings.Contains(q.Answer, engine.FlawMarker) {
		quality *= flawedFactor
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]float64{"rating": max(0, min(1, quality+deviation))})
}
