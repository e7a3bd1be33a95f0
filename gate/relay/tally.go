package relay

import (
	"sync"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// tallies sums up the attempts of each version by service and route. Rollouts
// are judged by the sums.
type tallies struct {
	mu             *sync.Mutex
	sums           map[tallyKey]*wire.Tally
	rolloutNumbers map[ident.Service]int // number of the last rollout
	attempts       map[attemptKey]int    // since the order of the rollout
}

// attemptKey names a count of attempts: all of a route at a service, or those
// of one version.
type attemptKey struct {
	service ident.Service
	route   ident.Route
	version ident.Version // empty for all
}

type tallyKey struct {
	service ident.Service
	route   ident.Route
	version ident.Version
}

func newTallies() tallies {
	return tallies{&sync.Mutex{}, map[tallyKey]*wire.Tally{}, map[ident.Service]int{}, map[attemptKey]int{}}
}

func (t *tallies) sum(k tallyKey) *wire.Tally {
	s := t.sums[k]
	if s == nil {
		s = &wire.Tally{Model: string(k.service) + " " + string(k.route), Version: string(k.version)}
		t.sums[k] = s
	}
	return s
}

// countAnswer counts an attempt and whether it was slow.
func (t *tallies) countAnswer(k tallyKey, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sum(k)
	s.Answers++
	if slow {
		s.Slow++
	}
}

// countFailure counts a failed attempt.
func (t *tallies) countFailure(k tallyKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum(k).Failures++
}

// resetForRollouts resets the sums of a service when a new rollout of it is
// ordered. A leader can then judge by the sums alone, whenever it was elected.
func (t *tallies) resetForRollouts(rollouts map[ident.Service]conf.ServiceRollout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, rollout := range rollouts {
		if t.rolloutNumbers[service] == rollout.Number {
			continue
		}
		t.rolloutNumbers[service] = rollout.Number
		for k := range t.sums {
			if k.service == service {
				delete(t.sums, k)
			}
		}
		for k := range t.attempts {
			if k.service == service {
				delete(t.attempts, k)
			}
		}
	}
}

// countAttempt counts an attempt when its server has been chosen.
func (t *tallies) countAttempt(k tallyKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ordered := t.rolloutNumbers[k.service]; ordered {
		t.attempts[attemptKey{k.service, k.route, ""}]++
		t.attempts[attemptKey(k)]++
	}
}

// isBelowShare reports whether a new session goes to the version in its canary
// stage: whenever that version has had less than its share of the route's
// attempts. Sessions that stay with their version thus do not lower the share.
func (t *tallies) isBelowShare(service ident.Service, route ident.Route, target ident.Version, share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, canary := t.attempts[attemptKey{service, route, ""}], t.attempts[attemptKey{service, route, target}]
	return float64(canary) < share*float64(all)
}

// running returns the sums of services with a running rollout.
func (t *tallies) running(rollouts map[ident.Service]conf.ServiceRollout) []*wire.Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*wire.Tally
	for k, s := range t.sums {
		if rollout, ok := rollouts[k.service]; ok && !rollout.HasEnded() {
			list = append(list, &wire.Tally{
				Model: s.Model, Version: s.Version, Answers: s.Answers, Failures: s.Failures, Slow: s.Slow, Order: uint32(rollout.Number),
			})
		}
	}
	return list
}
