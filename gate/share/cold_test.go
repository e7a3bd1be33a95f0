package share_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/core/policy"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

const (
	coldDuration = 10 * time.Second
	coldRate     = 11
	coldServers  = 8
	coldLatency  = 50 * time.Millisecond
	coldJitter   = 20 * time.Millisecond // of a request on its way, at most
)

var coldBounds = policy.ColdBounds{Overage: 1.5, Tolerance: 5}

// coldServer is the true state of a server.
type coldServer struct {
	run       int
	down      bool
	coldUntil time.Time
	arrivals  []time.Time
	cold      []bool // at each arrival
}

// coldWorld is a world whose gates send attempts to servers that may be cold.
type coldWorld struct {
	*world
	demand   float64 // attempts a second, by all gates together
	servers  map[ident.Backend]*coldServer
	cutOff   map[*gate]bool // from the other gates and the state cluster
	isNamed  bool           // answers and the list name cold times
	hasBorn  bool           // the list names the starts of servers
	attempts int
	unserved int
}

func newColdWorld(gates int, demandPerServer float64) *coldWorld {
	w := &coldWorld{demand: demandPerServer * coldServers, servers: map[ident.Backend]*coldServer{}, cutOff: map[*gate]bool{}}
	w.world = newWorldWith(gates, uint64(gates), 0.02, func(g *gate) share.LoadTable { return g.fleet })
	w.list = w.list[:coldServers]
	for _, x := range w.list {
		w.servers[x.ID] = &coldServer{}
	}
	for _, g := range w.gates {
		w.start(g)
		w.after(0, func() { w.attempt(g) })
		w.after(0, func() { w.readAlone(g) })
	}
	w.publish()
	return w
}

func (w *coldWorld) start(g *gate) {
	g.fleet.SetColdBounds(coldBounds)
	g.fleet.SetColdRules(map[ident.Service]plan.Service{"pool": {Cold: plan.Cold{Duration: coldDuration, Rate: coldRate}}})
}

// publish updates the list, as the platform does from time to time.
func (w *coldWorld) publish() {
	w.after(200*time.Millisecond, w.publish)
	w.list = slices.Clone(w.list)
	for i := range w.list {
		x := &w.list[i]
		s := w.servers[x.ID]
		x.ColdNamed = w.isNamed
		if w.isNamed && !s.down {
			x.ColdLeft = max(0, time.Until(s.coldUntil))
		}
		if w.hasBorn {
			x.Born = int64(1 + s.run)
		}
	}
}

// readAlone reads the list for a gate that is cut off.
func (w *coldWorld) readAlone(g *gate) {
	if w.cutOff[g] {
		g.fleet.SetList(w.list, time.Now())
	}
	w.after(time.Second, func() { w.readAlone(g) })
}

// cut cuts a gate off from all others; these no longer have it on their lists.
func (w *coldWorld) cut(cut ...*gate) {
	for _, g := range cut {
		g.down, w.cutOff[g] = true, true
	}
	for _, g := range w.gates {
		if !g.down {
			g.node.SetMembers(w.members(g), time.Now())
		}
	}
}

// members returns the other gates that the state cluster reports to a gate.
func (w *coldWorld) members(g *gate) (list []share.Member) {
	for _, other := range w.gates {
		if other != g && !w.cutOff[other] {
			list = append(list, other.Member)
		}
	}
	return list
}

// restart starts a gate anew, which knows nothing.
func (w *coldWorld) restart(g *gate) {
	g.fleet = fleet.New(g.Zone)
	w.start(g)
	g.node = share.NewNode(share.Config{Name: g.Addr.String(), Self: g.Member, ReadSlack: simReadSlack, Loads: g.fleet, Parts: g.parts, Lists: g.fleet, Colds: g.fleet}, w.rand.Uint64())
	g.node.SetMembers(w.members(g), time.Now())
}

// attempt sends an attempt of a gate, and the next one at a random time.
func (w *coldWorld) attempt(g *gate) {
	pause := w.rand.ExpFloat64() * float64(len(w.gates)) / w.demand
	w.after(time.Duration(pause*float64(time.Second)), func() { w.attempt(g) })
	w.attempts++
	a := g.fleet.Pick(fleet.Criteria{Service: "pool", TieBreak: w.rand.Uint64()}, time.Now())
	if a == nil {
		w.unserved++
		return
	}
	s := w.servers[a.ID]
	w.after(time.Duration(w.rand.Int64N(int64(coldJitter))), func() {
		if s.down {
			a.RecordRefused(time.Now())
			a.Release(fleet.Unreached, time.Now())
			return
		}
		s.arrivals, s.cold = append(s.arrivals, time.Now()), append(s.cold, time.Now().Before(s.coldUntil))
		run := s.run
		w.after(coldLatency, func() {
			if s.run != run || s.down {
				a.RecordCutOff(time.Now())
				a.Release(fleet.Broke, time.Now())
				return
			}
			a.RecordCold(platform.ColdTime{Named: w.isNamed, Left: max(0, time.Until(s.coldUntil))}, time.Now())
			a.Release(fleet.Good, time.Now())
		})
	})
}

// crash ends a server, which is back under its ID after a time, cold.
func (w *coldWorld) crash(id ident.Backend, downFor time.Duration) {
	s := w.servers[id]
	s.down = true
	w.after(downFor, func() {
		s.down, s.coldUntil = false, time.Now().Add(coldDuration)
		s.run++
	})
}

// mostCold returns the greatest number of arrivals in one second at a server
// while it was cold.
func (s *coldServer) mostCold() (most int) {
	var span []time.Time
	for i, at := range s.arrivals {
		if !s.cold[i] {
			continue
		}
		for len(span) > 0 && at.Sub(span[0]) >= time.Second {
			span = span[1:]
		}
		span = append(span, at)
		most = max(most, len(span))
	}
	return most
}

// arrivedSince counts the arrivals since a time.
func (s *coldServer) arrivedSince(since time.Time) (n int) {
	for _, at := range s.arrivals {
		if !at.Before(since) {
			n++
		}
	}
	return n
}

// However gates lose and regain contact, a cold server among warm ones must not
// get more requests in one second than its bound from all of them together, also
// at full load, and must get its usual load once it is warm.
func TestColdServerOverBound(t *testing.T) {
	const (
		perServer = 60.0 // attempts a second; a server can serve 160
		settled   = 5 * time.Second
		downFor   = 3 * time.Second
	)
	crash := func(w *coldWorld) { w.crash("s3", downFor) }
	for name, x := range map[string]struct {
		gates          int
		named, born    bool
		begin          func(w *coldWorld)
		cold           []ident.Backend
		longestColdFor time.Duration
	}{
		"new server that the list names":  {gates: 25, named: true, begin: func(w *coldWorld) { w.add("n1") }, cold: []ident.Backend{"n1"}},
		"new server, list without times":  {gates: 25, begin: func(w *coldWorld) { w.add("n1") }, cold: []ident.Backend{"n1"}},
		"crash, nothing names cold times": {gates: 25, begin: crash, cold: []ident.Backend{"s3"}},
		"crash, list names starts":        {gates: 25, born: true, begin: crash, cold: []ident.Backend{"s3"}},
		"crash, times named":              {gates: 25, named: true, born: true, begin: crash, cold: []ident.Backend{"s3"}},
		"crash, 105 gates":                {gates: 105, named: true, born: true, begin: crash, cold: []ident.Backend{"s3"}},
		"crash, 3 gates":                  {gates: 3, born: true, begin: crash, cold: []ident.Backend{"s3"}},
		"cut off and restarted gates": {gates: 25, named: true, born: true, cold: []ident.Backend{"s3"}, begin: func(w *coldWorld) {
			w.cut(w.gates[:8]...)
			crash(w)
			for i, g := range w.gates[8:20] {
				w.after(downFor+time.Duration(i)*200*time.Millisecond, func() { w.restart(g) })
			}
		}},
		"half cut off before": {gates: 24, born: true, cold: []ident.Backend{"s3"}, begin: func(w *coldWorld) {
			w.cut(w.gates[:12]...)
			w.after(2*time.Second, func() { crash(w) })
		}},
		"a zone is back": {gates: 25, named: true, born: true, cold: []ident.Backend{"s1", "s2", "s3"}, begin: func(w *coldWorld) {
			for i := 1; i <= 3; i++ {
				w.crash(ident.Backend(fmt.Sprint("s", i)), downFor)
			}
		}},
		"cold at any moment": {gates: 25, named: true, cold: []ident.Backend{"s3"}, begin: func(w *coldWorld) {
			w.servers["s3"].coldUntil = time.Now().Add(coldDuration)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newColdWorld(x.gates, perServer)
				w.isNamed, w.hasBorn = x.named, x.born
				w.run(settled)
				x.begin(w)
				w.run(downFor + 2*time.Second)
				attempts, unserved := w.attempts, w.unserved
				w.run(coldDuration - 2*time.Second)
				if got := float64(w.unserved-unserved) / float64(w.attempts-attempts); got > 0.01 {
					t.Errorf("got a share of %.3f of the attempts refused beside warm servers", got)
				}
				w.run(2*coldDuration + 5*time.Second)
				last := time.Now()
				w.run(3 * time.Second)
				for _, id := range x.cold {
					s := w.servers[id]
					if got, most := s.mostCold(), coldBounds.Limit(coldRate); float64(got) > most {
						t.Errorf("%s: got %d requests in one second while it was cold, want at most %v", id, got, most)
					} else {
						t.Logf("%s: %d requests in one second while it was cold", id, got)
					}
					if got, most := s.firstWarm(), 0.6*perServer; float64(got) > most {
						t.Errorf("%s: got %d requests in the first second after its cold time, want at most %v", id, got, most)
					}
					if got, least := s.arrivedSince(last), int(3*perServer/2); got < least {
						t.Errorf("%s: got %d requests in 3 s after it was warm, want at least %d", id, got, least)
					}
				}
			})
		})
	}
}

// firstWarm counts the arrivals in the first second after the cold time.
func (s *coldServer) firstWarm() (n int) {
	for _, at := range s.arrivals {
		if d := at.Sub(s.coldUntil); d >= 0 && d < time.Second {
			n++
		}
	}
	return n
}

// add lists a new server, which is cold.
func (w *coldWorld) add(id ident.Backend) {
	x := w.list[0]
	x.ID = id
	w.list = append(slices.Clone(w.list), x)
	w.servers[id] = &coldServer{coldUntil: time.Now().Add(coldDuration)}
}
