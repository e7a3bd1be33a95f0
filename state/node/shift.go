package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

const (
	// shiftEvery is the interval at which running roll-outs are looked at. A
	// bad version is judged within it and one renewal of the gates.
	shiftEvery = 200 * time.Millisecond
	// tellEvery is the interval of the log lines of a running roll-out.
	tellEvery = 2 * time.Second
	// moveBefore is how long before its deadline a good version gets all new
	// sessions. Exposure to a version that turns bad late is bounded by it.
	moveBefore = 1500 * time.Millisecond
	// completeBefore leaves time for an election before the deadline.
	completeBefore = 600 * time.Millisecond
	// restartPast is the age from which a roll-out that is seen for the first
	// time was ordered before the start of this process.
	restartPast = 8 * time.Second
	// leastMove is the least part of the roll-out spent on the canary.
	leastMove = 0.7
)

// watched is what a leader knows of one running roll-out.
type watched struct {
	number int
	began  time.Time                  // by the clock of this process
	starts map[uint64]map[string]pair // by incarnation and route
	latest map[uint64]map[string]pair
	told   time.Time // last line in the log
}

// watchShifts judges the running roll-outs of services' versions. A process that
// does not lead notes when they began, so that it can judge by its own clock
// when it leads.
func (n *Node) watchShifts(ctx context.Context) error {
	tick := time.NewTicker(shiftEvery)
	defer tick.Stop()
	var of *epoch
	list := map[ident.Service]*watched{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		shifts := n.ledger.Shifts()
		for service, s := range shifts {
			n.note(service, s, list)
		}
		if len(list) == 0 || !n.cons.Lease() {
			continue
		}
		e, err := n.leading(ctx)
		if err != nil {
			continue
		}
		for _, service := range slices.Sorted(maps.Keys(list)) {
			w := list[service]
			if e != of {
				w.starts, w.latest = map[uint64]map[string]pair{}, nil
			}
			n.watchShift(ctx, e, service, shifts[service], w)
		}
		of = e
	}
}

// note keeps the list of running roll-outs.
func (n *Node) note(service ident.Service, s conf.Shift, list map[ident.Service]*watched) {
	w := list[service]
	switch {
	case s.Ended():
		delete(list, service)
	case w == nil || w.number != s.Number:
		w = &watched{number: s.Number, began: time.Now(), starts: map[uint64]map[string]pair{}}
		// After a restart the ledger's time of the order is all there is. It
		// is from the clock of another process, so it is trusted in part.
		if past := time.Duration(time.Now().UnixMilli()-int64(s.Began)) * time.Millisecond; past > restartPast {
			w.began = w.began.Add(-min(past, s.Length()-2*moveBefore))
		}
		list[service] = w
	}
}

func (n *Node) watchShift(ctx context.Context, e *epoch, service ident.Service, s conf.Shift, w *watched) {
	n.observe(e, service, s.Target, w)
	next, reason := w.next(s, time.Now())
	if time.Since(w.told) >= tellEvery {
		w.told = time.Now()
		klog.InfoS("Roll-out of a version watched", "service", service, "target", s.Target, "stage", s.Stage, "age", time.Since(w.began), "sums", w.String())
	}
	if next == s.Stage {
		return
	}
	r, err := n.propose(ctx, &wire.Command{Actor: n.link.Name, Kind: &wire.Command_Shift{Shift: &wire.Shift{
		Service: string(service), Target: string(s.Target), Phase: string(next), Reason: reason,
	}}})
	klog.InfoS("Roll-out of a version moved on", "service", service, "target", s.Target, "stage", next, "reason", reason,
		"age", time.Since(w.began), "fault", r.GetFault().GetMessage(), "err", err)
}

// String shows what was seen of each route.
func (w *watched) String() string {
	var b strings.Builder
	sums := w.sums()
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		p := sums[route]
		fmt.Fprintf(&b, "%s: base %d (%d failed, %d slow), target %d (%d failed, %d slow); ", route,
			p.base.Answers, p.base.Failures, p.base.Slow, p.next.Answers, p.next.Failures, p.next.Slow)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// next decides the stage. The version is withdrawn as soon as any route finds
// it worse. A roll-out without any answers of the version is not completed:
// nothing is known of it.
func (w *watched) next(s conf.Shift, now time.Time) (conf.Stage, string) {
	age := now.Sub(w.began)
	sums := w.sums()
	var all pair
	for _, p := range sums {
		all.base, all.next = all.base.Add(p.base), all.next.Add(p.next)
	}
	answers := all.next.Answers
	sums["all routes"] = all
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		if verdict, reason := policy.JudgeShift(sums[route].base, sums[route].next); verdict == policy.Halt {
			return conf.Withdrew, route + " " + string(reason)
		}
	}
	switch {
	case s.Stage == conf.Moving && age >= s.Length()-completeBefore:
		return conf.Complete, "no worse up to the deadline"
	case s.Stage == conf.Canary && answers > 0 && age >= max(s.Length()-moveBefore, time.Duration(leastMove*float64(s.Length()))):
		return conf.Moving, "no worse as canary"
	case age >= 2*s.Length():
		return conf.Withdrew, "no answers of the version until long after the deadline"
	}
	return s.Stage, ""
}

// observe takes the tallies of all gates. A tally counts from the first look:
// it may hold answers from before the roll-out.
func (n *Node) observe(e *epoch, service ident.Service, target ident.Version, w *watched) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w.latest = map[uint64]map[string]pair{}
	for id, tallies := range e.tallies {
		now := map[string]pair{}
		for _, t := range tallies {
			name, route, _ := strings.Cut(t.GetModel(), " ")
			if name != string(service) {
				continue
			}
			s := policy.Stats{Answers: t.GetAnswers(), Failures: t.GetFailures(), Slow: t.GetSlow()}
			p := now[route]
			if t.GetVersion() == string(target) {
				p.next = p.next.Add(s)
			} else {
				p.base = p.base.Add(s)
			}
			now[route] = p
		}
		w.latest[id] = now
		if w.starts[id] == nil {
			// Answers of the target can only be from this roll-out.
			start := map[string]pair{}
			for route, p := range now {
				start[route] = pair{base: p.base}
			}
			w.starts[id] = start
		}
	}
}

// sums returns what came since the roll-out began, by route.
func (w *watched) sums() map[string]pair {
	total := map[string]pair{}
	for id, routes := range w.latest {
		for route, p := range routes {
			t, start := total[route], w.starts[id][route]
			t.base = t.base.Add(p.base.Sub(start.base))
			t.next = t.next.Add(p.next.Sub(start.next))
			total[route] = t
		}
	}
	return total
}
