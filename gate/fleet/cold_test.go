package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/core/policy"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

const testColdDuration = 10 * time.Second

// newColdFleet returns a fleet with n servers that have been warm for long and a
// gate that knows the given number of others.
func newColdFleet(n, others int) *Fleet {
	f := New("a")
	f.SetColdBounds(policy.ColdBounds{Overage: 1.5, Tolerance: 5})
	f.SetColdRules(map[ident.Service]plan.Service{"pool": {Cold: plan.Cold{Duration: testColdDuration, Rate: 11}}})
	f.SetList(list(n), time.Now())
	setGates(f, others)
	time.Sleep(gatesSettling)
	return f
}

func setGates(f *Fleet, others int) {
	g := share.Gates{Self: 1000}
	for i := range others {
		g.Others = append(g.Others, uint64(i+1))
	}
	f.SetExchange(g, 0)
}

// perSecond counts the requests that a gate sends to a server within a second, to
// all if no server is named.
func perSecond(f *Fleet, id ident.Backend) (n int) {
	for range 100 {
		time.Sleep(10 * time.Millisecond)
		if a := f.Pick(Criteria{Service: "pool"}, time.Now()); a != nil {
			if id == "" || a.ID == id {
				n++
			}
			a.RecordCold(platform.ColdTime{}, time.Now())
			a.Release(Neutral, time.Now())
		}
	}
	return n
}

// Each sign of a start must make a server cold for as long as it says, and only
// where the configuration names a rate.
func TestColdSigns(t *testing.T) {
	relist := func(change func(x *platform.ListedBackend)) func(*Fleet) {
		return func(f *Fleet) {
			l := list(1)
			change(&l[0])
			f.SetList(l, time.Now().Add(time.Second))
		}
	}
	attempt := func(do func(a *Assignment)) func(*Fleet) {
		return func(f *Fleet) { do(f.Pick(Criteria{Service: "pool"}, time.Now())) }
	}
	for name, x := range map[string]struct {
		sign func(f *Fleet)
		want time.Duration
	}{
		"none":               {func(*Fleet) {}, 0},
		"list":               {relist(func(x *platform.ListedBackend) { x.ColdLeft, x.ColdNamed = 4*time.Second, true }), 5 * time.Second},
		"new address":        {relist(func(x *platform.ListedBackend) { x.Address = "127.0.0.1:9" }), testColdDuration},
		"new, named as warm": {relist(func(x *platform.ListedBackend) { x.Address, x.ColdNamed = "127.0.0.1:9", true }), 0},
		"other start":        {relist(func(x *platform.ListedBackend) { x.Born = 2 }), testColdDuration},
		"answer":             {attempt(func(a *Assignment) { a.RecordCold(platform.ColdTime{Named: true, Left: 3 * time.Second}, time.Now()) }), 3 * time.Second},
		"answer says warm":   {attempt(func(a *Assignment) { a.RecordCold(platform.ColdTime{Named: true}, time.Now()) }), 0},
		"refused":            {attempt(func(a *Assignment) { a.RecordRefused(time.Now()) }), answerTimeout + testColdDuration},
		"not reached once":   {attempt(func(a *Assignment) { a.RecordUnreached(time.Now()) }), 0},
		"not reached for long": {attempt(func(a *Assignment) {
			a.RecordUnreached(time.Now().Add(-unreachedSpan))
			a.RecordUnreached(time.Now())
		}), answerTimeout + testColdDuration},
		"one connection ended":  {attempt(func(a *Assignment) { a.RecordCutOff(time.Now()) }), 0},
		"all connections ended": {attempt(func(a *Assignment) { a.RecordCutOff(time.Now()); a.RecordCutOff(time.Now()) }), answerTimeout + testColdDuration},
		"zone returns":          {func(f *Fleet) { f.SetEvacuated([]ident.Zone{"a"}); f.SetEvacuated(nil) }, answerTimeout + testColdDuration},
		"another gate":          {func(f *Fleet) { f.MergeColds([]share.Cold{{Server: HashBackend("s0"), Left: 7 * time.Second}}) }, 7 * time.Second},
		"down at another gate":  {func(f *Fleet) { f.MergeColds([]share.Cold{{Server: HashBackend("s0"), Down: true}}) }, answerTimeout + testColdDuration},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newColdFleet(1, 0)
				relist(func(x *platform.ListedBackend) { x.Born = 1 })(f)
				x.sign(f)
				if got := max(0, time.Until(f.servers["s0"].cold.until)); got != x.want {
					t.Errorf("got cold for %v, want %v", got, x.want)
				}
				f = newColdFleet(1, 0)
				f.SetColdRules(nil)
				x.sign(f)
				if f.untilOpen(f.servers["s0"], time.Now()) > 0 {
					t.Error("got a server that is withheld though the configuration names no rate")
				}
			})
		})
	}
}

// A server that was seen down is cold until some time after it answers again, and
// what another gate still says of the time before must not shorten that.
func TestColdAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(1, 0)
		s := f.servers["s0"]
		f.Pick(Criteria{Service: "pool"}, time.Now()).RecordRefused(time.Now())
		if got := f.Colds(); len(got) != 1 || !got[0].Down {
			t.Errorf("got %v for other gates, want the server as down", got)
		}
		time.Sleep(3 * time.Second)
		f.MergeColds([]share.Cold{{Server: s.loadKey(), Left: time.Second}})
		if !s.cold.unanswered {
			t.Error("got a server that answers again by the cold time before its crash")
		}
		a := f.Pick(Criteria{Service: "pool"}, time.Now())
		a.RecordCold(platform.ColdTime{}, time.Now())
		a.Release(Good, time.Now())
		if got := time.Until(s.cold.until); got != testColdDuration {
			t.Errorf("got cold for %v after the first answer, want %v", got, testColdDuration)
		}
		// Gates must not prolong the time for each other.
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			news := f.Colds()
			news[0].Left += 500 * time.Millisecond // on its way
			f.MergeColds(news)
		}
		if got := time.Until(s.cold.until); got != testColdDuration-5*time.Second {
			t.Errorf("got cold for another %v after 5 s, want 5 s less", got)
		}
	})
}

// What a gate knows of the others decides its share: nothing before they are
// known for some time, never more when some of them disappear for less than
// gateMemory, and less when one joins.
func TestColdShareByGates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(2, 0)
		f.SetColdRules(map[ident.Service]plan.Service{"pool": {Cold: plan.Cold{Duration: time.Hour, Rate: 11}}})
		for _, s := range f.servers {
			f.beginCold(s, time.Now().Add(time.Hour), "test", time.Now())
		}
		time.Sleep(2 * coldPause)
		alone := perSecond(f, "s0")
		setGates(f, 4)
		shared := perSecond(f, "s0")
		if alone < 8 || shared < 1 || shared > 3 {
			t.Errorf("got %d requests a second of one gate and %d of one of 5, want 8 to 10 and about 2", alone, shared)
		}
		setGates(f, 0)
		if got := perSecond(f, "s0"); got > shared+1 {
			t.Errorf("got %d requests a second when the others are off the list, want still %d", got, shared)
		}
		time.Sleep(gateMemory)
		if got := perSecond(f, "s0"); got < 8 {
			t.Errorf("got %d requests a second long after the others left, want at least 8", got)
		}
		// A gate that does not know the others uses cold servers as a last resort.
		f.cold.gates = knownGates{}
		time.Sleep(2 * time.Second)
		sent := 0
		for range 20 {
			sent += perSecond(f, "")
		}
		if sent < 3 || sent > 6 {
			t.Errorf("got %d requests in 20 s of a gate without knowledge of the others, want 3 to 6", sent)
		}
	})
}

// A countdown in the list must not make each reading another list; gates that get
// it from others must know the same end of the cold time, and one whose start
// the list names must not be withheld by the gate's own start.
func TestColdInSharedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, other := newColdFleet(30, 0), newColdFleet(0, 0)
		reading := func(left time.Duration) {
			l := list(30)
			for i := range l {
				l[i].ColdNamed = true
			}
			l[4].ColdLeft = left
			reader.SetList(l, time.Now())
		}
		reading(8 * time.Second)
		digests := []uint64{reader.ListReading().Digest}
		pull(reader, other, -1)
		for left := 7; left >= 0; left-- {
			time.Sleep(time.Second)
			reading(time.Duration(left)*time.Second + 300*time.Millisecond*time.Duration(left%2))
			digests = append(digests, reader.ListReading().Digest)
			if got := time.Until(other.servers["s4"].cold.until); (got - time.Duration(left)*time.Second).Abs() > coldTolerance {
				t.Errorf("got cold for %v at another gate, want %d s", got, left)
			}
		}
		if got := len(slices.Compact(digests)); got != 2 {
			t.Errorf("got %d lists in one cold time, want one with the server cold and one with it warm", got)
		}
		if cold := other.servers["s5"].cold; cold.isCold(time.Now()) {
			t.Errorf("got s5 cold until %v at the first list of a gate", cold.until)
		}
	})
}
