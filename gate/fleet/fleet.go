// Package fleet knows the backend servers that a gate reaches directly: who
// they are, how loaded and how sound they seem, and which one takes an attempt.
package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/gate/conn"
	"citronledge.example/platform"
)

// Server is a backend server. Its listing does not change but for Leaving; the
// rest is guarded by Fleet.mu.
type Server struct {
	platform.Listed
	conns *conn.Pool
	hash  uint64 // of ID

	inflight int       // own attempts
	reading  float64   // work of own prompts without an answer yet
	touched  time.Time // last change of the two
	load     report
	health   health
	parts    map[string]*part // of other gates, by name
}

// Conns returns the connections to the server.
func (s *Server) Conns() *conn.Pool { return s.conns }

// report is the last load that the server told.
type report struct {
	at      time.Time
	running int // with those that wait
	own     int // own attempts at that time
	slots   int
}

// Fleet is safe for concurrent use.
type Fleet struct {
	zone ident.Zone

	mu       sync.Mutex
	servers  map[ident.Backend]*Server
	services map[ident.Service][]*Server
	listed   listed
	last     map[ident.Service]ident.Version
	peers    map[string]*peer // other gates, by name
	paths    map[ident.Zone]*path
	changed  bool // since LocalLoads
	busy     bool // the last LocalLoads told of a server
}

// New returns an empty fleet of a gate in a zone.
func New(zone ident.Zone) *Fleet {
	return &Fleet{
		zone: zone, servers: map[ident.Backend]*Server{},
		services: map[ident.Service][]*Server{}, last: map[ident.Service]ident.Version{},
		peers: map[string]*peer{}, paths: map[ident.Zone]*path{},
	}
}

// Update replaces the list. A server that is gone from it takes nothing new.
func (f *Fleet) Update(list []platform.Listed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[ident.Backend]*Server, len(list))
	services := map[ident.Service][]*Server{}
	for _, l := range list {
		if next[l.ID] != nil {
			continue
		}
		s := f.servers[l.ID]
		if s == nil || s.Address != l.Address || s.Service != l.Service || s.Version != l.Version {
			s = &Server{Listed: l, conns: conn.New(l.Address), hash: xxhash.Sum64String(string(l.ID))}
			klog.InfoS("Backend server listed", "backend", l.ID, "service", l.Service, "addr", l.Address, "zone", l.Zone, "version", l.Version, "leaving", l.Leaving)
		} else if s.Leaving != l.Leaving {
			klog.InfoS("Backend server changed", "backend", l.ID, "leaving", l.Leaving)
		}
		s.Leaving, s.Slots = l.Leaving, l.Slots
		next[l.ID] = s
		services[l.Service] = append(services[l.Service], s)
	}
	for id, s := range f.servers {
		if next[id] != s {
			klog.InfoS("Backend server gone from the list", "backend", id, "service", s.Service)
			s.conns.Close()
		}
	}
	f.servers, f.services = next, services
}

// CloseExpired closes idle connections.
func (f *Fleet) CloseExpired(now time.Time) {
	f.mu.Lock()
	list := make([]*Server, 0, len(f.servers))
	for _, s := range f.servers {
		list = append(list, s)
	}
	f.mu.Unlock()
	for _, s := range list {
		s.conns.CloseExpired(now)
	}
}

// ListReadAt returns when the list was read last; zero if never.
func (f *Fleet) ListReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed.read
}

// CountByVersion returns the number of usable servers of each version of a service.
func (f *Fleet) CountByVersion(service ident.Service) map[ident.Version]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := map[ident.Version]int{}
	for _, s := range f.services[service] {
		if !s.Leaving {
			list[s.Version]++
		}
	}
	return list
}

// Incumbent returns the version that a service ran first in the life of this
// process, until a roll-out or the end of its last server changes it.
func (f *Fleet) Incumbent(service ident.Service) ident.Version {
	counts := f.CountByVersion(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.last[service]
	if counts[held] > 0 {
		return held
	}
	best := held
	for v, n := range counts {
		if n > counts[best] || n == counts[best] && v < best {
			best = v
		}
	}
	if best != held {
		f.last[service] = best
		klog.InfoS("Version of a service in use", "service", service, "version", best, "before", held)
	}
	return best
}

// SetIncumbent makes a version the one in use after its roll-out.
func (f *Fleet) SetIncumbent(service ident.Service, version ident.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last[service] = version
}
