package relay

import (
	"sync"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// tallies sums up the attempts of each version by service and route.
type tallies struct {
	mu   *sync.Mutex
	sums map[tallyKey]*wire.Tally
}

type tallyKey struct {
	service ident.Service
	route   ident.Route
	version ident.Version
}

func newTallies() tallies { return tallies{&sync.Mutex{}, map[tallyKey]*wire.Tally{}} }

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

// list returns the sums of services with a running roll-out.
func (t *tallies) list(shifts map[ident.Service]conf.Shift) []*wire.Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*wire.Tally
	for k, s := range t.sums {
		if shift, ok := shifts[k.service]; ok && !shift.Ended() {
			list = append(list, &wire.Tally{Model: s.Model, Version: s.Version, Answers: s.Answers, Failures: s.Failures, Slow: s.Slow})
		}
	}
	return list
}
