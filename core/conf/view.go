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

	raw    map[string][]byte
	owners map[[sha256.Size]byte]ident.Customer // by digest of the bearer key
}

// Empty returns the configuration at revision 0.
func Empty() *View {
	v := &View{raw: map[string][]byte{}}
	v.index()
	return v
}

// Apply returns the view after a delta. It returns an error if the delta does
// not start at the view's revision; then a full delta is needed.
func (v *View) Apply(d *wire.Delta) (*View, error) {
	raw := map[string][]byte{}
	if !d.GetFull() {
		if ident.Revision(d.GetFrom()) != v.Revision {
			return nil, eris.Errorf("delta starts at revision %d, the view is at %d; ask for a full one", d.GetFrom(), v.Revision)
		}
		raw = maps.Clone(v.raw)
	}
	for _, e := range d.GetEntries() {
		if e.GetGone() {
			delete(raw, e.GetKey())
		} else {
			raw[e.GetKey()] = e.GetValue()
		}
	}
	next := &View{Revision: ident.Revision(d.GetRevision()), raw: raw}
	if err := next.decode(); err != nil {
		return nil, err
	}
	next.index()
	return next, nil
}

// Value returns the JSON value of a key.
func (v *View) Value(key string) ([]byte, bool) {
	value, ok := v.raw[key]
	return value, ok
}

// Keys returns all keys in order.
func (v *View) Keys() []string { return slices.Sorted(maps.Keys(v.raw)) }

// Full returns a full delta that produces the view.
func (v *View) Full() *wire.Delta {
	d := &wire.Delta{Revision: uint64(v.Revision), Full: true}
	for _, key := range v.Keys() {
		d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: v.raw[key]})
	}
	return d
}

func (v *View) decode() error {
	v.Customers = map[ident.Customer]Customer{}
	v.Models = map[ident.Model]Model{}
	v.Cascades = map[ident.Cascade]Cascade{}
	v.Routes = map[ident.Route]Route{}
	v.Rollouts = map[ident.Model]Rollout{}
	v.Withdrawn = map[ident.Target]Withdrawal{}
	v.Members = map[ident.Backend]Member{}
	for key, value := range v.raw {
		if err := v.decodeKey(key, value); err != nil {
			return eris.Wrapf(err, "configuration key %s", key)
		}
	}
	return nil
}

func (v *View) decodeKey(key string, value []byte) error {
	section, name, _ := strings.Cut(key, "/")
	switch section + "/" {
	case Customers:
		var c Customer
		err := json.Unmarshal(value, &c)
		v.Customers[ident.Customer(name)] = c
		return err
	case Models:
		var m Model
		err := json.Unmarshal(value, &m)
		v.Models[ident.Model(name)] = m
		return err
	case Cascades:
		var c Cascade
		err := json.Unmarshal(value, &c)
		v.Cascades[ident.Cascade(name)] = c
		return err
	case Routes:
		var r Route
		err := json.Unmarshal(value, &r)
		v.Routes[ident.Route(name)] = r
		return err
	case Limited + "/":
		return json.Unmarshal(value, &v.Limits)
	case Rollouts:
		var r Rollout
		err := json.Unmarshal(value, &r)
		v.Rollouts[ident.Model(name)] = r
		return err
	case Withdrawn:
		var w Withdrawal
		if err := json.Unmarshal(value, &w); err != nil {
			return err
		}
		t, err := ident.ParseTarget(name)
		v.Withdrawn[t] = w
		return err
	case Members:
		var m Member
		err := json.Unmarshal(value, &m)
		v.Members[ident.Backend(name)] = m
		return err
	}
	return nil // a newer release may know more sections
}

func (v *View) index() {
	v.Limits = v.Limits.WithDefaults()
	v.owners = map[[sha256.Size]byte]ident.Customer{}
	for name, c := range v.Customers {
		for _, key := range c.Keys {
			var digest [sha256.Size]byte
			if n, err := hex.Decode(digest[:], []byte(key)); err == nil && n == sha256.Size {
				v.owners[digest] = name
			}
		}
	}
}

// Digest returns the hex SHA-256 digest of a bearer key, as settings hold it.
func Digest(key string) string {
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
	for _, k := range v.Customers[name].Keys {
		if subtle.ConstantTimeCompare([]byte(want), []byte(strings.ToLower(k))) == 1 {
			return name, true
		}
	}
	return "", false
}

// Allowed tells whether a customer may use a target that exists and is not
// withdrawn. It is the check of every new attempt.
func (v *View) Allowed(c ident.Customer, t ident.Target) bool {
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

// Versions returns the versions of a model that a customer may use now, in
// the order of the settings; the last is the preferred one.
func (v *View) Versions(c ident.Customer, m ident.Model) []ident.Version {
	var list []ident.Version
	for _, version := range v.Models[m].Versions {
		if v.Allowed(c, ident.Target{Model: m, Version: version}) {
			list = append(list, version)
		}
	}
	return list
}

// MayCall tells whether a customer may use a route.
func (v *View) MayCall(c ident.Customer, r ident.Route) bool {
	return slices.Contains(v.Customers[c].Routes, string(r))
}

// Match returns the route with the longest path prefix for a method and path.
func (v *View) Match(method, path string) (ident.Route, bool) {
	var best ident.Route
	found, size := false, -1
	for name, r := range v.Routes {
		if !slices.Contains(r.Methods, method) || !under(path, r.Path) {
			continue
		}
		if len(r.Path) > size || (len(r.Path) == size && name < best) {
			best, found, size = name, true, len(r.Path)
		}
	}
	return best, found
}

// under tells whether path is prefix or below it.
func under(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
