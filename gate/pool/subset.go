package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
)

// DefaultLinkCount is the number of links of a gate for each model version or
// service. Ejection leaves 70 % in use, so of 8 it can take out 2; with one in
// ten slowed, more than 2 of 8 are slow in 4 % of the draws (of 6, it could take
// out only 1, which is too few in 11 %). The 6 that are left give the choice of
// two enough to choose from. More links cost control traffic on each: 14
// versions make 112 links, with 19 + 14 B/s each at rest.
const DefaultLinkCount = 8

// away is the part of the links that go to other zones, one in away, so that a
// gate has some left when the backend servers of its zone are lost.
const away = 4

type ranked struct {
	id    ident.Backend
	local bool
	score uint64
}

// subset returns the members that a gate links to: for each service and each
// version of a model as many as size, three in four of its own zone.
// Rendezvous hashing with the gate's name spreads the gates evenly, and a
// member that comes or goes changes one link of a gate at most. A group that
// is too small in the own zone or elsewhere is filled up from the other.
func subset(gate string, zone ident.Zone, view *conf.View, size int) map[ident.Backend]conf.Member {
	groups := map[string][]ranked{}
	sizes := map[string]int{}
	own := xxhash.Sum64String(gate)
	for id, m := range view.Members {
		r := ranked{id: id, local: m.Zone == zone, score: mix(own, xxhash.Sum64String(string(id)))}
		for name, versions := range purposes(view, m) {
			groups[name] = append(groups[name], r)
			sizes[name] = size * versions
		}
	}
	want := map[ident.Backend]conf.Member{}
	for name, list := range groups {
		for _, r := range choose(list, sizes[name]) {
			want[r.id] = view.Members[r.id]
		}
	}
	return want
}

// choose returns n of the list, or all.
func choose(list []ranked, n int) []ranked {
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	var local, other []ranked
	for _, r := range list {
		if r.local {
			local = append(local, r)
		} else {
			other = append(other, r)
		}
	}
	far := min(len(other), max(n/away, n-len(local)))
	return append(local[:min(len(local), n-far):len(local)], other[:far]...)
}

// purposes returns the groups that a member belongs to, with the number of
// versions that each has. The platform's list names models, and which version
// a runner serves is known only over its link, so a model with several
// versions gets links for all of them.
func purposes(view *conf.View, m conf.Member) map[string]int {
	if m.Service != "" {
		return map[string]int{"service " + string(m.Service): 1}
	}
	groups := map[string]int{}
	for _, model := range m.Models {
		groups["model "+string(model)] = versions(view, model)
	}
	if len(groups) == 0 {
		all := 0
		for model := range view.Models {
			all += versions(view, model)
		}
		groups["any model"] = max(1, all)
	}
	return groups
}

// versions counts the versions of a model that may serve, at least 1.
func versions(view *conf.View, model ident.Model) int {
	n := 0
	for _, v := range view.Models[model].Versions {
		if _, gone := view.Withdrawn[ident.Target{Model: model, Version: v}]; !gone {
			n++
		}
	}
	return max(1, n)
}

// mix combines two hashes; it is the finalizer of splitmix64, which makes
// every bit of the result depend on every bit of both.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
