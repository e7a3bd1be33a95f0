package fleet

import (
	"math"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

const (
	// limitMemory is how long the end of a limit is told to other gates.
	limitMemory = time.Minute
	// peerSilence is how long after other gates last spoke of a limit a gate that
	// has no share of it tries the server: it may be cut off from them.
	peerSilence = 15 * time.Second
)

// limit is what is known of the requests that a server takes from all gates
// together.
type limit struct {
	rate    ident.Rate
	inUse   bool      // the server names it; otherwise it has ended
	epoch   uint32    // 0 if the server has never named one
	since   time.Time // of the epoch
	heardAt time.Time // when another gate last spoke of it, or this one tried the server
	bucket  *rate.Limiter
}

// RecordLimit records what an answer says of the server's limit.
func (g *Assignment) RecordLimit(x platform.RateLimit, now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	l := &g.limit
	if l.inUse != x.Named || x.Named && l.rate != x.Rate {
		g.fleet.setLimit(g.Server, share.Limit{Rate: x.Rate, Ended: !x.Named, Epoch: l.epoch + 1}, now, "this gate")
	}
}

// setLimit begins an epoch of a server's limit. It must be called with mu held.
func (f *Fleet) setLimit(s *Server, x share.Limit, now time.Time, seenBy string) {
	l := &s.limit
	l.inUse, l.epoch, l.since, l.heardAt = !x.Ended, x.Epoch, now, now
	if !x.Ended {
		l.rate = x.Rate
	}
	f.shareLimit(s)
	klog.InfoS("Limit of a backend server changed", "backend", s.ID, "inuse", l.inUse, "rate", l.rate, "epoch", l.epoch, "gates", 1+len(f.gates.Others), "own", l.bucket.Limit(), "seen", seenBy)
}

// shareLimit computes this gate's part of a server's limit. It must be called
// with mu held.
func (f *Fleet) shareLimit(s *Server) {
	l := &s.limit
	gates := 1 + len(f.gates.Others)
	if f.gates.Self == 0 {
		gates = math.MaxInt // not known yet
	}
	part := policy.ShareLimit(l.rate, gateRank(f.gates, s.hash), gates)
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(part.Rate), part.Burst)
		return
	}
	l.bucket.SetLimit(rate.Limit(part.Rate))
	l.bucket.SetBurst(part.Burst)
}

// gateRank returns how many other gates come before this one in the order of the
// gates for a server. All gates that know the same ones agree on the order.
func gateRank(gates share.Gates, server uint64) (rank int) {
	own := mixBits(gates.Self ^ server)
	for _, other := range gates.Others {
		if mixBits(other^server) > own {
			rank++
		}
	}
	return rank
}

// untilAllowed returns how long the server's limit allows no request of this
// gate.
func (l *limit) untilAllowed(now time.Time) time.Duration {
	if !l.inUse {
		return 0
	}
	own := float64(l.bucket.Limit())
	if own == 0 {
		return max(0, l.heardAt.Add(peerSilence).Sub(now))
	}
	missing := 1 - l.bucket.TokensAt(now)
	return max(0, time.Duration(missing/own*float64(time.Second)))
}

// spend counts a request that this gate sends.
func (l *limit) spend(now time.Time) {
	if l.inUse && !l.bucket.AllowN(now, 1) {
		l.heardAt = now // the next one waits as long
	}
}

// Limits implements share.LoadTable.
func (f *Fleet) Limits() (list []share.Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.servers {
		if l := &s.limit; l.inUse || l.epoch > 0 && now.Sub(l.since) < limitMemory {
			list = append(list, share.Limit{Server: s.loadKey(), Rate: l.rate, Ended: !l.inUse, Epoch: l.epoch})
		}
	}
	return list
}

// MergeLimits implements share.LoadTable.
func (f *Fleet) MergeLimits(list []share.Limit) {
	if len(list) == 0 {
		return
	}
	limits := make(map[uint32]share.Limit, len(list))
	for _, x := range list {
		limits[x.Server] = x
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.servers {
		x, ok := limits[s.loadKey()]
		if !ok {
			continue
		}
		s.limit.heardAt = now
		if s.limit.isReplacedBy(x) {
			f.setLimit(s, x, now, "another gate")
		}
	}
}

// isReplacedBy reports whether what another gate knows of the limit replaces
// what is known here. Of an epoch that two gates began at once, the lower limit
// remains.
func (l *limit) isReplacedBy(x share.Limit) bool {
	if x.Epoch != l.epoch {
		return x.Epoch > l.epoch
	}
	return !x.Ended && (!l.inUse || x.Rate < l.rate)
}

// RecordPause records that the server wants no requests of this gate until a
// time.
func (g *Assignment) RecordPause(until time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	if until.After(g.pausedUntil) {
		g.pausedUntil = until
		klog.InfoS("Backend server asks for a pause", "backend", g.ID, "for", time.Until(until))
	}
}

// untilOpen returns how long a server takes no request of this gate, by its
// limit, its pause or its cold time. It must be called with mu held.
func (f *Fleet) untilOpen(s *Server, now time.Time) time.Duration {
	return max(s.limit.untilAllowed(now), s.pausedUntil.Sub(now), f.untilAllowedCold(s, now))
}

// UntilOpen returns how long until a server that meets the criteria may take an
// attempt, and false if there is no such server.
func (f *Fleet) UntilOpen(criteria Criteria, now time.Time) (least time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services[criteria.Service] {
		if !criteria.matches(s, now) {
			continue
		}
		if wait := f.untilOpen(s, now); !ok || wait < least {
			least, ok = wait, true
		}
	}
	return least, ok
}
