package policy

import (
	"testing"

	"citronledge.example/core/ident"
)

// Gates that all spend their shares of a limit at the same moment must not
// exceed it by more than half and a few requests.
func TestSharesExceedLimit(t *testing.T) {
	const window = 4.0 // seconds
	for _, limit := range []ident.Rate{0, 0.1, 0.3, 1, 1.3, 2, 4.5, 7, 20, 33, 250, 1e9, 1e30} {
		for _, gates := range []int{1, 2, 3, 8, 28, 100, 430} {
			sum, rate := 0.0, ident.Rate(0)
			for rank := range gates {
				s := ShareLimit(limit, rank, gates)
				sum += float64(s.Rate)*window + float64(s.Burst)
				rate += s.Rate
			}
			if most := 1.5*window*float64(limit) + 5; sum > most {
				t.Errorf("limit %v, %d gates: got up to %.1f requests in %v s, want at most %.1f", limit, gates, sum, window, most)
			}
			if rate < limit*0.999 {
				t.Errorf("limit %v, %d gates: got %.2f requests a second together, want the whole limit", limit, gates, rate)
			}
		}
	}
}
