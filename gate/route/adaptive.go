package route

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

const (
	// maxSavedExtraWork bounds the unused retries and hedges that a gate saves up.
	// With 10 the budget ran out when other backend servers became stragglers
	// (docs/decisions/choice.md).
	maxSavedExtraWork = 30
	// hedgePercentile is the percentile of the latency after which a hedge starts.
	hedgePercentile = 0.96
	// newestAnswerWeight is the weight of the newest answer in the share of ratings
	// on time and in the mean length of answers.
	newestAnswerWeight = 0.05
)

// adaptivePolicies holds the parts of package policy that adapt to the requests
// served. Those types are not safe for concurrent use, so mu guards them all.
type adaptivePolicies struct {
	mu               sync.Mutex
	extraShare       float64
	budget           *policy.Budget
	hedger           *policy.Hedger
	qualities        *policy.QualityEstimator
	ratedOnTime      map[workload]float64 // share of ratings that came on time
	meanTokens       map[workload]float64 // mean cost of an answer, in tokens at the output price
	versionStats     map[ident.Target]policy.Stats
	statsIncarnation ident.Incarnation // incarnation that versionStats belongs to
}

// workload is a model and a kind of work; estimates are kept for each.
type workload struct {
	kind  ident.Kind
	model ident.Model
}

func newAdaptivePolicies() *adaptivePolicies {
	return &adaptivePolicies{
		hedger:       policy.NewHedger(hedgePercentile),
		qualities:    policy.NewQualityEstimator(),
		ratedOnTime:  map[workload]float64{},
		meanTokens:   map[workload]float64{},
		versionStats: map[ident.Target]policy.Stats{},
	}
}

// earnExtraWork counts a request for the budget of retries and hedges; share is
// the configured extra work per request.
func (p *adaptivePolicies) earnExtraWork(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget == nil || p.extraShare != share {
		p.extraShare, p.budget = share, policy.NewBudget(share, maxSavedExtraWork)
	}
	p.budget.RecordRequest()
}

// spendExtraWork charges one retry or hedge to the budget. It reports whether the
// budget allows it.
func (p *adaptivePolicies) spendExtraWork() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget != nil && p.budget.TrySpend()
}

// hedgeDelay returns the time from the start of an attempt to its hedge. It
// returns false while too few latencies were observed.
func (p *adaptivePolicies) hedgeDelay(kind ident.Kind, name ident.Model) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedger.Delay(kind, name)
}

// observeLatency records the time from the first attempt of a request to its
// answer, or to its first event for a stream, because that decides the race.
func (p *adaptivePolicies) observeLatency(kind ident.Kind, name ident.Model, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hedger.Observe(kind, name, d)
}

// countAttempt adds an attempt to the rollout statistics of its version.
func (p *adaptivePolicies) countAttempt(target ident.Target, failed, slow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.versionStats[target]
	s.Answers++
	if failed {
		s.Failures++
	}
	if slow {
		s.SlowAnswers++
	}
	p.versionStats[target] = s
}

// addRating counts a rating for the quality estimates and the rollout statistics,
// however late it came.
func (p *adaptivePolicies) addRating(kind ident.Kind, target ident.Target, q ident.Quality) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.qualities.AddRating(time.Now(), kind, target, q)
	s := p.versionStats[target]
	s.RatingCount++
	s.RatingSum += float64(q)
	s.RatingSquareSum += float64(q) * float64(q)
	p.versionStats[target] = s
}

func (p *adaptivePolicies) observeRatingOnTime(w workload, onTime bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := 0.0
	if onTime {
		v = 1
	}
	old, ok := p.ratedOnTime[w]
	if !ok {
		old = 1 // optimistic, so that the check is tried at first
	}
	p.ratedOnTime[w] = old + newestAnswerWeight*(v-old)
}

// observeCost updates the mean length of answers: their cost in tokens at the
// output price.
func (p *adaptivePolicies) observeCost(w workload, u *wire.Usage, price ident.Price) {
	if u.GetCost() <= 0 || price <= 0 {
		return
	}
	tokens := u.GetCost() / float64(price)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.meanTokens[w]
	if !ok {
		old = tokens
	}
	p.meanTokens[w] = old + newestAnswerWeight*(tokens-old)
}

// expectedTokens returns the expected length of an answer. A model without answers
// yet is assumed to have the mean length of the others; with an arbitrary length
// it would look too cheap or too expensive. It must be called with mu held.
func (p *adaptivePolicies) expectedTokens(w workload) float64 {
	if tokens, ok := p.meanTokens[w]; ok {
		return tokens
	}
	sum, n := 0.0, 0
	for other, tokens := range p.meanTokens {
		if other.kind == w.kind {
			sum += tokens
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// cascadeStep returns the step of a cascade plan for one model.
func (p *adaptivePolicies) cascadeStep(now time.Time, w workload, target ident.Target, price, prior float64, rated bool) policy.CascadeStep {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := policy.CascadeStep{
		Model: w.model, Cost: ident.Cost(price * p.expectedTokens(w)),
		Quality: p.qualities.Estimate(now, w.kind, target, ident.Quality(prior)),
	}
	if rated {
		s.TimelyRatingShare = 1
		if v, ok := p.ratedOnTime[w]; ok {
			s.TimelyRatingShare = ident.Share(v)
		}
	}
	return s
}

func (p *adaptivePolicies) estimateQuality(now time.Time, kind ident.Kind, target ident.Target, prior ident.Quality) policy.QualityEstimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.qualities.Estimate(now, kind, target, prior)
}

// Tallies returns the statistics of the versions of running rollouts, which are
// sent to the leader with each renewal of the lease.
func (r *Router) Tallies() []*wire.Tally {
	view, inc := r.state.View(), r.book.Incarnation()
	r.adaptive.mu.Lock()
	defer r.adaptive.mu.Unlock()
	if r.adaptive.statsIncarnation != inc {
		// The leader adds up the statistics of all incarnations, so attempts
		// reported under an old number must not be reported again under a new one.
		r.adaptive.statsIncarnation, r.adaptive.versionStats = inc, map[ident.Target]policy.Stats{}
	}
	var list []*wire.Tally
	for target, s := range r.adaptive.versionStats {
		rollout, ok := view.Rollouts[target.Model]
		if !ok || (rollout.From != target.Version && rollout.To != target.Version) {
			continue
		}
		list = append(list, &wire.Tally{
			Model: string(target.Model), Version: string(target.Version),
			Answers: s.Answers, Failures: s.Failures, Slow: s.SlowAnswers,
			Rated: s.RatingCount, Quality: s.RatingSum, Squares: s.RatingSquareSum,
		})
	}
	return list
}

// seed returns a hash of a name. It is the same on all gates, so that a session
// without a pin gets the same version everywhere, and never 0.
func seed(name string) uint64 { return xxhash.Sum64String(name) | 1 }
