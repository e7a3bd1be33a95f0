package intake

import (
	"slices"
	"testing"
)

// step is one call of a hold, by the name of the hold.
type step struct {
	op   string // open, grow, shrink, seal, close or oldest
	hold string
	n    Bytes
	want bool // result of grow, seal and oldest
}

// The budget must never be exceeded, a share must always be available, and room
// must be made at the cost of the oldest request that is still arriving.
func TestBudget(t *testing.T) {
	const limit, share = 100, 10
	for name, x := range map[string]struct {
		steps   []step
		used    Bytes
		evicted []string
	}{
		"share is not charged": {[]step{{"open", "a", 0, true}, {"grow", "a", 10, true}}, 0, nil},
		"beyond the share":     {[]step{{"open", "a", 0, true}, {"grow", "a", 60, true}}, 50, nil},
		"in small parts":       {[]step{{"open", "a", 0, true}, {"grow", "a", 6, true}, {"grow", "a", 6, true}, {"grow", "a", 6, true}}, 8, nil},
		"released":             {[]step{{"open", "a", 0, true}, {"grow", "a", 60, true}, {"close", "a", 0, true}, {"close", "a", 0, true}}, 0, nil},
		"replaced buffer":      {[]step{{"open", "a", 0, true}, {"grow", "a", 40, true}, {"grow", "a", 60, true}, {"shrink", "a", 40, true}}, 50, nil},
		"more than the budget": {[]step{{"open", "a", 0, true}, {"grow", "a", 50, true}, {"open", "b", 0, true}, {"grow", "b", 111, false}}, 40, nil},
		"share when full":      {[]step{{"open", "a", 0, true}, {"grow", "a", 110, true}, {"open", "b", 0, true}, {"grow", "b", 10, true}}, 100, nil},
		"oldest is evicted": {
			[]step{{"open", "a", 0, true}, {"grow", "a", 60, true}, {"open", "b", 0, true}, {"grow", "b", 50, true}, {"open", "c", 0, true}, {"grow", "c", 60, true}},
			90,
			[]string{"a"},
		},
		"not one within its share": {
			[]step{{"open", "a", 0, true}, {"grow", "a", 10, true}, {"open", "b", 0, true}, {"grow", "b", 110, true}, {"open", "c", 0, true}, {"grow", "c", 60, true}},
			50,
			[]string{"b"},
		},
		"no younger one": {
			[]step{{"open", "a", 0, true}, {"grow", "a", 50, true}, {"open", "b", 0, true}, {"grow", "b", 50, true}, {"grow", "a", 40, false}},
			80, nil,
		},
		"none that has arrived": {
			[]step{{"open", "a", 0, true}, {"grow", "a", 100, true}, {"seal", "a", 0, true}, {"open", "b", 0, true}, {"grow", "b", 60, false}},
			90, nil,
		},
		"evicted before it arrived": {
			[]step{{"open", "a", 0, true}, {"grow", "a", 60, true}, {"oldest", "", 0, true}, {"oldest", "", 0, false}, {"seal", "a", 0, false}},
			0,
			[]string{"a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(limit)
			holds := map[string]*Hold{}
			var evicted []string
			for i, s := range x.steps {
				h, got := holds[s.hold], true
				switch s.op {
				case "open":
					holds[s.hold] = b.Open(share, func() {
						evicted = append(evicted, s.hold)
						go holds[s.hold].Close() // as its reader does
					})
				case "grow":
					got = h.Grow(s.n)
				case "shrink":
					h.Shrink(s.n)
				case "seal":
					got = h.Seal()
				case "close":
					h.Close()
				case "oldest":
					got = b.EvictOldest()
				}
				if got != s.want {
					t.Fatalf("step %d, %s %s: got %v, want %v", i, s.op, s.hold, got, s.want)
				}
				if b.Used() > limit {
					t.Fatalf("step %d: %d bytes used, want at most %d", i, b.Used(), limit)
				}
			}
			for _, name := range evicted {
				holds[name].Close()
			}
			if got := b.Used(); got != x.used {
				t.Errorf("used: got %d, want %d", got, x.used)
			}
			if !slices.Equal(evicted, x.evicted) {
				t.Errorf("evicted: got %v, want %v", evicted, x.evicted)
			}
			for _, h := range holds {
				h.Close()
			}
			if got := b.Used(); got != 0 || b.evicting != 0 || b.arriving.Len() != 0 {
				t.Errorf("after all are closed: got %d used, %d evicting, %d arriving, want 0", got, b.evicting, b.arriving.Len())
			}
		})
	}
}

// A hold that waits for room must not wait for ever if it is evicted itself, nor
// if those that it waits for end.
func TestWaitForRoom(t *testing.T) {
	for name, end := range map[string]struct {
		f    func(b *Budget, old *Hold)
		want bool
	}{
		"room is made": {func(_ *Budget, old *Hold) { old.Close() }, true},
		"evicted":      {func(b *Budget, _ *Hold) { b.EvictOldest() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(100)
			interrupted := make(chan bool, 2)
			old := b.Open(0, func() { interrupted <- true })
			old.Grow(80)
			h := b.Open(0, func() {})
			result := make(chan bool)
			go func() { result <- h.Grow(60) }()
			<-interrupted
			end.f(b, old)
			if got := <-result; got != end.want {
				t.Errorf("got %v, want %v", got, end.want)
			}
			h.Close()
			old.Close()
			if b.Used() != 0 || b.evicting != 0 {
				t.Errorf("got %d used, %d evicting, want 0", b.Used(), b.evicting)
			}
		})
	}
}
