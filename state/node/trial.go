package node

import (
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/ledger"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

const (
	// minStepTime is the minimum time in one step; the rate of false halts and
	// the exposure to a bad version depend on it.
	minStepTime = time.Minute
	// reasonInterval is the minimum time between changes that only update the
	// reason why a rollout waits.
	reasonInterval = time.Minute
)

// trial is the test of one step of a rollout by one leader. It counts only the
// answers since it began. Its number is committed with the rollout before the
// test is used, so each trial has its own share of the allowed error
// probability, also after a change of the leader.
type trial struct {
	from, to      ident.Version
	step          int
	number        int
	began         time.Time
	reasonChanged time.Time               // last change of the reason
	baselines     map[uint64]versionStats // sums at the start of the trial, by incarnation
}

// versionStats holds the statistics of both versions of a rollout.
type versionStats struct{ base, next policy.Stats }

func newTrial(r conf.Rollout) *trial {
	now := time.Now()
	return &trial{from: r.From, to: r.To, step: r.StepIndex, number: r.TestCount, began: now, reasonChanged: now, baselines: map[uint64]versionStats{}}
}

// isCurrent reports whether the trial is the one that was committed last for
// the rollout; t may be nil.
func (t *trial) isCurrent(r conf.Rollout) bool {
	return t != nil && t.from == r.From && t.to == r.To && t.step == r.StepIndex && t.number == r.TestCount
}

// judgeRollouts halts or advances the running rollouts of models.
func (n *Node) judgeRollouts(ctx context.Context, e *epoch) {
	n.mu.Lock()
	ready := e.predecessorExpired // until then the sums of some gates are missing
	n.mu.Unlock()
	if !ready {
		return
	}
	// The number must be read first: a later change by an operator then makes
	// the proposal fail instead of being overwritten.
	number := n.ledger.LastChangeNumber()
	rollouts := n.rollouts()
	running := false
	for _, model := range slices.Sorted(maps.Keys(rollouts)) {
		r := rollouts[model]
		if r.Phase != conf.RolloutRunning {
			delete(e.trials, model)
			continue
		}
		running = true
		next, t := n.judgeRollout(e, model, r)
		if reflect.DeepEqual(next, r) {
			continue
		}
		number++
		if n.proposeRollout(ctx, number, model, next) {
			e.trials[model] = t
		}
	}
	if !running {
		n.dropRetiredTallies(e)
	}
}

// dropRetiredTallies drops the tallies of retired incarnations, which only a
// running rollout needs.
func (n *Node) dropRetiredTallies(e *epoch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range e.tallies {
		if !n.ledger.IsActiveIncarnation(id) {
			delete(e.tallies, id)
		}
	}
}

func (n *Node) rollouts() map[ident.Model]conf.Rollout {
	list := map[ident.Model]conf.Rollout{}
	for _, x := range n.ledger.Delta(0).GetEntries() {
		if name, ok := strings.CutPrefix(x.GetKey(), conf.RolloutsPrefix); ok {
			var r conf.Rollout
			if err := json.Unmarshal(x.GetValue(), &r); err == nil {
				list[ident.Model(name)] = r
			}
		}
	}
	return list
}

// judgeRollout returns the rollout after the verdict, and the trial to use if
// the change is committed.
func (n *Node) judgeRollout(e *epoch, model ident.Model, r conf.Rollout) (conf.Rollout, *trial) {
	t := e.trials[model]
	if !t.isCurrent(r) {
		return n.beginTrial(e, model, r)
	}
	sum := n.trialStats(e, model, t)
	verdict, reason := n.judge(t.number-1, sum.base, sum.next)
	now := time.Now()
	switch {
	case verdict == policy.Halt:
		r.Phase, r.Reason = conf.RolloutHalted, string(reason)
		return r, nil
	case !r.AutoAdvance:
	case now.Sub(t.began) < minStepTime:
	case verdict == policy.Advance:
		r.Reason = string(reason)
		if r.StepIndex+1 == len(r.Steps) {
			r.Phase = conf.RolloutFinished
			return r, nil
		}
		r.StepIndex++
		return n.beginTrial(e, model, r)
	case now.Sub(t.reasonChanged) >= reasonInterval:
		if text := waitReasonPrefix + string(reason); text != r.Reason {
			r.Reason = text
			next := *t
			next.reasonChanged = now
			return r, &next
		}
	}
	return r, t
}

// waitReasonPrefix precedes the measure that keeps an automatic rollout from
// its next step.
const waitReasonPrefix = "waits: "

// beginTrial starts a trial at the current sums.
func (n *Node) beginTrial(e *epoch, model ident.Model, r conf.Rollout) (conf.Rollout, *trial) {
	r.TestCount++
	t := newTrial(r)
	n.trialStats(e, model, t)
	return r, t
}

// trialStats returns the sums of all incarnations, also retired ones, since the
// trial began. The sums of an incarnation count from its first tally in which
// either version occurs: they may include answers from before the rollout,
// which a gate does not report until it knows the rollout.
func (n *Node) trialStats(e *epoch, model ident.Model, t *trial) versionStats {
	n.mu.Lock()
	defer n.mu.Unlock()
	var total versionStats
	// The order is fixed so that equal tallies give equal floating-point sums.
	for _, id := range slices.Sorted(maps.Keys(e.tallies)) {
		current, known := tallyStats(e.tallies[id], model, t)
		if !known {
			continue
		}
		start, ok := t.baselines[id]
		if !ok {
			start = current
			t.baselines[id] = current
		}
		total.base = total.base.Add(current.base.Sub(start.base))
		total.next = total.next.Add(current.next.Sub(start.next))
	}
	return total
}

// tallyStats returns the sums of a trial's versions in the tallies of one
// incarnation; known is false if neither version occurs.
func tallyStats(list []*wire.Tally, model ident.Model, t *trial) (sums versionStats, known bool) {
	for _, x := range list {
		if x.GetModel() != string(model) {
			continue
		}
		s := policy.Stats{
			Answers: x.GetAnswers(), Failures: x.GetFailures(), SlowAnswers: x.GetSlow(),
			RatingCount: x.GetRated(), RatingSum: x.GetQuality(), RatingSquareSum: x.GetSquares(),
		}
		switch ident.Version(x.GetVersion()) {
		case t.from:
			sums.base, known = s, true
		case t.to:
			sums.next, known = s, true
		}
	}
	return sums, known
}

// proposeRollout proposes the changed rollout and reports whether it was
// committed. If an operator's change takes the number first, the next round
// judges again.
func (n *Node) proposeRollout(ctx context.Context, number uint64, model ident.Model, r conf.Rollout) bool {
	value, err := json.Marshal(r)
	if err != nil {
		return false
	}
	entries := []*wire.Entry{{Key: conf.RolloutsPrefix + string(model), Value: value}}
	c := &wire.Command{Actor: n.link.Name, Kind: &wire.Command_Change{Change: &wire.Change{
		Number: number, Digest: ledger.ChangeDigest(entries), Entries: entries, Note: auditNote(r),
	}}}
	res, err := n.propose(ctx, c)
	klog.InfoS("Rollout judged", "model", model, "phase", r.Phase, "step", r.StepIndex, "reason", r.Reason,
		"fault", res.GetFault().GetMessage(), "err", err)
	return err == nil && res.GetFault() == nil
}

func auditNote(r conf.Rollout) string {
	if r.Reason == "" {
		return "trial begins"
	}
	return "verdict: " + r.Reason
}
