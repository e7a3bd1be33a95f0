package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

// seats records the changes of a membership.
type seats struct{ did string }

func (s *seats) AddLearner(_ context.Context, m raft.Member) error {
	s.did = "add " + m.Name
	return nil
}

func (s *seats) Promote(_ context.Context, name string) error { s.did = "promote " + name; return nil }

func (s *seats) Remove(_ context.Context, name string) error { s.did = "remove " + name; return nil }

// A disk that came back empty must not vote under its old name, and no voter may
// be removed before a successor has caught up: a second loss would stop the
// cluster.
func TestNextSeat(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	voter := func(name string, live bool) raft.MemberStatus {
		return raft.MemberStatus{Member: raft.Member{Name: name, Addr: name, Voter: true, DiskID: "d" + name}, Live: live}
	}
	learner := func(name, addr string, live bool) raft.MemberStatus {
		return raft.MemberStatus{Member: raft.Member{Name: name, Addr: addr, DiskID: "d" + name}, Live: live}
	}
	asks := func(name, addr string) []raft.Member {
		return []raft.Member{{Name: name, Addr: addr, DiskID: "d" + name}}
	}
	three := []raft.MemberStatus{voter("a", true), voter("b", true), voter("c", true)}
	lost := []raft.MemberStatus{voter("a", true), voter("b", true), voter("c", false)}
	silent := func(d time.Duration) map[string]time.Time { return map[string]time.Time{"c": now.Add(-d)} }
	with := func(list []raft.MemberStatus, more ...raft.MemberStatus) []raft.MemberStatus {
		return append(append([]raft.MemberStatus(nil), list...), more...)
	}
	for name, x := range map[string]struct {
		members []raft.MemberStatus
		waiting []raft.Member
		quiet   map[string]time.Time
		voters  int
		want    string
	}{
		"complete":                         {three, nil, nil, 3, ""},
		"one is away":                      {lost, nil, silent(time.Hour), 3, ""},
		"its disk was replaced":            {lost, asks("c/1", "c"), silent(time.Second), 3, "remove c"},
		"its seat is free":                 {lost[:2], asks("c/1", "c"), nil, 3, "add c/1"},
		"a successor asks":                 {lost, asks("d", "d"), silent(time.Second), 3, "add d"},
		"a successor, the old one back":    {with(three, learner("d", "d", true)), nil, nil, 3, ""},
		"a successor, shortly silent":      {with(lost, learner("d", "d", true)), nil, silent(time.Second), 3, ""},
		"a successor, long silent":         {with(lost, learner("d", "d", true)), nil, silent(time.Minute), 3, "remove c"},
		"a successor that is behind":       {with(lost, learner("d", "d", false)), nil, silent(time.Minute), 3, ""},
		"caught up":                        {with(lost[:2], learner("d", "d", true)), nil, nil, 3, "promote d"},
		"more voters wanted":               {with(three, learner("d", "d", true)), nil, nil, 5, "promote d"},
		"a learner that went away":         {with(three, learner("d", "d", false)), nil, map[string]time.Time{"d": now.Add(-time.Minute)}, 3, "remove d"},
		"known already":                    {with(three, learner("d", "d", true)), asks("d", "d"), nil, 3, ""},
		"the old process still answers":    {three, asks("c/1", "c"), nil, 3, "add c/1"},
		"a member that asks for a seat":    {three, asks("c", "c"), nil, 3, ""},
		"the leader's own address is safe": {three, asks("a/1", "a"), nil, 3, "add a/1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &seats{}
			if _, _, act := nextSeat(x.members, x.waiting, x.quiet, "a", x.voters, now); act != nil {
				if err := act(t.Context(), s); err != nil {
					t.Fatal(err)
				}
			}
			if s.did != x.want {
				t.Errorf("got %q, want %q", s.did, x.want)
			}
		})
	}
}

// Only the leader of a cluster that takes in processes notes their wish, and
// forgets it when it is not repeated.
func TestJoins(t *testing.T) {
	bubble(t, func(r *rig) {
		ask := &wire.Join{Name: "d", Addr: "d", Disk: "disk"}
		if err := r.node.joins(&wire.Join{Name: "d"}); fault.From(err).Kind != fault.Invalid {
			t.Errorf("got %v for a process without an address, want invalid", err)
		}
		if err := r.node.joins(ask); err != nil {
			t.Fatal(err)
		}
		if got := len(r.node.waiting(time.Now())); got != 1 {
			t.Errorf("got %d waiting, want 1", got)
		}
		time.Sleep(joinFresh + time.Second)
		if got := len(r.node.waiting(time.Now())); got != 0 {
			t.Errorf("got %d waiting after a silence, want 0", got)
		}
		r.cons.elect(time.Time{})
		var not raft.NotLeader
		if err := r.node.joins(ask); !errors.As(err, &not) {
			t.Errorf("got %v at a follower, want not leader", err)
		}
	}, WithJoiningVoters(&seats{}, 3))
	bubble(t, func(r *rig) {
		if err := r.node.joins(&wire.Join{Name: "d", Addr: "d", Disk: "x"}); fault.From(err).Kind != fault.Forbidden {
			t.Errorf("got %v in a cluster with fixed peers, want forbidden", err)
		}
	})
}
