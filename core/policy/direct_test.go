package policy

import (
	"testing"
	"time"
)

// The repeats of any window must stay within its share, also when the requests
// that allowed them have left it.
func TestWindowBudget(t *testing.T) {
	w := NewWindowBudget(10*time.Second, 0.5, 2)
	now := time.Unix(1_700_000_000, 0)
	spendAll := func() (n int) {
		for w.TrySpend(now) {
			n++
		}
		return n
	}
	if got := spendAll(); got != 2 {
		t.Errorf("got %d repeats without requests, want the slack of 2", got)
	}
	for range 10 {
		w.RecordRequest(now)
	}
	if got := spendAll(); got != 5 {
		t.Errorf("got %d more repeats after 10 requests, want 5", got)
	}
	now = now.Add(5 * time.Second)
	if got := spendAll(); got != 0 {
		t.Errorf("got %d repeats in the middle of the window, want 0", got)
	}
	now = now.Add(6 * time.Second)
	if got := spendAll(); got != 2 {
		t.Errorf("got %d repeats in a new window, want 2", got)
	}
}

func TestChooseDirect(t *testing.T) {
	prompt := Prompt{Work: 10_000, SharedWork: 6_000}
	for name, test := range map[string]struct {
		list   []DirectCandidate
		prompt Prompt
		want   int
		reason Reason
	}{
		"none":                       {nil, Prompt{}, -1, ReasonNone},
		"less load":                  {[]DirectCandidate{{Load: 0.4, SameZone: true}, {Load: 0.1, SameZone: true}}, Prompt{}, 1, ReasonLeastCost},
		"same zone":                  {[]DirectCandidate{{}, {SameZone: true}}, Prompt{}, 1, ReasonLeastCost},
		"remote zone, less load":     {[]DirectCandidate{{}, {SameZone: true, Load: 0.3}}, Prompt{}, 0, ReasonLeastCost},
		"tie":                        {[]DirectCandidate{{Rank: 1}, {Rank: 2}}, Prompt{}, 1, ReasonLeastCost},
		"prefix":                     {[]DirectCandidate{{Rank: 1}, {Rank: 2, PendingPromptWork: 5_000}}, prompt, 1, ReasonPrefix},
		"prefix behind a prompt":     {[]DirectCandidate{{Rank: 1}, {Rank: 2, PendingPromptWork: 50_000}}, prompt, 0, ReasonLeastCost},
		"prefix is unavailable":      {[]DirectCandidate{{Rank: 1}, {Rank: 2, Unavailable: true}}, prompt, 0, ReasonPrefix},
		"all are unavailable":        {[]DirectCandidate{{Unavailable: true, Load: 0.5}, {Unavailable: true}}, Prompt{}, 1, ReasonAllEjected},
		"failing":                    {[]DirectCandidate{{FailureRate: 0.3}, {Load: 0.9}}, Prompt{}, 1, ReasonLeastCost},
		"full":                       {[]DirectCandidate{{Load: 1}, {PendingPromptWork: 500_000, Load: 0.5}}, Prompt{}, 1, ReasonLeastCost},
		"long prompt, few streams":   {[]DirectCandidate{{Load: 0.2}, {Load: 0.05, PendingPromptWork: 20_000}}, Prompt{Work: 150_000}, 1, ReasonLeastCost},
		"short prompt, many streams": {[]DirectCandidate{{Load: 0.2}, {Load: 0.05, PendingPromptWork: 20_000}}, Prompt{Work: 50_000}, 0, ReasonLeastCost},
		"long prompt, held in part":  {[]DirectCandidate{{Load: 0.2, Rank: 1}, {Load: 0.05}}, Prompt{Work: 150_000, SharedWork: 60_000}, 0, ReasonPrefix},
		"packet loss":                {[]DirectCandidate{{PacketLoss: 0.03}, {SameZone: true, Load: 0.8}}, Prompt{}, 1, ReasonLeastCost},
		"tolerated packet loss":      {[]DirectCandidate{{PacketLoss: 0.003}, {SameZone: true, Load: 0.8}}, Prompt{}, 0, ReasonLeastCost},
	} {
		t.Run(name, func(t *testing.T) {
			if got, reason := ChooseDirect(test.list, test.prompt, Sample{}); got != test.want || reason != test.reason {
				t.Errorf("got %d for %q, want %d for %q", got, reason, test.want, test.reason)
			}
		})
	}
}

func TestEscalationNextStep(t *testing.T) {
	need := func(ms ...int) func(int) time.Duration {
		return func(step int) time.Duration { return time.Duration(ms[step]) * time.Millisecond }
	}
	base := Escalation{StepCount: 3, RunsLeft: 2, UntilDeadline: 20 * time.Second, UntilTarget: 2 * time.Second, TimeToFirstToken: need(10, 100, 300)}
	for name, test := range map[string]struct {
		change func(*Escalation)
		want   int
		reason Reason
	}{
		"confident":                     {func(e *Escalation) { e.Confidence = 50 }, 0, ReasonSure},
		"no confidence reported":        {func(e *Escalation) { e.Confidence = -1 }, 0, ReasonSure},
		"not confident":                 {func(e *Escalation) { e.Confidence = 49 }, 2, ReasonBelowTarget},
		"no runs left":                  {func(e *Escalation) { e.RunsLeft = 0 }, 0, ReasonLate},
		"largest is late":               {func(e *Escalation) { e.TimeToFirstToken = need(10, 100, 2500) }, 1, ReasonBelowTarget},
		"all are late, some confidence": {func(e *Escalation) { e.TimeToFirstToken, e.Confidence = need(10, 2100, 2500), 30 }, 0, ReasonLate},
		"all are late, low confidence":  {func(e *Escalation) { e.TimeToFirstToken, e.Confidence = need(10, 2100, 2500), 5 }, 2, ReasonBelowTarget},
		"no time for the largest":       {func(e *Escalation) { e.TimeToFirstToken, e.UntilDeadline = need(10, 2100, 2500), 5*time.Second }, 0, ReasonLate},
		"already at the largest":        {func(e *Escalation) { e.Step = 2 }, 2, ReasonLastStep},
		"one model":                     {func(e *Escalation) { e.StepCount = 1 }, 0, ReasonLastStep},
		"from the middle":               {func(e *Escalation) { e.Step, e.Confidence = 1, 10 }, 2, ReasonBelowTarget},
	} {
		t.Run(name, func(t *testing.T) {
			e := base
			test.change(&e)
			if got, reason := e.NextStep(); got != test.want || reason != test.reason {
				t.Errorf("got step %d for %q, want %d for %q", got, reason, test.want, test.reason)
			}
		})
	}
}

func TestDurationEstimator(t *testing.T) {
	var e DurationEstimator
	for range minRequests - 1 {
		observe(&e, time.Second, 100)
	}
	if got := e.UpperBound(100, now); got != 0 {
		t.Errorf("got %v before enough is known, want 0", got)
	}
	for i := range 200 {
		observe(&e, time.Duration(800+400*(i%2))*time.Millisecond, 100)
	}
	if got := e.UpperBound(100, now); got < 1200*time.Millisecond || got > 2400*time.Millisecond {
		t.Errorf("got %v for streams of 0.8 and 1.2 s, want 1.2 to 2.4 s", got)
	}
	observe(&e, time.Hour, 0) // a stream without a size must not count
	if got := e.UpperBound(100, now); got > 2400*time.Millisecond {
		t.Errorf("got %v after a stream without a size", got)
	}
}

// Each model reads prompts at its own speed. The ratio expected from the costs
// must count only until the model was observed, and waiting prompts are read at
// the speed of the smallest model.
func TestFirstTokenEstimator(t *testing.T) {
	var e FirstTokenEstimator
	small, large := Prompt{Model: "small", SmallestModel: "small", TokenTimeRatio: 1}, Prompt{Model: "large", SmallestModel: "small", TokenTimeRatio: 6}
	if got := e.Expected(small, 1000, 0); got != 0 {
		t.Errorf("got %v while nothing is known, want 0", got)
	}
	for range 500 {
		e.Observe(50*time.Millisecond, small, 100, 0)
		e.Observe(150*time.Millisecond, small, 10_000, 0)
	}
	check := func(name string, p Prompt, tokens, workBefore float64, want time.Duration) {
		t.Helper()
		if got := e.Expected(p, tokens, workBefore); got < want*9/10 || got > want*11/10 {
			t.Errorf("%s: got %v, want about %v", name, got, want)
		}
	}
	check("no tokens", small, 0, 0, 50*time.Millisecond)
	check("five times as many", small, 50_000, 0, 550*time.Millisecond)
	check("other prompts before", small, 10_000, 20_000, 350*time.Millisecond)
	check("model not observed", large, 10_000, 0, 650*time.Millisecond)
	for range 500 {
		e.Observe(450*time.Millisecond, large, 10_000, 10_000)
	}
	check("model observed", large, 20_000, 0, 650*time.Millisecond)
	check("smallest model as before", small, 10_000, 0, 150*time.Millisecond)
	for i := range 200 {
		d := 150 * time.Millisecond
		if i%10 == 0 {
			d = 2 * time.Second // delayed by something else
		}
		e.Observe(d, small, 10_000, 0)
	}
	if got := e.Expected(small, 10_000, 0); got > 180*time.Millisecond {
		t.Errorf("got %v with one attempt in ten delayed, want little more than 150 ms", got)
	}
}

// A few huge durations must not keep moderately slow ones from being detected.
func TestMedianEstimator(t *testing.T) {
	var e MedianEstimator
	for i := range 400 {
		d := time.Duration(80+i%40) * time.Millisecond
		if i%20 == 0 {
			d = time.Minute
		}
		e.Observe(d)
	}
	for d, want := range map[time.Duration]bool{100: false, 150: false, 250: true, 400: true} {
		if got := e.IsSlow(d * time.Millisecond); got != want {
			t.Errorf("%d ms: got slow %v, want %v", d, got, want)
		}
	}
	if (&MedianEstimator{}).IsSlow(time.Hour) {
		t.Error("got slow without observations, want not slow")
	}
}

// A version of a service that fails more must be halted by its 50th bad answer.
// One that is as good must not be halted, and neither must one whose share of
// failures is only that of a single bad server.
func TestJudgeServiceRollout(t *testing.T) {
	for name, test := range map[string]struct {
		base, next Stats
		want       Verdict
	}{
		"no answers":      {Stats{}, Stats{}, Continue},
		"as good":         {Stats{Answers: 1000, Failures: 10}, Stats{Answers: 100, Failures: 1}, Continue},
		"half fail":       {Stats{Answers: 300, Failures: 3}, Stats{Answers: 30, Failures: 15}, Halt},
		"40% fail, 50th":  {Stats{Answers: 600, Failures: 6}, Stats{Answers: 125, Failures: 50}, Halt},
		"25% fail, 50th":  {Stats{Answers: 600, Failures: 6}, Stats{Answers: 200, Failures: 50}, Halt},
		"slow":            {Stats{Answers: 300, SlowAnswers: 10}, Stats{Answers: 40, SlowAnswers: 30}, Halt},
		"one bad server":  {Stats{Answers: 300, Failures: 3}, Stats{Answers: 60, Failures: 4}, Continue},
		"all fail alike":  {Stats{Answers: 300, Failures: 150}, Stats{Answers: 60, Failures: 30}, Continue},
		"two of two fail": {Stats{Answers: 300}, Stats{Answers: 2, Failures: 2}, Continue},
	} {
		t.Run(name, func(t *testing.T) {
			if got, reason := JudgeServiceRollout(test.base, test.next); got != test.want {
				t.Errorf("got %v for %q, want %v", got, reason, test.want)
			}
		})
	}
}

func TestIsSuspect(t *testing.T) {
	base := Stats{Answers: 140, Failures: 5, SlowAnswers: 14}
	for name, test := range map[string]struct {
		base, next Stats
		want       bool
	}{
		"as good":            {base, Stats{Answers: 12, Failures: 1, SlowAnswers: 2}, false},
		"two of seven fail":  {base, Stats{Answers: 7, Failures: 2}, true},
		"9 of 18 fail":       {Stats{Answers: 108}, Stats{Answers: 18, Failures: 9}, true},
		"half are slow":      {base, Stats{Answers: 12, SlowAnswers: 6}, true},
		"no answers":         {base, Stats{}, true},
		"little traffic":     {Stats{Answers: 10}, Stats{}, false},
		"both fail":          {Stats{Answers: 100, Failures: 60}, Stats{Answers: 10, Failures: 6}, false},
		"one of four failed": {base, Stats{Answers: 4, Failures: 1}, false},
	} {
		if got := IsSuspect(test.base, test.next); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

// However many gates there are, the retries that they make regardless of their
// requests must stay within the slack of all, also when its size or their number
// changes.
func TestGateSlack(t *testing.T) {
	const slack = 50
	for _, gates := range []int{1, 8, 30, 105, 300} {
		total := 0
		for range gates {
			w := NewWindowBudget(10*time.Second, 0.5, 100)
			w.SetSlack(GateSlack(slack, gates))
			for w.TrySpend(now) {
				total++
			}
		}
		if total > slack {
			t.Errorf("%d gates make %d retries without a request, want at most %d", gates, total, slack)
		}
	}
	if got := GateSlack(slack, 1); got != maxGateSlack {
		t.Errorf("got a slack of %v of a single gate, want %v", got, maxGateSlack)
	}
}
