// Package fleet tracks the backend servers that a gate reaches directly: which
// ones there are, their load and their health. It chooses the server for each
// attempt.
package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/gate/conn"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

// Server is a backend server. Of its listing only Leaving and Slots change.
// Fleet.mu guards them and the fields below, except conns and hash.
type Server struct {
	platform.ListedBackend
	conns *conn.Pool
	hash  uint64 // of ID

	inFlight    int       // own attempts
	pendingWork float64   // work of the prompts of own attempts without an answer yet, in tokens of the smallest model
	changedAt   time.Time // last change of the two
	reported    loadReport
	health      health
	peerLoads   map[string]*peerLoad // by source
	limit       limit
	prefix      *policy.PrefixRecord // nil if the server is no longer listed
	pausedUntil time.Time            // when the server takes requests of this gate again
	saidLeaving time.Time            // when its answers last said that it leaves; zero if it stays
	evacuated   bool                 // its zone is being evacuated
	cold        coldState
}

// Conns returns the connections to the server.
func (s *Server) Conns() *conn.Pool { return s.conns }

// leavingMemory is how long a server is believed to leave because its answers
// said so. One that is still listed as ready has restarted under its ID.
const leavingMemory = time.Minute

// isLeaving reports whether the server takes no new attempts, by the list or by
// its own answers.
func (s *Server) isLeaving(now time.Time) bool {
	return s.Leaving || !s.saidLeaving.IsZero() && now.Sub(s.saidLeaving) < leavingMemory
}

// RecordLeaving records an answer that says that the server leaves.
func (g *Assignment) RecordLeaving(now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	if !g.isLeaving(now) {
		klog.InfoS("Backend server says that it leaves", "backend", g.ID)
	}
	g.saidLeaving = now
}

// loadReport is the load that the server reported last.
type loadReport struct {
	receivedAt  time.Time
	running     int // including those that wait
	ownInFlight int // own attempts when it arrived
	slots       int
}

// Fleet is the set of backend servers. It is safe for concurrent use.
type Fleet struct {
	zone ident.Zone

	mu            sync.Mutex
	servers       map[ident.Backend]*Server
	services      map[ident.Service][]*Server
	list          listState
	evacuated     map[ident.Zone]bool
	incumbents    map[ident.Service]ident.Version // versions in use
	peers         map[string]*peer                // sources of reports, by name
	paths         map[ident.Zone]*zonePath
	choices       map[ident.Service]*choiceRate
	prefixes      *policy.PrefixTable
	aloneTokens   map[ident.Service]float64 // mean of what a request takes besides shared parts
	gates         share.Gates               // that choose servers; the zero value until they are known
	exchangeDelay time.Duration             // until they know of this gate's loads
	loadsChanged  bool                      // since the last LocalLoads
	loadsReported bool                      // the last LocalLoads returned a server
	cold          coldFleet
}

// New returns an empty fleet of a gate in a zone.
func New(zone ident.Zone) *Fleet {
	return &Fleet{
		zone: zone, servers: map[ident.Backend]*Server{},
		services: map[ident.Service][]*Server{}, incumbents: map[ident.Service]ident.Version{},
		peers: map[string]*peer{}, paths: map[ident.Zone]*zonePath{}, list: listState{reader: rand.Uint64()},
		choices: map[ident.Service]*choiceRate{}, prefixes: policy.NewPrefixTable(), aloneTokens: map[ident.Service]float64{},
	}
}

// Update replaces the list of servers. A server that is no longer listed gets
// no new attempts.
func (f *Fleet) Update(list []platform.ListedBackend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[ident.Backend]*Server, len(list))
	services := map[ident.Service][]*Server{}
	now := time.Now()
	for _, l := range list {
		if next[l.ID] != nil {
			continue
		}
		s := f.servers[l.ID]
		if s == nil || s.Address != l.Address || s.Service != l.Service || s.Version != l.Version || s.Zone != l.Zone {
			s = &Server{ListedBackend: l, conns: conn.New(l.Address), hash: hashID(l.ID), prefix: f.prefixes.NewRecord()}
			klog.InfoS("Backend server listed", "backend", l.ID, "service", l.Service, "addr", l.Address, "zone", l.Zone, "version", l.Version, "leaving", l.Leaving)
		} else if s.Leaving != l.Leaving {
			klog.InfoS("Backend server changed", "backend", l.ID, "leaving", l.Leaving)
		}
		f.noteListed(s, l, now)
		if s.Leaving && !l.Leaving {
			s.saidLeaving = time.Time{}
		}
		s.Leaving, s.Slots, s.evacuated = l.Leaving, l.Slots, f.evacuated[l.Zone]
		next[l.ID] = s
		services[l.Service] = append(services[l.Service], s)
	}
	for id, s := range f.servers {
		if next[id] != s {
			klog.InfoS("Backend server no longer listed", "backend", id, "service", s.Service)
			s.conns.Close()
			s.dropPrefix()
		}
	}
	f.servers, f.services = next, services
	f.cold.listed = f.cold.listed || len(list) > 0
}

// CloseExpired closes the connections that have been idle for too long.
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

// ListReadAt returns when the list was last known to be current; zero if never.
func (f *Fleet) ListReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.reading.At
}

// CountByVersion returns the number of servers of each version of a service,
// without those that leave.
func (f *Fleet) CountByVersion(service ident.Service) map[ident.Version]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts, now := map[ident.Version]int{}, time.Now()
	for _, s := range f.services[service] {
		if !s.isLeaving(now) {
			counts[s.Version]++
		}
	}
	return counts
}

// Incumbent returns the version of a service that is in use: the one that most
// of its servers ran when this process first saw them, until a rollout
// completes or its last server is gone. The empty version stands for none.
func (f *Fleet) Incumbent(service ident.Service) ident.Version {
	counts := f.CountByVersion(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(counts, "")
	current := f.incumbents[service]
	if counts[current] > 0 {
		return current
	}
	best := current
	for v, n := range counts {
		if n > counts[best] || n == counts[best] && v < best {
			best = v
		}
	}
	if best != current {
		f.incumbents[service] = best
		klog.InfoS("Version of a service in use changed", "service", service, "version", best, "before", current)
	}
	return best
}

// SetIncumbent sets the version in use after its rollout.
func (f *Fleet) SetIncumbent(service ident.Service, version ident.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incumbents[service] = version
}
