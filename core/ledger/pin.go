package ledger

import (
	"cmp"
	"maps"
	"slices"
	"unique"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// shards is the number of parts of the pins. There may be millions of them,
// and copying all at once for a snapshot would hold up the consensus for
// longer than an election timeout; a part is copied when it is first written
// after a snapshot began.
const shards = 4096

// pins holds the versions of sessions.
type pins struct {
	list  [shards]shard
	swept uint64 // number of the last sweep for expired pins
}

type shard struct {
	index map[pinKey]pinned
	// shared is set while a snapshot may read the index.
	shared bool
}

type pinKey struct{ customer, session, model string }

type pinned struct {
	version string
	used    uint64 // ms since the Unix epoch
}

func (k pinKey) shard() int {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{k.customer, "\x00", k.session, "\x00", k.model} {
		_, _ = d.WriteString(s) // never fails
	}
	return int(d.Sum64() % shards)
}

// own returns the part at an index, ready to be written.
func (p *pins) own(i int) *shard {
	s := &p.list[i]
	switch {
	case s.index == nil:
		s.index = map[pinKey]pinned{}
	case s.shared:
		s.index = maps.Clone(s.index)
	}
	s.shared = false
	return s
}

// get returns a pin that has not expired.
func (p *pins) get(key pinKey, now uint64) (pinned, bool) {
	one, ok := p.list[key.shard()].index[key]
	if !ok || one.expired(now) {
		return pinned{}, false
	}
	return one, true
}

func (p pinned) expired(now uint64) bool { return span(p.used, now) >= PinTTL }

// put stores a pin. Names that many pins have in common are kept once.
func (p *pins) put(key pinKey, one pinned) {
	key.customer = unique.Make(key.customer).Value()
	key.model = unique.Make(key.model).Value()
	one.version = unique.Make(one.version).Value()
	p.own(key.shard()).index[key] = one
}

// sweep frees expired pins, a part for every 10 s of time. Since neither get
// nor a snapshot shows expired pins, it is no change of the state.
func (p *pins) sweep(now uint64) {
	const every = 10_000 // ms; all parts within half of PinTime
	if now/every == p.swept {
		return
	}
	p.swept = now / every
	i := int(p.swept % shards)
	for _, one := range p.list[i].index {
		if one.expired(now) {
			maps.DeleteFunc(p.own(i).index, func(_ pinKey, one pinned) bool { return one.expired(now) })
			return
		}
	}
}

// freeze returns the parts as they are now; later writes go to copies.
func (p *pins) freeze() *[shards]shard {
	for i := range p.list {
		p.list[i].shared = true
	}
	frozen := p.list
	return &frozen
}

// sticks calls f with each pin of a frozen list that has not expired, in an
// order that the keys define. The message is reused.
func sticks(list *[shards]shard, now uint64, f func(*wire.Stick)) {
	var m wire.Stick
	for i := range list {
		keys := slices.SortedFunc(maps.Keys(list[i].index), func(a, b pinKey) int {
			return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.session, b.session), cmp.Compare(a.model, b.model))
		})
		for _, k := range keys {
			one := list[i].index[k]
			if one.expired(now) {
				continue
			}
			m.Customer, m.Session, m.Model, m.Version, m.Used = k.customer, k.session, k.model, one.version, one.used
			f(&m)
		}
	}
}

// pin answers with the version of a session. The first one wins; only a
// withdrawn version is replaced.
func (l *Ledger) pin(q *wire.Pin) *wire.Result {
	key := pinKey{q.GetCustomer(), q.GetSession(), q.GetModel()}
	version := q.GetVersion()
	if key.customer == "" || key.session == "" || key.model == "" || version == "" {
		return refuse(fault.Invalid, "the pin lacks a customer, session, model or version")
	}
	old, ok := l.pins.get(key, l.time)
	switch {
	case ok && (q.GetReplaces() != old.version || !l.withdrawn(key.model, old.version) || l.withdrawn(key.model, version)):
		version = old.version
	case !ok && l.withdrawn(key.model, version):
		return refuse(fault.Stale, "version %s of model %s is withdrawn; choose another", version, key.model)
	}
	l.pins.put(key, pinned{version, l.time})
	return &wire.Result{Kind: &wire.Result_Pinned{Pinned: &wire.Pinned{Version: version}}}
}

func (l *Ledger) withdrawn(model, version string) bool {
	return l.config.live(conf.WithdrawnPrefix + model + "/" + version)
}

// PinnedVersion returns the version of a session, or false if it has none.
func (l *Ledger) PinnedVersion(customer, session, model string) (string, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	one, ok := l.pins.get(pinKey{customer, session, model}, l.time)
	return one.version, ok
}
