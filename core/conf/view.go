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
	// Document is the document that operators replace as a whole; its version is 0
	// if there is none.
	Document        Document
	ServiceRollouts map[ident.Service]ServiceRollout
	Evacuations     map[ident.Zone]Evacuation

	keyStates    map[string]keyState
	deltaFloor   ident.Revision // the lowest revision that a partial delta may start from: earlier deletions may be unknown
	deletedCount int            // deleted keys in keyStates

	customerByKeyDigest map[[sha256.Size]byte]ident.Customer // by SHA-256 of the bearer key
}

// keyState is the last state of a key. A deleted key is kept, so that a delta for a
// receiver at an older revision includes the deletion.
type keyState struct {
	value    []byte
	revision ident.Revision // of the last change that touched the key
	deleted  bool
}

// maxDeletedKeys bounds the deleted keys of a view. On an ordinary day of a large
// system a thousand members are replaced.
const maxDeletedKeys = 4096

// EmptyView returns the configuration at revision 0.
func EmptyView() *View {
	v := &View{}
	v.resetSections()
	v.fillDerived()
	return v
}

// Apply returns the view after a delta and leaves v unchanged. It returns an error
// if a partial delta does not start at the view's revision; the caller then needs a
// full one.
func (v *View) Apply(d *wire.Delta) (*View, error) {
	next := &View{Revision: ident.Revision(d.GetRevision())}
	if d.GetFull() {
		next.resetSections()
		next.deltaFloor = next.Revision
	} else {
		if ident.Revision(d.GetFrom()) != v.Revision {
			return nil, eris.Errorf("delta starts at revision %d, the view is at %d; ask for a full one", d.GetFrom(), v.Revision)
		}
		next.shareSections(v, d.GetEntries())
	}
	for _, e := range d.GetEntries() {
		next.removeKey(e.GetKey())
		c := keyState{value: e.GetValue(), revision: ident.Revision(e.GetRevision()), deleted: e.GetGone()}
		if c.revision == 0 {
			c.revision = next.Revision
		}
		if c.deleted {
			c.value = nil
			next.deletedCount++
		}
		next.keyStates[e.GetKey()] = c
		if c.deleted {
			continue
		}
		if err := next.decodeKey(e.GetKey(), e.GetValue()); err != nil {
			return nil, eris.Wrapf(err, "configuration key %s", e.GetKey())
		}
	}
	if next.deletedCount > maxDeletedKeys {
		next.dropDeleted()
	}
	next.fillDerived()
	return next, nil
}

func (v *View) dropDeleted() {
	maps.DeleteFunc(v.keyStates, func(_ string, c keyState) bool { return c.deleted })
	v.deltaFloor, v.deletedCount = v.Revision, 0
}

func (v *View) resetSections() {
	v.keyStates = map[string]keyState{}
	v.Customers = map[ident.Customer]Customer{}
	v.Models = map[ident.Model]Model{}
	v.Cascades = map[ident.Cascade]Cascade{}
	v.Routes = map[ident.Route]Route{}
	v.Rollouts = map[ident.Model]Rollout{}
	v.Withdrawn = map[ident.Target]Withdrawal{}
	v.Members = map[ident.Backend]Member{}
	v.ServiceRollouts = map[ident.Service]ServiceRollout{}
	v.Evacuations = map[ident.Zone]Evacuation{}
}

// shareSections takes over the sections of the old view. Sections with a changed key
// are copied, the others are shared: decoding thousands of members again for each
// change of a customer would take every process 20 ms.
func (v *View) shareSections(old *View, changed []*wire.Entry) {
	sections := map[string]bool{}
	for _, e := range changed {
		section, _, _ := strings.Cut(e.GetKey(), "/")
		sections[section+"/"] = true
	}
	v.keyStates, v.deltaFloor, v.deletedCount = maps.Clone(old.keyStates), old.deltaFloor, old.deletedCount
	v.Limits = old.Limits
	v.Customers, v.Models, v.Cascades, v.Routes = old.Customers, old.Models, old.Cascades, old.Routes
	v.Rollouts, v.Withdrawn, v.Members = old.Rollouts, old.Withdrawn, old.Members
	v.Document, v.ServiceRollouts, v.Evacuations = old.Document, old.ServiceRollouts, old.Evacuations
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
	if sections[EvacuationsPrefix] {
		v.Evacuations = maps.Clone(v.Evacuations)
	}
}

func (v *View) removeKey(key string) {
	if v.keyStates[key].deleted {
		v.deletedCount--
	}
	delete(v.keyStates, key)
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
	case EvacuationsPrefix:
		delete(v.Evacuations, ident.Zone(name))
	}
}

// Value returns the JSON value of a key, or false if the key is not set.
func (v *View) Value(key string) ([]byte, bool) {
	c, ok := v.keyStates[key]
	return c.value, ok && !c.deleted
}

// Keys returns all keys that are set, in sorted order.
func (v *View) Keys() []string {
	list := make([]string, 0, len(v.keyStates)-v.deletedCount)
	for key, c := range v.keyStates {
		if !c.deleted {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// DeltaSince returns a delta with every key that was touched after a revision, even
// if it has its old value again: a receiver may hold the value in between. It
// returns false if the deleted keys are not known that far back, or if the revision
// is 0 or above that of the view; the receiver then needs a full delta.
func (v *View) DeltaSince(from ident.Revision) (*wire.Delta, bool) {
	if from == 0 || from < v.deltaFloor || from > v.Revision {
		return nil, false
	}
	d := &wire.Delta{From: uint64(from), Revision: uint64(v.Revision)}
	for key, c := range v.keyStates {
		if c.revision > from {
			d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: c.value, Gone: c.deleted, Revision: uint64(c.revision)})
		}
	}
	slices.SortFunc(d.Entries, func(a, b *wire.Entry) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return d, true
}

// FullDelta returns a full delta that produces the view.
func (v *View) FullDelta() *wire.Delta {
	d := &wire.Delta{Revision: uint64(v.Revision), Full: true}
	for _, key := range v.Keys() {
		d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: v.keyStates[key].value, Revision: uint64(v.keyStates[key].revision)})
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
	case EvacuationsPrefix:
		var e Evacuation
		err := json.Unmarshal(value, &e)
		v.Evacuations[ident.Zone(name)] = e
		return err
	}
	return nil // a newer release may have more sections
}

func (v *View) fillDerived() {
	v.Limits = v.Limits.WithDefaults()
	v.customerByKeyDigest = map[[sha256.Size]byte]ident.Customer{}
	for name, c := range v.Customers {
		for _, key := range c.KeyDigests {
			var digest [sha256.Size]byte
			if n, err := hex.Decode(digest[:], []byte(key)); err == nil && n == sha256.Size {
				v.customerByKeyDigest[digest] = name
			}
		}
	}
}

// KeyDigest returns the hex SHA-256 digest of a bearer key, as used in the settings.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the customer of a bearer key. The map is indexed by a digest,
// so the timing of the look-up reveals nothing about the key; the final comparison
// takes constant time.
func (v *View) Authenticate(key string) (ident.Customer, bool) {
	sum := sha256.Sum256([]byte(key))
	name, ok := v.customerByKeyDigest[sum]
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

// IsAllowed reports whether a target exists, is not withdrawn and may be used by the
// customer. Every new attempt is checked with it.
func (v *View) IsAllowed(c ident.Customer, t ident.Target) bool {
	m, ok := v.Models[t.Model]
	if !ok || !slices.Contains(m.Versions, t.Version) {
		return false
	}
	if _, withdrawn := v.Withdrawn[t]; withdrawn {
		return false
	}
	return v.permitsTarget(c, t)
}

// permitsTarget reports whether the customer's list of models includes the target.
func (v *View) permitsTarget(c ident.Customer, t ident.Target) bool {
	for _, name := range v.Customers[c].Models {
		allowed, err := ident.ParseTarget(name)
		if err == nil && allowed.Model == t.Model && (allowed.Version == "" || allowed.Version == t.Version) {
			return true
		}
	}
	return false
}

// AllowedVersions returns the versions of a model that a customer may use now, in the
// order of the settings; the last one is preferred.
func (v *View) AllowedVersions(c ident.Customer, m ident.Model) []ident.Version {
	var list []ident.Version
	for _, version := range v.Models[m].Versions {
		if v.IsAllowed(c, ident.Target{Model: m, Version: version}) {
			list = append(list, version)
		}
	}
	return list
}

// MayCall reports whether a customer may use a route.
func (v *View) MayCall(c ident.Customer, r ident.Route) bool {
	return slices.Contains(v.Customers[c].Routes, string(r))
}

// MatchRoute returns the route for a method and path that has the longest path prefix;
// among equal prefixes, the one whose name sorts first.
func (v *View) MatchRoute(method, path string) (ident.Route, bool) {
	var best ident.Route
	found, bestLen := false, -1
	for name, r := range v.Routes {
		if !slices.Contains(r.Methods, method) || !isUnder(path, r.PathPrefix) {
			continue
		}
		if len(r.PathPrefix) > bestLen || (len(r.PathPrefix) == bestLen && name < best) {
			best, found, bestLen = name, true, len(r.PathPrefix)
		}
	}
	return best, found
}

// isUnder reports whether path is prefix or lies below it.
func isUnder(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
