package guard

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
)

// Guards against a command that reaches an engine which checks no fences
// although a newer one was sent, or without a lease.
func TestOrderNeedsLeaseAndFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(func() Report { return Report{} })
		sent := 0
		order := func(fence ident.Fence) fault.Kind {
			err := g.Order(fence, func() error { sent++; return nil })
			var f *fault.Fault
			if errors.As(err, &f) {
				return f.Kind
			}
			return ""
		}
		if got := order(5); got != fault.NoLease {
			t.Errorf("got %q without a lease, want no_lease", got)
		}
		lease := g.Leases.New()
		lease.Granted(lease.Sent(time.Now()), ident.LeaseTime)
		for i, test := range []struct {
			fence ident.Fence
			want  fault.Kind
		}{{5, ""}, {5, ""}, {4, fault.Stale}, {7, ""}, {6, fault.Stale}, {0, fault.Invalid}} {
			if got := order(test.fence); got != test.want {
				t.Errorf("order %d with fence %d: got %q, want %q", i, test.fence, got, test.want)
			}
		}
		if sent != 3 {
			t.Errorf("got %d orders sent, want 3", sent)
		}
		time.Sleep(ident.LeaseTime)
		if got := order(8); got != fault.NoLease {
			t.Errorf("got %q after the lease, want no_lease", got)
		}
	})
}

// Guards against a late grant that brings an older lease back, or one that
// answers no renewal.
func TestGrantsOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l Lease
		first := l.Sent(time.Now())
		time.Sleep(time.Second)
		second := l.Sent(time.Now())
		l.Granted(second, 0) // the gate has lost its lease
		l.Granted(first, ident.LeaseTime)
		l.Granted(second+1, ident.LeaseTime)
		if l.Valid(time.Now()) {
			t.Error("an older or unknown grant brought the lease back")
		}
	})
}
