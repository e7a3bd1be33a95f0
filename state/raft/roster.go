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
	// kindEmpty is the first entry of a leader's term. Entries of earlier
	// terms are committed together with it, never by counting replicas.
	kindEmpty = 2
)

// rosterAtIndex is a membership and the index of the log entry that sets it.
// It takes effect when that entry is appended, not when it is committed.
type rosterAtIndex struct {
	index  uint64
	roster []Member
	// settled is set if there is no membership before it that may have other
	// quorums: that one has the same voters and is committed.
	settled bool
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
		panic(err) // only for names that are not UTF-8, which AddLearner refuses
	}
	return data
}

// roster returns the membership in effect. The caller must not change it.
func (n *Node) roster() []Member {
	if len(n.rosters) == 0 {
		return nil
	}
	return n.rosters[len(n.rosters)-1].roster
}

// updateRoster puts the membership in an appended entry, if any, into effect.
func (n *Node) updateRoster(e store.Entry) error {
	// Memberships in the replaced part of the log are no longer in effect.
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
	// A leader appends a membership only after the one before is settled or
	// committed.
	settled := len(n.rosters) == 0 || haveSameVoters(n.roster(), roster)
	n.rosters = append(n.rosters, rosterAtIndex{index: e.Index, roster: roster, settled: settled})
	return nil
}

func haveSameVoters(a, b []Member) bool {
	isLearner := func(m Member) bool { return !m.Voter }
	return slices.Equal(slices.DeleteFunc(slices.Clone(a), isLearner), slices.DeleteFunc(slices.Clone(b), isLearner))
}

// mustSettle reports whether this leader has committed a membership that the other
// members can't know to be committed after they have all lost power.
func (n *Node) mustSettle() bool {
	if n.role != Leader || n.err != nil || n.diskFull || len(n.rosters) == 0 {
		return false
	}
	last := n.rosters[len(n.rosters)-1]
	return !last.settled && last.index <= n.commitIndex
}

// settleRoster appends a committed membership once more. Whoever has the second
// entry knows that the first one is committed, and needs no quorum of the
// membership before it.
func (n *Node) settleRoster() {
	if !n.mustSettle() {
		return
	}
	_ = n.appendEntries(store.Entry{Index: n.store.LastIndex() + 1, Term: n.term, Kind: kindRoster, Data: formatRoster(n.roster())})
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

// dropOldRosters removes memberships that were replaced by another one at or
// before index, which must be committed.
func (n *Node) dropOldRosters(index uint64) {
	dropped := false
	for len(n.rosters) > 1 && n.rosters[1].index <= index {
		n.rosters = n.rosters[1:]
		dropped = true
	}
	if dropped {
		n.forgetLosses()
	}
}

func (n *Node) findMember(name string) (Member, bool) {
	i := slices.IndexFunc(n.roster(), func(m Member) bool { return m.Name == name })
	if name == "" || i < 0 {
		return Member{}, false
	}
	return n.roster()[i], true
}

// isVoter reports whether this node, with its current disk, is a voter.
func (n *Node) isVoter() bool {
	m, ok := n.findMember(n.name)
	return ok && m.Voter && m.DiskID == n.store.DiskID()
}
