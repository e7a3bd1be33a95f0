package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var now = time.Unix(1e9, 0)

// observe counts a whole stream.
func observe(e *DurationEstimator, took time.Duration, tokens int64) {
	e.End(e.Begin(tokens, now.Add(-took)), true, now)
}

// A gate that stops accepts only streams that end in time. Most streams are
// fast and some are many times slower, so a bound from a mean and a deviation
// lets slow ones through, which the stop then cuts off.
func TestStreamUpperBound(t *testing.T) {
	const (
		streams  = 4000
		tokens   = 500
		maxShare = 0.03 // of streams over the bound
	)
	for name, perToken := range map[string]func(r *rand.Rand) float64{ // ms
		"alike":      func(r *rand.Rand) float64 { return 2 + 0.2*r.Float64() },
		"log-normal": func(r *rand.Rand) float64 { return 1.7 * math.Exp(0.85*r.NormFloat64()) },
		"two models": func(r *rand.Rand) float64 {
			if r.IntN(10) == 0 {
				return 9 + 2*r.Float64()
			}
			return 1.5 + 0.5*r.Float64()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			var e DurationEstimator
			over := 0
			for i := range streams {
				took := time.Duration(perToken(r) * tokens * float64(time.Millisecond))
				if bound := e.UpperBound(tokens, now); (bound == 0) != (i < minRequests) {
					t.Fatalf("got bound %v after %d streams", bound, i)
				} else if bound > 0 && took > bound {
					over++
				}
				observe(&e, took, tokens)
			}
			if share := float64(over) / streams; share > maxShare {
				t.Errorf("got %.3f of streams over the bound, want at most %v", share, maxShare)
			}
		})
	}
}

// The bound follows a change of speed within the streams that are kept, and a
// stream without a limit says nothing.
func TestStreamUpperBoundFollows(t *testing.T) {
	var e DurationEstimator
	for range recentRequests {
		observe(&e, 10*time.Second, 100)
	}
	for range recentRequests {
		observe(&e, time.Second, 100)
		observe(&e, time.Hour, 0)
	}
	if got := e.UpperBound(200, now); got != 2*time.Second {
		t.Errorf("got %v for 200 tokens, want 2 s", got)
	}
}

// Soon after the start of a gate, only short streams have ended. The long ones
// that still run must count, or the bound is that of the short ones alone.
func TestStreamUpperBoundOfYoungGate(t *testing.T) {
	var e DurationEstimator
	for range 50 {
		observe(&e, time.Second, 1000)
	}
	long := e.Begin(1000, now.Add(-5*time.Second))
	if got := e.UpperBound(1000, now); got != 5*time.Second {
		t.Errorf("got %v beside a stream that has run for 5 s, want 5 s", got)
	}
	e.End(long, false, now)
	if got := e.UpperBound(1000, now); got != time.Second {
		t.Errorf("got %v after the stream broke off, want 1 s", got)
	}
}

// The time of observation counts from the request that began first, which need
// not be the one that was counted first.
func TestObservedFor(t *testing.T) {
	var e DurationEstimator
	if got := e.ObservedFor(now); got != 0 {
		t.Errorf("got %v before the first request, want 0", got)
	}
	e.Begin(1, now.Add(-time.Second))
	e.Begin(1, now.Add(-3*time.Second))
	if got, want := e.ObservedFor(now), 3*time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
