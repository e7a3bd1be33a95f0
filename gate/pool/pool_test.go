package pool

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

func members(n int) map[ident.Backend]conf.Member {
	list := map[ident.Backend]conf.Member{}
	for i := range n {
		list[ident.Backend(fmt.Sprintf("r%03d", i))] = conf.Member{
			Zone: ident.Zone(fmt.Sprintf("z%d", i%3)), Models: []ident.Model{"small"},
		}
	}
	return list
}

// The number of links must not grow with the fleet, and stay in the own zone
// while it has enough members.
func TestSubset(t *testing.T) {
	all := members(300)
	got := subset("gate-1", "z1", all)
	if len(got) != subsetSize {
		t.Fatalf("got %d links, want %d", len(got), subsetSize)
	}
	for id, m := range got {
		if m.Zone != "z1" {
			t.Errorf("got a link to %s in zone %s", id, m.Zone)
		}
	}
	if got := subset("gate-1", "z1", members(90)); len(got) != subsetSize {
		t.Errorf("got %d links, want other zones to fill up to %d", len(got), subsetSize)
	}
	// Another gate links to other members, and the loss of one changes one.
	other := subset("gate-2", "z1", all)
	same := 0
	for id := range other {
		if _, ok := got[id]; ok {
			same++
		}
	}
	if same == subsetSize {
		t.Error("two gates have the same links")
	}
	for id := range got {
		delete(all, id)
		break
	}
	kept := 0
	for id := range subset("gate-1", "z1", all) {
		if _, ok := got[id]; ok {
			kept++
		}
	}
	if kept != subsetSize-1 {
		t.Errorf("got %d links kept after the loss of one member, want %d", kept, subsetSize-1)
	}
}

// A side process that applies the pushed difference must have the same
// configuration as one that gets all of it.
func TestDiff(t *testing.T) {
	put := func(v *conf.View, entries ...*wire.Entry) *conf.View {
		next, err := v.Apply(&wire.Delta{From: uint64(v.Revision), Revision: uint64(v.Revision) + 1, Entries: entries})
		if err != nil {
			t.Fatal(err)
		}
		return next
	}
	old := put(conf.Empty(),
		&wire.Entry{Key: "models/a", Value: []byte(`{"quality":0.5}`)}, &wire.Entry{Key: "withdrawn/a/v1", Value: []byte(`{}`)})
	cur := put(old, &wire.Entry{Key: "models/a", Value: []byte(`{"quality":0.6}`)})
	cur = put(cur, &wire.Entry{Key: "withdrawn/a/v1", Gone: true}, &wire.Entry{Key: "models/b", Value: []byte(`{}`)})
	d := diff(old, cur)
	if len(d.GetEntries()) != 3 {
		t.Errorf("got %d entries, want only what differs", len(d.GetEntries()))
	}
	next, err := old.Apply(d)
	if err != nil || !proto.Equal(next.Full(), cur.Full()) {
		t.Errorf("got %v, %v; want %v", next.Full(), err, cur.Full())
	}
}

// A lagged report still counts the gate's own finished attempts. They are not
// the load of others, or waiting requests would be held back for nothing.
func TestForeignLoad(t *testing.T) {
	b := newBackend(New(), "r", conf.Member{})
	for range 4 {
		b.begin("chat")
	}
	for range 4 {
		b.end("chat")
	}
	b.report(&wire.Load{Running: 4, Slots: 4}, 0)
	if got := b.foreign(); got != 0 {
		t.Errorf("got foreign load %d right after the own attempts, want 0", got)
	}
	for range peakReports {
		b.report(&wire.Load{Running: 4, Slots: 4}, 0)
	}
	if got := b.foreign(); got != 4 {
		t.Errorf("got foreign load %d two seconds later, want 4", got)
	}
}
