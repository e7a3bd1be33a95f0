package fleet

import (
	"math"
	"slices"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// Criteria describe the server that an attempt needs.
type Criteria struct {
	Service ident.Service
	// AllowsVersion reports whether a version may serve the attempt; nil allows
	// all.
	AllowsVersion func(ident.Version) bool
	// AffinityKey is a hash of the model and the shared part of the prompt; 0
	// if the request has none. Requests with the same key go to the same server
	// as long as its load allows.
	AffinityKey uint64
	// Prompt is the work of the attempt, and Cached what the prefix caches may
	// hold of its prompt.
	Prompt policy.Prompt
	Cached CachedPrompt
	// TieBreak decides between servers that are equal otherwise.
	TieBreak uint64
	// Exclude lists the servers of earlier attempts.
	Exclude []ident.Backend
}

// matches reports whether a server may get the attempt.
func (c *Criteria) matches(s *Server, now time.Time) bool {
	return !s.isLeaving(now) && !s.evacuated && (c.AllowsVersion == nil || c.AllowsVersion(s.Version)) && !slices.Contains(c.Exclude, s.ID)
}

// Assignment is an attempt at a server. Release must be called exactly once.
type Assignment struct {
	*Server
	fleet      *Fleet
	start      time.Time
	Reason     policy.Reason
	promptWork float64 // counted in pendingWork until the head of the answer arrives
	// Load, QueuedWork and PacketLoss are what the choice was based on.
	Load, QueuedWork, PacketLoss float64
	// Prefix is what the choice expected of the server's prefix cache.
	Prefix PrefixExpectation
}

// Pick chooses a server, or returns nil if none may take the attempt now.
func (f *Fleet) Pick(criteria Criteria, now time.Time) *Assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prefixes.Match(criteria.Cached.Parts)
	criteria.Prompt.Recorded = criteria.Cached.Capacity > 0
	servers := make([]*Server, 0, len(f.services[criteria.Service]))
	candidates := make([]policy.DirectCandidate, 0, len(f.services[criteria.Service]))
	for _, s := range f.services[criteria.Service] {
		if !criteria.matches(s, now) {
			continue
		}
		if f.untilOpen(s, now) > 0 {
			f.countWithheld(s, now)
			continue
		}
		servers = append(servers, s)
		c := f.candidate(s, criteria, now)
		c.LoadShare = s.cold.loadShare(now)
		candidates = append(candidates, c)
	}
	if len(servers) == 0 {
		for _, s := range f.lastResort(criteria, now) {
			servers = append(servers, s)
			candidates = append(candidates, f.candidate(s, criteria, now))
		}
	}
	sample := policy.Sample{Size: policy.SampleSize(len(candidates), f.unseenChoices(criteria.Service, now)), Seed: criteria.TieBreak}
	i, reason := policy.ChooseDirect(candidates, criteria.Prompt, sample)
	if i < 0 {
		return nil
	}
	s := servers[i]
	s.inFlight++
	prefix := s.prefixExpectation(criteria, candidates, i, reason)
	work := criteria.Prompt.Work - prefix.Credited*criteria.Prompt.TokenTimeRatio
	s.pendingWork += work
	s.changedAt, f.loadsChanged = now, true
	s.limit.spend(now)
	f.spendCold(s, now)
	if s.health.isProbeDue(now) {
		s.health.startProbe()
	}
	return &Assignment{Server: s, fleet: f, start: now, Reason: reason, promptWork: work, Prefix: prefix, Load: candidates[i].Load, QueuedWork: candidates[i].PendingPromptWork, PacketLoss: candidates[i].PacketLoss}
}

// choiceRate is the rate at which this gate chooses servers of a service.
type choiceRate struct {
	decayedAt time.Time
	choices   float64 // decaying
}

// choiceHalfLife is the time after which a choice counts half.
const choiceHalfLife = time.Second

// unseenChoices counts a choice and estimates how many all other gates make
// before this one knows of them. They get as many requests as this one, as the
// load balancer spreads them. It must be called with mu held.
func (f *Fleet) unseenChoices(service ident.Service, now time.Time) float64 {
	r := f.choices[service]
	if r == nil {
		r = &choiceRate{decayedAt: now}
		f.choices[service] = r
	}
	r.choices = r.choices*math.Exp2(-float64(now.Sub(r.decayedAt))/float64(choiceHalfLife)) + 1
	r.decayedAt = now
	perSecond := r.choices * math.Ln2 / choiceHalfLife.Seconds()
	return perSecond * f.exchangeDelay.Seconds() * float64(len(f.gates.Others))
}

// LeastQueuedWork returns the least work of prompts, in tokens of the smallest
// model, that is queued at any usable server of a service.
func (f *Fleet) LeastQueuedWork(service ident.Service, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := -1.0
	for _, s := range f.services[service] {
		if s.isLeaving(now) || s.evacuated || s.health.isEjected(now) || f.untilOpen(s, now) > 0 {
			continue
		}
		if _, pending := s.peerTotals(now); least < 0 || s.pendingWork+pending < least {
			least = s.pendingWork + pending
		}
	}
	return max(0, least)
}

// candidate describes a server to the policy. It must be called with mu held.
func (f *Fleet) candidate(s *Server, criteria Criteria, now time.Time) policy.DirectCandidate {
	c := policy.DirectCandidate{
		SameZone: s.Zone == f.zone, Unavailable: s.health.isEjected(now), FailureRate: s.health.failureShare(now),
		Limited: s.limit.inUse,
	}
	if !c.SameZone {
		c.PacketLoss = f.path(s.Zone).lossShare(now)
	}
	running, pending := s.peerTotals(now)
	c.Load, c.PendingPromptWork = s.relativeLoad(running, now), s.pendingWork+pending
	key := criteria.AffinityKey
	if key == 0 {
		key = criteria.TieBreak
	}
	// Rendezvous hashing: all gates rank the servers of a key alike, and a
	// server that leaves moves only its own keys.
	c.Rank = mixBits(key ^ s.hash)
	f.addPrefix(&c, s, criteria)
	return c
}

const reportHalfWeightAge = 400 * time.Millisecond // age at which a load report counts half

// relativeLoad estimates the attempts in flight relative to the slots: own
// attempts, and those of others. The latter are what other gates report or what
// the server reported last, whichever is more; the server's report counts less
// the older it is.
func (s *Server) relativeLoad(others float64, now time.Time) float64 {
	if !s.reported.receivedAt.IsZero() {
		reported := float64(max(0, s.reported.running-s.reported.ownInFlight))
		others = max(others, reported/(1+float64(now.Sub(s.reported.receivedAt))/float64(reportHalfWeightAge)))
	}
	load := float64(s.inFlight) + others
	return load / float64(s.slots())
}

// slots returns the number of requests in a batch of the server.
func (s *Server) slots() int { return max(1, s.Slots, s.reported.slots) }

// mixBits is the finalizer of murmur3: every bit of the result depends on every
// bit of x.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Outcome is how an attempt ended, as far as it says something about the
// server.
type Outcome uint8

// Outcomes of attempts.
const (
	// Good: the whole answer arrived.
	Good Outcome = iota + 1
	// Failed: the server answered with a failure.
	Failed
	// Broke: the answer broke off, was not valid or did not arrive.
	Broke
	// Unreached: no connection could be opened.
	Unreached
	// Declined: the server was full.
	Declined
	// Neutral says nothing about the server, for example when the caller left.
	Neutral
	// Moved: another server has the address.
	Moved
)

// Release ends the attempt with its outcome.
func (g *Assignment) Release(o Outcome, now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.inFlight--
	g.removePendingWork()
	g.changedAt, g.fleet.loadsChanged = now, true
	if o == Broke || o == Unreached || o == Moved {
		g.forgetPrefix()
	}
	g.health.record(g.Server, o, now)
}

// removePendingWork removes the prompt from the server's pending work. It must
// be called with mu held.
func (g *Assignment) removePendingWork() {
	g.pendingWork = max(0, g.pendingWork-g.promptWork)
	g.promptWork = 0
}

// AnswerStarted records that the answer has begun, so the prompt has been read.
func (g *Assignment) AnswerStarted(now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.removePendingWork()
	g.changedAt, g.fleet.loadsChanged = now, true
}

// RecordLoad stores the load that the server reported in the head of an answer.
func (g *Assignment) RecordLoad(running, waiting, slots int, now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.reported = loadReport{receivedAt: now, running: running + waiting, ownInFlight: g.inFlight, slots: slots}
}
