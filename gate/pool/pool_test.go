package pool

import (
	"fmt"
	"maps"
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

// The number of links must not grow with the fleet. Most stay in the own zone,
// and some are left when it is lost.
func TestSubset(t *testing.T) {
	const size = DefaultLinkCount
	pick := func(gate string, all map[ident.Backend]conf.Member) map[ident.Backend]conf.Member {
		return subset(gate, "z1", &conf.View{Members: all}, size)
	}
	all := members(300)
	got := pick("gate-1", all)
	local := 0
	for _, m := range got {
		if m.Zone == "z1" {
			local++
		}
	}
	if len(got) != size || local != size-size/away {
		t.Fatalf("got %d links, %d in the own zone; want %d, %d", len(got), local, size, size-size/away)
	}
	for n, want := range map[int]int{3: 3, 12: size, 24: size} { // 1, 4 and 8 in each zone
		if got := pick("gate-1", members(n)); len(got) != want {
			t.Errorf("got %d links of %d members, want other zones to fill up to %d", len(got), n, want)
		}
	}
	// Another gate links to other members, and the loss of one changes one.
	same := 0
	for id := range pick("gate-2", all) {
		if _, ok := got[id]; ok {
			same++
		}
	}
	if same == size {
		t.Error("two gates have the same links")
	}
	for lost := range got {
		rest := maps.Clone(all)
		delete(rest, lost)
		kept := 0
		for id := range pick("gate-1", rest) {
			if _, ok := got[id]; ok {
				kept++
			}
		}
		if kept != size-1 {
			t.Errorf("got %d links kept after the loss of %s, want %d", kept, lost, size-1)
		}
	}
	// A model with two versions that may serve gets links for both.
	view := &conf.View{
		Members:   all,
		Models:    map[ident.Model]conf.Model{"small": {Versions: []ident.Version{"v1", "v2", "v3"}}},
		Withdrawn: map[ident.Target]conf.Withdrawal{{Model: "small", Version: "v1"}: {}},
	}
	if got := len(subset("gate-1", "z1", view, size)); got != 2*size {
		t.Errorf("got %d links for two versions, want %d", got, 2*size)
	}
}

// Guards against backend servers that too few gates use, at the size of the
// design. Gates don't know of each other, so the coverage is that of a random
// draw: seven sets of names gave a least of 1 to 3 and 44 to 66 side processes
// with under 5 gates. By calculation, 0.03 to 0.04 side processes have no gate.
func TestCoverage(t *testing.T) {
	const sides, gates, zones, targets = 4600, 430, 15, 14
	view := &conf.View{Members: map[ident.Backend]conf.Member{}}
	for i := range sides {
		view.Members[ident.Backend(fmt.Sprintf("runner-%d", i))] = conf.Member{
			Zone: ident.Zone(fmt.Sprintf("z%d", i%zones)), Models: []ident.Model{ident.Model(fmt.Sprintf("m%d", i/zones%targets))},
		}
	}
	for _, name := range []string{"gate-a", "gate-b"} {
		cover := map[ident.Backend]int{}
		links := 0
		for i := range gates {
			for id := range subset(fmt.Sprintf("%s-%d", name, i), ident.Zone(fmt.Sprintf("z%d", i%zones)), view, DefaultLinkCount) {
				cover[id]++
				links++
			}
		}
		least, few := gates, 0
		for id := range view.Members {
			least = min(least, cover[id])
			if cover[id] < 5 {
				few++
			}
		}
		t.Logf("%s: links of a gate %.0f, gates of a side process: mean %.1f, least %d, %d of %d have under 5",
			name, float64(links)/gates, float64(links)/sides, least, few, sides)
		if links != gates*targets*DefaultLinkCount {
			t.Errorf("got %d links, want %d for each gate", links, targets*DefaultLinkCount)
		}
		if least < 1 || few > sides/50 {
			t.Errorf("got a least of %d gates and %d side processes with under 5, want 1 and at most %d", least, few, sides/50)
		}
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
	old := put(conf.EmptyView(),
		&wire.Entry{Key: "models/a", Value: []byte(`{"quality":0.5}`)}, &wire.Entry{Key: "withdrawn/a/v1", Value: []byte(`{}`)})
	cur := put(old, &wire.Entry{Key: "models/a", Value: []byte(`{"quality":0.6}`)})
	cur = put(cur, &wire.Entry{Key: "withdrawn/a/v1", Gone: true}, &wire.Entry{Key: "models/b", Value: []byte(`{}`)})
	d := New().delta(old, cur, old.Revision)
	if len(d.GetEntries()) != 3 {
		t.Errorf("got %d entries, want only what differs", len(d.GetEntries()))
	}
	next, err := old.Apply(d)
	if err != nil || !proto.Equal(next.FullDelta(), cur.FullDelta()) {
		t.Errorf("got %v, %v; want %v", next.FullDelta(), err, cur.FullDelta())
	}
}

// A version is withdrawn, restored and withdrawn again, and the gate sees only
// the first and the last. A side process that another gate brought to the
// restored state must still learn of the last withdrawal (rule 2).
func TestCoalescedChange(t *testing.T) {
	at := func(v *conf.View, from uint64, entries ...*wire.Entry) *conf.View {
		next, err := v.Apply(&wire.Delta{From: from, Revision: entries[0].GetRevision(), Entries: entries})
		if err != nil {
			t.Fatal(err)
		}
		return next
	}
	const key = conf.WithdrawnPrefix + "a/v1"
	one := at(conf.EmptyView(), 0, &wire.Entry{Key: key, Value: []byte(`{}`), Revision: 1})
	two := at(one, 1, &wire.Entry{Key: key, Gone: true, Revision: 2})
	three := at(one, 1, &wire.Entry{Key: key, Value: []byte(`{}`), Revision: 3})
	d := New().delta(one, three, 1)
	side, err := two.Apply(&wire.Delta{From: 2, Revision: d.GetRevision(), Entries: d.GetEntries()})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := side.Withdrawn[ident.Target{Model: "a", Version: "v1"}]; !ok {
		t.Errorf("got withdrawn %v at revision %d, want a/v1 in it", side.Withdrawn, side.Revision)
	}
}

// still is a client of the state cluster whose view is set by the test.
type still struct {
	State
	view *conf.View
}

func (s *still) View() *conf.View       { return s.view }
func (s *still) LeaseExpiry() time.Time { return time.Now().Add(ident.LeaseDuration) }

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
	st := &still{view: next(conf.EmptyView(), `{"quality":0.5}`)}
	b := newBackend(New(WithClient(st)), "r", conf.Member{})
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

// BenchmarkSubset measures the choice of the links of one gate, which every
// change of the members repeats.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{100, 1000, 4600} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			all := fleet(n)
			b.ReportAllocs()
			links := 0
			for b.Loop() {
				links = len(subset("gate-1", "z1", &conf.View{Members: all}, DefaultLinkCount))
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
			Addr: "10.100.200.30:7000", Zone: ident.Zone(fmt.Sprintf("z%d", i%15)), Presence: conf.MemberLive,
			Models: []ident.Model{ident.Model(fmt.Sprint("model-", i%14)), ident.Model(fmt.Sprint("model-", (i+5)%14))},
		}
	}
	return list
}
