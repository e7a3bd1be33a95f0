package share

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/ident"
)

const (
	// maxDirect is the number of gates up to which each one sends to all others.
	// With more, the messages of all gates together would grow with the square
	// of their number, and a gate's own link would be full of them.
	maxDirect = 32
	// maxGroup limits the gates that share a relay.
	maxGroup = 32
)

// Member is a gate that takes part in the exchange.
type Member struct {
	Addr netip.AddrPort
	Zone ident.Zone
	// LinkRate is the rate of the gate's link in kB per second; 0 if it is not
	// known.
	LinkRate uint32
}

// gateGroup is a set of gates of one availability zone that share a relay: the
// first one, in the order of the group, that is not silent.
type gateGroup struct {
	name    string
	members []Member
}

// place is where a member is in a topology.
type place struct{ group, rank int }

// topology divides the gates into groups. All gates that know the same members
// compute the same one.
type topology struct {
	groups []gateGroup // in the order in which their relays read the list of backend servers
	places map[netip.AddrPort]place
	self   place
	size   int
}

// newTopology divides a gate and the others that it knows into groups. While
// there are few gates, each is a group of its own.
func newTopology(self Member, others []Member) *topology {
	all := append([]Member{self}, others...)
	slices.SortFunc(all, func(a, b Member) int {
		// A relay sends more than other gates, so those with fast links come first.
		return cmp.Or(cmp.Compare(b.LinkRate, a.LinkRate), cmp.Compare(hashAddr(a.Addr), hashAddr(b.Addr)), a.Addr.Compare(b.Addr))
	})
	all = slices.Compact(all)
	perZone := map[ident.Zone]int{}
	for _, m := range all {
		perZone[m.Zone]++
	}
	byName := map[string]*gateGroup{}
	var names []string
	for _, m := range all {
		name := m.Addr.String()
		if len(all) > maxDirect {
			name = string(m.Zone)
			if parts := (perZone[m.Zone] + maxGroup - 1) / maxGroup; parts > 1 {
				name += "/" + strconv.FormatUint(hashAddr(m.Addr)%uint64(parts), 10)
			}
		}
		if byName[name] == nil {
			byName[name] = &gateGroup{name: name}
			names = append(names, name)
		}
		byName[name].members = append(byName[name].members, m)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	t := &topology{places: make(map[netip.AddrPort]place, len(all)), size: len(all)}
	for i, name := range names {
		t.groups = append(t.groups, *byName[name])
		for rank, m := range byName[name].members {
			t.places[m.Addr] = place{i, rank}
		}
	}
	t.self = t.places[self.Addr]
	return t
}

func hashAddr(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }

// direct reports whether each gate is a group of its own.
func (t *topology) direct() bool { return t.size <= maxDirect }

// ownGroup returns the group of this gate.
func (t *topology) ownGroup() *gateGroup { return &t.groups[t.self.group] }

// member returns the member of the own group with the given rank, counted on
// from the start after the last one.
func (t *topology) member(rank int) netip.AddrPort {
	g := t.ownGroup()
	return g.members[rank%len(g.members)].Addr
}
