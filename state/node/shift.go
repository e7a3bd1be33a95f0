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
	// serviceRolloutInterval is the interval at which running rollouts are
	// judged. A bad version is judged within this interval and one renewal of
	// the gates.
	serviceRolloutInterval = 200 * time.Millisecond
	// serviceRolloutLogInterval is the interval of the log lines of a running
	// rollout.
	serviceRolloutLogInterval = 2 * time.Second
	// moveFraction is the part of a rollout's length, before its completion, in
	// which a good version gets all new sessions. A larger part increases the
	// exposure to a version that turns bad late.
	moveFraction = 0.04
	// completionMargin is the time between the completion and the deadline. It
	// leaves time for an election and for the operator's query.
	completionMargin = 1500 * time.Millisecond
	// catchUpTime is how long after its start a process may still be applying
	// rollouts that were ordered before it.
	catchUpTime = 4 * time.Second
)

// runningRollout is what a process records of one running rollout of a
// service's version.
type runningRollout struct {
	number   int
	began    time.Time // by the clock of this process
	loggedAt time.Time // time of the last log line
}

// watchServiceRollouts judges the running rollouts of services' versions. A
// process that does not lead records when they began, so that it can judge them
// by its own clock once it leads.
func (n *Node) watchServiceRollouts(ctx context.Context) error {
	tick := time.NewTicker(serviceRolloutInterval)
	defer tick.Stop()
	running, start := map[ident.Service]*runningRollout{}, time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		rollouts := n.ledger.ServiceRollouts()
		for service, s := range rollouts {
			n.trackServiceRollout(service, s, running, time.Since(start) < catchUpTime)
		}
		if len(running) == 0 || !n.consensus.HoldsLease() {
			continue
		}
		e, err := n.currentEpoch(ctx)
		if err != nil {
			continue
		}
		for _, service := range slices.Sorted(maps.Keys(running)) {
			n.judgeServiceRollout(ctx, e, service, rollouts[service], running[service])
		}
	}
}

// trackServiceRollout updates the list of running rollouts. A process that has
// just started learns of them from its log, some time after they were ordered.
func (n *Node) trackServiceRollout(service ident.Service, s conf.ServiceRollout, running map[ident.Service]*runningRollout, justStarted bool) {
	rr := running[service]
	switch {
	case s.HasEnded():
		delete(running, service)
	case rr == nil || rr.number != s.Number:
		rr = &runningRollout{number: s.Number, began: time.Now()}
		if justStarted {
			// Only the ledger's time of the order is known. It is from the
			// clock of another process, which may differ.
			age := time.Duration(time.Now().UnixMilli()-int64(s.OrderedAtMillis)) * time.Millisecond
			rr.began = rr.began.Add(-max(0, min(age, s.Duration()-2*completionMargin)))
		}
		running[service] = rr
	}
}

// judgeServiceRollout judges one running rollout and proposes its next stage.
func (n *Node) judgeServiceRollout(ctx context.Context, e *epoch, service ident.Service, s conf.ServiceRollout, rr *runningRollout) {
	sums := n.sumTallies(e, service, s)
	next, reason := rr.nextStage(s, sums, time.Now())
	if time.Since(rr.loggedAt) >= serviceRolloutLogInterval {
		rr.loggedAt = time.Now()
		klog.InfoS("Service rollout in progress", "service", service, "target", s.Target, "stage", s.Stage, "age", time.Since(rr.began), "sums", formatSums(sums))
	}
	if next == s.Stage {
		return
	}
	r, err := n.propose(ctx, &wire.Command{Actor: n.link.Name, Kind: &wire.Command_Shift{Shift: &wire.Shift{
		Service: string(service), Target: string(s.Target), Phase: string(next), Reason: reason,
	}}})
	klog.InfoS("Service rollout changes stage", "service", service, "target", s.Target, "stage", next, "reason", reason,
		"age", time.Since(rr.began), "fault", r.GetFault().GetMessage(), "err", err)
}

// formatSums formats the answers counted on each route for a log line.
func formatSums(sums map[string]versionStats) string {
	var b strings.Builder
	for _, route := range slices.Sorted(maps.Keys(sums)) {
		p := sums[route]
		fmt.Fprintf(&b, "%s: base %d (%d failed, %d slow), target %d (%d failed, %d slow); ", route,
			p.base.Answers, p.base.Failures, p.base.SlowAnswers, p.next.Answers, p.next.Failures, p.next.SlowAnswers)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// nextStage decides the stage of a rollout and gives the reason of a change.
// The version is withdrawn as soon as it is judged worse on any route or on all
// together. A rollout without any answers of the version is not completed,
// since nothing is known about it.
func (rr *runningRollout) nextStage(s conf.ServiceRollout, sums map[string]versionStats, now time.Time) (conf.ServiceRolloutStage, string) {
	age := now.Sub(rr.began)
	var all versionStats
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
	case s.Stage == conf.StageMoving && age >= s.Duration()-completionMargin:
		return conf.StageComplete, "no worse up to the deadline"
	case s.Stage == conf.StageCanary && answers > 0 && age >= moveAge(s):
		return conf.StageMoving, "no worse as canary"
	}
	if age >= 2*s.Duration() {
		return conf.StageWithdrawn, "nothing was certain of the version until long after the deadline " + suspect
	}
	return s.Stage, ""
}

// moveAge returns the age at which all new sessions move to a good version.
func moveAge(s conf.ServiceRollout) time.Duration {
	return s.Duration() - completionMargin - time.Duration(moveFraction*float64(s.Duration()))
}

// sumTallies returns the sums that all gates counted since the order, by route.
func (n *Node) sumTallies(e *epoch, service ident.Service, s conf.ServiceRollout) map[string]versionStats {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := map[string]versionStats{}
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
