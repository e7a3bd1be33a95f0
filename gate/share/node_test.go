package share

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// members returns n gates in three zones, the first of each with a fast link.
func members(n int) []Member {
	var list []Member
	for i := range n {
		m := Member{netip.MustParseAddrPort(fmt.Sprintf("10.%d.%d.%d:7000", i%3, i/250, i%250+1)), ident.Zone([]string{"a", "b", "c"}[i%3]), 1000}
		if i < 3 {
			m.LinkRate = 10_000
		}
		list = append(list, m)
	}
	return list
}

const readSlack = 2 * time.Second

func newNode(m Member, loads LoadTable) *Node {
	return NewNode(Config{Name: "g", Self: m, ReadSlack: readSlack, Loads: loads}, 1)
}

func without(list []Member, i int) []Member { return slices.Delete(slices.Clone(list), i, i+1) }

// All gates must agree on the groups and their order, whatever the order in
// which they learn of each other.
func TestTopology(t *testing.T) {
	for name, c := range map[string]struct{ gates, groups, maxGroup int }{
		"alone": {1, 1, 1}, "few": {32, 32, 1}, "more": {33, 3, 11}, "many": {300, 12, 40},
	} {
		t.Run(name, func(t *testing.T) {
			all := members(c.gates)
			want := newTopology(all[0], all[1:])
			if len(want.groups) != c.groups {
				t.Errorf("got %d groups, want %d", len(want.groups), c.groups)
			}
			for i := range all {
				others := without(all, i)
				slices.Reverse(others)
				got := newTopology(all[i], others)
				if !slices.EqualFunc(got.groups, want.groups, func(a, b gateGroup) bool { return a.name == b.name && slices.Equal(a.members, b.members) }) {
					t.Fatalf("gate %d divides the gates in another way", i)
				}
				if m := got.ownGroup().members; m[got.self.rank] != all[i] || len(m) > c.maxGroup {
					t.Errorf("gate %d has place %v in a group of %d, want at most %d", i, got.self, len(m), c.maxGroup)
				}
			}
			if c.gates == 33 {
				for _, g := range want.groups {
					if g.members[0].LinkRate != 10_000 {
						t.Errorf("the relay of %s has a slow link", g.name)
					}
				}
			}
		})
	}
}

// One gate reads the list for all. While the gates know each other, exactly one
// is first, and gates that are no relays wait until all relays have had time.
func TestReadDelay(t *testing.T) {
	for _, count := range []int{1, 4, 32, 33, 105, 300} {
		all := members(count)
		first := 0
		for i, m := range all {
			n := newNode(m, newLoadTable())
			n.SetMembers(without(all, i), time.Now())
			got := n.ReadDelay()
			if got == 0 {
				first++
			}
			if n.isRelay() != (got < readSlack*4/5) || got > readSlack {
				t.Errorf("%d gates: gate %d, relay %v, waits %v", count, i, n.isRelay(), got)
			}
		}
		if first != 1 {
			t.Errorf("%d gates: %d of them read at once, want 1", count, first)
		}
	}
}

// An empty list, as from a leader that does not know the gates yet, changes
// nothing.
func TestSetNoMembers(t *testing.T) {
	all := members(3)
	n := newNode(all[0], newLoadTable())
	n.SetMembers(all[1:], time.Now())
	n.SetMembers(nil, time.Now())
	if n.topo.size != 3 {
		t.Errorf("got %d gates, want 3", n.topo.size)
	}
}

// A relay reports to each gate of its group what all others have in flight, and
// outcomes from before it knew a gate don't count.
func TestSums(t *testing.T) {
	now := time.Unix(1e9, 0)
	a, b := &source{}, &source{}
	a.update(1, []Load{{7, 2, 100, 5, 1}}, now.Add(time.Second))
	a.update(1, []Load{{7, 3, 200, 9, 2}, {8, 1, 0, 0, 0}}, now.Add(time.Second))
	b.update(1, []Load{{7, 1, 10, 50, 0}}, now.Add(time.Second))
	b.update(2, []Load{{7, 4, 20, 1, 0}}, now.Add(time.Second))  // restarted: a new base
	b.update(2, []Load{{7, 4, 20, 11, 3}}, now.Add(time.Second)) // since then 10 good and 3 bad
	all := sum{}
	for _, s := range []*source{a, b} {
		all.add(s, now)
	}
	for _, s := range []*source{a, b} {
		all.addOutcomes(s.grown)
	}
	for name, c := range map[string]struct {
		without *source
		want    []Load
	}{
		"all":       {nil, []Load{{7, 7, 220, 14, 4}, {8, 1, 0, 0, 0}}},
		"without a": {a, []Load{{7, 4, 20, 10, 3}, {8, 0, 0, 0, 0}}},
		"without b": {b, []Load{{7, 3, 200, 4, 1}, {8, 1, 0, 0, 0}}},
	} {
		if got := all.without(c.without, now); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
	expired := sum{}
	if expired.add(a, now.Add(2*time.Second)); len(expired) != 0 {
		t.Errorf("got %v of a source that is silent", expired)
	}
}

// A message whose lists differ in length, or with too many servers, must not
// reach the loads, and one that was overtaken must not replace a later one.
func TestReceiveInvalid(t *testing.T) {
	all := members(2)
	loads := newLoadTable()
	n := newNode(all[0], loads)
	n.SetMembers(all[1:], time.Now())
	send := func(l *wire.Loads) uint64 {
		n.Receive(all[1].Addr, &wire.Datagram{Kind: &wire.Datagram_Loads{Loads: l}}, time.Now())
		return loads.from(all[1].Addr.String()).Seq
	}
	if got := send(&wire.Loads{Run: 1, Seq: 1, Scope: wire.Loads_GROUP, Servers: []uint32{1}}); got != 0 {
		t.Error("a report with lists of different lengths was stored")
	}
	if got := send(&wire.Loads{Run: 1, Seq: 5, Scope: wire.Loads_GROUP}); got != 5 {
		t.Errorf("got report %d, want 5", got)
	}
	if got := send(&wire.Loads{Run: 1, Seq: 4, Scope: wire.Loads_GROUP}); got != 5 {
		t.Errorf("got report %d after an older one, want 5", got)
	}
	if got := send(&wire.Loads{Run: 2, Seq: 1, Scope: wire.Loads_GROUP}); got != 1 {
		t.Errorf("got report %d after a restart, want 1", got)
	}
	n.Receive(all[1].Addr, &wire.Datagram{}, time.Now()) // of a kind that is not known
	l := &wire.Loads{}
	putLoads(l, append(make([]Load, maxLoads), Load{Server: 9, Running: 1}))
	if len(l.GetServers()) != maxLoads || l.GetServers()[0] != 9 {
		t.Errorf("got %d servers, the first %d; want %d with the busiest first", len(l.GetServers()), l.GetServers()[0], maxLoads)
	}
}
