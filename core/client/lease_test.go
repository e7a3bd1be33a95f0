package client

import (
	"testing"
	"time"
)

// A VM that was suspended must not take its lease for valid on waking: its
// monotonic clock stood still meanwhile.
func TestSuspendedLease(t *testing.T) {
	c := &Client{}
	slept := time.Hour
	c.suspended = func() time.Duration { return slept }
	c.extend(sending{time.Now(), slept}, time.Minute)
	if !c.LeaseValidAt(time.Now()) {
		t.Error("a fresh lease is not valid")
	}
	slept += 2 * time.Minute
	if c.LeaseValidAt(time.Now()) {
		t.Error("a lease from before a suspension is valid")
	}
	c.extend(sending{time.Now(), slept}, 2*time.Minute)
	if !c.LeaseValidAt(time.Now()) {
		t.Error("a lease that was renewed after a suspension is not valid")
	}
	if c.LeaseValidAt(time.Now().Add(5 * time.Minute)) {
		t.Error("a lease is valid long after its end")
	}
}
