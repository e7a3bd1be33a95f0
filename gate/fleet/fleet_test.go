package fleet

import (
	"fmt"
	"testing"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

func newFleet(n int) *Fleet {
	f := New("a")
	f.Update(list(n))
	return f
}

func list(n int) []platform.ListedBackend {
	var l []platform.ListedBackend
	for i := range n {
		l = append(l, platform.ListedBackend{
			ID: ident.Backend(fmt.Sprintf("s%d", i)), Service: "pool", Address: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			Zone: ident.Zone([]string{"a", "b", "c"}[i%3]), Version: "v1", Slots: 8,
		})
	}
	return l
}

// Every gate must send the requests of one key to the same server; otherwise
// each server would read the shared part of the prompt anew.
func TestAffinity(t *testing.T) {
	now := time.Now()
	one, two := newFleet(12), newFleet(12)
	two.zone = "b"
	criteria := Criteria{Service: "pool", Prompt: policy.Prompt{Work: 8000, SharedWork: 5000}}
	count := map[ident.Backend]int{}
	for key := range uint64(120) {
		criteria.AffinityKey = mixBits(key + 1)
		a, b := one.Pick(criteria, now), two.Pick(criteria, now)
		if a.ID != b.ID {
			t.Errorf("key %d: got %s and %s at two gates", key, a.ID, b.ID)
		}
		count[a.ID]++
		a.Release(Good, now)
		b.Release(Good, now)
	}
	for id, n := range count {
		if n > 30 {
			t.Errorf("%s has %d of 120 keys", id, n)
		}
	}
}

// What other gates have in flight counts like own work until it expires.
func TestPeerLoads(t *testing.T) {
	f := newFleet(2)
	now := time.Now()
	criteria := Criteria{Service: "pool", Prompt: policy.Prompt{Work: 1000}}
	first := f.servers["s0"]
	f.MergeLoads(share.Report{Source: "g2", Zone: "a", Run: 1, Seq: 1, Loads: []share.Load{{Server: first.loadKey(), Running: 4, Reading: 90_000}}}, time.Second)
	for range 3 {
		if got := f.Pick(criteria, now); got.ID != "s1" {
			t.Errorf("got %s, where another gate's prompts wait", got.ID)
		}
	}
	// A datagram that arrives out of order is ignored.
	f.MergeLoads(share.Report{Source: "g2", Zone: "a", Run: 1, Seq: 1}, time.Second)
	if got := f.candidate(first, criteria, now); got.PendingPromptWork != 90_000 {
		t.Errorf("got %v waiting after an old datagram, want 90,000", got.PendingPromptWork)
	}
	if got := f.candidate(first, criteria, now.Add(2*time.Second)); got.PendingPromptWork != 0 {
		t.Errorf("got %v waiting after the gate fell silent, want 0", got.PendingPromptWork)
	}
	f.MergeLoads(share.Report{Source: "g2", Zone: "a", Run: 1, Seq: 2}, time.Second)
	if got := f.candidate(first, criteria, now); got.PendingPromptWork != 0 {
		t.Errorf("got %v waiting after the work ended, want 0", got.PendingPromptWork)
	}
	// Once the source is forgotten, its next run may start at any number.
	f.MergeLoads(share.Report{Source: "g2", Zone: "a", Run: 1, Seq: 9, Loads: []share.Load{{Server: first.loadKey(), Reading: 7}}}, time.Second)
	f.ForgetLoads()
	if got := f.candidate(first, criteria, now); got.PendingPromptWork != 0 {
		t.Errorf("got %v waiting of a source that was forgotten, want 0", got.PendingPromptWork)
	}
}

// A server that fails at several gates is ejected though each of them has seen
// too few failures.
func TestSharedFailures(t *testing.T) {
	f := newFleet(3)
	key := f.servers["s0"].loadKey()
	for i, bad := range []uint32{0, 2, 5} {
		f.MergeLoads(share.Report{Source: "g2", Run: 1, Seq: uint64(i + 1), Loads: []share.Load{{Server: key, Good: 1, Bad: bad}}}, time.Second)
	}
	now := time.Now()
	for range 6 {
		if got := f.Pick(Criteria{Service: "pool"}, now); got.ID == "s0" {
			t.Error("got the server that fails at another gate")
		}
	}
	// The counts in the first datagram of a gate's run are the base of later ones.
	f = newFleet(3)
	f.MergeLoads(share.Report{Source: "g2", Run: 1, Seq: 9, Loads: []share.Load{{Server: key, Good: 1, Bad: 50}}}, time.Second)
	if f.servers["s0"].health.isEjected(time.Now()) {
		t.Error("failures from before a gate's first datagram count")
	}
}

// Missing datagrams show that the path to their zone loses packets.
func TestPathLoss(t *testing.T) {
	f := newFleet(3)
	now := time.Now()
	loss := func(from, to uint64, skip uint64) float64 {
		for seq := from; seq <= to; seq++ {
			if skip == 0 || seq%skip != 0 {
				f.MergeLoads(share.Report{Source: "g2", Zone: "b", Run: 1, Seq: seq}, time.Second)
			}
		}
		return f.path("b").lossShare(now)
	}
	if got := loss(1, 100, 0); got != 0 {
		t.Errorf("got loss %v of a path without loss", got)
	}
	if got := loss(101, 400, 20); got < 0.02 || got > 0.06 {
		t.Errorf("got loss %v with one of 20 lost, want about 0.04", got)
	}
	if got := f.path("c").lossShare(now); got != 0 {
		t.Errorf("got loss %v of another path", got)
	}
}

// A server that cannot be reached is ejected for a while and comes back after
// one successful probe. If it is the only server, it is used all the same.
func TestEjection(t *testing.T) {
	f := newFleet(1)
	now := time.Now()
	criteria := Criteria{Service: "pool"}
	f.Pick(criteria, now).Release(Unreached, now)
	s := f.servers["s0"]
	if !s.health.isEjected(now) {
		t.Fatal("a server that cannot be reached is in use")
	}
	if got := f.Pick(criteria, now); got == nil || got.Reason != policy.ReasonAllEjected {
		t.Fatalf("got %v, want the only server although it is ejected", got)
	} else {
		got.Release(Neutral, now)
	}
	now = now.Add(minEjection + time.Millisecond)
	g := f.Pick(criteria, now)
	if !s.health.isEjected(now) {
		t.Error("more than one attempt tests a server")
	}
	g.Release(Good, now)
	if s.health.isEjected(now) || s.health.isProbeDue(now) {
		t.Error("a server that serves again is not in use")
	}
}

// A server with occasional failures, as all servers have, stays in use.
func TestFewFailures(t *testing.T) {
	f := newFleet(1)
	now := time.Now()
	for i := range 100 {
		o := Good
		if i%7 == 0 {
			o = Failed
		}
		f.Pick(Criteria{Service: "pool"}, now).Release(o, now)
		if f.servers["s0"].health.isEjected(now) {
			t.Fatalf("ejected after %d attempts with one of 7 failed", i+1)
		}
		now = now.Add(50 * time.Millisecond)
	}
}

// Servers that leave or are no longer listed get no new attempts; one that
// restarts under its name at another address counts as a new server.
func TestUpdate(t *testing.T) {
	f := newFleet(2)
	now := time.Now()
	l := list(2)
	l[0].Leaving = true
	f.Update(l)
	for range 4 {
		if got := f.Pick(Criteria{Service: "pool"}, now); got.ID != "s1" {
			t.Errorf("got %s, which leaves", got.ID)
		}
	}
	f.Update(l[:1])
	if got := f.Pick(Criteria{Service: "pool"}, now); got != nil {
		t.Errorf("got %s, which leaves", got.ID)
	}
	old := f.servers["s0"]
	l[0].Address, l[0].Leaving = "127.0.0.1:30000", false
	f.Update(l[:1])
	if f.servers["s0"] == old {
		t.Error("a server at another address kept its connections")
	}
	if got := f.Pick(Criteria{Service: "none"}, now); got != nil {
		t.Errorf("got %s of an unknown service", got.ID)
	}
}

// Servers that an older build lists without a version must not draw the traffic.
func TestIncumbentWithoutVersion(t *testing.T) {
	f := newFleet(0)
	l := list(4)
	l[1].Version, l[2].Version, l[3].Version = "", "", ""
	f.Update(l)
	if got := f.Incumbent("pool"); got != "v1" {
		t.Errorf("got %q, want v1", got)
	}
}

// A version that appears without a rollout must not get traffic.
func TestIncumbent(t *testing.T) {
	f := newFleet(2)
	if got := f.Incumbent("pool"); got != "v1" {
		t.Fatalf("got %q, want v1", got)
	}
	l := list(8)
	for i := 1; i < 8; i++ {
		l[i].Version = "v2"
	}
	f.Update(l)
	if got := f.Incumbent("pool"); got != "v1" {
		t.Errorf("got %q while v1 has a server, want v1", got)
	}
	f.SetIncumbent("pool", "v2")
	if got := f.Incumbent("pool"); got != "v2" {
		t.Errorf("got %q after the rollout, want v2", got)
	}
	f.Update(list(1))
	if got := f.Incumbent("pool"); got != "v1" {
		t.Errorf("got %q when the last v2 is gone, want v1", got)
	}
}

// pull copies the list of one gate to another one, as over the network, without
// the bucket with the given index.
func pull(from, to *Fleet, without int) {
	for _, b := range from.DifferingBuckets(to.BucketDigests()) {
		if int(b.GetIndex()) != without {
			to.MergeBuckets(from.ListReading(), []*wire.Bucket{b})
		}
	}
}

// One gate reads the list for all: the others get what they lack of it, keep it
// while it is confirmed, and read it themselves when they miss a newer one or no
// confirmation arrives.
func TestSharedList(t *testing.T) {
	now := time.Now()
	reader, other := New("a"), New("b")
	reader.SetList(list(30), now)
	if !other.NoteReading(reader.ListReading()) {
		t.Fatal("a list that was never seen is not missing")
	}
	// Until all parts have arrived, none is in use.
	lost := int(bucketOf("s4"))
	pull(reader, other, lost)
	if got := other.CountByVersion("pool")["v1"]; got != 0 {
		t.Errorf("got %d servers of a list with a part missing, want 0", got)
	}
	pull(reader, other, -1)
	if got := other.CountByVersion("pool")["v1"]; got != 30 || other.ListReading() != reader.ListReading() {
		t.Fatalf("got %d servers of reading %v, want 30 of %v", got, other.ListReading(), reader.ListReading())
	}
	due := func(delay time.Duration) time.Duration { return other.NextListRead(time.Second, delay).Sub(now) }
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		if got := due(delay); got != time.Second+delay {
			t.Errorf("due after %v with a delay of %v", got, delay)
		}
	}
	reader.SetList(list(30), now.Add(time.Second))
	if other.NoteReading(reader.ListReading()) || due(0) != 2*time.Second {
		t.Errorf("due after %v when the list was confirmed after 1 s, want 2 s", due(0))
	}
	// Only the parts that differ are sent.
	changed := list(30)
	changed[4].Leaving = true
	reader.SetList(changed, now.Add(1500*time.Millisecond))
	if !other.NoteReading(reader.ListReading()) || due(0) > time.Second {
		t.Errorf("due after %v when another gate has a newer list", due(0))
	}
	parts := reader.DifferingBuckets(other.BucketDigests())
	if len(parts) != 1 || int(parts[0].GetIndex()) != lost {
		t.Errorf("got parts %v, want the one with the server that changed", parts)
	}
	pull(reader, other, -1)
	if !other.servers["s4"].Leaving || other.ListReading() != reader.ListReading() {
		t.Error("the change did not arrive")
	}
	// An older reading changes nothing, and a list that does not match its digest
	// is not used.
	if other.NoteReading(share.Reading{Digest: 9, At: now, Reader: 9, Number: 9}) {
		t.Error("an older list is missing")
	}
	forged := share.Reading{Digest: 9, At: now.Add(3 * time.Second), Reader: 9, Number: 10}
	other.MergeBuckets(forged, []*wire.Bucket{{Index: 0}})
	if got := other.CountByVersion("pool")["v1"]; got != 29 {
		t.Errorf("got %d servers after an altered list, want 29", got)
	}
}

// Gates that missed a new list must not keep the old one current by confirming
// it to each other: a server that leaves would go on to get requests. Each
// datagram takes a moment, so what it confirms looks later than it was.
func TestMutualConfirmation(t *testing.T) {
	now := time.Now()
	a, b := New("a"), New("b")
	a.SetList(list(3), now)
	b.SetList(list(3), now.Add(time.Millisecond))
	own, others := a.ListReading(), b.ListReading()
	a.NoteReading(others)
	newer := share.Reading{Digest: 9, At: now.Add(time.Second), Reader: 9, Number: 1}
	if !a.NoteReading(newer) {
		t.Fatal("a newer list is not missing")
	}
	for i := range 2000 {
		for _, r := range []share.Reading{own, others} {
			r.At = r.At.Add(time.Duration(i) * time.Millisecond)
			a.NoteReading(r)
		}
	}
	if due := a.NextListRead(time.Second, 0); due.Sub(now) > time.Second+time.Millisecond {
		t.Errorf("the list is due %v after its reading, want at most 1 s", due.Sub(now))
	}
	b.SetList(list(3), now.Add(2*time.Second)) // a true reading of the old list, later than the new one
	a.NoteReading(b.ListReading())
	if due := a.NextListRead(time.Second, 0); due.Sub(now) != 3*time.Second {
		t.Errorf("the list is due %v after its reading, want 3 s after a later confirmation", due.Sub(now))
	}
}

// A server that may get no request now must not look idle: a larger model would
// be asked for in vain.
func TestQueuedWorkWithoutClosedServers(t *testing.T) {
	now := time.Now()
	for name, shut := range map[string]func(*Assignment){
		"limit": func(a *Assignment) { a.RecordLimit(platform.RateLimit{Named: true}, now) },
		"pause": func(a *Assignment) { a.RecordPause(now.Add(time.Minute)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2)
			one, two := f.Pick(Criteria{Service: "pool"}, now), f.Pick(Criteria{Service: "pool", Prompt: policy.Prompt{Work: 5000}}, now)
			if one.ID == two.ID {
				t.Fatal("one server got both attempts")
			}
			shut(one)
			for one.fleet.untilOpen(one.Server, now) == 0 {
				one.limit.spend(now)
			}
			if got := f.LeastQueuedWork("pool", now); got != 5000 {
				t.Errorf("got %v queued at the server that takes requests, want 5000", got)
			}
		})
	}
}
