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
	// pinFresh is how long a cached pin is used without asking the state
	// cluster again, so that it learns that the session is in use.
	pinFresh = 10 * time.Minute
	// pinCache bounds the cached pins of one gate.
	pinCache = 100_000
)

type pinKey struct {
	customer ident.Customer
	session  ident.Session
	model    ident.Model
}

type pin struct {
	version ident.Version
	checked time.Time
}

// pins caches the versions of sessions.
type pins struct {
	mu   sync.Mutex
	view *conf.View
	all  map[pinKey]pin
}

func newPins() *pins { return &pins{all: map[pinKey]pin{}} }

func (p *pins) get(k pinKey) (pin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.all[k]
	return v, ok
}

func (p *pins) put(k pinKey, v pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.all) >= pinCache {
		for old := range p.all { // any one: the state cluster has them all
			delete(p.all, old)
			break
		}
	}
	p.all[k] = v
}

// sync makes pins of versions that have just been withdrawn ask the state
// cluster again. Another gate may have moved their sessions, and they must not
// move back when the version is restored.
func (p *pins) sync(view *conf.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == view {
		return
	}
	old := p.view
	p.view = view
	fresh := false
	for t := range view.Withdrawn {
		if old == nil {
			break
		}
		if _, known := old.Withdrawn[t]; !known {
			fresh = true
		}
	}
	if !fresh {
		return
	}
	for k, v := range p.all {
		if _, gone := view.Withdrawn[ident.Target{Model: k.model, Version: v.version}]; gone {
			v.checked = time.Time{}
			p.all[k] = v
		}
	}
}

// target returns the version of a model for the request.
func (x *run) target(ctx context.Context, model ident.Model) (ident.Target, policy.Reason, error) {
	view := x.r.state.View()
	if v := x.req.Target.Version; v != "" && x.req.Target.Model == model {
		t := ident.Target{Model: model, Version: v}
		if !view.IsAllowed(x.req.Customer, t) {
			return t, policy.None, x.forbidden(view, t)
		}
		return t, "named", nil
	}
	versions := view.AllowedVersions(x.req.Customer, model)
	if len(versions) == 0 {
		return ident.Target{}, policy.None, x.forbidden(view, ident.Target{Model: model})
	}
	name := string(x.req.ID)
	if x.req.Session != "" {
		name = string(x.req.Session)
	}
	roll, running := view.Rollouts[model]
	version, reason := policy.Assign(seed("version "+name), versions, roll, running)
	if version == "" {
		return ident.Target{}, reason, x.forbidden(view, ident.Target{Model: model})
	}
	if x.req.Session != "" {
		var err error
		if version, reason, err = x.pinned(ctx, view, model, version, reason); err != nil {
			return ident.Target{}, reason, err
		}
	}
	return ident.Target{Model: model, Version: version}, reason, nil
}

// pinned returns the version that the session keeps: the pin if there is one,
// else the proposed version, which becomes the pin.
func (x *run) pinned(ctx context.Context, view *conf.View, model ident.Model, version ident.Version, reason policy.Reason) (ident.Version, policy.Reason, error) {
	x.r.pins.sync(view)
	k := pinKey{customer: x.req.Customer, session: x.req.Session, model: model}
	allowed := func(v ident.Version) bool {
		return view.IsAllowed(x.req.Customer, ident.Target{Model: model, Version: v})
	}
	old, cached := x.r.pins.get(k)
	if cached && allowed(old.version) && time.Since(old.checked) < pinFresh {
		return old.version, "pin", nil
	}
	got, err := x.pin(ctx, k, version, old.version)
	if err != nil {
		return "", reason, err
	}
	if !allowed(got) {
		before := got
		if got, err = x.pin(ctx, k, version, before); err != nil {
			return "", reason, err
		}
		if !allowed(got) {
			return "", reason, x.forbidden(view, ident.Target{Model: model, Version: got})
		}
		old, cached = pin{version: before}, true
	}
	x.r.pins.put(k, pin{version: got, checked: time.Now()})
	if cached && old.version != got {
		x.moved = [2]ident.Version{old.version, got}
		return got, "moved", nil
	}
	if got != version {
		return got, "pin", nil
	}
	return got, reason, nil
}

// pin commits a pin; the first commit of a session wins, and only a withdrawn
// version is replaced.
func (x *run) pin(ctx context.Context, k pinKey, version, replaces ident.Version) (ident.Version, error) {
	res, err := x.r.state.Propose(ctx, &wire.Command{
		Actor: x.r.actor, Time: uint64(time.Now().UnixMilli()),
		Kind: &wire.Command_Pin{Pin: &wire.Pin{
			Customer: string(k.customer), Session: string(k.session), Model: string(k.model),
			Version: string(version), Replaces: string(replaces),
		}},
	})
	if err != nil || res.GetPinned().GetVersion() == "" {
		x.rec.note("pin not committed")
		return "", fault.New(fault.Unavailable, "the version of the session could not be recorded; send the request again").After(time.Second)
	}
	return ident.Version(res.GetPinned().GetVersion()), nil
}

// forbidden tells why a customer may not use a target.
func (x *run) forbidden(view *conf.View, t ident.Target) error {
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
