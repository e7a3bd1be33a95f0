package conf

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// TestApplySteps guards against a view that shares sections with the previous one and
// differs from a view decoded from the whole configuration, or that changes the
// previous one.
func TestApplySteps(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	sections := []string{
		CustomersPrefix + "%d", ModelsPrefix + "%d", CascadesPrefix + "%d", RoutesPrefix + "%d", RolloutsPrefix + "%d", WithdrawnPrefix + "m/%d", MembersPrefix + "%d", EvacuationsPrefix + "%d", LimitsKey, "later/%d",
	}
	values := []string{`{}`, `{"weight":2,"keys":["%064d"]}`, `{"quality":0.5,"versions":["v1"]}`, `{"addr":"10.0.0.1:1"}`, `{"body":7}`}
	v := EmptyView()
	for range 500 {
		d := &wire.Delta{From: uint64(v.Revision), Revision: uint64(v.Revision) + 1}
		for range 1 + rng.IntN(3) {
			key, number := sections[rng.IntN(len(sections))], rng.IntN(4)
			if key != LimitsKey {
				key = fmt.Sprintf(key, number)
			}
			value := values[rng.IntN(len(values))]
			if value == values[1] {
				value = fmt.Sprintf(value, number) // no two customers have the same key
			}
			d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: []byte(value), Gone: rng.IntN(3) == 0})
		}
		keyStates, deltaFloor, deletedCount := maps.Clone(v.keyStates), v.deltaFloor, v.deletedCount
		before, err := EmptyView().Apply(v.FullDelta())
		if err != nil {
			t.Fatal(err)
		}
		got, err := v.Apply(d)
		if err != nil {
			t.Fatal(err)
		}
		want, err := EmptyView().Apply(got.FullDelta())
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(withoutDeleted(got), withoutDeleted(want)) {
			t.Fatalf("got %v after %v, want %v", got.FullDelta(), d, want.FullDelta())
		}
		if !reflect.DeepEqual(withoutDeleted(v), withoutDeleted(before)) || !reflect.DeepEqual(v.keyStates, keyStates) || v.deltaFloor != deltaFloor || v.deletedCount != deletedCount {
			t.Fatalf("got the old view changed to %v, want %v", v.FullDelta(), before.FullDelta())
		}
		v = got
	}
}

// withoutDeleted returns a copy of a view without its deleted keys, which a view from
// a full delta does not have.
func withoutDeleted(v *View) View {
	c := *v
	c.keyStates = maps.Clone(v.keyStates)
	c.dropDeleted()
	c.deltaFloor = 0
	return c
}

// TestDeltaSince guards against a receiver that misses a change back to an old value,
// and against deltas that start before the oldest kept deletion.
func TestDeltaSince(t *testing.T) {
	v := EmptyView()
	for i, e := range []*wire.Entry{
		{Key: ModelsPrefix + "a", Value: []byte(`{"quality":0.5}`)},
		{Key: WithdrawnPrefix + "a/v1", Value: []byte(`{}`)},
		{Key: WithdrawnPrefix + "a/v1", Gone: true},
		{Key: ModelsPrefix + "a", Value: []byte(`{"quality":0.6}`)},
		{Key: ModelsPrefix + "a", Value: []byte(`{"quality":0.5}`)},
	} {
		next, err := v.Apply(&wire.Delta{From: uint64(i), Revision: uint64(i) + 1, Entries: []*wire.Entry{e}})
		if err != nil {
			t.Fatal(err)
		}
		v = next
	}
	full, err := EmptyView().Apply(v.FullDelta())
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		view *View
		from ident.Revision
		want string // keys, or empty if a full delta is needed
	}{
		"from revision 0":        {v, 0, ""},
		"deleted and changed":    {v, 2, "[models/a withdrawn/a/v1-]"},
		"the same value again":   {v, 3, "[models/a]"},
		"up to date":             {v, 5, "[]"},
		"from another history":   {v, 6, ""},
		"before a full delta":    {full, 4, ""},
		"up to date, full delta": {full, 5, "[]"},
		"deleted key far back":   {v, 1, "[models/a withdrawn/a/v1-]"},
		"empty view":             {EmptyView(), 1, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if d, ok := tt.view.DeltaSince(tt.from); ok {
				list := []string{}
				for _, e := range d.GetEntries() {
					list = append(list, e.GetKey()+map[bool]string{true: "-"}[e.GetGone()])
				}
				got = fmt.Sprint(list)
			}
			if got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestEvacuationDelta guards against a gate that misses the beginning or the end of
// an evacuation, and against a change of a view that a request still uses.
func TestEvacuationDelta(t *testing.T) {
	key := EvacuationsPrefix + "eu-1"
	views := []*View{EmptyView()}
	step := func(from *View, d *wire.Delta) {
		next, err := from.Apply(d)
		if err != nil {
			t.Fatal(err)
		}
		views = append(views, next)
	}
	step(views[0], &wire.Delta{Full: true, Revision: 1, Entries: []*wire.Entry{{Key: DocumentKey, Value: []byte(`{"version":3}`)}}})
	step(views[1], &wire.Delta{From: 1, Revision: 2, Entries: []*wire.Entry{{Key: key, Value: []byte(`{"began":7,"actor":"amina"}`)}}})
	step(views[2], &wire.Delta{From: 2, Revision: 3, Entries: []*wire.Entry{{Key: key, Gone: true}}})
	late, _ := views[3].DeltaSince(2)
	step(views[2], late)
	step(EmptyView(), views[2].FullDelta())
	for i, want := range []string{"map[]", "map[]", "map[eu-1:{7 amina}]", "map[]", "map[]", "map[eu-1:{7 amina}]"} {
		if got := fmt.Sprint(views[i].Evacuations); got != want || i > 0 && views[i].Document.Version != 3 {
			t.Errorf("view %d: got evacuations %s, document %d, want %s and 3", i, got, views[i].Document.Version, want)
		}
	}
}
