package fleet

import (
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// CachedPrompt describes a prompt to the records of the prefix caches.
type CachedPrompt struct {
	// Parts are the shared parts; empty on routes without affinity.
	Parts []policy.PrefixPart
	// Alone is what the request takes besides: the rest of the prompt and the
	// expected answer, in tokens.
	Alone float64
	// Capacity is the number of tokens that a server holds. If it is 0, no
	// records are kept.
	Capacity float64
}

// shared returns the tokens of the shared parts.
func (p *CachedPrompt) shared() (sum float64) {
	for _, part := range p.Parts {
		sum += part.Tokens
	}
	return sum
}

// aloneWeight is the weight of a request in the mean of what requests take
// besides their shared parts.
const aloneWeight = 0.02

// recordAlone counts a request in the mean of its service. It must be called with
// mu held.
func (f *Fleet) recordAlone(service ident.Service, tokens float64) {
	mean, ok := f.aloneTokens[service]
	if !ok {
		mean = tokens
	}
	f.aloneTokens[service] = mean + aloneWeight*(tokens-mean)
}

// PrefixExpectation is what a choice expected of the server's prefix cache.
type PrefixExpectation struct {
	Basis policy.PrefixBasis
	// Held is the number of tokens of the prompt that the server would hold, and
	// Credited how many of them do not count as waiting there.
	Held, Credited float64
}

// prefixExpectation returns what the choice of candidate i for a reason expected
// of its prefix cache. It must be called with mu held.
func (s *Server) prefixExpectation(criteria Criteria, list []policy.DirectCandidate, i int, reason policy.Reason) (x PrefixExpectation) {
	p := &criteria.Prompt
	saved, basis := p.SavedAt(list, i)
	switch {
	case p.TokenTimeRatio == 0 || basis == policy.PrefixUnknown:
		return x
	case criteria.Cached.Capacity > 0:
		x.Basis, x.Credited = basis, saved/p.TokenTimeRatio
	case reason == policy.ReasonPrefix:
		x.Basis = policy.PrefixAssumed
	default:
		return x
	}
	x.Held = p.SharedWork / p.TokenTimeRatio
	if basis == policy.PrefixRecorded {
		x.Held = s.prefix.Held()
	}
	return x
}

// addPrefix adds what is known of a server's prefix cache and memory to its
// description. It must be called with mu held, after Match.
func (f *Fleet) addPrefix(c *policy.DirectCandidate, s *Server, criteria Criteria) {
	p := &criteria.Cached
	if p.Capacity == 0 || len(p.Parts) == 0 {
		return
	}
	c.HeldWork = s.prefix.Credit() * criteria.Prompt.TokenTimeRatio
	running := c.Load * float64(s.slots()) * f.aloneTokens[criteria.Service]
	c.ShortOfMemory = running+p.Alone+p.shared() > p.Capacity
}

// RecordPrompt records that the server has read the prompt, and whether it held
// the parts that were expected there.
func (g *Assignment) RecordPrompt(p CachedPrompt, verdict policy.PrefixVerdict, now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	if p.Capacity == 0 || g.prefix == nil {
		return
	}
	g.fleet.recordAlone(g.Service, p.Alone)
	g.prefix.Observe(g.Prefix.Basis, verdict)
	others, _ := g.peerTotals(now)
	running := g.relativeLoad(others, now) * float64(g.slots())
	// The other gates get as many requests as this one.
	g.prefix.Read(p.Parts, p.Alone*float64(1+len(g.fleet.gates.Others)), running*g.fleet.aloneTokens[g.Service], p.Capacity)
}

// forgetPrefix empties the record of the server's prefix cache, as the server
// may have restarted. It must be called with mu held.
func (s *Server) forgetPrefix() {
	if s.prefix != nil {
		s.prefix.Forget()
	}
}

// dropPrefix ends the record of a server that is no longer listed. It must be
// called with mu held.
func (s *Server) dropPrefix() {
	s.forgetPrefix()
	s.prefix = nil // attempts there still end
}
