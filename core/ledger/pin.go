package ledger

import (
	"container/list"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// pins holds the versions of sessions in the order of their last use.
type pins struct {
	index map[pinKey]*list.Element // of *pinned
	order *list.List
}

type pinKey struct{ customer, session, model string }

type pinned struct {
	key     pinKey
	version string
	used    uint64
}

func newPins() pins { return pins{index: map[pinKey]*list.Element{}, order: list.New()} }

// expire drops the pins that were not used for PinTime.
func (p *pins) expire(now uint64) {
	for e := p.order.Front(); e != nil; e = p.order.Front() {
		one := e.Value.(*pinned)
		if span(one.used, now) < PinTime {
			return
		}
		delete(p.index, one.key)
		p.order.Remove(e)
	}
}

func (p *pins) put(key pinKey, version string, now uint64) {
	p.index[key] = p.order.PushBack(&pinned{key: key, version: version, used: now})
}

// pin answers with the version of a session. The first one wins; only a
// withdrawn version is replaced.
func (l *Ledger) pin(q *wire.Pin) *wire.Result {
	key := pinKey{q.GetCustomer(), q.GetSession(), q.GetModel()}
	if key.customer == "" || key.session == "" || key.model == "" || q.GetVersion() == "" {
		return refuse(fault.Invalid, "the pin lacks a customer, session, model or version")
	}
	e, ok := l.pins.index[key]
	if ok {
		one := e.Value.(*pinned)
		l.pins.order.MoveToBack(e)
		one.used = l.time
		if q.GetReplaces() != one.version || !l.withdrawn(key.model, one.version) || l.withdrawn(key.model, q.GetVersion()) {
			return &wire.Result{Kind: &wire.Result_Pinned{Pinned: &wire.Pinned{Version: one.version}}}
		}
		one.version = q.GetVersion()
	} else {
		if l.withdrawn(key.model, q.GetVersion()) {
			return refuse(fault.Stale, "version %s of model %s is withdrawn; choose another", q.GetVersion(), key.model)
		}
		l.pins.put(key, q.GetVersion(), l.time)
	}
	return &wire.Result{Kind: &wire.Result_Pinned{Pinned: &wire.Pinned{Version: q.GetVersion()}}}
}

func (l *Ledger) withdrawn(model, version string) bool {
	return l.config.live(conf.Withdrawn + model + "/" + version)
}

// Pinned returns the version of a session, or false if it has none.
func (l *Ledger) Pinned(customer, session, model string) (string, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.pins.index[pinKey{customer, session, model}]
	if !ok {
		return "", false
	}
	return e.Value.(*pinned).version, true
}
