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
	// extraBurst is how much unused extra work a gate saves up. With 10 the
	// budget ran dry when stragglers changed (docs/decisions/choice.md).
	extraBurst = 30
	// hedgeAfter is the percentile of the latency after which a hedge starts.
	hedgeAfter = 0.96
	// ratedDecay weighs the newest answer in the share of ratings in time.
	ratedDecay = 0.05
)

// tools holds the learning parts of the policy package, which are not safe
// for concurrent use by themselves.
type tools struct {
	mu     sync.Mutex
	share  float64
	budget *policy.Budget
	hedger *policy.Hedger
	rates  *policy.QualityEstimator
	intime map[workload]float64 // share of ratings in time
	length map[workload]float64 // mean cost of an answer over the price of a token
	stats  map[ident.Target]policy.Stats
	inc    ident.Incarnation // that the stats belong to
}

// workload is a model and a kind of work; estimates are kept for each.
type workload struct {
	kind  ident.Kind
	model ident.Model
}

func newTools() *tools {
	return &tools{
		hedger: policy.NewHedger(hedgeAfter),
		rates:  policy.NewQualityEstimator(),
		intime: map[workload]float64{},
		length: map[workload]float64{},
		stats:  map[ident.Target]policy.Stats{},
	}
}

// earn counts a request; share is the share of extra work in force.
func (t *tools) earn(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.budget == nil || t.share != share {
		t.share, t.budget = share, policy.NewBudget(share, extraBurst)
	}
	t.budget.RecordRequest()
}

// spend takes one retry or hedge from the budget.
func (t *tools) spend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget != nil && t.budget.TrySpend()
}

// delay returns when a hedge may start.
func (t *tools) delay(kind ident.Kind, name ident.Model) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hedger.Delay(kind, name)
}

// answered counts the time from the first attempt of a request to its answer,
// or to its first token if it is a stream: that is when a race is decided.
func (t *tools) answered(kind ident.Kind, name ident.Model, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hedger.Observe(kind, name, d)
}

// count adds an attempt to the tally of its version.
func (t *tools) count(target ident.Target, failed, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats[target]
	s.Answers++
	if failed {
		s.Failures++
	}
	if slow {
		s.SlowAnswers++
	}
	t.stats[target] = s
}

// rate counts a rating, in whatever time it came.
func (t *tools) rate(kind ident.Kind, target ident.Target, q ident.Quality) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rates.AddRating(time.Now(), kind, target, q)
	s := t.stats[target]
	s.RatingCount++
	s.RatingSum += float64(q)
	s.RatingSquareSum += float64(q) * float64(q)
	t.stats[target] = s
}

func (t *tools) checked(l workload, intime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := 0.0
	if intime {
		v = 1
	}
	old, ok := t.intime[l]
	if !ok {
		old = 1 // try the check before giving up on it
	}
	t.intime[l] = old + ratedDecay*(v-old)
}

// learn counts the cost of an answer, in tokens at the output price.
func (t *tools) learn(l workload, u *wire.Usage, price ident.Price) {
	if u.GetCost() <= 0 || price <= 0 {
		return
	}
	tokens := u.GetCost() / float64(price)
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.length[l]
	if !ok {
		old = tokens
	}
	t.length[l] = old + ratedDecay*(tokens-old)
}

// expect returns the expected length of an answer; the caller holds mu. A
// model that was not seen yet is taken to answer at the mean length of the
// others: with a length of its own making it would look too cheap or too dear.
func (t *tools) expect(l workload) float64 {
	if tokens, ok := t.length[l]; ok {
		return tokens
	}
	sum, n := 0.0, 0
	for other, tokens := range t.length {
		if other.kind == l.kind {
			sum += tokens
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// step describes one model of a cascade to the plan.
func (t *tools) step(now time.Time, l workload, target ident.Target, price, prior float64, rated bool) policy.CascadeStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := policy.CascadeStep{
		Model: l.model, Cost: ident.Cost(price * t.expect(l)),
		Quality: t.rates.Estimate(now, l.kind, target, ident.Quality(prior)),
	}
	if rated {
		s.TimelyRatingShare = 1
		if v, ok := t.intime[l]; ok {
			s.TimelyRatingShare = ident.Share(v)
		}
	}
	return s
}

func (t *tools) estimate(now time.Time, kind ident.Kind, target ident.Target, prior ident.Quality) policy.QualityEstimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rates.Estimate(now, kind, target, prior)
}

// Tallies returns the sums for the versions of running roll-outs, which go to
// the leader with each renewal of the lease.
func (r *Router) Tallies() []*wire.Tally {
	view, inc := r.state.View(), r.book.Incarnation()
	r.tools.mu.Lock()
	defer r.tools.mu.Unlock()
	if r.tools.inc != inc {
		// The leader adds up the sums of all incarnations, so what was told
		// under an old number must not be told again under a new one.
		r.tools.inc, r.tools.stats = inc, map[ident.Target]policy.Stats{}
	}
	var list []*wire.Tally
	for target, s := range r.tools.stats {
		roll, ok := view.Rollouts[target.Model]
		if !ok || (roll.From != target.Version && roll.To != target.Version) {
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

// seed hashes a name, equally on all gates, so that a session without a pin
// gets the same version everywhere. The result is never 0.
func seed(name string) uint64 { return xxhash.Sum64String(name) | 1 }
