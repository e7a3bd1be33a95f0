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

// shardCount is the number of shards of the session pins. There may be millions
// of pins, and copying all of them at once for a snapshot would block the consensus
// for longer than an election timeout. A shard is copied only when it is first
// written after a snapshot began.
const shardCount = 4096

// pins holds the versions that sessions are pinned to.
type pins struct {
	shards    [shardCount]shard
	lastSweep uint64 // clock divided by the interval, at the last sweep for expired pins
}

type shard struct {
	byKey map[pinKey]sessionPin
	// shared is set while a snapshot may read byKey.
	shared bool
}

type pinKey struct{ customer, session, model string }

type sessionPin struct {
	version string
	used    uint64 // ms since the Unix epoch
}

func (k pinKey) shardIndex() int {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{k.customer, "\x00", k.session, "\x00", k.model} {
		_, _ = d.WriteString(s) // never fails
	}
	return int(d.Sum64() % shardCount)
}

// writable returns the shard at index i for writing. It first copies a shard that a
// snapshot may read.
func (p *pins) writable(i int) *shard {
	s := &p.shards[i]
	switch {
	case s.byKey == nil:
		s.byKey = map[pinKey]sessionPin{}
	case s.shared:
		s.byKey = maps.Clone(s.byKey)
	}
	s.shared = false
	return s
}

// get returns the pin of a key, or false if there is none or it has expired.
func (p *pins) get(key pinKey, now uint64) (sessionPin, bool) {
	one, ok := p.shards[key.shardIndex()].byKey[key]
	if !ok || one.expired(now) {
		return sessionPin{}, false
	}
	return one, true
}

func (p sessionPin) expired(now uint64) bool { return elapsed(p.used, now) >= PinTTL }

// put stores a pin. Strings that many pins have in common are interned.
func (p *pins) put(key pinKey, one sessionPin) {
	key.customer = unique.Make(key.customer).Value()
	key.model = unique.Make(key.model).Value()
	one.version = unique.Make(one.version).Value()
	p.writable(key.shardIndex()).byKey[key] = one
}

// sweepExpired removes the expired pins of one shard in every 10 s of time. It does
// not change the visible state, since get and snapshots omit expired pins.
func (p *pins) sweepExpired(now uint64) {
	const sweepIntervalMillis = 10_000 // covers all shards within half of PinTTL
	if now/sweepIntervalMillis == p.lastSweep {
		return
	}
	p.lastSweep = now / sweepIntervalMillis
	i := int(p.lastSweep % shardCount)
	for _, one := range p.shards[i].byKey {
		if one.expired(now) {
			maps.DeleteFunc(p.writable(i).byKey, func(_ pinKey, one sessionPin) bool { return one.expired(now) })
			return
		}
	}
}

// freeze returns the shards as they are now; later writes go to copies.
func (p *pins) freeze() *[shardCount]shard {
	for i := range p.shards {
		p.shards[i].shared = true
	}
	frozen := p.shards
	return &frozen
}

// eachPin calls f with each unexpired pin of frozen shards, in an order that
// depends only on the keys. The message is reused between calls.
func eachPin(list *[shardCount]shard, now uint64, f func(*wire.Stick)) {
	var m wire.Stick
	for i := range list {
		keys := slices.SortedFunc(maps.Keys(list[i].byKey), func(a, b pinKey) int {
			return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.session, b.session), cmp.Compare(a.model, b.model))
		})
		for _, k := range keys {
			one := list[i].byKey[k]
			if one.expired(now) {
				continue
			}
			m.Customer, m.Session, m.Model, m.Version, m.Used = k.customer, k.session, k.model, one.version, one.used
			f(&m)
		}
	}
}

// pinSession returns the version that a session is pinned to. The first pin wins;
// only a withdrawn version is replaced.
func (l *Ledger) pinSession(q *wire.Pin) *wire.Result {
	key := pinKey{q.GetCustomer(), q.GetSession(), q.GetModel()}
	version := q.GetVersion()
	if key.customer == "" || key.session == "" || key.model == "" || version == "" {
		return refuse(fault.Invalid, "the pin lacks a customer, session, model or version")
	}
	old, ok := l.pins.get(key, l.clock)
	switch {
	case ok && (q.GetReplaces() != old.version || !l.isWithdrawn(key.model, old.version) || l.isWithdrawn(key.model, version)):
		version = old.version
	case !ok && l.isWithdrawn(key.model, version):
		return refuse(fault.Stale, "version %s of model %s is withdrawn; choose another", version, key.model)
	}
	l.pins.put(key, sessionPin{version, l.clock})
	return &wire.Result{Kind: &wire.Result_Pinned{Pinned: &wire.Pinned{Version: version}}}
}

func (l *Ledger) isWithdrawn(model, version string) bool {
	return l.config.exists(conf.WithdrawnPrefix + model + "/" + version)
}

// PinnedVersion returns the version that a session of a customer is pinned to for
// a model, or false if there is none.
func (l *Ledger) PinnedVersion(customer, session, model string) (string, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	one, ok := l.pins.get(pinKey{customer, session, model}, l.clock)
	return one.version, ok
}
