package relay

import (
	"cmp"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/gate/fleet"
)

// cachedPrompt describes the prompt to the records of the prefix caches. They
// are kept for services with model runners of a known capacity.
func (c *call) cachedPrompt(model ident.Model) (p fleet.CachedPrompt) {
	engine := c.config.plan.Services[c.service].Engine
	if c.head.Input == 0 || engine == nil || engine.KVCapacity == 0 {
		return p
	}
	p.Capacity = float64(engine.KVCapacity)
	rest := c.head.Input
	if c.route.PrefixAffinity {
		h := xxhash.New()
		add := func(s string) {
			_, _ = h.WriteString(s) // a hash never fails
			_, _ = h.Write([]byte{0})
		}
		add(string(c.service))
		add(string(cmp.Or(model, c.head.Model)))
		for _, part := range c.sharedParts() {
			add(part.ID)
			p.Parts = append(p.Parts, policy.PrefixPart{Key: policy.PrefixKey(h.Sum64()), Tokens: float64(part.Tokens)})
			rest -= part.Tokens
		}
	}
	p.Alone = float64(max(0, rest) + cmp.Or(c.head.OutputHint, c.head.MaxOutput))
	return p
}

// recordPrompt records that the server has read the prompt: the time that it
// took, and whether the server held what was expected.
func (x *attempt) recordPrompt(cached fleet.CachedPrompt, now time.Time) {
	p := x.promptWork(x.model)
	if p.Work == 0 {
		return
	}
	x.prefixVerdict, x.expectedPrefill = x.r.recordFirstToken(x.service, p, x.assignment.Prefix, x.assignment.QueuedWork, x.headLatency)
	if x.status < http.StatusMultipleChoices {
		x.assignment.RecordPrompt(cached, x.prefixVerdict, now)
	}
	if e := x.assignment.Prefix; e.Basis != policy.PrefixUnknown {
		x.r.metrics.prefixTokens.WithLabelValues(e.Basis.String(), x.prefixVerdict.String()).Add(e.Held)
		x.r.metrics.prefixAttempts.WithLabelValues(e.Basis.String(), x.prefixVerdict.String()).Inc()
	}
}

// recordFirstToken records the time to the first token of a prompt, and returns
// whether the server held the tokens that were expected there and how long the
// prefill was expected to take, beyond the part that every answer has.
func (r *Relay) recordFirstToken(service ident.Service, p policy.Prompt, prefix fleet.PrefixExpectation, queuedWork float64, took time.Duration) (policy.PrefixVerdict, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.firstTokenEstimator(service)
	verdict := s.JudgePrefix(took, p, prefix.Basis, prefix.Held, queuedWork)
	read := p.Tokens(prefix.Held)
	if verdict == policy.PrefixMissed {
		read = p.Tokens(0)
	}
	expected := s.Expected(p, read, queuedWork) - s.Expected(p, 0, 0)
	s.ObservePrompt(took, p, prefix.Basis, verdict, prefix.Held, queuedWork)
	return verdict, expected
}
