package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"citronledge.example/core/chart"
	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// RolloutPlan describes a rollout to start.
type RolloutPlan struct {
	Model    ident.Model
	From, To ident.Version
	// Steps are growing shares of new sessions, each above 0 and at most 1.
	Steps []ident.Share
	// Auto lets the leader of the state cluster take the next steps by itself.
	Auto bool
}

// StartRollout starts the rollout of a version of a model.
func (a *Admin) StartRollout(ctx context.Context, p RolloutPlan, wait InForceTimeout) error {
	view, number, err := a.currentConfig(ctx)
	if err != nil {
		return err
	}
	if err := checkPlan(view, p); err != nil {
		return err
	}
	r := conf.Rollout{From: p.From, To: p.To, Steps: p.Steps, Phase: conf.RolloutRunning, AutoAdvance: p.Auto}
	return a.proposeRollout(ctx, number, p.Model, r, "start", wait)
}

func checkPlan(view *conf.View, p RolloutPlan) error {
	m, ok := view.Models[p.Model]
	if !ok {
		return usageError(fmt.Sprintf("model %q does not exist; apply a folder that has it first", p.Model))
	}
	for _, v := range []ident.Version{p.From, p.To} {
		if !slices.Contains(m.Versions, v) {
			return usageError(fmt.Sprintf("model %s has no version %q; add it to its versions and apply the folder first", p.Model, v))
		}
		if _, withdrawn := view.Withdrawn[ident.Target{Model: p.Model, Version: v}]; withdrawn {
			return usageError(fmt.Sprintf("%s/%s is withdrawn; restore it first", p.Model, v))
		}
	}
	if p.From == p.To {
		return usageError("the roll-out leads to the version it comes from; name two versions")
	}
	if len(p.Steps) == 0 {
		return usageError("a roll-out needs steps, for example --steps 0.05,0.25,1")
	}
	previous := ident.Share(0)
	for _, s := range p.Steps {
		if s <= previous || s > 1 {
			return usageError("steps must grow and be above 0 and at most 1, for example --steps 0.05,0.25,1")
		}
		previous = s
	}
	if r, ok := view.Rollouts[p.Model]; ok {
		if _, allowed := conf.RolloutChart().Next(chart.State(r.Phase), "start"); !allowed {
			return usageError(fmt.Sprintf("a roll-out of %s is %s; finish or revert it first", p.Model, r.Phase))
		}
	}
	return nil
}

// ApplyRolloutEvent applies an event to the rollout of a model: step, halt,
// resume, finish or revert.
func (a *Admin) ApplyRolloutEvent(ctx context.Context, m ident.Model, event chart.Event, reason string, wait InForceTimeout) error {
	view, number, err := a.currentConfig(ctx)
	if err != nil {
		return err
	}
	r, ok := view.Rollouts[m]
	if !ok {
		return usageError(fmt.Sprintf("model %s has no roll-out; begin one with ctl rollout start", m))
	}
	next, ok := conf.RolloutChart().Next(chart.State(r.Phase), event)
	if !ok || event == "start" {
		return usageError(fmt.Sprintf("the roll-out of %s is %s; %s is not possible now", m, r.Phase, event))
	}
	if event == "step" {
		if r.StepIndex+1 >= len(r.Steps) {
			return usageError(fmt.Sprintf("the roll-out of %s is at its last step; use ctl rollout finish", m))
		}
		r.StepIndex++
	}
	r.Phase, r.Reason = conf.Phase(next), reason
	return a.proposeRollout(ctx, number, m, r, string(event), wait)
}

func (a *Admin) proposeRollout(ctx context.Context, number uint64, m ident.Model, r conf.Rollout, event string, wait InForceTimeout) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	entry := &wire.Entry{Key: conf.RolloutsPrefix + string(m), Value: value}
	return a.proposeEntries(ctx, number+1, []*wire.Entry{entry}, fmt.Sprintf("roll-out %s of %s", event, m), wait)
}

// Withdraw takes a version out of service for new chats and reports. The same
// change reverts a running rollout to that version.
func (a *Admin) Withdraw(ctx context.Context, t ident.Target, reason string, wait InForceTimeout) error {
	view, number, err := a.currentConfig(ctx)
	if err != nil {
		return err
	}
	if m, ok := view.Models[t.Model]; !ok || !slices.Contains(m.Versions, t.Version) {
		return usageError(fmt.Sprintf("%s does not exist; see ctl status --versions", t))
	}
	value, err := json.Marshal(conf.Withdrawal{Reason: reason})
	if err != nil {
		return err
	}
	entries := []*wire.Entry{{Key: conf.WithdrawnPrefix + t.String(), Value: value}}
	if r, ok := view.Rollouts[t.Model]; ok && r.To == t.Version && r.Phase == conf.RolloutRunning {
		r.Phase, r.Reason = conf.RolloutReverted, "version withdrawn"
		value, err := json.Marshal(r)
		if err != nil {
			return err
		}
		entries = append([]*wire.Entry{{Key: conf.RolloutsPrefix + string(t.Model), Value: value}}, entries...)
	}
	return a.proposeEntries(ctx, number+1, entries, "withdraw "+t.String(), wait)
}

// Restore puts a withdrawn version back into service.
func (a *Admin) Restore(ctx context.Context, t ident.Target, wait InForceTimeout) error {
	view, number, err := a.currentConfig(ctx)
	if err != nil {
		return err
	}
	if _, ok := view.Withdrawn[t]; !ok {
		return usageError(fmt.Sprintf("%s is not withdrawn", t))
	}
	entry := &wire.Entry{Key: conf.WithdrawnPrefix + t.String(), Gone: true}
	return a.proposeEntries(ctx, number+1, []*wire.Entry{entry}, "restore "+t.String(), wait)
}
