package policy

import (
	"testing"
	"time"
)

// A sound stream may pause for ten times as long as usual, and for as long as
// its route's target allows, without being cut off.
func TestStallTimeout(t *testing.T) {
	for name, c := range map[string]struct{ usual, maxGap, least, most time.Duration }{
		"nothing known":     {0, 0, 2 * time.Second, 5 * time.Second},
		"fast":              {20 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 5 * time.Second},
		"slow":              {time.Second, 800 * time.Millisecond, 10 * time.Second, 30 * time.Second},
		"long gaps allowed": {20 * time.Millisecond, 5 * time.Second, 10 * time.Second, 20 * time.Second},
	} {
		if got := StallTimeout(c.usual, c.maxGap); got <= c.least || got > c.most {
			t.Errorf("%s: got %v, want more than %v and at most %v", name, got, c.least, c.most)
		}
	}
}
