package raft

import (
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"citronledge.example/state/store"
)

// Kinds of log entries.
const (
	kindCommand = 0
	kindRoster  = 1
	// kindEmpty starts the term of a leader: entries of earlier terms are
	// committed with it and never by counting.
	kindEmpty = 2
)

// stage is a membership and the log entry from which on it holds. It holds
// from the moment it is appended, not committed.
type stage struct {
	index  uint64
	roster []Member
}

func parseRoster(data []byte) ([]Member, error) {
	var r Roster
	if err := proto.Unmarshal(data, &r); err != nil {
		return nil, eris.Wrap(err, "the membership is not valid")
	}
	var list []Member
	for _, s := range r.Seats {
		list = append(list, Member{Name: s.Name, Addr: s.Addr, Voter: s.Voter, DiskID: s.Disk})
	}
	return list, nil
}

func formatRoster(list []Member) []byte {
	r := &Roster{}
	for _, m := range list {
		r.Seats = append(r.Seats, &Seat{Name: m.Name, Addr: m.Addr, Voter: m.Voter, Disk: m.DiskID})
	}
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err) // only for names that are not UTF-8, which change refuses
	}
	return data
}

// roster returns the membership in effect. It must not be changed.
func (n *Node) roster() []Member {
	if len(n.rosters) == 0 {
		return nil
	}
	return n.rosters[len(n.rosters)-1].roster
}

// enlist puts the membership of an appended entry into effect.
func (n *Node) enlist(e store.Entry) error {
	// A replaced end of the log takes its memberships with it.
	for len(n.rosters) > 0 && n.rosters[len(n.rosters)-1].index >= e.Index {
		n.rosters = n.rosters[:len(n.rosters)-1]
	}
	if e.Kind != kindRoster {
		return nil
	}
	roster, err := parseRoster(e.Data)
	if err != nil {
		return err
	}
	n.rosters = append(n.rosters, stage{index: e.Index, roster: roster})
	return nil
}

// rosterAt returns the membership at an index, for a snapshot.
func (n *Node) rosterAt(index uint64) []Member {
	var roster []Member
	for _, s := range n.rosters {
		if s.index <= index {
			roster = s.roster
		}
	}
	return roster
}

// trim forgets memberships that a later committed one replaced.
func (n *Node) trim(index uint64) {
	for len(n.rosters) > 1 && n.rosters[1].index <= index {
		n.rosters = n.rosters[1:]
	}
}

func (n *Node) find(name string) (Member, bool) {
	i := slices.IndexFunc(n.roster(), func(m Member) bool { return m.Name == name })
	if name == "" || i < 0 {
		return Member{}, false
	}
	return n.roster()[i], true
}

// voter tells whether this node, with this disk, has a vote.
func (n *Node) voter() bool {
	m, ok := n.find(n.name)
	return ok && m.Voter && m.DiskID == n.store.DiskID()
}

// majority tells whether the voters for which f is true are a majority.
func (n *Node) majority(f func(m Member) bool) bool { return majorityOf(n.roster(), f) }

func majorityOf(roster []Member, f func(m Member) bool) bool {
	voters, yes := 0, 0
	for _, m := range roster {
		if !m.Voter {
			continue
		}
		voters++
		if f(m) {
			yes++
		}
	}
	return yes > voters/2
}

// reached returns the highest value that a majority of voters has reached.
func (n *Node) reached(value func(m Member) int64) int64 {
	var list []int64
	for _, m := range n.roster() {
		if m.Voter {
			list = append(list, value(m))
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
