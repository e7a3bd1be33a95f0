package pool

import (
	"sync"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// Subleases tracks the subleases that a gate has granted. They delay the
// acknowledgement of a revision: a side process that was suspended may still
// admit work under an older view until its sublease expires.
type Subleases struct {
	mu       sync.Mutex
	all      map[*sublease]struct{}
	advanced chan struct{} // closed when a side process reports a newer revision
}

// sublease is the sublease of one session. It outlives the session, since the
// side process may continue to work under it.
type sublease struct {
	revision ident.Revision // newest one reported by the side process
	until    time.Time      // by this gate's clock, including the allowed clock error
}

// NewSubleases returns an empty set.
func NewSubleases() *Subleases {
	return &Subleases{all: map[*sublease]struct{}{}, advanced: make(chan struct{})}
}

// AcknowledgedRevision returns the highest revision, at most view, that every
// side process with a sublease has reached. If a side process is behind view,
// next is the earliest expiry of such a sublease; otherwise it is the zero time.
// The channel is closed when a side process reports a newer revision.
//
// The caller must read the gate's view before the call: a sublease granted later
// is then granted under that view or a newer one.
func (s *Subleases) AcknowledgedRevision(view ident.Revision) (acked ident.Revision, next time.Time, advanced <-chan struct{}) {
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
	return acked, next, s.advanced
}

// LastExpiry returns the latest expiry of all subleases.
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

// grant records the revision of a renewal and returns the gate's view and the
// grant, still without a delta. Only a side process that has the gate's view
// gets a sublease, so that none is granted under a view that the gate has
// acknowledged as replaced.
func (s *Subleases) grant(x *sublease, state State, r *wire.Renew) (*conf.View, *wire.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// View and lease must be read with mu held: see AcknowledgedRevision and
	// LastExpiry.
	view := state.View()
	now := time.Now()
	if reported := ident.Revision(r.GetRevision()); reported > x.revision {
		x.revision = reported
		close(s.advanced)
		s.advanced = make(chan struct{})
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
