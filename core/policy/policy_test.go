package policy

import (
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
)

func TestAssign(t *testing.T) {
	at := func(phase conf.Phase, share ident.Share) conf.Rollout {
		return conf.Rollout{From: "v1", To: "v2", Steps: []ident.Share{share}, Phase: phase}
	}
	both := []ident.Version{"v1", "v2"}
	for name, test := range map[string]struct {
		versions   []ident.Version
		rollout    conf.Rollout
		hasRollout bool
		want       ident.Version
		reason     Reason
	}{
		"nothing allowed":     {nil, at(conf.RolloutRunning, 1), true, "", ReasonNone},
		"no rollout":          {both, conf.Rollout{}, false, "v2", ReasonPreferred},
		"full share":          {both, at(conf.RolloutRunning, 1), true, "v2", ReasonInRollout},
		"no share":            {both, at(conf.RolloutRunning, 0), true, "v1", ReasonOutsideRollout},
		"halted":              {both, at(conf.RolloutHalted, 1), true, "v1", ReasonOutsideRollout},
		"reverted":            {both, at(conf.RolloutReverted, 1), true, "v1", ReasonOutsideRollout},
		"finished":            {both, at(conf.RolloutFinished, 0), true, "v2", ReasonInRollout},
		"no steps":            {both, conf.Rollout{From: "v1", To: "v2", Phase: conf.RolloutRunning}, true, "v1", ReasonOutsideRollout},
		"new one not allowed": {[]ident.Version{"v0", "v1"}, at(conf.RolloutRunning, 1), true, "v1", ReasonOutsideRollout},
		"old one not allowed": {[]ident.Version{"v0", "v2"}, at(conf.RolloutHalted, 1), true, "v0", ReasonOtherVersion},
		"only the new one":    {[]ident.Version{"v2"}, at(conf.RolloutHalted, 1), true, "v2", ReasonOtherVersion},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				got, reason := AssignVersion(seed, test.versions, test.rollout, test.hasRollout)
				if got != test.want || reason != test.reason {
					t.Fatalf("got %q %s, want %q %s", got, reason, test.want, test.reason)
				}
			}
		})
	}
}

// A growing rollout must not move a session back to the old version.
func TestAssignGrows(t *testing.T) {
	count := 0
	for seed := range uint64(10_000) {
		hadNew := false
		for _, share := range []ident.Share{0.05, 0.3, 1} {
			v, _ := AssignVersion(seed, []ident.Version{"v1", "v2"}, conf.Rollout{From: "v1", To: "v2", Steps: []ident.Share{share}, Phase: conf.RolloutRunning}, true)
			if hadNew && v != "v2" {
				t.Fatalf("seed %d moves back at share %v", seed, share)
			}
			if hadNew = v == "v2"; hadNew && share == 0.05 {
				count++
			}
		}
	}
	if count < 400 || count > 600 {
		t.Errorf("got %d of 10000 at a share of 5 %%", count)
	}
}

func TestBudget(t *testing.T) {
	for name, test := range map[string]struct {
		share, burst float64
		earn, want   int
	}{
		"idle":           {0.05, 10, 0, 1},
		"five in 100":    {0.05, 10, 100, 6},
		"at most burst":  {0.05, 10, 10_000, 10},
		"no share":       {0, 10, 100, 0},
		"negative":       {-1, -1, 100, 0},
		"burst under 1":  {0.05, 0.5, 100, 0},
		"share of 100 %": {1, 5, 3, 4},
	} {
		b, got := NewBudget(test.share, test.burst), 0
		for range test.earn {
			b.RecordRequest()
		}
		for b.TrySpend() {
			got++
		}
		if got != test.want {
			t.Errorf("%s: got %d, want %d", name, got, test.want)
		}
	}
}

func TestHedger(t *testing.T) {
	h := NewHedger(0.9)
	for i := range minHedgeSamples {
		if d, ok := h.Delay(ident.Chat, "m"); ok {
			t.Fatalf("got %v after %d observations, want none", d, i)
		}
		h.Observe(ident.Chat, "m", time.Duration(i%10+1)*100*time.Millisecond)
	}
	if d, _ := h.Delay(ident.Chat, "m"); d < 900*time.Millisecond || d > time.Second {
		t.Errorf("got %v, want 0.9 s to 1 s", d)
	}
	if _, ok := h.Delay(ident.Report, "m"); ok {
		t.Error("got a delay for a kind without observations")
	}
	// When everything becomes slow the delay must follow; otherwise all requests
	// would be hedged.
	for range 3 * hedgeHalvingInterval {
		h.Observe(ident.Chat, "m", 30*time.Second)
	}
	for _, d := range []time.Duration{-time.Second, 0, 1000 * time.Hour} {
		h.Observe(ident.Chat, "m", d) // the first and the last bucket
	}
	if d, _ := h.Delay(ident.Chat, "m"); d < 30*time.Second || d > 33*time.Second {
		t.Errorf("got %v, want about 30 s", d)
	}
}

func TestOutlierDetector(t *testing.T) {
	type outcome struct {
		latency time.Duration
		ok      bool
	}
	good, slow, bad := outcome{time.Second, true}, outcome{9 * time.Second, true}, outcome{0, false}
	for name, test := range map[string]struct {
		minInUseShare float64
		list          []outcome
		want          int // ejected
	}{
		"all good":                     {0.5, []outcome{good, good, good, good}, 0},
		"one slow":                     {0.5, []outcome{good, good, good, slow}, 1},
		"one fails":                    {0.5, []outcome{good, good, good, bad}, 1},
		"all slow":                     {0.5, []outcome{slow, slow, slow, slow}, 0},
		"all fail":                     {0.5, []outcome{bad, bad, bad, bad}, 0},
		"more bad than may be ejected": {0.8, []outcome{good, good, good, good, good, good, bad, slow, slow, bad}, 2},
		"all must stay in use":         {1, []outcome{good, good, slow}, 0},
		"alone":                        {0, []outcome{bad}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewOutlierDetector(test.minInUseShare)
			now := epoch
			names := make([]ident.Backend, len(test.list))
			for range 20 {
				now = now.Add(50 * time.Millisecond)
				for i, o := range test.list {
					names[i] = ident.Backend(rune('a' + i))
					d.Observe(now, names[i], o.latency, o.ok)
				}
			}
			got := 0
			for _, b := range names {
				if d.IsEjected(now, b) {
					got++
				}
			}
			if got != test.want {
				t.Errorf("got %d ejected, want %d", got, test.want)
			}
		})
	}
}

// A backend server that recovered comes back; one that did not is ejected for
// longer.
func TestOutlierDetectorReturn(t *testing.T) {
	d, now := NewOutlierDetector(0.5), epoch
	others := func() {
		now = now.Add(100 * time.Millisecond)
		for _, b := range []ident.Backend{"a", "b", "c"} {
			d.Observe(now, b, time.Second, true)
		}
	}
	ejectedRounds := func(latency time.Duration) (rounds int) {
		for i := 0; i < 10 && !d.IsEjected(now, "d"); i++ {
			others()
			d.Observe(now, "d", latency, true)
		}
		for ; d.IsEjected(now, "d"); rounds++ {
			others()
		}
		return rounds
	}
	first, second := ejectedRounds(9*time.Second), ejectedRounds(9*time.Second)
	if first == 0 || second < first*3/2 {
		t.Errorf("got %d ejected rounds and then %d, want more", first, second)
	}
	if third := ejectedRounds(time.Second); third != 0 || d.Latency("d") > 2*time.Second {
		t.Errorf("got %d ejected rounds after recovery, latency %v", third, d.Latency("d"))
	}
	d.Remove("d")
	d.Remove("unknown")
	if d.IsEjected(now, "d") || d.Latency("d") != 0 {
		t.Error("got the state of a backend server that was removed")
	}
}
