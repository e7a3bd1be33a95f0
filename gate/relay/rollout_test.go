package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/stub/runner"
)

// During the canary stage of a rollout, sessions that the old version served
// stay there, and a share of the others goes to the new one. After the canary
// stage its outcome alone decides.
func TestServiceRollout(t *testing.T) {
	by := func(version string) runner.Reply { return runner.Events(1, 1, 0, "X-Version: "+version+"\r\n") }
	r := newRig(t, by("v1"), by("v2"))
	version := func(session, id string) string {
		return r.send(http.MethodPost, "/stream/x", id, map[string]string{"Session": session}).header.Get("X-Version")
	}
	r.fleet.Update(r.list[:1])
	for i := range 40 {
		version(fmt.Sprint("old", i), fmt.Sprint("a", i))
	}
	r.list[1].Version = "v2"
	r.fleet.Update(r.list)
	for i := range 40 {
		if got := version(fmt.Sprint("fresh", i), fmt.Sprint("b", i)); got != "v1" {
			t.Fatalf("got version %q before the rollout, want v1", got)
		}
	}
	rollout := conf.ServiceRollout{Target: "v2", DurationMillis: 10_000, Stage: conf.StageCanary, Number: 1}
	r.plan(2, map[ident.Service]conf.ServiceRollout{service: rollout})
	count := 0
	for i := range 40 {
		if got := version(fmt.Sprint("old", i), fmt.Sprint("c", i)); got != "v1" {
			t.Errorf("session old%d moved to %q", i, got)
		}
	}
	for i := range 200 {
		if version(fmt.Sprint("new", i), fmt.Sprint("d", i)) == "v2" {
			count++
		}
	}
	if count < 5 || count > 45 {
		t.Errorf("got %d of 200 new sessions on the canary, want about 20", count)
	}
	for _, x := range []struct {
		stage conf.ServiceRolloutStage
		want  string
	}{{conf.StageMoving, "v2"}, {conf.StageWithdrawn, "v1"}} {
		rollout.Stage = x.stage
		r.plan(ident.Revision(3+len(x.stage)), map[ident.Service]conf.ServiceRollout{service: rollout})
		for i := range 20 {
			if got := version(fmt.Sprint(x.stage, i), fmt.Sprint(x.stage, i)); got != x.want {
				t.Errorf("%s: got version %q, want %q", x.stage, got, x.want)
			}
		}
	}
}

// A session that another gate serves keeps its version here too.
func TestSessionOfPeer(t *testing.T) {
	by := func(version string) runner.Reply { return runner.Events(1, 1, 0, "X-Version: "+version+"\r\n") }
	r, other := newRig(t, by("v1"), by("v2")), newRig(t, by("v1"))
	r.fleet.Update(r.list[:1])
	r.send(http.MethodPost, "/stream/x", "first", nil)
	r.list[1].Version = "v2"
	r.fleet.Update(r.list)
	for i := range 60 {
		other.send(http.MethodPost, "/stream/x", fmt.Sprint("a", i), map[string]string{"Session": fmt.Sprint("s", i)})
	}
	r.relay.MergeSessions(other.relay.TakeServedSessions())
	if left := other.relay.TakeServedSessions(); len(left) != 0 {
		t.Errorf("got %d sessions a second time", len(left))
	}
	r.plan(2, map[ident.Service]conf.ServiceRollout{service: {Target: "v2", DurationMillis: 10_000, Stage: conf.StageCanary, Number: 1}})
	for i := range 60 {
		got := r.send(http.MethodPost, "/stream/x", fmt.Sprint("b", i), map[string]string{"Session": fmt.Sprint("s", i)}).header.Get("X-Version")
		if got != "v1" {
			t.Errorf("session s%d, which another gate serves, moved to %q", i, got)
		}
	}
}

// Gates that know nothing of each other's sessions agree on those that a version
// in its canary stage may get. Otherwise each of many gates would give it other
// sessions, and move them from the version that serves them elsewhere.
func TestCandidateSessions(t *testing.T) {
	const gates, sessionCount = 16, 150
	by := func(version string) runner.Reply { return runner.Events(1, 1, 0, "X-Version: "+version+"\r\n") }
	var all, moved []string
	for i := range sessionCount {
		all = append(all, fmt.Sprint("s", i))
	}
	for range gates {
		r := newRig(t, by("v1"), by("v2"))
		r.fleet.Update(r.list[:1])
		r.send(http.MethodPost, "/stream/x", "first", nil)
		r.list[1].Version = "v2"
		r.fleet.Update(r.list)
		r.plan(2, map[ident.Service]conf.ServiceRollout{service: {Target: "v2", DurationMillis: 10_000, Stage: conf.StageCanary, Number: 1}})
		for i := range all {
			s := all[(i*7+11*len(moved))%len(all)] // in another order at each gate
			if got := r.send(http.MethodPost, "/stream/x", "r"+s, map[string]string{"Session": s}).header.Get("X-Version"); got == "v2" && !slices.Contains(moved, s) {
				moved = append(moved, s)
			}
		}
	}
	// The canary share is 0.1; four times as many sessions are candidates.
	if len(moved) == 0 || len(moved) > sessionCount/2 {
		t.Errorf("the canary got %d of %d sessions at %d gates, want some and at most half", len(moved), sessionCount, gates)
	}
}
