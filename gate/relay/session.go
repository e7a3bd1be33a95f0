package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/share"
)

// maxSessions limits the sessions that a gate remembers.
const maxSessions = 20_000

// maxUnsentSessions limits the sessions that wait to be sent to other gates.
const maxUnsentSessions = 500

// candidateFactor is how many times the canary share of all sessions may be
// served by a version in its canary stage. All gates agree on which these are
// by their hash, and exchange only what serves them: every other session stays
// with the version in use, also at a gate that has never seen it. The factor
// leaves room for those that were under way when the rollout began.
const candidateFactor = 4

// sessions remembers which version serves a session, so that a rollout does not
// move it. The requests of a session arrive at several gates. It holds only
// candidates for a version in its canary stage.
type sessions struct {
	byHash map[uint32]sessionEntry // by hash of service and session
	unsent []share.Session         // not yet sent to the other gates
}

type sessionEntry struct {
	version  uint32 // hash
	servedAt time.Time
}

func (s *sessions) record(id, version uint32, now time.Time) {
	if _, known := s.byHash[id]; !known && len(s.byHash) >= maxSessions {
		return
	}
	s.byHash[id] = sessionEntry{version, now}
}

func (s *sessions) expire(now time.Time, ttl time.Duration) {
	for id, x := range s.byHash {
		if now.Sub(x.servedAt) > ttl {
			delete(s.byHash, id)
		}
	}
}

// TakeServedSessions implements share.SessionTable.
func (r *Relay) TakeServedSessions() []share.Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.sessions.unsent
	r.sessions.unsent = nil
	return list
}

// MergeSessions implements share.SessionTable.
func (r *Relay) MergeSessions(list []share.Session) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range list {
		r.sessions.record(x.ID, x.Version, now)
	}
}

// sessionHash returns the hash of the request's session with its service, and
// whether the session is a candidate for a version in its canary stage. A
// request without a session is none.
func (c *call) sessionHash() (id uint32, candidate bool) {
	if c.head.Session == "" {
		return 0, false
	}
	h := xxhash.Sum64String(string(c.service) + " " + string(c.head.Session))
	// The low half names the session, the high half decides.
	return uint32(h), float64(h>>32) < candidateFactor*c.r.settings.CanaryShare*math.MaxUint32
}

func hashVersion(v ident.Version) uint32 { return uint32(xxhash.Sum64String(string(v))) }

// sessionVersion returns which of the given versions serves the session, if any
// does.
func (c *call) sessionVersion(versions ...ident.Version) (ident.Version, bool) {
	id, candidate := c.sessionHash()
	if !candidate {
		return "", false
	}
	x, known := c.r.session(id)
	if !known || time.Since(x.servedAt) > c.r.sessionTTL() {
		return "", false
	}
	for _, v := range versions {
		if hashVersion(v) == x.version {
			return v, true
		}
	}
	return "", false
}

func (r *Relay) session(id uint32) (sessionEntry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, known := r.sessions.byHash[id]
	return x, known
}

// sessionTTLMargin is added to the session timeout, since sessions served by
// other gates are known here a little later.
const sessionTTLMargin = time.Second

func (r *Relay) sessionTTL() time.Duration { return r.settings.SessionTimeout + sessionTTLMargin }

// chooseVersion returns the version of a service that is to serve the request,
// and whether it is required. If it is not, other versions may serve when it
// has no server.
func (c *call) chooseVersion(service ident.Service) (version ident.Version, required bool) {
	incumbent := c.r.fleet.Incumbent(service)
	s, ok := c.config.rollouts[service]
	if !ok {
		return incumbent, false
	}
	switch s.Stage {
	case conf.StageComplete, conf.StageMoving:
		return s.Target, false
	case conf.StageWithdrawn:
		return incumbent, true
	case conf.StageCanary:
	}
	if _, candidate := c.sessionHash(); c.head.Session != "" && !candidate {
		return incumbent, false
	}
	if current, ok := c.sessionVersion(incumbent, s.Target); ok {
		return current, false
	}
	if c.r.isOpen(service, s.Target) && c.r.tallies.isBelowShare(c.service, c.route.Name, s.Target, c.r.settings.CanaryShare) {
		return s.Target, false
	}
	return incumbent, false
}

// isOpen reports whether a server of a version takes requests of this gate now.
// The servers of a new version are cold at first.
func (r *Relay) isOpen(service ident.Service, version ident.Version) bool {
	wait, ok := r.fleet.UntilOpen(fleet.Criteria{Service: service, AllowsVersion: func(v ident.Version) bool { return v == version }}, time.Now())
	return ok && wait <= 0
}

// splitKey returns the key by which requests are split between the services of
// a route. All requests of a session have the same one.
func (c *call) splitKey() string {
	if c.head.Session != "" {
		return string(c.head.Session)
	}
	return string(c.head.AttemptID)
}

// recordSession records the version that serves the request's session.
func (c *call) recordSession(v ident.Version, now time.Time) {
	id, candidate := c.sessionHash()
	if !candidate {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.sessions.record(id, hashVersion(v), now)
	if len(c.r.sessions.unsent) < maxUnsentSessions {
		c.r.sessions.unsent = append(c.r.sessions.unsent, share.Session{ID: id, Version: hashVersion(v)})
	}
}
