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

// answerByCascade answers with the customer's cascade: a cheap answer is
// delivered only if it is good enough; otherwise the request escalates to a
// larger model.
func (x *execution) answerByCascade(ctx context.Context) error {
	view := x.r.state.View()
	name := view.Customers[x.req.Customer].Cascade
	c, ok := view.Cascades[name]
	if !ok {
		return fault.New(fault.Missing, "this customer has no cascade for the model auto; name a model, GET /v1/models lists them")
	}
	models := x.allowedModels(view, c)
	if len(models) == 0 {
		return fault.New(fault.Forbidden, "no model of cascade "+string(name)+" is open to this customer now; ask the operators")
	}
	plan, steps := x.planCascade(view, models, c.TargetQuality)
	plan = policy.ExploreCheaper(seed("explore "+string(x.req.ID)), plan, steps, c.TargetQuality)
	var held *answer // best answer so far; its quality is below the target
	for {
		x.record.addNote("cascade: " + string(plan.Reason))
		model := models[plan.StartStep]
		models = models[plan.StartStep+1:]
		if !plan.CheckAnswer || len(models) == 0 {
			return x.fallBack(ctx, held, x.answerFrom(ctx, model))
		}
		a, err := x.collectAnswer(ctx, model)
		switch {
		case err == nil && (a.head.GetStatus() != http.StatusOK || x.isGoodEnough(ctx, a, c.TargetQuality)):
			return x.deliver(ctx, a)
		case err == nil:
			held = a
		case ctx.Err() != nil || x.checkLease() != nil:
			return err
		default:
			x.record.addNote("cascade: cheap step failed")
		}
		plan, _ = x.planCascade(x.r.state.View(), models, c.TargetQuality)
	}
}

// fallBack delivers a held answer below the target quality if the larger model
// failed: after the wait, such an answer is better than none.
func (x *execution) fallBack(ctx context.Context, held *answer, err error) error {
	if err == nil || held == nil || x.headWritten || ctx.Err() != nil {
		return err
	}
	x.record.addNote("cascade: stronger step failed, cheap answer delivered")
	return x.deliver(ctx, held)
}

// allowedModels returns the models of a cascade that the customer may use now.
func (x *execution) allowedModels(view *conf.View, c conf.Cascade) []ident.Model {
	var models []ident.Model
	for _, m := range c.Steps {
		if len(view.AllowedVersions(x.req.Customer, m)) > 0 {
			models = append(models, m)
		}
	}
	return models
}

func (x *execution) planCascade(view *conf.View, models []ident.Model, target ident.Quality) (policy.CascadePlan, []policy.CascadeStep) {
	now := time.Now()
	steps := make([]policy.CascadeStep, len(models))
	for i, name := range models {
		m := view.Models[name]
		versions := view.AllowedVersions(x.req.Customer, name)
		t := ident.Target{Model: name}
		if len(versions) > 0 {
			t.Version = versions[len(versions)-1]
		}
		steps[i] = x.r.adaptive.cascadeStep(now, workload{kind: x.req.Kind, model: name}, t, float64(m.OutputPrice), float64(m.PriorQuality), x.r.rater != nil)
	}
	plan := policy.PlanCascade(steps, target)
	if plan.StartStep < 0 {
		plan.StartStep = len(models) - 1
	}
	return plan, steps
}

// isGoodEnough reports whether an answer reaches the target quality of the
// cascade.
func (x *execution) isGoodEnough(ctx context.Context, a *answer, target ident.Quality) bool {
	w := workload{kind: x.req.Kind, model: a.target.Model}
	var score policy.Rating
	if x.r.rater != nil {
		score = x.r.waitForRating(ctx, x, a)
		x.r.adaptive.observeRatingOnTime(w, score.Known)
	}
	prior := x.r.state.View().Models[a.target.Model].PriorQuality
	estimate := x.r.adaptive.estimateQuality(time.Now(), x.req.Kind, a.target, prior)
	good, reason := policy.KeepAnswer(score, estimate, target)
	x.record.addNote("cascade check: " + string(reason))
	return good
}
