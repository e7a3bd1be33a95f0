package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
)

// subsetSize bounds the links of one gate for each model or service.
// Rendezvous hashing with the gate's name spreads the gates evenly, and a
// member that comes or goes changes one link of a gate at most.
const subsetSize = 64

type ranked struct {
	id    ident.Backend
	local bool
	score uint64
}

// subset returns the members that a gate links to: for each model or service
// at most subsetSize, those of its own zone first.
func subset(gate string, zone ident.Zone, members map[ident.Backend]conf.Member) map[ident.Backend]conf.Member {
	groups := map[string][]ranked{}
	for id, m := range members {
		r := ranked{id: id, local: m.Zone == zone, score: mix(xxhash.Sum64String(gate), xxhash.Sum64String(string(id)))}
		for _, name := range purposes(m) {
			groups[name] = append(groups[name], r)
		}
	}
	want := map[ident.Backend]conf.Member{}
	for _, list := range groups {
		slices.SortFunc(list, func(a, b ranked) int {
			if a.local != b.local {
				if a.local {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
		})
		for _, r := range list[:min(len(list), subsetSize)] {
			want[r.id] = members[r.id]
		}
	}
	return want
}

func purposes(m conf.Member) []string {
	if m.Service != "" {
		return []string{"service " + string(m.Service)}
	}
	if len(m.Models) == 0 {
		return []string{"any model"}
	}
	names := make([]string, len(m.Models))
	for i, model := range m.Models {
		names[i] = "model " + string(model)
	}
	return names
}

// mix combines two hashes; it is the finalizer of splitmix64, which makes
// every bit of the result depend on every bit of both.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
