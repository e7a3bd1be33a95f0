package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// View is the typed configuration at one revision. It is immutable and safe
// for concurrent use.
type View struct {
	Revision  ident.Revision
	Customers map[ident.Customer]Customer
	Models    map[ident.Model]Model
	Cascades  map[ident.Cascade]Cascade
	Routes    map[ident.Route]Route
	Limits    Limits
	Rollouts  map[ident.Model]Rollout
	Withdrawn map[ident.Target]Withdrawal
	Members   map[ident.Backend]Member
	// Document is the configuration replaced as a whole; version 0 if none.
	Document        Document
	ServiceRollouts map[ident.Service]ServiceRollout

	raw   map[string]cell
	floor ident.Revision // what was deleted up to here is not known
	gone  int            // deleted keys in raw

	owners map[[sha256.Size]byte]ident.Customer // by digest of the bearer key
}

// cell is the last state of a key. A deleted key stays, so that receivers at an
// older revision can be told.
type cell struct {
	value []byte
	at    ident.Revision // of the change that touched it last
	gone  bool
}

// keepGone bounds the deleted keys of a view; a thousand members are replaced
// on an ordinary day of a large system.
const keepGone = 4096

// EmptyView returns the configuration at revision 0.
func EmptyView() *View {
	v := &View{}
	v.clear()
	v.index()
	return v
}

// Apply returns the view after a delta. It returns an error if the delta does
// not start at the view's revision; then a full delta is needed.
func (v *View) Apply(d *wire.Delta) (*View, error) {
	next := &View{Revision: ident.Revision(d.GetRevision())}
	if d.GetFull() {
		next.clear()
		next.floor = next.Revision
	} else {
		if ident.Revision(d.GetFrom()) != v.Revision {
			return nil, eris.Errorf("delta starts at revision %d, the view is at %d; ask for a full one", d.GetFrom(), v.Revision)
		}
		next.inherit(v, d.GetEntries())
	}
	for _, e := range d.GetEntries() {
		next.forget(e.GetKey())
		c := cell{value: e.GetValue(), at: ident.Revision(e.GetRevision()), gone: e.GetGone()}
		if c.at == 0 {
			c.at = next.Revision
		}
		if c.gone {
			c.value = nil
			next.gone++
		}
		next.raw[e.GetKey()] = c
		if c.gone {
			continue
		}
		if err := next.decodeKey(e.GetKey(), e.GetValue()); err != nil {
			return nil, eris.Wrapf(err, "configuration key %s", e.GetKey())
		}
	}
	if next.gone > keepGone {
		next.dropGone()
	}
	next.index()
	return next, nil
}

func (v *View) dropGone() {
	maps.DeleteFunc(v.raw, func(_ string, c cell) bool { return c.gone })
	v.floor, v.gone = v.Revision, 0
}

func (v *View) clear() {
	v.raw = map[string]cell{}
	v.Customers = map[ident.Customer]Customer{}
	v.Models = map[ident.Model]Model{}
	v.Cascades = map[ident.Cascade]Cascade{}
	v.Routes = map[ident.Route]Route{}
	v.Rollouts = map[ident.Model]Rollout{}
	v.Withdrawn = map[ident.Target]Withdrawal{}
	v.Members = map[ident.Backend]Member{}
	v.ServiceRollouts = map[ident.Service]ServiceRollout{}
}

// inherit takes over the old view. Sections with a changed key are copied,
// the others shared: decoding thousands of members anew for each change of a
// customer would take every process 20 ms.
func (v *View) inherit(old *View, changed []*wire.Entry) {
	sections := map[string]bool{}
	for _, e := range changed {
		section, _, _ := strings.Cut(e.GetKey(), "/")
		sections[section+"/"] = true
	}
	v.raw, v.floor, v.gone = maps.Clone(old.raw), old.floor, old.gone
	v.Limits = old.Limits
	v.Customers, v.Models, v.Cascades, v.Routes = old.Customers, old.Models, old.Cascades, old.Routes
	v.Rollouts, v.Withdrawn, v.Members = old.Rollouts, old.Withdrawn, old.Members
	v.Document, v.ServiceRollouts = old.Document, old.ServiceRollouts
	if sections[CustomersPrefix] {
		v.Customers = maps.Clone(v.Customers)
	}
	if sections[ModelsPrefix] {
		v.Models = maps.Clone(v.Models)
	}
	if sections[CascadesPrefix] {
		v.Cascades = maps.Clone(v.Cascades)
	}
	if sections[RoutesPrefix] {
		v.Routes = maps.Clone(v.Routes)
	}
	if sections[RolloutsPrefix] {
		v.Rollouts = maps.Clone(v.Rollouts)
	}
	if sections[WithdrawnPrefix] {
		v.Withdrawn = maps.Clone(v.Withdrawn)
	}
	if sections[MembersPrefix] {
		v.Members = maps.Clone(v.Members)
	}
	if sections[ServiceRolloutsPrefix] {
		v.ServiceRollouts = maps.Clone(v.ServiceRollouts)
	}
}

// forget removes a key.
func (v *View) forget(key string) {
	if v.raw[key].gone {
		v.gone--
	}
	delete(v.raw, key)
	section, name, _ := strings.Cut(key, "/")
	switch section + "/" {
	case CustomersPrefix:
		delete(v.Customers, ident.Customer(name))
	case ModelsPrefix:
		delete(v.Models, ident.Model(name))
	case CascadesPrefix:
		delete(v.Cascades, ident.Cascade(name))
	case RoutesPrefix:
		delete(v.Routes, ident.Route(name))
	case LimitsKey + "/":
		v.Limits = Limits{}
	case RolloutsPrefix:
		delete(v.Rollouts, ident.Model(name))
	case WithdrawnPrefix:
		if t, err := ident.ParseTarget(name); err == nil {
			delete(v.Withdrawn, t)
		}
	case MembersPrefix:
		delete(v.Members, ident.Backend(name))
	case DocumentKey + "/":
		v.Document = Document{}
	case ServiceRolloutsPrefix:
		delete(v.ServiceRollouts, ident.Service(name))
	}
}

// Value returns the JSON value of a key.
func (v *View) Value(key string) ([]byte, bool) {
	c, ok := v.raw[key]
	return c.value, ok && !c.gone
}

// Keys returns all keys in order.
func (v *View) Keys() []string {
	list := make([]string, 0, len(v.raw)-v.gone)
	for key, c := range v.raw {
		if !c.gone {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// DeltaSince returns a delta with every key that was touched after a revision, also
// if it has the same value again: a receiver may have seen the value between.
// It returns false if the deleted keys are not known that far back, or the
// revision is not an earlier one; then a full delta is needed.
func (v *View) DeltaSince(from ident.Revision) (*wire.Delta, bool) {
	if from == 0 || from < v.floor || from > v.Revision {
		return nil, false
	}
	d := &wire.Delta{From: uint64(from), Revision: uint64(v.Revision)}
	for key, c := range v.raw {
		if c.at > from {
			d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: c.value, Gone: c.gone, Revision: uint64(c.at)})
		}
	}
	slices.SortFunc(d.Entries, func(a, b *wire.Entry) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return d, true
}

// FullDelta returns a full delta that produces the view.
func (v *View) FullDelta() *wire.Delta {
	d := &wire.Delta{Revision: uint64(v.Revision), Full: true}
	for _, key := range v.Keys() {
		d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: v.raw[key].value, Revision: uint64(v.raw[key].at)})
	}
	return d
}

func (v *View) decodeKey(key string, value []byte) error {
	section, name, _ := strings.Cut(key, "/")
	switch section + "/" {
	case CustomersPrefix:
		var c Customer
		err := json.Unmarshal(value, &c)
		v.Customers[ident.Customer(name)] = c
		return err
	case ModelsPrefix:
		var m Model
		err := json.Unmarshal(value, &m)
		v.Models[ident.Model(name)] = m
		return err
	case CascadesPrefix:
		var c Cascade
		err := json.Unmarshal(value, &c)
		v.Cascades[ident.Cascade(name)] = c
		return err
	case RoutesPrefix:
		var r Route
		err := json.Unmarshal(value, &r)
		v.Routes[ident.Route(name)] = r
		return err
	case LimitsKey + "/":
		return json.Unmarshal(value, &v.Limits)
	case RolloutsPrefix:
		var r Rollout
		err := json.Unmarshal(value, &r)
		v.Rollouts[ident.Model(name)] = r
		return err
	case WithdrawnPrefix:
		var w Withdrawal
		if err := json.Unmarshal(value, &w); err != nil {
			return err
		}
		t, err := ident.ParseTarget(name)
		v.Withdrawn[t] = w
		return err
	case MembersPrefix:
		var m Member
		err := json.Unmarshal(value, &m)
		v.Members[ident.Backend(name)] = m
		return err
	case DocumentKey + "/":
		return json.Unmarshal(value, &v.Document)
	case ServiceRolloutsPrefix:
		var s ServiceRollout
		err := json.Unmarshal(value, &s)
		v.ServiceRollouts[ident.Service(name)] = s
		return err
	}
	return nil // a newer release may know more sections
}

func (v *View) index() {
	v.Limits = v.Limits.WithDefaults()
	v.owners = map[[sha256.Size]byte]ident.Customer{}
	for name, c := range v.Customers {
		for _, key := range c.KeyDigests {
			var digest [sha256.Size]byte
			if n, err := hex.Decode(digest[:], []byte(key)); err == nil && n == sha256.Size {
				v.owners[digest] = name
			}
		}
	}
}

// KeyDigest returns the hex SHA-256 digest of a bearer key, as settings hold it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the customer of a bearer key. The map is indexed by a
// digest, so its timing tells nothing about the key; the final comparison is
// in constant time.
func (v *View) Authenticate(key string) (ident.Customer, bool) {
	sum := sha256.Sum256([]byte(key))
	name, ok := v.owners[sum]
	if !ok {
		return "", false
	}
	want := hex.EncodeToString(sum[:])
	for _, k := range v.Customers[name].KeyDigests {
		if subtle.ConstantTimeCompare([]byte(want), []byte(strings.ToLower(k))) == 1 {
			return name, true
		}
	}
	return "", false
}

// IsAllowed tells whether a customer may use a target that exists and is not
// withdrawn. It is the check of every new attempt.
func (v *View) IsAllowed(c ident.Customer, t ident.Target) bool {
	m, ok := v.Models[t.Model]
	if !ok || !slices.Contains(m.Versions, t.Version) {
		return false
	}
	if _, withdrawn := v.Withdrawn[t]; withdrawn {
		return false
	}
	return v.permits(c, t)
}

// permits tells whether the customer's list names the target.
func (v *View) permits(c ident.Customer, t ident.Target) bool {
	for _, name := range v.Customers[c].Models {
		allowed, err := ident.ParseTarget(name)
		if err == nil && allowed.Model == t.Model && (allowed.Version == "" || allowed.Version == t.Version) {
			return true
		}
	}
	return false
}

// AllowedVersions returns the versions of a model that a customer may use now, in
// the order of the settings; the last is the preferred one.
func (v *View) AllowedVersions(c ident.Customer, m ident.Model) []ident.Version {
	var list []ident.Version
	for _, version := range v.Models[m].Versions {
		if v.IsAllowed(c, ident.Target{Model: m, Version: version}) {
			list = append(list, version)
		}
	}
	return list
}

// MayCall tells whether a customer may use a route.
func (v *View) MayCall(c ident.Customer, r ident.Route) bool {
	return slices.Contains(v.Customers[c].Routes, string(r))
}

// MatchRoute returns the route with the longest path prefix for a method and path.
func (v *View) MatchRoute(method, path string) (ident.Route, bool) {
	var best ident.Route
	found, size := false, -1
	for name, r := range v.Routes {
		if !slices.Contains(r.Methods, method) || !under(path, r.PathPrefix) {
			continue
		}
		if len(r.PathPrefix) > size || (len(r.PathPrefix) == size && name < best) {
			best, found, size = name, true, len(r.PathPrefix)
		}
	}
	return best, found
}

// under tells whether path is prefix or below it.
func under(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
