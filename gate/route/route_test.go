package route

import (
	"context"
	"errors"
	"testing"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
)

// The two contenders of a race must never both answer the caller.
func TestRaceHasOneWinner(t *testing.T) {
	c := &race{}
	ctx, cancel := context.WithCancelCause(context.Background())
	c.cancels[1] = cancel
	if !c.claim(2) || c.claim(1) || !c.claim(2) {
		t.Error("want the first claim to hold and every other one to fail")
	}
	if !errors.Is(context.Cause(ctx), pool.ErrSuperseded) {
		t.Errorf("got cause %v, want the loser cancelled", context.Cause(ctx))
	}
}

// A wrong count of tokens makes a resumed stream lose or repeat tokens.
func TestHasValue(t *testing.T) {
	cases := map[string]struct {
		event string
		want  bool
	}{
		"token":            {`data: {"delta":{"content":"x"}}`, true},
		"token with space": {`data: {"delta": {"content": "x"}}`, true},
		"empty":            {`data: {"delta":{"content":""}}`, false},
		"null":             {`data: {"delta":{"content": null}}`, false},
		"none":             {`data: {"delta":{"role":"assistant"}}`, false},
		"quoted in a text": {`data: {"delta":{"role":"say \"content\":\"x\""}}`, false},
		"second choice":    {`data: {"choices":[{"delta":{"content":""}},{"delta":{"content":"y"}}]}`, true},
	}
	for name, c := range cases {
		if got := hasValue([]byte(c.event), contentField); got != c.want {
			t.Errorf("%s: got %t, want %t", name, got, c.want)
		}
	}
}

// If two spellings of one business key gave different keys, a payout would run
// twice.
func TestBusinessKey(t *testing.T) {
	same := []string{`{"home":"h","day":7}`, `{"day":7.0,"home":" h "}`, `{"home":"h","day":"7","x":1}`}
	want, err := businessKey([]string{"home", "day"}, []byte(same[0]))
	if err != nil {
		t.Fatal(err)
	}
	for _, body := range same {
		if got, err := businessKey([]string{"home", "day"}, []byte(body)); got != want || err != nil {
			t.Errorf("%s: got %q, %v; want %q", body, got, err, want)
		}
	}
	for _, body := range []string{`{"home":"h","day":8}`, `{"home":"h\",\"7","day":7}`} {
		if got, _ := businessKey([]string{"home", "day"}, []byte(body)); got == want {
			t.Errorf("%s: got the key of another operation", body)
		}
	}
	for _, body := range []string{`{"home":"h"}`, `{"home":"h","day":7e1}`, `{"home":["h"],"day":7}`, `[]`, ``} {
		if got, err := businessKey([]string{"home", "day"}, []byte(body)); err == nil {
			t.Errorf("%s: got %q, want an error", body, got)
		}
	}
}

// The ring must keep at most maxRecords records and drop the oldest first.
func TestRecordRing(t *testing.T) {
	g := newRecordRing()
	for i := range maxRecords + 2 {
		g.add(&Record{Request: ident.Request(string(rune('A')) + string(rune(i+1)))})
	}
	if len(g.records) != maxRecords || len(g.byID) != maxRecords {
		t.Errorf("got %d records and %d ids, want %d", len(g.records), len(g.byID), maxRecords)
	}
	if _, ok := g.find(ident.Request("A" + string(rune(2)))); ok {
		t.Error("got a record that should have been dropped")
	}
	if got := g.recent(1); got[0].Request != ident.Request("A"+string(rune(maxRecords+2))) {
		t.Errorf("got %q as the newest", got[0].Request)
	}
}

// A model that has not answered yet must not look cheaper than one that has.
// Otherwise a cascade would skip its cheap step after the first answer.
func TestExpectedCost(t *testing.T) {
	adaptive := newAdaptivePolicies()
	cheap, strong := workload{ident.Chat, "small"}, workload{ident.Chat, "large"}
	adaptive.observeCost(cheap, &wire.Usage{Cost: 200}, 1)
	now := time.Now()
	a := adaptive.cascadeStep(now, cheap, ident.Target{Model: "small"}, 1, 0.5, false)
	b := adaptive.cascadeStep(now, strong, ident.Target{Model: "large"}, 10, 0.9, false)
	if a.Cost != 200 || b.Cost != 2000 {
		t.Errorf("got costs %v and %v, want 200 and 2000", a.Cost, b.Cost)
	}
}
