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
	// movePart of the roll-out, before its completion, a good version gets all
	// new sessions. The exposure to a version that turns bad late grows by it.
	movePart = 0.04
	// completeBefore leaves time before the deadline for an election, and for
	// the operator to ask.
	completeBefore = 1500 * time.Millisecond
	// freshTime is how long after its start a process may still catch up with
	// orders from before.
	freshTime = 4 * time.Second
)

// watched is what a leader knows of one running roll-out.
type watched struct {
	number int
	began  time.Time // by the clock of this process
	told   time.Time // last line in the log
}

// watchShifts judges the running roll-outs of services' versions. A process that
// does not lead notes when they began, so that it can judge by its own clock
// when it leads.
func (n *Node) watchShifts(ctx context.Context) error {
	tick := time.NewTicker(shiftEvery)
	defer tick.Stop()
	list, start := map[ident.Service]*watched{}, time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		shifts := n.ledger.ServiceRollouts()
		for service, s := range shifts {
			n.note(service, s, list, time.Since(start) < freshTime)
		}
		if len(list) == 0 || !n.cons.HoldsLease() {
			continue
		}
		e, err := n.leading(ctx)
		if err != nil {
			continue
		}
		for _, service := range slices.Sorted(maps.Keys(list)) {
			n.watchShift(ctx, e, service, shifts[service], list[service])
		}
	}
}

// note keeps the list of running roll-outs. A fresh process learns of them from
// its log, some time after they were ordered.
func (n *Node) note(service ident.Service, s conf.ServiceRollout, list map[ident.Service]*watched, fresh bool) {
	w := list[service]
	switch {
	case s.HasEnded():
		delete(list, service)
	case w == nil || w.number != s.Number:
		w = &watched{number: s.Number, began: time.Now()}
		if fresh {
			// The ledger's time of the order is all there is. It is from the
			// clock of another process, which may differ.
			past := time.Duration(time.Now().UnixMilli()-int64(s.OrderedAtMillis)) * time.Millisecond
			w.began = w.began.Add(-max(0, min(past, s.Duration()-2*completeBefore)))
		}
		list[service] = w
	}
}

func (n *Node) watchShift(ctx context.Context, e *epoch, service ident.Service, s conf.ServiceRollout, w *watched) {
	sums := n.observe(e, service, s)
	next, reason := w.next(s, sums, time.Now())
	if time.Since(w.told) >= tellEvery {
		w.told = time.Now()
		klog.InfoS("Roll-out of a version watched", "service", service, "target", s.Target, "stage", s.Stage, "age", time.Since(w.began), "sums", describe(sums))
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

// describe shows what was seen of each route.
func describe(sums map[string]pair) string {
	var b strings.Builder
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		p := sums[route]
		fmt.Fprintf(&b, "%s: base %d (%d failed, %d slow), target %d (%d failed, %d slow); ", route,
			p.base.Answers, p.base.Failures, p.base.SlowAnswers, p.next.Answers, p.next.Failures, p.next.SlowAnswers)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// next decides the stage. The version is withdrawn as soon as any route finds
// it worse. A roll-out without any answers of the version is not completed:
// nothing is known of it.
func (w *watched) next(s conf.ServiceRollout, sums map[string]pair, now time.Time) (conf.ServiceRolloutStage, string) {
	age := now.Sub(w.began)
	var all pair
	for _, p := range sums {
		all.base, all.next = all.base.Add(p.base), all.next.Add(p.next)
	}
	answers := all.next.Answers
	sums = maps.Clone(sums)
	sums["all routes"] = all
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		if verdict, reason := policy.JudgeServiceRollout(sums[route].base, sums[route].next); verdict == policy.Halt {
			return conf.StageWithdrawn, route + " " + string(reason)
		}
	}
	suspect := ""
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		if policy.IsSuspect(sums[route].base, sums[route].next) {
			suspect = route
		}
	}
	switch {
	case suspect != "":
	case s.Stage == conf.StageMoving && age >= s.Duration()-completeBefore:
		return conf.StageComplete, "no worse up to the deadline"
	case s.Stage == conf.StageCanary && answers > 0 && age >= moveAt(s):
		return conf.StageMoving, "no worse as canary"
	}
	if age >= 2*s.Duration() {
		return conf.StageWithdrawn, "nothing was certain of the version until long after the deadline " + suspect
	}
	return s.Stage, ""
}

// moveAt returns the age at which all new sessions move to a good version.
func moveAt(s conf.ServiceRollout) time.Duration {
	return s.Duration() - completeBefore - time.Duration(movePart*float64(s.Duration()))
}

// observe takes the sums of all gates since the order, by route.
func (n *Node) observe(e *epoch, service ident.Service, s conf.ServiceRollout) map[string]pair {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := map[string]pair{}
	for _, tallies := range e.tallies {
		for _, t := range tallies {
			name, route, _ := strings.Cut(t.GetModel(), " ")
			if name != string(service) || int(t.GetOrder()) != s.Number {
				continue
			}
			sums := policy.Stats{Answers: t.GetAnswers(), Failures: t.GetFailures(), SlowAnswers: t.GetSlow()}
			p := total[route]
			if t.GetVersion() == string(s.Target) {
				p.next = p.next.Add(sums)
			} else {
				p.base = p.base.Add(sums)
			}
			total[route] = p
		}
	}
	return total
}
