package ledger

import (
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"citronledge.example/core/chart"
	"citronledge.example/core/wire"
)

const format = 1 // of the snapshot

// Snapshot returns the state. Equal states give equal bytes.
func (l *Ledger) Snapshot() ([]byte, error) { return l.Freeze()() }

// Freeze returns a function that encodes the state as it is now. The function
// is called once and may run while commands are applied. Freeze itself takes milliseconds,
// whatever the number of pins.
func (l *Ledger) Freeze() (encode func() ([]byte, error)) {
	s, calls, pins := l.collect()
	return func() ([]byte, error) {
		slices.SortFunc(s.Entries, func(a, b *wire.Entry) int { return strings.Compare(a.GetKey(), b.GetKey()) })
		slices.SortFunc(calls, func(a, b *call) int { return strings.Compare(a.op.GetId(), b.op.GetId()) })
		for _, c := range calls {
			s.Calls = append(s.Calls, &wire.Call{Operation: c.op, Digest: c.digest, Nonce: c.nonce})
		}
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
		if err != nil {
			return nil, eris.Wrap(err, "cannot encode the snapshot")
		}
		return appendPins(data, pins, s.GetTime())
	}
}

// appendPins adds the pins as further elements of the field Snapshot.pins.
func appendPins(data []byte, list *[shards]shard, now uint64) (_ []byte, err error) {
	field := (&wire.Snapshot{}).ProtoReflect().Descriptor().Fields().ByName("pins").Number()
	sticks(list, now, func(m *wire.Stick) {
		data = protowire.AppendTag(data, field, protowire.BytesType)
		data = protowire.AppendVarint(data, uint64(proto.Size(m)))
		if err == nil {
			data, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, m)
		}
	})
	return data, eris.Wrap(err, "cannot encode the pins")
}

// collect returns the parts of the state. None of them is changed later.
func (l *Ledger) collect() (*wire.Snapshot, []*call, *[shards]shard) {
	l.mu.Lock() // for freezing the pins
	defer l.mu.Unlock()
	s := &wire.Snapshot{
		Format: format, Index: l.index, Time: l.time,
		Revision: l.config.revision, Floor: l.config.floor, Number: l.config.number,
		Incarnation: l.runs.last, Fence: l.calls.fence, Audit: l.audited, Bill: l.bills.last,
		Changes: slices.Clone(l.config.changes), Bills: slices.Clone(l.bills.list),
		Audits: slices.Clone(l.audits), Totals: l.bills.sums(),
	}
	s.Entries = slices.AppendSeq(make([]*wire.Entry, 0, len(l.config.entries)), maps.Values(l.config.entries))
	for _, id := range slices.Sorted(maps.Keys(l.runs.list)) {
		r := l.runs.list[id]
		s.Runs = append(s.Runs, &wire.Run{
			Incarnation: id, Name: r.name, Zone: r.zone, Retired: r.retired, Last: r.last, Time: r.time,
			Billed: slices.Clone([]*wire.Span(r.billed)),
		})
	}
	calls := slices.AppendSeq(make([]*call, 0, len(l.calls.list)), maps.Values(l.calls.list))
	return s, calls, l.pins.freeze()
}

// Restore replaces the state by a snapshot. After an error the state is as
// it was.
func (l *Ledger) Restore(data []byte) error {
	var s wire.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return eris.Wrap(err, "the snapshot cannot be read; replace this member of the state cluster")
	}
	if s.GetFormat() != format {
		return eris.Errorf("snapshot format %d is not known; run the release that wrote it", s.GetFormat())
	}
	n := New()
	if err := n.fill(&s); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index, l.time = n.index, n.time
	l.config, l.runs, l.calls, l.bills, l.pins = n.config, n.runs, n.calls, n.bills, n.pins
	l.audits, l.audited = n.audits, n.audited
	return nil
}

// fill builds the state of an empty ledger.
func (l *Ledger) fill(s *wire.Snapshot) error {
	l.index, l.time = s.GetIndex(), s.GetTime()
	l.audits, l.audited = s.GetAudits(), s.GetAudit()
	cfg := &l.config
	cfg.revision, cfg.floor, cfg.number, cfg.changes = s.GetRevision(), s.GetFloor(), s.GetNumber(), s.GetChanges()
	if uint64(len(cfg.changes)) > cfg.number {
		return eris.New("the snapshot holds more changes than their number; replace this member of the state cluster")
	}
	for _, e := range s.GetEntries() {
		cfg.entries[e.GetKey()] = e
		if e.GetGone() {
			cfg.gone++
		}
	}
	l.bills.last, l.bills.list = s.GetBill(), s.GetBills()
	for _, t := range s.GetTotals() {
		l.bills.totals[t.GetCustomer()] = t
	}
	for _, p := range s.GetPins() {
		l.pins.put(pinKey{p.GetCustomer(), p.GetSession(), p.GetModel()}, pinned{p.GetVersion(), p.GetUsed()})
	}
	l.fillRuns(s)
	return l.fillCalls(s)
}

func (l *Ledger) fillRuns(s *wire.Snapshot) {
	l.runs.last = s.GetIncarnation()
	for _, r := range s.GetRuns() {
		l.runs.list[r.GetIncarnation()] = &run{
			name: r.GetName(), zone: r.GetZone(), retired: r.GetRetired(), last: r.GetLast(), time: r.GetTime(), billed: r.GetBilled(),
		}
		if r.GetRetired() {
			l.runs.retired = append(l.runs.retired, r.GetIncarnation())
		}
	}
	slices.SortStableFunc(l.runs.retired, func(a, b uint64) int {
		at, bt := l.runs.list[a].time, l.runs.list[b].time
		switch {
		case at < bt:
			return -1
		case at > bt:
			return 1
		}
		return 0
	})
}

func (l *Ledger) fillCalls(s *wire.Snapshot) error {
	l.calls.fence = s.GetFence()
	states := life.States()
	for _, c := range s.GetCalls() {
		op := c.GetOperation()
		if !slices.Contains(states, chart.State(op.GetPhase())) {
			return eris.Errorf("operation %s is in the unknown phase %q; run the release that wrote the snapshot", op.GetId(), op.GetPhase())
		}
		l.store(&call{op: op, digest: c.GetDigest(), nonce: c.GetNonce()})
	}
	return nil
}
