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
	// stepDwell is the least time in one step; the false halts and the exposure
	// were measured with it.
	stepDwell = time.Minute
	// reasonEvery bounds the changes that only tell why a roll-out waits.
	reasonEvery = time.Minute
)

// trial is the test of one step of a roll-out by one leader. It counts what
// came since it began. Its number is committed with the roll-out before the
// test is used, so each trial has its own part of the error, also after a
// change of the leader.
type trial struct {
	from, to ident.Version
	step     int
	number   int
	began    time.Time
	told     time.Time // last change of the reason
	starts   map[uint64]pair
}

// pair holds the sums of both versions of a roll-out.
type pair struct{ base, next policy.Stats }

func newTrial(r conf.Rollout) *trial {
	now := time.Now()
	return &trial{from: r.From, to: r.To, step: r.StepIndex, number: r.TestCount, began: now, told: now, starts: map[uint64]pair{}}
}

// tests tells whether the trial is the one that was committed last.
func (t *trial) tests(r conf.Rollout) bool {
	return t != nil && t.from == r.From && t.to == r.To && t.step == r.StepIndex && t.number == r.TestCount
}

// judgeRollouts halts or advances the running roll-outs.
func (n *Node) judgeRollouts(ctx context.Context, e *epoch) {
	n.mu.Lock()
	ready := e.ready // until then the sums of some gates are missing
	n.mu.Unlock()
	if !ready {
		return
	}
	// The number is read first: a change by an operator after it makes the
	// proposal fail instead of being overwritten.
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
		next, t := n.judgeOne(e, model, r)
		if reflect.DeepEqual(next, r) {
			continue
		}
		number++
		if n.changeRollout(ctx, number, model, next) {
			e.trials[model] = t
		}
	}
	if !running {
		n.forgetTallies(e)
	}
}

// forgetTallies drops the sums of retired incarnations, which only a running
// roll-out needs.
func (n *Node) forgetTallies(e *epoch) {
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

// judgeOne returns the roll-out after the verdict, and its trial if the change
// is committed.
func (n *Node) judgeOne(e *epoch, model ident.Model, r conf.Rollout) (conf.Rollout, *trial) {
	t := e.trials[model]
	if !t.tests(r) {
		return n.begin(e, model, r)
	}
	sum := n.sum(e, model, t)
	verdict, reason := n.judge(t.number-1, sum.base, sum.next)
	now := time.Now()
	switch {
	case verdict == policy.Halt:
		r.Phase, r.Reason = conf.RolloutHalted, string(reason)
		return r, nil
	case !r.AutoAdvance:
	case now.Sub(t.began) < stepDwell:
	case verdict == policy.Advance:
		r.Reason = string(reason)
		if r.StepIndex+1 == len(r.Steps) {
			r.Phase = conf.RolloutFinished
			return r, nil
		}
		r.StepIndex++
		return n.begin(e, model, r)
	case now.Sub(t.told) >= reasonEvery:
		if text := waiting + string(reason); text != r.Reason {
			r.Reason = text
			next := *t
			next.told = now
			return r, &next
		}
	}
	return r, t
}

// waiting precedes the measure that keeps an automatic roll-out from its next
// step.
const waiting = "waits: "

// begin starts a trial with the sums of this moment.
func (n *Node) begin(e *epoch, model ident.Model, r conf.Rollout) (conf.Rollout, *trial) {
	r.TestCount++
	t := newTrial(r)
	n.sum(e, model, t)
	return r, t
}

// sum adds what all incarnations, also retired ones, have seen since the trial
// began. The tally of an incarnation counts from the first one in which either
// version occurs: it may hold answers from before the roll-out, which a gate
// does not report until it knows the roll-out.
func (n *Node) sum(e *epoch, model ident.Model, t *trial) pair {
	n.mu.Lock()
	defer n.mu.Unlock()
	var total pair
	// The order is fixed so that equal tallies give equal floating-point sums.
	for _, id := range slices.Sorted(maps.Keys(e.tallies)) {
		now, known := tallied(e.tallies[id], model, t)
		if !known {
			continue
		}
		start, ok := t.starts[id]
		if !ok {
			start = now
			t.starts[id] = now
		}
		total.base = total.base.Add(now.base.Sub(start.base))
		total.next = total.next.Add(now.next.Sub(start.next))
	}
	return total
}

// tallied picks the sums of a trial from the tallies of one incarnation; false
// if neither version occurs.
func tallied(list []*wire.Tally, model ident.Model, t *trial) (sums pair, known bool) {
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

// changeRollout proposes the roll-out and tells whether it is committed. If an
// operator's change takes the number first, the next round judges again.
func (n *Node) changeRollout(ctx context.Context, number uint64, model ident.Model, r conf.Rollout) bool {
	value, err := json.Marshal(r)
	if err != nil {
		return false
	}
	entries := []*wire.Entry{{Key: conf.RolloutsPrefix + string(model), Value: value}}
	c := &wire.Command{Actor: n.link.Name, Kind: &wire.Command_Change{Change: &wire.Change{
		Number: number, Digest: ledger.ChangeDigest(entries), Entries: entries, Note: note(r),
	}}}
	res, err := n.propose(ctx, c)
	klog.InfoS("Roll-out judged", "model", model, "phase", r.Phase, "step", r.StepIndex, "reason", r.Reason,
		"fault", res.GetFault().GetMessage(), "err", err)
	return err == nil && res.GetFault() == nil
}

func note(r conf.Rollout) string {
	if r.Reason == "" {
		return "trial begins"
	}
	return "verdict: " + r.Reason
}
