package policy

import (
	"math"
	"slices"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// Parts of prompts: deadly crashes servers, base is shared by all requests of a
// route, rare by few.
const (
	base ident.PromptPart = iota + 1
	deadly
	rare
)

// requestHash is the hash of the first request.
const requestHash = 1 << 40

// Which parts are blocked after a series of crashes and answers. A part that
// crashes servers must be blocked before the fifth crash, whatever else its
// requests hold; a sound part that shared their fate must not.
func TestQuarantineBlame(t *testing.T) {
	type step struct {
		after   time.Duration
		server  uint32 // that crashes; 0 for a sound answer
		request uint64
		parts   []ident.PromptPart
		weak    bool          // others look the same
		ran     time.Duration // before the crash
	}
	const runTime = 100 * time.Millisecond
	crash := func(after time.Duration, server uint32, request uint64, parts ...ident.PromptPart) step {
		return step{after, server, requestHash + request, parts, false, runTime}
	}
	silent := func(after time.Duration, server uint32, request uint64, parts ...ident.PromptPart) step {
		return step{after, server, requestHash + request, parts, true, runTime}
	}
	atOnce := func(after time.Duration, server uint32, request uint64, parts ...ident.PromptPart) step {
		return step{after, server, requestHash + request, parts, false, after / 2}
	}
	sound := func(after time.Duration, parts ...ident.PromptPart) step {
		return step{after: after, parts: parts}
	}
	const pause = 300 * time.Millisecond
	for name, c := range map[string]struct {
		steps []step
		want  [][]ident.PromptPart // prompts with all parts of one of them are blocked
	}{
		"one deadly part": {[]step{
			sound(0, base), crash(pause, 1, 1, base, deadly), crash(pause, 2, 1, base, deadly), crash(pause, 3, 2, base, deadly),
		}, [][]ident.PromptPart{{deadly}}},
		"deadly part beside rare ones": {[]step{
			sound(0, base), crash(pause, 1, 1, base, deadly, rare), crash(pause, 2, 1, base, deadly, rare), crash(pause, 3, 2, base, deadly, rare+1), crash(pause, 4, 2, base, deadly, rare+1),
		}, [][]ident.PromptPart{{deadly}}},
		"known sound before it became deadly": {[]step{
			sound(0, base, deadly), crash(pause, 1, 1, base, deadly), crash(pause, 2, 2, base, deadly), sound(0, base), crash(pause, 3, 3, base, deadly),
		}, [][]ident.PromptPart{{deadly}}},
		"deadly part with a rare one, then alone": {[]step{
			crash(0, 1, 1, deadly, rare), crash(pause, 2, 1, deadly, rare), crash(pause, 3, 2, deadly, rare), crash(pause, 4, 3, deadly),
		}, [][]ident.PromptPart{{deadly}}},
		"deadly part with a rare one that is sound": {[]step{
			crash(0, 1, 1, deadly, rare), crash(pause, 2, 1, deadly, rare), crash(pause, 3, 2, deadly, rare), sound(0, rare),
		}, [][]ident.PromptPart{{deadly}}},
		"always together": {[]step{
			crash(0, 1, 1, deadly, rare), crash(pause, 2, 1, deadly, rare), crash(pause, 3, 2, deadly, rare),
		}, [][]ident.PromptPart{{deadly, rare}}},
		"repeats of one request": {[]step{
			crash(0, 1, 1, rare), crash(pause, 2, 1, rare), crash(pause, 3, 1, rare), crash(pause, 4, 1, rare),
		}, nil},
		"answers in between": {[]step{
			crash(0, 1, 1, base), crash(pause, 2, 2, base), sound(0, base), crash(pause, 3, 3, base), crash(pause, 4, 4, base),
		}, nil},
		"many servers at once": {[]step{
			crash(0, 1, 1, base), crash(0, 2, 2, base), crash(10*time.Millisecond, 3, 3, base), crash(10*time.Millisecond, 4, 4, base),
		}, nil},
		"one crash reported by many gates": {[]step{
			crash(0, 1, 1, base), crash(pause, 1, 2, base), crash(pause, 1, 3, base), crash(pause, 1, 4, base),
		}, nil},
		"without answers": {[]step{
			sound(0, base), silent(pause, 1, 1, base, deadly), silent(pause, 2, 1, base, deadly), silent(pause, 3, 2, base, deadly), silent(pause, 4, 3, base, deadly),
		}, [][]ident.PromptPart{{deadly}}},
		"without answers, fewer": {[]step{
			sound(0, base), silent(pause, 1, 1, base, deadly), silent(pause, 2, 2, base, deadly), silent(pause, 3, 3, base, deadly),
		}, nil},
		"waiting beside others": {[]step{
			silent(0, 1, 1, base, rare), sound(0, base, rare), silent(pause, 2, 2, base, rare), silent(pause, 3, 3, base, rare), sound(0, rare), silent(pause, 4, 4, base, rare), silent(pause, 5, 5, base, rare),
		}, [][]ident.PromptPart{{base}}},
		"each sent after the crash before": {[]step{
			sound(0, base), crash(pause, 1, 1, base, deadly), atOnce(time.Millisecond, 2, 1, base, deadly), atOnce(time.Millisecond, 3, 2, base, deadly),
		}, [][]ident.PromptPart{{deadly}}},
		"an answer under way ends a quarantine": {[]step{
			crash(0, 1, 1, rare), crash(pause, 2, 2, rare), crash(pause, 3, 3, rare), sound(0, rare),
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			q, now := NewQuarantine(), time.Unix(1_000_000, 0)
			for _, s := range c.steps {
				now = now.Add(s.after)
				if s.server == 0 {
					q.RecordSound(s.parts, s.request, now)
				} else {
					q.RecordCrash(Crash{Server: s.server, Request: s.request, Parts: s.parts, Weak: s.weak, Ran: s.ran}, now)
				}
			}
			for _, prompt := range [][]ident.PromptPart{{base}, {deadly}, {rare}, {base, deadly}, {base, rare}, {deadly, rare}, {base, deadly, rare}} {
				_, got := q.Blocked(prompt, now)
				want := slices.ContainsFunc(c.want, func(parts []ident.PromptPart) bool { return (&block{parts: parts}).covers(prompt) })
				if got != want {
					t.Errorf("prompt with the parts %d: got blocked %v, want %v", prompt, got, want)
				}
			}
		})
	}
}

// A request that crashes each server that has it is blocked by itself, without
// what it shares with others, until it is answered.
func TestRequestBlamed(t *testing.T) {
	const (
		deadlyRequest = requestHash + iota
		otherRequest
	)
	const pause = 300 * time.Millisecond
	type crash struct {
		server  uint32
		request uint64
		parts   []ident.PromptPart
	}
	for name, c := range map[string]struct {
		crashes  []crash
		answered bool // at the end
		want     bool
	}{
		"three servers":               {[]crash{{1, deadlyRequest, nil}, {2, deadlyRequest, nil}, {3, deadlyRequest, nil}}, false, true},
		"three servers, answer begun": {[]crash{{1, deadlyRequest, []ident.PromptPart{base}}, {2, deadlyRequest, []ident.PromptPart{base}}, {3, deadlyRequest, []ident.PromptPart{base}}}, false, true},
		"two servers":                 {[]crash{{1, deadlyRequest, nil}, {2, deadlyRequest, nil}, {3, otherRequest, nil}}, false, false},
		"one server, many reports":    {[]crash{{1, deadlyRequest, nil}, {1, deadlyRequest, nil}, {1, deadlyRequest, nil}}, false, false},
		"answered since":              {[]crash{{1, deadlyRequest, nil}, {2, deadlyRequest, nil}, {3, deadlyRequest, nil}}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			q, peer, now := NewQuarantine(), NewQuarantine(), time.Unix(1_000_000, 0)
			for _, x := range c.crashes {
				now = now.Add(pause)
				q.RecordCrash(Crash{Server: x.server, Request: x.request, Parts: x.parts, Weak: x.parts == nil}, now)
			}
			if c.answered {
				q.RecordSound(nil, deadlyRequest, now)
			}
			peer.Merge(q.TakeNews(now), now)
			for gate, q := range map[string]*Quarantine{"own": q, "peer": peer} {
				if _, got := q.Blocked(Suspects([]ident.PromptPart{base}, deadlyRequest), now); got != c.want {
					t.Errorf("%s gate, deadly request: got blocked %v, want %v", gate, got, c.want)
				}
				if _, got := q.Blocked(Suspects([]ident.PromptPart{base}, otherRequest), now); got {
					t.Errorf("%s gate: another request with the same part is blocked", gate)
				}
			}
		})
	}
}

// crashUntilBlocked has a part crash servers until it is blocked.
func crashUntilBlocked(t *testing.T, q *Quarantine, part ident.PromptPart, now time.Time) (crashes int, end time.Time) {
	t.Helper()
	for server := uint32(1); ; server++ {
		if _, blocked := q.Blocked([]ident.PromptPart{part}, now); blocked {
			return crashes, now
		}
		if crashes++; crashes > 10 {
			t.Fatalf("the part is not blocked after %d crashes", crashes)
		}
		now = now.Add(time.Second)
		q.RecordCrash(Crash{Server: server, Request: uint64(server), Parts: []ident.PromptPart{part}}, now)
	}
}

// When a quarantine ends, one crash starts the next one, of twice the length.
func TestQuarantineAgain(t *testing.T) {
	q, now := NewQuarantine(), time.Unix(1_000_000, 0)
	crashes, now := crashUntilBlocked(t, q, deadly, now)
	if crashes != minCrashes {
		t.Errorf("got %d crashes before the first quarantine, want %d", crashes, minCrashes)
	}
	for i, want := 0, 2*firstQuarantine; i < 8; i, want = i+1, min(2*want, maxQuarantine) {
		b, _ := q.Blocked([]ident.PromptPart{deadly}, now)
		now = now.Add(b.Left)
		q.Expire(now)
		crashes, now = crashUntilBlocked(t, q, deadly, now)
		b, _ = q.Blocked([]ident.PromptPart{deadly}, now)
		if crashes != 1 || b.Left != want {
			t.Errorf("quarantine %d: got %d crashes and %v, want 1 and %v", i+2, crashes, b.Left, want)
		}
	}
}

// A gate that starts anew learns of the blocks from others, and a gate that has
// seen an answer since corrects them.
func TestQuarantineOfOtherGates(t *testing.T) {
	a, b, late := NewQuarantine(), NewQuarantine(), NewQuarantine()
	crashes, now := crashUntilBlocked(t, a, deadly, time.Unix(1_000_000, 0))
	b.Merge(a.TakeNews(now), now)
	if _, blocked := b.Blocked([]ident.PromptPart{deadly}, now); !blocked {
		t.Errorf("the other gate has no block after %d crashes", crashes)
	}
	now = now.Add(10 * time.Second)
	late.Merge(a.TakeNews(now), now)
	if got, _ := late.Blocked([]ident.PromptPart{deadly}, now); got.Left != firstQuarantine-10*time.Second {
		t.Errorf("got %v left at a new gate, want %v", got.Left, firstQuarantine-10*time.Second)
	}
	if released := b.RecordSound([]ident.PromptPart{deadly}, 0, now); len(released) != 1 {
		t.Errorf("got %d releases by an answer, want 1", len(released))
	}
	b.TakeNews(now) // the news of the answer are lost
	now = now.Add(time.Second)
	b.Merge(a.TakeNews(now), now)
	a.Merge(b.TakeNews(now), now)
	for name, q := range map[string]*Quarantine{"a": a, "b": b} {
		if _, blocked := q.Blocked([]ident.PromptPart{deadly}, now); blocked {
			t.Errorf("gate %s still has the block", name)
		}
	}
}

// What is remembered stays bounded, and is forgotten.
func TestQuarantineIsBounded(t *testing.T) {
	q, now := NewQuarantine(), time.Unix(1_000_000, 0)
	for i := range ident.PromptPart(3 * maxParts) {
		q.RecordCrash(Crash{Server: 1, Request: 1, Parts: []ident.PromptPart{2 * i}}, now)
		q.RecordSound([]ident.PromptPart{2*i + 1}, 0, now)
	}
	news := q.TakeNews(now)
	for name, got := range map[string][2]int{
		"suspects": {len(q.suspects), maxParts}, "sound": {len(q.sound), maxParts},
		"crashes to send": {len(news.Crashes), maxPartNews}, "sound to send": {len(news.Sound), maxPartNews},
	} {
		if got[0] > got[1] {
			t.Errorf("%s: got %d, want at most %d", name, got[0], got[1])
		}
	}
	q.Expire(now.Add(suspectMemory + time.Second))
	if n := len(q.suspects) + len(q.sound); n > 0 {
		t.Errorf("%d parts are remembered after a long silence, want none", n)
	}
}

// TestQuarantineOddParts guards against prompts that name a part several times,
// thousands of parts or none, and against news of such: a gate that panicked on one
// answered nothing any more.
func TestQuarantineOddParts(t *testing.T) {
	many := make([]ident.PromptPart, 5000)
	for i := range many {
		many[i] = ident.PromptPart(i + 1)
	}
	for name, parts := range map[string][]ident.PromptPart{
		"one part":        {7},
		"four times":      {7, 7, 7, 7},
		"as the last":     {7, 8, 8, 9, 7, 7, 8, 7},
		"the request":     {7, 1, 2, 3, 4, 1},
		"zero":            {0, 0, 0, 0},
		"thousands":       many,
		"thousand of one": slices.Repeat([]ident.PromptPart{7}, 5000),
		"none":            nil,
	} {
		t.Run(name, func(t *testing.T) {
			own, peer, now := NewQuarantine(), NewQuarantine(), time.Unix(1_000_000, 0)
			wasBlocked := map[string]bool{}
			for i := range 40 {
				c := Crash{Server: uint32(i), Request: uint64(i%4 + 1), Parts: parts, Ran: time.Second}
				own.RecordCrash(c, now)
				news := own.TakeNews(now)
				peer.Merge(news, now)
				if n := countParts(news); n > 2*maxNewsParts {
					t.Errorf("got news of %d parts, want at most %d", n, 2*maxNewsParts)
				}
				for gate, q := range map[string]*Quarantine{"own": own, "peer": peer} {
					b, blocked := q.Blocked(Suspects(parts, 1), now)
					if wasBlocked[gate] = wasBlocked[gate] || blocked; len(b.Parts) > maxBlamed {
						t.Errorf("%s gate: blocked by %d parts, want at most %d", gate, len(b.Parts), maxBlamed)
					}
					if _, blocked := q.Blocked([]ident.PromptPart{1 << 40}, now); blocked {
						t.Errorf("%s gate: another prompt is blocked", gate)
					}
				}
				now = now.Add(2 * time.Second)
			}
			if !wasBlocked["own"] || !wasBlocked["peer"] {
				t.Errorf("got blocked at %v, want at both gates", wasBlocked)
			}
		})
	}
}

func countParts(news PartNews) (n int) {
	for _, c := range news.Crashes {
		n += len(c.Parts)
	}
	for _, b := range news.Blocks {
		n += len(b.Parts)
	}
	return n
}

// TestQuarantineOddBlocks guards against blocks of another gate with counts and times
// that no gate sends: adopting one must neither take long nor block for good.
func TestQuarantineOddBlocks(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, b := range map[string]Block{
		"many times": {Parts: []ident.PromptPart{7}, Left: time.Minute, Times: math.MaxInt},
		"uint32":     {Parts: []ident.PromptPart{7}, Left: time.Minute, Times: math.MaxUint32},
		"negative":   {Parts: []ident.PromptPart{7}, Left: -time.Hour, Times: math.MinInt},
		"for long":   {Parts: []ident.PromptPart{7, 7}, Left: math.MaxInt64, Times: math.MaxInt32},
	} {
		q := NewQuarantine()
		q.RecordSound([]ident.PromptPart{7}, 0, now)
		q.Merge(PartNews{Blocks: []Block{b}}, now.Add(time.Second))
		if _, blocked := q.Blocked([]ident.PromptPart{7}, now.Add(maxQuarantine+2*time.Second)); blocked {
			t.Errorf("%s: blocked for longer than %v", name, maxQuarantine)
		}
	}
}
