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
	// newVoter is the member that got its vote with this membership, or with the one
	// that this one settles; empty if there is none.
	newVoter string
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
	r := rosterAtIndex{index: e.Index, roster: roster, settled: len(n.rosters) == 0 || haveSameVoters(n.roster(), roster)}
	if !r.settled {
		r.newVoter = addedVoter(n.roster(), roster)
	} else if i := len(n.rosters) - 1; i >= 0 && !(n.rosters[i].settled && n.rosters[i].index <= n.commitIndex) {
		r.newVoter = n.rosters[i].newVoter
	}
	n.rosters = append(n.rosters, r)
	return nil
}

// addedVoter returns the voter of a membership that was none in the one before, if
// there is one.
func addedVoter(before, roster []Member) string {
	for _, m := range roster {
		if m.Voter && !slices.Contains(before, m) {
			return m.Name
		}
	}
	return ""
}

// isSettled reports whether the membership at an index needs no quorum of the one
// before it, in whatever logs it is.
func (n *Node) isSettled(index uint64) bool {
	return !slices.ContainsFunc(n.rosters, func(r rosterAtIndex) bool { return r.index == index && !r.settled })
}

// isSeatSettled reports whether the seat of a member no longer depends on the membership
// before it: until then the loss of another voter may not be borne.
func (n *Node) isSeatSettled(m Member) bool {
	last := n.rosters[len(n.rosters)-1]
	return m.Name != last.newVoter || last.settled && last.index <= n.commitIndex
}

// finishSettling ends the changes of the membership that wait to be settled.
func (n *Node) finishSettling(err error) {
	for _, p := range n.settling {
		p.finish(nil, err)
	}
	n.settling = nil
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
