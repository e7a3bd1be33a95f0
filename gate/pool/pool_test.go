package pool

import (
	"fmt"
	"testing"
	"time"

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

// still is a client of the state cluster whose view is set by the test.
type still struct {
	State
	view *conf.View
}

func (s *still) View() *conf.View { return s.view }
func (s *still) Lease() time.Time { return time.Now().Add(ident.LeaseTime) }

// A renewal that crosses with a pushed change must not bring the whole
// configuration, of 0.5 MB at the design size; one at revision 0 must.
func TestCrossedRenewal(t *testing.T) {
	next := func(v *conf.View, value string) *conf.View {
		out, err := v.Apply(&wire.Delta{From: uint64(v.Revision), Revision: uint64(v.Revision) + 1, Entries: []*wire.Entry{
			{Key: "models/a", Value: []byte(value)},
		}})
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	st := &still{view: next(conf.Empty(), `{"quality":0.5}`)}
	b := newBackend(New(Client(st)), "r", conf.Member{})
	out := b.attach(nil)
	// renew returns what a renewal at a revision brings.
	renew := func(at uint64) *wire.Delta {
		b.grant(&wire.Renew{Seq: 1, Revision: at})
		return (<-out).GetGrant().GetDelta()
	}
	if d := renew(0); !d.GetFull() {
		t.Errorf("got %v for the first renewal, want everything", d)
	}
	st.view = next(st.view, `{"quality":0.6}`)
	b.push(st.view)
	if d := (<-out).GetGrant().GetDelta(); d.GetFull() || d.GetFrom() != 1 || d.GetRevision() != 2 {
		t.Errorf("got %v pushed, want the difference", d)
	}
	if d := renew(1); d != nil {
		t.Errorf("got %v for a renewal that crossed with the push, want nothing", d)
	}
	st.view = next(st.view, `{"quality":0.7}`)
	if d := renew(1); d.GetFull() || d.GetFrom() != 2 || d.GetRevision() != 3 {
		t.Errorf("got %v for a renewal before the push, want the difference to what was sent", d)
	}
	if d := renew(0); !d.GetFull() || d.GetRevision() != 3 {
		t.Errorf("got %v for a renewal after a failed difference, want everything", d)
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
	b.report(&wire.Load{Running: 4, Slots: 4})
	if got := b.foreign(); got != 0 {
		t.Errorf("got foreign load %d right after the own attempts, want 0", got)
	}
	for range peakReports {
		b.report(&wire.Load{Running: 4, Slots: 4})
	}
	if got := b.foreign(); got != 4 {
		t.Errorf("got foreign load %d two seconds later, want 4", got)
	}
}

// BenchmarkSubset measures the choice of the links of one gate, which every
// change of the members repeats.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{100, 1000, 4600} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			all := fleet(n)
			b.ReportAllocs()
			links := 0
			for b.Loop() {
				links = len(subset("gate-1", "z1", all))
			}
			b.ReportMetric(float64(links), "links")
		})
	}
}

// fleet returns members in 15 zones that each serve two of 14 models.
func fleet(n int) map[ident.Backend]conf.Member {
	list := map[ident.Backend]conf.Member{}
	for i := range n {
		list[ident.Backend(fmt.Sprintf("runner-%04d", i))] = conf.Member{
			Addr: "10.100.200.30:7000", Zone: ident.Zone(fmt.Sprintf("z%d", i%15)), Presence: conf.Live,
			Models: []ident.Model{ident.Model(fmt.Sprint("model-", i%14)), ident.Model(fmt.Sprint("model-", (i+5)%14))},
		}
	}
	return list
}
