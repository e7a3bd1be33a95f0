package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

// fakeMembership records the last change of a membership.
type fakeMembership struct{ change string }

func (s *fakeMembership) AddLearner(_ context.Context, m raft.Member) error {
	s.change = "add " + m.Name
	return nil
}

func (s *fakeMembership) Promote(_ context.Context, name string) error {
	s.change = "promote " + name
	return nil
}

func (s *fakeMembership) Remove(_ context.Context, name string) error {
	s.change = "remove " + name
	return nil
}

// TestNextMembershipChange guards against a process that votes under its old
// name after it lost its disk, and against the removal of a voter before a
// learner has caught up: a second loss would then stop the cluster.
func TestNextMembershipChange(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	voter := func(name string, live bool) raft.MemberStatus {
		return raft.MemberStatus{Member: raft.Member{Name: name, Addr: name, Voter: true, DiskID: "d" + name}, Live: live}
	}
	learner := func(name, addr string, live bool) raft.MemberStatus {
		return raft.MemberStatus{Member: raft.Member{Name: name, Addr: addr, DiskID: "d" + name}, Live: live}
	}
	request := func(name, addr string) []raft.Member {
		return []raft.Member{{Name: name, Addr: addr, DiskID: "d" + name}}
	}
	three := []raft.MemberStatus{voter("a", true), voter("b", true), voter("c", true)}
	var nine []raft.MemberStatus
	for i := range maxVoters {
		nine = append(nine, voter(fmt.Sprint("v", i), true))
	}
	unreachable := []raft.MemberStatus{voter("a", true), voter("b", true), voter("c", false)}
	// The fourth voter was to replace c.
	replaced := append(slices.Clone(unreachable), voter("d", true))
	five := append(slices.Clone(replaced), voter("e", true))
	twoOfFiveLost := append(slices.Clone(replaced), voter("e", false))
	eight := append(slices.Clone(nine[:7]), voter("c", false))
	twoOfEightLost := append(slices.Clone(nine[:6]), voter("d", false), voter("c", false))
	twoSilent := func(d time.Duration) map[string]time.Time {
		return map[string]time.Time{"c": now.Add(-d), "d": now.Add(-d / 2), "e": now.Add(-d / 2)}
	}
	silent := func(d time.Duration) map[string]time.Time { return map[string]time.Time{"c": now.Add(-d)} }
	with := func(list []raft.MemberStatus, more ...raft.MemberStatus) []raft.MemberStatus {
		return append(append([]raft.MemberStatus(nil), list...), more...)
	}
	for name, x := range map[string]struct {
		members     []raft.MemberStatus
		joining     []raft.Member
		silentSince map[string]time.Time
		voters      int
		want        string
	}{
		"complete":                      {three, nil, nil, 3, ""},
		"voter unreachable":             {unreachable, nil, silent(time.Hour), 3, ""},
		"disk replaced":                 {unreachable, request("c/1", "c"), silent(time.Second), 3, "remove c"},
		"too few voters":                {unreachable[:2], request("c/1", "c"), nil, 3, "add c/1"},
		"another process asks":          {unreachable, request("d", "d"), silent(time.Second), 3, "add d"},
		"learner, all voters live":      {with(three, learner("d", "d", true)), nil, nil, 3, "promote d"},
		"learner, most voters possible": {with(nine, learner("d", "d", true)), nil, nil, 5, ""},
		"learner, voter shortly silent": {with(unreachable, learner("d", "d", true)), nil, silent(time.Second), 3, ""},
		"learner, voter long silent":    {with(unreachable, learner("d", "d", true)), nil, silent(time.Minute), 3, "remove c"},
		"learner that is behind":        {with(unreachable, learner("d", "d", false)), nil, silent(time.Minute), 3, ""},
		"replaced voter long silent":    {replaced, nil, silent(voterReplaceAfter), 3, "remove c"},
		"replaced voter shortly silent": {replaced, nil, silent(time.Second), 3, ""},
		"replaced voter, learner waits": {with(replaced, learner("l", "l", true)), nil, silent(voterReplaceAfter), 3, "remove c"},
		"one of five lost":              {five, nil, silent(time.Hour), 3, ""},
		"two of five lost":              {twoOfFiveLost, nil, twoSilent(deadVoterAfter), 3, "remove c"},
		"two of five cut off":           {twoOfFiveLost, nil, twoSilent(deadVoterAfter - 1), 3, ""},
		"one of eight lost":             {eight, nil, silent(time.Hour), 5, ""},
		"two of eight lost":             {twoOfEightLost, nil, twoSilent(voterReplaceAfter), 5, "remove c"},
		"learner caught up":             {with(unreachable[:2], learner("d", "d", true)), nil, nil, 3, "promote d"},
		"more voters wanted":            {with(three, learner("d", "d", true)), nil, nil, 5, "promote d"},
		"learner long silent":           {with(three, learner("d", "d", false)), nil, map[string]time.Time{"d": now.Add(-time.Minute)}, 3, "remove d"},
		"learner asks again":            {with(three, learner("d", "d", true)), request("d", "d"), nil, 3, "promote d"},
		"old process still answers":     {three, request("c/1", "c"), nil, 3, "add c/1"},
		"voter asks":                    {three, request("c", "c"), nil, 3, ""},
		"the leader's own address":      {three, request("a/1", "a"), nil, 3, "add a/1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeMembership{}
			if _, _, act := nextMembershipChange(x.members, x.joining, x.silentSince, "a", x.voters, now); act != nil {
				if err := act(t.Context(), s); err != nil {
					t.Fatal(err)
				}
			}
			if s.change != x.want {
				t.Errorf("got %q, want %q", s.change, x.want)
			}
		})
	}
}

// TestLossAfterPlannedReplacements guards against replaced processes that stay
// voters for good: the loss of as many disks as the cluster has to tolerate
// would then stop it.
func TestLossAfterPlannedReplacements(t *testing.T) {
	for name, x := range map[string]struct {
		members, targetVoters, replacements int
		atOnce                              bool // all new processes come before an old one leaves
	}{
		"one of three":             {3, 3, 1, false},
		"two of three in turn":     {3, 3, 2, false},
		"three of three at once":   {3, 3, 3, true},
		"two of five at once":      {5, 5, 2, true},
		"three of six in turn":     {6, 5, 3, false},
		"three of eight in turn":   {8, 5, 3, false},
		"five of eight at once":    {8, 5, 5, true},
		"one of four, spare voter": {4, 3, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &modelCluster{now: time.Unix(1_700_000_000, 0), silentSince: map[string]time.Time{}, target: x.targetVoters}
			for i := range x.members {
				c.members = append(c.members, raft.MemberStatus{Member: raft.Member{Name: fmt.Sprint("old", i), Addr: fmt.Sprint("old", i), Voter: true}, Live: true})
			}
			for i := range x.replacements {
				c.join(fmt.Sprint("new", i))
				if !x.atOnce {
					c.leave(fmt.Sprint("old", i))
				}
			}
			for i := range x.replacements {
				if x.atOnce {
					c.leave(fmt.Sprint("old", i))
				}
			}
			voters, live := c.voters()
			if left := live - x.targetVoters/2; left < voters/2+1 {
				t.Errorf("got %d live voters of %d, want a majority after %d of them lose their disks", live, voters, x.targetVoters/2)
			}
		})
	}
}

// TestMayRelease guards against a voter that stops and stays a voter though the
// others bear more losses without it, and against the release of one that they
// need.
func TestMayRelease(t *testing.T) {
	members := func(live, dead, learners int) (list []raft.MemberStatus) {
		for i := range live + dead + learners {
			list = append(list, raft.MemberStatus{Member: raft.Member{Name: fmt.Sprint("m", i), Voter: i < live+dead}, Live: i < live || i >= live+dead})
		}
		return list
	}
	for name, x := range map[string]struct {
		members []raft.MemberStatus
		stops   string
		target  int
		want    bool
	}{
		"all are needed":          {members(3, 0, 0), "m1", 3, false},
		"fourth voter":            {members(4, 0, 0), "m1", 3, true},
		"fourth, one is lost":     {members(3, 1, 0), "m1", 3, false},
		"fifth voter":             {members(5, 0, 0), "m1", 3, false},
		"fifth, one is lost":      {members(4, 1, 0), "m1", 3, true},
		"sixth of five":           {members(6, 0, 0), "m1", 5, true},
		"eighth of five":          {members(8, 0, 0), "m1", 5, false},
		"learner":                 {members(4, 0, 1), "m4", 3, false},
		"unknown":                 {members(4, 0, 0), "x", 3, false},
		"the leader does not ask": {members(4, 0, 0), "m0", 3, false},
	} {
		if got := mayRelease(x.members, x.stops, "m0", x.target); got != x.want {
			t.Errorf("%s: got %v, want %v", name, got, x.want)
		}
	}
}

// modelCluster is a cluster whose leader, the last member that joined, makes the
// changes of nextMembershipChange.
type modelCluster struct {
	now         time.Time
	members     []raft.MemberStatus
	silentSince map[string]time.Time
	target      int
}

func (c *modelCluster) AddLearner(_ context.Context, m raft.Member) error {
	c.members = append(c.members, raft.MemberStatus{Member: m, Live: true})
	return nil
}

func (c *modelCluster) Promote(_ context.Context, name string) error {
	c.members[c.index(name)].Voter = true
	return nil
}

func (c *modelCluster) Remove(_ context.Context, name string) error {
	c.members = slices.Delete(c.members, c.index(name), c.index(name)+1)
	return nil
}

func (c *modelCluster) index(name string) int {
	return slices.IndexFunc(c.members, func(m raft.MemberStatus) bool { return m.Name == name })
}

func (c *modelCluster) join(name string) { c.settle([]raft.Member{{Name: name, Addr: name}}) }

func (c *modelCluster) leave(name string) {
	if i := c.index(name); i >= 0 {
		c.members[i].Live = false
		c.silentSince[name] = c.now
	}
	c.settle(nil)
}

// settle lets a minute pass with all changes that the leader makes in it.
func (c *modelCluster) settle(joining []raft.Member) {
	for end := c.now.Add(time.Minute); c.now.Before(end); c.now = c.now.Add(membershipCheckInterval) {
		leader := c.members[len(c.members)-1].Name
		if _, _, act := nextMembershipChange(c.members, joining, c.silentSince, leader, c.target, c.now); act != nil {
			_ = act(context.Background(), c)
		}
	}
}

func (c *modelCluster) voters() (all, live int) {
	for _, m := range c.members {
		if m.Voter {
			all++
			if m.Live {
				live++
			}
		}
	}
	return all, live
}

// TestJoinRequests guards the requests to join: only the leader of a cluster
// that accepts processes records them, and it drops those that are not
// repeated.
func TestJoinRequests(t *testing.T) {
	bubble(t, func(r *testRig) {
		ask := &wire.Join{Name: "d", Addr: "d", Disk: "disk"}
		if err := r.node.recordJoinRequest(&wire.Join{Name: "d"}); fault.From(err).Kind != fault.Invalid {
			t.Errorf("got %v for a process without an address, want invalid", err)
		}
		if err := r.node.recordJoinRequest(ask); err != nil {
			t.Fatal(err)
		}
		if got := len(r.node.pendingJoins(time.Now())); got != 1 {
			t.Errorf("got %d pending requests, want 1", got)
		}
		time.Sleep(joinRequestTTL + time.Second)
		if got := len(r.node.pendingJoins(time.Now())); got != 0 {
			t.Errorf("got %d pending requests after they expired, want 0", got)
		}
		r.consensus.setElected(time.Time{})
		var notLeader raft.NotLeader
		if err := r.node.recordJoinRequest(ask); !errors.As(err, &notLeader) {
			t.Errorf("got %v at a follower, want not leader", err)
		}
	}, WithJoiningVoters(&fakeMembership{}, 3))
	bubble(t, func(r *testRig) {
		if err := r.node.recordJoinRequest(&wire.Join{Name: "d", Addr: "d", Disk: "x"}); fault.From(err).Kind != fault.Forbidden {
			t.Errorf("got %v in a cluster with fixed peers, want forbidden", err)
		}
	})
}
