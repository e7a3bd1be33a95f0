package relay

import (
	"sync"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// tallies sums up the attempts of each version by service and route.
type tallies struct {
	mu     *sync.Mutex
	sums   map[tallyKey]*wire.Tally
	orders map[ident.Service]int // number of the last roll-out
	sent   map[sentKey]int       // attempts since its order
}

// sentKey counts attempts: all of a route at a service, or those of a version.
type sentKey struct {
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
	return tallies{&sync.Mutex{}, map[tallyKey]*wire.Tally{}, map[ident.Service]int{}, map[sentKey]int{}}
}

func (t *tallies) of(k tallyKey) *wire.Tally {
	s := t.sums[k]
	if s == nil {
		s = &wire.Tally{Model: string(k.service) + " " + string(k.route), Version: string(k.version)}
		t.sums[k] = s
	}
	return s
}

// answered counts an attempt.
func (t *tallies) answered(k tallyKey, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(k)
	s.Answers++
	if slow {
		s.Slow++
	}
}

// failed counts the failure of an attempt.
func (t *tallies) failed(k tallyKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(k).Failures++
}

// follow starts the sums of a service anew when a roll-out of it is ordered, so
// that a leader can judge by the sums alone, whenever it was elected.
func (t *tallies) follow(shifts map[ident.Service]conf.ServiceRollout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, shift := range shifts {
		if t.orders[service] == shift.Number {
			continue
		}
		t.orders[service] = shift.Number
		for k := range t.sums {
			if k.service == service {
				delete(t.sums, k)
			}
		}
		for k := range t.sent {
			if k.service == service {
				delete(t.sent, k)
			}
		}
	}
}

// send counts an attempt at its choice.
func (t *tallies) send(k tallyKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ordered := t.orders[k.service]; ordered {
		t.sent[sentKey{k.service, k.route, ""}]++
		t.sent[sentKey(k)]++
	}
}

// wants tells whether a new session goes to the version on trial: whenever the
// version has had less than its share of the route's attempts. Sessions that
// stay where they are do not lower the share so.
func (t *tallies) wants(service ident.Service, route ident.Route, target ident.Version, share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, got := t.sent[sentKey{service, route, ""}], t.sent[sentKey{service, route, target}]
	return float64(got) < share*float64(all)
}

// list returns the sums of services with a running roll-out.
func (t *tallies) list(shifts map[ident.Service]conf.ServiceRollout) []*wire.Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*wire.Tally
	for k, s := range t.sums {
		if shift, ok := shifts[k.service]; ok && !shift.HasEnded() {
			list = append(list, &wire.Tally{
				Model: s.Model, Version: s.Version, Answers: s.Answers, Failures: s.Failures, Slow: s.Slow, Order: uint32(shift.Number),
			})
		}
	}
	return list
}
