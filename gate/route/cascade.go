package route

import (
	"context"
	"net/http"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
)

// cascade answers with the customer's cascade: a cheap answer is held back
// until it is known to be good enough, else a stronger model runs.
func (x *run) cascade(ctx context.Context) error {
	view := x.r.state.View()
	name := view.Customers[x.req.Customer].Cascade
	c, ok := view.Cascades[name]
	if !ok {
		return fault.New(fault.Missing, "this customer has no cascade for the model auto; name a model, GET /v1/models lists them")
	}
	models := x.open(view, c)
	if len(models) == 0 {
		return fault.New(fault.Forbidden, "no model of cascade "+string(name)+" is open to this customer now; ask the operators")
	}
	plan, steps := x.plan(view, models, c.TargetQuality)
	plan = policy.Explore(seed("explore "+string(x.req.ID)), plan, steps, c.TargetQuality)
	var held *answer // the best answer so far, which is below the target
	for {
		x.rec.note("cascade: " + string(plan.Reason))
		model := models[plan.Start]
		models = models[plan.Start+1:]
		if !plan.Check || len(models) == 0 {
			return x.fallBack(ctx, held, x.last(ctx, model))
		}
		a, err := x.whole(ctx, model)
		switch {
		case err == nil && (a.head.GetStatus() != http.StatusOK || x.keep(ctx, a, c.TargetQuality)):
			return x.deliver(ctx, a)
		case err == nil:
			held = a
		case ctx.Err() != nil || x.leased() != nil:
			return err
		default:
			x.rec.note("cascade: cheap step failed")
		}
		plan, _ = x.plan(x.r.state.View(), models, c.TargetQuality)
	}
}

// fallBack delivers a held answer below the target when the stronger model
// failed: a weak answer is better than none after the wait.
func (x *run) fallBack(ctx context.Context, held *answer, err error) error {
	if err == nil || held == nil || x.headed || ctx.Err() != nil {
		return err
	}
	x.rec.note("cascade: stronger step failed, cheap answer delivered")
	return x.deliver(ctx, held)
}

// open returns the models of a cascade that the customer may use now.
func (x *run) open(view *conf.View, c conf.Cascade) []ident.Model {
	var models []ident.Model
	for _, m := range c.Steps {
		if len(view.AllowedVersions(x.req.Customer, m)) > 0 {
			models = append(models, m)
		}
	}
	return models
}

func (x *run) plan(view *conf.View, models []ident.Model, target ident.Quality) (policy.CascadePlan, []policy.Step) {
	now := time.Now()
	steps := make([]policy.Step, len(models))
	for i, name := range models {
		m := view.Models[name]
		versions := view.AllowedVersions(x.req.Customer, name)
		t := ident.Target{Model: name}
		if len(versions) > 0 {
			t.Version = versions[len(versions)-1]
		}
		steps[i] = x.r.tools.step(now, workload{kind: x.req.Kind, model: name}, t, float64(m.OutputPrice), float64(m.PriorQuality), x.r.rater != nil)
	}
	plan := policy.Plan(steps, target)
	if plan.Start < 0 {
		plan.Start = len(models) - 1
	}
	return plan, steps
}

// keep tells whether a held answer is good enough.
func (x *run) keep(ctx context.Context, a *answer, target ident.Quality) bool {
	l := workload{kind: x.req.Kind, model: a.target.Model}
	var score policy.Score
	if x.r.rater != nil {
		score = x.r.rateNow(ctx, x, a)
		x.r.tools.checked(l, score.Known)
	}
	prior := x.r.state.View().Models[a.target.Model].PriorQuality
	est := x.r.tools.estimate(time.Now(), x.req.Kind, a.target, prior)
	kept, reason := policy.Keep(score, est, target)
	x.rec.note("cascade check: " + string(reason))
	return kept
}
