package share_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

// limitedWorld is a world whose gates send attempts to servers, some of which
// limit their requests.
type limitedWorld struct {
	*world
	demand   float64 // attempts a second, by all gates together
	limits   map[ident.Backend]float64
	arrivals map[ident.Backend][]time.Time
}

const limitHeadLatency = 50 * time.Millisecond

func newLimitedWorld(gates, servers int, demand float64, limits map[ident.Backend]float64) *limitedWorld {
	w := &limitedWorld{demand: demand, limits: limits, arrivals: map[ident.Backend][]time.Time{}}
	w.world = newWorldWith(gates, uint64(gates), 0.02, func(g *gate) share.LoadTable { return g.fleet })
	w.list = w.list[:servers]
	for _, g := range w.gates {
		w.after(4*time.Second, func() { w.attempt(g) })
	}
	return w
}

// attempt sends an attempt of a gate, and the next one at a random time.
func (w *limitedWorld) attempt(g *gate) {
	pause := w.rand.ExpFloat64() * float64(len(w.gates)) / w.demand
	w.after(time.Duration(pause*float64(time.Second)), func() { w.attempt(g) })
	a := g.fleet.Pick(fleet.Criteria{Service: "pool", TieBreak: w.rand.Uint64()}, time.Now())
	if a == nil {
		return
	}
	w.arrivals[a.ID] = append(w.arrivals[a.ID], time.Now())
	w.after(limitHeadLatency, func() {
		limit, named := w.limits[a.ID]
		a.RecordLimit(platform.RateLimit{Named: named, Rate: ident.Rate(limit)}, time.Now())
		a.Release(fleet.Good, time.Now())
	})
}

// most returns the greatest number of arrivals at a server in any span of d
// since a time.
func (w *limitedWorld) most(id ident.Backend, since time.Time, d time.Duration) (most int) {
	var span []time.Time
	for _, at := range w.arrivals[id] {
		if at.Before(since) {
			continue
		}
		for len(span) > 0 && at.Sub(span[0]) > d {
			span = span[1:]
		}
		span = append(span, at)
		most = max(most, len(span))
	}
	return most
}

// However many gates there are, a server that limits its requests gets hardly
// more from all of them together, uses most of its limit, and is in full use
// again soon after the limit has ended.
func TestGatesOverLimitTogether(t *testing.T) {
	const (
		window       = 4 * time.Second
		allowedRatio = 1.5
		allowedSlack = 5
		learning     = 3 * time.Second
		measured     = 12 * time.Second
		leastUse     = 0.6
		perServer    = 30.0 // requests a second of each server without a limit
	)
	limits := map[ident.Backend]float64{"s0": 0.3, "s1": 1.3, "s2": 4.5, "s3": 20}
	for n, servers := range map[int]int{1: 12, 3: 12, 8: 12, 60: 24, 105: 40} {
		t.Run(fmt.Sprint(n, " gates"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newLimitedWorld(n, servers, perServer*float64(servers), limits)
				w.run(4*time.Second + learning)
				start := time.Now()
				w.run(measured)
				for id, limit := range limits {
					allowed := allowedRatio*limit*window.Seconds() + allowedSlack
					if got := w.most(id, start, window); float64(got) > allowed {
						t.Errorf("%s: got %d requests in %v with a limit of %v a second, want at most %.0f", id, got, window, limit, allowed)
					}
					if got, want := w.most(id, start, measured), leastUse*limit*measured.Seconds(); float64(got) < want {
						t.Errorf("%s: got %d requests in %v with a limit of %v a second, want at least %.0f", id, got, measured, limit, want)
					}
				}
				w.limits = nil
				w.run(2 * learning)
				start = time.Now()
				w.run(window)
				for id := range limits {
					if got := w.most(id, start, window); float64(got) < perServer*window.Seconds()/2 {
						t.Errorf("%s: got %d requests in %v after its limit has ended, want at least %v", id, got, window, perServer*window.Seconds()/2)
					}
				}
			})
		})
	}
}
