package route

import (
	"context"
	"sync"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

const (
	// pinRecheckInterval is how long a cached pin is used before it is proposed to
	// the state cluster again, which tells the cluster that the session is in use.
	pinRecheckInterval = 10 * time.Minute
	// maxCachedPins bounds the cached pins of one gate.
	maxCachedPins = 100_000
)

type pinKey struct {
	customer ident.Customer
	session  ident.Session
	model    ident.Model
}

type cachedPin struct {
	version   ident.Version
	checkedAt time.Time
}

// pinCache caches the session pins: the version of each session and model.
type pinCache struct {
	mu    sync.Mutex
	view  *conf.View
	byKey map[pinKey]cachedPin
}

func newPinCache() *pinCache { return &pinCache{byKey: map[pinKey]cachedPin{}} }

func (p *pinCache) get(k pinKey) (cachedPin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.byKey[k]
	return v, ok
}

func (p *pinCache) set(k pinKey, v cachedPin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byKey) >= maxCachedPins {
		for old := range p.byKey { // evicts any one: the state cluster has them all
			delete(p.byKey, old)
			break
		}
	}
	p.byKey[k] = v
}

// recheckWithdrawn marks the cached pins of versions withdrawn since the last view
// for a recheck at the state cluster. Another gate may have moved their sessions
// meanwhile, and these must not move back when the version is restored.
func (p *pinCache) recheckWithdrawn(view *conf.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == view {
		return
	}
	old := p.view
	p.view = view
	newlyWithdrawn := false
	for t := range view.Withdrawn {
		if old == nil {
			break
		}
		if _, known := old.Withdrawn[t]; !known {
			newlyWithdrawn = true
		}
	}
	if !newlyWithdrawn {
		return
	}
	for k, v := range p.byKey {
		if _, gone := view.Withdrawn[ident.Target{Model: k.model, Version: v.version}]; gone {
			v.checkedAt = time.Time{}
			p.byKey[k] = v
		}
	}
}

// chooseTarget chooses the version of a model for the request.
func (x *execution) chooseTarget(ctx context.Context, model ident.Model) (ident.Target, policy.Reason, error) {
	view := x.r.state.View()
	if v := x.req.Target.Version; v != "" && x.req.Target.Model == model {
		t := ident.Target{Model: model, Version: v}
		if !view.IsAllowed(x.req.Customer, t) {
			return t, policy.ReasonNone, x.forbiddenFault(view, t)
		}
		return t, "named", nil
	}
	versions := view.AllowedVersions(x.req.Customer, model)
	if len(versions) == 0 {
		return ident.Target{}, policy.ReasonNone, x.forbiddenFault(view, ident.Target{Model: model})
	}
	name := string(x.req.ID)
	if x.req.Session != "" {
		name = string(x.req.Session)
	}
	rollout, running := view.Rollouts[model]
	version, reason := policy.AssignVersion(seed("version "+name), versions, rollout, running)
	if version == "" {
		return ident.Target{}, reason, x.forbiddenFault(view, ident.Target{Model: model})
	}
	if x.req.Session != "" {
		var err error
		if version, reason, err = x.pinnedVersion(ctx, view, model, version, reason); err != nil {
			return ident.Target{}, reason, err
		}
	}
	return ident.Target{Model: model, Version: version}, reason, nil
}

// pinnedVersion returns the version that the session is pinned to. If there is no
// pin yet, the proposed version becomes the pin.
func (x *execution) pinnedVersion(ctx context.Context, view *conf.View, model ident.Model, version ident.Version, reason policy.Reason) (ident.Version, policy.Reason, error) {
	x.r.pins.recheckWithdrawn(view)
	k := pinKey{customer: x.req.Customer, session: x.req.Session, model: model}
	allowed := func(v ident.Version) bool {
		return view.IsAllowed(x.req.Customer, ident.Target{Model: model, Version: v})
	}
	old, cached := x.r.pins.get(k)
	if cached && allowed(old.version) && time.Since(old.checkedAt) < pinRecheckInterval {
		return old.version, "pin", nil
	}
	got, err := x.commitPin(ctx, k, version, old.version)
	if err != nil {
		return "", reason, err
	}
	if !allowed(got) {
		before := got
		if got, err = x.commitPin(ctx, k, version, before); err != nil {
			return "", reason, err
		}
		if !allowed(got) {
			return "", reason, x.forbiddenFault(view, ident.Target{Model: model, Version: got})
		}
		old, cached = cachedPin{version: before}, true
	}
	x.r.pins.set(k, cachedPin{version: got, checkedAt: time.Now()})
	if cached && old.version != got {
		x.versionChange = [2]ident.Version{old.version, got}
		return got, "moved", nil
	}
	if got != version {
		return got, "pin", nil
	}
	return got, reason, nil
}

// commitPin proposes a pin and returns the committed version. The first commit of
// a session wins; only a withdrawn version is replaced.
func (x *execution) commitPin(ctx context.Context, k pinKey, version, replaces ident.Version) (ident.Version, error) {
	res, err := x.r.state.Propose(ctx, &wire.Command{
		Actor: x.r.actor, Time: uint64(time.Now().UnixMilli()),
		Kind: &wire.Command_Pin{Pin: &wire.Pin{
			Customer: string(k.customer), Session: string(k.session), Model: string(k.model),
			Version: string(version), Replaces: string(replaces),
		}},
	})
	if err != nil || res.GetPinned().GetVersion() == "" {
		x.record.addNote("pin not committed")
		return "", fault.New(fault.Unavailable, "the version of the session could not be recorded; send the request again").WithRetryAfter(time.Second)
	}
	return ident.Version(res.GetPinned().GetVersion()), nil
}

// forbiddenFault returns the fault that says why a customer may not use a target.
func (x *execution) forbiddenFault(view *conf.View, t ident.Target) error {
	m, ok := view.Models[t.Model]
	if !ok {
		return fault.New(fault.Missing, "model "+string(t.Model)+" does not exist; GET /v1/models lists the models")
	}
	for _, v := range m.Versions {
		one := ident.Target{Model: t.Model, Version: v}
		if _, gone := view.Withdrawn[one]; gone && (t.Version == "" || t.Version == v) {
			return fault.New(fault.Forbidden, one.String()+" is withdrawn; use another version or model, GET /v1/models lists them")
		}
	}
	return fault.New(fault.Forbidden, "model "+t.String()+" is not open to this customer; GET /v1/models lists the ones that are")
}
