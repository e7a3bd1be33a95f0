package pool

import (
	"sync"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// Subleases are the sub-leases that a gate has given out. They hold back the
// acknowledgement of a revision: a side process that was suspended may still
// admit work by an older view until its sub-lease has ended.
type Subleases struct {
	mu    sync.Mutex
	all   map[*sublet]struct{}
	moved chan struct{} // closed when a side process has a newer revision
}

// sublet is the sub-lease of one session. It outlives the session, since the
// side process may go on under it.
type sublet struct {
	revision ident.Revision // newest that the side process has told
	until    time.Time      // by this gate's clock, with the allowed clock error
}

// NewSubleases returns an empty set.
func NewSubleases() *Subleases {
	return &Subleases{all: map[*sublet]struct{}{}, moved: make(chan struct{})}
}

// AcknowledgedRevision returns the highest revision, up to that of the gate's view, that no
// side process can be behind of, and when the sub-lease ends that ends first
// of those that hold it back; the zero time if none does. The channel is
// closed when a side process has told a newer revision.
//
// The view is read before the call. A sub-lease that is given after it is
// given by that view or a newer one.
func (s *Subleases) AcknowledgedRevision(view ident.Revision) (acked ident.Revision, next time.Time, moved <-chan struct{}) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	acked = view
	for x := range s.all {
		if !now.Before(x.until) {
			delete(s.all, x)
			continue
		}
		if x.revision >= view {
			continue
		}
		acked = min(acked, x.revision)
		if next.IsZero() || x.until.Before(next) {
			next = x.until
		}
	}
	return acked, next, s.moved
}

// LastExpiry returns when the last sub-lease ends.
func (s *Subleases) LastExpiry() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for x := range s.all {
		if x.until.After(last) {
			last = x.until
		}
	}
	return last
}

// renew notes the revision of a renewal and returns the view that the gate has
// and the grant without a delta. Only a side process with the gate's view gets
// time, so that no sub-lease is given by a view that the gate acknowledged to
// have left.
func (s *Subleases) renew(x *sublet, state State, r *wire.Renew) (*conf.View, *wire.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// View and lease are read under the lock: see AcknowledgedRevision and LastExpiry.
	view := state.View()
	now := time.Now()
	if told := ident.Revision(r.GetRevision()); told > x.revision {
		x.revision = told
		close(s.moved)
		s.moved = make(chan struct{})
	}
	g := &wire.Grant{Seq: r.GetSeq(), Revision: uint64(view.Revision)}
	left := state.LeaseExpiry().Sub(now)
	left -= time.Duration(float64(left) * ident.MaxClockRateError)
	ttl := min(left, ident.MaxSublease).Truncate(time.Millisecond)
	switch {
	case ttl <= 0:
		g.Fault = wire.NewFault(fault.New(fault.NoLease, "the gate has no configuration lease; renew again or use another gate"))
	case ident.Revision(r.GetRevision()) >= view.Revision:
		g.Ttl = uint32(ttl / time.Millisecond)
		x.until = now.Add(ttl + time.Duration(float64(ttl)*ident.MaxClockRateError))
		s.all[x] = struct{}{}
	}
	return view, g
}
