package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// Ask is what an attempt needs of a backend server.
type Ask struct {
	Service ident.Service
	// Allows tells whether a version may serve; nil allows all.
	Allows func(ident.Version) bool
	// Affinity is a hash of the model and the shared part of the prompt; 0 if
	// the request has none. Requests with the same one go to the same server
	// as long as its load allows.
	Affinity uint64
	// Seed breaks ties between equal servers.
	Seed uint64
	// Avoid are the servers of earlier attempts.
	Avoid []ident.Backend
}

// Grip is an attempt's hold on a server. Release must be called once.
type Grip struct {
	*Server
	fleet  *Fleet
	start  time.Time
	Reason policy.Reason
	// Load is the estimated load relative to the slots at the choice, and Age
	// that of the report behind it.
	Load float64
	Age  time.Duration
}

// Pick chooses a server, or returns nil if there is none.
func (f *Fleet) Pick(ask Ask, now time.Time) *Grip {
	f.mu.Lock()
	defer f.mu.Unlock()
	seats := make([]policy.Seat, 0, len(f.services[ask.Service]))
	list := make([]*Server, 0, len(f.services[ask.Service]))
	for _, s := range f.services[ask.Service] {
		if s.Leaving || ask.Allows != nil && !ask.Allows(s.Version) || contains(ask.Avoid, s.ID) {
			continue
		}
		list = append(list, s)
		seats = append(seats, f.seat(s, ask, now))
	}
	i, reason := policy.Seats(seats, ask.Affinity != 0)
	if i < 0 {
		return nil
	}
	s := list[i]
	s.inflight++
	if s.health.probing(now) {
		s.health.probe(now)
	}
	return &Grip{Server: s, fleet: f, start: now, Reason: reason, Load: seats[i].Load, Age: now.Sub(s.load.at)}
}

func contains(list []ident.Backend, id ident.Backend) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

// seat describes a server to the policy. The caller holds the lock.
func (f *Fleet) seat(s *Server, ask Ask, now time.Time) policy.Seat {
	seat := policy.Seat{
		Local: s.Zone == f.zone, Out: s.health.out(now), Load: s.estimate(now),
		Latency: s.health.latency, Failing: s.health.failing(now),
	}
	key := ask.Affinity
	if key == 0 {
		key = ask.Seed
	}
	// Rendezvous hashing: all gates rank the servers of a key alike, and a
	// server that leaves moves only its own keys.
	seat.Rank = mix(key ^ xxhash.Sum64String(string(s.ID)))
	return seat
}

const reportTrust = 400 * time.Millisecond // age at which a load report counts half

// estimate returns the load relative to the slots: own attempts in full, and
// those of others as the last report told, less the older it is.
func (s *Server) estimate(now time.Time) float64 {
	load := float64(s.inflight)
	if !s.load.at.IsZero() {
		others := float64(max(0, s.load.running-s.load.own))
		load += others / (1 + float64(now.Sub(s.load.at))/float64(reportTrust))
	}
	slots := max(1, s.Slots, s.load.slots)
	return load / float64(slots)
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Outcome is how an attempt ended, as far as it tells of the server.
type Outcome uint8

// Outcomes of attempts.
const (
	// Good: a whole answer.
	Good Outcome = iota + 1
	// Failed: the server answered with a failure.
	Failed
	// Broke: the answer broke off, was spoiled or did not come.
	Broke
	// Unreached: no connection.
	Unreached
	// Declined: the server was full.
	Declined
	// Neutral tells nothing, for example when the caller left.
	Neutral
	// Moved: another server has the address.
	Moved
)

// Release ends the hold. Latency is the time to the head of the answer.
func (g *Grip) Release(o Outcome, latency time.Duration, now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.inflight--
	g.health.note(g.Server, o, latency, now)
}

// Told notes the load that the server reported in an answer's head.
func (g *Grip) Told(running, waiting, slots int, pace float64, now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.load = report{at: now, running: running + waiting, own: g.inflight, slots: slots, pace: pace}
}
