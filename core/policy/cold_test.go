package policy

import (
	"fmt"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// Gates that send at the intervals of their shares must not exceed the rate that
// a cold server sustains, nor its bound if two sets of them know nothing of each
// other.
func TestColdSharesExceedBound(t *testing.T) {
	bounds := ColdBounds{Overage: 1.5, Tolerance: 5}
	for _, rate := range []ident.Rate{0.1, 0.9, 1, 3, 11, 40, 700} {
		for _, gates := range []int{1, 2, 3, 4, 7, 10, 11, 25, 105, 400} {
			t.Run(fmt.Sprint(rate, " a second, ", gates, " gates"), func(t *testing.T) {
				sum := 0
				for rank := range gates {
					if interval := ColdInterval(rate, bounds, rank, gates); interval > 0 {
						// Requests at this interval that fit into one second.
						sum += int((time.Second + interval - 1) / interval)
					}
				}
				if most := max(1, float64(rate)); float64(sum) > most {
					t.Errorf("got %d requests in one second, want at most %v", sum, most)
				}
				if most := bounds.Limit(rate); float64(2*sum) > most {
					t.Errorf("got %d requests in one second of two sets of gates, want at most %v", 2*sum, most)
				}
			})
		}
	}
}

// A gate that learns of another one must not send more than before: the new gate
// may send already.
func TestColdShareGrows(t *testing.T) {
	perSecond := func(rank, gates int) float64 {
		if interval := ColdInterval(11, ColdBounds{1.5, 5}, rank, gates); interval > 0 {
			return 1 / interval.Seconds()
		}
		return 0
	}
	for gates := 1; gates < 120; gates++ {
		for rank := range gates {
			own := perSecond(rank, gates)
			if more := perSecond(rank, gates+1); more > own {
				t.Errorf("rank %d of %d: got %v requests a second with one more gate, want at most %v", rank, gates, more, own)
			}
			if more := perSecond(rank+1, gates+1); more > own {
				t.Errorf("rank %d of %d: got %v requests a second at the next rank, want at most %v", rank, gates, more, own)
			}
		}
	}
}

// The share of the load must rise without a jump from the cold time to the usual
// load, and a server with its share must cost as much as one with all of it.
func TestSlowStart(t *testing.T) {
	last := 0.0
	for warmFor := -2 * time.Second; warmFor <= 12*time.Second; warmFor += 100 * time.Millisecond {
		share := SlowStartShare(warmFor, 10*time.Second)
		if share < last || share > last+0.11 {
			t.Errorf("%v after the cold time: got a share of %v after %v", warmFor, share, last)
		}
		last = share
	}
	if last != 1 {
		t.Errorf("got a share of %v at the end, want 1", last)
	}
	for name, x := range map[string]struct {
		share, load float64
		want        int // 0 for the server that becomes warm
	}{
		"half of the load":      {0.5, 0.4, 1},
		"under half":            {0.5, 0.1, 0},
		"usual load":            {1, 0.4, 0},
		"idle and just warm":    {0.1, 0, 0},
		"others without a slot": {0.1, 0.9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			others := 0.6
			if x.load == 0.9 {
				others = 0.96
			}
			list := []DirectCandidate{{SameZone: true, Load: x.load, LoadShare: x.share}, {SameZone: true, Load: others, LoadShare: 1}}
			if got, _ := ChooseDirect(list, Prompt{}, Sample{}); got != x.want {
				t.Errorf("got server %d, want %d", got, x.want)
			}
		})
	}
}
