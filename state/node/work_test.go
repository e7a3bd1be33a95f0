package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/client"
	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

// TestEqualNumbers guards against two operators whose changes with the same
// number are both reported as accepted.
func TestEqualNumbers(t *testing.T) {
	bubble(t, func(r *testRig) {
		var won, lost atomic.Int32
		var wg sync.WaitGroup
		for _, value := range []string{`{"body":1}`, `{"body":2}`, `{"body":3}`} {
			c, _ := r.client()
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				_, err := c.Propose(r.ctx, changeCommand(1, "limits", value))
				switch f := fault.From(err); {
				case err == nil:
					won.Add(1)
				case f.Kind == fault.Conflict && strings.Contains(f.Message, "made by op"):
					lost.Add(1)
				}
			})
		}
		wg.Wait()
		if won.Load() != 1 || lost.Load() != 2 {
			t.Errorf("got %d accepted and %d refused changes, want 1 and 2", won.Load(), lost.Load())
		}
	})
}

// TestBatch guards the results of batched commands: each sender gets the one of
// its own command.
func TestBatch(t *testing.T) {
	bubble(t, func(r *testRig) {
		r.commit(&wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Name: "gate"}}})
		r.consensus.delay = time.Millisecond // the others arrive while the first commits
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				session := string(rune('a' + i%5))
				res, err := r.node.handleCommand(r.ctx, link.Peer{Role: link.RoleProcess}, &wire.Command{Kind: &wire.Command_Pin{
					Pin: &wire.Pin{Customer: "c", Session: session, Model: "m", Version: "v" + session},
				}})
				if got := res.GetPinned().GetVersion(); err != nil || got != "v"+session {
					t.Errorf("session %s: got version %q, %v", session, got, err)
				}
			})
		}
		wg.Wait()
		if got := len(r.consensus.commands); got > 3 {
			t.Errorf("got %d log records for 50 pins, want the enrolment and two batches", got)
		}
	})
}

// TestRoles guards against commands that an operator's key must not allow, and
// against an audit trail that names another operator than the one who signed.
func TestRoles(t *testing.T) {
	bubble(t, func(r *testRig) {
		peer := link.Peer{Role: operatorKeys.SigningKey().Role, KeyName: "amina"}
		for name, c := range map[string]*wire.Command{
			"bills":   {Kind: &wire.Command_Bills{Bills: &wire.Bills{}}},
			"members": {Kind: &wire.Command_Members{Members: &wire.Members{}}},
			"begin":   {Kind: &wire.Command_Begin{Begin: &wire.Begin{}}},
		} {
			if _, err := r.node.handleCommand(r.ctx, peer, c); fault.From(err) == nil || fault.From(err).Kind != fault.Forbidden {
				t.Errorf("%s: got %v, want it forbidden", name, err)
			}
		}
		if _, err := r.node.handleCommand(r.ctx, peer, changeCommand(1, "limits", "{}")); err != nil {
			t.Errorf("change: got %v, want it accepted", err)
		}
		if _, err := r.node.handleCommand(r.ctx, peer, &wire.Command{Kind: &wire.Command_Evacuate{Evacuate: &wire.Evacuate{Zone: "b"}}}); err != nil {
			t.Errorf("evacuation: got %v, want it accepted", err)
		}
		audits := r.node.ledger.Audits(0, 0)
		if got := audits[len(audits)-1].GetActor(); got != "amina" {
			t.Errorf("got actor %q, want the name of the key", got)
		}
	})
}

// TestMembers guards against a faulty list that takes backend servers out of
// use: a failed or empty list changes nothing, and a missing member is gone
// only after 10 s.
func TestMembers(t *testing.T) {
	body := atomic.Pointer[string]{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if *body.Load() == "" {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = w.Write([]byte(*body.Load()))
	}))
	defer srv.Close()
	a, b := `{"name":"a","addr":"h:1","zone":"z","state":"live"}`, `{"name":"b","addr":"h:2","zone":"z","state":"live"}`
	leaving := strings.Replace(a, "live", "leaving", 1)
	m := NewMachine()
	n, err := New(WithConsensus(&singleMember{machine: m}), WithMachine(m), WithLink(link.Config{Name: "s1", Keys: processKeys}))
	if err != nil {
		t.Fatal(err)
	}
	e := newEpoch(time.Now(), 0)
	now := time.Now()
	steps := []struct {
		body  string
		pause time.Duration
		want  string
	}{
		{"[" + a + "," + b + "]", 0, "+members/a +members/b"},
		{"[" + leaving + "]", time.Second, "+members/a"},
		{"[]", 20 * time.Second, "error"},
		{"", 0, "error"},
		{"null", 0, "error"},
		{"[" + leaving + "," + b + "]", 0, ""},
		{"[" + leaving + "]", time.Second, ""},
		{"[" + leaving + "]", memberGoneAfter - time.Millisecond, ""},
		{"[" + strings.Replace(a, "live", "odd", 1) + "]", time.Millisecond, "-members/b"},
	}
	for i, s := range steps {
		body.Store(&s.body)
		now = now.Add(s.pause)
		var got []string
		list, err := fetchMembers(context.Background(), srv.URL)
		if err != nil {
			got = []string{"error"}
		} else {
			entries := n.memberChanges(e, list, now)
			for _, x := range entries {
				got = append(got, map[bool]string{true: "-", false: "+"}[x.GetGone()]+x.GetKey())
			}
			n.epoch = e
			apply(t, m, &wire.Command{Kind: &wire.Command_Members{Members: &wire.Members{Entries: entries}}})
		}
		if strings.Join(got, " ") != s.want {
			t.Errorf("step %d: got %q, want %q", i, strings.Join(got, " "), s.want)
		}
	}
}

func apply(t *testing.T, m *Machine, c *wire.Command) {
	t.Helper()
	a := &singleMember{machine: m, elected: time.Now()}
	data, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.Propose(context.Background(), data); err != nil {
		t.Fatal(err)
	}
}

// TestRollout guards the sums that decide on a rollout: all gates count,
// also a retired one, and each step needs answers of its own.
func TestRollout(t *testing.T) {
	judge := func(_ int, _, next policy.Stats) (policy.Verdict, policy.Reason) {
		switch {
		case next.Failures >= 10:
			return policy.Halt, "errors"
		case next.Answers >= 100:
			return policy.Advance, "enough"
		}
		return policy.Continue, "more"
	}
	bubble(t, func(r *testRig) {
		var answers, failures atomic.Int64
		tallies := client.WithTallies(func() []*wire.Tally {
			return []*wire.Tally{{Model: "small", Version: "v2", Answers: answers.Load(), Failures: failures.Load()}}
		})
		_, _, stop := r.holdLease(tallies)
		r.holdLease(tallies)
		r.commit(changeCommand(1, "rollouts/small", `{"from":"v1","to":"v2","steps":[0.1,0.5],"step":0,"phase":"running","auto":true}`))
		steps := []struct {
			answers, failures int64
			step              int
			phase             conf.Phase
		}{
			{49, 0, 0, conf.RolloutRunning},
			{50, 0, 1, conf.RolloutRunning},
			{99, 0, 1, conf.RolloutRunning},
			{99, 4, 1, conf.RolloutRunning},
			{99, 6, 1, conf.RolloutHalted}, // 4 of the retired gate and 6 of the other
		}
		for i, s := range steps {
			if i == 4 {
				stop()
			}
			time.Sleep(time.Second)
			answers.Store(s.answers)
			failures.Store(s.failures)
			time.Sleep(minStepTime + 4*time.Second)
			got := r.node.rollouts()[ident.Model("small")]
			if got.StepIndex != s.step || got.Phase != s.phase {
				t.Errorf("step %d: got step %d %s (%s), want %d %s", i, got.StepIndex, got.Phase, got.Reason, s.step, s.phase)
			}
		}
		entry, _ := json.Marshal(r.node.rollouts()["small"])
		if !strings.Contains(string(entry), "errors") {
			t.Errorf("got %s, want the reason of the halt", entry)
		}
	}, WithRolloutJudge(judge))
}

// TestTrial guards the limit on false halts: each step and each leader has a
// trial of its own with a number that was not used before, nothing from before
// the trial counts, and a step lasts its minimum time. It also guards against a
// change of the configuration at each check.
func TestTrial(t *testing.T) {
	var mu sync.Mutex
	statsByTrial := map[int]policy.Stats{}
	judge := func(trial int, _, next policy.Stats) (policy.Verdict, policy.Reason) {
		mu.Lock()
		defer mu.Unlock()
		statsByTrial[trial] = next
		if next.Answers >= 100 {
			return policy.Advance, "enough"
		}
		return policy.Continue, policy.Reason([]string{"ratings", "slow"}[time.Now().Second()%2])
	}
	answersOf := func(trial int) int64 {
		mu.Lock()
		defer mu.Unlock()
		return statsByTrial[trial].Answers
	}
	bubble(t, func(r *testRig) {
		var answers, failures atomic.Int64
		var known atomic.Bool
		r.holdLease(client.WithTallies(func() []*wire.Tally {
			if !known.Load() { // a gate reports a version once it knows its rollout
				return []*wire.Tally{{Model: "other", Version: "v1"}}
			}
			return []*wire.Tally{{Model: "small", Version: "v2", Answers: answers.Load(), Failures: failures.Load()}}
		}))
		answers.Store(1000)
		get := func() conf.Rollout { return r.node.rollouts()["small"] }
		before := r.commit(changeCommand(1, "rollouts/small", `{"from":"v1","to":"v2","steps":[0.1,0.5,1],"phase":"running","auto":true}`))
		time.Sleep(1500 * time.Millisecond)
		known.Store(true)
		time.Sleep(3 * time.Second)
		answers.Add(50)
		time.Sleep(10 * time.Minute)
		if got := answersOf(0); got != 50 {
			t.Errorf("got %d answers in the first trial, want 50 without the ones before it", got)
		}
		if got := get(); !strings.HasPrefix(got.Reason, "waits: ") || got.StepIndex != 0 {
			t.Errorf("got step %d (%s), want a reason for the wait", got.StepIndex, got.Reason)
		}
		if n := r.node.ledger.Revision() - before; n > 11 {
			t.Errorf("got %d changes in 10 min, want at most one a minute", n)
		}
		r.consensus.setElected(time.Now())
		time.Sleep(10 * time.Second)
		answers.Add(60)
		time.Sleep(5 * time.Second)
		if got := get(); answersOf(1) != 60 || got.StepIndex != 0 || got.TestCount != 2 {
			t.Errorf("got %d answers in trial %d, step %d under the new leader, want 60 in trial 2, step 0", answersOf(1), got.TestCount, got.StepIndex)
		}
		answers.Add(40)
		time.Sleep(30 * time.Second)
		if got := get().StepIndex; got != 0 {
			t.Errorf("got step %d within the minimum time of a step, want 0", got)
		}
		time.Sleep(30 * time.Second)
		answers.Add(100)
		time.Sleep(30 * time.Second)
		if got := get(); got.StepIndex != 1 || got.TestCount != 3 || answersOf(2) != 100 {
			t.Errorf("got step %d, trial %d with %d answers, want step 1, trial 3 with 100", got.StepIndex, got.TestCount, answersOf(2))
		}
	}, WithRolloutJudge(judge))
}
