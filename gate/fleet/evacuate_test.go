package fleet

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// Servers of an evacuated zone must count as absent wherever a gate asks whether
// there is a server, also those that are listed later or move into the zone, and as
// present for the version in use.
func TestEvacuated(t *testing.T) {
	now := time.Now()
	f := newFleet(6) // two in each of the zones a, b and c
	f.SetEvacuated([]ident.Zone{"a", "b"})
	for range 10 {
		if got := f.Pick(Criteria{Service: "pool"}, now); got.Zone != "c" {
			t.Fatalf("got %s of zone %s", got.ID, got.Zone)
		}
	}
	others := Criteria{Service: "pool", Exclude: []ident.Backend{"s2", "s5"}}
	if _, ok := f.UntilOpen(others, now); ok || f.Pick(others, now) != nil {
		t.Error("an evacuated server is open")
	}
	f.servers["s2"].pendingWork, f.servers["s5"].pendingWork = 500, 500
	if got := f.LeastQueuedWork("pool", now); got != 500 {
		t.Errorf("got work %v, which is that of an idle evacuated server, want 500", got)
	}
	l := list(9)
	l[2].Zone = "a"
	f.Update(l)
	if got := f.Pick(Criteria{Service: "pool", Exclude: []ident.Backend{"s5", "s8"}}, now); got != nil {
		t.Errorf("got %s of zone %s after a new list", got.ID, got.Zone)
	}
	if got := f.CountByVersion("pool")["v1"]; got != 9 || !f.HasEvacuated("pool") {
		t.Errorf("got %d servers of the version in use, want all 9", got)
	}
	f.SetEvacuated(nil)
	if got := f.Pick(others, now); got == nil || f.HasEvacuated("pool") {
		t.Error("no server is open after the evacuation")
	}
}

// While many requests choose servers, a choice that begins once an evacuation is in
// force must not fall on its zone.
func TestEvacuatedUnderLoad(t *testing.T) {
	f := newFleet(30)
	var inForce atomic.Int64 // number of the evacuation in force; 0 without one, and negative at the end
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for before := inForce.Load(); before >= 0; before = inForce.Load() {
				got := f.Pick(Criteria{Service: "pool"}, time.Now())
				// The end of an evacuation takes effect only after inForce is reset.
				if got.Zone == "a" && before != 0 && inForce.Load() == before {
					t.Errorf("got %s of the evacuated zone", got.ID)
				}
				got.Release(Good, time.Now())
			}
		})
	}
	for i := range 200 {
		f.SetEvacuated([]ident.Zone{"a"})
		inForce.Store(int64(i + 1))
		for range 20 {
			f.Pick(Criteria{Service: "pool"}, time.Now()).Release(Good, time.Now())
		}
		inForce.Store(0)
		f.SetEvacuated(nil)
	}
	inForce.Store(-1)
	wait.Wait()
}
