package ledger

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// fixture applies commands to a ledger, stamped with a time that the test advances.
type fixture struct {
	t     testing.TB
	l     *Ledger
	index uint64
	now   uint64 // ms since the Unix epoch
}

func newFixture(t testing.TB) *fixture { return &fixture{t: t, l: New(), now: 1_700_000_000_000} }

func (r *fixture) apply(c *wire.Command) *wire.Result {
	r.index++
	c.Time = r.now
	if c.Actor == "" {
		c.Actor = "tester"
	}
	data, err := proto.Marshal(c)
	if err != nil {
		r.t.Fatal(err)
	}
	var res wire.Result
	if err := proto.Unmarshal(r.l.Apply(r.index, data), &res); err != nil {
		r.t.Fatal(err)
	}
	return &res
}

func (r *fixture) advance(d time.Duration) { r.now += uint64(d / time.Millisecond) }

// expect applies a command and fails the test unless the result carries a fault of
// the kind, or none if the kind is empty.
func (r *fixture) expect(c *wire.Command, kind fault.Kind) *wire.Result {
	r.t.Helper()
	res := r.apply(c)
	if got := res.GetFault().GetKind(); got != string(kind) {
		r.t.Fatalf("%T: got fault %q (%s), want %q", c.GetKind(), got, res.GetFault().GetMessage(), kind)
	}
	return res
}

func change(n uint64, entries ...*wire.Entry) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Change{Change: &wire.Change{Number: n, Digest: ChangeDigest(entries), Entries: entries}}}
}

func setEntry(key, value string) *wire.Entry { return &wire.Entry{Key: key, Value: []byte(value)} }
func deleteEntry(key string) *wire.Entry     { return &wire.Entry{Key: key, Gone: true} }

func enroll() *wire.Command {
	return &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Name: "gate"}}}
}

func retire(id uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Retire{Retire: &wire.Retire{Incarnation: id}}}
}

func begin(run uint64, key, business, digest, request string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Begin{Begin: &wire.Begin{
		Customer: "acme", Route: "pay", Key: key, Business: business, Digest: digest, Incarnation: run, Request: request,
	}}}
}

func hand(key string, fence uint64, backend string, nonce uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Hand{Hand: &wire.Hand{Operation: "acme/pay/" + key, Fence: fence, Backend: backend, Nonce: nonce}}}
}

func finish(key string, fence uint64, status uint32) *wire.Command {
	f := &wire.Finish{Operation: "acme/pay/" + key, Fence: fence, Status: status, Unknown: status == 0}
	return &wire.Command{Kind: &wire.Command_Finish{Finish: f}}
}

func abort(key string, fence uint64, backend string, nonce uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Abort{Abort: &wire.Abort{Operation: "acme/pay/" + key, Fence: fence, Backend: backend, Nonce: nonce}}}
}

func settle(key string, ran bool) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Settle{Settle: &wire.Settle{Operation: "acme/pay/" + key, Ran: ran, Status: 200}}}
}

// settleAfterLookup settles an operation by what a look-up under a fence found.
func settleAfterLookup(key string, fence uint64, ran bool) *wire.Command {
	c := settle(key, ran)
	c.GetSettle().Fence = fence
	return c
}

func bill(run uint64, sequences ...uint64) *wire.Command {
	b := &wire.Bills{}
	for _, n := range sequences {
		b.Bills = append(b.Bills, &wire.Bill{
			Incarnation: run, Sequence: n, Customer: "acme",
			Usages: []*wire.Usage{{Model: "small", Version: "v1", Input: 100, Output: 20, Cost: 3}},
		})
	}
	return &wire.Command{Kind: &wire.Command_Bills{Bills: b}}
}

func pin(session, version, replaces string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Pin{Pin: &wire.Pin{Customer: "acme", Session: session, Model: "small", Version: version, Replaces: replaces}}}
}

// step is one command of a test table, applied after a pause, with the kind of the
// expected fault, or "".
type step struct {
	pause time.Duration
	c     *wire.Command
	want  fault.Kind
}

// TestRefusals guards against a command that is accepted although it must be
// refused, or refused with another kind of fault than the one its sender acts on.
func TestRefusals(t *testing.T) {
	tests := map[string][]step{
		"gap in the numbers": {{0, change(2, setEntry("limits", "{}")), fault.Conflict}},
		"equal number, same digest": {
			{0, change(1, setEntry("limits", "{}")), ""},
			{0, change(1, setEntry("limits", "{}")), ""},
		},
		"equal number, other digest": {
			{0, change(1, setEntry("limits", "{}")), ""},
			{0, change(1, setEntry("limits", `{"body":5}`)), fault.Conflict},
		},
		"wrong digest": {{0, &wire.Command{Kind: &wire.Command_Change{Change: &wire.Change{
			Number: 1, Digest: "00", Entries: []*wire.Entry{setEntry("limits", "{}")},
		}}}, fault.Invalid}},
		"folder and command keys mixed": {{0, change(1, setEntry("limits", "{}"), deleteEntry("withdrawn/small/v1")), fault.Invalid}},
		"members by a change":           {{0, change(1, setEntry("members/a", "{}")), fault.Invalid}},
		"value that gates cannot read":  {{0, change(1, setEntry("customers/a", `{"weight":"x"}`)), fault.Invalid}},
		"withdrawal without a version":  {{0, change(1, setEntry("withdrawn/small", `{}`)), fault.Invalid}},
		"same key twice":                {{0, change(1, setEntry("limits", "{}"), deleteEntry("limits")), fault.Invalid}},
		"folder key in the member list": {{0, &wire.Command{Kind: &wire.Command_Members{Members: &wire.Members{
			Entries: []*wire.Entry{deleteEntry("customers/a")},
		}}}, fault.Invalid}},
		"begin of a retired incarnation": {{0, retire(1), ""}, {0, begin(1, "k", "", "d", "r"), fault.Stale}},
		"begin by a second request": {
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, begin(1, "k", "", "d", "other"), fault.Busy},
			{0, begin(2, "k", "", "d", "r"), fault.Busy},
		},
		"same key, other body": {{0, begin(1, "k", "", "d", "r"), ""}, {0, begin(1, "k", "", "e", "r"), fault.Conflict}},
		"same business key": {
			{0, begin(1, "k", "b", "d", "r"), ""},
			{0, begin(1, "l", "b", "d", "s"), fault.Conflict},
			{0, abort("k", 1, "", 0), ""},
			{0, begin(1, "l", "b", "d", "s"), ""},
			{0, begin(1, "k", "b", "d", "r"), fault.Conflict},
		},
		"take-over from a retired incarnation": {
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, retire(1), ""},
			{0, begin(2, "k", "", "d", "s"), ""},
			{0, hand("k", 1, "b1", 7), fault.Stale},
			{0, hand("k", 2, "b1", 7), ""},
		},
		"no take-over after the call is granted": {
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, hand("k", 1, "b1", 7), ""},
			{0, retire(1), ""},
			{0, begin(2, "k", "", "d", "s"), fault.Busy},
		},
		"call granted to one attempt only": {
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, hand("k", 1, "b1", 7), ""},
			{0, hand("k", 1, "b1", 7), ""},
			{0, hand("k", 1, "b1", 8), fault.Stale},
			{0, hand("k", 1, "b2", 7), fault.Stale},
		},
		"repeat of a grant without a nonce": {
			{0, begin(1, "k", "", "d", "r"), ""}, {0, hand("k", 1, "b1", 0), ""}, {0, hand("k", 1, "b1", 0), fault.Stale},
		},
		"abort after the call is granted": {
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, hand("k", 1, "b1", 7), ""},
			{0, abort("k", 1, "", 0), fault.Conflict},
			{0, abort("k", 1, "b1", 8), fault.Conflict},
			{0, abort("k", 1, "b1", 7), ""},
			{0, begin(1, "k", "", "other", "r"), ""},
			{0, finish("k", 1, 200), fault.Stale},
		},
		"finish before the call is granted": {{0, begin(1, "k", "", "d", "r"), ""}, {0, finish("k", 1, 200), fault.Conflict}},
		"done is replayed and stays done": {
			{0, begin(1, "k", "b", "d", "r"), ""},
			{0, hand("k", 1, "b1", 7), ""},
			{0, finish("k", 1, 200), ""},
			{0, finish("k", 1, 0), ""},
			{0, begin(2, "k", "b", "d", "s"), ""},
			{0, hand("k", 1, "b1", 7), fault.Stale},
			{0, settle("k", false), fault.Conflict},
			{OperationRetention - time.Hour, begin(2, "k", "b", "d", "s"), ""},
			{time.Hour, hand("k", 1, "b1", 7), fault.Stale},
		},
		"a business key never runs again": {
			{0, begin(1, "k", "b", "d", "r"), ""},
			{0, hand("k", 1, "b1", 7), ""},
			{0, finish("k", 1, 200), ""},
			{OperationRetention, begin(2, "k", "b", "d", "s"), fault.Conflict},
			{1000 * OperationRetention, begin(2, "l", "b", "d", "s"), fault.Conflict},
			{0, settle("k", false), fault.Conflict},
		},
		"an operation without a business key is dropped": {
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, hand("k", 1, "b1", 7), ""},
			{0, finish("k", 1, 200), ""},
			{OperationRetention, hand("k", 1, "b1", 7), fault.Missing},
		},
		"look-up of an earlier run": {
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, hand("k", 1, "pay", 1), ""},
			{0, finish("k", 1, 0), ""},
			{3 * time.Second, settleAfterLookup("k", 1, false), ""},
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, hand("k", 2, "pay", 2), ""},
			{0, finish("k", 2, 0), ""},
			{3 * time.Second, settleAfterLookup("k", 1, false), fault.Stale},
			{0, settleAfterLookup("k", 1, true), fault.Stale},
			{0, settleAfterLookup("k", 2, true), ""},
		},
		"settle too early": {
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, hand("k", 1, "b1", 7), ""},
			{0, settle("k", false), fault.Conflict},
			{0, finish("k", 1, 0), ""},
			{0, begin(1, "k", "", "d", "r"), fault.Unknown},
			{2019 * time.Millisecond, settle("k", false), fault.Busy},
			{time.Millisecond, settle("k", false), ""},
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, hand("k", 1, "b1", 7), fault.Stale},
		},
		"no report after the call is granted": {
			{0, begin(1, "k", "", "d", "r"), ""},
			{0, hand("k", 1, "b1", 7), ""},
			{HandedTimeout, begin(1, "k", "", "d", "r"), fault.Unknown},
			{0, finish("k", 1, 200), ""},
			{0, begin(1, "k", "", "d", "r"), ""},
		},
		"bill of an unknown incarnation": {{0, bill(9, 1), fault.Invalid}},
		"bill of a retired incarnation":  {{0, retire(1), ""}, {0, bill(1, 1), ""}},
		"pin of a withdrawn version":     {{0, change(1, setEntry("withdrawn/small/v1", "{}")), ""}, {0, pin("s", "v1", ""), fault.Stale}},
		"batch of bills and pins": {{0, &wire.Command{Kind: &wire.Command_Batch{Batch: &wire.Batch{
			Commands: []*wire.Command{bill(1, 1), pin("s", "v1", "")},
		}}}, ""}},
		"no kind": {{0, &wire.Command{}, fault.Invalid}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t)
			r.expect(enroll(), "")
			r.expect(enroll(), "")
			for _, s := range steps {
				r.advance(s.pause)
				r.expect(s.c, s.want)
			}
			roundTrip(t, r.l)
		})
	}
}

// fataler is the common part of testing.TB and rapid.T.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

// roundTrip fails the test unless a ledger restored from a snapshot of l yields the
// same snapshot.
func roundTrip(t fataler, l *Ledger) {
	t.Helper()
	one, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := New()
	if err := other.Restore(one); err != nil {
		t.Fatal(err)
	}
	two, err := other.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(one, two) {
		t.Fatal("the snapshot of a restored ledger differs")
	}
}

// TestConflictNamesWinner guards against a refusal that does not name who made
// the accepted change of the same number, its digest and the next number.
func TestConflictNamesWinner(t *testing.T) {
	r := newFixture(t)
	first := change(1, setEntry("limits", "{}"))
	first.Actor = "amina"
	r.expect(first, "")
	res := r.expect(change(1, setEntry("limits", `{"body":5}`)), fault.Conflict)
	message := res.GetFault().GetMessage()
	for _, want := range []string{"amina", ChangeDigest([]*wire.Entry{setEntry("limits", "{}")}), "number 2"} {
		if !strings.Contains(message, want) {
			t.Errorf("got message %q, want it to name %q", message, want)
		}
	}
	if got := r.apply(change(1, setEntry("limits", "{}"))).GetChanged(); !got.GetRepeat() || got.GetActor() != "amina" || got.GetRevision() != 1 {
		t.Errorf("got %v, want the first answer again", got)
	}
}

// TestPins guards against a session that changes its version: the first pin wins
// until its version is withdrawn or the session is unused for a day.
func TestPins(t *testing.T) {
	r := newFixture(t)
	version := func(c *wire.Command, want string) {
		t.Helper()
		if got := r.expect(c, "").GetPinned().GetVersion(); got != want {
			t.Fatalf("got version %s, want %s", got, want)
		}
	}
	version(pin("s", "v1", ""), "v1")
	version(pin("s", "v2", ""), "v1")
	version(pin("s", "v2", "v1"), "v1") // v1 is not withdrawn
	r.expect(change(1, setEntry("withdrawn/small/v1", "{}")), "")
	version(pin("s", "v3", "v1"), "v3")
	version(pin("s", "v2", "v1"), "v3") // a second gate replaces v1 later
	r.advance(PinTTL - time.Second)
	version(pin("s", "v2", ""), "v3")
	r.advance(PinTTL - time.Second)
	version(pin("t", "v2", ""), "v2")
	roundTrip(t, r.l)
	r.advance(time.Second)
	version(pin("s", "v2", ""), "v2")
}

// TestDeltas guards against receivers that miss an entry: the delta from any
// starting revision must lead to the same keys.
func TestDeltas(t *testing.T) {
	r := newFixture(t)
	r.expect(change(1, setEntry("limits", "{}"), setEntry("customers/a", "{}")), "")
	r.expect(change(2, deleteEntry("customers/a")), "")
	r.expect(change(3, setEntry("customers/b", "{}")), "")
	tests := map[string]struct {
		from    uint64
		full    bool
		entries int
	}{
		"from revision 0":      {0, true, 2},
		"over a deleted key":   {1, false, 2},
		"one change":           {2, false, 1},
		"up to date":           {3, false, 0},
		"from another history": {4, true, 2},
	}
	for name, tt := range tests {
		d := r.l.Delta(tt.from)
		if d.GetFull() != tt.full || len(d.GetEntries()) != tt.entries || d.GetRevision() != 3 {
			t.Errorf("%s: got %v, want full=%v with %d entries", name, d, tt.full, tt.entries)
		}
	}
	for i := range uint64(MaxDeletedKeys + 1) {
		r.expect(change(4+2*i, setEntry("customers/c", "{}")), "")
		key := "customers/n" + strings.Repeat("x", int(i%7)) + string(rune('a'+i%26)) + time.Duration(i).String()
		r.expect(change(5+2*i, deleteEntry(key)), "")
	}
	if d := r.l.Delta(2); !d.GetFull() {
		t.Error("got a partial delta from before the oldest kept deletion, want a full one: it would miss deleted keys")
	}
	roundTrip(t, r.l)
}

// TestFreeze guards against a snapshot that mixes the state at its index with
// later commands, which a restored member would apply twice.
func TestFreeze(t *testing.T) {
	r := newFixture(t)
	r.expect(enroll(), "")
	r.expect(change(1, setEntry("limits", `{"body":1}`)), "")
	for i := range uint64(100) {
		r.expect(pin(fmt.Sprint("s", i), "v1", ""), "")
		r.expect(bill(1, i+1), "")
	}
	r.expect(begin(1, "k", "", "d", "r"), "")
	r.advance(time.Second)
	want, err := r.l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	encode := r.l.Freeze()
	var wg sync.WaitGroup
	wg.Go(func() {
		if got, err := encode(); err != nil || !bytes.Equal(got, want) {
			t.Errorf("got another state (%v) than at the call of Freeze", err)
		}
	})
	for n := range uint64(20) {
		r.expect(change(n+2, setEntry("limits", "{}"), setEntry("customers/a", "{}")), "")
		r.expect(bill(1, 1000+n), "")
		r.apply(hand("k", 1, "b", 1))
		r.apply(finish("k", 1, 200))
		r.expect(pin(fmt.Sprint("s", n), "v9", ""), "")
		r.expect(pin(fmt.Sprint("t", n), "v9", ""), "")
	}
	wg.Wait()
}

// TestUnbilledSequences guards against requests without a bill that the list does
// not show.
func TestUnbilledSequences(t *testing.T) {
	r := newFixture(t)
	r.expect(enroll(), "")
	for _, n := range []uint64{5, 2, 3, 9, 3} {
		r.expect(bill(1, n), "")
	}
	r.expect(&wire.Command{Kind: &wire.Command_Retire{Retire: &wire.Retire{Incarnation: 1, Last: 12}}}, "")
	want := [][2]uint64{{1, 1}, {4, 4}, {6, 8}, {10, 12}}
	got := r.l.UnbilledSequences()
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i, b := range got {
		if b.GetFirst() != want[i][0] || b.GetLast() != want[i][1] {
			t.Errorf("got %v, want %v", b, want[i])
		}
	}
	if got := r.l.Totals()[0]; got.GetRequests() != 4 || got.GetInput() != 400 {
		t.Errorf("got totals %v, want 4 requests with 400 tokens", got)
	}
}
