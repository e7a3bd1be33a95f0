package node

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/ledger"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

// trial is what the leader remembers of a running roll-out. The whole sum
// decides about a halt; only what came since the step began decides about the
// next one, because the whole sum would allow all steps at once.
type trial struct {
	from, to   ident.Version
	step       int
	base, next policy.Stats // sums when the step began
	// Sums when the roll-out began or was resumed; 0 for a roll-out that was
	// already running at the election.
	baseStart, nextStart policy.Stats
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
	number := n.ledger.Number()
	rollouts := n.rollouts()
	running := false
	for _, model := range slices.Sorted(maps.Keys(rollouts)) {
		r := rollouts[model]
		if r.Phase != conf.Running {
			delete(e.trials, model)
			continue
		}
		running = true
		if next, ok := n.judgeOne(e, model, r); ok {
			number++
			n.changeRollout(ctx, number, model, next)
		}
	}
	e.judged = true
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
		if !n.ledger.Alive(id) {
			delete(e.tallies, id)
		}
	}
}

func (n *Node) rollouts() map[ident.Model]conf.Rollout {
	list := map[ident.Model]conf.Rollout{}
	for _, x := range n.ledger.Delta(0).GetEntries() {
		if name, ok := strings.CutPrefix(x.GetKey(), conf.Rollouts); ok {
			var r conf.Rollout
			if err := json.Unmarshal(x.GetValue(), &r); err == nil {
				list[ident.Model(name)] = r
			}
		}
	}
	return list
}

// judgeOne returns the roll-out after the verdict, or false for no change.
func (n *Node) judgeOne(e *epoch, model ident.Model, r conf.Rollout) (conf.Rollout, bool) {
	base, next := n.sum(e, model, r.From), n.sum(e, model, r.To)
	t := e.trials[model]
	if t == nil || t.from != r.From || t.to != r.To {
		t = &trial{from: r.From, to: r.To, step: r.Step, base: base, next: next}
		if e.judged { // it began under this leader
			t.baseStart, t.nextStart = base, next
		}
		e.trials[model] = t
	}
	if t.step != r.Step {
		t.step, t.base, t.next = r.Step, base, next
	}
	if verdict, reason := n.judge(minus(base, t.baseStart), minus(next, t.nextStart)); verdict == policy.Halt {
		r.Phase, r.Reason = conf.Halted, string(reason)
		return r, true
	}
	if !r.Auto {
		return r, false
	}
	verdict, reason := n.judge(minus(base, t.base), minus(next, t.next))
	if verdict != policy.Advance {
		return r, false
	}
	r.Reason = string(reason)
	if r.Step+1 < len(r.Steps) {
		r.Step++
	} else {
		r.Phase = conf.Finished
	}
	return r, true
}

// sum adds the latest tallies of all incarnations, also of retired ones.
func (n *Node) sum(e *epoch, model ident.Model, version ident.Version) policy.Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	var s policy.Stats
	// The order is fixed so that equal tallies give equal floating-point sums.
	for _, id := range slices.Sorted(maps.Keys(e.tallies)) {
		for _, t := range e.tallies[id] {
			if t.GetModel() == string(model) && t.GetVersion() == string(version) {
				s = s.Add(policy.Stats{
					Answers: t.GetAnswers(), Failures: t.GetFailures(), Slow: t.GetSlow(),
					Rated: t.GetRated(), Quality: t.GetQuality(), Squares: t.GetSquares(),
				})
			}
		}
	}
	return s
}

func minus(a, b policy.Stats) policy.Stats {
	return a.Add(policy.Stats{
		Answers: -b.Answers, Failures: -b.Failures, Slow: -b.Slow, Rated: -b.Rated, Quality: -b.Quality, Squares: -b.Squares,
	})
}

// changeRollout proposes the roll-out. If an operator's change takes the
// number first, the next round judges again.
func (n *Node) changeRollout(ctx context.Context, number uint64, model ident.Model, r conf.Rollout) {
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	entries := []*wire.Entry{{Key: conf.Rollouts + string(model), Value: value}}
	c := &wire.Command{Actor: n.link.Name, Kind: &wire.Command_Change{Change: &wire.Change{
		Number: number, Digest: ledger.Digest(entries), Entries: entries, Note: "verdict: " + r.Reason,
	}}}
	res, err := n.propose(ctx, c)
	klog.InfoS("Roll-out judged", "model", model, "phase", r.Phase, "step", r.Step, "reason", r.Reason,
		"fault", res.GetFault().GetMessage(), "err", err)
}
