package fleet

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/gate/share"
)

// prefixLoad is a load of prompts with shared parts on servers that cache them.
type prefixLoad struct {
	gates, servers, subjects, requests int
	rate, capacity                     float64 // requests per second, tokens
	answer                             time.Duration
	// evictShare makes the servers evict as if they had this share of the
	// capacity that the gates know; 0 means all.
	evictShare float64
}

type prefixRule uint8

const (
	withoutRecord prefixRule = iota // the rule before: rendezvous alone
	withRecord
	withOracle // the records are the caches of the servers
)

// cachingServer reads prompts one after the other and caches their parts, the
// least recently used ones being evicted unless a running request uses them.
type cachingServer struct {
	free           time.Duration // when it has read what it has
	parts          map[policy.PrefixKey]*cachedPart
	tokens, memory float64
}

type cachedPart struct {
	tokens float64
	used   time.Duration
	users  int
}

// hold adds parts and returns the tokens of the first ones that were held.
func (s *cachingServer) hold(parts []policy.PrefixPart, now time.Duration) (held float64) {
	chain := true
	for i, p := range parts {
		c := s.parts[p.Key]
		if c == nil {
			c = &cachedPart{tokens: p.Tokens}
			s.parts[p.Key], chain = c, false
			s.tokens += p.Tokens
		}
		if chain {
			held += p.Tokens
		}
		c.used, c.users = now-time.Duration(i), c.users+1
	}
	for s.tokens > s.memory {
		var oldest policy.PrefixKey
		for k, c := range s.parts {
			if c.users == 0 && (oldest == 0 || c.used < s.parts[oldest].used) {
				oldest = k
			}
		}
		if oldest == 0 {
			break // running requests take everything
		}
		s.tokens -= s.parts[oldest].tokens
		delete(s.parts, oldest)
	}
	return held
}

// prefixResult is what a load measured.
type prefixResult struct {
	over  int     // requests at a server with more than its capacity in use
	again float64 // shared tokens read again within reuseWindow, per request
	long  []time.Duration
	short []time.Duration // times to the first token
}

func quantile(list []time.Duration, q float64) time.Duration {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))].Round(100 * time.Microsecond)
}

type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// play sends the load through the choice of the gates.
func (l prefixLoad) play(rule prefixRule) (result prefixResult) {
	const (
		reuseWindow = 8 * time.Second
		exchange    = 100 * time.Millisecond // period of load reports
		readRate    = 100                    // tokens in a ms
		output      = 200
	)
	r := rand.New(rand.NewPCG(3, 5))
	start := time.Unix(1_700_000_000, 0)
	servers := make([]*cachingServer, l.servers)
	for i := range servers {
		servers[i] = &cachingServer{parts: map[policy.PrefixKey]*cachedPart{}, memory: l.capacity * cmp.Or(l.evictShare, 1)}
	}
	index, gates, estimators := map[*Server]int{}, make([]*Fleet, l.gates), make([]policy.FirstTokenEstimator, l.gates)
	for g := range gates {
		listed := list(l.servers)
		for i := range listed {
			listed[i].Slots = 64
		}
		gates[g] = New("a")
		gates[g].Update(listed)
		gates[g].gates = share.Gates{Others: make([]uint64, l.gates-1)}
		gates[g].exchangeDelay = exchange
		for i, x := range listed {
			index[gates[g].servers[x.ID]] = i
		}
	}
	popular := make([]float64, l.subjects)
	sum := 0.0
	for i := range popular {
		sum += 1 / math.Pow(float64(i+10), 0.7)
		popular[i] = sum
	}
	readAt := map[policy.PrefixKey]time.Duration{}
	events := &eventQueue{}
	sent := 0
	arrive := func(now time.Duration) {
		sent++
		subject, _ := slices.BinarySearch(popular, r.Float64()*sum)
		long := r.Float64() < 0.6
		sizes, total := []float64{119, 79}, 628.0
		if long {
			sizes, total = []float64{512, 4870}, 6610
		}
		kind := policy.PrefixKey(len(sizes)) + policy.PrefixKey(total)<<8
		parts := []policy.PrefixPart{{Key: kind<<32 + policy.PrefixKey(subject%8) + 1, Tokens: sizes[0]}, {Key: kind<<40 + policy.PrefixKey(subject) + 1, Tokens: sizes[1]}}
		shared := sizes[0] + sizes[1]
		g := r.IntN(l.gates)
		f := gates[g]
		c := Criteria{
			Service: "pool", AffinityKey: uint64(parts[1].Key), TieBreak: r.Uint64(),
			Prompt: policy.Prompt{Model: "m", SmallestModel: "m", TokenTimeRatio: 1, Work: total, SharedWork: shared},
		}
		if rule != withoutRecord {
			c.Cached = CachedPrompt{Parts: parts, Alone: total - shared + output, Capacity: l.capacity}
		}
		if rule == withOracle {
			for s, i := range index {
				if f.servers[s.ID] != s {
					continue
				}
				s.prefix.Forget()
				for n := len(parts); n > 0; n-- {
					if servers[i].parts[parts[n-1].Key] != nil && servers[i].parts[parts[0].Key] != nil {
						s.prefix.Read(parts[:n], 0, 0, math.Inf(1))
						break
					}
				}
			}
		}
		a := f.Pick(c, start.Add(now))
		server := servers[index[a.Server]]
		tail := policy.PrefixPart{Key: 1<<60 + policy.PrefixKey(sent), Tokens: total - shared + output}
		held := server.hold(append(slices.Clone(parts), tail), now)
		left := held
		for _, p := range parts {
			if left -= p.Tokens; left < 0 {
				if at, ok := readAt[p.Key]; ok && now-at < reuseWindow {
					result.again += p.Tokens / float64(l.requests)
				}
				readAt[p.Key] = now
			}
		}
		if server.tokens > server.memory {
			result.over++
		}
		server.free = max(now, server.free) + time.Duration((total-held)/readRate*float64(time.Millisecond))
		first := server.free + 20*time.Millisecond + time.Duration(r.ExpFloat64()*float64(4*time.Millisecond))
		took := first - now
		if sent > l.requests/5 { // the caches have filled
			if long {
				result.long = append(result.long, took)
			} else {
				result.short = append(result.short, took)
			}
		}
		heap.Push(events, event{first, func(now time.Duration) {
			a.AnswerStarted(start.Add(now))
			e := &estimators[g]
			v := e.JudgePrefix(took, c.Prompt, a.Prefix.Basis, a.Prefix.Held, a.QueuedWork)
			e.ObservePrompt(took, c.Prompt, a.Prefix.Basis, v, a.Prefix.Held, a.QueuedWork)
			a.RecordPrompt(c.Cached, v, start.Add(now))
		}})
		heap.Push(events, event{first + l.answer, func(now time.Duration) {
			for _, p := range append(slices.Clone(parts), tail) {
				server.parts[p.Key].users--
			}
			a.Release(Good, start.Add(now))
		}})
	}
	var report func(now time.Duration)
	report = func(now time.Duration) {
		running, pending := make([]int, l.servers), make([]float64, l.servers)
		for s, i := range index {
			running[i] += s.inFlight
			pending[i] += s.pendingWork
		}
		for s, i := range index {
			if s.peerLoads == nil {
				s.peerLoads = map[string]*peerLoad{"others": {}}
			}
			*s.peerLoads["others"] = peerLoad{expires: start.Add(now + time.Second), running: float64(running[i] - s.inFlight), pendingWork: pending[i] - s.pendingWork}
		}
		if sent < l.requests {
			heap.Push(events, event{now + exchange, report})
		}
	}
	heap.Push(events, event{0, report})
	var next func(now time.Duration)
	next = func(now time.Duration) {
		arrive(now)
		if sent < l.requests {
			heap.Push(events, event{now + time.Duration(r.ExpFloat64()/l.rate*float64(time.Second)), next})
		}
	}
	heap.Push(events, event{0, next})
	for events.Len() > 0 {
		e := heap.Pop(events).(event)
		e.run(e.at)
	}
	return result
}

// The records must save reading parts again and shorten the wait for the first
// token where servers are busy or short of memory, also with many gates, and
// change little where there is plenty of both and the parts stay where they are
// expected.
func TestPrefixLoad(t *testing.T) {
	base := prefixLoad{gates: 25, servers: 43, subjects: 400, requests: 8000, rate: 400, capacity: 381_103, answer: time.Second}
	for name, test := range map[string]struct {
		change func(l *prefixLoad)
		// again and p95 bound the tokens read again and the time to the first
		// token of long prompts, relative to those without records.
		again, p95 float64
	}{
		"plentiful":           {func(*prefixLoad) {}, 0.3, 1.03},
		"plentiful, few":      {func(l *prefixLoad) { l.rate, l.requests = 40, 3000 }, 1, 1.03},
		"plentiful, one gate": {func(l *prefixLoad) { l.gates = 1 }, 0.3, 1.03},
		"busy":                {func(l *prefixLoad) { l.rate = 1200 }, 0.8, 0.9},
		"busy, one gate":      {func(l *prefixLoad) { l.rate, l.gates = 1200, 1 }, 0.3, 0.8},
		"little memory":       {func(l *prefixLoad) { l.capacity = 60_000 }, 0.7, 0.9},
		"memory runs out":     {func(l *prefixLoad) { l.capacity, l.rate = 50_000, 1200 }, 1, 1.05},
		"evicts early":        {func(l *prefixLoad) { l.evictShare = 0.15 }, 0.7, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := base
			test.change(&l)
			before, after := l.play(withoutRecord), l.play(withRecord)
			for i, x := range []prefixResult{before, after, l.play(withOracle)} {
				t.Logf("%-15s: %4.0f tokens read again per request, overfull %3.0f %%, first token p50 %v p95 %v, short prompts p50 %v p95 %v", []string{"without records", "with records", "oracle"}[i], x.again, 100*float64(x.over)/float64(l.requests),
					quantile(x.long, 0.5), quantile(x.long, 0.95), quantile(x.short, 0.5), quantile(x.short, 0.95))
			}
			if limit := test.again*before.again + 5; after.again > limit {
				t.Errorf("got %.0f tokens read again per request, want at most %.0f", after.again, limit)
			}
			for _, list := range [][2][]time.Duration{{before.long, after.long}, {before.short, after.short}} {
				got, limit := quantile(list[1], 0.95), time.Duration(test.p95*float64(quantile(list[0], 0.95)))
				if got > limit {
					t.Errorf("got p95 of %v to the first token, want at most %v", got, limit)
				}
			}
		})
	}
}

// A server that may have restarted has an empty cache. If it kept its record,
// prompts would wait there for nothing.
func TestPrefixAfterFailure(t *testing.T) {
	now := time.Now()
	cached := CachedPrompt{Parts: []policy.PrefixPart{{Key: 1, Tokens: 512}, {Key: 2, Tokens: 4870}}, Alone: 1500, Capacity: 381_103}
	criteria := Criteria{
		Service: "pool", AffinityKey: 7, Cached: cached,
		Prompt: policy.Prompt{Model: "m", SmallestModel: "m", TokenTimeRatio: 2, Work: 2 * 6610, SharedWork: 2 * 5382},
	}
	for name, test := range map[string]struct {
		fail func(f *Fleet, a *Assignment)
		want PrefixExpectation // of the next choice
	}{
		"none":     {func(_ *Fleet, a *Assignment) { a.Release(Good, now) }, PrefixExpectation{policy.PrefixRecorded, 5382, 5382}},
		"declined": {func(_ *Fleet, a *Assignment) { a.Release(Declined, now) }, PrefixExpectation{policy.PrefixRecorded, 5382, 5382}},
		"answer broke off": {func(_ *Fleet, a *Assignment) {
			a.Release(Broke, now)
			a.health = health{} // back in use
		}, PrefixExpectation{policy.PrefixBelieved, 5382, 5382}},
		"other address": {func(f *Fleet, a *Assignment) {
			l := list(4)
			for i := range l {
				l[i].Address = "127.0.0.1:1"
			}
			f.Update(l)
			a.RecordPrompt(cached, policy.PrefixUndecided, now) // of the old server
			a.Release(Good, now)
		}, PrefixExpectation{policy.PrefixBelieved, 5382, 5382}},
		"failures at other gates": {func(f *Fleet, a *Assignment) {
			for i, bad := range []uint32{0, 20} {
				f.MergeLoads(share.Report{Source: "g2", Run: 1, Seq: uint64(i + 1), Loads: []share.Load{{Server: a.loadKey(), Good: 1, Bad: bad}}}, time.Second)
			}
			a.health = health{} // back in use
			a.Release(Good, now)
		}, PrefixExpectation{policy.PrefixBelieved, 5382, 5382}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4)
			a := f.Pick(criteria, now)
			if a.Prefix.Basis != policy.PrefixBelieved || a.pendingWork != 2*(6610-5382) {
				t.Errorf("got %v with %v waiting at first, want a belief and only what has to be read", a.Prefix, a.pendingWork)
			}
			a.AnswerStarted(now)
			a.RecordPrompt(cached, policy.PrefixUndecided, now)
			test.fail(f, a)
			if got := f.Pick(criteria, now); got.Prefix != test.want {
				t.Errorf("got %+v, want %+v", got.Prefix, test.want)
			}
		})
	}
	// Without a capacity, no records are kept and the whole prompt counts as
	// waiting.
	f := newFleet(4)
	criteria.Cached = CachedPrompt{}
	if a := f.Pick(criteria, now); a.Prefix != (PrefixExpectation{policy.PrefixAssumed, 5382, 0}) || a.pendingWork != 2*6610 {
		t.Errorf("got %+v with %v waiting, want the rule without records", a.Prefix, a.pendingWork)
	}
}

// A server whose running requests leave no room evicts what it holds before it
// is used, so the next one in rank takes its place.
func TestPrefixShortOfMemory(t *testing.T) {
	f, now := newFleet(4), time.Now()
	criteria := Criteria{
		Service: "pool", AffinityKey: 7, Cached: CachedPrompt{Parts: []policy.PrefixPart{{Key: 1, Tokens: 5000}}, Alone: 2000, Capacity: 10_000},
		Prompt: policy.Prompt{Model: "m", SmallestModel: "m", TokenTimeRatio: 1, Work: 6500, SharedWork: 5000},
	}
	servers := map[ident.Backend]bool{}
	for range 6 {
		a := f.Pick(criteria, now)
		a.AnswerStarted(now)
		a.RecordPrompt(criteria.Cached, policy.PrefixUndecided, now)
		servers[a.ID] = true
	}
	if len(servers) != 3 {
		t.Errorf("got the servers %v for 6 requests of which 2 fit at each, want 3", servers)
	}
}
