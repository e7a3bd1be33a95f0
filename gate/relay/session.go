package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
)

// mostSessions bounds the sessions that a gate remembers.
const mostSessions = 20_000

// sessions remembers which version served a session last, so that a roll-out
// does not move it.
type sessions struct{ list map[ident.Session]seen }

type seen struct {
	version ident.Version
	at      time.Time
}

func (s *sessions) get(id ident.Session, now time.Time, keep time.Duration) (ident.Version, bool) {
	x, ok := s.list[id]
	return x.version, ok && now.Sub(x.at) <= keep
}

func (s *sessions) put(id ident.Session, v ident.Version, now time.Time) {
	if _, known := s.list[id]; !known && len(s.list) >= mostSessions {
		return
	}
	s.list[id] = seen{v, now}
}

func (s *sessions) sweep(now time.Time, keep time.Duration) {
	for id, x := range s.list {
		if now.Sub(x.at) > keep {
			delete(s.list, id)
		}
	}
}

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
	if id := c.head.Session; id != "" {
		c.r.mu.Lock()
		held, known := c.r.sessions.get(id, c.start, c.r.rules.Session)
		c.r.mu.Unlock()
		if known {
			return held, false
		}
	}
	if share(c.identity()) < c.r.rules.Canary {
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

// share maps a string evenly to a number from 0 to 1.
func share(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

// served notes the version that served the request's session.
func (c *call) served(v ident.Version, now time.Time) {
	if c.head.Session == "" {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.sessions.put(c.head.Session, v, now)
}
