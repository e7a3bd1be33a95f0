package fleet

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/core/policy"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

const (
	// answerTimeout is the time within which a server that was seen down is expected
	// to answer again. A gate that may send it nothing gets no answer from it, and
	// would otherwise treat it as cold indefinitely.
	answerTimeout = 15 * time.Second
	// downMemory is how long others are told of a server that was seen down.
	downMemory = 3 * time.Second
	// cutOffSpan is the time in which a server that ends cuts off all its
	// connections. A single one that breaks off may be a fault of its answer alone.
	cutOffSpan = 250 * time.Millisecond
	// unreachedSpan is how long a server must have been out of reach to count as
	// down, as single packets get lost.
	unreachedSpan = 500 * time.Millisecond
	// coldPause is how long a gate sends nothing to a server that turns cold in
	// full use: its load of the second before counts toward the bound.
	coldPause = time.Second
	// lastResortInterval is the interval between requests of a gate that does not
	// know the other gates to the cold servers of a service, if no other is open.
	// 105 gates that know nothing stay within the bound of one server.
	lastResortInterval = 5 * time.Second
	// shareMemory is how long a gate's share of a server is used before it is
	// computed anew.
	shareMemory = time.Second
)

// coldState is what a gate knows of a server's cold time.
type coldState struct {
	rule  plan.Cold
	known bool      // the server has been listed
	until time.Time // end of the cold time; zero if there was none
	// unanswered is set from the time at which the server is seen down until it
	// answers; until is then the latest end of its cold time.
	unanswered bool
	downAt     time.Time
	// proven is set if the cold time does not depend on this gate's view alone, so
	// that others are told. A server that one gate cannot reach may be sound.
	proven bool
	mark   uint32 // of the list when its cold time was last used

	cutOffAt       time.Time
	unreachedSince time.Time // since when no connection could be opened; zero if one could

	isLogged bool          // as cold
	interval time.Duration // between requests of this gate; 0 if it may send none
	computed time.Time     // when interval was computed
	version  int           // of the gates from which it was computed
	next     time.Time     // earliest time of the next request
}

func (c *coldState) isCold(now time.Time) bool { return c.rule.Rate > 0 && now.Before(c.until) }

// loadShare returns the share of its usual load that the server is to get.
func (c *coldState) loadShare(now time.Time) float64 {
	if c.rule.Rate == 0 || c.until.IsZero() {
		return 1
	}
	return policy.SlowStartShare(now.Sub(c.until), c.rule.Duration)
}

// coldFleet is what a gate knows of cold servers as a whole. Fleet.mu guards it.
type coldFleet struct {
	rules      map[ident.Service]plan.Cold
	bounds     policy.ColdBounds
	gates      knownGates
	version    int  // grows with each change of the gates or the rules
	listed     bool // a list has been in use
	lastResort map[ident.Service]time.Time
	withheld   uint64 // choices that left out a cold server
}

// SetColdBounds sets the limits of the deployment on requests to cold servers.
func (f *Fleet) SetColdBounds(b policy.ColdBounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.bounds = b
	f.cold.version++
}

// SetColdRules sets what the servers of the services sustain while they are cold.
func (f *Fleet) SetColdRules(services map[ident.Service]plan.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.rules = make(map[ident.Service]plan.Cold, len(services))
	for name, s := range services {
		f.cold.rules[name] = s.Cold
	}
	f.cold.version++
	for _, s := range f.servers {
		s.cold.rule = f.cold.rules[s.Service]
	}
}

// beginCold sets the end of a cold time, which may be past. It must be called
// with mu held.
func (f *Fleet) beginCold(s *Server, until time.Time, reason string, now time.Time) {
	c := &s.cold
	wasCold := c.isCold(now)
	c.until = until
	if !c.isCold(now) || wasCold {
		return
	}
	c.isLogged = true
	// Gates whose first requests come at different times do not all repeat them at
	// the same time.
	f.computeInterval(s, now)
	phase := float64(mixBits(mixBits(f.list.reader)^s.hash)) / math.MaxUint64
	next := now.Add(time.Duration(phase * float64(c.interval)))
	if s.inFlight > 0 || now.Sub(s.changedAt) < coldPause {
		next = next.Add(coldPause)
	}
	if next.After(c.next) {
		c.next = next
	}
	klog.InfoS("Backend server is cold", "backend", s.ID, "for", until.Sub(now), "why", reason, "interval", c.interval, "gates", 1+len(f.cold.gates.others))
}

// markDown records that a server does not answer and will be cold when it does.
// It must be called with mu held.
func (f *Fleet) markDown(s *Server, reason string, proven bool, now time.Time) {
	c := &s.cold
	if c.rule.Rate == 0 {
		return
	}
	f.beginCold(s, now.Add(answerTimeout+c.rule.Duration), reason, now)
	c.unanswered, c.downAt = true, now
	c.proven = c.proven || proven
}

// computeInterval computes the interval between the requests of this gate to a
// cold server. It must be called with mu held.
func (f *Fleet) computeInterval(s *Server, now time.Time) {
	c := &s.cold
	c.computed, c.version = now, f.cold.version
	c.interval = 0
	if gates, rank, ok := f.cold.gates.count(s.hash, now); ok {
		c.interval = policy.ColdInterval(c.rule.Rate, f.cold.bounds, rank, gates)
	}
}

// untilAllowedCold returns how long a server gets no request of this gate because
// it is cold. It must be called with mu held.
func (f *Fleet) untilAllowedCold(s *Server, now time.Time) time.Duration {
	c := &s.cold
	if !c.isCold(now) {
		if c.isLogged {
			c.isLogged, c.unanswered, c.proven = false, false, false
			klog.InfoS("Backend server is warm; its load rises to normal", "backend", s.ID, "within", c.rule.Duration)
		}
		return 0
	}
	if c.version != f.cold.version || now.Sub(c.computed) >= shareMemory {
		f.computeInterval(s, now)
	}
	wait := c.next.Sub(now)
	if c.interval == 0 {
		wait = c.until.Sub(now)
	}
	return wait
}

// countWithheld counts a choice that leaves out a server because it is cold. It
// must be called with mu held.
func (f *Fleet) countWithheld(s *Server, now time.Time) {
	if s.cold.isCold(now) {
		f.cold.withheld++
	}
}

// spendCold counts a request that this gate sends. It must be called with mu
// held.
func (f *Fleet) spendCold(s *Server, now time.Time) {
	c := &s.cold
	if !c.isCold(now) {
		return
	}
	c.next = now.Add(c.interval)
	if c.interval == 0 {
		f.cold.lastResort[s.Service] = now.Add(lastResortInterval)
	}
}

// lastResort returns the cold servers that this gate may use if it has no other
// server and does not know the other gates yet. It must be called with mu held.
func (f *Fleet) lastResort(criteria Criteria, now time.Time) (list []*Server) {
	if f.cold.gates.areKnown(now) {
		return nil
	}
	for _, s := range f.services[criteria.Service] {
		if criteria.matches(s, now) && s.cold.isCold(now) && max(s.limit.untilAllowed(now), s.pausedUntil.Sub(now)) <= 0 {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	if f.cold.lastResort == nil {
		f.cold.lastResort = map[ident.Service]time.Time{}
	}
	next, ok := f.cold.lastResort[criteria.Service]
	if !ok {
		// Gates that start at the same time begin at different times.
		phase := float64(mixBits(f.list.reader)) / math.MaxUint64
		next = now.Add(time.Duration(phase * float64(lastResortInterval)))
		f.cold.lastResort[criteria.Service] = next
	}
	if now.Before(next) {
		return nil
	}
	return list
}

// RecordCold records an answer and what it says of the cold time of its server.
func (g *Assignment) RecordCold(x platform.ColdTime, now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	c := &g.cold
	c.unreachedSince = time.Time{}
	if c.rule.Rate == 0 {
		return
	}
	again := c.unanswered && g.start.After(c.downAt)
	switch {
	case x.Named && x.Left > 0:
		g.fleet.beginCold(g.Server, now.Add(x.Left), "answer", now)
		c.proven, c.unanswered = true, false
	case x.Named && c.isCold(now):
		c.until, c.unanswered = now, false
	case again:
		g.fleet.beginCold(g.Server, now.Add(c.rule.Duration), "answers again", now)
		c.unanswered = false
		klog.InfoS("Backend server answers again", "backend", g.ID, "cold", c.rule.Duration)
	}
}

// RecordRefused records that the server refused a connection, so its process has
// ended.
func (g *Assignment) RecordRefused(now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.fleet.markDown(g.Server, "refuses connections", true, now)
}

// RecordCutOff records that the server ended the connection before the end of the
// answer. It must be called before Release.
func (g *Assignment) RecordCutOff(now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	c := &g.cold
	if now.Sub(c.cutOffAt) <= cutOffSpan && g.inFlight <= 1 {
		g.fleet.markDown(g.Server, "ends its connections", true, now)
	}
	c.cutOffAt = now
}

// RecordUnreached records that the server could not be reached. After some time
// it counts as down.
func (g *Assignment) RecordUnreached(now time.Time) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	c := &g.cold
	if c.unreachedSince.IsZero() {
		c.unreachedSince = now
	}
	if now.Sub(c.unreachedSince) >= unreachedSpan {
		g.fleet.markDown(g.Server, "out of reach", false, now)
	}
}

// Colds implements share.ColdTable.
func (f *Fleet) Colds() (list []share.Cold) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.servers {
		switch c := &s.cold; {
		case !c.proven || !c.isCold(now):
		case !c.unanswered:
			list = append(list, share.Cold{Server: s.loadKey(), Left: c.until.Sub(now)})
		case now.Sub(c.downAt) < downMemory:
			list = append(list, share.Cold{Server: s.loadKey(), Down: true})
		}
	}
	return list
}

// MergeColds implements share.ColdTable.
func (f *Fleet) MergeColds(list []share.Cold) {
	colds := make(map[uint32]share.Cold, len(list))
	for _, x := range list {
		colds[x.Server] = x
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.servers {
		if x, ok := colds[s.loadKey()]; ok && s.cold.rule.Rate > 0 {
			f.mergeCold(s, x, now)
		}
	}
}

// mergeCold processes what another gate knows of a server. Only what differs from
// what is known here counts, so that gates do not prolong a cold time for each
// other without end. It must be called with mu held.
func (f *Fleet) mergeCold(s *Server, x share.Cold, now time.Time) {
	c, until := &s.cold, now.Add(x.Left)
	switch {
	case x.Down:
		if !c.isCold(now) {
			f.markDown(s, "another gate saw it down", true, now)
		}
	case c.unanswered && until.Before(c.downAt.Add(c.rule.Duration-time.Second)):
		// The end of a cold time before the server was seen down.
	case c.unanswered || until.Sub(c.until) > coldTolerance:
		f.beginCold(s, until, "another gate", now)
		c.unanswered, c.proven = false, true
	}
}

// Register registers the metrics.
func (f *Fleet) Register(reg prometheus.Registerer) {
	reg.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "fleet_cold_servers", Help: "Backend servers that are cold."}, func() float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			n, now := 0, time.Now()
			for _, s := range f.servers {
				if s.cold.isCold(now) {
					n++
				}
			}
			return float64(n)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "fleet_cold_withheld_total", Help: "Times that a cold backend server was left out of a choice because of this gate's share of its rate."}, func() float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return float64(f.cold.withheld)
		}),
	)
}
