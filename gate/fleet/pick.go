package fleet

import (
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// Criteria is what an attempt needs of a backend server.
type Criteria struct {
	Service ident.Service
	// AllowsVersion tells whether a version may serve; nil allows all.
	AllowsVersion func(ident.Version) bool
	// AffinityKey is a hash of the model and the shared part of the prompt; 0 if
	// the request has none. Requests with the same one go to the same server
	// as long as its load allows.
	AffinityKey uint64
	// Prompt is the work of the attempt.
	Prompt policy.Prompt
	// TieBreak breaks ties between equal servers.
	TieBreak uint64
	// Exclude are the servers of earlier attempts.
	Exclude []ident.Backend
}

// Assignment is an attempt's hold on a server. Release must be called once.
type Assignment struct {
	*Server
	fleet  *Fleet
	start  time.Time
	Reason policy.Reason
	work   float64 // of the prompt, until the head of the answer
	// Load and QueuedWork are what the choice was made by; see policy.DirectCandidate.
	Load, QueuedWork, PacketLoss float64
}

// Pick chooses a server, or returns nil if there is none.
func (f *Fleet) Pick(ask Criteria, now time.Time) *Assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	seats := make([]policy.DirectCandidate, 0, len(f.services[ask.Service]))
	list := make([]*Server, 0, len(f.services[ask.Service]))
	for _, s := range f.services[ask.Service] {
		if s.Leaving || ask.AllowsVersion != nil && !ask.AllowsVersion(s.Version) || contains(ask.Exclude, s.ID) {
			continue
		}
		list = append(list, s)
		seats = append(seats, f.seat(s, ask, now))
	}
	i, reason := policy.ChooseDirect(seats, ask.Prompt)
	if i < 0 {
		return nil
	}
	s := list[i]
	s.inflight++
	s.reading += ask.Prompt.Work
	s.touched, f.changed = now, true
	if s.health.probing(now) {
		s.health.probe()
	}
	return &Assignment{Server: s, fleet: f, start: now, Reason: reason, work: ask.Prompt.Work, Load: seats[i].Load, QueuedWork: seats[i].PendingPromptWork, PacketLoss: seats[i].PacketLoss}
}

// LeastQueuedWork returns the least work that waits at any server of a service that is
// in use.
func (f *Fleet) LeastQueuedWork(service ident.Service, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := -1.0
	for _, s := range f.services[service] {
		if s.Leaving || s.health.out(now) {
			continue
		}
		if _, reading := s.others(now); least < 0 || s.reading+reading < least {
			least = s.reading + reading
		}
	}
	return max(0, least)
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
func (f *Fleet) seat(s *Server, ask Criteria, now time.Time) policy.DirectCandidate {
	seat := policy.DirectCandidate{
		SameZone: s.Zone == f.zone, Unavailable: s.health.out(now), FailureRate: s.health.failing(now),
	}
	if !seat.SameZone {
		seat.PacketLoss = f.path(s.Zone).loss(now)
	}
	running, reading := s.others(now)
	seat.Load, seat.PendingPromptWork = s.estimate(running, now), s.reading+reading
	key := ask.AffinityKey
	if key == 0 {
		key = ask.TieBreak
	}
	// Rendezvous hashing: all gates rank the servers of a key alike, and a
	// server that leaves moves only its own keys.
	seat.Rank = mix(key ^ s.hash)
	return seat
}

const reportTrust = 400 * time.Millisecond // age at which a load report counts half

// estimate returns the load relative to the slots: own attempts, and those of
// others as they tell themselves or as the last report told, which counts less
// the older it is.
func (s *Server) estimate(others float64, now time.Time) float64 {
	if !s.load.at.IsZero() {
		reported := float64(max(0, s.load.running-s.load.own))
		others = max(others, reported/(1+float64(now.Sub(s.load.at))/float64(reportTrust)))
	}
	load := float64(s.inflight) + others
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

// Release ends the hold.
func (g *Assignment) Release(o Outcome, now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.inflight--
	g.read()
	g.touched, g.fleet.changed = now, true
	g.health.note(g.Server, o, now)
}

// read takes the prompt off the work that waits. The caller holds the lock.
func (g *Assignment) read() {
	g.reading = max(0, g.reading-g.work)
	g.work = 0
}

// AnswerStarted notes that the answer has begun, so the prompt has been read.
func (g *Assignment) AnswerStarted(now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.read()
	g.touched, g.fleet.changed = now, true
}

// RecordLoad notes the load that the server reported in an answer's head.
func (g *Assignment) RecordLoad(running, waiting, slots int, now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.load = report{at: now, running: running + waiting, own: g.inflight, slots: slots}
}
