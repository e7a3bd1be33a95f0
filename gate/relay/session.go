package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// mostSessions bounds the sessions that a gate remembers.
const mostSessions = 20_000

// mostFresh bounds the sessions that wait to be told to other gates.
const mostFresh = 500

// sessions remembers which version serves a session, so that a roll-out does
// not move it. The requests of a session come to several gates.
type sessions struct {
	list  map[uint64]seen // by hash of service and session
	fresh []*wire.Seen    // not yet told to the other gates
}

type seen struct {
	version uint32 // hash
	at      time.Time
}

func (s *sessions) put(id uint64, version uint32, now time.Time) {
	if _, known := s.list[id]; !known && len(s.list) >= mostSessions {
		return
	}
	s.list[id] = seen{version, now}
}

func (s *sessions) sweep(now time.Time, keep time.Duration) {
	for id, x := range s.list {
		if now.Sub(x.at) > keep {
			delete(s.list, id)
		}
	}
}

// TakeServedSessions implements share.SessionTable.
func (r *Relay) TakeServedSessions() []*wire.Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.sessions.fresh
	r.sessions.fresh = nil
	return list
}

// MergeSessions implements share.SessionTable.
func (r *Relay) MergeSessions(list []*wire.Seen) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range list {
		r.sessions.put(x.GetSession(), x.GetVersion(), now)
	}
}

// session returns the hash of the request's session with its service; 0 if it
// has none.
func (c *call) session() uint64 {
	if c.head.Session == "" {
		return 0
	}
	return xxhash.Sum64String(string(c.service) + " " + string(c.head.Session))
}

func hashVersion(v ident.Version) uint32 { return uint32(xxhash.Sum64String(string(v))) }

// held returns the version out of some that serves the session.
func (c *call) held(some ...ident.Version) (ident.Version, bool) {
	id := c.session()
	if id == 0 {
		return "", false
	}
	c.r.mu.Lock()
	x, known := c.r.sessions.list[id]
	c.r.mu.Unlock()
	if !known || time.Since(x.at) > c.r.keep() {
		return "", false
	}
	for _, v := range some {
		if hashVersion(v) == x.version {
			return v, true
		}
	}
	return "", false
}

// keepMargin is added to the pause of a session: what other gates serve is
// known here a little later.
const keepMargin = time.Second

func (r *Relay) keep() time.Duration { return r.rules.SessionTimeout + keepMargin }

// version returns which versions of a service may serve the request: the
// wanted one, and whether others may stand in for it when it has no server.
func (c *call) version(service ident.Service) (want ident.Version, only bool) {
	incumbent := c.r.fleet.Incumbent(service)
	s, ok := c.state.shifts[service]
	if !ok {
		return incumbent, false
	}
	switch s.Stage {
	case conf.Complete, conf.Moving:
		return s.Target, false
	case conf.Withdrew:
		return incumbent, true
	case conf.Canary:
	}
	if held, ok := c.held(incumbent, s.Target); ok {
		return held, false
	}
	if c.r.tallies.wants(c.service, c.route.Name, s.Target, c.r.rules.CanaryShare) {
		return s.Target, false
	}
	return incumbent, false
}

// identity is what a request shares with the others of its session.
func (c *call) identity() string {
	if c.head.Session != "" {
		return string(c.head.Session)
	}
	return string(c.head.Attempt)
}

// served notes the version that serves the request's session.
func (c *call) served(v ident.Version, now time.Time) {
	id := c.session()
	if id == 0 {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.sessions.put(id, hashVersion(v), now)
	if len(c.r.sessions.fresh) < mostFresh {
		c.r.sessions.fresh = append(c.r.sessions.fresh, &wire.Seen{Session: id, Version: hashVersion(v)})
	}
}
