package fleet

import (
	"slices"
	"time"

	"citronledge.example/core/ident"
)

// SetEvacuated replaces the set of zones that are being evacuated. Their servers
// get no new attempts; attempts in progress finish. They still count for Incumbent:
// an evacuation must not give traffic to a version that no rollout has allowed, nor
// change the version in use for the time after it. Servers of a zone that is no
// longer evacuated may have become cold: they count as cold when they answer again,
// unless their answers say that they are warm.
func (f *Fleet) SetEvacuated(zones []ident.Zone) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = make(map[ident.Zone]bool, len(zones))
	for _, z := range zones {
		f.evacuated[z] = true
	}
	now := time.Now()
	for _, s := range f.servers {
		wasEvacuated := s.evacuated
		s.evacuated = f.evacuated[s.Zone]
		if wasEvacuated && !s.evacuated {
			f.markDown(s, "zone returns", true, now)
		}
	}
}

// HasEvacuated reports whether a server of a service is in a zone that is being
// evacuated.
func (f *Fleet) HasEvacuated(service ident.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.services[service], func(s *Server) bool { return s.evacuated })
}
