package ledger

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

func evacuate(zone string, end bool) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Evacuate{Evacuate: &wire.Evacuate{Zone: zone, End: end}}}
}

// TestEvacuate guards against a repeated command that is refused or changes
// something, against an evacuation that is lost in a snapshot or by replaying the
// log, and against one that a gate with an older revision misses.
func TestEvacuate(t *testing.T) {
	r, replayed := newFixture(t), newFixture(t)
	follower := conf.EmptyView()
	for _, x := range []struct {
		name           string
		c              *wire.Command
		kind           fault.Kind
		repeat         bool
		zones, outcome string
	}{
		{"finish what never began", evacuate("a", true), "", true, "[]", "repeated"},
		{"begin", evacuate("a", false), "", false, "[a]", "accepted"},
		{"begin again", evacuate("a", false), "", true, "[a]", "repeated"},
		{"another zone", evacuate("b", false), "", false, "[a b]", "accepted"},
		{"new document", replace(4, `{"a":1}`), "", false, "[a b]", "accepted"},
		{"finish", evacuate("a", true), "", false, "[b]", "accepted"},
		{"finish again", evacuate("a", true), "", true, "[b]", "repeated"},
		{"begin anew", evacuate("a", false), "", false, "[a b]", "accepted"},
		{"no zone", evacuate("", false), fault.Invalid, false, "[a b]", "invalid"},
		{"over-long", evacuate(strings.Repeat("z", 129), false), fault.Invalid, false, "[a b]", "invalid"},
		{"slash", evacuate("a/b", true), fault.Invalid, false, "[a b]", "invalid"},
	} {
		before := r.l.Revision()
		res := r.expect(x.c, x.kind)
		replayed.expect(x.c, x.kind)
		if got := res.GetChanged().GetRepeat(); got != x.repeat {
			t.Errorf("%s: got repeat %t, want %t", x.name, got, x.repeat)
		}
		if changed := r.l.Revision() != before; changed == (x.repeat || x.kind != "") {
			t.Errorf("%s: got revision %d after %d", x.name, r.l.Revision(), before)
		}
		next, err := follower.Apply(r.l.Delta(uint64(follower.Revision)))
		if err != nil {
			t.Fatal(err)
		}
		follower = next
		restored := New()
		if data, err := r.l.Snapshot(); err != nil || restored.Restore(data) != nil {
			t.Fatalf("cannot restore the snapshot (%v)", err)
		}
		for where, d := range map[string]*wire.Delta{"ledger": r.l.Delta(0), "replayed log": replayed.l.Delta(0), "snapshot": restored.Delta(0), "deltas": follower.FullDelta()} {
			v, err := conf.EmptyView().Apply(d)
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(slices.Sorted(maps.Keys(v.Evacuations))); got != x.zones {
				t.Errorf("%s: got zones %s in the %s, want %s", x.name, got, where, x.zones)
			}
		}
		audits := r.l.Audits(0, 0)
		if got := audits[len(audits)-1]; got.GetOutcome() != x.outcome || got.GetActor() != "tester" {
			t.Errorf("%s: got audit record %v, want outcome %s of tester", x.name, got, x.outcome)
		}
	}
	for i := range MaxEvacuations - 2 {
		r.expect(evacuate(fmt.Sprint("z", i), false), "")
	}
	r.expect(evacuate("one-too-many", false), fault.Conflict)
	r.expect(evacuate("z0", true), "")
	r.expect(evacuate("one-too-many", false), "")
}
