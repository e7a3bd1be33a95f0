package guard

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// An order must not reach an engine without a sublease, or with an older fence
// than one already used, because the engine may not check fences itself.
func TestOrderNeedsSubleaseAndFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(func() LoadReport { return LoadReport{} })
		sent := 0
		order := func(fence ident.Fence) fault.Kind {
			err := g.RunOrder(fence, func() error { sent++; return nil })
			var f *fault.Fault
			if errors.As(err, &f) {
				return f.Kind
			}
			return ""
		}
		if got := order(5); got != fault.NoLease {
			t.Errorf("got %q without a sublease, want no_lease", got)
		}
		lease := g.Subleases.Add()
		lease.ApplyGrant(lease.RecordRenewal(time.Now()), ident.LeaseDuration)
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
		time.Sleep(ident.LeaseDuration)
		if got := order(8); got != fault.NoLease {
			t.Errorf("got %q after the sublease expired, want no_lease", got)
		}
	})
}

// A late grant must not restore an older sublease, and neither must a grant
// that answers no renewal.
func TestGrantsOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l Sublease
		first := l.RecordRenewal(time.Now())
		time.Sleep(time.Second)
		second := l.RecordRenewal(time.Now())
		l.ApplyGrant(second, 0) // the gate has lost its lease
		l.ApplyGrant(first, ident.LeaseDuration)
		l.ApplyGrant(second+1, ident.LeaseDuration)
		if l.Valid(time.Now()) {
			t.Error("an older or unknown grant restored the sublease")
		}
	})
}

// The configuration must neither go back when a gate that lags behind sends an
// older revision, nor skip changes.
func TestConfigOnlyGoesForward(t *testing.T) {
	entry := func(key, value string) *wire.Entry { return &wire.Entry{Key: key, Value: []byte(value)} }
	v := NewConfigStore()
	steps := []struct {
		name  string
		delta *wire.Delta
		fails bool
		want  ident.Revision
	}{
		{"full", &wire.Delta{Revision: 5, Full: true, Entries: []*wire.Entry{entry("withdrawn/m/v1", "{}")}}, false, 5},
		{"older full", &wire.Delta{Revision: 4, Full: true}, false, 5},
		{"same", &wire.Delta{From: 4, Revision: 5}, false, 5},
		{"gap", &wire.Delta{From: 6, Revision: 7}, true, 5},
		{"overlap", &wire.Delta{From: 3, Revision: 6, Entries: []*wire.Entry{entry("withdrawn/m/v2", "{}")}}, false, 6},
		{"malformed", &wire.Delta{From: 6, Revision: 7, Entries: []*wire.Entry{entry("models/m", "[")}}, true, 6},
		{"no delta", nil, false, 6},
	}
	for _, s := range steps {
		if err := v.Apply(s.delta); (err != nil) != s.fails || v.View().Revision != s.want {
			t.Errorf("%s: got revision %d, error %v; want %d", s.name, v.View().Revision, err, s.want)
		}
	}
	if got := len(v.View().Withdrawn); got != 2 {
		t.Errorf("got %d withdrawn versions, want both", got)
	}
}
