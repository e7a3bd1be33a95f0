package ledger

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"citronledge.example/core/wire"
)

// fixSeed sets a fixed seed for rapid, so that every run is the same, unless a seed
// is set on the command line.
func fixSeed(t *testing.T) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260812")
	}
}

// TestRandomCommands applies random, duplicated and reordered commands. It guards
// against an operation whose call is granted to two attempts, a request that is
// billed twice, and two changes accepted under one number.
func TestRandomCommands(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		c := &checker{l: New(), granted: map[string]string{}, billed: map[string]bool{}, digests: map[uint64]string{}}
		c.apply(t, enroll())
		c.apply(t, enroll())
		var log []*wire.Command
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			if len(log) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
				c.apply(t, rapid.SampledFrom(log).Draw(t, "old"))
				continue
			}
			cmd := drawCommand(t, i)
			log = append(log, cmd)
			c.apply(t, cmd)
		}
		roundTrip(t, c.l)
	})
}

func drawCommand(t *rapid.T, i int) *wire.Command {
	key := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
	fence := rapid.Uint64Range(1, 4).Draw(t, "fence")
	run := rapid.Uint64Range(1, 4).Draw(t, "run")
	backend := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "backend")
	nonce := rapid.Uint64Range(0, 2).Draw(t, "nonce")
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return begin(run, key, "b", "d", fmt.Sprint(i%3))
	case 1, 2:
		return hand(key, fence, backend, nonce)
	case 3:
		return finish(key, fence, uint32(rapid.SampledFrom([]int{0, 200}).Draw(t, "status")))
	case 4:
		return abort(key, fence, rapid.SampledFrom([]string{"", "b1", "b2"}).Draw(t, "by"), nonce)
	case 5:
		return settle(key, rapid.Bool().Draw(t, "ran"))
	case 6:
		return retire(run)
	case 7:
		return bill(run, rapid.Uint64Range(1, 6).Draw(t, "sequence"))
	case 9:
		return evacuate(backend, rapid.Bool().Draw(t, "end"))
	case 8:
		return change(rapid.Uint64Range(1, 5).Draw(t, "number"), setEntry("limits", fmt.Sprintf(`{"body":%d}`, i%3+1)))
	}
	return enroll()
}

// checker applies commands and records what the results promised.
type checker struct {
	l       *Ledger
	index   uint64
	now     uint64
	granted map[string]string // the one attempt that may call the service, by operation, until an abort
	billed  map[string]bool
	digests map[uint64]string
}

func (c *checker) apply(t *rapid.T, cmd *wire.Command) {
	c.index++
	c.now += uint64(rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second}).Draw(t, "pause") / time.Millisecond)
	cmd = proto.CloneOf(cmd)
	cmd.Time = c.now
	data, _ := proto.Marshal(cmd)
	var r wire.Result
	if err := proto.Unmarshal(c.l.Apply(c.index, data), &r); err != nil {
		t.Fatal(err)
	}
	op := r.GetOperation()
	switch k := cmd.GetKind().(type) {
	case *wire.Command_Hand:
		if !op.GetGranted() {
			return
		}
		attempt := fmt.Sprint(k.Hand.GetFence(), k.Hand.GetBackend(), k.Hand.GetNonce())
		if old, ok := c.granted[op.GetId()]; ok && (old != attempt || k.Hand.GetNonce() == 0) {
			t.Fatalf("operation %s: granted to %s after %s", op.GetId(), attempt, old)
		}
		c.granted[op.GetId()] = attempt
	case *wire.Command_Abort, *wire.Command_Settle:
		if r.GetFault() == nil && op.GetPhase() == string(phaseAborted) {
			delete(c.granted, op.GetId())
		}
	case *wire.Command_Bills:
		one := k.Bills.GetBills()[0]
		id := fmt.Sprint(one.GetIncarnation(), one.GetSequence())
		if r.GetBilled().GetFresh() > 0 && c.billed[id] {
			t.Fatalf("bill %s is settled twice", id)
		}
		c.billed[id] = c.billed[id] || r.GetBilled().GetFresh() > 0
	case *wire.Command_Change:
		c.checkChange(t, k.Change, &r)
	}
}

func (c *checker) checkChange(t *rapid.T, ch *wire.Change, r *wire.Result) {
	if r.GetFault() != nil {
		return
	}
	won, ok := c.digests[ch.GetNumber()]
	if ok && won != ch.GetDigest() {
		t.Fatalf("number %d is accepted with two digests", ch.GetNumber())
	}
	if ok != r.GetChanged().GetRepeat() || (!ok && ch.GetNumber() != uint64(len(c.digests))+1) {
		t.Fatalf("number %d: got %v after %d changes", ch.GetNumber(), r.GetChanged(), len(c.digests))
	}
	c.digests[ch.GetNumber()] = ch.GetDigest()
}

// FuzzApply guards against a log record that crashes all state processes: whatever
// the log holds, Apply must return a result and the state must survive a snapshot.
func FuzzApply(f *testing.F) {
	for _, c := range []*wire.Command{
		enroll(), begin(1, "k", "b", "d", "r"), hand("k", 1, "b1", 1), finish("k", 1, 0), settle("k", true),
		abort("k", 1, "b1", 1), bill(1, 1, 1<<64-1), pin("s", "v1", "v2"), retire(1), change(1, setEntry("limits", "{}")),
		{Time: 1<<64 - 1, Kind: &wire.Command_Batch{Batch: &wire.Batch{Commands: []*wire.Command{bill(1, 2), enroll()}}}},
		evacuate("a", false),
		evacuate("a", true),
		{Kind: &wire.Command_Members{Members: &wire.Members{Entries: []*wire.Entry{setEntry("members/a", "{}")}}}},
	} {
		data, _ := proto.Marshal(c)
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, one, two []byte) {
		l := New()
		first, _ := proto.Marshal(enroll())
		for i, data := range [][]byte{first, one, two, one} {
			var r wire.Result
			if err := proto.Unmarshal(l.Apply(uint64(i+1), data), &r); err != nil {
				t.Fatal(err)
			}
		}
		roundTrip(t, l)
		_ = l.UnbilledSequences()
		_ = New().Restore(one)
	})
}
