package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// holdQueue returns the queue of a gate started at epoch.
func holdQueue(n int, bytes int64) *HoldQueue {
	return NewHoldQueue(HoldConfig{Expected: time.Second, MaxRequests: n, MaxBytes: bytes}, epoch)
}

func at(d time.Duration) time.Time { return epoch.Add(d) }

// Guards against holding requests that cannot be served in time, against queues
// without bound, and against holding callers of a system that never had a
// configuration.
func TestHoldOffer(t *testing.T) {
	const ms = time.Millisecond
	for name, x := range map[string]struct {
		arrival, deadline time.Duration // since the start; deadline 0 if unknown
		held              int
		announced         int64
		want              Action
		why               Reason
	}{
		"in time":              {100 * ms, 1500 * ms, 0, 0, Wait, ReasonHeld},
		"too late":             {100 * ms, 1100 * ms, 0, 0, Refuse, ReasonStartLate},
		"no deadline":          {100 * ms, 0, 0, 0, Wait, ReasonHeld},
		"overdue, little time": {1600 * ms, 2100 * ms, 0, 0, Refuse, ReasonStartLate},
		"overdue, enough time": {1600 * ms, 3000 * ms, 0, 0, Wait, ReasonHeld},
		"long after the start": {2000 * ms, 9000 * ms, 0, 0, Refuse, ReasonStartOver},
		"full in number":       {100 * ms, 5000 * ms, 10, 0, Refuse, ReasonStartFull},
		"full in bytes":        {100 * ms, 5000 * ms, 0, 1 << 20, Refuse, ReasonStartFull},
		"fits":                 {100 * ms, 5000 * ms, 9, 1 << 10, Wait, ReasonHeld},
	} {
		t.Run(name, func(t *testing.T) {
			q := holdQueue(10, 1<<20)
			for range x.held {
				q.Offer(epoch, at(9*time.Second), 0)
			}
			var deadline time.Time
			if x.deadline > 0 {
				deadline = at(x.deadline)
			}
			_, got := q.Offer(at(x.arrival), deadline, x.announced)
			if got.Action != x.want || got.Reason != x.why {
				t.Errorf("got %v (%s), want %v (%s)", got.Action, got.Reason, x.want, x.why)
			}
			if got.Action == Refuse && (got.RetryAfter < minHoldRetry || got.RetryAfter > maxHoldLimit) {
				t.Errorf("got Retry-After %v, want it between %v and %v", got.RetryAfter, minHoldRetry, maxHoldLimit)
			}
		})
	}
}

// Bytes are charged as they arrive, and come back with each request that ends.
func TestHoldBytes(t *testing.T) {
	q := holdQueue(10, 2*HoldOverhead+100)
	a, _ := q.Offer(epoch, time.Time{}, 0)
	b, _ := q.Offer(epoch, time.Time{}, 0)
	if !q.Grow(a, 60) || q.Grow(b, 60) || !q.Grow(b, 40) {
		t.Errorf("got %d bytes charged, want 60 and 40 beside the overhead of two", q.Bytes())
	}
	q.Drop(a)
	q.Drop(a)
	if got, want := q.Bytes(), int64(HoldOverhead+40); got != want {
		t.Errorf("got %d bytes after one request ended, want %d", got, want)
	}
	q.Clear()
	if q.Bytes() != 0 || q.Len() != 0 {
		t.Errorf("got %d bytes of %d requests after all ended, want none", q.Bytes(), q.Len())
	}
}

// A gate that gets no configuration must refuse what it holds at the latest when
// the time to hold ends, and requests with early deadlines before that.
func TestHoldWithoutConfiguration(t *testing.T) {
	q := holdQueue(10, 1<<20)
	early, _ := q.Offer(epoch, at(1300*time.Millisecond), 0)
	late, _ := q.Offer(epoch, at(time.Hour), 0)
	q.Complete(late)
	for _, x := range []struct {
		at   time.Duration
		want []HoldID
	}{{1000 * time.Millisecond, nil}, {1101 * time.Millisecond, []HoldID{early}}, {2000 * time.Millisecond, []HoldID{late}}} {
		if run, refused := q.Next(at(x.at)); run != nil || !slices.Equal(refused, x.want) {
			t.Errorf("at %v: got run %v, refused %v; want refused %v", x.at, run, refused, x.want)
		}
	}
}

// Guards against a release in the order of arrival, against a release of all in
// one instant, and against waiting for bodies that are not whole.
func TestHoldRelease(t *testing.T) {
	q := holdQueue(100, 1<<20)
	var want []HoldID
	for i := range 20 {
		id, _ := q.Offer(epoch, at(9*time.Second-time.Duration(i)*time.Millisecond), 0)
		q.Complete(id)
		want = append([]HoldID{id}, want...)
	}
	slow, _ := q.Offer(epoch, at(20*time.Second), 0)
	q.SetReady(at(time.Second))
	first, _ := q.Next(at(time.Second))
	if !slices.Equal(first, []HoldID{slow, want[0]}) {
		t.Errorf("got %v released first, want %v: the one without its body, and the earliest deadline", first, []HoldID{slow, want[0]})
	}
	got := first[1:]
	for now := at(time.Second); q.Len() > 0 && now.Before(at(3*time.Second)); now = now.Add(time.Millisecond) {
		run, _ := q.Next(now)
		if len(run) > 1 {
			t.Fatalf("got %d releases within a millisecond, want 1 of 20 in %v", len(run), releaseTime)
		}
		got = append(got, run...)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got released %v, want by deadline %v", got, want)
	}
}

// One unusual start must neither hide the usual time nor make the gate refuse
// what it can serve.
func TestObservedStart(t *testing.T) {
	for name, x := range map[string]struct{ expected, took, want time.Duration }{
		"first":                  {0, 900 * time.Millisecond, time.Second},
		"quick":                  {time.Second, 20 * time.Millisecond, 510 * time.Millisecond},
		"quick again":            {510 * time.Millisecond, 20 * time.Millisecond, minStartTime},
		"slow":                   {time.Second, 2 * time.Second, 1500 * time.Millisecond},
		"slow again":             {2500 * time.Millisecond, 4 * time.Second, maxStartTime},
		"no configuration known": {time.Second, time.Minute, time.Second},
	} {
		if got := ObservedStart(x.expected, x.took); got != x.want {
			t.Errorf("%s: got %v, want %v", name, got, x.want)
		}
	}
}

// startCaller is a caller of the load test. It retries after a refusal: when the
// refusal suggests it, but within a third of the time that it has left.
type startCaller struct {
	arrival, deadline, served time.Duration // since the start of the gate; served 0 if never
	states                    bool          // the deadline is in the request
	tries                     int
}

// startLoad plays 1,200 callers that arrive in the second before the
// configuration does. With hold, a HoldQueue decides; otherwise all requests are
// refused until the configuration is there.
func startLoad(t *testing.T, ready time.Duration, hold bool) []*startCaller {
	const callers, step = 1200, time.Millisecond
	rng := rand.New(rand.NewPCG(7, 7))
	q := holdQueue(2000, 16<<20)
	waiting, due := map[HoldID]*startCaller{}, map[time.Duration][]*startCaller{}
	var list []*startCaller
	limits := []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 9 * time.Second, 5 * time.Second}
	for i := range callers {
		arrival := (ready - time.Second + time.Duration(rng.Int64N(int64(time.Second)))).Truncate(step)
		c := &startCaller{arrival: arrival, deadline: arrival + limits[i%5], states: i%5 != 4}
		list, due[arrival] = append(list, c), append(due[arrival], c)
	}
	served := map[time.Duration]int{} // by tenth of the release time
	for now := time.Duration(0); now < ready+10*time.Second; now += step {
		serve := func(c *startCaller) {
			if now+100*time.Millisecond > c.deadline {
				t.Errorf("a request with the deadline %v was run at %v", c.deadline, now)
			}
			c.served = now
		}
		refuse := func(c *startCaller, retry time.Duration) {
			wait := min(retry, (c.deadline-now)/3).Truncate(step) + step
			if now+wait+serveReserve < c.deadline {
				due[now+wait] = append(due[now+wait], c)
			}
		}
		if hold && now >= ready {
			q.SetReady(at(now))
		}
		for _, c := range due[now] {
			c.tries++
			var deadline time.Time
			if c.states {
				deadline = at(c.deadline)
			}
			id, a := HoldID(0), Admission{Action: Refuse, RetryAfter: max(300*time.Millisecond, 1500*time.Millisecond-now)}
			if hold {
				id, a = q.Offer(at(now), deadline, 0)
				q.Complete(id)
			} else if now >= ready {
				a.Action = Run
			}
			switch a.Action {
			case Run:
				serve(c)
			case Wait:
				waiting[id] = c
			case Refuse:
				refuse(c, a.RetryAfter)
			}
		}
		run, refused := q.Next(at(now))
		for _, id := range run {
			serve(waiting[id])
			served[now/(releaseTime/10)]++
		}
		for _, id := range refused {
			refuse(waiting[id], q.RetryAfter(at(now)))
		}
	}
	for tenth, n := range served {
		if n > callers/5 {
			t.Errorf("%d held requests were released in the tenth %d of the release time, want at most %d", n, tenth, callers/5)
		}
	}
	return list
}

// Guards against a queue that serves fewer callers, or later, than refusing all
// requests of a starting gate does; also if the configuration comes later than
// expected.
func TestHoldLoad(t *testing.T) {
	for name, ready := range map[string]time.Duration{"as expected": time.Second, "late": 1500 * time.Millisecond, "very late": 1900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var served, intime, tries [2]int
			var wait [2]time.Duration
			for i, hold := range []bool{false, true} {
				for _, c := range startLoad(t, ready, hold) {
					tries[i] += c.tries
					if c.served > 0 {
						served[i]++
						wait[i] += c.served - c.arrival
						// The targets of callers are 1.5 to 2 s in total.
						if c.served-c.arrival <= 1300*time.Millisecond {
							intime[i]++
						}
					}
				}
				wait[i] /= time.Duration(max(1, served[i]))
			}
			t.Logf("refusing all: %d served, %d within 1.3 s, mean wait %v, %d tries; holding: %d, %d, %v, %d",
				served[0], intime[0], wait[0], tries[0], served[1], intime[1], wait[1], tries[1])
			if served[1] < served[0] || intime[1] < intime[0] {
				t.Errorf("got %d served, %d within 1.3 s with a queue; want at least %d and %d as without", served[1], intime[1], served[0], intime[0])
			}
			if ready == time.Second && (intime[1] == intime[0] || wait[1] >= wait[0]) {
				t.Errorf("got %d within 1.3 s and a mean wait of %v with a queue, want better than %d and %v", intime[1], wait[1], intime[0], wait[0])
			}
			if tries[1] >= tries[0] {
				t.Errorf("got %d tries with a queue, want fewer than %d without", tries[1], tries[0])
			}
		})
	}
}
