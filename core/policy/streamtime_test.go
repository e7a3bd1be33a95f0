package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

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
			var e StreamDurationEstimator
			over := 0
			for i := range streams {
				took := time.Duration(perToken(r) * tokens * float64(time.Millisecond))
				if bound := e.UpperBound(tokens); (bound == 0) != (i < minStreams) {
					t.Fatalf("got bound %v after %d streams", bound, i)
				} else if bound > 0 && took > bound {
					over++
				}
				e.Observe(took, tokens)
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
	var e StreamDurationEstimator
	for range recentStreams {
		e.Observe(10*time.Second, 100)
	}
	for range recentStreams {
		e.Observe(time.Second, 100)
		e.Observe(time.Hour, 0)
	}
	if got := e.UpperBound(200); got != 2*time.Second {
		t.Errorf("got %v for 200 tokens, want 2 s", got)
	}
}
