package client

import (
	"testing"
	"time"
)

// After a suspension, a VM must not consider its old lease valid: its monotonic
// clock was stopped meanwhile.
func TestSuspendedLease(t *testing.T) {
	c := &Client{}
	asleep := time.Hour
	c.suspendedTime = func() time.Duration { return asleep }
	c.extendLease(sentRenewal{time.Now(), asleep}, time.Minute)
	if !c.LeaseValidAt(time.Now()) {
		t.Error("a fresh lease is not valid")
	}
	asleep += 2 * time.Minute
	if c.LeaseValidAt(time.Now()) {
		t.Error("a lease from before a suspension is valid")
	}
	c.extendLease(sentRenewal{time.Now(), asleep}, 2*time.Minute)
	if !c.LeaseValidAt(time.Now()) {
		t.Error("a lease renewed after a suspension is not valid")
	}
	if c.LeaseValidAt(time.Now().Add(5 * time.Minute)) {
		t.Error("a lease is valid long after its end")
	}
}
