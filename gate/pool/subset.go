package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
)

// DefaultLinkCount is the default number of links of a gate for each model
// version or service. Ejection keeps 70 % in use, so it can eject 2 of 8. If one
// backend server in ten is slow, more than 2 of 8 are slow in 4 % of the draws;
// of 6 links it could eject only 1, which is too few in 11 % of the draws. The
// remaining 6 suffice for the choice of two. Every link costs control traffic:
// 14 versions make 112 links, with 19 + 14 B/s each at rest.
const DefaultLinkCount = 8

// remoteShareDivisor sets the share of links to other zones, one in
// remoteShareDivisor, so that a gate keeps some links when it loses the backend
// servers of its own zone.
const remoteShareDivisor = 4

type rankedMember struct {
	id    ident.Backend
	local bool
	score uint64
}

// chooseSubset returns the members that a gate links to: for each service and
// each model version the given number of links, three in four of them in the
// gate's own zone. Rendezvous hashing with the gate's name spreads the gates
// evenly over the members, and a member that joins or leaves changes at most one
// link of a gate. If a group has too few members in the own zone or in the
// others, the rest is taken from the other side.
func chooseSubset(gate string, zone ident.Zone, view *conf.View, links int) map[ident.Backend]conf.Member {
	groups := map[string][]rankedMember{}
	sizes := map[string]int{}
	own := xxhash.Sum64String(gate)
	for id, m := range view.Members {
		r := rankedMember{id: id, local: m.Zone == zone, score: mixHashes(own, xxhash.Sum64String(string(id)))}
		for name, versions := range linkGroups(view, m) {
			groups[name] = append(groups[name], r)
			sizes[name] = links * versions
		}
	}
	want := map[ident.Backend]conf.Member{}
	for name, list := range groups {
		for _, r := range topRanked(list, sizes[name]) {
			want[r.id] = view.Members[r.id]
		}
	}
	return want
}

// topRanked returns the n members with the highest scores, with the share of
// other zones, or all if there are fewer.
func topRanked(list []rankedMember, n int) []rankedMember {
	slices.SortFunc(list, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	var local, other []rankedMember
	for _, r := range list {
		if r.local {
			local = append(local, r)
		} else {
			other = append(other, r)
		}
	}
	remote := min(len(other), max(n/remoteShareDivisor, n-len(local)))
	return append(local[:min(len(local), n-remote):len(local)], other[:remote]...)
}

// linkGroups returns the groups that a member belongs to, with the number of
// versions in each. The platform's list names only models; which version a
// backend server runs is known only once it is linked. So a model with several
// versions gets links for all of them.
func linkGroups(view *conf.View, m conf.Member) map[string]int {
	if m.Service != "" {
		return map[string]int{"service " + string(m.Service): 1}
	}
	groups := map[string]int{}
	for _, model := range m.Models {
		groups["model "+string(model)] = activeVersions(view, model)
	}
	if len(groups) == 0 {
		all := 0
		for model := range view.Models {
			all += activeVersions(view, model)
		}
		groups["any model"] = max(1, all)
	}
	return groups
}

// activeVersions returns the number of versions of a model that are not
// withdrawn, at least 1.
func activeVersions(view *conf.View, model ident.Model) int {
	n := 0
	for _, v := range view.Models[model].Versions {
		if _, gone := view.Withdrawn[ident.Target{Model: model, Version: v}]; !gone {
			n++
		}
	}
	return max(1, n)
}

// mixHashes combines two hashes with the finalizer of splitmix64, which makes
// every bit of the result depend on every bit of both.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
